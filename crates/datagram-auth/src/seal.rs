//! Messages into datagrams.

use crate::head::{Body, Front, Head, LEAST, MAGIC, VERSION};
use crate::keys::{Keys, MAC_BYTES};
use crate::{DATAGRAM_LIMIT, NAME_LIMIT, PAYLOAD_LIMIT};
use thiserror::Error;

// Front, name and the greatest numbers, with the lengths before name and payload.
const _: () = assert!(
    6 + 4 + 1 + NAME_LIMIT + 10 + 10 + 1 + 10 + 2 + PAYLOAD_LIMIT + MAC_BYTES <= DATAGRAM_LIMIT
);

/// Why a message can't be sent.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SealError {
    #[error("the proxy's name has {0} bytes: the others take 1 to {NAME_LIMIT}; give it a shorter LB_NAME")]
    Name(usize),
    #[error("a payload has {0} bytes: at most {PAYLOAD_LIMIT} fit into a datagram")]
    LongPayload(usize),
    #[error("all numbers for datagrams of this start are used up: start the proxy again")]
    Spent,
    #[error("the datagram could not be written: {0}")]
    Encoding(#[from] postcard::Error),
}

/// Numbers and signs the datagrams of one start of a proxy.
#[derive(Debug)]
pub struct Sealer {
    name: String,
    start: u64,
    /// Of the last one.
    sequence: u64,
    keys: Keys,
}

impl Sealer {
    /// `start`: greater than at any earlier start of a proxy of this name, or the others take it for stale.
    pub fn new(name: impl Into<String>, start: u64, keys: Keys) -> Sealer {
        Sealer {
            name: name.into(),
            start,
            sequence: 0,
            keys,
        }
    }

    pub fn set_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Goes on under a later start, with numbers of its own.
    pub fn renew(&mut self, start: u64) {
        if start > self.start {
            (self.start, self.sequence) = (start, 0);
        }
    }

    /// A datagram in place of what is in `out`, which is empty after an error.
    pub fn seal(
        &mut self,
        kind: u8,
        roster_version: u64,
        payload: &[u8],
        out: &mut Vec<u8>,
    ) -> Result<(), SealError> {
        out.clear();
        if self.name.is_empty() || self.name.len() > NAME_LIMIT {
            return Err(SealError::Name(self.name.len()));
        }
        if payload.len() > PAYLOAD_LIMIT {
            return Err(SealError::LongPayload(payload.len()));
        }
        let sequence = self.sequence.checked_add(1).ok_or(SealError::Spent)?;
        let front = Front {
            magic: MAGIC,
            version: VERSION,
            least: LEAST,
        };
        let body = Body {
            name: &self.name,
            start: self.start,
            sequence,
            kind,
            roster_version,
            payload,
        };
        let head = Head {
            front,
            key: self.keys.signing_id(),
            body,
        };
        *out = postcard::to_extend(&head, std::mem::take(out))?;
        out.extend(self.keys.sign(out));
        self.sequence = sequence;
        Ok(())
    }
}
