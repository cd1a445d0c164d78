//! Checks the server against closed forms of queueing theory, and its overload and cold-start behaviour.

use rand::Rng;
use rand_distr::{Distribution, Exp};
use server_model::law::{Law, Work};
use server_model::server::{Action, Event, Server, Settings};
use server_model::Micros;
use simulation_engine::streams::Streams;
use simulation_engine::wheel::Wheel;
use std::collections::HashMap;

enum Step {
    Arrive(u64, Micros),
    Wake(u64),
    Other(Event),
}

/// Sends requests at random times to a server and returns the mean sojourn time and its standard error over batches.
fn mean_sojourn_time(
    set: Settings,
    work: Work,
    per_s: f64,
    requests: u64,
    seed: u64,
) -> (f64, f64) {
    let streams = Streams::new(seed);
    let (mut arrivals, mut works) = (streams.stream("arrivals", 0), streams.stream("work", 0));
    let gaps = Exp::new(per_s / 1e6).unwrap();
    let mut wheel = Wheel::default();
    let mut server = Server::new(set);
    let (mut arrived_at, mut times) = (HashMap::new(), Vec::new());
    let mut next = 0.0;
    wheel.put(0, Step::Arrive(0, work.draw(0, &mut works)));
    while let Some((now, step)) = wheel.take() {
        let event = match step {
            Step::Arrive(id, cost) => {
                arrived_at.insert(id, now);
                if id + 1 < requests {
                    next += gaps.sample(&mut arrivals);
                    wheel.put(
                        next as Micros,
                        Step::Arrive(id + 1, work.draw(id, &mut works)),
                    );
                }
                Event::Arrive { id, work: cost }
            }
            Step::Wake(number) => Event::Wake { number },
            Step::Other(event) => event,
        };
        let mut actions = Vec::new();
        server.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Done(id) => times.push((now - arrived_at.remove(&id).unwrap()) as f64),
                Action::WakeAt(at, number) => wheel.put(at, Step::Wake(number)),
                other => panic!("{other:?}"),
            }
        }
    }
    assert_eq!(times.len() as u64, requests, "every request is completed");
    // The batches are long enough to be nearly independent; the first one is skipped, as it is not in steady state.
    let batch = times.len() / 40;
    let means: Vec<f64> = times
        .chunks_exact(batch)
        .skip(1)
        .map(|c| c.iter().sum::<f64>() / batch as f64)
        .collect();
    let mean = means.iter().sum::<f64>() / means.len() as f64;
    let spread = means.iter().map(|m| (m - mean).powi(2)).sum::<f64>() / (means.len() - 1) as f64;
    (mean, (spread / means.len() as f64).sqrt())
}

fn uncrowded_settings(cores: usize, slots: usize) -> Settings {
    Settings {
        cores: cores as f64,
        slots,
        room: usize::MAX,
        crowding: 0.0,
        ..Settings::default()
    }
}

/// Asserts that the mean is within four standard errors, and that those are small enough to be conclusive.
fn assert_agrees((mean, error): (f64, f64), expected: f64, what: &str) {
    assert!(
        error < 0.04 * expected,
        "{what}: {mean} +- {error} is too imprecise to compare with {expected}"
    );
    assert!(
        (mean - expected).abs() < 4.0 * error + 2.0,
        "{what}: {mean} +- {error}, expected {expected}"
    );
}

const MEAN_WORK: f64 = 10_000.0;

#[test]
fn one_core_in_order_is_m_m_1() {
    let found = mean_sojourn_time(
        uncrowded_settings(1, 1),
        Work::new(Law::Exponential, MEAN_WORK),
        70.0,
        400_000,
        1,
    );
    assert_agrees(found, MEAN_WORK / (1.0 - 0.7), "M/M/1");
}

#[test]
fn one_core_shared_is_m_m_1_too_whatever_the_law() {
    // With processor sharing, the mean sojourn time depends only on the mean of the work.
    for (law, seed) in [
        (Law::Exponential, 2),
        (Law::Fixed, 3),
        (Law::LogNormal { variation: 1.5 }, 4),
    ] {
        let found = mean_sojourn_time(
            uncrowded_settings(1, 1_000_000),
            Work::new(law, MEAN_WORK),
            60.0,
            400_000,
            seed,
        );
        assert_agrees(found, MEAN_WORK / (1.0 - 0.6), "M/G/1-PS");
    }
}

#[test]
fn fixed_work_in_order_is_m_d_1() {
    let found = mean_sojourn_time(
        uncrowded_settings(1, 1),
        Work::new(Law::Fixed, MEAN_WORK),
        70.0,
        400_000,
        5,
    );
    assert_agrees(
        found,
        MEAN_WORK * (1.0 + 0.7 / (2.0 * (1.0 - 0.7))),
        "M/D/1",
    );
}

#[test]
fn several_cores_in_order_are_m_m_c() {
    let (cores, load) = (4_usize, 0.75);
    let offered = cores as f64 * load;
    // Erlang C formula.
    let term = |n: usize| (1..=n).fold(1.0, |t, k| t * offered / k as f64);
    let last = term(cores) / (1.0 - load);
    let waits = last / ((0..cores).map(term).sum::<f64>() + last);
    let expected = MEAN_WORK + waits * MEAN_WORK / (cores as f64 * (1.0 - load));
    let found = mean_sojourn_time(
        uncrowded_settings(cores, cores),
        Work::new(Law::Exponential, MEAN_WORK),
        1e6 / MEAN_WORK * offered,
        400_000,
        6,
    );
    assert_agrees(found, expected, "M/M/4");
}

/// Applies scripted events to a server and returns its actions with their times.
fn run_events(set: Settings, steps: Vec<(Micros, Event)>) -> Vec<(Micros, Action)> {
    let mut wheel = Wheel::default();
    let mut server = Server::new(set);
    for (at, event) in steps {
        wheel.put(at, Step::Other(event));
    }
    let mut out = Vec::new();
    while let Some((now, step)) = wheel.take() {
        let event = match step {
            Step::Other(event) => event,
            Step::Wake(number) => Event::Wake { number },
            Step::Arrive(id, work) => Event::Arrive { id, work },
        };
        let mut actions = Vec::new();
        server.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::WakeAt(at, number) => wheel.put(at, Step::Wake(number)),
                other => out.push((now, other)),
            }
        }
    }
    out
}

fn arrive(id: u64, work: Micros) -> Event {
    Event::Arrive { id, work }
}

#[test]
fn cores_are_shared_evenly() {
    // Two requests on one core: each gets half of it until the first completes.
    let out = run_events(
        uncrowded_settings(1, 4),
        vec![(0, arrive(1, 1_000)), (0, arrive(2, 3_000))],
    );
    assert_eq!(out, [(2_000, Action::Done(1)), (4_000, Action::Done(2))]);
    let crowded = Settings {
        crowding: 0.5,
        ..uncrowded_settings(1, 2)
    };
    let out = run_events(crowded, vec![(0, arrive(1, 1_000)), (0, arrive(2, 1_000))]);
    assert_eq!(
        out,
        [(4_000, Action::Done(1)), (4_000, Action::Done(2))],
        "half of the efficiency is lost to crowding"
    );
}

#[test]
fn requests_beyond_the_queue_limit_are_rejected() {
    let set = Settings {
        room: 1,
        ..uncrowded_settings(1, 1)
    };
    let out = run_events(
        set,
        vec![
            (0, arrive(1, 500)),
            (0, arrive(2, 500)),
            (0, arrive(3, 500)),
        ],
    );
    assert_eq!(
        out,
        [
            (0, Action::Full(3)),
            (500, Action::Done(1)),
            (1_000, Action::Done(2))
        ]
    );
    let none = Settings {
        slots: 0,
        room: 0,
        ..uncrowded_settings(1, 1)
    };
    assert_eq!(
        run_events(none, vec![(0, arrive(1, 500))]),
        [(0, Action::Full(1))]
    );
}

#[test]
fn dead_servers_lose_their_requests_and_hung_servers_do_not_respond() {
    let out = run_events(
        uncrowded_settings(1, 1),
        vec![
            (0, arrive(1, 500)),
            (0, arrive(2, 500)),
            (100, Event::Die),
            (200, arrive(3, 1)),
        ],
    );
    assert_eq!(
        out,
        [
            (100, Action::Lost(1)),
            (100, Action::Lost(2)),
            (200, Action::Lost(3))
        ]
    );
    let out = run_events(
        uncrowded_settings(1, 1),
        vec![
            (0, arrive(1, 500)),
            (10, Event::Hang(true)),
            (600, Event::Hang(false)),
            (700, arrive(2, 50)),
        ],
    );
    assert_eq!(out, [(500, Action::Unanswered(1)), (750, Action::Done(2))]);
    let out = run_events(
        uncrowded_settings(1, 1),
        vec![(0, arrive(1, 500)), (100, Event::Slow(2.0))],
    );
    assert_eq!(
        out,
        [(900, Action::Done(1))],
        "the remaining work takes twice as long"
    );
}

#[test]
fn a_cold_server_warms_up_and_collapses_when_it_is_overrun() {
    let set = Settings {
        cold: 0.25,
        warm_after: 1_000_000,
        tip: 2.0,
        tip_after: 100_000,
        ..uncrowded_settings(1, 64)
    };
    // The capacity starts at a quarter and grows, so the run time is between one and four times the work.
    let out = run_events(set, vec![(0, Event::Start), (1, arrive(1, 10_000))]);
    assert!(
        matches!(out[..], [(at, Action::Done(1))] if (30_000..41_000).contains(&at)),
        "{out:?}"
    );
    let flood = |gap: Micros| -> Vec<(Micros, Action)> {
        let mut steps = vec![(0, Event::Start)];
        steps.extend((0..100).map(|n| (1_000 + n * gap, arrive(n, 1_500))));
        run_events(set, steps)
    };
    assert!(
        flood(2_000)
            .iter()
            .any(|(_, action)| *action == Action::Collapsed),
        "three times its capacity"
    );
    assert!(flood(5_000)
        .iter()
        .all(|(_, action)| *action != Action::Collapsed));
}

#[test]
fn laws_have_their_means_and_keys_their_own() {
    let mut stream = Streams::new(9).stream("work", 0);
    for law in [
        Law::Fixed,
        Law::Exponential,
        Law::LogNormal { variation: 2.0 },
        Law::Pareto { shape: 3.0 },
    ] {
        let work = Work {
            law,
            mean: MEAN_WORK,
            by_key: 0.5,
        };
        let mean = (0..400_000)
            .map(|_| work.draw(stream.random(), &mut stream) as f64)
            .sum::<f64>()
            / 4e5;
        assert!((mean / MEAN_WORK - 1.0).abs() < 0.03, "{law:?}: {mean}");
    }
    let fixed = Work {
        law: Law::Fixed,
        mean: MEAN_WORK,
        by_key: 0.5,
    };
    assert_eq!(fixed.draw(7, &mut stream), fixed.draw(7, &mut stream));
}

/// A sender that checks `has_capacity_for` before each request never overruns a cold server and still uses its budget.
#[test]
fn a_cold_server_does_not_collapse_if_its_capacity_is_checked_first() {
    let set = Settings {
        cold: 0.25,
        warm_after: 1_000_000,
        tip: 2.0,
        tip_after: 100_000,
        ..uncrowded_settings(4, 64)
    };
    let run = |spare: f64, check_capacity: bool| {
        let mut server = Server::new(set);
        let mut actions = Vec::new();
        server.handle(0, Event::Start, &mut actions);
        let mut sent = 0.0;
        for (id, now) in (0_u64..).zip((0..900_000).step_by(1_000)) {
            let work = 1_000 + (id * 7_919) % 9_000;
            if !check_capacity || server.has_capacity_for(now, work as f64, spare) {
                sent += work as f64;
                server.handle(now, Event::Arrive { id, work }, &mut actions);
            }
        }
        (sent, actions.contains(&Action::Collapsed))
    };
    assert!(
        run(0.0, false).1,
        "without the capacity check the server collapses"
    );
    let ((all, fell), (less, fell_too)) = (run(0.0, true), run(0.3, true));
    assert!(!fell && !fell_too);
    assert!(less < 0.8 * all && less > 0.6 * all, "{less} of {all}");
}
