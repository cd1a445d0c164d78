//! What a platform allows the proxies on it.

use crate::Micros;

/// What the platform lets a proxy do.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// Attempts for a request; 0: no limit.
    pub tries: u16,
    /// Probes are allowed.
    pub probes: bool,
    /// Hedged requests are allowed.
    pub second_copies: bool,
    /// The rejected may be told to wait; for so long at the most. 0: they may not.
    pub max_retry_after: Micros,
    /// Time after a drain was notified in which the server may still get requests.
    pub drain_grace: Micros,
    /// A connection that idles is closed after this; one that does not come up is given up after that.
    pub keepalive: Micros,
    /// A connection that is not made by then has failed.
    pub dial_wait: Micros,
    /// Servers turn away reads that they are too far behind for.
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
