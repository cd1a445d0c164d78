//! Fleets of proxies, against a count that sees all requests.

use quota::{OtherProxies, QuotaMeter, RequestStatus, Settings};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::VecDeque;
use std::time::Duration;

struct Fleet {
    proxies: usize,
    /// A tenth of the proxies get nine tenths.
    unequal: bool,
    quotas: &'static [f64],
    /// Use of the quota by tenant, and in the surge.
    usual: &'static [f64],
    surge: &'static [f64],
    /// Two of three proxies are gone in the surge, and the rest get their requests.
    shrinks: bool,
    /// They tell each other what they see, and hear it so many quarters of a second late; so many are cut off from 30 s on.
    late: Option<usize>,
    cut: usize,
}

/// Rates that proxies have published, oldest first: each receives the oldest. From some time on the first `cut` and the others don't
/// reach each other: the majority takes the minority for dead, and the minority goes on with the last rates that it received.
#[derive(Default)]
struct Messages {
    age: usize,
    cut: usize,
    past: VecDeque<Vec<Vec<f64>>>,
    last: Vec<Vec<f64>>,
}

impl Messages {
    fn exchange(&mut self, proxies: &mut [QuotaMeter], now: Duration, apart: bool) {
        self.past.push_back(
            proxies
                .iter_mut()
                .map(|proxy| proxy.rates(now).collect())
                .collect(),
        );
        if self.past.len() > self.age + 1 {
            self.past.pop_front();
        }
        let (said, cut) = (&self.past[0], if apart { self.cut } else { 0 });
        if !apart {
            self.last.clone_from(said);
        }
        for (number, proxy) in proxies.iter_mut().enumerate() {
            let heard = |n: usize| {
                if (n < cut) == (number < cut) {
                    Some(&said[n])
                } else {
                    None
                }
            };
            let last = |n: usize| {
                if number < cut {
                    Some(&self.last[n])
                } else {
                    None
                }
            };
            let told: Vec<_> = (0..said.len())
                .filter(|n| *n != number)
                .filter_map(|n| heard(n).or(last(n)))
                .collect();
            let rates = (0..said[0].len())
                .map(|at| told.iter().map(|rates| rates[at]).sum())
                .collect();
            proxy.set_other_proxies(Some(&OtherProxies {
                proxies: told.len() as u32,
                rates,
            }));
        }
    }
}

/// Of tenants that keep to their quotas: the share marked beyond. Of the others: the share of what is beyond that
/// is missing from the marks, and of what is within that is marked, since it can't be told which of them came first;
/// and in the surge what passes as within, of the quota: in all, and in its worst second.
fn mislabelled(fleet: &Fleet, seed: u64) -> [f64; 5] {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let settings = Settings {
        proxies: fleet.proxies as u32,
        quotas: fleet.quotas.to_vec(),
        ..Settings::default()
    };
    let mut proxies = vec![QuotaMeter::new(&settings); fleet.proxies];
    let mut buckets = fleet.quotas.to_vec();
    let (mut now, mut counts) = (0.0, [[[0u32; 2]; 2]; 2]);
    let mut messages = Messages {
        age: fleet.late.unwrap_or(0),
        cut: fleet.cut,
        ..Messages::default()
    };
    let (mut tells, mut passed) = (0.0, [0u32; 72]);
    while now < 72.0 {
        if fleet.late.is_some() && now >= tells {
            messages.exchange(
                &mut proxies,
                Duration::from_secs_f64(now),
                fleet.cut > 0 && now >= 30.0,
            );
            tells += 0.25;
        }
        let surge = (40.0..52.0).contains(&now);
        let uses = if surge { fleet.surge } else { fleet.usual };
        let rates: Vec<f64> = fleet.quotas.iter().zip(uses).map(|(q, u)| q * u).collect();
        let all: f64 = rates.iter().sum();
        let gap: f64 = Exp::new(all).unwrap().sample(&mut rng);
        now += gap;
        let mut drawn = rng.random::<f64>() * all;
        let tenant = rates.iter().position(|r| {
            drawn -= r;
            drawn < 0.0
        });
        let tenant = tenant.unwrap_or(0);
        let serving = if fleet.shrinks && surge {
            fleet.proxies / 3
        } else {
            fleet.proxies
        };
        let busy = (serving / 10).max(1);
        let proxy = match rng.random_bool(0.9) {
            true if fleet.unequal => rng.random_range(0..busy),
            false if fleet.unequal => rng.random_range(busy..serving),
            _ => rng.random_range(0..serving),
        };
        for (bucket, quota) in buckets.iter_mut().zip(fleet.quotas) {
            *bucket = (*bucket + quota * gap).min(*quota);
        }
        let beyond = buckets[tenant] < 1.0;
        buckets[tenant] -= if beyond { 0.0 } else { 1.0 };
        let marked = proxies[proxy].record_request(Duration::from_secs_f64(now), tenant, 0, false)
            == RequestStatus::Over;
        let exceeds = fleet.usual[tenant].max(fleet.surge[tenant]) > 1.0;
        counts[usize::from(exceeds)][usize::from(beyond)][usize::from(marked)] += 1;
        passed[now as usize % 72] += u32::from(exceeds && !marked);
    }
    let share = |part: u32, all: u32| f64::from(part) / f64::from(all).max(1.0);
    let [[keep, _], [within, beyond]] = counts;
    let over: u32 = beyond.iter().sum();
    let surging = |at: &usize| fleet.usual[*at].max(fleet.surge[*at]) > 1.0;
    let quota: f64 = (0..fleet.quotas.len())
        .filter(surging)
        .map(|at| fleet.quotas[at])
        .sum::<f64>()
        .max(1.0);
    [
        share(keep[1], keep.iter().sum()),
        share(over.saturating_sub(beyond[1] + within[1]), over),
        share(within[1], within.iter().sum()),
        f64::from(passed[40..52].iter().sum::<u32>()) / quota / 12.0,
        f64::from(passed[40..52].iter().copied().max().unwrap_or(0)) / quota,
    ]
}

const QUOTAS: &[f64] = &[5000.0, 2500.0, 1500.0, 800.0];
const USUAL: &[f64] = &[0.8, 0.7, 0.9, 0.8];
const SMALLEST: &[f64] = &[0.8, 0.7, 0.9, 4.0];

/// The errors stay on the lenient side: (fleet, most of what is within marked, most of what is beyond missed).
#[test]
fn errors_stay_on_the_lenient_side() {
    let base = Fleet {
        proxies: 60,
        unequal: false,
        quotas: QUOTAS,
        usual: USUAL,
        surge: SMALLEST,
        shrinks: false,
        late: None,
        cut: 0,
    };
    let fleets = [
        ("6 proxies", Fleet { proxies: 6, ..base }, 0.005, 0.3),
        ("60 proxies", Fleet { ..base }, 0.005, 0.35),
        (
            "60, unequal",
            Fleet {
                unequal: true,
                ..base
            },
            0.005,
            0.45,
        ),
        (
            "60, largest surges",
            Fleet {
                surge: &[4.0, 0.7, 0.9, 0.8],
                ..base
            },
            0.005,
            0.35,
        ),
        (
            "60, all surge",
            Fleet {
                surge: &[3.0, 3.0, 3.0, 3.0],
                ..base
            },
            0.005,
            1.0,
        ),
        (
            "60, within, 40 end",
            Fleet {
                surge: USUAL,
                shrinks: true,
                ..base
            },
            0.01,
            1.0,
        ),
        (
            "60, within, uses unequal",
            Fleet {
                usual: &[0.5, 0.4, 0.95, 0.6],
                surge: &[0.5, 0.4, 0.95, 0.6],
                ..base
            },
            0.005,
            1.0,
        ),
        (
            "60, two tenants",
            Fleet {
                quotas: &[5000.0, 1500.0],
                usual: &[0.8, 0.8],
                surge: &[0.8, 4.0],
                ..base
            },
            0.005,
            0.35,
        ),
        (
            "600 proxies",
            Fleet {
                proxies: 600,
                ..base
            },
            0.005,
            0.8,
        ),
        (
            "60 that tell, 0.25 s late",
            Fleet {
                late: Some(1),
                ..base
            },
            0.005,
            0.15,
        ),
        (
            "60 that tell, 1 s late",
            Fleet {
                late: Some(4),
                ..base
            },
            0.005,
            0.15,
        ),
        (
            "60 that tell, 3 s late",
            Fleet {
                late: Some(12),
                ..base
            },
            0.005,
            0.25,
        ),
        (
            "60 that tell, a third cut off",
            Fleet {
                late: Some(4),
                cut: 20,
                ..base
            },
            0.005,
            0.4,
        ),
        (
            "60 that tell, halves",
            Fleet {
                late: Some(4),
                cut: 30,
                ..base
            },
            0.005,
            0.4,
        ),
        (
            "60 that tell, unequal",
            Fleet {
                late: Some(4),
                unequal: true,
                ..base
            },
            0.005,
            0.15,
        ),
        (
            "60 that tell, all surge",
            Fleet {
                late: Some(4),
                surge: &[3.0, 3.0, 3.0, 3.0],
                ..base
            },
            0.005,
            0.15,
        ),
    ];
    for (name, fleet, dear, cheap) in fleets {
        let [within, missed, swapped, passed, worst] = mislabelled(&fleet, 11);
        println!(
            "{name}: of those within marked {within:.4}, beyond missed {missed:.3}, swapped {swapped:.3}, \
             passed {passed:.2} of the quota, {worst:.2} in the worst second"
        );
        assert!(
            within <= dear && missed <= cheap,
            "{name}: {within:.4} of within, {missed:.3} of beyond"
        );
    }
}

/// What a tenant does without is told to the last request, whether it would have used it or not.
#[test]
fn what_is_withheld_is_counted_and_not_available() {
    let settings = Settings {
        proxies: 1,
        quotas: vec![100.0],
        ..Settings::default()
    };
    let (mut plain, mut short) = (QuotaMeter::new(&settings), QuotaMeter::new(&settings));
    let (mut within, mut withheld, mut repaying) = ([0u32; 2], 0.0, 0u32);
    for tick in 0..60_000u64 {
        let now = Duration::from_millis(tick);
        if tick % 250 == 0 {
            withheld += short.withhold(now, 0, if tick < 30_000 { 0.4 } else { 0.0 });
        }
        if tick % 5 == 0 {
            for (quota, within) in [&mut plain, &mut short].into_iter().zip(&mut within) {
                let status = quota.record_request(now, 0, 0, false);
                *within += u32::from(status == RequestStatus::Within);
                repaying += u32::from(status == RequestStatus::Withheld);
            }
        }
    }
    assert!((withheld - 0.4 * 100.0 * 30.0).abs() < 1e-6, "{withheld}");
    let missing = f64::from(within[0] - within[1]);
    assert!(
        (missing - withheld).abs() <= 2.0,
        "{missing} are missing of {withheld}"
    );
    // Of twice the quota, those that repay are told from those beyond.
    assert!(
        (f64::from(repaying) - withheld).abs() <= 2.0,
        "{repaying} repay of {withheld}"
    );
}

/// At three times the quota dear requests get the tokens, and as many as without; who keeps to its quota loses none.
#[test]
fn tokens_go_to_requests_of_more_weight_first() {
    let shares = |weights: Vec<f64>, per_s: u64| {
        let mut quota = QuotaMeter::new(&Settings {
            proxies: 1,
            quotas: vec![100.0],
            priority_weights: weights,
        });
        let mut within = [0u64; 3];
        for n in 0..per_s * 60 {
            let class = (n % 3) as usize;
            let status = quota.record_request(
                Duration::from_micros(n * 1_000_000 / per_s),
                0,
                class,
                false,
            );
            within[class] += u64::from(status == RequestStatus::Within);
        }
        within.map(|within| within as f64 / (20 * per_s) as f64)
    };
    let [cheap, dear, dearest] = shares(vec![1.0, 2.0, 3.0], 300);
    assert!(
        cheap < 0.02 && dear + dearest > 0.98,
        "{cheap} {dear} {dearest}"
    );
    let alike: f64 = shares(Vec::new(), 300).iter().sum();
    assert!((cheap + dear + dearest - alike).abs() < 0.02, "{alike}");
    assert_eq!(shares(vec![1.0, 2.0, 3.0], 100), [1.0; 3]);
}

/// A day of a fleet that tells keeps the quota within a hundredth; alone, each would have guessed.
#[test]
fn local_quotas_of_proxies_that_exchange_rates_add_up_to_the_quota() {
    let settings = Settings {
        proxies: 12,
        quotas: vec![1_200.0],
        ..Settings::default()
    };
    let mut proxies = vec![QuotaMeter::new(&settings); 12];
    let mut messages = Messages {
        age: 1,
        ..Messages::default()
    };
    let (mut within, mut seed) = (0u64, Xoshiro256PlusPlus::seed_from_u64(5));
    // Four times the quota asks, most of it of a few proxies that change every minute.
    for milli in 0..600_000u64 {
        let now = Duration::from_millis(milli);
        if milli % 1_000 == 0 {
            messages.exchange(&mut proxies, now, false);
        }
        for _ in 0..5 {
            let busy = (milli / 60_000 * 5) as usize;
            let any = seed.random_range(0..12);
            let proxy = if seed.random_bool(0.7) {
                (busy + any % 3) % 12
            } else {
                any
            };
            within +=
                u64::from(proxies[proxy].record_request(now, 0, 0, false) == RequestStatus::Within);
        }
    }
    let part = within as f64 / (1_200.0 * 600.0);
    println!("within over a day of 600 s: {part:.4} of the quota");
    assert!((0.99..=1.01).contains(&part), "{part}");
}

proptest::proptest! {
    /// Alone, a proxy lets no more through as within than the quota and the depth of its bucket; repeats take nothing.
    #[test]
    fn one_proxy_keeps_to_the_quota(quota in 1.0f64..500.0, gaps in proptest::collection::vec(0u64..20_000, 1..400)) {
        let mut account = QuotaMeter::new(&Settings { proxies: 1, quotas: vec![quota, 0.0], ..Settings::default() });
        let (mut now, mut within, mut first) = (Duration::ZERO, 0u32, true);
        let begun = now;
        for gap in gaps {
            now += Duration::from_micros(gap);
            proptest::prop_assert_eq!(account.record_request(now, 1, 0, false), RequestStatus::Unlimited);
            proptest::prop_assert_eq!(account.record_request(now, 2, 0, false), RequestStatus::Unlimited);
            account.record_request(now, 0, 0, true);
            let status = account.record_request(now, 0, 0, false);
            proptest::prop_assert!(!first || status == RequestStatus::Within);
            first = false;
            within += u32::from(status == RequestStatus::Within);
            let span = (now - begun).as_secs_f64();
            let most = quota * span + quota + 3.0 * quota.sqrt() + 3.0;
            proptest::prop_assert!(f64::from(within) <= most + 1e-6);
        }
    }
}
