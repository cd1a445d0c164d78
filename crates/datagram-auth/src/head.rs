//! What stands in a datagram before its MAC.

use crate::keys::KeyId;
use serde::{Deserialize, Serialize, Serializer};

pub const MAGIC: [u8; 4] = *b"LVPR";
pub const VERSION: u8 = 1;
/// The least version whose readers understand what is written here.
pub const LEAST: u8 = 1;

/// The part that no version may change: who can read the rest.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Front {
    pub magic: [u8; 4],
    pub version: u8,
    pub least: u8,
}

/// The part of version 1. Later versions add fields behind it.
#[derive(Debug, Serialize, Deserialize)]
pub struct Body<'a> {
    pub name: &'a str,
    /// Grows with each start of the sender.
    pub start: u64,
    /// Of the datagrams of that start.
    pub sequence: u64,
    pub kind: u8,
    pub roster_version: u64,
    #[serde(serialize_with = "bytes")]
    pub payload: &'a [u8],
}

/// Everything under the MAC.
#[derive(Debug, Serialize)]
pub struct Head<'a> {
    pub front: Front,
    pub key: KeyId,
    pub body: Body<'a>,
}

/// In one piece, not byte by byte.
fn bytes<S: Serializer>(bytes: &&[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}
