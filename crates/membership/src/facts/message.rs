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

/// A range of member ids or key hashes, including both ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HashRange {
    pub first: u64,
    pub last: u64,
}

/// A source in a digest, with the hash of the versions of its facts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SourceHash {
    pub source: u32,
    pub hash: u32,
}

/// The version of a fact, by the hash of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FactVersion {
    pub key_hash: u64,
    pub incarnation: u64,
    pub sequence: u64,
}

/// Messages by which two members synchronise their facts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum AntiEntropyMessage {
    /// Each source within the range, with the hash of the versions of its facts.
    Digest {
        range: HashRange,
        sources: Vec<SourceHash>,
    },
    /// Versions of the facts of a source whose key hashes are within the range. The receiver sends the facts of which it
    /// holds newer versions, and, unless this message is a reply, its own versions where the sender's are newer.
    Versions {
        is_reply: bool,
        source: u32,
        range: HashRange,
        versions: Vec<FactVersion>,
    },
    /// Facts, newly published or in reply to `Versions`.
    Facts(Vec<WireFact>),
}
