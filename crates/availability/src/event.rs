//! What the model is told.

use std::time::Duration;

use crate::Time;

/// How an attempt at a record server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It answered, whatever it said: it is alive.
    Answered,
    /// It rejected the request: full, draining, not the primary.
    Rejected,
    /// It broke the connection, could not be reached, or timed out.
    Failed,
    /// The proxy cancelled the attempt.
    Cancelled,
}

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionCause {
    /// The decision module found no capacity, or no server.
    Servers,
    /// A limit of the proxy itself, or of the operators' file.
    OwnLimit,
}

/// An event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The proxy listens, with an endpoint list or without one.
    Started,
    /// A request has been read; it ends with an answer, or its client leaves.
    RequestArrived {
        /// The group that it is for.
        group: u32,
    },
    /// The client of a request has left.
    ClientLeft {
        /// The group of the request.
        group: u32,
    },
    /// An attempt was sent.
    AttemptSent {
        /// The group that it was sent to.
        group: u32,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The group that it was sent to.
        group: u32,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Time since it was sent.
        elapsed: Duration,
    },
    /// A request was served.
    RequestServed {
        /// Its group.
        group: u32,
    },
    /// A request was rejected.
    RequestRejected {
        /// Its group.
        group: u32,
        /// Why.
        cause: RejectionCause,
    },
    /// A request failed.
    RequestFailed {
        /// Its group.
        group: u32,
    },
    /// A write has ended, besides the events above: only a primary can serve it, so it shows whether there is one.
    WriteEnded {
        /// Its group.
        group: u32,
        /// Whether it was served.
        served: bool,
    },
    /// The endpoint list names a server, or ceases to.
    Endpoint {
        /// The server.
        server: u32,
        /// Its site.
        site: u16,
        /// Its group.
        group: u32,
        /// Whether it is listed.
        listed: bool,
    },
    /// The endpoint list was received, whatever it says.
    ListReceived,
    /// An exchange with a server has started, for a request or a probe.
    ExchangeStarted {
        /// The server.
        server: u32,
    },
    /// An exchange has ended.
    ExchangeEnded {
        /// The server.
        server: u32,
        /// Whether anything came from its machine, be it a rejection or the end of a connection.
        contact: bool,
    },
    /// A connection to a server is being established.
    DialStarted {
        /// The server.
        server: u32,
    },
    /// Something came from a server's machine: a connection was established.
    Contact {
        /// The server.
        server: u32,
    },
    /// A server reports its position in the log, and whether it is the primary.
    RoleReported {
        /// The server.
        server: u32,
        /// Its position.
        position: Option<Time>,
        /// Whether it is the primary.
        primary: Option<bool>,
    },
    /// The proxy's load.
    Load(Load),
    /// Whether discovery is connected. It is reported, and has no effect on state and weight.
    Discovery {
        /// Whether it is connected.
        connected: bool,
    },
    /// Begin to drain.
    Drain,
    /// Serve again.
    Undrain,
    /// The process ends.
    Stop,
    /// Time passes.
    Tick,
}

/// The proxy's load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// The longest lag of the event loop since the last such event.
    pub lag: Duration,
    /// Open requests, as a part of the limit.
    pub open: f64,
    /// Descriptors, as a part of the limit.
    pub descriptors: f64,
    /// Memory, as a part of the limit.
    pub memory: f64,
}

impl Load {
    /// Without parts that are no numbers, which would make the weight one too.
    pub(crate) fn sanitized(self) -> Load {
        let part = |n: f64| if n.is_finite() { n.max(0.0) } else { 0.0 };
        Load {
            lag: self.lag,
            open: part(self.open),
            descriptors: part(self.descriptors),
            memory: part(self.memory),
        }
    }
}
