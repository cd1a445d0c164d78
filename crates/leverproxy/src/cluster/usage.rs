//! How much of each tenant's traffic each proxy sees, told to the others: so all parts of a quota together are the quota.

use crate::cluster::members::Members;
use membership::{member_id, Fact, GuardedOperation, Status};
use quota::Others;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

const KIND: u8 = 30;
/// Of what a body looks like.
const VERSION: u8 = 1;
/// One that is cut off keeps its part so long; then those who are left share it.
const LASTS: Duration = Duration::from_secs(60);
/// In a small fleet it is said so often: what it tells is a mean over some seconds.
const EVERY: Duration = Duration::from_secs(1);
/// Tenants in one fact: a number of five bytes at most, and a rate of as many.
const TENANTS: usize = 48;
/// Facts of one proxy, so that loans and rollouts find room.
const FACTS: usize = 2;

/// In thousandths of a request a second.
type Rates = Vec<(u32, u32)>;

fn encode(rates: &[(u32, u32)]) -> Option<Vec<u8>> {
    postcard::to_extend(rates, vec![VERSION]).ok()
}

fn decode(body: &[u8]) -> Option<Rates> {
    match body.split_first() {
        Some((&VERSION, rest)) => postcard::from_bytes(rest).ok(),
        _ => None,
    }
}

/// How often to say it, in a fleet of that size.
pub fn pace(members: &Members) -> Duration {
    membership::republish_interval(members.roster_size(), 1, EVERY, LASTS)
}

/// Tenants beyond what fits are not told of: for them each proxy goes on by itself.
pub fn say(
    members: &mut Members,
    names: &[String],
    rates: impl Iterator<Item = f64>,
    now: Instant,
) {
    let milli = |rate: f64| (rate * 1e3) as u32;
    let rates: Rates = names
        .iter()
        .zip(rates)
        .map(|(name, rate)| (member_id(name), milli(rate)))
        .collect();
    for (at, part) in (0_u8..).zip(rates.chunks(TENANTS).take(FACTS)) {
        if let Some(body) = encode(part) {
            members.publish(KIND, vec![at], body, LASTS, now);
        }
    }
}

/// Of rates, and of another version or torn.
pub fn is_unread(fact: &Fact) -> bool {
    fact.kind == KIND && decode(&fact.body).is_none()
}

/// What all others see; none while nobody tells.
pub fn others(members: &Members, names: &[String], now: Instant) -> Option<Others> {
    let view = members.view(now);
    // Who is dead for the larger part sees nothing any more. The smaller part can't tell who is dead from who is cut off,
    // and leaves to all the part that they had.
    let larger = members
        .check_operation(GuardedOperation::Promote, None, now)
        .is_ok()
        || members
            .check_operation(GuardedOperation::Lend, None, now)
            .is_ok();
    let gone = |status| matches!(status, Status::Left) || larger && status == Status::Down;
    let gone: BTreeSet<&str> = view
        .members
        .iter()
        .filter(|m| gone(m.status))
        .map(|m| m.name.as_str())
        .collect();
    let mut told: BTreeMap<u32, f64> = BTreeMap::new();
    let mut proxies = BTreeSet::new();
    for fact in members.facts(KIND, now) {
        // What this one said before its start is of no use to itself.
        if fact.source == members.name() || gone.contains(fact.source.as_str()) {
            continue;
        }
        for (tenant, milli) in decode(&fact.body).unwrap_or_default() {
            *told.entry(tenant).or_default() += f64::from(milli) / 1e3;
        }
        proxies.insert(fact.source);
    }
    let rates = names
        .iter()
        .map(|name| told.get(&member_id(name)).copied().unwrap_or(0.0))
        .collect();
    (!proxies.is_empty()).then_some(Others {
        proxies: proxies.len() as u32,
        rates,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    /// As version 1 wrote them.
    #[test]
    fn rates_of_version_1_are_read_for_good() {
        let kept = [1, 2, 0xe8, 0x07, 0xc0, 0xc4, 0x07, 3, 0];
        assert_eq!(decode(&kept), Some(vec![(1000, 123_456), (3, 0)]));
        assert_eq!(
            encode(&[(1000, 123_456), (3, 0)]).as_deref(),
            Some(&kept[..])
        );
    }

    #[test]
    fn what_is_of_a_later_version_or_torn_says_nothing_and_counts() {
        for body in [&[2, 0][..], &[1, 2, 0xe8], &[]] {
            assert_eq!(decode(body), None);
            let fact = |kind| Fact {
                source: "n1".into(),
                incarnation: 1,
                kind,
                key: vec![0],
                sequence: 1,
                body: body.into(),
                age: Duration::ZERO,
                ttl: LASTS,
            };
            assert!(is_unread(&fact(KIND)) && !is_unread(&fact(KIND + 1)));
        }
    }
}
