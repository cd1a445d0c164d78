//! Names of proxies and tenants as numbers, and identities of accounts. All of it is part of the message format.

use std::hash::Hasher as _;

use hash32::{FnvHasher, Hasher as _};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// FNV-1a of 32 bits.
pub(crate) fn hash(bytes: &[u8]) -> u32 {
    let mut hasher = FnvHasher::default();
    hasher.write(bytes);
    hasher.finish32()
}

/// The number of a name. The caller checks that no two names of one roster or one set of rules collide.
pub fn name_number(name: &str) -> u32 {
    hash(name.as_bytes())
}

/// An account: its owner, and the incarnation of the owner that opened it. A bootstrap member is named in the same way: the
/// incarnation is then the one in which its stored state began, which also opened its first account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AccountId {
    /// [`name_number`] of the owner.
    pub owner: u32,
    /// Incarnation of the owner.
    pub incarnation: u64,
}

/// Identifies a set of bootstrap members; 0: none.
pub fn bootstrap_digest(members: &[AccountId]) -> u64 {
    if members.is_empty() {
        return 0;
    }
    let mut sha = Sha256::new();
    for id in members {
        sha.update(id.owner.to_le_bytes());
        sha.update(id.incarnation.to_le_bytes());
    }
    let all: [u8; 32] = sha.finalize().into();
    let mut first = [0; 8];
    first.copy_from_slice(&all[..8]);
    u64::from_le_bytes(first).max(1)
}
