//! Repayment on behalf of other lenders. A proxy whose tenant has moved to other proxies can't withhold quota from it. It requests
//! repayment, the other proxies withhold a little more of that tenant's quota, and report the amounts withheld for each lender.
//! Only the lender books them as repaid.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::messages::{RepaymentReport, RepaymentRequest};
use crate::rules::{MilliRequests, Rule};

/// Maximum number of proxies whose requests are kept.
const MAX_REQUESTERS: usize = 256;
/// Maximum number of totals kept: of amounts withheld here, and of those that others report.
const MAX_TOTALS: usize = 1024;
/// Maximum number of entries of one message.
const MAX_MESSAGE_ENTRIES: usize = 20;
/// Requested amounts are withheld over the term divided by this. Not faster: the lender's next request arrives a second or two
/// late, and amounts withheld in the meantime are paid twice.
const REPAYMENT_TERM_DIVISOR: u32 = 4;

/// Last repayment request of a proxy.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Request {
    /// Requested amount by tenant.
    amounts: BTreeMap<u32, MilliRequests>,
    valid_until: Duration,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct RemoteRepayment {
    /// Last request, by lender.
    requests: BTreeMap<u32, Request>,
    /// Total that this process has withheld, by lender and tenant.
    withheld: BTreeMap<(u32, u32), MilliRequests>,
    /// Totals last reported by others, by the reporter's name and incarnation, and tenant.
    reported: BTreeMap<(u32, u64, u32), MilliRequests>,
}

impl RemoteRepayment {
    pub fn receive_request(&mut self, source: u32, request: RepaymentRequest, until: Duration) {
        if self.requests.contains_key(&source) || self.requests.len() < MAX_REQUESTERS {
            let request = Request {
                amounts: request
                    .tenants
                    .into_iter()
                    .take(MAX_MESSAGE_ENTRIES)
                    .collect(),
                valid_until: until,
            };
            self.requests.insert(source, request);
        }
    }

    /// Valid requests for a tenant: lender and amount.
    fn requests_for(
        &self,
        now: Duration,
        tenant: u32,
    ) -> impl Iterator<Item = (u32, MilliRequests)> + '_ {
        self.requests
            .iter()
            .filter(move |(_, request)| request.valid_until > now)
            .filter_map(move |(source, request)| Some((*source, *request.amounts.get(&tenant)?)))
    }

    /// Part of a tenant's quota that all proxies withhold for the valid requests, in thousandths.
    pub fn withhold(&self, now: Duration, tenant: u32, rule: &Rule) -> u32 {
        let requested: u128 = self
            .requests_for(now, tenant)
            .map(|(_, amount)| u128::from(amount))
            .sum();
        let quota_in_time =
            u128::from(rule.quota) * (rule.term / REPAYMENT_TERM_DIVISOR).as_millis();
        // Units: milli-requests, thousandths and milliseconds.
        let share = (requested * 1_000_000).div_ceil(quota_in_time.max(1));
        share.min(u128::from(rule.max_withheld())) as u32
    }

    /// Divides an amount that was withheld, and is not owed here, among the requesting lenders.
    pub fn add_withheld(&mut self, now: Duration, tenant: u32, amount: MilliRequests) {
        let requests: Vec<(u32, MilliRequests)> = self
            .requests_for(now, tenant)
            .take(MAX_MESSAGE_ENTRIES)
            .collect();
        let all: u128 = requests
            .iter()
            .map(|(_, requested)| u128::from(*requested))
            .sum();
        for (source, requested) in requests.into_iter().filter(|(_, requested)| *requested > 0) {
            if self.withheld.len() >= MAX_TOTALS && !self.withheld.contains_key(&(source, tenant)) {
                continue;
            }
            let part = (u128::from(amount) * u128::from(requested) / all) as MilliRequests;
            let total = self.withheld.entry((source, tenant)).or_default();
            *total = total.saturating_add(part.min(requested));
        }
    }

    /// Totals to report, for lenders with valid requests: lender, tenant and amount.
    pub fn totals_to_report(&mut self, now: Duration) -> Vec<(u32, u32, MilliRequests)> {
        self.requests.retain(|_, request| request.valid_until > now);
        self.withheld
            .iter()
            .filter(|((source, _), _)| self.requests.contains_key(source))
            .take(MAX_MESSAGE_ENTRIES)
            .map(|((source, tenant), total)| (*source, *tenant, *total))
            .collect()
    }

    /// Amounts that a report adds for this lender, by tenant. The first report of an incarnation only sets the base: its total
    /// may include repayments to a former account of this lender.
    pub fn receive_report(
        &mut self,
        me: u32,
        source: u32,
        incarnation: u64,
        report: RepaymentReport,
    ) -> Vec<(u32, MilliRequests)> {
        let mut added = Vec::new();
        let totals = report.totals.into_iter().take(MAX_MESSAGE_ENTRIES);
        for (_, tenant, total) in totals.filter(|(lender, ..)| *lender == me) {
            let key = (source, incarnation, tenant);
            if !self.reported.contains_key(&key) && self.reported.len() >= MAX_TOTALS {
                continue;
            }
            // Totals only grow, so a delayed or repeated report adds nothing.
            let known = self.reported.entry(key).or_insert(total);
            if total > *known {
                added.push((tenant, total - *known));
                *known = total;
            }
        }
        added
    }
}
