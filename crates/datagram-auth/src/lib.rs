//! Authenticated datagrams between the proxies of a fleet: seals payloads into datagrams and opens received datagrams,
//! without sockets or a clock.
//!
//! Datagrams are bounded in size, versioned, and authenticated (HMAC-SHA256) with a key that all members share; each is
//! accepted once (anti-replay window). The meaning of the payload is left to the caller. See
//! `docs/design/datagram-auth.md`.

mod advice;
mod envelope;
mod keys;
mod limits;
mod opener;
mod replay_window;
mod sealer;

pub use keys::{KeyError, Keys};
pub use limits::{MAX_DATAGRAM_BYTES, MAX_NAME_BYTES, MAX_PAYLOAD_BYTES, MEMBERSHIP_KIND};
pub use opener::{OpenError, OpenedDatagram, Opener};
pub use sealer::{SealError, Sealer};
