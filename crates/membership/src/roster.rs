//! Who should be in the fleet, by the operators' file. Who is reachable is another matter.

use std::collections::BTreeMap;
use std::hash::Hasher as _;
use std::net::SocketAddr;

use hash32::{FnvHasher, Hasher as _};
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::SplitMix64;

/// One proxy of the fleet. Its address is the one that this proxy sends to; other proxies may have another one for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Unique in the fleet.
    pub name: String,
    /// Where its datagrams are sent to.
    pub address: SocketAddr,
    /// Its region, for regional quorums.
    pub region: String,
}

/// Who should be in the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster {
    /// Set by the operators. Members with different versions do not promote changes.
    pub version: u64,
    /// All proxies, this one included.
    pub members: Vec<Member>,
}

/// Why a roster is rejected. A retry needs another roster.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RosterError {
    /// This process is not in it.
    #[error(
        "the roster has no member {0:?}, which is this proxy: add it, or start the proxy under a name in it"
    )]
    MissingSelf(String),
    /// A name stands in it twice.
    #[error("the roster names {0:?} twice: a name is one proxy, remove one of them")]
    DuplicateName(String),
    /// Two names have the same id.
    #[error(
        "the names {0:?} and {1:?} have the same number (a hash of the name): rename one of them"
    )]
    IdCollision(String, String),
}

/// The id of a member on the wire: a hash of its name (FNV-1a, 32 bits). Shorter than the name, and the same at every member.
pub fn member_id(name: &str) -> u32 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish32()
}

/// The first number of SplitMix64 from this seed: a hash that is the same on every host.
pub(crate) fn mix(seed: u64) -> u64 {
    SplitMix64::seed_from_u64(seed).next_u64()
}

/// Continues a hash over bytes.
pub(crate) fn hash_bytes(hash: u64, bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(mix(hash), |hash, byte| mix(hash ^ u64::from(*byte)))
}

/// A roster with its members by id.
#[derive(Clone, Debug)]
pub(crate) struct IndexedRoster {
    pub version: u64,
    pub members: BTreeMap<u32, Member>,
}

impl IndexedRoster {
    pub fn new(own_name: &str, roster: Roster) -> Result<Self, RosterError> {
        let mut members: BTreeMap<u32, Member> = BTreeMap::new();
        for member in roster.members {
            if let Some(other) = members.get(&member_id(&member.name)) {
                return Err(if other.name == member.name {
                    RosterError::DuplicateName(member.name)
                } else {
                    RosterError::IdCollision(other.name.clone(), member.name)
                });
            }
            members.insert(member_id(&member.name), member);
        }
        match members.get(&member_id(own_name)) {
            Some(mine) if mine.name == own_name => Ok(Self {
                version: roster.version,
                members,
            }),
            _ => Err(RosterError::MissingSelf(own_name.to_owned())),
        }
    }
}
