//! Limits that the platform sets for its proxies.

use crate::Micros;

/// Limits for a proxy, with times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// Maximum attempts per request; 0: no limit.
    pub tries: u16,
    /// Whether probes are allowed.
    pub probes: bool,
    /// Whether hedged requests are allowed.
    pub second_copies: bool,
    /// Maximum retry-after time that a proxy may send with a rejection; 0: none may be sent.
    pub max_retry_after: Micros,
    /// Time after a drain notification in which the server may still receive requests.
    pub drain_grace: Micros,
    /// Time after which an idle connection is closed.
    pub keepalive: Micros,
    /// Connect timeout.
    pub dial_wait: Micros,
    /// Whether servers reject reads for which their position is too old.
    pub checks: bool,
}

impl Default for Platform {
    fn default() -> Platform {
        Platform {
            tries: 8,
            probes: true,
            second_copies: true,
            max_retry_after: 2_000_000,
            drain_grace: 500_000,
            keepalive: 30_000_000,
            dial_wait: 250_000,
            checks: true,
        }
    }
}
