//! Sealing of payloads into signed datagrams.

use crate::envelope::{Body, SignedPart, VersionHeader, MAGIC, MIN_READER_VERSION, VERSION};
use crate::keys::{Keys, MAC_BYTES};
use crate::limits::{MAX_DATAGRAM_BYTES, MAX_NAME_BYTES, MAX_PAYLOAD_BYTES};
use thiserror::Error;

// The greatest possible size: version header, key id, name and payload with their lengths, the greatest numbers, and the
// MAC.
const _: () = assert!(
    6 + 4 + 1 + MAX_NAME_BYTES + 10 + 10 + 1 + 10 + 2 + MAX_PAYLOAD_BYTES + MAC_BYTES
        <= MAX_DATAGRAM_BYTES
);

/// Why a payload is not sealed. A retry gives the same result.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SealError {
    /// The name is empty or too long; the value is its size in bytes.
    #[error("the name of this proxy has {0} bytes: 1 to {MAX_NAME_BYTES} are allowed; set another LB_NAME")]
    InvalidName(usize),
    /// The payload is too long; the value is its size in bytes.
    #[error("a payload has {0} bytes: at most {MAX_PAYLOAD_BYTES} fit into a datagram")]
    PayloadTooLong(usize),
    /// All sequence numbers of this incarnation are used.
    #[error("all sequence numbers of this incarnation are used: restart the proxy")]
    SequenceExhausted,
    /// The content could not be serialised.
    #[error("the datagram could not be serialised: {0}")]
    Encoding(#[from] postcard::Error),
}

/// Numbers and signs the datagrams of one incarnation of a proxy.
#[derive(Debug)]
pub struct Sealer {
    name: String,
    incarnation: u64,
    /// Sequence number of the last datagram.
    sequence: u64,
    keys: Keys,
}

impl Sealer {
    /// `incarnation` has to be greater than any earlier one of this name, or the other proxies reject its datagrams as
    /// stale.
    pub fn new(name: impl Into<String>, incarnation: u64, keys: Keys) -> Sealer {
        Sealer {
            name: name.into(),
            incarnation,
            sequence: 0,
            keys,
        }
    }

    /// Replaces the keys.
    pub fn set_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Continues under a later incarnation, in which sequence numbers start again from 1.
    pub fn set_incarnation(&mut self, incarnation: u64) {
        if incarnation > self.incarnation {
            (self.incarnation, self.sequence) = (incarnation, 0);
        }
    }

    /// Writes a datagram to `out` in place of its content; after an error `out` is empty.
    pub fn seal(
        &mut self,
        kind: u8,
        roster_version: u64,
        payload: &[u8],
        out: &mut Vec<u8>,
    ) -> Result<(), SealError> {
        out.clear();
        if self.name.is_empty() || self.name.len() > MAX_NAME_BYTES {
            return Err(SealError::InvalidName(self.name.len()));
        }
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(SealError::PayloadTooLong(payload.len()));
        }
        let sequence = self
            .sequence
            .checked_add(1)
            .ok_or(SealError::SequenceExhausted)?;
        let header = VersionHeader {
            magic: MAGIC,
            version: VERSION,
            min_reader_version: MIN_READER_VERSION,
        };
        let body = Body {
            name: &self.name,
            incarnation: self.incarnation,
            sequence,
            kind,
            roster_version,
            payload,
        };
        let signed_part = SignedPart {
            header,
            key: self.keys.signing_id(),
            body,
        };
        *out = postcard::to_extend(&signed_part, std::mem::take(out))?;
        out.extend(self.keys.sign(out));
        self.sequence = sequence;
        Ok(())
    }
}
