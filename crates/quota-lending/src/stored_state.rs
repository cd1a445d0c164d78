//! State that must survive a restart of the process, and the encoding of its file.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::balances::{saturating_total, Balances, SentTotal, TOTAL_SHARES};
use crate::identity::AccountId;
use crate::messages::Vote;

const VERSION: u8 = 1;
const CHECKSUM_BYTES: usize = 32;

/// Why the host could not write or read the state file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// Writing failed.
    #[error("the state file of quota lending can't be written: {0}; no further loans are made until it can")]
    Write(String),
    /// Reading failed.
    #[error("the state file of quota lending can't be read: {0}; this proxy starts without stored state")]
    Read(String),
}

/// Storage of the host for the bytes of [`crate::Action::Save`].
pub trait Store {
    /// Saves the bytes. Returns once they would survive a power failure.
    fn save(&mut self, bytes: &[u8]) -> Result<(), StoreError>;
    /// Returns the bytes of the last complete save; `None` if there is no file.
    fn load(&mut self) -> Result<Option<Vec<u8>>, StoreError>;
}

/// Why a state file is not usable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum BadFile {
    /// The file has another format version.
    #[error("the file was written by another version of the program")]
    Version,
    /// The checksum does not match.
    #[error(
        "the checksum does not match: the file is truncated, changed, or belongs to another proxy"
    )]
    Checksum,
    /// The checksum matches, but the content is malformed.
    #[error("the checksum matches, but the content can't be decoded")]
    Malformed,
}

/// The stored state. The order of fields is part of the format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct StoredState {
    /// Incarnation in which this state began.
    pub state_incarnation: u64,
    /// Incarnation that opened the account.
    pub account_incarnation: u64,
    /// Bootstrap members in order of their names' numbers; empty before the bootstrap.
    pub bootstrap_members: Vec<AccountId>,
    /// This proxy's votes, by claimed account.
    pub votes: BTreeMap<AccountId, Vote>,
    /// Witnessed transfers: the total, by sending account and tenant.
    pub witnessed: BTreeMap<(AccountId, u32), SentTotal>,
    /// Transfers that a majority has witnessed: the shares for each receiver, by sending account and tenant.
    pub confirmed: BTreeMap<(AccountId, u32), BTreeMap<AccountId, u64>>,
    /// Accounts taken over: the total that each had sent, by account and tenant.
    pub taken_over: BTreeMap<AccountId, BTreeMap<u32, SentTotal>>,
    /// Balances of this proxy's account, by tenant. `lent` includes the reserve: all that may be lent before the next save.
    pub balances: BTreeMap<u32, Balances>,
}

/// Checksum over the proxy's name and the bytes, so that the file of another proxy is not accepted.
fn checksum(name: &str, bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut sha = Sha256::new();
    sha.update((name.len() as u64).to_le_bytes());
    sha.update(name);
    sha.update(bytes);
    sha.finalize().into()
}

impl StoredState {
    pub fn encode(&self, name: &str) -> Option<Vec<u8>> {
        let mut bytes = postcard::to_extend(self, vec![VERSION]).ok()?;
        bytes.extend(checksum(name, &bytes));
        Some(bytes)
    }

    pub fn decode(name: &str, bytes: &[u8]) -> Result<Self, BadFile> {
        let length = bytes
            .len()
            .checked_sub(CHECKSUM_BYTES)
            .ok_or(BadFile::Checksum)?;
        let (body, found) = bytes.split_at(length);
        if checksum(name, body) != found {
            return Err(BadFile::Checksum);
        }
        match body.split_first() {
            Some((&VERSION, rest)) => match postcard::take_from_bytes(rest) {
                Ok((state, [])) => Ok(state),
                _ => Err(BadFile::Malformed),
            },
            _ => Err(BadFile::Version),
        }
    }

    pub fn is_bootstrapped(&self) -> bool {
        !self.bootstrap_members.is_empty()
    }

    pub fn majority(&self) -> usize {
        self.bootstrap_members.len() / 2 + 1
    }

    pub fn is_bootstrap_member(&self, owner: u32, state_incarnation: u64) -> bool {
        let id = AccountId {
            owner,
            incarnation: state_incarnation,
        };
        self.bootstrap_members.binary_search(&id).is_ok()
    }

    /// Shares that an account received at the bootstrap.
    pub fn initial_shares(&self, account: AccountId) -> u64 {
        match self.bootstrap_members.binary_search(&account) {
            Ok(_) => TOTAL_SHARES / self.bootstrap_members.len() as u64,
            Err(_) => 0,
        }
    }

    /// Shares that an account received in confirmed transfers.
    pub fn received_shares(&self, account: AccountId, tenant: u32) -> u64 {
        let of_tenant = self.confirmed.iter().filter(|((_, of), _)| *of == tenant);
        saturating_total(of_tenant.filter_map(|(_, sent)| sent.get(&account)))
    }

    pub fn witnessed_total(&self, account: AccountId, tenant: u32) -> SentTotal {
        self.witnessed
            .get(&(account, tenant))
            .copied()
            .unwrap_or_default()
    }
}
