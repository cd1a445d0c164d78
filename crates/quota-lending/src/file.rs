//! What must not be forgotten, and the file that it is kept in.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::said::{Given, Id, Row, Vote};

const VERSION: u8 = 1;
const SUM: usize = 32;

/// Why the host could not keep or read the file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    #[error("the file of loans can't be written: {0}; nothing more is lent until it can")]
    Write(String),
    #[error("the file of loans can't be read: {0}; this proxy starts without memory")]
    Read(String),
}

/// Where the host keeps the bytes of [`crate::Action::Save`]. `save` returns when they would survive a loss of power.
pub trait Store {
    fn save(&mut self, bytes: &[u8]) -> Result<(), StoreError>;
    fn load(&mut self) -> Result<Option<Vec<u8>>, StoreError>;
}

/// Why a file is no memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum BadFile {
    #[error("it is of another version of the program")]
    Version,
    #[error("it is torn or changed, or another proxy's: its sum does not fit")]
    Sum,
    #[error("its sum fits, but it can't be understood")]
    Form,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Kept {
    /// The start at which this memory began.
    pub memory: u64,
    /// The start that names the lane.
    pub lane: u64,
    /// In order of names; empty: not founded.
    pub founders: Vec<Id>,
    pub votes: BTreeMap<Id, Vote>,
    /// What a lane gave in all for a stand, as far as seen.
    pub seen: BTreeMap<(Id, u32), Given>,
    /// Gifts that more than half of the founders have seen.
    pub firm: BTreeMap<(Id, u32), BTreeMap<Id, u64>>,
    /// Lanes taken over, with what they had given.
    pub taken: BTreeMap<Id, BTreeMap<u32, Given>>,
    /// Of the own lane; `lent` is what may have been lent until the next file.
    pub rows: BTreeMap<u32, Row>,
}

fn sum(name: &str, bytes: &[u8]) -> [u8; SUM] {
    let mut sha = Sha256::new();
    sha.update((name.len() as u64).to_le_bytes());
    sha.update(name);
    sha.update(bytes);
    sha.finalize().into()
}

impl Kept {
    pub fn write(&self, name: &str) -> Option<Vec<u8>> {
        let mut bytes = postcard::to_extend(self, vec![VERSION]).ok()?;
        bytes.extend(sum(name, &bytes));
        Some(bytes)
    }

    pub fn read(name: &str, bytes: &[u8]) -> Result<Self, BadFile> {
        let (body, found) = bytes.split_at(bytes.len().checked_sub(SUM).ok_or(BadFile::Sum)?);
        if sum(name, body) != found {
            return Err(BadFile::Sum);
        }
        match body.split_first() {
            Some((&VERSION, rest)) => match postcard::take_from_bytes(rest) {
                Ok((kept, [])) => Ok(kept),
                _ => Err(BadFile::Form),
            },
            _ => Err(BadFile::Version),
        }
    }
}
