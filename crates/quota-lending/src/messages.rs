//! Messages between proxies: their kinds, bodies and encoding. The order of fields is part of the format.

use std::collections::BTreeMap;

use serde::{de::DeserializeOwned, Deserialize, Serialize};

use crate::balances::{Balances, SentTotal};
use crate::identity::{hash, AccountId};
use crate::rules::MilliRequests;

/// Maximum length of a key.
pub const KEY_BYTES: usize = 32;
/// Maximum length of an encoded body.
pub const BODY_BYTES: usize = 512;
/// Format version: the first byte of each body.
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
// Kind 70 belongs to the host: it reports a shortage of capacity for tenants within quota.
/// Kind of [`RepaymentRequest`], with an empty key.
pub const REPAYMENT_REQUEST: u8 = 71;
/// Kind of [`RepaymentReport`], with an empty key.
pub const REPAYMENT_REPORT: u8 = 72;

/// Whether messages of a kind have to be passed to [`crate::Lender`].
pub fn is_lending_message(kind: u8) -> bool {
    matches!(kind, HEARTBEAT..=VOTE | REPAYMENT_REQUEST..=REPAYMENT_REPORT)
}

/// Identity of a message's sender, as of its stored state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Sender {
    /// [`crate::identity::bootstrap_digest`] of the bootstrap members known to the sender; 0 if it knows none.
    pub bootstrap_digest: u64,
    /// Incarnation in which the sender's stored state began.
    pub state_incarnation: u64,
    /// Incarnation that opened the sender's account.
    pub account_incarnation: u64,
    /// Incarnation of the sender's process.
    pub incarnation: u64,
}

/// Heartbeat of a proxy. It renews the leases of others by echoing the last heartbeat received of each other account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender of the message.
    pub sender: Sender,
    /// Whether the quarantine period has passed since the start of the sender's process: all loans of its earlier processes are
    /// over.
    pub quarantine_over: bool,
    /// Sequence number of this heartbeat.
    pub number: u32,
    /// Echoes: index of a bootstrap member, and [`heartbeat_mark`] of its last heartbeat.
    pub bootstrap_echoes: Vec<(u8, u32)>,
    /// Echoes for accounts outside the bootstrap members: the account, and [`heartbeat_mark`] of its last heartbeat.
    pub other_echoes: Vec<(AccountId, u32)>,
}

/// Mark by which a heartbeat is echoed: hash of the incarnation of its process and its sequence number.
pub fn heartbeat_mark(incarnation: u64, number: u32) -> u32 {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&incarnation.to_le_bytes());
    bytes[8..].copy_from_slice(&number.to_le_bytes());
    hash(&bytes)
}

/// The bootstrap members. They never change after the bootstrap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootstrapMembers {
    /// Sender of the message.
    pub sender: Sender,
    /// Smallest incarnation of all bootstrap members.
    pub least_incarnation: u64,
    /// For each member: number of its name, and the difference of its incarnation from the smallest one.
    pub members: Vec<(u32, u64)>,
}

/// Balances of the sender's account for a tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedBalances {
    /// Sender of the message.
    pub sender: Sender,
    /// The balances.
    pub balances: Balances,
}

/// Totals of the transfers that the sender has witnessed, by sending account, for one tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessedTransfers {
    /// Sender of the message.
    pub sender: Sender,
    /// Index of a bootstrap member, and the total that its first account sent.
    pub bootstrap_members: Vec<(u8, SentTotal)>,
    /// Other accounts, and the total that each sent.
    pub others: Vec<(AccountId, SentTotal)>,
}

/// Claim of the sender to take over an account from whose owner no heartbeats arrive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnershipClaim {
    /// Sender of the claim.
    pub sender: Sender,
    /// The claimed account.
    pub account: AccountId,
}

/// A vote on an ownership claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// Account that takes the claimed one over if a majority votes the same.
    pub to: AccountId,
    /// By tenant: total of the claimed account's transfers that the voter has witnessed. After its vote the voter witnesses no
    /// more of them.
    pub sent: BTreeMap<u32, SentTotal>,
}

/// The sender's vote on a claim to an account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedVote {
    /// The voter.
    pub sender: Sender,
    /// The claimed account.
    pub account: AccountId,
    /// The vote.
    pub vote: Vote,
}

/// Debts to the sender that its part of the tenants' quota can't repay in time: other proxies are requested to withhold quota
/// for them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepaymentRequest {
    /// The lender.
    pub sender: Sender,
    /// Number of a tenant, and the amount to repay.
    pub tenants: Vec<(u32, MilliRequests)>,
}

/// Amounts that the sender's process has withheld on behalf of other lenders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepaymentReport {
    /// The proxy that withheld the amounts.
    pub sender: Sender,
    /// Number of the lender's name, number of the tenant, and the total since the process started.
    pub totals: Vec<(u32, u32, MilliRequests)>,
}

/// Message key of an account.
pub fn account_key(account: AccountId) -> Vec<u8> {
    let mut key = account.owner.to_le_bytes().to_vec();
    key.extend(account.incarnation.to_le_bytes());
    key
}

/// Encodes a body. `None` if the encoding is longer than [`BODY_BYTES`].
pub fn encode<T: Serialize>(body: &T) -> Option<Vec<u8>> {
    let bytes = postcard::to_extend(body, vec![VERSION]).ok()?;
    (bytes.len() <= BODY_BYTES).then_some(bytes)
}

/// Decodes a body. `None` if it is of another version or malformed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    match bytes.split_first() {
        Some((&VERSION, rest)) => match postcard::take_from_bytes(rest) {
            Ok((body, [])) => Some(body),
            _ => None,
        },
        _ => None,
    }
}
