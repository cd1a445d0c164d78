//! Events and actions of the clients.

use crate::Micros;

/// Identifier of a client's attempt, counted from 1.
pub type ClientAttemptId = u64;

/// One attempt of a request, sent to a proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientAttempt {
    /// Identifier of the attempt.
    pub id: ClientAttemptId,
    /// The request; its number determines the work and identifies the effect.
    pub request: u64,
    /// Its class, by position in `Settings::classes`.
    pub class: usize,
    /// Its tenant, by position in `Settings::tenants`.
    pub tenant: usize,
    /// The target group.
    pub group: u32,
    /// The session of the request.
    pub session: u64,
    /// The proxy that receives the attempt.
    pub proxy: usize,
    /// Time until the client abandons the attempt.
    pub timeout: Micros,
    /// Commit time of the session's last write that the client knows; 0: none.
    pub last_write: Micros,
    /// Whether the client marks the attempt as a retry.
    pub is_retry: bool,
    /// Whether the request is within its tenant's quota or covered by a loan; not visible to proxies.
    pub within_quota: bool,
}

/// Final response to an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The request was served.
    Served {
        /// Commit time of a write; 0 for a read.
        commit: Micros,
    },
    /// Rejected without any effect, so that a retry is safe.
    Rejected {
        /// Time to wait before a retry, as requested by the proxy.
        retry_after: Option<Micros>,
    },
    /// Failed; the request may have had an effect.
    Failed,
    /// The proxy is unreachable, or died while it held the attempt.
    ConnectionLost {
        /// Whether the attempt had reached the proxy.
        reached: bool,
    },
}

/// Purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerKind {
    /// The next request of a client.
    Arrival,
    /// A client's retry of the request with this number.
    Retry(u64),
    /// Timeout of an attempt at its client.
    Timeout(ClientAttemptId),
}

/// Input to the clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The run begins.
    Start,
    /// A timer requested with [`Action::SetTimer`] expires.
    Timer(TimerKind),
    /// An attempt has received its final response.
    Answered(ClientAttemptId, Answer),
    /// The request rate of one tenant or of all is multiplied from now on.
    Surge {
        /// The tenant; `None`: all.
        tenant: Option<usize>,
        /// Factor on the usual rate.
        times: f64,
    },
    /// A proxy becomes available or unavailable for new attempts.
    Proxy {
        /// The proxy.
        proxy: usize,
        /// Whether it accepts connections.
        up: bool,
    },
}

/// Result of a request, for the evaluation of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settled {
    /// The request.
    pub request: u64,
    /// Its class, by position.
    pub class: usize,
    /// Its tenant, by position.
    pub tenant: usize,
    /// Its group.
    pub group: u32,
    /// When the client first sent it.
    pub sent_at: Micros,
    /// Its priority weight.
    pub priority_weight: f64,
    /// Weight that the request earned; 0 if it was not served in time.
    pub earned: f64,
    /// Weight earned when the quota is charged by served requests in the order in which they are served, rather than on
    /// arrival.
    pub counted: f64,
    /// Time from the first attempt to the response; `None` if it was not served.
    pub latency: Option<Micros>,
    /// Number of attempts that the client made.
    pub attempts: u32,
    /// Outcome of the request.
    pub outcome: RequestOutcome,
}

/// Outcome of a request for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered successfully.
    Served,
    /// Rejected, and not retried.
    Rejected,
    /// Failed, and not retried.
    Failed,
    /// Abandoned by the client after a timeout.
    Abandoned,
}

/// Output of the clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt to its proxy.
    Send(ClientAttempt),
    /// The client no longer waits for an attempt.
    Abandon {
        /// The attempt.
        id: ClientAttemptId,
        /// The proxy that holds the attempt.
        proxy: usize,
    },
    /// Requests [`Event::Timer`] at this time.
    SetTimer(Micros, TimerKind),
    /// A request has its final outcome.
    Settled(Settled),
}
