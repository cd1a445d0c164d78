//! Events that the detector handles: evidence about servers and sites.

use std::time::Duration;

/// State of a server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointState {
    /// The server takes requests.
    Ready,
    /// The server takes no new requests and is about to leave.
    Draining,
    /// The server is no longer listed.
    Removed,
}

/// An event of the detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The endpoint list has added, changed or removed a server.
    Endpoint {
        /// The server.
        server: u32,
        /// The server's site; ignored for a server that is already known.
        site: u16,
        /// The server's state in the list.
        state: EndpointState,
    },
    /// An update of the endpoint list has ended.
    ListUpdated {
        /// Whether the watch on the list is connected.
        connected: bool,
    },
    /// An operator has excluded a server, or included it again.
    ManualExclusion {
        /// The server.
        server: u32,
        /// Whether the server is excluded.
        excluded: bool,
    },
    /// A server sent a complete response, whatever its content.
    Answered {
        /// The server.
        server: u32,
    },
    /// A connection to a server was not established: it was refused, reset or timed out.
    ConnectFailed {
        /// The server.
        server: u32,
    },
    /// A connection was closed while a request on it was open.
    Reset {
        /// The server.
        server: u32,
    },
    /// A request on a connection timed out.
    TimedOut {
        /// The server.
        server: u32,
    },
    /// The link to a site is cut, or no longer cut: other proxies have shown that the site's servers work, although this proxy can't
    /// reach them.
    LinkCut {
        /// The site.
        site: u16,
        /// Whether the link is cut.
        cut: bool,
    },
    /// Lag of the caller's event loop.
    LoopLag(Duration),
    /// Periodic event that advances the time.
    Tick,
}
