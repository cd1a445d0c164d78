//! How fast a site that returns is given its load back, by each of many proxies without a word between them.
//!
//! The site bears so many requests at once from the whole fleet when it has just returned, and more with time ([`Bound`]). Each
//! proxy has its part of that by its number, and takes it as far as the site has proven itself to this proxy. Parts add
//! up to the bound, and a proxy that sees the return later is only behind: so the sum stays under the bound that the
//! first one to see it knows, whatever each sees, without clocks that agree.

use crate::Time;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Requests at once, of all proxies: when it has just returned, and when it is warm.
    pub cold: u64,
    pub warm: u64,
    pub warm_after: Duration,
    /// This proxy's number among the fleet, from 0, and how many there are at the most.
    pub number: u32,
    pub proxies: u32,
}

impl Bound {
    /// Of all proxies, so long after the return. It never shrinks.
    pub fn at(&self, age: Duration) -> u64 {
        let warm = self.warm.max(self.cold);
        if age >= self.warm_after {
            return warm;
        }
        let part = age.as_nanos() * u128::from(warm - self.cold) / self.warm_after.as_nanos().max(1);
        self.cold + u64::try_from(part).unwrap_or(0).min(warm - self.cold)
    }

    /// This proxy's part of so many. More for all is never less for one.
    pub fn part(&self, all: u64) -> u64 {
        let (number, proxies) = (u64::from(self.number), u64::from(self.proxies.max(1)));
        if number >= proxies {
            // It is not of the fleet that the bound was made for.
            return 0;
        }
        all / proxies + u64::from(number < all % proxies)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Away,
    /// Since when, how many at once it has proven, and how many answers of the present round.
    Back {
        since: Time,
        proven: u64,
        round: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    bound: Bound,
    phase: Phase,
}

impl Pace {
    /// Of a site that is lost.
    pub fn new(bound: Bound) -> Pace {
        Pace { bound, phase: Phase::Away }
    }

    /// It is lost, maybe again: nothing that it has proven counts.
    pub fn lost(&mut self) {
        self.phase = Phase::Away;
    }

    /// It returns.
    pub fn returns(&mut self, now: Time) {
        if self.phase == Phase::Away {
            self.phase = Phase::Back { since: now, proven: 1, round: 0 };
        }
    }

    /// One of its answers came in time, or did not come so. A round is as many as were out.
    pub fn ended(&mut self, now: Time, in_time: bool) {
        let part = self.part(now);
        let Phase::Back { proven, round, .. } = &mut self.phase else { return };
        if !in_time {
            (*proven, *round) = ((*proven / 2).max(1), 0);
            return;
        }
        *round += 1;
        if *round >= *proven {
            (*proven, *round) = (proven.saturating_mul(2).min(part.max(1)), 0);
        }
    }

    fn part(&self, now: Time) -> u64 {
        match self.phase {
            Phase::Away => 0,
            Phase::Back { since, .. } => self.bound.part(self.bound.at(now.saturating_sub(since))),
        }
    }

    /// Requests that may be out at once.
    pub fn allowed(&self, now: Time) -> u64 {
        match self.phase {
            Phase::Away => 0,
            Phase::Back { proven, .. } => proven.min(self.part(now)),
        }
    }

    /// Whether all of its load may go there: it is warm, and has proven all that this proxy may have out.
    pub fn over(&self, now: Time) -> bool {
        match self.phase {
            Phase::Away => false,
            Phase::Back { since, proven, .. } => {
                now.saturating_sub(since) >= self.bound.warm_after && proven >= self.part(now)
            }
        }
    }

    /// Whether sessions move back, which come last: their next reads wait for what they wrote elsewhere.
    pub fn takes_sessions(&self, now: Time) -> bool {
        self.over(now)
    }
}
