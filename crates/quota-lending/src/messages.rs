//! Messages between proxies: their kinds, bodies and encoding. The order of fields is part of the format.

use std::collections::BTreeMap;

use serde::{de::DeserializeOwned, Deserialize, Serialize};

use crate::balances::{Balances, SentTotal};
use crate::identity::{hash, AccountId};
use crate::rules::MilliRequests;

/// The longest key.
pub const KEY_BYTES: usize = 32;
/// The longest encoded body.
pub const BODY_BYTES: usize = 512;
/// The first byte of each body.
const VERSION: u8 = 1;

/// Kind of [`Heartbeat`], with an empty key.
pub const HEARTBEAT: u8 = 64;
/// Kind of [`BootstrapMembers`], with an empty key.
pub const BOOTSTRAP_MEMBERS: u8 = 65;
/// Kind of [`PublishedBalances`], with the tenant's number as key.
pub const BALANCES: u8 = 66;
/// Kind of [`WitnessedTransfers`], with the tenant's number as key.
pub const WITNESS: u8 = 67;
/// Kind of [`OwnershipClaim`], with [`account_key`] as key.
pub const CLAIM: u8 = 68;
/// Kind of [`PublishedVote`], with [`account_key`] as key.
pub const VOTE: u8 = 69;
// 70 is the host's: tenants within quota lack capacity.
/// Kind of [`RepaymentRequest`], with an empty key.
pub const REPAYMENT_REQUEST: u8 = 71;
/// Kind of [`RepaymentReport`], with an empty key.
pub const REPAYMENT_REPORT: u8 = 72;

/// Whether messages of a kind are for [`crate::Lender`].
pub fn is_lending_message(kind: u8) -> bool {
    matches!(kind, HEARTBEAT..=VOTE | REPAYMENT_REQUEST..=REPAYMENT_REPORT)
}

/// The sender of a message, as of its stored state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Sender {
    /// [`crate::identity::bootstrap_digest`] of the bootstrap members that it knows; 0: none.
    pub bootstrap_digest: u64,
    /// Incarnation in which its stored state began.
    pub state_incarnation: u64,
    /// Incarnation that opened its account.
    pub account_incarnation: u64,
    /// Incarnation of its process.
    pub incarnation: u64,
}

/// Renews leases: names the last heartbeat that was heard of each other account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who sends it.
    pub sender: Sender,
    /// Whether the quarantine period has passed since its start: nothing that a former process lent is owed.
    pub quarantine_over: bool,
    /// Number of this heartbeat.
    pub number: u32,
    /// Index of a bootstrap member, and [`heartbeat_mark`] of its last heartbeat.
    pub bootstrap_echoes: Vec<(u8, u32)>,
    /// The same for other accounts.
    pub other_echoes: Vec<(AccountId, u32)>,
}

/// A heartbeat as it is echoed: of the incarnation of a process and the number of the heartbeat.
pub fn heartbeat_mark(incarnation: u64, number: u32) -> u32 {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&incarnation.to_le_bytes());
    bytes[8..].copy_from_slice(&number.to_le_bytes());
    hash(&bytes)
}

/// The bootstrap members, which never change once they are agreed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootstrapMembers {
    /// Who sends it.
    pub sender: Sender,
    /// The least incarnation of any of them.
    pub least_incarnation: u64,
    /// Number of the name, and what its incarnation is above the least.
    pub members: Vec<(u32, u64)>,
}

/// Balances of the sender's account for a tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedBalances {
    /// Who sends it.
    pub sender: Sender,
    /// The balances.
    pub balances: Balances,
}

/// Totals of transfers that the sender has seen of each account, for a tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessedTransfers {
    /// Who sends it.
    pub sender: Sender,
    /// Index of a bootstrap member, and what it sent.
    pub bootstrap_members: Vec<(u8, SentTotal)>,
    /// The same for other accounts.
    pub others: Vec<(AccountId, SentTotal)>,
}

/// The sender claims an account whose owner is not heard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnershipClaim {
    /// Who claims it.
    pub sender: Sender,
    /// The account.
    pub account: AccountId,
}

/// A vote on an ownership claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// The account that shall take over.
    pub to: AccountId,
    /// What the claimed account sent for each tenant, as far as the voter has seen; afterwards it witnesses no more of it.
    pub sent: BTreeMap<u32, SentTotal>,
}

/// The sender's vote about an account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedVote {
    /// Who votes.
    pub sender: Sender,
    /// The claimed account.
    pub account: AccountId,
    /// The vote.
    pub vote: Vote,
}

/// What tenants owe the sender and can't repay there, by the tenant's number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepaymentRequest {
    /// Who is owed.
    pub sender: Sender,
    /// Number of the tenant, and the amount.
    pub tenants: Vec<(u32, MilliRequests)>,
}

/// What the sender's process has withheld on behalf of others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepaymentReport {
    /// Who withheld it.
    pub sender: Sender,
    /// Number of the lender's name, number of the tenant, and the total so far.
    pub totals: Vec<(u32, u32, MilliRequests)>,
}

/// The key of messages about an account.
pub fn account_key(account: AccountId) -> Vec<u8> {
    let mut key = account.owner.to_le_bytes().to_vec();
    key.extend(account.incarnation.to_le_bytes());
    key
}

/// Encodes a body. None: longer than [`BODY_BYTES`].
pub fn encode<T: Serialize>(body: &T) -> Option<Vec<u8>> {
    let bytes = postcard::to_extend(body, vec![VERSION]).ok()?;
    (bytes.len() <= BODY_BYTES).then_some(bytes)
}

/// Decodes a body. None: not of this version, or malformed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    match bytes.split_first() {
        Some((&VERSION, rest)) => match postcard::take_from_bytes(rest) {
            Ok((body, [])) => Some(body),
            _ => None,
        },
        _ => None,
    }
}
