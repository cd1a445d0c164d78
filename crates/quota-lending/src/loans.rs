//! Loans of one proxy to one tenant, and the part of the tenant's quota to withhold for their repayment.

use std::collections::VecDeque;
use std::time::Duration;

use crate::rules::{MilliRequests, Rule};

/// Maximum number of open loans kept separately; further ones are merged into the last.
const MAX_OPEN_LOANS: usize = 32;
/// Loans made within the term divided by this are merged into one.
const MERGE_TERM_DIVISOR: u32 = 16;

/// Figures of one tenant at one proxy: `lent = repaid + owed + written_off`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LoanTotals {
    /// Total lent.
    pub lent: MilliRequests,
    /// Part of `lent` that was repaid.
    pub repaid: MilliRequests,
    /// Part of `lent` that was written off.
    pub written_off: MilliRequests,
    /// Part of `lent` that is still owed.
    pub owed: MilliRequests,
    /// This proxy's part of the credit limit.
    pub local_limit: MilliRequests,
    /// Shares of accounts that this proxy took over.
    pub taken_over: u64,
    /// Whether a loan is still open after its term.
    pub in_default: bool,
    /// End of the lease: from then on nothing is lent, unless a new echo extends the lease.
    pub lease_until: Duration,
}

/// Loans made at about the same time. They are due by the time of the first and written off by that of the last, so that no
/// loan is repaid late or written off early.
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
    /// Open loans, oldest first.
    open: VecDeque<OpenLoan>,
    rate: RateLimit,
}

impl Loans {
    /// Restores loans from the stored state. What is still owed counts as lent now.
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
        let full = self.open.len() >= MAX_OPEN_LOANS;
        match self.open.back_mut() {
            Some(loan) if now.saturating_sub(loan.first_at) < term / MERGE_TERM_DIVISOR || full => {
                loan.last_at = now;
                loan.owed += amount;
            }
            _ => self.open_loan(now, amount),
        }
    }

    /// Repays the oldest loans first. Returns the part of the amount that was owed.
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

    /// Writes off loans of at least the age `after`. Returns the amount.
    pub fn write_off(&mut self, now: Duration, after: Duration) -> MilliRequests {
        let mut amount = 0;
        while let Some(loan) = self.open.front() {
            if now.saturating_sub(loan.last_at) < after {
                break;
            }
            amount += loan.owed;
            self.open.pop_front();
        }
        self.written_off += amount;
        amount
    }

    pub fn in_default(&self, now: Duration, term: Duration) -> bool {
        self.open
            .front()
            .is_some_and(|loan| now.saturating_sub(loan.first_at) >= term)
    }

    /// Takes an amount from a token bucket that refills at `per_second` and holds one second's refill. `false` if it has too few
    /// tokens.
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
        // If the elapsed time refills less than one milli-request, it is counted at a later call.
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

    /// Part of the debt that this proxy's part of the quota can't repay within the term, because the tenant's traffic has moved
    /// to other proxies.
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
        let repayable = u128::from(quota) * u128::from(rule.max_withheld()) * left / 1_000_000;
        self.owed()
            .saturating_sub(MilliRequests::try_from(repayable).unwrap_or(MilliRequests::MAX))
    }

    /// Part of this proxy's quota to withhold now, in thousandths. `used`: the thousandths of that quota in use.
    pub fn withhold(
        &self,
        now: Duration,
        rule: &Rule,
        quota: MilliRequests,
        used: u32,
        shortage: bool,
    ) -> u32 {
        let owed = self.owed();
        let most = rule.max_withheld();
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
        // Plans repayment in half of the remaining term: requests that the tenant does not send can't be withheld.
        let needed = u128::from(owed) * 2_000_000 / (u128::from(quota) * u128::from(left));
        let unused = 1000_u32.saturating_sub(used);
        (needed.min(1000) as u32 + 1).max(unused).min(most)
    }
}
