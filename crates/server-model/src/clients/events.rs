//! What happens to clients, and what they do.

use crate::Micros;

/// Names one attempt of a client, from 1.
pub type ClientAttemptId = u64;

/// One attempt of a request, at a proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientAttempt {
    /// The attempt's name.
    pub id: ClientAttemptId,
    /// The request that it belongs to: what its work and its effect go by.
    pub request: u64,
    /// Its class, by position in `Settings::classes`.
    pub class: usize,
    /// Its tenant, by position in `Settings::tenants`.
    pub tenant: usize,
    /// The group that it is for.
    pub group: u32,
    /// The session that it belongs to.
    pub session: u64,
    /// The proxy that it is sent to.
    pub proxy: usize,
    /// Until its client gives it up.
    pub timeout: Micros,
    /// The session's last write, as the client knows it; 0: none.
    pub last_write: Micros,
    /// The client says that it is a retry.
    pub is_retry: bool,
    /// Its request is within its tenant's quota, or lent to it, which a proxy can't know.
    pub within_quota: bool,
}

/// The final answer to an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// Of a write: its commit.
    Served {
        /// When it took effect.
        commit: Micros,
    },
    /// Rejected: nothing ran that a retry could double.
    Rejected {
        /// The wait that the proxy asks for.
        retry_after: Option<Micros>,
    },
    /// Failed: it may have run.
    Failed,
    /// The proxy can't be reached, or has died with it.
    ConnectionLost {
        /// The attempt had reached the proxy.
        reached: bool,
    },
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerKind {
    /// The next request of a client.
    Arrival,
    /// A client's retry of that request.
    Retry(u64),
    /// The client of that attempt gives up.
    Timeout(ClientAttemptId),
}

/// What happens to the clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The run begins.
    Start,
    /// A timer asked for with [`Action::SetTimer`].
    Timer(TimerKind),
    /// An attempt has its final answer.
    Answered(ClientAttemptId, Answer),
    /// One tenant's requests, or all, come so many times as fast from now on.
    Surge {
        /// The tenant; none: all.
        tenant: Option<usize>,
        /// The multiple of the usual rate.
        times: f64,
    },
    /// Whether new attempts find a proxy.
    Proxy {
        /// The proxy.
        proxy: usize,
        /// Whether it accepts connections.
        up: bool,
    },
}

/// How a request ended, for whoever keeps the accounts.
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
    /// What it earned, and after which time; none: it was not served.
    pub earned: f64,
    /// The same if those of its tenant that were served count in full as far as its account goes, whichever they are.
    pub counted: f64,
    /// Time from the first attempt to the answer; none: it was not served.
    pub latency: Option<Micros>,
    /// How many attempts the client made.
    pub attempts: u32,
    /// How it ended.
    pub outcome: RequestOutcome,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// With an answer.
    Served,
    /// Rejected, and not tried again.
    Rejected,
    /// Failed, and not tried again.
    Failed,
    /// Its client's time was over.
    Abandoned,
}

/// What clients do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt to its proxy.
    Send(ClientAttempt),
    /// Nobody waits for that attempt any more.
    Abandon {
        /// The attempt.
        id: ClientAttemptId,
        /// The proxy that has it.
        proxy: usize,
    },
    /// Ask for [`Event::Timer`] at that time.
    SetTimer(Micros, TimerKind),
    /// A request is over.
    Settled(Settled),
}
