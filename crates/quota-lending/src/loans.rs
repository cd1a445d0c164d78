//! Loans to one tenant by one proxy.

use std::collections::VecDeque;
use std::time::Duration;

use crate::rules::{MilliRequests, Rule};

/// Open loans that are told apart; more are merged into the last.
const OPEN_LOANS: usize = 32;
/// Loans within this part of the term are merged into one.
const MERGE_PART_OF_TERM: u32 = 16;

/// Figures of one tenant in one proxy: `lent = repaid + owed + written_off`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LoanTotals {
    /// Lent in all.
    pub lent: MilliRequests,
    /// Repaid of it.
    pub repaid: MilliRequests,
    /// Written off of it.
    pub written_off: MilliRequests,
    /// Owed of it.
    pub owed: MilliRequests,
    /// This proxy's part of the credit limit.
    pub local_limit: MilliRequests,
    /// Shares of accounts that were taken over.
    pub taken_over: u64,
    /// Whether something is owed after its term.
    pub in_default: bool,
    /// End of the lease: without a new echo nothing is lent from then on.
    pub lease_until: Duration,
}

/// Loans made about the same time. Due by the first of them and written off by the last, so that no loan is repaid late or
/// written off early.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OpenLoan {
    first_at: Duration,
    last_at: Duration,
    owed: MilliRequests,
}

/// Token bucket of the rate of loans.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct RateLimit {
    tokens: MilliRequests,
    refilled_at: Duration,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Loans {
    pub lent: MilliRequests,
    pub repaid: MilliRequests,
    pub written_off: MilliRequests,
    /// Oldest first.
    open: VecDeque<OpenLoan>,
    rate: RateLimit,
}

impl Loans {
    /// What the stored state has as lent counts as lent now.
    pub fn restore(
        now: Duration,
        lent: MilliRequests,
        repaid: MilliRequests,
        written_off: MilliRequests,
    ) -> Self {
        let owed = lent.saturating_sub(repaid).saturating_sub(written_off);
        let mut loans = Self {
            lent: repaid + written_off + owed,
            repaid,
            written_off,
            ..Self::default()
        };
        if owed > 0 {
            loans.open_loan(now, owed);
        }
        loans
    }

    fn open_loan(&mut self, now: Duration, owed: MilliRequests) {
        self.open.push_back(OpenLoan {
            first_at: now,
            last_at: now,
            owed,
        });
    }

    pub fn owed(&self) -> MilliRequests {
        self.open.iter().map(|loan| loan.owed).sum()
    }

    pub fn lend(&mut self, now: Duration, amount: MilliRequests, term: Duration) {
        self.lent += amount;
        let full = self.open.len() >= OPEN_LOANS;
        match self.open.back_mut() {
            Some(loan) if now.saturating_sub(loan.first_at) < term / MERGE_PART_OF_TERM || full => {
                loan.last_at = now;
                loan.owed += amount;
            }
            _ => self.open_loan(now, amount),
        }
    }

    /// Repays the oldest loans first. Returns how much of the amount was owed.
    pub fn repay(&mut self, mut amount: MilliRequests) -> MilliRequests {
        let mut repaid = 0;
        while let Some(loan) = self.open.front_mut() {
            let part = amount.min(loan.owed);
            loan.owed -= part;
            amount -= part;
            repaid += part;
            if loan.owed > 0 {
                break;
            }
            self.open.pop_front();
        }
        self.repaid += repaid;
        repaid
    }

    /// Writes off loans of that age. Returns the amount.
    pub fn write_off(&mut self, now: Duration, after: Duration) -> MilliRequests {
        let mut lost = 0;
        while let Some(loan) = self.open.front() {
            if now.saturating_sub(loan.last_at) < after {
                break;
            }
            lost += loan.owed;
            self.open.pop_front();
        }
        self.written_off += lost;
        lost
    }

    pub fn in_default(&self, now: Duration, term: Duration) -> bool {
        self.open
            .front()
            .is_some_and(|loan| now.saturating_sub(loan.first_at) >= term)
    }

    /// Takes an amount from the rate limit of `per_second`, with bursts of one second. False: not enough is left.
    pub fn take_from_rate(
        &mut self,
        now: Duration,
        amount: MilliRequests,
        per_second: MilliRequests,
    ) -> bool {
        let passed = now
            .saturating_sub(self.rate.refilled_at)
            .min(Duration::from_secs(1))
            .as_millis() as u64;
        let refill = per_second.saturating_mul(passed) / 1000;
        // Time that makes less than one milli-request is not lost.
        if refill > 0 {
            self.rate.tokens = self.rate.tokens.saturating_add(refill).min(per_second);
            self.rate.refilled_at = now;
        }
        let enough = self.rate.tokens >= amount;
        if enough {
            self.rate.tokens -= amount;
        }
        enough
    }

    /// What is owed that this proxy's part of the quota can't repay in the term: the tenant's traffic is elsewhere.
    pub fn beyond_local_quota(
        &self,
        now: Duration,
        rule: &Rule,
        quota: MilliRequests,
    ) -> MilliRequests {
        let Some(oldest) = self.open.front() else {
            return 0;
        };
        let left = rule
            .term
            .saturating_sub(now.saturating_sub(oldest.first_at))
            .as_millis();
        let repayable = u128::from(quota) * u128::from(rule.most_withheld()) * left / 1_000_000;
        self.owed()
            .saturating_sub(MilliRequests::try_from(repayable).unwrap_or(MilliRequests::MAX))
    }

    /// The thousandths of this proxy's part of the quota to withhold now; `used` thousandths of it are in use.
    pub fn withhold(
        &self,
        now: Duration,
        rule: &Rule,
        quota: MilliRequests,
        used: u32,
        shortage: bool,
    ) -> u32 {
        let owed = self.owed();
        let most = rule.most_withheld();
        let Some(oldest) = self.open.front() else {
            return 0;
        };
        let left = rule
            .term
            .saturating_sub(now.saturating_sub(oldest.first_at))
            .as_millis() as u64;
        if owed == 0 || quota == 0 || left == 0 || shortage {
            return most;
        }
        // Repayment in half the term is planned: requests that the tenant does not send can't be withheld.
        let needed = u128::from(owed) * 2_000_000 / (u128::from(quota) * u128::from(left));
        let unused = 1000_u32.saturating_sub(used);
        (needed.min(1000) as u32 + 1).max(unused).min(most)
    }
}
