//! Loans: the decision about a request beyond its tenant's quota, what is withheld, and repayment.

use std::time::Duration;

use crate::balances::TOTAL_SHARES;
use crate::decision::{Decision, DenialReason};
use crate::event::Action;
use crate::identity::name_number;
use crate::lender::Lender;
use crate::messages::{self, encode, RepaymentReport, RepaymentRequest};
use crate::notice::Notice;
use crate::rules::{MilliRequests, Rule};

/// A file reserves this part of the local limit ahead.
const RESERVE_PART: u64 = 8;
/// The least that is reserved ahead: two requests.
const RESERVE_LEAST: MilliRequests = 2000;
/// Shares are rounded to 1/1024 for the rate.
const RATE_SHARE_BITS: u32 = 10;

/// The own part of a rule's rate, at least one request's cost.
fn local_rate(rule: &Rule, shares: u64, cost: MilliRequests) -> MilliRequests {
    let part = (shares << RATE_SHARE_BITS) / TOTAL_SHARES;
    (rule.max_rate.saturating_mul(part) >> RATE_SHARE_BITS).max(cost)
}

impl Lender {
    /// Decides whether a request of that cost, beyond the quota of a tenant, is lent to.
    pub fn decide(
        &mut self,
        now: Duration,
        tenant: &str,
        class: &str,
        cost: MilliRequests,
        actions: &mut Vec<Action>,
    ) -> Decision {
        let lent = self.lend(now, name_number(tenant), tenant, class, cost);
        self.save(now, actions);
        match lent {
            Ok(()) => Decision::Borrowed,
            Err(reason) => Decision::Denied(reason),
        }
    }

    fn lend(
        &mut self,
        now: Duration,
        tenant: u32,
        name: &str,
        class: &str,
        cost: MilliRequests,
    ) -> Result<(), DenialReason> {
        let rule = self.rule_for(tenant, name, class)?.clone();
        if !self.state.is_bootstrapped() {
            return Err(DenialReason::NoLease);
        }
        if !self.tenants.contains_key(&tenant) && !self.open_balances(now, tenant) {
            return Err(DenialReason::TooManyTenants);
        }
        let rate = local_rate(&rule, self.own_shares(tenant), cost);
        if let Some(known) = self.tenants.get_mut(&tenant) {
            known.requested = known.requested.saturating_add(cost);
        }
        if let Err(reason) = self.check_loan(now, tenant, rule.term, cost) {
            if reason == DenialReason::NotReserved {
                self.reserve(tenant);
            }
            return Err(reason);
        }
        let Some(known) = self.tenants.get_mut(&tenant) else {
            return Err(DenialReason::TooManyTenants);
        };
        if !known.loans.take_from_rate(now, cost, rate) {
            return Err(DenialReason::Rate);
        }
        known.loans.lend(now, cost, rule.term);
        self.reserve(tenant);
        Ok(())
    }

    fn rule_for(&self, tenant: u32, name: &str, class: &str) -> Result<&Rule, DenialReason> {
        let rule = match self.rules.by_tenant.get(&tenant) {
            Some((named, rule)) if named == name => rule,
            _ => return Err(DenialReason::NoRule),
        };
        if !rule.classes.iter().any(|named| named == class) {
            return Err(DenialReason::Class);
        }
        Ok(rule)
    }

    /// All that can deny a loan but its rate.
    fn check_loan(
        &self,
        now: Duration,
        tenant: u32,
        term: Duration,
        cost: MilliRequests,
    ) -> Result<(), DenialReason> {
        let Some(known) = self.tenants.get(&tenant) else {
            return Err(DenialReason::TooManyTenants);
        };
        let owed = known.loans.owed().saturating_add(cost);
        let lent = known.loans.lent.saturating_add(cost);
        if self.closed_tenants.contains(&tenant) {
            Err(DenialReason::WindowClosed)
        } else if self.shortage {
            Err(DenialReason::Shortage)
        } else if !self.may_lend {
            Err(DenialReason::Membership)
        } else if now >= self.lease_until {
            Err(DenialReason::NoLease)
        } else if known.loans.in_default(now, term) {
            Err(DenialReason::InDefault)
        } else if self.guards.local_limit && owed > known.local_limit {
            Err(DenialReason::CreditLimit)
        } else if self.guards.reserve && lent > self.reserved(tenant) {
            Err(DenialReason::NotReserved)
        } else {
            Ok(())
        }
    }

    /// What the durable state has as lent.
    fn reserved(&self, tenant: u32) -> MilliRequests {
        if !self.has_state_file {
            return MilliRequests::MAX;
        }
        self.durable
            .balances
            .get(&tenant)
            .map_or(0, |balances| balances.lent)
    }

    /// Reserves loans ahead in the state. After a crash all that was reserved counts as lent, so no loan is forgotten.
    pub(crate) fn reserve(&mut self, tenant: u32) {
        let Some(known) = self.tenants.get(&tenant) else {
            return;
        };
        if !self.guards.reserve {
            return;
        }
        let ahead = (known.local_limit / RESERVE_PART).max(RESERVE_LEAST);
        let Some(balances) = self.state.balances.get_mut(&tenant) else {
            return;
        };
        if balances.lent < known.loans.lent + ahead / 2 {
            balances.lent = known.loans.lent + ahead;
            self.unsaved_changes = true;
        }
    }

    /// The thousandths of a tenant's quota here to withhold now: for what it owes here, or for others that request repayment,
    /// whichever is more. `quota` is this proxy's part of the quota, a second; `used` thousandths of it are in use.
    pub fn withhold(
        &mut self,
        now: Duration,
        tenant: &str,
        quota: MilliRequests,
        used: u32,
    ) -> u32 {
        let tenant = name_number(tenant);
        let Some((_, rule)) = self.rules.by_tenant.get(&tenant) else {
            return 0;
        };
        let for_others = self.remote_repayment.withhold(now, tenant, rule);
        let Some(known) = self.tenants.get_mut(&tenant) else {
            return for_others;
        };
        known.quota = Some(quota);
        known
            .loans
            .withhold(now, rule, quota, used, self.shortage)
            .max(for_others)
    }

    /// Books an amount that was withheld from a tenant. Returns how much of it was owed here; the rest is for others that
    /// request repayment.
    pub fn repay(&mut self, now: Duration, tenant: &str, amount: MilliRequests) -> MilliRequests {
        let tenant = name_number(tenant);
        let repaid = self.book_repayment(tenant, amount);
        self.remote_repayment
            .add_withheld(now, tenant, amount - repaid);
        repaid
    }

    /// Takes back a loan that was not used. Returns how much of it was still owed.
    pub fn cancel_loan(&mut self, tenant: &str, amount: MilliRequests) -> MilliRequests {
        self.book_repayment(name_number(tenant), amount)
    }

    pub(crate) fn book_repayment(&mut self, tenant: u32, amount: MilliRequests) -> MilliRequests {
        let Some(known) = self.tenants.get_mut(&tenant) else {
            return 0;
        };
        let repaid = known.loans.repay(amount);
        self.unsaved_changes |= repaid > 0 && known.loans.owed() == 0;
        repaid
    }

    /// Requests repayment of what can't be repaid here, and reports what was withheld for others.
    pub(crate) fn publish_repayments(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let sender = self.sender();
        let tenants = self.debts_beyond_quota(now);
        if !tenants.is_empty() {
            let request = encode(&RepaymentRequest { sender, tenants });
            let kind = messages::REPAYMENT_REQUEST;
            self.publish(kind, vec![], request, self.lease, actions);
        }
        let totals = self.remote_repayment.totals_to_report(now);
        if !totals.is_empty() {
            let report = encode(&RepaymentReport { sender, totals });
            let kind = messages::REPAYMENT_REPORT;
            self.publish(kind, vec![], report, self.message_ttl(), actions);
        }
    }

    fn debts_beyond_quota(&self, now: Duration) -> Vec<(u32, MilliRequests)> {
        let mut debts = Vec::new();
        for (tenant, known) in &self.tenants {
            if let (Some((_, rule)), Some(quota)) = (self.rules.by_tenant.get(tenant), known.quota)
            {
                let amount = known.loans.beyond_local_quota(now, rule, quota);
                if amount > 0 {
                    debts.push((*tenant, amount));
                }
            }
        }
        debts
    }

    /// Writes off loans that were not repaid in time.
    pub(crate) fn write_off(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for (tenant, known) in &mut self.tenants {
            let Some((name, rule)) = self.rules.by_tenant.get(tenant) else {
                continue;
            };
            let amount = known.loans.write_off(now, rule.term + rule.write_off);
            if amount > 0 {
                actions.push(Action::Notice(Notice::WrittenOff {
                    tenant: name.clone(),
                    amount,
                }));
                self.unsaved_changes = true;
            }
        }
    }
}
