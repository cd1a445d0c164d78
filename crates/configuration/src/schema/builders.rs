//! Short forms in which tables are written.

use super::types::{Args, Directive, TakesEffect};
use crate::value::{Share, Type};
use std::time::Duration;

/// Milliseconds.
pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A span of time within these bounds, in milliseconds.
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

/// A directive whose changes count with a reload.
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

/// The same directive, of which a change counts with the next start only.
pub(super) const fn at_start(d: Directive) -> Directive {
    Directive {
        takes_effect: TakesEffect::OnStart,
        ..d
    }
}

/// A choice of yes or no.
pub(super) const YES: Type = Type::Choice(&["yes", "no"]);

/// Milliseconds of a minute.
pub(super) const MINUTE: u64 = 60_000;
/// Milliseconds of an hour.
pub(super) const HOUR: u64 = 3_600_000;
/// Bytes of a KiB.
pub(super) const KIB: u64 = 1 << 10;
/// Bytes of a MiB.
pub(super) const MIB: u64 = 1 << 20;
