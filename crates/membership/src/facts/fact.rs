//! Facts as the host publishes and receives them.

use std::time::Duration;

/// Maximum size of a key in bytes.
pub const KEY_BYTES: usize = 32;
/// Maximum size of a body in bytes.
pub const BODY_BYTES: usize = 512;

/// A fact that a member published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fact {
    /// Name of the member that published it.
    pub source: String,
    /// Incarnation of the source at the publication.
    pub incarnation: u64,
    /// Meaning of the body, defined by the host.
    pub kind: u8,
    /// Distinguishes facts of the same kind.
    pub key: Vec<u8>,
    /// Number of publications of the source so far. A version with a greater sequence replaces one with a smaller
    /// sequence.
    pub sequence: u64,
    /// The content.
    pub body: Vec<u8>,
    /// Time since the publication, not counting time in transit.
    pub age: Duration,
    /// Validity of the fact, from its publication.
    pub ttl: Duration,
}

/// Limits of the fact store.
#[derive(Clone, Copy, Debug)]
pub struct FactLimits {
    /// Maximum number of facts of one member, including expired ones that are still remembered.
    pub facts_per_source: usize,
    /// Maximum size of all facts together in bytes, including keys and a fixed overhead per fact.
    pub bytes: usize,
    /// Maximum TTL. An expired fact is remembered for this long, so that an older version does not come back.
    pub max_ttl: Duration,
}

impl Default for FactLimits {
    fn default() -> Self {
        Self {
            facts_per_source: 64,
            bytes: 8 << 20,
            max_ttl: Duration::from_secs(600),
        }
    }
}

/// Why a fact of this process was not published. Only `CapacityExceeded` can pass without intervention.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// The key is too long; the value is its size in bytes.
    #[error("the key of a fact has {0} bytes; at most {KEY_BYTES} are allowed")]
    KeyTooLong(usize),
    /// The body is too long; the value is its size in bytes.
    #[error("the body of a fact has {0} bytes; at most {BODY_BYTES} are allowed")]
    BodyTooLong(usize),
    /// The TTL is too long; the values are the TTL and the maximum.
    #[error(
        "a fact has a TTL of {0:?}; at most {1:?} is allowed: publish it again before it expires instead"
    )]
    TtlTooLong(Duration, Duration),
    /// The store has no room for another fact.
    #[error("the fact store has no room for another fact: let some expire, or raise the limit of facts per source or of bytes")]
    CapacityExceeded,
}
