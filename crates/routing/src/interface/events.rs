//! Events: endpoint lists, requests, ended attempts, probes and timers.

use super::ids::*;
use super::time::Time;
use std::time::Duration;

/// What a server reports of itself. Fields that the deployment does not report are absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// All commits up to this instant are applied (rounded towards the past).
    pub position: Option<Time>,
    /// It believes itself to be the primary.
    pub primary: Option<bool>,
    /// Requests that it executes. For the host and experiments; no rule reads it.
    pub in_flight: Option<f64>,
    /// Requests that wait in it. For the host and experiments; no rule reads it.
    pub queued: Option<f64>,
}

/// What came with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Whether the server is the primary.
    pub primary: Option<bool>,
    /// For a successful write, its commit position; otherwise the server's position.
    pub position: Option<Time>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Ok,
    /// Answered with an error; may have taken effect.
    Failed,
    /// Rejected before execution: the server is full or draining.
    Rejected,
    /// No answer within the timeout.
    TimedOut,
    /// No connection could be made.
    ConnectFailed,
    /// The connection broke with the attempt in flight.
    Reset,
    /// Cancelled by the router's order.
    Cancelled,
    /// Never sent: too late, request finished, or over the connection limit.
    NotSent,
    /// Rejected before execution: not the primary, or too far behind.
    Misdirected,
}

/// What discovery says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    #[default]
    Ready,
    /// Finishes what it has; no new requests.
    Draining,
    /// Not in the list any more.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Its group.
    pub group: GroupId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine type. No rule reads it.
    pub machine_type: MachineTypeId,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// Discovery believes it to be the primary.
    pub primary: bool,
    /// Its latest start; zero: long ago.
    pub started: Time,
}

/// News of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// Entries that are new or differ; the others stay.
    Changes(Vec<Endpoint>),
    /// The complete list; servers that it lacks are removed.
    Snapshot(Vec<Endpoint>),
    /// The complete list as the process before this one cached it, perhaps long ago.
    Cached(Vec<Endpoint>),
    /// A poll failed or the subscription broke.
    Failed,
}

/// How a session's last write is named: what a read in the session must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionPosition {
    /// This long before the request's arrival.
    Ago(Duration),
    /// By its log position. Its clock is that of the servers' positions, whatever the router's own shows.
    At(Time),
}

/// A client's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    /// Its id; not in use by another open request.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// The group that holds its data.
    pub group: GroupId,
    /// Its session, if it has one.
    pub session: Option<SessionKey>,
    /// Until the client stops waiting.
    pub time_left: Duration,
    /// The session's last write, if the request carries it.
    pub session_position: Option<SessionPosition>,
    /// The client marks it as a retry of an earlier request.
    pub is_client_retry: bool,
    /// Where it stands in its tenant's quota.
    pub quota_status: QuotaStatus,
    /// Attempts allowed for it, where that is fewer than the settings allow.
    pub attempt_limit: Option<u16>,
    /// Fraction of such requests to be rejected whatever capacity there seems to be, from 0 (none) to 1 (all).
    pub shed_fraction: f64,
}

/// Where a request stands in its tenant's quota, the best first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QuotaStatus {
    /// Counts in full.
    #[default]
    WithinQuota,
    /// Over it, on quota borrowed from another tenant or time, to be repaid.
    Borrowed,
    /// Over it.
    OverQuota,
}

impl QuotaStatus {
    /// How far over the quota, from 0 to 1. A loan lies halfway between the other two.
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
    /// Which of its attempts.
    pub attempt: AttemptNumber,
    /// The server that it was sent to.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Duration,
    /// The request needs no further answer.
    pub request_finished: bool,
    /// What came with the answer.
    pub metadata: ResponseMetadata,
}

/// Something that a router learns.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Discovery's endpoint list, or a failure to get it.
    Endpoints(EndpointUpdate),
    /// A client's request.
    RequestArrived(Arrival),
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// A probe ended.
    ProbeEnded {
        /// The server that was probed.
        server: ServerId,
        /// It answered.
        ok: bool,
        /// How long that took.
        elapsed: Duration,
        /// What it reported.
        report: LoadReport,
    },
    /// The client left; its request needs no answer.
    ClientLeft(RequestId),
    /// A timer that the router had asked for.
    Timer(TimerToken),
}
