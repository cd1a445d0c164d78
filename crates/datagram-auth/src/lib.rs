//! Authenticated datagrams between the proxies of a fleet: bytes in, messages out; no socket, no clock.
//!
//! A datagram is bounded, versioned and authenticated (HMAC-SHA256) by a key that all members share, and is accepted once
//! (anti-replay window). What its payload means is not known here. See `docs/design/datagram-auth.md`.

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
