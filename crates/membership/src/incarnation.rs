//! The incarnation of this process: its start time by the host's clock. If other members know a later incarnation of its
//! name, that clock was set back, and all members would drop its datagrams as stale. The process then continues under the
//! next incarnation after the one they know.

use std::time::Duration;

/// Upper bound of incarnations in Unix milliseconds, in the year 2248. No clock gives a later one, and after a forged one
/// near the maximum of the type there would be no next one.
pub(crate) const MAX_INCARNATION: u64 = 1 << 43;
/// Factor by which the minimum time between two renewals grows with each renewal.
const BACKOFF_FACTOR: u32 = 4;
const MAX_BACKOFF: Duration = Duration::from_secs(86_400);

/// Result of a report that other members know a later incarnation of this name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RenewalOutcome {
    /// The process adopts this incarnation.
    Renewed(u64),
    /// Too soon after the last renewal. Two processes may have this name, and would outbid each other forever.
    RateLimited,
    /// The reported incarnation lies beyond what a clock can give.
    OutOfRange,
}

/// The current incarnation, and the earliest time of its next renewal.
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

    /// Adopts the next incarnation after `later`, which other members know.
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
