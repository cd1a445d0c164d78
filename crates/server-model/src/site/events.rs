//! Events and actions of the record servers.

use crate::Micros;

/// Index of a server, counted from 0 in the order of creation and never reused.
pub type ServerIndex = u32;

/// Operation that a request performs on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Operation {
    /// Key of a write; `None` for a read.
    pub write: Option<u64>,
    /// Position that a read requires: all commits up to it must be visible. 0: no requirement.
    pub min_position: Micros,
    /// Work in microseconds of a core.
    pub work: Micros,
}

/// Owner of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerOwner {
    /// A server.
    Server {
        /// The server.
        server: ServerIndex,
        /// Number that the server gave the timer.
        number: u64,
    },
    /// A group.
    Group(u32),
}

/// Input to the servers.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The last byte of a request has reached a server.
    Request {
        /// The driver's identifier of the exchange.
        exchange: u64,
        /// The receiving server.
        server: ServerIndex,
        /// The requested operation.
        operation: Operation,
    },
    /// A probe has reached a server.
    Probe {
        /// The driver's identifier of the exchange.
        exchange: u64,
        /// The receiving server.
        server: ServerIndex,
    },
    /// A timer requested with [`Action::SetTimer`] expires.
    Timer(TimerOwner),
    /// A fault is injected.
    Fault(ServerFault),
}

/// A fault, or an administrative operation on servers.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerFault {
    /// The process dies and loses all requests that it holds.
    Crash(ServerIndex),
    /// A dead server starts again, cold, with the data that it had.
    Start(ServerIndex),
    /// A server hangs (accepts requests without answering them) or recovers.
    Hang {
        /// The server.
        server: ServerIndex,
        /// Whether the server hangs from now on.
        on: bool,
    },
    /// A server becomes slower.
    Slow {
        /// The server.
        server: ServerIndex,
        /// Slowdown factor; 1 is the usual speed.
        times: f64,
    },
    /// A long query blocks a server's replication.
    HoldReplication {
        /// The server.
        server: ServerIndex,
        /// Duration of the query.
        span: Micros,
    },
    /// A server finishes its requests, accepts no new ones and hands over its role.
    Drain(ServerIndex),
    /// A server leaves permanently.
    Retire(ServerIndex),
    /// A new server joins, cold and with an old copy of the data.
    Join {
        /// The group that the server joins.
        group: u32,
        /// The building of the server.
        place: u16,
    },
    /// A partition separates the servers of a building from all others.
    Partition(u16),
    /// The partition heals.
    HealPartition,
}

/// Outcome of a request at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Completed.
    Ok,
    /// Rejected before it ran: the server is not the primary, or its position is too old.
    Misdirected,
    /// Rejected without processing: the server is full or draining.
    Rejected,
    /// Failed; the request may have had an effect.
    Failed,
    /// The server died while it held the request.
    Reset,
    /// The server is not running.
    Unreachable,
}

/// Metadata of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Whether the server considers itself the primary.
    pub primary: bool,
    /// Commit time of a successful write; otherwise the server's position.
    pub position: Micros,
}

/// Load report of a server in response to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Position up to which all commits are applied.
    pub position: Micros,
    /// Whether the server considers itself the primary.
    pub primary: bool,
    /// Number of waiting requests.
    pub queued: usize,
    /// Number of running and waiting requests.
    pub in_flight: usize,
}

/// State of a server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The server accepts requests.
    Ready,
    /// The server finishes its requests and accepts no new ones.
    Draining,
    /// The server is dead or has left.
    Gone,
}

/// Output of the servers for their driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A request has ended at its server.
    Answer {
        /// The driver's identifier of the exchange.
        exchange: u64,
        /// Outcome of the request.
        answer: Answer,
        /// Metadata of the response; `None` if the server is dead.
        metadata: Option<ResponseMetadata>,
    },
    /// A probe has ended.
    LoadReport {
        /// The driver's identifier of the probe.
        exchange: u64,
        /// The server's report; `None` if the server is not running.
        report: Option<LoadReport>,
    },
    /// Requests [`Event::Timer`] at this time.
    SetTimer(Micros, TimerOwner),
    /// The state of a server has changed; the discovery service learns of it later.
    Changed(ServerIndex),
    /// A group has a new primary.
    Primary {
        /// The group.
        group: u32,
        /// The primary.
        server: ServerIndex,
    },
    /// A group, or one side of its partition, stops taking writes.
    Vacant {
        /// The group.
        group: u32,
    },
    /// A write has taken effect.
    Applied {
        /// The write's key.
        key: u64,
        /// Its commit time.
        at: Micros,
    },
    /// Commits are lost, with a failed primary or on the losing side of a partition.
    Undone {
        /// The server that committed it.
        server: ServerIndex,
        /// Commits after this time are undone.
        after: Micros,
    },
    /// A server was overrun while cold; it is dead until it is started.
    Collapsed(ServerIndex),
}
