//! Actions that a router requests from its host.

use super::ids::{AttemptNumber, RequestId, ServerId, TimerToken};
use std::time::Duration;

/// An action for the host to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt. Attempts of one request are numbered from 0 in the order sent.
    Send {
        /// The request.
        id: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// Longest wait for the answer, from now.
        timeout: Duration,
        /// Longest delay before the attempt is sent, from now. If dialing takes longer, the host drops the attempt
        /// unsent.
        begin_within: Duration,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt of that request.
        attempt: AttemptNumber,
    },
    /// Final answer: the client may repeat the request, since a repetition cannot take effect twice.
    Reject {
        /// The request.
        id: RequestId,
        /// Delay after which the client may retry; none if the answer carries no such hint.
        retry_after: Option<Duration>,
    },
    /// Final answer: the request may have taken effect.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Request a load report from a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Start a timer that ends in an [`Event::Timer`](super::Event::Timer).
    Timer {
        /// Delay from now.
        after: Duration,
        /// Token to return in the event.
        token: TimerToken,
    },
    /// Poll the endpoint list.
    PollEndpoints,
}
