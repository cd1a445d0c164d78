//! The records of a batch, as they stand on the wire.

use routing::{
    Arrival, AttemptNumber, Endpoint, EndpointState, Outcome, RequestId, ServerId, TimerToken,
};
use std::time::Duration;

/// What an endpoint update holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Entries that are new or differ.
    Changes,
    /// The complete list.
    Snapshot,
    /// The complete list as it was cached.
    Cached,
    /// Nothing: the list could not be had.
    Failed,
}

/// One record. `instance` numbers the routers that one host plays.
#[derive(Debug, PartialEq)]
pub enum Record<'a> {
    /// Start a router.
    Spawn {
        /// Its number; one that is in use is replaced.
        instance: u16,
        /// Seed of its random draws.
        seed: u64,
        /// The platform's settings as JSON.
        settings: &'a [u8],
    },
    /// Endpoints that later updates refer to.
    Page {
        /// Number of the page; a later page of that number replaces it.
        number: u32,
        /// The endpoints.
        entries: Vec<Endpoint>,
    },
    /// An endpoint update.
    EndpointUpdate {
        /// The router.
        instance: u16,
        /// What the page means.
        kind: ListKind,
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
    /// A client left.
    ClientLeft {
        /// The router.
        instance: u16,
        /// Its request.
        id: RequestId,
    },
    /// A timer fired.
    Timer {
        /// The router.
        instance: u16,
        /// What the router gave with the timer.
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
    /// It answered.
    pub ok: bool,
    /// How long that took.
    pub elapsed: Duration,
    /// Figures of the load report, in the order of the settings.
    pub figures: Vec<f32>,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEndedRecord {
    /// The router.
    pub instance: u16,
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
    /// Role in the lowest two bits (1: primary, 2: replica), position in milliseconds above them (0: none).
    pub metadata: u32,
}

pub(super) fn list_kind(code: u8) -> Option<ListKind> {
    Some(match code {
        0 => ListKind::Changes,
        1 => ListKind::Snapshot,
        2 => ListKind::Cached,
        3 => ListKind::Failed,
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
