//! Limits of datagrams, and the kinds of payload.

/// Bytes of a datagram: no usual path fragments it.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Bytes of a payload.
pub const MAX_PAYLOAD_BYTES: usize = 1_200;
/// Bytes of a sender's name.
pub const MAX_NAME_BYTES: usize = 64;

/// The kind of payload that the membership sends.
pub const MEMBERSHIP_KIND: u8 = 1;
