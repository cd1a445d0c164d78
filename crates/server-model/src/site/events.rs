//! What happens to record servers, and what follows from it.

use crate::Micros;

/// Servers count from 0 in the order in which they came; no number is given twice.
pub type ServerIndex = u32;

/// What a request asks of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Operation {
    /// A write, known by this key; none: a read.
    pub write: Option<u64>,
    /// Data that a read must see: all commits up to here. 0: any will do.
    pub min_position: Micros,
    /// In microseconds of a core.
    pub work: Micros,
}

/// Whom a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerOwner {
    /// A server.
    Server {
        /// The server.
        server: ServerIndex,
        /// The number that the server gave its timer.
        number: u64,
    },
    /// A group.
    Group(u32),
}

/// What happens to the servers.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request's last byte has reached a server; `exchange` is the driver's name for it.
    Request {
        /// The driver's name for it.
        exchange: u64,
        /// The server that it has reached.
        server: ServerIndex,
        /// What it asks for.
        operation: Operation,
    },
    /// A probe has reached a server.
    Probe {
        /// The driver's name for it.
        exchange: u64,
        /// The server that it has reached.
        server: ServerIndex,
    },
    /// A timer asked for with [`Action::SetTimer`].
    Timer(TimerOwner),
    /// A fault is injected.
    Fault(ServerFault),
}

/// A fault, or an operation on a server.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerFault {
    /// The process dies with all that it holds.
    Crash(ServerIndex),
    /// One that died starts again, cold, with the data that it had.
    Start(ServerIndex),
    /// It takes requests and answers none, until it no longer does so.
    Hang {
        /// The server.
        server: ServerIndex,
        /// Whether it hangs from now on.
        on: bool,
    },
    /// It gets slower.
    Slow {
        /// The server.
        server: ServerIndex,
        /// So many times as slow as usual.
        times: f64,
    },
    /// A long query holds its replication.
    HoldReplication {
        /// The server.
        server: ServerIndex,
        /// For how long.
        span: Micros,
    },
    /// It finishes what it has, wants nothing new, and hands over its role.
    Drain(ServerIndex),
    /// It is gone for good.
    Retire(ServerIndex),
    /// A new one comes into that group and place, cold, with an old copy.
    Join {
        /// The group that it joins.
        group: u32,
        /// The building that it stands in.
        place: u16,
    },
    /// Servers of a place can't hear those of the others.
    Partition(u16),
    /// All buildings hear each other again.
    HealPartition,
}

/// How a request ended at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Done.
    Ok,
    /// Rejected before it ran: no primary, or too far behind.
    Misdirected,
    /// Rejected without a look at it: full or draining.
    Rejected,
    /// It may have had an effect.
    Failed,
    /// The server died with it.
    Reset,
    /// Nobody is there.
    Unreachable,
}

/// What an answer tells of its server: for a write that went through its commit, else how far it has the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Whether the server takes itself for the primary.
    pub primary: bool,
    /// A position in the log.
    pub position: Micros,
}

/// What a probe tells of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// All commits up to here are applied.
    pub position: Micros,
    /// Whether it takes itself for the primary.
    pub primary: bool,
    /// Requests that wait.
    pub queued: usize,
    /// Requests that it holds, in work and waiting.
    pub in_flight: usize,
}

/// What the endpoint list would say of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It takes requests.
    Ready,
    /// It finishes what it holds and takes nothing new.
    Draining,
    /// It is dead or gone.
    Gone,
}

/// What follows for whoever drives the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A request has ended at its server.
    Answer {
        /// The driver's name for it.
        exchange: u64,
        /// How it ended.
        answer: Answer,
        /// None of a server that is gone.
        metadata: Option<ResponseMetadata>,
    },
    /// None: nobody is there.
    LoadReport {
        /// The driver's name for the probe.
        exchange: u64,
        /// What the server tells.
        report: Option<LoadReport>,
    },
    /// Asks for [`Event::Timer`] at that time.
    SetTimer(Micros, TimerOwner),
    /// What a list of servers would say of it if it knew at once.
    Changed(ServerIndex),
    /// A group has a new primary.
    Primary {
        /// The group.
        group: u32,
        /// The primary.
        server: ServerIndex,
    },
    /// A group, or a side of it, takes no writes.
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
    /// What took effect on the side that lost a split is undone.
    Undone {
        /// The server that committed it.
        server: ServerIndex,
        /// Commits after this time are undone.
        after: Micros,
    },
    /// Overrun while it was cold: dead until it is started.
    Collapsed(ServerIndex),
}
