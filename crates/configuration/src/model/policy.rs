//! The sections `policy` and `logging`.

use crate::check::Section;
use crate::values::Values;
use std::time::Duration;

/// The section `policy`: stricter settings of the decision module.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// A lower attempt limit.
    pub attempt_limit: Option<u16>,
    /// Hedged requests are allowed.
    pub hedging: bool,
    /// Probes are allowed.
    pub probes: bool,
    /// A lower maximum of Retry-After.
    pub max_retry_after: Option<Duration>,
}

/// The section `logging`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Logging {
    /// Lowest level that is logged.
    pub level: &'static str,
    /// Lines are JSON objects, not text.
    pub json: bool,
}

pub(super) fn policy(sections: &[Section]) -> Policy {
    let v = Values::of_single(sections, "policy");
    Policy {
        attempt_limit: v.bounded_count("tries"),
        hedging: v.is_yes("second-copies"),
        probes: v.is_yes("probes"),
        max_retry_after: v.time("come-back-most"),
    }
}

pub(super) fn logging(sections: &[Section]) -> Logging {
    let v = Values::of_single(sections, "logging");
    Logging {
        level: v.choice("level"),
        json: v.choice("form") == "json",
    }
}
