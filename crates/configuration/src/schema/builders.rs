//! Functions and constants for writing tables.

use super::types::{Args, Directive, TakesEffect};
use crate::value::{Share, Type};
use std::time::Duration;

/// A duration in milliseconds.
pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A duration within these bounds, in milliseconds.
pub const fn time(least: u64, most: u64) -> Type {
    Type::Time {
        least: ms(least),
        most: ms(most),
    }
}

/// A whole number within these bounds.
pub const fn count(least: u64, most: u64) -> Type {
    Type::Count { least, most }
}

/// A share within these bounds.
pub const fn share(least: (u32, u32), most: (u32, u32)) -> Type {
    Type::Share {
        least: Share::new(least.0, least.1),
        most: Share::new(most.0, most.1),
    }
}

/// A size in bytes within these bounds.
pub const fn size(least: u64, most: u64) -> Type {
    Type::Size { least, most }
}

/// A directive whose changes take effect on a reload.
pub const fn directive(
    keyword: &'static str,
    args: Args,
    default: &'static str,
    example: &'static str,
    help: &'static str,
) -> Directive {
    Directive {
        keyword,
        args,
        default,
        takes_effect: TakesEffect::OnReload,
        help,
        example,
    }
}

/// The same directive, with changes that take effect only on the next start.
pub(super) const fn at_start(d: Directive) -> Directive {
    Directive {
        takes_effect: TakesEffect::OnStart,
        ..d
    }
}

/// A choice of yes or no.
pub(super) const YES: Type = Type::Choice(&["yes", "no"]);

/// Milliseconds per minute.
pub(super) const MINUTE: u64 = 60_000;
/// Milliseconds per hour.
pub(super) const HOUR: u64 = 3_600_000;
/// Bytes per KiB.
pub(super) const KIB: u64 = 1 << 10;
/// Bytes per MiB.
pub(super) const MIB: u64 = 1 << 20;
