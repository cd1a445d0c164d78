//! Authenticated datagrams between the proxies of a fleet: bytes in, messages out; no socket, no clock.
//!
//! A datagram is bounded, versioned and authenticated (HMAC-SHA256) by a key that all members share, and is accepted once
//! (anti-replay window). What its payload means is not known here. See `docs/design/datagram-auth.md`.

#![warn(missing_docs)]

mod advice;
mod envelope;
mod keys;
mod opener;
mod replay_window;
mod sealer;

pub use keys::{KeyError, Keys};
pub use opener::{OpenError, OpenedDatagram, Opener};
pub use sealer::{SealError, Sealer};

/// Bytes of a datagram: no usual path fragments it.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Bytes of a payload.
pub const MAX_PAYLOAD_BYTES: usize = 1_200;
/// Bytes of a sender's name.
pub const MAX_NAME_BYTES: usize = 64;

/// The kind of payload that the membership sends.
pub const MEMBERSHIP_KIND: u8 = 1;
