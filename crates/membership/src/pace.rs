//! How often a proxy may say a fact again, so that what each of a fleet hears does not grow with the fleet.

use std::time::Duration;

/// Sayings of all others that one proxy hears in a second, of one sort of fact. Each costs it some 350 bytes a second with a
/// body of 60 bytes: 50 are 18 kB.
const HEARD_A_SECOND: u32 = 50;
/// A fact is said at least so often while it lasts, so that a lost one does not end it.
const SAID_WHILE_IT_LASTS: u32 = 3;

/// The time from one saying to the next for a sort of fact of which each of `members` says `facts`, `wanted` apart in a small
/// fleet, each for `lasts`. Where that were more than 50 a second it grows with the fleet, to a third of `lasts` at most.
pub fn pace(members: usize, facts: usize, wanted: Duration, lasts: Duration) -> Duration {
    let said = u32::try_from(members.saturating_mul(facts)).unwrap_or(u32::MAX);
    let even = Duration::from_secs(1).saturating_mul(said) / HEARD_A_SECOND;
    wanted.max(even.min(lasts / SAID_WHILE_IT_LASTS))
}
