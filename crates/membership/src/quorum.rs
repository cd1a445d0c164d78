//! Member counts and the quorum state: how much of the fleet is reachable from this process.

use std::fmt;
use std::time::Duration;

/// How much of a roster is reachable, including this process. In ascending order: each state allows at least what the
/// previous one allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QuorumState {
    /// No other member is reachable.
    Alone,
    /// At most half of the roster is alive.
    Minority,
    /// More than half of the roster is alive.
    Degraded,
    /// All members that have not left are reachable, and more than half of the roster is alive.
    Complete,
}

impl fmt::Display for QuorumState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Alone => "alone",
            Self::Minority => "minority",
            Self::Degraded => "degraded",
            Self::Complete => "whole",
        })
    }
}

/// Number of members by status, of the whole roster or of one region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct MemberCounts {
    /// Members of the roster.
    pub total: usize,
    /// Members that are alive, including this process.
    pub alive: usize,
    /// Members that are suspected.
    pub suspect: usize,
    /// Members that announced that they leave.
    pub left: usize,
    /// Whether `total` includes this process.
    pub includes_self: bool,
}

impl MemberCounts {
    /// The quorum state for these counts, without regard to time. A suspected member does not count towards the majority,
    /// so that a majority is lost at once; but it does not count as missing either, so that one lost probe does not
    /// degrade the fleet.
    pub fn state(self) -> QuorumState {
        let own_count = usize::from(self.includes_self);
        if self.total > own_count && self.alive + self.suspect == own_count {
            QuorumState::Alone
        } else if self.alive * 2 <= self.total {
            QuorumState::Minority
        } else if self.alive + self.suspect + self.left == self.total {
            QuorumState::Complete
        } else {
            QuorumState::Degraded
        }
    }
}

/// The quorum state over time: it falls at once, and rises only after the better state has held for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct QuorumTracker {
    /// The state after the last update.
    pub state: QuorumState,
    /// The counts of the last update.
    pub counts: MemberCounts,
    majority_since: Option<Duration>,
    complete_since: Option<Duration>,
}

impl Default for QuorumTracker {
    fn default() -> Self {
        Self {
            state: QuorumState::Alone,
            counts: MemberCounts::default(),
            majority_since: None,
            complete_since: None,
        }
    }
}

impl QuorumTracker {
    /// Applies the current counts. A better state takes effect once it has held for `hold`.
    pub fn update(&mut self, now: Duration, counts: MemberCounts, hold: Duration) -> QuorumState {
        let raw = counts.state();
        self.counts = counts;
        self.majority_since =
            (raw >= QuorumState::Degraded).then(|| self.majority_since.unwrap_or(now));
        self.complete_since =
            (raw == QuorumState::Complete).then(|| self.complete_since.unwrap_or(now));
        let held = |since: Option<Duration>| since.is_some_and(|since| now >= since + hold);
        self.state = if held(self.complete_since) {
            QuorumState::Complete
        } else if held(self.majority_since) {
            QuorumState::Degraded
        } else {
            raw.min(QuorumState::Minority)
        };
        self.state
    }

    /// Restarts the hold times: after a pause of this process no state counts as held.
    pub fn reset_hold(&mut self) {
        self.majority_since = None;
        self.complete_since = None;
    }
}
