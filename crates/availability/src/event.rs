//! Events that the model handles.

use std::time::Duration;

use crate::Time;

/// Outcome of an attempt at a record server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server answered, whatever the content: it is alive.
    Answered,
    /// The server rejected the request: it is full, draining or not the primary.
    Rejected,
    /// The server closed the connection, could not be reached, or timed out.
    Failed,
    /// The proxy cancelled the attempt.
    Cancelled,
}

/// Cause of the rejection of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionCause {
    /// The decision module found no capacity, or no server.
    Servers,
    /// A limit of the proxy itself, or of the operators' configuration file.
    OwnLimit,
}

/// An event of the model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The proxy listens for clients, with or without an endpoint list.
    Started,
    /// A request has been read. It ends with one of the events for its outcome, or with [`Event::ClientLeft`].
    RequestArrived {
        /// The group of the request.
        group: u32,
    },
    /// The client of a request has left.
    ClientLeft {
        /// The group of the request.
        group: u32,
    },
    /// An attempt was sent.
    AttemptSent {
        /// The group to which the attempt was sent.
        group: u32,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The group to which the attempt was sent.
        group: u32,
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
        /// Time since the attempt was sent.
        elapsed: Duration,
    },
    /// A request was served.
    RequestServed {
        /// The group of the request.
        group: u32,
    },
    /// A request was rejected.
    RequestRejected {
        /// The group of the request.
        group: u32,
        /// Cause of the rejection.
        cause: RejectionCause,
    },
    /// A request failed.
    RequestFailed {
        /// The group of the request.
        group: u32,
    },
    /// A write has ended; sent in addition to the events above. Only a primary can serve writes, so the outcome shows whether there is
    /// one.
    WriteEnded {
        /// The group of the write.
        group: u32,
        /// Whether the write was served.
        served: bool,
    },
    /// The endpoint list has added or removed a server.
    Endpoint {
        /// The server.
        server: u32,
        /// The server's site.
        site: u16,
        /// The server's group.
        group: u32,
        /// Whether the server is listed.
        listed: bool,
    },
    /// The endpoint list was received, whatever its content.
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
        /// Whether anything was received from the server's machine, including a rejection or the end of a connection.
        contact: bool,
    },
    /// A connection to a server is being established.
    DialStarted {
        /// The server.
        server: u32,
    },
    /// Something was received from a server's machine, for example because a connection was established.
    Contact {
        /// The server.
        server: u32,
    },
    /// A server has reported its position in its group's log, and whether it is the primary.
    RoleReported {
        /// The server.
        server: u32,
        /// The server's position.
        position: Option<Time>,
        /// Whether the server is the primary.
        primary: Option<bool>,
    },
    /// The proxy's load.
    Load(Load),
    /// The connection to discovery was established or lost. It is reported, and has no effect on state and weight.
    Discovery {
        /// Whether discovery is connected.
        connected: bool,
    },
    /// The proxy begins to drain.
    Drain,
    /// The drain is cancelled: the proxy serves again.
    Undrain,
    /// The process is stopping.
    Stop,
    /// Periodic event that advances the time.
    Tick,
}

/// Load of the proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Longest lag of the event loop since the last event of this kind.
    pub lag: Duration,
    /// Open requests, as a fraction of the limit.
    pub open: f64,
    /// File descriptors in use, as a fraction of the limit.
    pub descriptors: f64,
    /// Memory in use, as a fraction of the limit.
    pub memory: f64,
}

impl Load {
    /// Replaces fractions that are not finite by 0, since they would make the weight NaN; negative ones become 0 too.
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
