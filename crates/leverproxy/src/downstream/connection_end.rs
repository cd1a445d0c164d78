//! The end of a client's connection, as one state machine. It decides what is still read, when the end of the output is
//! sent, and when the descriptor is closed.
//!
//! ```text
//! Open --start_closing--> Flushing --finish_output--> Lingering --> descriptor closed
//! ```
//!
//! - Open: requests are read and answered.
//! - Flushing: no more requests are read. What is owed to the client is written.
//! - Lingering: everything is written and the peer has been told that nothing more comes. The descriptor stays open until
//!   the peer closes its side or its time is over. Closed at once with bytes unread, the connection would be reset, and
//!   the last answer lost on its way.
//!
//! A peer that has left ends the connection in every phase.

use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// Most bytes that are read and discarded from a client that was told why its connection ends.
const DISCARD_LIMIT: usize = 1 << 20;

/// Why no more requests are read from a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// It gets an error that says why. What it still sends is read and discarded, or it might not come to read that.
    Rejected,
    /// It is between requests, or its answer was aborted. What it still sends stays unread: it sends that again on
    /// another connection.
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Open,
    Flushing(CloseReason),
    Lingering {
        /// Since when the peer has had time to read everything.
        since: Instant,
        /// Bytes that may still be read and discarded.
        discard_budget: usize,
    },
}

/// The state of a connection's end.
#[derive(Debug)]
pub(super) struct ConnectionEnd {
    phase: Phase,
    peer_left: bool,
}

impl ConnectionEnd {
    /// An open connection.
    pub(super) fn new() -> ConnectionEnd {
        ConnectionEnd {
            phase: Phase::Open,
            peer_left: false,
        }
    }

    /// Requests are read.
    pub(super) fn is_open(&self) -> bool {
        self.phase == Phase::Open
    }

    /// What is owed is being written; the end of the output has not been sent.
    pub(super) fn is_flushing(&self) -> bool {
        matches!(self.phase, Phase::Flushing(_))
    }

    /// The end of the output has been sent.
    pub(super) fn is_lingering(&self) -> bool {
        matches!(self.phase, Phase::Lingering { .. })
    }

    /// No more requests are read. A connection that lingers already goes on lingering.
    pub(super) fn start_closing(&mut self, reason: CloseReason) {
        if !self.is_lingering() {
            self.phase = Phase::Flushing(reason);
        }
    }

    /// Everything is written, and the caller sends the end of the output. `since`: since when the peer has had time to
    /// read what it got.
    pub(super) fn finish_output(&mut self, since: Instant) {
        let is_rejected = self.phase == Phase::Flushing(CloseReason::Rejected);
        self.phase = Phase::Lingering {
            since,
            discard_budget: if is_rejected { DISCARD_LIMIT } else { 0 },
        };
    }

    /// The peer has said that it leaves: no answer is of use to it.
    pub(super) fn set_peer_left(&mut self) {
        self.peer_left = true;
    }

    /// Whether the descriptor is to be closed at once.
    pub(super) fn has_peer_left(&self) -> bool {
        self.peer_left
    }

    /// While the connection lingers, the bytes that may still be read and discarded.
    pub(super) fn discard_budget(&self) -> Option<usize> {
        match self.phase {
            Phase::Lingering { discard_budget, .. } => Some(discard_budget),
            Phase::Open | Phase::Flushing(_) => None,
        }
    }

    /// Counts bytes that were read and discarded.
    pub(super) fn count_discarded(&mut self, bytes: usize) {
        if let Phase::Lingering { discard_budget, .. } = &mut self.phase {
            *discard_budget = discard_budget.saturating_sub(bytes);
        }
    }

    /// Whether the peer of a connection that lingers has had `timeout` to read what it got.
    pub(super) fn is_linger_over(&self, timeout: Duration, now: Instant) -> bool {
        matches!(self.phase, Phase::Lingering { since, .. } if now >= since + timeout)
    }
}
