//! Exchange of each tenant's request rates between the proxies of the fleet. From these rates each proxy computes its part
//! of a quota, so that the parts of all proxies add up to the quota.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use membership::{member_id, Fact, GuardedOperation, Status};
use quota::OtherProxies;

use crate::cluster::members::Members;

#[cfg(test)]
mod tests;

/// Message kind of usage rates.
const MESSAGE_KIND: u8 = 30;
/// Version of the encoding: the first byte of the message body.
const MESSAGE_VERSION: u8 = 1;
/// Lifetime of a message. A disconnected proxy keeps its part of the quotas for this time; then the others divide it.
const TTL: Duration = Duration::from_secs(60);
/// Interval of messages in a small fleet. Rates are averages over several seconds, so more messages would not help.
const BASE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of tenants in one message: a tenant number and a rate take at most five bytes each.
const MAX_TENANTS_PER_MESSAGE: usize = 48;
/// Maximum number of messages of one proxy, which leaves space for messages of lending and rollouts.
const MAX_MESSAGES: usize = 2;

/// Numbers derived from tenants' names, and rates in thousandths of a request per second.
type Rates = Vec<(u32, u32)>;

fn encode(rates: &[(u32, u32)]) -> Option<Vec<u8>> {
    postcard::to_extend(rates, vec![MESSAGE_VERSION]).ok()
}

fn decode(body: &[u8]) -> Option<Rates> {
    match body.split_first() {
        Some((&MESSAGE_VERSION, rest)) => postcard::from_bytes(rest).ok(),
        _ => None,
    }
}

/// Interval of [`publish`], which grows with the number of members.
pub fn publish_interval(members: &Members) -> Duration {
    membership::republish_interval(members.roster_size(), 1, BASE_INTERVAL, TTL)
}

/// Publishes the rates of this proxy. Tenants that do not fit are left out: each proxy estimates its part of their
/// quotas by itself.
pub fn publish(
    members: &mut Members,
    names: &[String],
    rates: impl Iterator<Item = f64>,
    now: Instant,
) {
    let rates: Rates = names
        .iter()
        .zip(rates)
        .map(|(name, rate)| (member_id(name), (rate * 1e3) as u32))
        .collect();
    for (index, chunk) in (0_u8..).zip(rates.chunks(MAX_TENANTS_PER_MESSAGE).take(MAX_MESSAGES)) {
        if let Some(body) = encode(chunk) {
            members.publish(MESSAGE_KIND, vec![index], body, TTL, now);
        }
    }
}

/// Whether a message has rates that can't be decoded: they have another version, or are malformed.
pub fn is_malformed(fact: &Fact) -> bool {
    fact.kind == MESSAGE_KIND && decode(&fact.body).is_none()
}

/// Sum of the rates at all other proxies; none while no other proxy has published rates.
pub fn other_proxies(members: &Members, names: &[String], now: Instant) -> Option<OtherProxies> {
    let gone = gone_members(members, now);
    let mut rates_by_tenant: BTreeMap<u32, f64> = BTreeMap::new();
    let mut proxies = BTreeSet::new();
    for fact in members.facts(MESSAGE_KIND, now) {
        // Messages under this proxy's name may be from a previous process.
        if fact.source == members.name() || gone.contains(&fact.source) {
            continue;
        }
        for (tenant, rate) in decode(&fact.body).unwrap_or_default() {
            *rates_by_tenant.entry(tenant).or_default() += f64::from(rate) / 1e3;
        }
        proxies.insert(fact.source);
    }
    let rates = names
        .iter()
        .map(|name| {
            rates_by_tenant
                .get(&member_id(name))
                .copied()
                .unwrap_or(0.0)
        })
        .collect();
    (!proxies.is_empty()).then_some(OtherProxies {
        proxies: proxies.len() as u32,
        rates,
    })
}

/// Members that do not serve requests any more. Members that are down count as gone only for a majority: a minority can't
/// distinguish failed from disconnected members, so it leaves all members their parts.
fn gone_members(members: &Members, now: Instant) -> BTreeSet<String> {
    let in_majority = members
        .check_operation(GuardedOperation::Promote, None, now)
        .is_ok()
        || members
            .check_operation(GuardedOperation::Lend, None, now)
            .is_ok();
    let is_gone = |status| matches!(status, Status::Left) || in_majority && status == Status::Down;
    members
        .view(now)
        .members
        .into_iter()
        .filter(|member| is_gone(member.status))
        .map(|member| member.name)
        .collect()
}
