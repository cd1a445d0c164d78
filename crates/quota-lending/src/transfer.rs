//! Transfers of spare shares to the account that lacks most for its demand.

use std::time::Duration;

use crate::balances::{Balances, SentTotal, TOTAL_SHARES};
use crate::identity::AccountId;
use crate::lender::{Lender, Tenant};
use crate::limits::{BALANCES_RESERVE_BYTES, MAX_RECEIVERS};
use crate::messages::{encode, PublishedBalances, BODY_BYTES};
use crate::rules::MilliRequests;

/// In each step demand decays by itself divided by this.
const DEMAND_DECAY_DIVISOR: u64 = 8;
/// Demand is published again when it has changed by more than its published value divided by this.
const DEMAND_CHANGE_DIVISOR: u64 = 4;
/// Transfers of less than an even division of the shares divided by this are not worth a message.
const MIN_TRANSFER_DIVISOR: u64 = 100;

/// A transfer for one tenant.
struct Transfer {
    tenant: u32,
    to: AccountId,
    shares: u64,
}

/// How the known shares of a tenant would be divided by demand.
struct FairDivision {
    /// Shares of this proxy and of all receivers together.
    shares: u128,
    /// Demand of this proxy and of all receivers together, with the floor for each.
    demand: u128,
    /// Added to each demand, so that every account keeps some shares.
    floor: u128,
}

impl FairDivision {
    fn shares_for(&self, demand: u128) -> u64 {
        (self.shares * (demand + self.floor) / self.demand) as u64
    }
}

/// Shares that open loans take up.
fn shares_in_use(owed: MilliRequests, local_limit: MilliRequests, shares: u64) -> u64 {
    let in_use = u128::from(owed) * u128::from(shares) / u128::from(local_limit.max(1)) + 1;
    in_use.min(1 << 62) as u64
}

impl Lender {
    /// Transfers half of the spare shares, those beyond the fair part of this proxy and not in use, to the account that lacks
    /// most, but at most half of its lack.
    pub(crate) fn send_spare_shares(&mut self, now: Duration) {
        self.update_demand();
        if !self.may_lend || now >= self.lease_until {
            return;
        }
        let receivers = self.living_accounts(now);
        if receivers.is_empty() {
            return;
        }
        let transfers: Vec<Transfer> = self
            .tenants
            .iter()
            .filter_map(|(tenant, known)| self.plan_transfer(*tenant, known, &receivers))
            .collect();
        for transfer in transfers {
            if let Some(balances) = self.state.balances.get_mut(&transfer.tenant) {
                *balances.sent.entry(transfer.to).or_default() += transfer.shares;
                self.unsaved_changes = true;
            }
            self.update_local_limit(now, transfer.tenant);
        }
    }

    fn living_accounts(&self, now: Duration) -> Vec<AccountId> {
        self.peers
            .iter()
            .filter(|(name, peer)| peer.alive_until > now && self.up.contains(name))
            .map(|(name, peer)| AccountId {
                owner: *name,
                incarnation: peer.account_incarnation,
            })
            .collect()
    }

    fn update_demand(&mut self) {
        for (tenant, known) in &mut self.tenants {
            let Some(balances) = self.state.balances.get_mut(tenant) else {
                continue;
            };
            let demand = balances.demand - balances.demand / DEMAND_DECAY_DIVISOR;
            balances.demand = demand.saturating_add(known.requested);
            known.requested = 0;
            let change = balances.demand.abs_diff(known.published_demand);
            if change > known.published_demand / DEMAND_CHANGE_DIVISOR {
                known.published_demand = balances.demand;
            }
        }
    }

    fn plan_transfer(
        &self,
        tenant: u32,
        known: &Tenant,
        receivers: &[AccountId],
    ) -> Option<Transfer> {
        let balances = self.state.balances.get(&tenant)?;
        if balances.credit_limit == 0 {
            return None;
        }
        let own_shares = self.own_shares(tenant);
        let fair = self.fair_division(tenant, balances, own_shares, receivers);
        let in_use = shares_in_use(known.loans.owed(), known.local_limit, own_shares);
        let kept = fair.shares_for(u128::from(balances.demand)).max(in_use);
        let spare = own_shares.saturating_sub(kept);
        let lack = |account: &AccountId| {
            fair.shares_for(self.demand_of(*account, tenant))
                .saturating_sub(self.estimated_shares(*account, tenant))
        };
        let full = balances.sent.len() >= MAX_RECEIVERS;
        let (most_lacking, to) = receivers
            .iter()
            .filter(|account| !full || balances.sent.contains_key(account))
            .map(|account| (lack(account), *account))
            .max()?;
        let shares = spare.min(most_lacking) / 2;
        let least = TOTAL_SHARES / MIN_TRANSFER_DIVISOR / (receivers.len() as u64 + 1);
        (shares > least && self.is_publishable(balances, to, shares)).then_some(Transfer {
            tenant,
            to,
            shares,
        })
    }

    fn demand_of(&self, account: AccountId, tenant: u32) -> u128 {
        self.known_balances(account, tenant)
            .map_or(0, |balances| u128::from(balances.demand))
    }

    fn fair_division(
        &self,
        tenant: u32,
        balances: &Balances,
        own_shares: u64,
        receivers: &[AccountId],
    ) -> FairDivision {
        let floor = u128::from(balances.credit_limit) / 64 / (receivers.len() as u128 + 1) + 1;
        let demand_of_others: u128 = receivers
            .iter()
            .map(|account| self.demand_of(*account, tenant) + floor)
            .sum();
        let shares_of_others: u128 = receivers
            .iter()
            .map(|account| u128::from(self.estimated_shares(*account, tenant)))
            .sum();
        FairDivision {
            shares: shares_of_others + u128::from(own_shares),
            demand: demand_of_others + u128::from(balances.demand) + floor,
            floor,
        }
    }

    /// Whether, after a transfer, the balances still fit into a message and their total is still valid.
    fn is_publishable(&self, balances: &Balances, to: AccountId, shares: u64) -> bool {
        let mut balances = balances.clone();
        let sent = balances.sent.entry(to).or_default();
        *sent = sent.saturating_add(shares);
        let is_valid = balances.sent_total() < SentTotal::INVALID;
        let body = encode(&PublishedBalances {
            sender: self.sender(),
            balances,
        });
        is_valid && body.is_some_and(|body| body.len() + BALANCES_RESERVE_BYTES <= BODY_BYTES)
    }
}
