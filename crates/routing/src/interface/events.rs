//! Events: endpoint lists, requests, ended attempts, probes and timers.

use super::ids::*;
use super::time::Time;
use std::time::Duration;

/// A server's report on its own state. Fields that the deployment does not report are absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Log position: all commits up to this instant are applied (rounded down).
    pub position: Option<Time>,
    /// Whether the server considers itself the primary.
    pub primary: Option<bool>,
    /// Requests that the server is executing. For the host and experiments; no rule reads it.
    pub in_flight: Option<f64>,
    /// Requests queued in the server. For the host and experiments; no rule reads it.
    pub queued: Option<f64>,
}

/// Metadata of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Whether the server is the primary.
    pub primary: Option<bool>,
    /// For a successful write, its commit position; otherwise the server's position.
    pub position: Option<Time>,
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered successfully.
    Ok,
    /// Answered with an error; the request may have taken effect.
    Failed,
    /// Rejected before execution: the server is full or draining.
    Rejected,
    /// No answer within the timeout.
    TimedOut,
    /// No connection could be made.
    ConnectFailed,
    /// The connection was closed with the attempt in flight.
    Reset,
    /// Cancelled by the router.
    Cancelled,
    /// Not sent: too late, the request has finished, or the connection limit was reached.
    NotSent,
    /// Rejected before execution: the server is not the primary, or its data is too old.
    Misdirected,
}

/// State of a server according to discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts requests.
    #[default]
    Ready,
    /// Finishes the requests that it has; accepts no new ones.
    Draining,
    /// No longer in the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// The server's group.
    pub group: GroupId,
    /// The server's zone.
    pub zone: ZoneId,
    /// The server's machine type. No rule reads it.
    pub machine_type: MachineTypeId,
    /// Whether the server accepts requests.
    pub state: EndpointState,
    /// Discovery lists the server as the primary.
    pub primary: bool,
    /// The server's latest start; zero: started long ago.
    pub started: Time,
}

/// An update of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// New and changed entries; all others are unchanged.
    Changes(Vec<Endpoint>),
    /// The complete list; servers that are not in it are removed.
    Snapshot(Vec<Endpoint>),
    /// The complete list as cached by the previous process; it may be old.
    Cached(Vec<Endpoint>),
    /// A poll failed or the subscription broke.
    Failed,
}

/// Position of a session's last write, which reads of the session must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionPosition {
    /// Age of the write when the request arrived.
    Ago(Duration),
    /// Log position of the write, on the clock of the servers' positions, which may differ from the router's clock.
    At(Time),
}

/// A client's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    /// Request id; no other open request uses it.
    pub id: RequestId,
    /// Class as which the request is handled.
    pub class: ClassId,
    /// Class that the client gave, if it is another. Its limits on repetitions hold too.
    pub client_class: Option<ClassId>,
    /// Tenant of the client.
    pub tenant: TenantId,
    /// Group that holds the requested data.
    pub group: GroupId,
    /// Session of the request, if any.
    pub session: Option<SessionKey>,
    /// Time until the client stops waiting.
    pub time_left: Duration,
    /// Position of the session's last write, if the request carries it.
    pub session_position: Option<SessionPosition>,
    /// The client marks the request as a retry of an earlier one.
    pub is_client_retry: bool,
    /// Status of the request with regard to its tenant's quota.
    pub quota_status: QuotaStatus,
    /// Most attempts allowed for this request, if lower than in the settings.
    pub attempt_limit: Option<u16>,
    /// Fraction of requests like this one to reject regardless of capacity, from 0 (none) to 1 (all).
    pub shed_fraction: f64,
}

/// Status of a request with regard to its tenant's quota, most favoured first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QuotaStatus {
    /// Within the quota: counts with its full weight.
    #[default]
    WithinQuota,
    /// Over the quota, on quota borrowed from another tenant or period, which has to be repaid.
    Borrowed,
    /// Over the quota.
    OverQuota,
}

impl QuotaStatus {
    /// Degree to which the request is over the quota, from 0 to 1. Borrowed requests count half.
    pub fn over_quota_fraction(self) -> f64 {
        match self {
            QuotaStatus::WithinQuota => 0.0,
            QuotaStatus::Borrowed => 0.5,
            QuotaStatus::OverQuota => 1.0,
        }
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnded {
    /// The request.
    pub id: RequestId,
    /// The attempt of that request.
    pub attempt: AttemptNumber,
    /// The server that the attempt was sent to.
    pub server: ServerId,
    /// Result of the attempt.
    pub outcome: Outcome,
    /// Time since the attempt was sent.
    pub elapsed: Duration,
    /// The request needs no further answer.
    pub request_finished: bool,
    /// Metadata of the answer; empty without an answer.
    pub metadata: ResponseMetadata,
}

/// An input to a router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the endpoint list, or a failure to get one.
    Endpoints(EndpointUpdate),
    /// A client sent a request.
    RequestArrived(Arrival),
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// A probe ended.
    ProbeEnded {
        /// The server that was probed.
        server: ServerId,
        /// Whether the server answered.
        ok: bool,
        /// Duration of the probe.
        elapsed: Duration,
        /// The server's report; empty without an answer.
        report: LoadReport,
    },
    /// The client disconnected or gave up; its request needs no answer.
    ClientLeft(RequestId),
    /// A timer that the router had started fired.
    Timer(TimerToken),
}
