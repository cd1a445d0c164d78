//! Facts as the host publishes and receives them.

use std::time::Duration;

/// Bytes of a key, at most.
pub const KEY_BYTES: usize = 32;
/// Bytes of a body, at most.
pub const BODY_BYTES: usize = 512;

/// A fact that a member published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fact {
    /// Name of the member that published it.
    pub source: String,
    /// The source's incarnation at that time.
    pub incarnation: u64,
    /// What the body means, by the host's own numbering.
    pub kind: u8,
    /// Tells facts of one kind apart.
    pub key: Vec<u8>,
    /// Publications of the source so far: a greater one replaces a smaller one.
    pub sequence: u64,
    /// The content.
    pub body: Vec<u8>,
    /// Time since the publication, without the time on the wire.
    pub age: Duration,
    /// How long it is valid.
    pub ttl: Duration,
}

/// Bounds of the fact store.
#[derive(Clone, Copy, Debug)]
pub struct FactLimits {
    /// Facts of one member, expired ones that are still remembered included.
    pub facts_per_source: usize,
    /// Bytes of all facts together, keys and a fixed cost of each included.
    pub bytes: usize,
    /// The longest TTL. An expired fact is remembered that long, so that an older version does not come back.
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

/// Why a fact of this process was not published. Only `CapacityExceeded` can pass by itself.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// The key has so many bytes.
    #[error("a fact's key has {0} bytes, at most {KEY_BYTES} fit")]
    KeyTooLong(usize),
    /// The body has so many bytes.
    #[error("a fact's body has {0} bytes, at most {BODY_BYTES} fit")]
    BodyTooLong(usize),
    /// The TTL, and the longest that is allowed.
    #[error(
        "a fact would last {0:?}, at most {1:?} are allowed: say it again before it lapses instead"
    )]
    TtlTooLong(Duration, Duration),
    /// The store has no room for another fact.
    #[error("no room for another fact: let some lapse, or raise the bound of facts a source or of bytes")]
    CapacityExceeded,
}
