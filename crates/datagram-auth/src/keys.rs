//! The keys of a fleet: one that signs, and one more that is accepted while the key is being changed.

use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};
use std::fmt;
use thiserror::Error;

/// Bytes of a key: as many as the digest has.
const KEY_BYTES: usize = 32;
pub(crate) const MAC_BYTES: usize = 16;

pub(crate) type KeyId = [u8; 4];

/// Why a key file is none. No message holds any part of a key.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum KeyError {
    #[error(
        "the key file holds no key: write one of 64 hex digits into a line (openssl rand -hex 32)"
    )]
    NoKey,
    #[error(
        "line {line} holds a third key: keep the one that signs and one more that is accepted"
    )]
    TooMany { line: usize },
    #[error("line {line} has {found} characters: a key has 64 hex digits (openssl rand -hex 32)")]
    Length { line: usize, found: usize },
    #[error(
        "line {line} is not of hex digits only (0-9, a-f): make a new key (openssl rand -hex 32)"
    )]
    NotHex { line: usize },
    #[error("line {line} has the key of the line before, or one that can't be told from it: make a new key, or remove the line")]
    Twice { line: usize },
}

#[derive(Clone)]
struct Key {
    /// In the clear in each datagram.
    id: KeyId,
    mac: Hmac<Sha256>,
}

/// One key or two: the first signs, all are accepted.
#[derive(Clone)]
pub struct Keys {
    signing: Key,
    other: Option<Key>,
}

impl Keys {
    /// From a key file: a key a line, `#` begins a comment.
    pub fn parse(text: &str) -> Result<Keys, KeyError> {
        let words = text
            .lines()
            .map(|line| line.split('#').next().unwrap_or_default().trim());
        let mut stated = words.enumerate().filter(|(_, word)| !word.is_empty());
        let (at, word) = stated.next().ok_or(KeyError::NoKey)?;
        let signing = Key::parse(at + 1, word)?;
        let other = stated
            .next()
            .map(|(at, word)| Ok((at + 1, Key::parse(at + 1, word)?)))
            .transpose()?;
        if let Some((line, _)) = other.as_ref().filter(|(_, key)| key.id == signing.id) {
            return Err(KeyError::Twice { line: *line });
        }
        if let Some((at, _)) = stated.next() {
            return Err(KeyError::TooMany { line: at + 1 });
        }
        Ok(Keys {
            signing,
            other: other.map(|(_, key)| key),
        })
    }

    /// The key's name in the clear, for logs: the one that signs first.
    pub fn ids(&self) -> Vec<String> {
        [Some(&self.signing), self.other.as_ref()]
            .into_iter()
            .flatten()
            .map(|k| hex::encode(k.id))
            .collect()
    }

    pub(crate) fn signing_id(&self) -> KeyId {
        self.signing.id
    }

    pub(crate) fn sign(&self, bytes: &[u8]) -> [u8; MAC_BYTES] {
        let whole = self
            .signing
            .mac
            .clone()
            .chain_update(bytes)
            .finalize()
            .into_bytes();
        let mut cut = [0; MAC_BYTES];
        cut.copy_from_slice(&whole[..MAC_BYTES]);
        cut
    }

    /// Whether the bytes are signed by the key of that name; none: there is no such key. Takes the same time whatever
    /// the first wrong byte is.
    pub(crate) fn verify(&self, id: KeyId, bytes: &[u8], mac: &[u8; MAC_BYTES]) -> Option<bool> {
        let key = [Some(&self.signing), self.other.as_ref()]
            .into_iter()
            .flatten()
            .find(|k| k.id == id)?;
        Some(
            key.mac
                .clone()
                .chain_update(bytes)
                .verify_truncated_left(mac)
                .is_ok(),
        )
    }
}

impl fmt::Debug for Keys {
    /// The names in the clear alone.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Keys").field(&self.ids()).finish()
    }
}

impl Key {
    fn parse(line: usize, word: &str) -> Result<Key, KeyError> {
        let found = word.chars().count();
        if found != 2 * KEY_BYTES {
            return Err(KeyError::Length { line, found });
        }
        let mut bytes = [0; KEY_BYTES];
        hex::decode_to_slice(word, &mut bytes).map_err(|_| KeyError::NotHex { line })?;
        let digest = Sha256::digest(bytes);
        let mac = Hmac::new_from_slice(&bytes).map_err(|_| KeyError::NotHex { line })?;
        Ok(Key {
            id: [digest[0], digest[1], digest[2], digest[3]],
            mac,
        })
    }
}
