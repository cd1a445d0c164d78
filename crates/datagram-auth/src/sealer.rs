//! Sealing payloads into signed datagrams.

use crate::envelope::{Body, SignedPart, VersionHeader, MAGIC, MIN_READER_VERSION, VERSION};
use crate::keys::{Keys, MAC_BYTES};
use crate::limits::{MAX_DATAGRAM_BYTES, MAX_NAME_BYTES, MAX_PAYLOAD_BYTES};
use thiserror::Error;

// Version header, name and the greatest numbers, with the lengths before name and payload.
const _: () = assert!(
    6 + 4 + 1 + MAX_NAME_BYTES + 10 + 10 + 1 + 10 + 2 + MAX_PAYLOAD_BYTES + MAC_BYTES
        <= MAX_DATAGRAM_BYTES
);

/// Why a payload is not sealed. A retry gives the same result.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SealError {
    /// The name has so many bytes.
    #[error("the proxy's name has {0} bytes: the others take 1 to {MAX_NAME_BYTES}; give it a shorter LB_NAME")]
    InvalidName(usize),
    /// The payload has so many bytes.
    #[error("a payload has {0} bytes: at most {MAX_PAYLOAD_BYTES} fit into a datagram")]
    PayloadTooLong(usize),
    /// All sequence numbers of this incarnation are used up.
    #[error("all numbers for datagrams of this start are used up: start the proxy again")]
    SequenceExhausted,
    /// The content could not be serialised.
    #[error("the datagram could not be written: {0}")]
    Encoding(#[from] postcard::Error),
}

/// Numbers and signs the datagrams of one incarnation of a proxy.
#[derive(Debug)]
pub struct Sealer {
    name: String,
    incarnation: u64,
    /// Number of the last datagram.
    sequence: u64,
    keys: Keys,
}

impl Sealer {
    /// `incarnation` has to be greater than any earlier one of this name, or the others reject its datagrams as stale.
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

    /// Continues under a later incarnation, whose datagrams are numbered from the beginning.
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
