//! Who owns how many shares of a credit limit, as far as this proxy knows, and what of the limit that is.

use std::time::Duration;

use crate::balances::{saturating_total, SentTotal, TOTAL_SHARES};
use crate::identity::AccountId;
use crate::lender::Lender;
use crate::limits::MAX_TENANTS;
use crate::rules::MilliRequests;

/// The part of a credit limit that so many shares are.
fn part_of_limit(limit: MilliRequests, shares: u64) -> MilliRequests {
    (u128::from(limit) * u128::from(shares) / u128::from(TOTAL_SHARES)) as MilliRequests
}

impl Lender {
    /// Shares of the own account: what may be sent away or lent from.
    pub(crate) fn own_shares(&self, tenant: u32) -> u64 {
        let balances = self.state.balances.get(&tenant);
        let account = self.own_account();
        let received = self
            .state
            .received_shares(account, tenant)
            .saturating_add(balances.map_or(0, |balances| balances.taken_over));
        let received = self.state.initial_shares(account).saturating_add(received);
        // Whatever others claim to have sent, no account holds more than there is.
        balances
            .map_or(SentTotal::default(), |balances| balances.sent_total())
            .remaining_of(received)
            .min(TOTAL_SHARES)
    }

    /// Shares that an account received in all; what it sent is not subtracted.
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

    /// Shares that another account probably has, with transfers that do not count yet. Only to judge who needs more.
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

    /// The smallest credit limit that any proxy has published lately: while rules differ, the strictest holds.
    fn limit_in_force(&self, now: Duration, own: MilliRequests, tenant: u32) -> MilliRequests {
        self.accounts
            .values()
            .filter_map(|account| account.balances.get(&tenant))
            .filter(|known| known.limit_valid_until > now && known.balances.credit_limit > 0)
            .map(|known| known.balances.credit_limit)
            .min()
            .map_or(own, |published| published.min(own))
    }

    /// Computes this proxy's part of a tenant's credit limit.
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

    /// Computes the lease and all local limits anew.
    pub(crate) fn refresh(&mut self, now: Duration) {
        self.lease_until = self.compute_lease();
        let tenants: Vec<u32> = self.tenants.keys().copied().collect();
        for tenant in tenants {
            self.update_local_limit(now, tenant);
        }
    }

    /// Begins balances for a tenant. False: there are too many, or no bootstrap yet.
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
