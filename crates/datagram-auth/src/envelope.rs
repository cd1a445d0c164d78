//! The content of a datagram before its MAC. Serialised by position (postcard): the order of fields is the format.

use crate::keys::KeyId;
use serde::{Deserialize, Serialize, Serializer};

/// The first bytes of each datagram.
pub const MAGIC: [u8; 4] = *b"LVPR";
/// The version of the format that this build writes.
pub const VERSION: u8 = 1;
/// The least version of a reader that understands what this build writes.
pub const MIN_READER_VERSION: u8 = 1;

/// Who can read the rest. No version may change this part.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct VersionHeader {
    pub magic: [u8; 4],
    pub version: u8,
    pub min_reader_version: u8,
}

/// The fields of version 1. Later versions add fields behind them.
#[derive(Debug, Serialize, Deserialize)]
pub struct Body<'a> {
    pub name: &'a str,
    /// Greater with each process of the sender.
    pub incarnation: u64,
    /// Counts the datagrams of that incarnation.
    pub sequence: u64,
    pub kind: u8,
    pub roster_version: u64,
    #[serde(serialize_with = "bytes")]
    pub payload: &'a [u8],
}

/// Everything under the MAC.
#[derive(Debug, Serialize)]
pub struct SignedPart<'a> {
    pub header: VersionHeader,
    pub key: KeyId,
    pub body: Body<'a>,
}

/// Serialises bytes as one piece.
fn bytes<S: Serializer>(bytes: &&[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}
