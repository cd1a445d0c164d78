//! Records of a batch as defined by the wire format.

use routing::{
    Arrival, AttemptNumber, Endpoint, EndpointState, Outcome, RequestId, ServerId, TimerToken,
};
use std::time::Duration;

/// Content of an endpoint update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// New and changed entries.
    Changes,
    /// The complete list.
    Snapshot,
    /// The complete list as it was cached.
    Cached,
    /// No list: it could not be fetched.
    Failed,
}

/// One record. `instance` is the number of a router within the host.
#[derive(Debug, PartialEq)]
pub enum Record<'a> {
    /// Start a router.
    Spawn {
        /// Number of the router; a router with the same number is replaced.
        instance: u16,
        /// Seed of the router's random numbers.
        seed: u64,
        /// The platform's settings as JSON.
        settings: &'a [u8],
    },
    /// Endpoints that later updates refer to.
    Page {
        /// Number of the page; a later page with the same number replaces it.
        number: u32,
        /// The endpoints.
        entries: Vec<Endpoint>,
    },
    /// An endpoint update.
    EndpointUpdate {
        /// The router.
        instance: u16,
        /// Content of the page.
        kind: UpdateKind,
        /// Number of the page.
        page: u32,
    },
    /// A client's request.
    RequestArrived {
        /// The router.
        instance: u16,
        /// The request.
        arrival: Arrival,
    },
    /// A probe ended.
    ProbeEnded(ProbeEndedRecord),
    /// A stream between routers; not used.
    StreamOpened {
        /// The router.
        instance: u16,
    },
    /// A message between routers; not used.
    PeerMessage {
        /// The router.
        instance: u16,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEndedRecord),
    /// Stop a router.
    Stop {
        /// The router.
        instance: u16,
    },
    /// A client disconnected or gave up.
    ClientLeft {
        /// The router.
        instance: u16,
        /// The client's request.
        id: RequestId,
    },
    /// A timer fired.
    Timer {
        /// The router.
        instance: u16,
        /// Token from the action that started the timer.
        token: TimerToken,
    },
}

/// The end of a probe.
#[derive(Clone, Debug, PartialEq)]
pub struct ProbeEndedRecord {
    /// The router.
    pub instance: u16,
    /// The server that was probed.
    pub server: ServerId,
    /// Whether the server answered.
    pub ok: bool,
    /// Duration of the probe.
    pub elapsed: Duration,
    /// Figures of the load report, in the order defined by the settings.
    pub figures: Vec<f32>,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEndedRecord {
    /// The router.
    pub instance: u16,
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
    /// Role in the lowest two bits (1: primary, 2: replica), position in milliseconds above them (0: none).
    pub metadata: u32,
}

pub(super) fn update_kind(code: u8) -> Option<UpdateKind> {
    Some(match code {
        0 => UpdateKind::Changes,
        1 => UpdateKind::Snapshot,
        2 => UpdateKind::Cached,
        3 => UpdateKind::Failed,
        _ => return None,
    })
}

pub(super) fn endpoint_state(code: u8) -> Option<EndpointState> {
    Some(match code {
        0 => EndpointState::Removed,
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        _ => return None,
    })
}

pub(super) fn outcome(code: u16) -> Option<Outcome> {
    Some(match code {
        200 => Outcome::Ok,
        404 => Outcome::Misdirected,
        410 => Outcome::NotSent,
        499 => Outcome::Cancelled,
        500 => Outcome::Failed,
        502 => Outcome::ConnectFailed,
        503 => Outcome::Rejected,
        504 => Outcome::TimedOut,
        598 => Outcome::Reset,
        _ => return None,
    })
}
