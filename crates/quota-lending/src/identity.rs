//! Numbers of proxies' and tenants' names, and identities of accounts. All of them are part of the message format.

use std::hash::Hasher as _;

use hash32::{FnvHasher, Hasher as _};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// 32-bit FNV-1a hash.
pub(crate) fn hash(bytes: &[u8]) -> u32 {
    let mut hasher = FnvHasher::default();
    hasher.write(bytes);
    hasher.finish32()
}

/// Number of a name: its 32-bit hash. The caller checks that no two names of one roster or one set of rules collide.
pub fn name_number(name: &str) -> u32 {
    hash(name.as_bytes())
}

/// Identity of an account: its owner, and the incarnation of the owner that opened it. It also identifies a bootstrap member:
/// the incarnation is then the one in which the member's stored state began, which also opened its first account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AccountId {
    /// [`name_number`] of the owner.
    pub owner: u32,
    /// Incarnation of the owner.
    pub incarnation: u64,
}

/// Digest of the list of bootstrap members; 0 if it is empty.
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
