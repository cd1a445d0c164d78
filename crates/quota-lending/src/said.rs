//! What proxies say to each other: bodies of facts, and how rows merge.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::hash::Hasher as _;

use hash32::{FnvHasher, Hasher as _};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::rules::Milli;

pub const KEY_BYTES: usize = 32;
pub const BODY_BYTES: usize = 512;
/// The first byte of each body.
const VERSION: u8 = 1;

pub const PULSE: u8 = 64;
pub const FOUNDED: u8 = 65;
pub const ROW: u8 = 66;
pub const WITNESS: u8 = 67;
pub const CLAIM: u8 = 68;
pub const VOTE: u8 = 69;
/// 70 is the host's own, for room that is short.
pub const ASKS: u8 = 71;
pub const PAID: u8 = 72;

/// Whether a kind is for [`crate::Core`].
pub fn is_said(kind: u8) -> bool {
    matches!(kind, PULSE..=VOTE | ASKS..=PAID)
}

/// All lanes of a stand together.
pub const WHOLE: u64 = 1 << 30;

/// What a lane gave in all for a stand, as far as seen: it only grows. At half of the whole in each second a lane gives for a
/// thousand years before 64 bits are full. A number takes as many bytes as it needs, so the numbers of 32 bits that earlier
/// builds say and keep are the same bytes; what is greater these can't read, and so count it as lost.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "u64", into = "u64")]
pub struct Given(u64);

impl Given {
    /// Of a row that no lane has: more than can be given. It witnesses nothing, and leaves nothing to take over.
    pub const UNTRUE: Given = Given(u64::MAX);
    /// How it is said and kept, as by builds for which no lane could give more. No lane gives exactly so much.
    const UNTRUE_SAID: u64 = u32::MAX as u64;

    /// Does who has seen this know of all these gifts?
    pub fn witnesses(self, given: Given) -> bool {
        self >= given && self < Given::UNTRUE
    }

    /// What is left of all that a lane held.
    pub fn left(self, held: u64) -> u64 {
        held.saturating_sub(self.0)
    }

    pub fn is_none(self) -> bool {
        self.0 == 0
    }
}

impl From<u64> for Given {
    fn from(sum: u64) -> Given {
        if sum == Given::UNTRUE_SAID {
            Given::UNTRUE
        } else {
            Given(sum)
        }
    }
}

impl From<Given> for u64 {
    fn from(given: Given) -> u64 {
        if given == Given::UNTRUE {
            Given::UNTRUE_SAID
        } else {
            given.0
        }
    }
}

/// FNV-1a of 32 bits.
fn hash(bytes: &[u8]) -> u32 {
    let mut hasher = FnvHasher::default();
    hasher.write(bytes);
    hasher.finish32()
}

/// A name as a number, as long as no two of one roster or one set of rules meet.
pub fn number(name: &str) -> u32 {
    hash(name.as_bytes())
}

/// A name with the start at which a lane, or a memory, began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    pub name: u32,
    pub from: u64,
}

/// Who says it: with which memory, for which lane, in which process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Head {
    /// Of the founders that it knows of; 0: none.
    pub founders: u64,
    pub memory: u64,
    pub lane: u64,
    pub life: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulse {
    pub head: Head,
    /// Has waited so long since its start that nothing that a former life lent is out.
    pub ripe: bool,
    pub beat: u32,
    /// The last beat heard of each: number of the founder, or the lane of another.
    pub founders: Vec<(u8, u32)>,
    pub others: Vec<(Id, u32)>,
}

/// A beat as it is echoed.
pub fn mark(life: u64, beat: u32) -> u32 {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&life.to_le_bytes());
    bytes[8..].copy_from_slice(&beat.to_le_bytes());
    hash(&bytes)
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Founded {
    pub head: Head,
    pub least: u64,
    pub members: Vec<(u32, u64)>,
}

/// A sum that a liar's numbers do not overflow.
pub(crate) fn total<'a>(gave: impl IntoIterator<Item = &'a u64>) -> u64 {
    gave.into_iter()
        .fold(0, |sum, gave| sum.saturating_add(*gave))
}

/// What a lane says of a stand. One writer; every number but the line and the demand only grows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// What its rules say: the smallest heard holds.
    pub line: Milli,
    pub lent: Milli,
    pub repaid: Milli,
    pub written_off: Milli,
    /// Asked beyond quota lately.
    pub demand: Milli,
    /// Shares of dead lanes.
    pub took: u64,
    pub gave: BTreeMap<Id, u64>,
}

impl Row {
    pub fn given(&self) -> Given {
        total(self.gave.values()).into()
    }

    /// How many both name together.
    pub fn receivers_with(&self, other: &Row) -> usize {
        self.gave.len()
            + other
                .gave
                .keys()
                .filter(|to| !self.gave.contains_key(to))
                .count()
    }

    /// The greater of each number. Line and demand are those of the newer row, which has lent, repaid and given no less;
    /// where that does not tell, the stricter line: a lane at rest says a new rule with the old numbers.
    pub fn merge(&mut self, other: &Row) {
        let newer = |row: &Row| (row.lent, row.repaid, row.written_off, row.given(), row.took);
        let rank = |row: &Row| (newer(row), Reverse(row.line), row.demand);
        if rank(other) > rank(self) {
            self.line = other.line;
            self.demand = other.demand;
        }
        self.lent = self.lent.max(other.lent);
        self.repaid = self.repaid.max(other.repaid);
        self.written_off = self.written_off.max(other.written_off);
        self.took = self.took.max(other.took);
        for (to, gave) in &other.gave {
            let mine = self.gave.entry(*to).or_default();
            *mine = (*mine).max(*gave);
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SaidRow {
    pub head: Head,
    pub row: Row,
}

/// What each lane gave in all for a stand, as far as seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Witness {
    pub head: Head,
    pub founders: Vec<(u8, Given)>,
    pub others: Vec<(Id, Given)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    pub head: Head,
    pub lane: Id,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Vote {
    pub to: Id,
    /// What the lane gave in all for each stand, as far as seen; no more is seen of it afterwards.
    pub given: BTreeMap<u32, Given>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SaidVote {
    pub head: Head,
    pub lane: Id,
    pub vote: Vote,
}

/// What this lane is owed and can't withhold where it is, by stand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Asks {
    pub head: Head,
    pub stands: Vec<(u32, Milli)>,
}

/// What this process withheld for lanes of others: number of the name, stand, and all of it so far.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Paid {
    pub head: Head,
    pub lanes: Vec<(u32, u32, Milli)>,
}

/// None: longer than a fact may be.
pub fn encode<T: Serialize>(body: &T) -> Option<Vec<u8>> {
    let bytes = postcard::to_extend(body, vec![VERSION]).ok()?;
    (bytes.len() <= BODY_BYTES).then_some(bytes)
}

/// None: not of this version, or not whole.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    match bytes.split_first() {
        Some((&VERSION, rest)) => match postcard::take_from_bytes(rest) {
            Ok((body, [])) => Some(body),
            _ => None,
        },
        _ => None,
    }
}

pub fn digest(founders: &[Id]) -> u64 {
    if founders.is_empty() {
        return 0;
    }
    let mut sha = Sha256::new();
    for id in founders {
        sha.update(id.name.to_le_bytes());
        sha.update(id.from.to_le_bytes());
    }
    let all: [u8; 32] = sha.finalize().into();
    let mut first = [0; 8];
    first.copy_from_slice(&all[..8]);
    u64::from_le_bytes(first).max(1)
}
