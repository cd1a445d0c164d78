//! Balances of an account for one tenant, how copies of them merge, and the total of its transfers.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::identity::AccountId;
use crate::rules::MilliRequests;

/// Shares of all accounts together, for one tenant.
pub const TOTAL_SHARES: u64 = 1 << 30;

/// A sum that a malicious member's numbers can't overflow.
pub(crate) fn saturating_total<'a>(shares: impl IntoIterator<Item = &'a u64>) -> u64 {
    shares
        .into_iter()
        .fold(0, |sum, shares| sum.saturating_add(*shares))
}

/// Shares that an account sent in all for a tenant; it only grows. 64 bits last for a thousand years of sending half of
/// [`TOTAL_SHARES`] each second. The encoding is of variable length: numbers of 32 bits have the bytes that earlier builds write,
/// and a greater one is unreadable to these, which treat the message as lost.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "u64", into = "u64")]
pub struct SentTotal(u64);

impl SentTotal {
    /// Of balances that are invalid: more than any account can send. It witnesses nothing, and leaves nothing to take over.
    pub const INVALID: SentTotal = SentTotal(u64::MAX);
    /// Encoding of [`SentTotal::INVALID`], from builds with 32 bits. No account sends exactly so much.
    const INVALID_ENCODED: u64 = u32::MAX as u64;

    /// Whether a proxy that has seen this total knows all transfers of that one.
    pub fn witnesses(self, total: SentTotal) -> bool {
        self >= total && self < SentTotal::INVALID
    }

    /// What is left of the shares that an account received.
    pub fn remaining_of(self, received: u64) -> u64 {
        received.saturating_sub(self.0)
    }

    /// Whether nothing was sent.
    pub fn is_zero(self) -> bool {
        self.0 == 0
    }
}

impl From<u64> for SentTotal {
    fn from(total: u64) -> SentTotal {
        if total == SentTotal::INVALID_ENCODED {
            SentTotal::INVALID
        } else {
            SentTotal(total)
        }
    }
}

impl From<SentTotal> for u64 {
    fn from(total: SentTotal) -> u64 {
        if total == SentTotal::INVALID {
            SentTotal::INVALID_ENCODED
        } else {
            total.0
        }
    }
}

/// Balances of an account for one tenant. Only the owner writes them; all numbers but the limit and the demand only grow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Balances {
    /// Credit limit by the owner's rules; the smallest of all proxies is in force.
    pub credit_limit: MilliRequests,
    /// Lent since the account was opened.
    pub lent: MilliRequests,
    /// Repaid of it.
    pub repaid: MilliRequests,
    /// Written off of it.
    pub written_off: MilliRequests,
    /// Recent demand beyond quota.
    pub demand: MilliRequests,
    /// Shares of accounts that this one took over.
    pub taken_over: u64,
    /// Shares sent in all, by receiver.
    pub sent: BTreeMap<AccountId, u64>,
}

impl Balances {
    /// Total of all transfers.
    pub fn sent_total(&self) -> SentTotal {
        saturating_total(self.sent.values()).into()
    }

    /// The number of receivers that both together name.
    pub fn receivers_with(&self, other: &Balances) -> usize {
        self.sent.len()
            + other
                .sent
                .keys()
                .filter(|to| !self.sent.contains_key(to))
                .count()
    }

    /// The greater of each number. Limit and demand are those of the newer copy, which has lent, repaid and sent no less;
    /// where these are equal, the stricter limit: an idle account publishes a new rule with the old numbers.
    pub fn merge(&mut self, other: &Balances) {
        let version = |balances: &Balances| {
            (
                balances.lent,
                balances.repaid,
                balances.written_off,
                balances.sent_total(),
                balances.taken_over,
            )
        };
        let rank = |balances: &Balances| {
            (
                version(balances),
                Reverse(balances.credit_limit),
                balances.demand,
            )
        };
        if rank(other) > rank(self) {
            self.credit_limit = other.credit_limit;
            self.demand = other.demand;
        }
        self.lent = self.lent.max(other.lent);
        self.repaid = self.repaid.max(other.repaid);
        self.written_off = self.written_off.max(other.written_off);
        self.taken_over = self.taken_over.max(other.taken_over);
        for (to, sent) in &other.sent {
            let known = self.sent.entry(*to).or_default();
            *known = (*known).max(*sent);
        }
    }
}
