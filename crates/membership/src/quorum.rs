//! How much of the fleet this process hears: member counts, and the quorum state that follows from them.

use std::fmt;
use std::time::Duration;

/// How much of a roster is reachable, this process included. Ordered: each state allows at least what the one before does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QuorumState {
    /// No other member is reachable.
    Alone,
    /// Half of the roster or fewer.
    Minority,
    /// More than half of the roster.
    Degraded,
    /// All members that have not left.
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

/// Members of the roster, or of its part in one region, by status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct MemberCounts {
    /// Members of the roster.
    pub total: usize,
    /// Members that are alive, this process included.
    pub alive: usize,
    /// Members under suspicion.
    pub suspect: usize,
    /// Members that left on their own.
    pub left: usize,
    /// Whether this process is among `total`.
    pub includes_self: bool,
}

impl MemberCounts {
    /// The state by these counts alone. A suspected member does not count for the majority, so that a majority is lost at
    /// once; but it is not missing either, so that one lost probe does not degrade the fleet.
    pub fn state(self) -> QuorumState {
        let mine = usize::from(self.includes_self);
        if self.total > mine && self.alive + self.suspect == mine {
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

/// The quorum state over time: it falls at once, and rises only after the better state has held.
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
    /// Takes the counts of now. A better state counts once it has held for `hold`.
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

    /// After a pause no state has held.
    pub fn reset_hold(&mut self) {
        self.majority_since = None;
        self.complete_since = None;
    }
}
