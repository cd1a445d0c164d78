//! Who should be there: the operators' file, apart from who is heard.

use std::collections::BTreeMap;
use std::hash::Hasher as _;
use std::net::SocketAddr;

use hash32::{FnvHasher, Hasher as _};
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::SplitMix64;

/// One proxy of the fleet. Its address is the one that this proxy sends to: others may have another for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    pub name: String,
    pub address: SocketAddr,
    pub region: String,
}

/// Who should be there. The version is the operators': proxies that say another one disagree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster {
    pub version: u64,
    pub members: Vec<Member>,
}

/// What is wrong with a roster.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RosterError {
    #[error(
        "the roster has no member {0:?}, which is this proxy: add it, or start the proxy under a name in it"
    )]
    WithoutMe(String),
    #[error("the roster names {0:?} twice: a name is one proxy, remove one of them")]
    Twice(String),
    #[error(
        "the names {0:?} and {1:?} have the same number (a hash of the name): rename one of them"
    )]
    SameNumber(String, String),
}

/// The number that all proxies know a name by (FNV-1a, 32 bits): gossip is shorter for it, and needs no table.
pub fn number(name: &str) -> u32 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish32()
}

/// The first number of SplitMix64 from that seed: one that looks random, the same everywhere.
pub(crate) fn mixed(seed: u64) -> u64 {
    SplitMix64::seed_from_u64(seed).next_u64()
}

/// A hash goes on over bytes.
pub(crate) fn hash_bytes(hash: u64, bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(mixed(hash), |hash, byte| mixed(hash ^ u64::from(*byte)))
}

/// A roster with its members by number.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    pub version: u64,
    pub members: BTreeMap<u32, Member>,
}

impl Known {
    pub fn new(me: &str, roster: Roster) -> Result<Self, RosterError> {
        let mut members: BTreeMap<u32, Member> = BTreeMap::new();
        for member in roster.members {
            if let Some(other) = members.get(&number(&member.name)) {
                return Err(if other.name == member.name {
                    RosterError::Twice(member.name)
                } else {
                    RosterError::SameNumber(other.name.clone(), member.name)
                });
            }
            members.insert(number(&member.name), member);
        }
        match members.get(&number(me)) {
            Some(mine) if mine.name == me => Ok(Self {
                version: roster.version,
                members,
            }),
            _ => Err(RosterError::WithoutMe(me.to_owned())),
        }
    }
}
