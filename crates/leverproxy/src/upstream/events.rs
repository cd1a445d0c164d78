//! Reports of the upstream connections to the event loop, other than completed exchanges: timers to set, and health
//! signals.

use crate::event_loop::slab::Key;
use routing::ServerId;

/// The check to make when a timer is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpstreamTimer {
    /// Whether the current state of a connection has timed out.
    Connection(Key),
    /// Whether a server's queued exchanges have expired.
    Queue(ServerId),
}

/// An observation of a server's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// A dial has begun.
    DialStarted(ServerId),
    /// The machine has responded: a connection is established, or was refused.
    Responded(ServerId),
}
