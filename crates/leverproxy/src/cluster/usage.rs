//! Rates of each tenant's traffic at each proxy, exchanged with the others: so all local parts of a quota together are the
//! quota.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use membership::{member_id, Fact, GuardedOperation, Status};
use quota::OtherProxies;

use crate::cluster::members::Members;

#[cfg(test)]
mod tests;

/// Kind of the message.
const MESSAGE_KIND: u8 = 30;
/// The first byte of its body.
const MESSAGE_VERSION: u8 = 1;
/// A proxy that is cut off keeps its part of the quotas so long; then the others divide it.
const TTL: Duration = Duration::from_secs(60);
/// Interval of messages in a small fleet: rates are averages over some seconds.
const BASE_INTERVAL: Duration = Duration::from_secs(1);
/// Tenants in one message: a number and a rate take five bytes each at most.
const MAX_TENANTS_PER_MESSAGE: usize = 48;
/// Messages of one proxy, which leave room for those of loans and rollouts.
const MAX_MESSAGES: usize = 2;

/// Numbers of tenants' names, and rates in thousandths of a request a second.
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

/// Interval of [`publish`], which grows with the fleet.
pub fn publish_interval(members: &Members) -> Duration {
    membership::republish_interval(members.roster_size(), 1, BASE_INTERVAL, TTL)
}

/// Publishes the rates here. Tenants beyond what fits are left out: for them each proxy estimates its part by itself.
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
    for (at, part) in (0_u8..).zip(rates.chunks(MAX_TENANTS_PER_MESSAGE).take(MAX_MESSAGES)) {
        if let Some(body) = encode(part) {
            members.publish(MESSAGE_KIND, vec![at], body, TTL, now);
        }
    }
}

/// Whether a message has rates that can't be decoded: of another version, or malformed.
pub fn is_malformed(fact: &Fact) -> bool {
    fact.kind == MESSAGE_KIND && decode(&fact.body).is_none()
}

/// What all other proxies together see; none while no other reports.
pub fn other_proxies(members: &Members, names: &[String], now: Instant) -> Option<OtherProxies> {
    let gone = gone_members(members, now);
    let mut rates_by_tenant: BTreeMap<u32, f64> = BTreeMap::new();
    let mut proxies = BTreeSet::new();
    for fact in members.facts(MESSAGE_KIND, now) {
        // The own messages may be those of a former process.
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

/// Members that see no traffic any more. Those that are down count as gone for a majority only: a minority can't tell who is dead
/// from who is cut off, and leaves to all the part that they had.
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
