//! What a router orders its host to do.

use super::ids::{AttemptNumber, RequestId, ServerId, TimerToken};
use std::time::Duration;

/// An order to the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt. Attempts of one request are numbered from 0 in the order sent.
    Send {
        /// The request.
        id: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// Wait no longer than this for the answer.
        timeout: Duration,
        /// The attempt must not begin later than this: a host that has to dial first drops it then, unsent.
        begin_within: Duration,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The request.
        id: RequestId,
        /// Which of its attempts.
        attempt: AttemptNumber,
    },
    /// Final answer: nothing ran that a repetition could double.
    Reject {
        /// The request.
        id: RequestId,
        /// When the client may come back; none if that is not to be said.
        retry_after: Option<Duration>,
    },
    /// Final answer: the request may have taken effect.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Ask a server for a load report.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Return `token` in an [`Event::Timer`](super::Event::Timer).
    Timer {
        /// When, from now.
        after: Duration,
        /// What to return.
        token: TimerToken,
    },
    /// Poll the endpoint list.
    PollEndpoints,
}
