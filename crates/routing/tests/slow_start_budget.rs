//! What many routers that do not talk send one starting server together, on virtual time.

mod common;

use common::*;
use routing::*;
use std::collections::VecDeque;
use std::time::Duration;

const STARTING: u32 = 5;
const STEP: Duration = Duration::from_millis(5);
const WARM_STEPS: u32 = 4_000;
const COLD_STEPS: u32 = 1_600;

/// A number from 0 to 1 that looks random: SplitMix64.
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
fn line(allowed: f64) -> f64 {
    let chance = if allowed < 30.0 { 3.0 } else { 2.0 };
    allowed + chance * allowed.sqrt() + chance
}

struct Day {
    routers: usize,
    /// Requests that a warm server does in the time that a collapse takes.
    warm: f64,
    /// Of all requests, those that come to the first router; the others share the rest evenly.
    first_router: f64,
    /// Of what fully used servers would get, what comes, and from three seconds after the start.
    load: [f64; 2],
}

fn answer(bench: &mut Bench, id: RequestId, server: u32, elapsed: Duration) {
    bench.finish(id, server, Outcome::Ok, elapsed);
}

/// Which router the next request comes to.
fn drawn_router(day: &Day, random: &mut Random) -> usize {
    let others = 1 + (random.next() * (day.routers - 1) as f64) as usize;
    if random.next() < day.first_router {
        0
    } else {
        others
    }
}

/// The greatest ratio to the line over eight seconds after the start of the only server that is left of five, which all
/// five were warm for twenty seconds before.
fn nearest(day: &Day, seed: u64) -> f64 {
    let set = Settings {
        router_count: day.routers as u32,
        ..settings()
    };
    let mut routers: Vec<Bench> = (0..day.routers)
        .map(|number| Bench::seeded(set.clone(), STARTING, number as u64))
        .collect();
    for bench in &mut routers {
        (1..=STARTING).for_each(|server| _ = bench.report(server, server == 1, Duration::ZERO));
    }
    let started = routers[0].now.plus(STEP * WARM_STEPS);
    let mut random = Random(seed << 32);
    let mut came: VecDeque<Time> = VecDeque::new();
    let mut most: f64 = 0.0;
    for step in 1..=WARM_STEPS + COLD_STEPS {
        let now = BEGIN.plus(STEP * step);
        if now == started {
            routers
                .iter_mut()
                .for_each(|bench| one_starts(bench, started));
        }
        let age = now.since(started).as_secs_f64();
        let load = if age < 3.0 { day.load[0] } else { day.load[1] };
        let mut wanted = load * day.warm * f64::from(STARTING) * STEP.as_secs_f64();
        while random.next() < wanted {
            wanted -= 1.0;
            let bench = &mut routers[drawn_router(day, &mut random)];
            bench.now = now;
            let (id, actions) = bench.request(EVENTUAL);
            let Some(&server) = sends(&actions).first() else {
                bench.event(Event::ClientLeft(id));
                continue;
            };
            if now < started {
                answer(bench, id, server, 50 * MS);
                continue;
            }
            came.push_back(now);
            while came
                .front()
                .is_some_and(|&at| now.since(at) >= set.overload_duration)
            {
                came.pop_front();
            }
            let capacity = set.initial_capacity_fraction
                + (1.0 - set.initial_capacity_fraction) * age / set.warm_up_duration.as_secs_f64();
            let allowed = set.overload_factor * capacity * day.warm;
            most = most.max(came.len() as f64 / line(allowed));
            // Answers take as much longer as the server is colder, and as more than it can do has come.
            let crowded = (came.len() as f64 / (capacity * day.warm)).max(1.0);
            answer(bench, id, server, (50 * MS).mul_f64(crowded / capacity));
        }
    }
    most
}

fn one_starts(bench: &mut Bench, started: Time) {
    bench.now = started;
    bench.list(
        (1..STARTING)
            .map(|server| endpoint(server, EndpointState::Removed))
            .collect(),
    );
    bench.list(vec![Endpoint {
        started,
        ..endpoint(STARTING, EndpointState::Ready)
    }]);
    bench.report(STARTING, false, Duration::ZERO);
}

/// By number of routers, the greatest ratio over some seeds.
fn nearest_of_fleets(warm: f64, first_router: Option<f64>, load: [f64; 2]) -> Vec<(usize, f64)> {
    let fleet = |routers: usize| {
        let day = Day {
            routers,
            warm,
            first_router: first_router.unwrap_or(1.0 / routers as f64),
            load,
        };
        (
            routers,
            (1..=5).map(|seed| nearest(&day, seed)).fold(0.0, f64::max),
        )
    };
    [3, 8, 30, 300].into_iter().map(fleet).collect()
}

fn assert_within_the_line(nearest: &[(usize, f64)]) {
    assert!(
        nearest
            .iter()
            .all(|&(_, ratio)| ratio > 0.1 && ratio <= 1.0),
        "by routers: {nearest:?}"
    );
}

#[test]
fn a_burst_after_calm_keeps_a_starting_store_within_what_it_bears() {
    assert_within_the_line(&nearest_of_fleets(100.0, None, [0.3, 0.69]));
}

#[test]
fn more_than_full_use_keeps_a_starting_store_within_what_it_bears() {
    assert_within_the_line(&nearest_of_fleets(100.0, None, [1.0, 1.2]));
}

#[test]
fn a_starting_store_that_bears_a_few_requests_gets_no_more_from_many_routers() {
    assert_within_the_line(&nearest_of_fleets(6.0, None, [0.6, 1.0]));
}

#[test]
fn one_router_with_nine_tenths_of_the_requests_keeps_a_starting_store_within_what_it_bears() {
    assert_within_the_line(&nearest_of_fleets(100.0, Some(0.9), [0.3, 0.69]));
}

#[test]
fn of_many_routers_with_one_request_each_an_even_part_goes_to_a_starting_store() {
    // A draw by each router for itself gives 90 of 900 give or take ten.
    for seed in 0..6 {
        let routers = 150 * seed..150 * seed + 900;
        let sent: usize = routers
            .map(|number| {
                let mut bench = Bench::of_fleet(900, STARTING + 1, number);
                bench.list(
                    (1..=STARTING)
                        .map(|server| endpoint(server, EndpointState::Removed))
                        .collect(),
                );
                bench.list(vec![Endpoint {
                    started: bench.now,
                    ..endpoint(STARTING + 1, EndpointState::Ready)
                }]);
                bench.report(STARTING + 1, false, Duration::ZERO);
                sends(&bench.request(EVENTUAL).1).len()
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
        .filter(|&number| {
            let mut bench = Bench::of_fleet(routers as u32, 2, number);
            // It rarely gets a request, and knows that they take less than their objective.
            for _ in 0..20 {
                bench.wait(5_000 * MS);
                (1..=2).for_each(|server| _ = bench.report(server, server == 1, Duration::ZERO));
                let (id, actions) = bench.request(EVENTUAL);
                sends(&actions)
                    .iter()
                    .for_each(|&server| answer(&mut bench, id, server, 10 * MS));
            }
            bench.wait(5_000 * MS);
            bench.list(vec![Endpoint {
                started: bench.now,
                ..endpoint(2, EndpointState::Ready)
            }]);
            bench.report(1, true, Duration::ZERO);
            bench.report(2, false, Duration::ZERO);
            bench.wait(400 * MS);
            // The other server has no capacity for a second one.
            assert_eq!(sends(&bench.request(WRITE).1), [1]);
            let (_, mut actions) = bench.request(EVENTUAL);
            actions.extend(bench.pass(200));
            sends(&actions).contains(&2)
        })
        .count();
    let part = 0.8 * 3.0 * (0.25 + 0.75 * 0.04) / 2.0;
    let turns = part * routers as f64;
    assert!(
        (0.8 * turns..1.2 * turns).contains(&(sent as f64)),
        "{sent}, where {turns} have a turn"
    );
}
