//! Figures about the state, for operators and tests.

use std::time::Duration;

use crate::identity::{name_number, AccountId};
use crate::lender::Lender;
use crate::loans::LoanTotals;
use crate::rules::MilliRequests;

impl Lender {
    /// Figures of a tenant; none if it has no balances here.
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

    /// Shares of the own account for a tenant, of [`crate::balances::TOTAL_SHARES`], and the incarnation that opened the account.
    pub fn shares(&self, tenant: &str) -> (u64, u64) {
        (
            self.own_shares(name_number(tenant)),
            self.state.account_incarnation,
        )
    }

    /// The incarnation that opened the own account: it changes when others have taken the former one over.
    pub fn account_incarnation(&self) -> u64 {
        self.state.account_incarnation
    }

    /// Accounts of others that were taken over.
    pub fn accounts_taken_over(&self) -> impl Iterator<Item = AccountId> + '_ {
        self.state.taken_over.keys().copied()
    }

    /// Time after the last new heartbeat of an account until it may be taken over.
    pub fn quarantine(&self) -> Duration {
        self.quarantine
    }

    /// Messages that could not be decoded, or that no proxy of this version sends.
    pub fn malformed(&self) -> u64 {
        self.malformed
    }

    /// Messages of proxies and accounts that there is no room for.
    pub fn ignored(&self) -> u64 {
        self.ignored
    }

    /// Whether bootstrap is complete: loans are possible.
    pub fn is_bootstrapped(&self) -> bool {
        self.state.is_bootstrapped()
    }
}
