//! Figures of the state, for operators and tests.

use std::time::Duration;

use crate::identity::{name_number, AccountId};
use crate::lender::Lender;
use crate::loans::LoanTotals;
use crate::rules::MilliRequests;

impl Lender {
    /// Figures of a tenant; `None` if it has no balances at this proxy.
    pub fn totals(&self, now: Duration, tenant: &str) -> Option<LoanTotals> {
        let tenant = name_number(tenant);
        let known = self.tenants.get(&tenant)?;
        let rule = self.rules.by_tenant.get(&tenant);
        let term = rule.map_or(Duration::MAX, |(_, rule)| rule.term);
        let balances = self.state.balances.get(&tenant);
        Some(LoanTotals {
            lent: known.loans.lent,
            repaid: known.loans.repaid,
            written_off: known.loans.written_off,
            owed: known.loans.owed(),
            local_limit: known.local_limit,
            taken_over: balances.map_or(0, |balances| balances.taken_over),
            in_default: known.loans.in_default(now, term),
            lease_until: self.lease_until,
        })
    }

    /// Name and credit limit of each tenant that may borrow, by this proxy's rules.
    pub fn credit_limits(&self) -> impl Iterator<Item = (&str, MilliRequests)> + '_ {
        self.rules
            .by_tenant
            .values()
            .map(|(tenant, rule)| (tenant.as_str(), rule.credit_limit()))
    }

    /// Shares of a tenant in this proxy's account, out of [`crate::balances::TOTAL_SHARES`], and the incarnation that opened the
    /// account.
    pub fn shares(&self, tenant: &str) -> (u64, u64) {
        (
            self.own_shares(name_number(tenant)),
            self.state.account_incarnation,
        )
    }

    /// Incarnation that opened this proxy's account. It changes when another proxy has taken the previous account over.
    pub fn account_incarnation(&self) -> u64 {
        self.state.account_incarnation
    }

    /// Accounts that this proxy took over.
    pub fn accounts_taken_over(&self) -> impl Iterator<Item = AccountId> + '_ {
        self.state.taken_over.keys().copied()
    }

    /// Quarantine period: time from the last new heartbeat of an account until it may be taken over.
    pub fn quarantine(&self) -> Duration {
        self.quarantine
    }

    /// Number of messages that could not be decoded or that no proxy of this version sends.
    pub fn malformed(&self) -> u64 {
        self.malformed
    }

    /// Number of messages ignored for an [`crate::IgnoreReason`].
    pub fn ignored(&self) -> u64 {
        self.ignored
    }

    /// Whether the bootstrap is complete, so that loans are possible.
    pub fn is_bootstrapped(&self) -> bool {
        self.state.is_bootstrapped()
    }
}
