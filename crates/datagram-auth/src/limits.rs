//! Limits of datagrams, and the kinds of payload.

/// Maximum size of a datagram in bytes; common network paths do not fragment it.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Maximum size of a payload in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 1_200;
/// Maximum size of a sender's name in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The kind of payload of membership messages.
pub const MEMBERSHIP_KIND: u8 = 1;
