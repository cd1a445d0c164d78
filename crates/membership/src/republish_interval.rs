//! How often a fact may be published, so that what each member receives does not grow with the fleet.

use std::time::Duration;

/// Facts of one sort that each member receives per second, at most. At 350 bytes for each reception, 50 are 18 kB/s.
const MAX_FACTS_PER_SECOND: u32 = 50;
/// A fact is published so often within its TTL, so that one lost publication does not expire it.
const MIN_PUBLICATIONS_PER_TTL: u32 = 3;

/// The time between two publications of a sort of fact. Each of `members` publishes `facts` of it, with a TTL of `ttl`, and
/// would like to do so every `wanted`. In a large fleet the interval grows, to a third of the TTL at most.
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
