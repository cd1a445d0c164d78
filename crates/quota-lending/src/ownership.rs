//! Ownership of shares as known to this proxy, and its local part of each credit limit.

use std::time::Duration;

use crate::balances::{saturating_total, SentTotal, TOTAL_SHARES};
use crate::identity::AccountId;
use crate::lender::Lender;
use crate::limits::MAX_TENANTS;
use crate::rules::MilliRequests;

/// Part of a credit limit that corresponds to a number of shares.
fn part_of_limit(limit: MilliRequests, shares: u64) -> MilliRequests {
    (u128::from(limit) * u128::from(shares) / u128::from(TOTAL_SHARES)) as MilliRequests
}

impl Lender {
    /// Shares of this proxy's account, which it may lend from or transfer.
    pub(crate) fn own_shares(&self, tenant: u32) -> u64 {
        let balances = self.state.balances.get(&tenant);
        let account = self.own_account();
        let received = self
            .state
            .received_shares(account, tenant)
            .saturating_add(balances.map_or(0, |balances| balances.taken_over));
        let received = self.state.initial_shares(account).saturating_add(received);
        // Caps the shares at their total, whatever transfers other proxies claim.
        balances
            .map_or(SentTotal::default(), |balances| balances.sent_total())
            .remaining_of(received)
            .min(TOTAL_SHARES)
    }

    /// Total of shares that an account received. Shares that it sent are not subtracted.
    pub(crate) fn shares_received_by(&self, account: AccountId, tenant: u32) -> u64 {
        let taken_over = self
            .known_balances(account, tenant)
            .map_or(0, |balances| balances.taken_over);
        saturating_total(&[
            self.state.initial_shares(account),
            self.state.received_shares(account, tenant),
            taken_over,
        ])
    }

    /// Estimated shares of another account, including transfers that do not count yet. Only for choosing the receiver of a
    /// transfer.
    pub(crate) fn estimated_shares(&self, account: AccountId, tenant: u32) -> u64 {
        let of_others = self
            .accounts
            .values()
            .filter_map(|account| account.balances.get(&tenant))
            .map(|known| &known.balances);
        let received = saturating_total(
            of_others
                .chain(self.state.balances.get(&tenant))
                .filter_map(|balances| balances.sent.get(&account)),
        );
        let (taken_over, sent) = self
            .known_balances(account, tenant)
            .map_or((0, SentTotal::default()), |balances| {
                (balances.taken_over, balances.sent_total())
            });
        sent.remaining_of(saturating_total(&[
            self.state.initial_shares(account),
            received,
            taken_over,
        ]))
        .min(TOTAL_SHARES)
    }

    /// Smallest of this proxy's credit limit and the valid limits that other proxies have published: while rules differ, the
    /// strictest one is in force.
    fn limit_in_force(&self, now: Duration, own: MilliRequests, tenant: u32) -> MilliRequests {
        self.accounts
            .values()
            .filter_map(|account| account.balances.get(&tenant))
            .filter(|known| known.limit_valid_until > now && known.balances.credit_limit > 0)
            .map(|known| known.balances.credit_limit)
            .min()
            .map_or(own, |published| published.min(own))
    }

    /// Updates this proxy's part of a tenant's credit limit.
    pub(crate) fn update_local_limit(&mut self, now: Duration, tenant: u32) {
        let own = self
            .rules
            .by_tenant
            .get(&tenant)
            .map_or(0, |(_, rule)| rule.credit_limit());
        let limit = self.limit_in_force(now, own, tenant);
        let local_limit = part_of_limit(limit, self.own_shares(tenant));
        if let Some(balances) = self.state.balances.get_mut(&tenant) {
            balances.credit_limit = own;
        }
        if let Some(known) = self.tenants.get_mut(&tenant) {
            known.local_limit = local_limit;
        }
    }

    /// Updates the lease and all local limits.
    pub(crate) fn refresh(&mut self, now: Duration) {
        self.lease_until = self.compute_lease();
        let tenants: Vec<u32> = self.tenants.keys().copied().collect();
        for tenant in tenants {
            self.update_local_limit(now, tenant);
        }
    }

    /// Opens balances for a tenant. `false` if the maximum is reached or there was no bootstrap yet.
    pub(crate) fn open_balances(&mut self, now: Duration, tenant: u32) -> bool {
        if !self.state.is_bootstrapped() || self.state.balances.len() >= MAX_TENANTS {
            return self.state.balances.contains_key(&tenant);
        }
        self.state.balances.entry(tenant).or_default();
        self.tenants.entry(tenant).or_default();
        self.reserve(tenant);
        self.update_local_limit(now, tenant);
        self.unsaved_changes = true;
        true
    }
}
