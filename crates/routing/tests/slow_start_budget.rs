//! Load that many routers without communication send to one starting server together, in virtual time.

mod common;

use common::*;
use routing::*;
use std::collections::VecDeque;
use std::time::Duration;

const STARTING_SERVER: u32 = 5;
const STEP: Duration = Duration::from_millis(5);
const STEPS_BEFORE_START: u32 = 4_000;
const STEPS_AFTER_START: u32 = 1_600;

/// Pseudo-random numbers from 0 to 1 (SplitMix64).
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Largest permitted number of requests where the settings allow `allowed`, with a tolerance of 2 or 3 standard
/// deviations.
fn allowed_with_tolerance(allowed: f64) -> f64 {
    let deviations = if allowed < 30.0 { 3.0 } else { 2.0 };
    allowed + deviations * allowed.sqrt() + deviations
}

struct Workload {
    routers: usize,
    /// Requests that a warm server can serve within the overload duration.
    warm_capacity: f64,
    /// Fraction of all requests that go to the first router; the others share the rest evenly.
    first_router_fraction: f64,
    /// Offered load as a fraction of what fully used servers could serve: until three seconds after the start, and from
    /// then on.
    load: [f64; 2],
}

fn finish_ok(harness: &mut Harness, id: RequestId, server: u32, elapsed: Duration) {
    harness.finish_request(id, server, Outcome::Ok, elapsed);
}

/// Index of the router that gets the next request.
fn random_router(workload: &Workload, random: &mut Random) -> usize {
    let others = 1 + (random.next() * (workload.routers - 1) as f64) as usize;
    if random.next() < workload.first_router_fraction {
        0
    } else {
        others
    }
}

/// Largest ratio of load to the permitted load over eight seconds after the start of the only server that is left of
/// five. Before that, all five were warm for twenty seconds.
fn max_load_ratio(workload: &Workload, seed: u64) -> f64 {
    let fleet_settings = Settings {
        router_count: workload.routers as u32,
        ..settings()
    };
    let mut routers: Vec<Harness> = (0..workload.routers)
        .map(|index| Harness::with_seed(fleet_settings.clone(), STARTING_SERVER, index as u64))
        .collect();
    for harness in &mut routers {
        (1..=STARTING_SERVER)
            .for_each(|server| _ = harness.report(server, server == 1, Duration::ZERO));
    }
    let started = routers[0].now.plus(STEP * STEPS_BEFORE_START);
    let mut random = Random(seed << 32);
    let mut recent: VecDeque<Time> = VecDeque::new();
    let mut max_ratio: f64 = 0.0;
    for step in 1..=STEPS_BEFORE_START + STEPS_AFTER_START {
        let now = START.plus(STEP * step);
        if now == started {
            routers
                .iter_mut()
                .for_each(|harness| start_last_server(harness, started));
        }
        let age = now.since(started).as_secs_f64();
        let load = if age < 3.0 {
            workload.load[0]
        } else {
            workload.load[1]
        };
        let mut expected_arrivals =
            load * workload.warm_capacity * f64::from(STARTING_SERVER) * STEP.as_secs_f64();
        while random.next() < expected_arrivals {
            expected_arrivals -= 1.0;
            let harness = &mut routers[random_router(workload, &mut random)];
            harness.now = now;
            let (id, actions) = harness.request(EVENTUAL);
            let Some(&server) = sent_servers(&actions).first() else {
                harness.event(Event::ClientLeft(id));
                continue;
            };
            if now < started {
                finish_ok(harness, id, server, 50 * MS);
                continue;
            }
            recent.push_back(now);
            while recent
                .front()
                .is_some_and(|&at| now.since(at) >= fleet_settings.overload_duration)
            {
                recent.pop_front();
            }
            let capacity = fleet_settings.initial_capacity_fraction
                + (1.0 - fleet_settings.initial_capacity_fraction) * age
                    / fleet_settings.warm_up_duration.as_secs_f64();
            let allowed = fleet_settings.overload_factor * capacity * workload.warm_capacity;
            max_ratio = max_ratio.max(recent.len() as f64 / allowed_with_tolerance(allowed));
            // Latency grows with the inverse of the server's capacity, and with the load beyond it.
            let overload = (recent.len() as f64 / (capacity * workload.warm_capacity)).max(1.0);
            finish_ok(harness, id, server, (50 * MS).mul_f64(overload / capacity));
        }
    }
    max_ratio
}

fn start_last_server(harness: &mut Harness, started: Time) {
    harness.now = started;
    harness.update_endpoints(
        (1..STARTING_SERVER)
            .map(|server| endpoint(server, EndpointState::Removed))
            .collect(),
    );
    harness.update_endpoints(vec![Endpoint {
        started,
        ..endpoint(STARTING_SERVER, EndpointState::Ready)
    }]);
    harness.report(STARTING_SERVER, false, Duration::ZERO);
}

/// For each number of routers, the largest load ratio over some seeds.
fn max_load_ratios(
    warm_capacity: f64,
    first_router_fraction: Option<f64>,
    load: [f64; 2],
) -> Vec<(usize, f64)> {
    let fleet = |routers: usize| {
        let workload = Workload {
            routers,
            warm_capacity,
            first_router_fraction: first_router_fraction.unwrap_or(1.0 / routers as f64),
            load,
        };
        (
            routers,
            (1..=5)
                .map(|seed| max_load_ratio(&workload, seed))
                .fold(0.0, f64::max),
        )
    };
    [3, 8, 30, 300].into_iter().map(fleet).collect()
}

fn assert_within_bound(ratios: &[(usize, f64)]) {
    assert!(
        ratios.iter().all(|&(_, ratio)| ratio > 0.1 && ratio <= 1.0),
        "load ratios by number of routers: {ratios:?}"
    );
}

#[test]
fn a_burst_after_low_load_does_not_overload_a_starting_server() {
    assert_within_bound(&max_load_ratios(100.0, None, [0.3, 0.69]));
}

#[test]
fn load_above_capacity_does_not_overload_a_starting_server() {
    assert_within_bound(&max_load_ratios(100.0, None, [1.0, 1.2]));
}

#[test]
fn a_starting_server_with_low_capacity_is_not_overloaded_by_many_routers() {
    assert_within_bound(&max_load_ratios(6.0, None, [0.6, 1.0]));
}

#[test]
fn one_router_with_nine_tenths_of_the_requests_does_not_overload_a_starting_server() {
    assert_within_bound(&max_load_ratios(100.0, Some(0.9), [0.3, 0.69]));
}

#[test]
fn of_many_routers_with_one_request_each_an_even_fraction_goes_to_a_starting_server() {
    // Independent draws of the routers would give 90 of 900, plus or minus ten.
    for seed in 0..6 {
        let routers = 150 * seed..150 * seed + 900;
        let sent: usize = routers
            .map(|router_index| {
                let mut harness = Harness::in_fleet(900, STARTING_SERVER + 1, router_index);
                harness.update_endpoints(
                    (1..=STARTING_SERVER)
                        .map(|server| endpoint(server, EndpointState::Removed))
                        .collect(),
                );
                harness.update_endpoints(vec![Endpoint {
                    started: harness.now,
                    ..endpoint(STARTING_SERVER + 1, EndpointState::Ready)
                }]);
                harness.report(STARTING_SERVER + 1, false, Duration::ZERO);
                sent_servers(&harness.request(EVENTUAL).1).len()
            })
            .sum();
        assert!(
            (87..=93).contains(&sent),
            "from router {}: {sent} of 900, a tenth is expected",
            150 * seed
        );
    }
}

#[test]
fn a_queued_request_has_no_second_turn_at_a_starting_server() {
    // One turn for each request gives 30 in 100; one in each slice of the wait gives nearly twice as many.
    let routers = 900;
    let sent = (0..routers)
        .filter(|&router_index| {
            let mut harness = Harness::in_fleet(routers as u32, 2, router_index);
            // The router rarely gets a request, and its estimate of the work is below the objective.
            for _ in 0..20 {
                harness.advance(5_000 * MS);
                (1..=2).for_each(|server| _ = harness.report(server, server == 1, Duration::ZERO));
                let (id, actions) = harness.request(EVENTUAL);
                sent_servers(&actions)
                    .iter()
                    .for_each(|&server| finish_ok(&mut harness, id, server, 10 * MS));
            }
            harness.advance(5_000 * MS);
            harness.update_endpoints(vec![Endpoint {
                started: harness.now,
                ..endpoint(2, EndpointState::Ready)
            }]);
            harness.report(1, true, Duration::ZERO);
            harness.report(2, false, Duration::ZERO);
            harness.advance(400 * MS);
            // The other server has no capacity for a second request.
            assert_eq!(sent_servers(&harness.request(WRITE).1), [1]);
            let (_, mut actions) = harness.request(EVENTUAL);
            actions.extend(harness.run_for(200));
            sent_servers(&actions).contains(&2)
        })
        .count();
    let fraction = 0.8 * 3.0 * (0.25 + 0.75 * 0.04) / 2.0;
    let expected = fraction * routers as f64;
    assert!(
        (0.8 * expected..1.2 * expected).contains(&(sent as f64)),
        "{sent} sent, {expected} expected"
    );
}
