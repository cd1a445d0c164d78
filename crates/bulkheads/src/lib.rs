//! Pools that bound parts of the work by themselves, so that one kind of request can't take the place of others.
//!
//! A pool bounds the requests that are open at once and the rate at which they are taken in (the generic cell rate
//! algorithm of ITU-T I.371, with the burst as its tolerance). Of both a reserve is kept for those of higher
//! priority. Whoever is refused is told when a place is likely to be free, later for each that is refused in a row,
//! so that the refused don't come back together.
//!
//! Plain data in, plain data out; time is an argument and never goes back.

use std::time::Duration;

/// Time since an origin of the caller's.
pub type Time = Duration;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    Low,
    #[default]
    Normal,
    High,
}

/// So many requests, each of which takes this long of the rate's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    pub interval: Duration,
    pub burst: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub name: String,
    /// Open at once.
    pub requests: Option<u32>,
    pub rate: Option<Rate>,
    /// Part of both bounds that a priority leaves to the next higher one.
    pub reserve: f64,
    /// What the refused are told; else it is worked out.
    pub retry_after: Option<Duration>,
}

/// A pool, for as long as it is in use; a name's number stays the same until nothing of it is open any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId(usize);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It counts against the pool until it is given back.
    Taken,
    Refused {
        cause: Cause,
        retry_after: Duration,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Too many are open.
    Full,
    /// They come too fast.
    Fast,
}

/// What a pool has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub open: u32,
    pub taken: u64,
    pub full: u64,
    pub fast: u64,
}

#[derive(Debug)]
struct Pool {
    name: String,
    /// None: it is no longer configured, and goes once nothing is open.
    settings: Option<Settings>,
    counts: Counts,
    /// When the rate has caught up with all that was taken in.
    caught_up: Time,
    /// Moving average of how long a request is open.
    held: Duration,
    /// Refused since the last place came free.
    queued: u32,
}

/// Weight of a new time in the average, and what stands for it before there is one.
const HELD_WEIGHT: u32 = 8;
const HELD_AT_FIRST: Duration = Duration::from_millis(100);
/// Bounds of what is worked out for the refused: sooner costs more than it gains, later loses them.
const COME_BACK: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(2));

#[derive(Debug, Default)]
pub struct Bulkheads {
    /// Places are reused once nothing refers to them.
    pools: Vec<Option<Pool>>,
}

impl Bulkheads {
    /// The pools as they are from now on, in place of those before. What is open stays counted. Returns their
    /// numbers, in the order given; of settings of one name the last counts.
    pub fn configure(&mut self, all: &[Settings]) -> Vec<PoolId> {
        for pool in self.pools.iter_mut().flatten() {
            pool.settings = None;
        }
        let ids: Vec<PoolId> = all.iter().map(|settings| self.place(settings)).collect();
        for slot in &mut self.pools {
            if slot
                .as_ref()
                .is_some_and(|p| p.settings.is_none() && p.counts.open == 0)
            {
                *slot = None;
            }
        }
        ids
    }

    fn place(&mut self, settings: &Settings) -> PoolId {
        let known = self
            .pools
            .iter()
            .position(|p| p.as_ref().is_some_and(|p| p.name == settings.name));
        if let Some(pool) = known.and_then(|at| self.pools[at].as_mut()) {
            pool.settings = Some(settings.clone());
        }
        let at = known.unwrap_or_else(|| {
            let pool = Pool {
                name: settings.name.clone(),
                settings: Some(settings.clone()),
                counts: Counts::default(),
                caught_up: Time::ZERO,
                held: HELD_AT_FIRST,
                queued: 0,
            };
            match self.pools.iter().position(Option::is_none) {
                Some(free) => {
                    self.pools[free] = Some(pool);
                    free
                }
                None => {
                    self.pools.push(Some(pool));
                    self.pools.len() - 1
                }
            }
        });
        PoolId(at)
    }

    /// Takes a request in, or says when it may come back. A pool that is not there bounds nothing.
    pub fn take(&mut self, id: PoolId, priority: Priority, now: Time) -> Verdict {
        let Some(pool) = self.pools.get_mut(id.0).and_then(Option::as_mut) else {
            return Verdict::Taken;
        };
        let Some(settings) = &pool.settings else {
            pool.counts.open += 1;
            return Verdict::Taken;
        };
        if let Some(most) = settings.requests {
            let open_to = within(most, settings.reserve, priority);
            if pool.counts.open >= open_to {
                pool.counts.full += 1;
                pool.queued = pool.queued.saturating_add(1);
                // Places come free one by one, each after its share of the time that requests are open.
                let wait = pool.held / open_to * pool.queued;
                let retry_after = settings
                    .retry_after
                    .unwrap_or(wait.clamp(COME_BACK.0, COME_BACK.1));
                return Verdict::Refused {
                    cause: Cause::Full,
                    retry_after,
                };
            }
        }
        if let Some(rate) = settings.rate {
            let tolerance = rate.interval * within(rate.burst, settings.reserve, priority);
            let next = pool.caught_up.max(now) + rate.interval;
            if next > now + tolerance {
                pool.counts.fast += 1;
                pool.queued = pool.queued.saturating_add(1);
                let wait = next - now - tolerance + rate.interval * (pool.queued - 1);
                let retry_after = settings
                    .retry_after
                    .unwrap_or(wait.clamp(COME_BACK.0, COME_BACK.1));
                return Verdict::Refused {
                    cause: Cause::Fast,
                    retry_after,
                };
            }
            pool.caught_up = next;
        }
        pool.queued = 0;
        pool.counts.open += 1;
        pool.counts.taken += 1;
        Verdict::Taken
    }

    /// A request that was taken is over, after so long.
    pub fn give_back(&mut self, id: PoolId, held: Duration) {
        let Some(slot) = self.pools.get_mut(id.0) else {
            return;
        };
        let Some(pool) = slot else { return };
        pool.counts.open = pool.counts.open.saturating_sub(1);
        pool.held = (pool.held * (HELD_WEIGHT - 1) + held) / HELD_WEIGHT;
        pool.queued = pool.queued.saturating_sub(1);
        if pool.settings.is_none() && pool.counts.open == 0 {
            *slot = None;
        }
    }

    /// Names and counts of all pools.
    pub fn counts(&self) -> impl Iterator<Item = (&str, Counts)> {
        self.pools
            .iter()
            .flatten()
            .map(|pool| (pool.name.as_str(), pool.counts))
    }
}

/// Of a bound, what is open to a priority: at least one, or it would never be served.
fn within(most: u32, reserve: f64, priority: Priority) -> u32 {
    let steps = match priority {
        Priority::High => 0.0,
        Priority::Normal => 1.0,
        Priority::Low => 2.0,
    };
    let open = f64::from(most) * (1.0 - reserve * steps).max(0.0);
    (open.floor() as u32).clamp(1, most.max(1))
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    fn pool(requests: Option<u32>, rate: Option<Rate>) -> (Bulkheads, PoolId) {
        let mut bulkheads = Bulkheads::default();
        let settings = Settings {
            name: "p".into(),
            requests,
            rate,
            reserve: 0.1,
            retry_after: None,
        };
        let ids = bulkheads.configure(&[settings]);
        (bulkheads, ids[0])
    }

    fn taken(verdict: Verdict) -> bool {
        verdict == Verdict::Taken
    }

    #[test]
    fn open_requests_are_bounded_and_a_reserve_is_kept_for_higher_priorities() {
        let (mut all, id) = pool(Some(10), None);
        let mut take = |priority| {
            (0..20)
                .filter(|_| taken(all.take(id, priority, Time::ZERO)))
                .count()
        };
        assert_eq!(
            (
                take(Priority::Low),
                take(Priority::Normal),
                take(Priority::High)
            ),
            (8, 1, 1)
        );
        all.give_back(id, MS);
        assert!(
            !taken(all.take(id, Priority::Normal, Time::ZERO)),
            "the place is high priority's"
        );
        assert!(taken(all.take(id, Priority::High, Time::ZERO)));
    }

    #[test]
    fn a_rate_is_kept_over_any_time_with_its_burst() {
        let rate = Rate {
            interval: 10 * MS,
            burst: 5,
        };
        let (mut all, id) = pool(None, Some(rate));
        let mut times = Vec::new();
        for ms in 0..2_000 {
            if taken(all.take(id, Priority::High, MS * ms)) {
                times.push(ms);
            }
        }
        assert_eq!(times.len(), 5 + 199, "a burst, then one each 10 ms");
        for (at, start) in times.iter().enumerate() {
            let inside = times[at..].iter().take_while(|t| *t - start < 100).count();
            assert!(inside <= 15, "{inside} within 100 ms");
        }
    }

    #[test]
    fn the_refused_are_told_to_come_back_one_after_the_other() {
        let (mut all, id) = pool(Some(2), None);
        for _ in 0..2 {
            assert!(taken(all.take(id, Priority::High, Time::ZERO)));
        }
        let told: Vec<Duration> = (0..20)
            .map(|_| match all.take(id, Priority::High, Time::ZERO) {
                Verdict::Refused {
                    cause: Cause::Full,
                    retry_after,
                } => retry_after,
                other => panic!("{other:?}"),
            })
            .collect();
        assert!(
            told.windows(2).all(|w| w[0] <= w[1]) && told[0] < told[19],
            "{told:?}"
        );
        assert!(told.iter().all(|t| (COME_BACK.0..=COME_BACK.1).contains(t)));
        // By when it comes back, whoever was told by the rate finds a place.
        let (mut all, id) = pool(
            None,
            Some(Rate {
                interval: 50 * MS,
                burst: 1,
            }),
        );
        assert!(taken(all.take(id, Priority::High, MS)));
        let Verdict::Refused { retry_after, .. } = all.take(id, Priority::High, MS) else {
            panic!()
        };
        assert!(taken(all.take(id, Priority::High, MS + retry_after)));
    }

    #[test]
    fn what_is_open_stays_counted_over_a_change_of_the_configuration() {
        let (mut all, id) = pool(Some(2), None);
        assert!(taken(all.take(id, Priority::High, Time::ZERO)));
        let settings = |name: &str, n| Settings {
            name: name.into(),
            requests: Some(n),
            rate: None,
            reserve: 0.0,
            retry_after: None,
        };
        let ids = all.configure(&[settings("q", 1), settings("p", 1)]);
        assert_eq!(ids[1], id);
        assert!(
            !taken(all.take(id, Priority::High, Time::ZERO)),
            "one is open, and one may be"
        );
        // Gone from the configuration, it lives until its last request is over, and its number is not another's.
        let ids = all.configure(&[settings("r", 1)]);
        assert_ne!(ids[0], id);
        assert!(taken(all.take(ids[0], Priority::High, Time::ZERO)));
        all.give_back(id, MS);
        assert_eq!(
            all.counts()
                .map(|(name, counts)| (name, counts.open))
                .collect::<Vec<_>>(),
            [("r", 1)]
        );
    }

    /// Whatever comes in whatever order: never more open than the bound, and lower priorities never in the reserve.
    #[test]
    fn bounds_hold_over_random_runs() {
        let mut seed = 1_u64;
        let mut random = move |n: u64| {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            (seed >> 33) % n
        };
        let (mut all, id) = pool(
            Some(20),
            Some(Rate {
                interval: MS,
                burst: 30,
            }),
        );
        let (mut open, mut now) = (0_u32, Time::ZERO);
        for _ in 0..50_000 {
            now += Duration::from_micros(random(900));
            if random(2) == 0 && open > 0 {
                all.give_back(id, MS * random(50) as u32);
                open -= 1;
                continue;
            }
            let priority = [Priority::Low, Priority::Normal, Priority::High][random(3) as usize];
            if taken(all.take(id, priority, now)) {
                open += 1;
                let most = [16, 18, 20][priority as usize];
                assert!(open <= most, "{open} open at {priority:?}");
            }
            assert_eq!(all.counts().next().map(|(_, c)| c.open), Some(open));
        }
    }
}
