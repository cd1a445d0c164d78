//! The keys of a fleet: one that signs, and optionally a second one that is accepted during a key rotation.

use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};
use std::fmt;
use thiserror::Error;

/// Size of a key in bytes, equal to the size of the digest.
const KEY_BYTES: usize = 32;
/// Size in bytes of the truncated HMAC-SHA256 in a datagram.
pub(crate) const MAC_BYTES: usize = 16;

/// The first bytes of the key's SHA-256: identifies the key that signed, without disclosing the key.
pub(crate) type KeyId = [u8; 4];

/// Why a key file is rejected. No message contains any part of a key.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum KeyError {
    /// The file contains no key.
    #[error("the key file contains no key: add a line of 64 hex digits (openssl rand -hex 32)")]
    NoKey,
    /// The file contains more than two keys.
    #[error(
        "line {line} contains a third key: keep the one that signs and at most one more that is accepted"
    )]
    TooManyKeys {
        /// Line number in the file, from 1.
        line: usize,
    },
    /// A key has the wrong number of characters.
    #[error("line {line} has {found} characters: a key has 64 hex digits (openssl rand -hex 32)")]
    WrongLength {
        /// Line number in the file, from 1.
        line: usize,
        /// Number of characters of the key.
        found: usize,
    },
    /// A key contains characters other than hex digits.
    #[error(
        "line {line} contains characters other than hex digits (0-9, a-f): generate a new key (openssl rand -hex 32)"
    )]
    NotHex {
        /// Line number in the file, from 1.
        line: usize,
    },
    /// Two keys have the same id.
    #[error("line {line} repeats the key before it, or has a key with the same id: generate a new key, or remove the line")]
    DuplicateKey {
        /// Line number of the second key, from 1.
        line: usize,
    },
}

#[derive(Clone)]
struct Key {
    /// Sent unencrypted in each datagram.
    id: KeyId,
    mac: Hmac<Sha256>,
}

/// The keys of a fleet: the first key of the file signs, all keys are accepted.
#[derive(Clone)]
pub struct Keys {
    signing: Key,
    accepted: Option<Key>,
}

impl Keys {
    /// Reads a key file: one key per line, `#` begins a comment.
    pub fn parse(text: &str) -> Result<Keys, KeyError> {
        let entries = text
            .lines()
            .map(|line| line.split('#').next().unwrap_or_default().trim());
        let mut key_lines = entries.enumerate().filter(|(_, digits)| !digits.is_empty());
        let (index, digits) = key_lines.next().ok_or(KeyError::NoKey)?;
        let signing = Key::parse(index + 1, digits)?;
        let second = key_lines
            .next()
            .map(|(index, digits)| Ok((index + 1, Key::parse(index + 1, digits)?)))
            .transpose()?;
        if let Some((line, _)) = second.as_ref().filter(|(_, key)| key.id == signing.id) {
            return Err(KeyError::DuplicateKey { line: *line });
        }
        if let Some((index, _)) = key_lines.next() {
            return Err(KeyError::TooManyKeys { line: index + 1 });
        }
        Ok(Keys {
            signing,
            accepted: second.map(|(_, key)| key),
        })
    }

    /// The ids of the keys in hex, the signing key first. Safe to log.
    pub fn ids(&self) -> Vec<String> {
        [Some(&self.signing), self.accepted.as_ref()]
            .into_iter()
            .flatten()
            .map(|key| hex::encode(key.id))
            .collect()
    }

    pub(crate) fn signing_id(&self) -> KeyId {
        self.signing.id
    }

    pub(crate) fn sign(&self, bytes: &[u8]) -> [u8; MAC_BYTES] {
        let digest = self
            .signing
            .mac
            .clone()
            .chain_update(bytes)
            .finalize()
            .into_bytes();
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&digest[..MAC_BYTES]);
        mac
    }

    /// Whether the key with this id signed the bytes; `None` if there is no such key. The duration does not depend on
    /// which byte of the MAC is wrong.
    pub(crate) fn verify(&self, id: KeyId, bytes: &[u8], mac: &[u8; MAC_BYTES]) -> Option<bool> {
        let key = [Some(&self.signing), self.accepted.as_ref()]
            .into_iter()
            .flatten()
            .find(|key| key.id == id)?;
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
    /// Shows the ids only.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Keys").field(&self.ids()).finish()
    }
}

impl Key {
    fn parse(line: usize, digits: &str) -> Result<Key, KeyError> {
        let found = digits.chars().count();
        if found != 2 * KEY_BYTES {
            return Err(KeyError::WrongLength { line, found });
        }
        let mut bytes = [0; KEY_BYTES];
        hex::decode_to_slice(digits, &mut bytes).map_err(|_| KeyError::NotHex { line })?;
        let digest = Sha256::digest(bytes);
        let mac = Hmac::new_from_slice(&bytes).map_err(|_| KeyError::NotHex { line })?;
        Ok(Key {
            id: [digest[0], digest[1], digest[2], digest[3]],
            mac,
        })
    }
}
