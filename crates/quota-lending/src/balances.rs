//! Balances of an account for one tenant, the merging of copies, and the total of its transfers.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::identity::AccountId;
use crate::rules::MilliRequests;

/// Number of shares of all accounts together, for one tenant.
pub const TOTAL_SHARES: u64 = 1 << 30;

/// Sum of shares, saturating so that a malicious member's numbers can't overflow it.
pub(crate) fn saturating_total<'a>(shares: impl IntoIterator<Item = &'a u64>) -> u64 {
    shares
        .into_iter()
        .fold(0, |sum, shares| sum.saturating_add(*shares))
}

/// Total of all shares of a tenant that an account ever sent; it only grows. 64 bits suffice for a thousand years of sending
/// half of [`TOTAL_SHARES`] each second. The encoding is of variable length: numbers up to 32 bits are encoded as by earlier
/// builds, and those can't decode a greater one and treat its message as lost.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "u64", into = "u64")]
pub struct SentTotal(u64);

impl SentTotal {
    /// Total of invalid balances: more than any account can send. It witnesses no transfer, and leaves no shares to take over.
    pub const INVALID: SentTotal = SentTotal(u64::MAX);
    /// Encoding of [`SentTotal::INVALID`], from builds with 32-bit totals. No account sends exactly this total.
    const INVALID_ENCODED: u64 = u32::MAX as u64;

    /// Whether a proxy that has received balances with this total knows all transfers of `total`.
    pub fn witnesses(self, total: SentTotal) -> bool {
        self >= total && self < SentTotal::INVALID
    }

    /// Shares that remain of those that an account received.
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

/// Balances of an account for one tenant. Only the owner changes them. All numbers except the credit limit and the demand only
/// grow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Balances {
    /// Credit limit by the owner's rules; the smallest one of all proxies is in force.
    pub credit_limit: MilliRequests,
    /// Total lent since the account was opened.
    pub lent: MilliRequests,
    /// Part of `lent` that was repaid.
    pub repaid: MilliRequests,
    /// Part of `lent` that was written off.
    pub written_off: MilliRequests,
    /// Recent demand beyond quota.
    pub demand: MilliRequests,
    /// Shares of accounts that this account took over.
    pub taken_over: u64,
    /// Total of shares sent, by receiver.
    pub sent: BTreeMap<AccountId, u64>,
}

impl Balances {
    /// Total of the transfers to all receivers.
    pub fn sent_total(&self) -> SentTotal {
        saturating_total(self.sent.values()).into()
    }

    /// Number of distinct receivers in both balances.
    pub fn receivers_with(&self, other: &Balances) -> usize {
        self.sent.len()
            + other
                .sent
                .keys()
                .filter(|to| !self.sent.contains_key(to))
                .count()
    }

    /// Takes the maximum of each number. Credit limit and demand are those of the newer copy, which has lent, repaid and sent
    /// no less. Where these are equal, the stricter limit counts: an idle account publishes a new rule with unchanged
    /// numbers.
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
