//! Fleets of proxies, compared with buckets that count all requests of the fleet.

use quota::{OtherProxies, QuotaMeter, RequestStatus, Settings};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::VecDeque;
use std::time::Duration;

struct Fleet {
    proxies: usize,
    /// A tenth of the proxies receives nine tenths of the requests.
    unequal: bool,
    quotas: &'static [f64],
    /// Rate by tenant, relative to its quota: outside the surge, and in it (40 s to 52 s).
    usual_load: &'static [f64],
    surge_load: &'static [f64],
    /// In the surge two thirds of the proxies are down, and the rest receives their requests.
    shrinks: bool,
    /// Delay of exchanged rates, in quarters of a second; `None` if the proxies exchange none.
    exchange_delay: Option<usize>,
    /// Number of proxies that are partitioned from the others from 30 s on.
    isolated: usize,
}

/// Rates that proxies have published, oldest first; the oldest are delivered. During a partition the first `isolated` proxies and
/// the others don't reach each other: the majority considers the minority failed, and the minority continues with the last rates
/// that it received.
#[derive(Default)]
struct Messages {
    delay: usize,
    isolated: usize,
    queue: VecDeque<Vec<Vec<f64>>>,
    last_delivered: Vec<Vec<f64>>,
}

impl Messages {
    fn exchange(&mut self, proxies: &mut [QuotaMeter], now: Duration, partitioned: bool) {
        self.queue.push_back(
            proxies
                .iter_mut()
                .map(|proxy| proxy.rates(now).collect())
                .collect(),
        );
        if self.queue.len() > self.delay + 1 {
            self.queue.pop_front();
        }
        let (delivered, isolated) = (&self.queue[0], if partitioned { self.isolated } else { 0 });
        if !partitioned {
            self.last_delivered.clone_from(delivered);
        }
        for (number, proxy) in proxies.iter_mut().enumerate() {
            let current = |n: usize| {
                if (n < isolated) == (number < isolated) {
                    Some(&delivered[n])
                } else {
                    None
                }
            };
            let last = |n: usize| {
                if number < isolated {
                    Some(&self.last_delivered[n])
                } else {
                    None
                }
            };
            let received: Vec<_> = (0..delivered.len())
                .filter(|n| *n != number)
                .filter_map(|n| current(n).or(last(n)))
                .collect();
            let rates = (0..delivered[0].len())
                .map(|at| received.iter().map(|rates| rates[at]).sum())
                .collect();
            proxy.set_other_proxies(Some(&OtherProxies {
                proxies: received.len() as u32,
                rates,
            }));
        }
    }
}

/// Errors of the classification:
/// - of tenants within their quotas: the share of requests classified as over quota;
/// - of the other tenants: the share of requests over quota that is missing among those classified so, and the share of
///   requests within quota that is classified as over, since which of them arrived first is not determined;
/// - of the other tenants in the surge: requests not classified as over quota, relative to the quota, on average and in the
///   worst second.
fn classification_errors(fleet: &Fleet, seed: u64) -> [f64; 5] {
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
        delay: fleet.exchange_delay.unwrap_or(0),
        isolated: fleet.isolated,
        ..Messages::default()
    };
    let (mut next_exchange, mut passed) = (0.0, [0u32; 72]);
    while now < 72.0 {
        if fleet.exchange_delay.is_some() && now >= next_exchange {
            messages.exchange(
                &mut proxies,
                Duration::from_secs_f64(now),
                fleet.isolated > 0 && now >= 30.0,
            );
            next_exchange += 0.25;
        }
        let surge = (40.0..52.0).contains(&now);
        let load = if surge {
            fleet.surge_load
        } else {
            fleet.usual_load
        };
        let rates: Vec<f64> = fleet.quotas.iter().zip(load).map(|(q, u)| q * u).collect();
        let all: f64 = rates.iter().sum();
        let gap: f64 = Exp::new(all).unwrap().sample(&mut rng);
        now += gap;
        let mut position = rng.random::<f64>() * all;
        let tenant = rates.iter().position(|r| {
            position -= r;
            position < 0.0
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
        let is_over = buckets[tenant] < 1.0;
        buckets[tenant] -= if is_over { 0.0 } else { 1.0 };
        let marked = proxies[proxy].record_request(Duration::from_secs_f64(now), tenant, 0, false)
            == RequestStatus::Over;
        let exceeds = fleet.usual_load[tenant].max(fleet.surge_load[tenant]) > 1.0;
        counts[usize::from(exceeds)][usize::from(is_over)][usize::from(marked)] += 1;
        passed[now as usize % 72] += u32::from(exceeds && !marked);
    }
    let share = |part: u32, all: u32| f64::from(part) / f64::from(all).max(1.0);
    let [[keeping, _], [within, over]] = counts;
    let over_count: u32 = over.iter().sum();
    let surging = |at: &usize| fleet.usual_load[*at].max(fleet.surge_load[*at]) > 1.0;
    let quota: f64 = (0..fleet.quotas.len())
        .filter(surging)
        .map(|at| fleet.quotas[at])
        .sum::<f64>()
        .max(1.0);
    [
        share(keeping[1], keeping.iter().sum()),
        share(over_count.saturating_sub(over[1] + within[1]), over_count),
        share(within[1], within.iter().sum()),
        f64::from(passed[40..52].iter().sum::<u32>()) / quota / 12.0,
        f64::from(passed[40..52].iter().copied().max().unwrap_or(0)) / quota,
    ]
}

const QUOTAS: &[f64] = &[5000.0, 2500.0, 1500.0, 800.0];
const USUAL_LOAD: &[f64] = &[0.8, 0.7, 0.9, 0.8];
const SMALLEST_TENANT_SURGES: &[f64] = &[0.8, 0.7, 0.9, 4.0];

/// Errors must be lenient. Each case: name, fleet, maximum share of requests within quota classified as over, and maximum share
/// of requests over quota that is missed.
#[test]
fn errors_stay_on_the_lenient_side() {
    let base = Fleet {
        proxies: 60,
        unequal: false,
        quotas: QUOTAS,
        usual_load: USUAL_LOAD,
        surge_load: SMALLEST_TENANT_SURGES,
        shrinks: false,
        exchange_delay: None,
        isolated: 0,
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
                surge_load: &[4.0, 0.7, 0.9, 0.8],
                ..base
            },
            0.005,
            0.35,
        ),
        (
            "60, all surge",
            Fleet {
                surge_load: &[3.0, 3.0, 3.0, 3.0],
                ..base
            },
            0.005,
            1.0,
        ),
        (
            "60, within, 40 stop",
            Fleet {
                surge_load: USUAL_LOAD,
                shrinks: true,
                ..base
            },
            0.01,
            1.0,
        ),
        (
            "60, within, unequal rates",
            Fleet {
                usual_load: &[0.5, 0.4, 0.95, 0.6],
                surge_load: &[0.5, 0.4, 0.95, 0.6],
                ..base
            },
            0.005,
            1.0,
        ),
        (
            "60, two tenants",
            Fleet {
                quotas: &[5000.0, 1500.0],
                usual_load: &[0.8, 0.8],
                surge_load: &[0.8, 4.0],
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
            "60 exchanging, 0.25 s late",
            Fleet {
                exchange_delay: Some(1),
                ..base
            },
            0.005,
            0.15,
        ),
        (
            "60 exchanging, 1 s late",
            Fleet {
                exchange_delay: Some(4),
                ..base
            },
            0.005,
            0.15,
        ),
        (
            "60 exchanging, 3 s late",
            Fleet {
                exchange_delay: Some(12),
                ..base
            },
            0.005,
            0.25,
        ),
        (
            "60 exchanging, a third partitioned",
            Fleet {
                exchange_delay: Some(4),
                isolated: 20,
                ..base
            },
            0.005,
            0.4,
        ),
        (
            "60 exchanging, partitioned into halves",
            Fleet {
                exchange_delay: Some(4),
                isolated: 30,
                ..base
            },
            0.005,
            0.4,
        ),
        (
            "60 exchanging, unequal",
            Fleet {
                exchange_delay: Some(4),
                unequal: true,
                ..base
            },
            0.005,
            0.15,
        ),
        (
            "60 exchanging, all surge",
            Fleet {
                exchange_delay: Some(4),
                surge_load: &[3.0, 3.0, 3.0, 3.0],
                ..base
            },
            0.005,
            0.15,
        ),
    ];
    for (name, fleet, max_within, max_missed) in fleets {
        let [within, missed, swapped, passed, worst] = classification_errors(&fleet, 11);
        println!(
            "{name}: {within:.4} within quota classified as over, {missed:.3} over quota missed, {swapped:.3} swapped, \
             {passed:.2} of the quota passed, {worst:.2} in the worst second"
        );
        assert!(
            within <= max_within && missed <= max_missed,
            "{name}: {within:.4} within quota classified as over, {missed:.3} over quota missed"
        );
    }
}

/// The number of withheld requests is exact, whether or not the tenant would have used them.
#[test]
fn withheld_quota_is_counted_and_not_available() {
    let settings = Settings {
        proxies: 1,
        quotas: vec![100.0],
        ..Settings::default()
    };
    let (mut full, mut reduced) = (QuotaMeter::new(&settings), QuotaMeter::new(&settings));
    let (mut within, mut withheld, mut repaying) = ([0u32; 2], 0.0, 0u32);
    for tick in 0..60_000u64 {
        let now = Duration::from_millis(tick);
        if tick % 250 == 0 {
            withheld += reduced.withhold(now, 0, if tick < 30_000 { 0.4 } else { 0.0 });
        }
        if tick % 5 == 0 {
            for (meter, within) in [&mut full, &mut reduced].into_iter().zip(&mut within) {
                let status = meter.record_request(now, 0, 0, false);
                *within += u32::from(status == RequestStatus::Within);
                repaying += u32::from(status == RequestStatus::Withheld);
            }
        }
    }
    assert!((withheld - 0.4 * 100.0 * 30.0).abs() < 1e-6, "{withheld}");
    let missing = f64::from(within[0] - within[1]);
    assert!(
        (missing - withheld).abs() <= 2.0,
        "{missing} fewer requests within quota, with {withheld} withheld"
    );
    // At twice the quota, requests that repay are distinguished from those over quota.
    assert!(
        (f64::from(repaying) - withheld).abs() <= 2.0,
        "{repaying} requests repay, with {withheld} withheld"
    );
}

/// At three times the quota, requests of more weight get the tokens, and as many as without weights. A tenant within its quota
/// loses none.
#[test]
fn tokens_go_to_requests_of_more_weight_first() {
    let shares = |weights: Vec<f64>, per_s: u64| {
        let mut meter = QuotaMeter::new(&Settings {
            proxies: 1,
            quotas: vec![100.0],
            priority_weights: weights,
        });
        let mut within = [0u64; 3];
        for n in 0..per_s * 60 {
            let class = (n % 3) as usize;
            let status = meter.record_request(
                Duration::from_micros(n * 1_000_000 / per_s),
                0,
                class,
                false,
            );
            within[class] += u64::from(status == RequestStatus::Within);
        }
        within.map(|within| within as f64 / (20 * per_s) as f64)
    };
    let [low, middle, high] = shares(vec![1.0, 2.0, 3.0], 300);
    assert!(low < 0.02 && middle + high > 0.98, "{low} {middle} {high}");
    let unweighted: f64 = shares(Vec::new(), 300).iter().sum();
    assert!(
        (low + middle + high - unweighted).abs() < 0.02,
        "{unweighted}"
    );
    assert_eq!(shares(vec![1.0, 2.0, 3.0], 100), [1.0; 3]);
}

/// Over 600 s, proxies that exchange rates keep the quota to within a hundredth.
#[test]
fn local_quotas_of_proxies_that_exchange_rates_add_up_to_the_quota() {
    let settings = Settings {
        proxies: 12,
        quotas: vec![1_200.0],
        ..Settings::default()
    };
    let mut proxies = vec![QuotaMeter::new(&settings); 12];
    let mut messages = Messages {
        delay: 1,
        ..Messages::default()
    };
    let (mut within, mut seed) = (0u64, Xoshiro256PlusPlus::seed_from_u64(5));
    // Requests at about four times the quota, most of them at three proxies that change every minute.
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
    println!("within quota over 600 s: {part:.4} of the quota");
    assert!((0.99..=1.01).contains(&part), "{part}");
}

proptest::proptest! {
    /// A single proxy classifies no more requests as within quota than the quota and the depth of its bucket allow; retries take
    /// no tokens.
    #[test]
    fn one_proxy_keeps_to_the_quota(quota in 1.0f64..500.0, gaps in proptest::collection::vec(0u64..20_000, 1..400)) {
        let mut meter = QuotaMeter::new(&Settings { proxies: 1, quotas: vec![quota, 0.0], ..Settings::default() });
        let (mut now, mut within, mut first) = (Duration::ZERO, 0u32, true);
        let started = now;
        for gap in gaps {
            now += Duration::from_micros(gap);
            proptest::prop_assert_eq!(meter.record_request(now, 1, 0, false), RequestStatus::Unlimited);
            proptest::prop_assert_eq!(meter.record_request(now, 2, 0, false), RequestStatus::Unlimited);
            meter.record_request(now, 0, 0, true);
            let status = meter.record_request(now, 0, 0, false);
            proptest::prop_assert!(!first || status == RequestStatus::Within);
            first = false;
            within += u32::from(status == RequestStatus::Within);
            let span = (now - started).as_secs_f64();
            let bound = quota * span + quota + 3.0 * quota.sqrt() + 3.0;
            proptest::prop_assert!(f64::from(within) <= bound + 1e-6);
        }
    }
}
