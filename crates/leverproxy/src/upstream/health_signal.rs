//! What dials tell about a server's machine.

use routing::ServerId;

/// An observation of a server's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// A dial has begun.
    DialStarted(ServerId),
    /// The machine has responded: a connection is established, or was refused.
    Responded(ServerId),
}
