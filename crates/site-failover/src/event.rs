//! Evidence about servers and sites.

use std::time::Duration;

/// A server's state in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointState {
    /// It takes requests.
    Ready,
    /// It is about to go.
    Draining,
    /// It is not listed any more.
    Removed,
}

/// An event of the detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The endpoint list names a server, or ceases to.
    Endpoint {
        /// The server.
        server: u32,
        /// Its site; ignored for a known server.
        site: u16,
        /// Its state.
        state: EndpointState,
    },
    /// The end of an endpoint update.
    ListUpdated {
        /// Whether the watch on the list is connected.
        connected: bool,
    },
    /// An operator has excluded a server, or included it again.
    ManualExclusion {
        /// The server.
        server: u32,
        /// Whether it is excluded.
        excluded: bool,
    },
    /// A server sent a complete response, whatever it says.
    Answered {
        /// The server.
        server: u32,
    },
    /// No connection to a server was established: refused, reset or timed out.
    ConnectFailed {
        /// The server.
        server: u32,
    },
    /// A connection broke with a request on it.
    Reset {
        /// The server.
        server: u32,
    },
    /// A request on a connection timed out.
    TimedOut {
        /// The server.
        server: u32,
    },
    /// Whether other proxies have shown that a site's servers work though they can't be reached from here.
    LinkCut {
        /// The site.
        site: u16,
        /// Whether the link is cut.
        cut: bool,
    },
    /// The caller's event loop was late by so much.
    LoopLag(Duration),
    /// Time passes.
    Tick,
}
