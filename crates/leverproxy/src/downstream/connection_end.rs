//! State machine of how a client's connection ends. It decides which bytes are still read, when the end of the output
//! is sent, and when the descriptor is closed.
//!
//! ```text
//! Open --start_closing--> Flushing --finish_output--> Lingering --> descriptor closed
//! ```
//!
//! - Open: requests are read and answered.
//! - Flushing: no more requests are read. Pending responses are written.
//! - Lingering: everything is written and the end of the output is sent. The descriptor stays open until the peer
//!   closes its side or the linger timeout is over. If it were closed at once with bytes unread, the connection would
//!   be reset and the last response could be lost.
//!
//! If the peer leaves, the connection ends in every phase.

use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// Maximum number of bytes that are read and discarded from a rejected client.
const DISCARD_LIMIT: usize = 1 << 20;

/// Why no more requests are read from a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The client is sent an error. Bytes that it still sends are read and discarded: left unread, they would cause a
    /// reset, and the client might not receive the error.
    Rejected,
    /// The client is between requests, or its last response cannot be completed. Bytes that it still sends stay unread, so that it
    /// sends them again on another connection.
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Open,
    Flushing(CloseReason),
    Lingering {
        /// Time since which the peer has been able to read everything.
        since: Instant,
        /// Number of bytes that may still be read and discarded.
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

    /// Whether requests are read.
    pub(super) fn is_open(&self) -> bool {
        self.phase == Phase::Open
    }

    /// Whether pending responses are being written, and the end of the output has not been sent.
    pub(super) fn is_flushing(&self) -> bool {
        matches!(self.phase, Phase::Flushing(_))
    }

    /// Whether the end of the output has been sent.
    pub(super) fn is_lingering(&self) -> bool {
        matches!(self.phase, Phase::Lingering { .. })
    }

    /// Stops reading requests. A connection that lingers already continues to linger.
    pub(super) fn start_closing(&mut self, reason: CloseReason) {
        if !self.is_lingering() {
            self.phase = Phase::Flushing(reason);
        }
    }

    /// Starts lingering: everything is written, and the caller sends the end of the output. `since`: time since which
    /// the peer has been able to read all that was sent.
    pub(super) fn finish_output(&mut self, since: Instant) {
        let is_rejected = self.phase == Phase::Flushing(CloseReason::Rejected);
        self.phase = Phase::Lingering {
            since,
            discard_budget: if is_rejected { DISCARD_LIMIT } else { 0 },
        };
    }

    /// Notes that the peer has ended its session and needs no more responses.
    pub(super) fn set_peer_left(&mut self) {
        self.peer_left = true;
    }

    /// Whether the peer has left, so that the descriptor has to be closed at once.
    pub(super) fn has_peer_left(&self) -> bool {
        self.peer_left
    }

    /// The number of bytes that may still be read and discarded; `None` unless the connection lingers.
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

    /// Whether the connection has lingered for `timeout`.
    pub(super) fn is_linger_over(&self, timeout: Duration, now: Instant) -> bool {
        matches!(self.phase, Phase::Lingering { since, .. } if now >= since + timeout)
    }
}
