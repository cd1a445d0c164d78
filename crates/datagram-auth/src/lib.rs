//! The envelope of datagrams between the proxies of a fleet: bytes in, messages out; no socket, no clock.
//!
//! A datagram is bounded, versioned and authenticated by a key that all members have, and none is taken in twice.
//! What its payload says is for others to read. See `docs/design/peers-envelope.md`.

mod advice;
mod head;
mod keys;
mod open;
mod seal;
mod window;

pub use keys::{KeyError, Keys};
pub use open::{Opened, Opener, Refused};
pub use seal::{SealError, Sealer};

/// Bytes of a whole datagram: no usual path cuts it up.
pub const DATAGRAM_LIMIT: usize = 1_400;
pub const PAYLOAD_LIMIT: usize = 1_200;
pub const NAME_LIMIT: usize = 64;

/// Kinds of payload.
pub const MEMBERSHIP: u8 = 1;
