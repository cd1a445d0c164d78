//! Under which start a process speaks. It is the clock's at its begin; where others know its name by a later one, that
//! clock was set back, and it goes on under the next number.

use std::time::Duration;

/// In Unix milliseconds, of the year 2248. A later one is no clock's, and would leave no number behind it.
pub(crate) const LAST: u64 = 1 << 43;
/// Each wait is so many times the one before.
const SLOWER: u32 = 4;
/// Waits do not grow beyond a day.
const WAIT_MOST: Duration = Duration::from_secs(86_400);

/// What comes of another's word that this name ran under a later start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Later {
    /// It goes on under this one.
    Renewed(u64),
    /// Too soon after the last time: two processes of one name may be about.
    Held,
    /// No number is left that is later.
    Spent,
}

#[derive(Clone, Debug)]
pub(crate) struct Starts {
    start: u64,
    /// From when on it may be renewed again, and how long after that.
    again: Duration,
    wait: Duration,
}

impl Starts {
    pub fn new(start: u64, wait: Duration) -> Self {
        Self {
            start,
            again: Duration::ZERO,
            wait,
        }
    }

    pub fn now(&self) -> u64 {
        self.start
    }

    pub fn known(&mut self, now: Duration, later: u64) -> Later {
        if later >= LAST {
            return Later::Spent;
        }
        if now < self.again {
            return Later::Held;
        }
        self.again = now + self.wait;
        self.wait = (self.wait * SLOWER).min(WAIT_MOST);
        self.start = later + 1;
        Later::Renewed(self.start)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_renewal_waits_longer_and_numbers_end() {
        let s = Duration::from_secs;
        let mut starts = Starts::new(7, s(2));
        assert_eq!(starts.known(s(0), 100), Later::Renewed(101));
        assert_eq!(starts.known(s(1), 200), Later::Held);
        assert_eq!(starts.known(s(2), 200), Later::Renewed(201));
        assert_eq!(starts.known(s(9), 300), Later::Held);
        assert_eq!(starts.known(s(10), 300), Later::Renewed(301));
        assert_eq!(starts.known(s(1_000), LAST), Later::Spent);
        assert_eq!(starts.known(s(1_000), u64::MAX), Later::Spent);
        assert_eq!(starts.now(), 301);
        assert_eq!(starts.known(s(1_000), LAST - 1), Later::Renewed(LAST));
    }
}
