//! The content of a datagram before its MAC. Serialised by position (postcard): the order of fields is the format.

use crate::keys::KeyId;
use serde::{Deserialize, Serialize, Serializer};

/// The first bytes of each datagram.
pub const MAGIC: [u8; 4] = *b"LVPR";
/// Version of the format that this build writes.
pub const VERSION: u8 = 1;
/// Minimum version of a reader that understands the datagrams of this build.
pub const MIN_READER_VERSION: u8 = 1;

/// Tells which readers can decode the rest. No version may change this part.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct VersionHeader {
    pub magic: [u8; 4],
    pub version: u8,
    pub min_reader_version: u8,
}

/// The fields of version 1. Later versions add fields after them.
#[derive(Debug, Serialize, Deserialize)]
pub struct Body<'a> {
    pub name: &'a str,
    /// Incarnation of the sender; each new process of a sender has a greater one.
    pub incarnation: u64,
    /// Sequence number of the datagram within the incarnation, from 1.
    pub sequence: u64,
    pub kind: u8,
    pub roster_version: u64,
    #[serde(serialize_with = "bytes")]
    pub payload: &'a [u8],
}

/// The part of a datagram that the MAC covers.
#[derive(Debug, Serialize)]
pub struct SignedPart<'a> {
    pub header: VersionHeader,
    pub key: KeyId,
    pub body: Body<'a>,
}

/// Serialises bytes as one byte string.
fn bytes<S: Serializer>(bytes: &&[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}
