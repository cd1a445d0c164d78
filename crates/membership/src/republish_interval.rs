//! The interval at which facts are published, so that the rate that each member receives does not grow with the fleet.

use std::time::Duration;

/// Maximum rate of facts of one sort that each member receives. At 350 bytes for each reception, 50 per second are 18
/// kB/s.
const MAX_FACTS_PER_SECOND: u32 = 50;
/// A fact is published at least this often within its TTL, so that it does not expire when one publication is lost.
const MIN_PUBLICATIONS_PER_TTL: u32 = 3;

/// The time between two publications of a sort of fact. Each of `members` members publishes `facts` facts of this sort
/// with a TTL of `ttl`; `wanted` is the interval in a small fleet. In a large fleet the interval grows, to a third of the
/// TTL at most.
pub fn republish_interval(
    members: usize,
    facts: usize,
    wanted: Duration,
    ttl: Duration,
) -> Duration {
    let publications = u32::try_from(members.saturating_mul(facts)).unwrap_or(u32::MAX);
    let even = Duration::from_secs(1).saturating_mul(publications) / MAX_FACTS_PER_SECOND;
    wanted.max(even.min(ttl / MIN_PUBLICATIONS_PER_TTL))
}
