//! Facts and anti-entropy messages on the wire (postcard: the order of fields and variants is the format).

use serde::{Deserialize, Serialize};

/// A fact on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireFact {
    pub source: u32,
    pub incarnation: u64,
    pub kind: u8,
    pub key: Vec<u8>,
    pub sequence: u64,
    pub age_ms: u32,
    pub ttl_ms: u32,
    pub body: Vec<u8>,
}

/// A range of member ids or key hashes, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HashRange {
    pub first: u64,
    pub last: u64,
}

/// Messages by which two members come to hold the same facts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum AntiEntropyMessage {
    /// Each source within the range, with the hash of its versions.
    Digest {
        range: HashRange,
        sources: Vec<(u32, u32)>,
    },
    /// Facts of a source within the range: hash of the key, incarnation and sequence of each. The receiver sends what is newer
    /// there, and if this is no reply, its own versions where those here are newer.
    Versions {
        is_reply: bool,
        source: u32,
        range: HashRange,
        versions: Vec<(u64, u64, u64)>,
    },
    /// Facts, new or in reply.
    Facts(Vec<WireFact>),
}
