//! The roster: the members of the fleet according to the operators' file, whether they are reachable or not.

use std::collections::BTreeMap;
use std::hash::Hasher as _;
use std::net::SocketAddr;

use hash32::{FnvHasher, Hasher as _};
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::SplitMix64;

/// One proxy of the fleet. `address` is the one that this proxy sends to; the rosters of other proxies may have a
/// different one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Unique in the fleet.
    pub name: String,
    /// Destination of datagrams to this member.
    pub address: SocketAddr,
    /// Region of the member; each region has its own quorum state.
    pub region: String,
}

/// The members of the fleet according to the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster {
    /// Set by the operators. Promotions stop while reachable members have different versions.
    pub version: u64,
    /// All proxies, including this one.
    pub members: Vec<Member>,
}

/// Why a roster is rejected. Only another roster helps; a retry does not.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RosterError {
    /// The roster does not contain this process.
    #[error(
        "the roster does not contain this proxy, {0:?}: add it, or start the proxy under a name from the roster"
    )]
    MissingSelf(String),
    /// The roster contains a name twice.
    #[error("the roster contains the name {0:?} twice: names identify proxies, so remove or rename one of the two entries")]
    DuplicateName(String),
    /// Two names have the same id.
    #[error("the names {0:?} and {1:?} have the same id (a hash of the name): rename one of them")]
    IdCollision(String, String),
}

/// The id of a member on the wire: a hash of its name (FNV-1a, 32 bits). It is shorter than the name, and the same at
/// every member.
pub fn member_id(name: &str) -> u32 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish32()
}

/// The first output of SplitMix64 for a seed: a hash that is the same on every host.
pub(crate) fn mix(seed: u64) -> u64 {
    SplitMix64::seed_from_u64(seed).next_u64()
}

/// Extends a hash by bytes.
pub(crate) fn hash_bytes(hash: u64, bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(mix(hash), |hash, byte| mix(hash ^ u64::from(*byte)))
}

/// A roster with its members indexed by id.
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
            Some(own) if own.name == own_name => Ok(Self {
                version: roster.version,
                members,
            }),
            _ => Err(RosterError::MissingSelf(own_name.to_owned())),
        }
    }
}
