//! The incarnation of this process: its start by the host's clock. If others know its name by a later one, that clock was set
//! back; all members would drop what it sends as stale. So it takes the next number after that.

use std::time::Duration;

/// Unix milliseconds, in the year 2248. No clock gives a later one, and a forged one near the maximum would leave no successor.
pub(crate) const MAX_INCARNATION: u64 = 1 << 43;
/// Each renewal waits this many times as long as the one before.
const BACKOFF_FACTOR: u32 = 4;
const MAX_BACKOFF: Duration = Duration::from_secs(86_400);

/// What follows from a later incarnation of this name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RenewalOutcome {
    /// The process takes this incarnation.
    Renewed(u64),
    /// Too soon after the last renewal: two processes may have this name, and would outbid each other forever.
    RateLimited,
    /// No clock can have given it.
    OutOfRange,
}

/// The current incarnation, and when it may be renewed.
#[derive(Clone, Debug)]
pub(crate) struct IncarnationClock {
    current: u64,
    renewable_at: Duration,
    backoff: Duration,
}

impl IncarnationClock {
    pub fn new(incarnation: u64, backoff: Duration) -> Self {
        Self {
            current: incarnation,
            renewable_at: Duration::ZERO,
            backoff,
        }
    }

    pub fn current(&self) -> u64 {
        self.current
    }

    /// Takes the incarnation after a later one that others know.
    pub fn renew_after(&mut self, now: Duration, later: u64) -> RenewalOutcome {
        if later >= MAX_INCARNATION {
            return RenewalOutcome::OutOfRange;
        }
        if now < self.renewable_at {
            return RenewalOutcome::RateLimited;
        }
        self.renewable_at = now + self.backoff;
        self.backoff = (self.backoff * BACKOFF_FACTOR).min(MAX_BACKOFF);
        self.current = later + 1;
        RenewalOutcome::Renewed(self.current)
    }
}

#[cfg(test)]
mod tests;
