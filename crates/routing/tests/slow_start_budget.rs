//! What many routers that do not talk send one starting server together, on virtual time.

mod common;

use common::*;
use routing::*;
use std::collections::VecDeque;
use std::time::Duration;

const STARTING_SERVER: u32 = 5;
const STEP: Duration = Duration::from_millis(5);
const WARM_STEPS: u32 = 4_000;
const COLD_STEPS: u32 = 1_600;

/// A router_index from 0 to 1 that looks random: SplitMix64.
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// What the operators let a starting server bear where the settings allow it `allowed` requests.
fn allowed_with_tolerance(allowed: f64) -> f64 {
    let deviations = if allowed < 30.0 { 3.0 } else { 2.0 };
    allowed + deviations * allowed.sqrt() + deviations
}

struct Workload {
    routers: usize,
    /// Requests that a warm_capacity server does in the time that a collapse takes.
    warm_capacity: f64,
    /// Of all requests, those that come to the first router; the others share the rest evenly.
    first_router_fraction: f64,
    /// Of what fully used servers would get, what comes, and from three seconds after the start.
    load: [f64; 2],
}

fn finish_ok(harness: &mut Harness, id: RequestId, server: u32, elapsed: Duration) {
    harness.finish_request(id, server, Outcome::Ok, elapsed);
}

/// Which router the next request comes to.
fn random_router(workload: &Workload, random: &mut Random) -> usize {
    let others = 1 + (random.next() * (workload.routers - 1) as f64) as usize;
    if random.next() < workload.first_router_fraction {
        0
    } else {
        others
    }
}

/// The greatest ratio to the line over eight seconds after the start of the only server that is left of five, which all
/// five were warm_capacity for twenty seconds before.
fn max_load_ratio(workload: &Workload, seed: u64) -> f64 {
    let settings_of_fleet = Settings {
        router_count: workload.routers as u32,
        ..settings()
    };
    let mut routers: Vec<Harness> = (0..workload.routers)
        .map(|index| Harness::with_seed(settings_of_fleet.clone(), STARTING_SERVER, index as u64))
        .collect();
    for harness in &mut routers {
        (1..=STARTING_SERVER)
            .for_each(|server| _ = harness.report(server, server == 1, Duration::ZERO));
    }
    let started = routers[0].now.plus(STEP * WARM_STEPS);
    let mut random = Random(seed << 32);
    let mut recent: VecDeque<Time> = VecDeque::new();
    let mut max_ratio: f64 = 0.0;
    for step in 1..=WARM_STEPS + COLD_STEPS {
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
                .is_some_and(|&at| now.since(at) >= settings_of_fleet.overload_duration)
            {
                recent.pop_front();
            }
            let capacity = settings_of_fleet.initial_capacity_fraction
                + (1.0 - settings_of_fleet.initial_capacity_fraction) * age
                    / settings_of_fleet.warm_up_duration.as_secs_f64();
            let allowed = settings_of_fleet.overload_factor * capacity * workload.warm_capacity;
            max_ratio = max_ratio.max(recent.len() as f64 / allowed_with_tolerance(allowed));
            // Answers take as much longer as the server is colder, and as more than it can do has come.
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

/// By router_index of routers, the greatest ratio over some seeds.
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
        "by routers: {ratios:?}"
    );
}

#[test]
fn a_burst_after_calm_keeps_a_starting_store_within_what_it_bears() {
    assert_within_bound(&max_load_ratios(100.0, None, [0.3, 0.69]));
}

#[test]
fn more_than_full_use_keeps_a_starting_store_within_what_it_bears() {
    assert_within_bound(&max_load_ratios(100.0, None, [1.0, 1.2]));
}

#[test]
fn a_starting_store_that_bears_a_few_requests_gets_no_more_from_many_routers() {
    assert_within_bound(&max_load_ratios(6.0, None, [0.6, 1.0]));
}

#[test]
fn one_router_with_nine_tenths_of_the_requests_keeps_a_starting_store_within_what_it_bears() {
    assert_within_bound(&max_load_ratios(100.0, Some(0.9), [0.3, 0.69]));
}

#[test]
fn of_many_routers_with_one_request_each_an_even_part_goes_to_a_starting_store() {
    // A draw by each router for itself gives 90 of 900 give or take ten.
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
            "from router {}: {sent} of 900, where a tenth is even",
            150 * seed
        );
    }
}

#[test]
fn a_request_that_waits_has_no_second_turn_at_a_starting_store() {
    // One turn each gives 30 in 100, one in each slice of the wait nearly twice as many.
    let routers = 900;
    let sent = (0..routers)
        .filter(|&router_index| {
            let mut harness = Harness::in_fleet(routers as u32, 2, router_index);
            // It rarely gets a request, and knows that they take less than their objective.
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
            // The other server has no capacity for a second one.
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
        "{sent}, where {expected} have a turn"
    );
}
