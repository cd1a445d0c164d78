//! Simulation of a fleet in virtual time: requests fail and facts are lost at random, and rollouts of good and bad versions
//! must end as expected.
//!
//! To print the figures: `cargo test -p rollout --release --test simulation -- --ignored --nocapture`.

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use rollout::{
    Action, ClassCounts, Config, Core, Event, EvidenceLimits, HaltReason, Observation, Peer,
    PeerFact, Phase,
};
use std::collections::BTreeMap;
use std::time::Duration;

const OLD: [u8; 32] = [0; 32];
const NEW: [u8; 32] = [1; 32];
const FLEET: [(&str, &str); 6] = [
    ("a", "east"),
    ("b", "east"),
    ("c", "east"),
    ("d", "west"),
    ("e", "west"),
    ("f", "west"),
];

#[derive(Clone, Copy)]
struct Scenario {
    /// Requests per second of each proxy: 3/4 in the larger class and 1/4 in the smaller class.
    requests: u64,
    /// Base loss rate, from 0 to 1.
    loss: f64,
    /// Weight of a request of the larger class. A request of the smaller class has weight 1.
    weight: f64,
    /// Additional loss rate of the new version in both classes.
    harm: f64,
    /// Additional loss rate of the new version in the smaller class.
    class_harm: f64,
    /// Additional loss rate of the second region under both versions.
    west_loss: f64,
    /// Behaviour of the canary; the fault begins at second 30, or when the canary runs the new version.
    canary: Canary,
    /// Probability that a proxy misses a fact in one second.
    facts_lost: f64,
    /// Seconds from the request to run the new version until it serves requests.
    apply_delay: u64,
    /// Duration of the simulation.
    seconds: u64,
}

const DEFAULT: Scenario = Scenario {
    requests: 40,
    loss: 0.02,
    weight: 1.0,
    harm: 0.0,
    class_harm: 0.0,
    west_loss: 0.0,
    canary: Canary::Healthy,
    facts_lost: 0.05,
    apply_delay: 0,
    seconds: 3_000,
};

#[derive(Clone, Copy, PartialEq)]
enum Canary {
    Healthy,
    /// The new version crashes the canary before another proxy receives the vote that reports it; the canary restarts.
    Crashes,
    /// The canary restarts every 10 seconds, alternately by an announced termination and by a hot restart.
    Restarts,
    /// The regions cannot reach each other for two minutes, but their facts are still delivered.
    Partitioned,
    /// The other proxies cannot reach the canary.
    Unreachable,
}

#[derive(Debug, PartialEq)]
struct Outcome {
    phase: Phase,
    seconds: u64,
    /// Number of proxies that ran the new version at any time.
    exposed: usize,
    /// Whether a proxy of the second region ran the new version at any time.
    reached_west: bool,
}

fn limits() -> EvidenceLimits {
    EvidenceLimits {
        min_harm: 0.05,
        error_probability: 0.01,
        soak_time: Duration::from_secs(30),
        min_window_demand: 20,
        min_stage_demand: 500,
        max_age: Duration::from_secs(10),
    }
}

fn simulate(scenario: Scenario, seed: u64) -> Outcome {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let core = |at: usize, start: u64, persisted: Option<Vec<u8>>| {
        let config = Config {
            name: FLEET[at].0.into(),
            incarnation: start,
            took_over: start % 20 == 10,
            base_version: OLD,
            evidence_limits: limits(),
            unreachable_timeout: Duration::from_secs(60),
            message_ttl: Duration::from_secs(10),
            persisted,
        };
        Core::new(config, Duration::from_secs(start - 1))
    };
    let mut cores: Vec<Core> = (0..FLEET.len()).map(|at| core(at, 1, None)).collect();
    let mut peers: Vec<Peer> = FLEET
        .iter()
        .map(|(name, region)| Peer {
            name: (*name).into(),
            region: (*region).into(),
            incarnation: Some(1),
            reachable: true,
            left: false,
        })
        .collect();
    type Facts = BTreeMap<(usize, u8), (u64, Vec<u8>)>;
    let mut published = Facts::new();
    let mut received = vec![Facts::new(); FLEET.len()];
    // A write reaches the disk after one second.
    let mut pending_writes: Vec<Option<Vec<u8>>> = vec![None; FLEET.len()];
    let mut persisted = pending_writes.clone();
    let (mut counts, mut running) = (
        vec![[ClassCounts::default(); 2]; FLEET.len()],
        [OLD; FLEET.len()],
    );
    // The second at which the requested new version is applied.
    let mut apply_at: [Option<u64>; FLEET.len()] = [None; FLEET.len()];
    let mut exposed = [false; FLEET.len()];
    for second in 1..=scenario.seconds {
        let now = Duration::from_secs(second);
        for at in 0..FLEET.len() {
            for (class, requests) in [(0, scenario.requests * 3 / 4), (1, scenario.requests / 4)] {
                let version_loss = if class == 1 {
                    scenario.harm + scenario.class_harm
                } else {
                    scenario.harm
                };
                let region_loss = if FLEET[at].1 == "west" {
                    scenario.west_loss
                } else {
                    0.0
                };
                let loss = scenario.loss
                    + region_loss
                    + if running[at] == NEW {
                        version_loss
                    } else {
                        0.0
                    };
                counts[at][class].class = class as u32 + 1;
                counts[at][class].offered += requests;
                counts[at][class].lost += (0..requests)
                    .filter(|_| rng.random_bool(loss.min(1.0)))
                    .count() as u64;
            }
        }
        for at in 0..FLEET.len() {
            for (key, body) in &published {
                if key.0 != at && !rng.random_bool(scenario.facts_lost) {
                    received[at].insert(*key, body.clone());
                }
            }
            let to_fact =
                |((from, kind), (start, body)): (&(usize, u8), &(u64, Vec<u8>))| PeerFact {
                    source: FLEET[*from].0.into(),
                    incarnation: *start,
                    kind: *kind,
                    body: body.clone(),
                };
            let weighted = |of: fn(&ClassCounts) -> u64| {
                (of(&counts[at][0]) as f64 * scenario.weight + of(&counts[at][1]) as f64) as u64
            };
            let total = ClassCounts {
                class: 0,
                offered: weighted(|c| c.offered),
                lost: weighted(|c| c.lost),
            };
            let observation = Observation {
                peers: peers.clone(),
                promotable_regions: ["east", "west"].map(String::from).into(),
                facts: received[at].iter().map(to_fact).collect(),
                class_counts: counts[at].to_vec(),
                total_counts: total,
            };
            let mut observation = observation;
            let canary = &mut observation.peers[0];
            match scenario.canary {
                Canary::Unreachable if second >= 30 => canary.reachable = at == 0,
                Canary::Partitioned if (30..150).contains(&second) => {
                    observation
                        .peers
                        .iter_mut()
                        .for_each(|peer| peer.reachable = peer.region == FLEET[at].1);
                }
                _ => {}
            }
            let mut actions = Vec::new();
            if let Some(bytes) = pending_writes[at].take() {
                persisted[at] = Some(bytes);
                cores[at].handle(now, Event::Persisted(true), &mut actions);
            }
            cores[at].handle(now, Event::Observe(observation), &mut actions);
            if apply_at[at].take_if(|due| *due <= second).is_some() {
                running[at] = NEW;
                exposed[at] = true;
                cores[at].handle(now, Event::VersionApplied(NEW), &mut actions);
            }
            if second == 5 && at == 0 {
                let order = vec!["east".into(), "west".into()];
                let event = Event::Propose {
                    hash: NEW,
                    order,
                    canary_size: 1,
                    resume: false,
                };
                cores[at].handle(now, event, &mut actions);
            }
            if at == 0 && scenario.canary == Canary::Restarts && second >= 30 && second % 20 == 19 {
                cores[0].handle(now, Event::Leave, &mut actions);
            }
            let process_ends = match scenario.canary {
                Canary::Crashes => at == 0 && actions.contains(&Action::RunVersion(NEW)),
                Canary::Restarts => at == 0 && second >= 30 && second % 10 == 0,
                _ => false,
            };
            let mut next = 0;
            while let Some(action) = actions.get(next).cloned() {
                next += 1;
                match action {
                    // The vote that reports that the canary runs the new version is lost.
                    Action::Publish(1, ..)
                        if scenario.canary == Canary::Crashes
                            && cores[at].machine().runs_new_here(&peers) => {}
                    Action::Publish(..) if process_ends => {}
                    Action::Publish(kind, body, _) => {
                        _ = published
                            .insert((at, kind), (peers[at].incarnation.unwrap_or(1), body));
                    }
                    Action::Persist(bytes) => pending_writes[at] = Some(bytes),
                    Action::CheckVersion(hash) => {
                        cores[at].handle(now, Event::VersionChecked(hash, Ok(())), &mut actions)
                    }
                    Action::RunVersion(NEW) if scenario.apply_delay > 0 => {
                        apply_at[at] = Some(second + scenario.apply_delay);
                    }
                    Action::RunVersion(hash) => {
                        running[at] = hash;
                        exposed[at] |= hash == NEW;
                        apply_at[at] = None;
                        cores[at].handle(now, Event::VersionApplied(hash), &mut actions);
                    }
                    _ => {}
                }
            }
            if process_ends {
                pending_writes[0] = None;
                (cores[0], running[0], peers[0].incarnation) =
                    (core(0, second, persisted[0].clone()), OLD, Some(second));
            }
        }
        let phases: Vec<Phase> = cores.iter().map(|c| c.status().phase).collect();
        let all_run_new = running == [NEW; FLEET.len()];
        let is_final =
            |p: &Phase| matches!(p, Phase::Halted(_)) || *p == Phase::Complete && all_run_new;
        if phases.iter().all(|p| is_final(p) && *p == phases[0]) || second == scenario.seconds {
            assert!(
                !matches!(phases[0], Phase::Halted(_)) || running == [OLD; FLEET.len()],
                "all proxies must run the previous version after a halt"
            );
            let exposed_of = |region| {
                FLEET
                    .iter()
                    .zip(exposed)
                    .filter(|(member, ran_new)| member.1 == region && *ran_new)
                    .count()
            };
            let (east, west) = (exposed_of("east"), exposed_of("west"));
            return Outcome {
                phase: phases[0],
                seconds: second,
                exposed: east + west,
                reached_west: west > 0,
            };
        }
    }
    unreachable!("the loop returns in the last second")
}

/// Simulates this number of seeds and prints a row of figures. Returns the number of rollouts that were halted, completed, and
/// halted in the first region, and the median duration in seconds.
fn simulate_and_print(title: &str, scenario: Scenario, seeds: u64) -> (usize, usize, usize, u64) {
    let outcomes: Vec<Outcome> = (0..seeds).map(|seed| simulate(scenario, seed)).collect();
    let halted = outcomes
        .iter()
        .filter(|outcome| matches!(outcome.phase, Phase::Halted(_)))
        .count();
    let completed = outcomes
        .iter()
        .filter(|outcome| outcome.phase == Phase::Complete)
        .count();
    let halted_in_first = outcomes
        .iter()
        .filter(|outcome| matches!(outcome.phase, Phase::Halted(_)) && !outcome.reached_west)
        .count();
    let mut seconds: Vec<u64> = outcomes.iter().map(|outcome| outcome.seconds).collect();
    seconds.sort_unstable();
    let median = seconds[seconds.len() / 2];
    let exposed = outcomes
        .iter()
        .map(|outcome| outcome.exposed)
        .sum::<usize>() as f64
        / outcomes.len() as f64;
    println!(
        "| {title} | {seeds} | {halted} | {halted_in_first} | {completed} | {median} | {} | {exposed:.1} |",
        seconds[seconds.len() * 9 / 10]
    );
    (halted, completed, halted_in_first, median)
}

/// A rollout of a good version must complete, and a rollout of a bad version must be halted in its first region. Random loss,
/// different loss rates of the regions, planned restarts and a partition must not halt a good version. A canary that crashes
/// or becomes unreachable must halt the rollout.
#[test]
fn a_good_version_completes_and_a_bad_one_is_halted() {
    let (halted, completed, ..) = simulate_and_print("A against A", DEFAULT, 40);
    assert!(halted <= 1 && completed >= 39);
    let (halted, ..) = simulate_and_print(
        "A against A, one region worse",
        Scenario {
            loss: 0.2,
            west_loss: -0.15,
            ..DEFAULT
        },
        20,
    );
    assert_eq!(
        halted, 0,
        "a difference between regions must not count as harm of the version"
    );
    let (_, _, halted_in_first, _) = simulate_and_print(
        "harm 0.05",
        Scenario {
            harm: 0.05,
            ..DEFAULT
        },
        20,
    );
    assert!(halted_in_first >= 18);
    let (_, _, halted_in_first, seconds) = simulate_and_print(
        "refuses a class",
        Scenario {
            class_harm: 1.0,
            ..DEFAULT
        },
        5,
    );
    assert!(halted_in_first == 5 && seconds < 60);
    for (canary, phase, exposed) in [
        (Canary::Crashes, Phase::Halted(HaltReason::Crash), 1),
        (
            Canary::Unreachable,
            Phase::Halted(HaltReason::Unreachable),
            1,
        ),
        (Canary::Restarts, Phase::Complete, FLEET.len()),
        (Canary::Partitioned, Phase::Complete, FLEET.len()),
    ] {
        let outcome = simulate(
            Scenario {
                requests: 5,
                canary,
                ..DEFAULT
            },
            1,
        );
        assert_eq!((outcome.phase, outcome.exposed), (phase, exposed));
    }
    let outcome = simulate(
        Scenario {
            requests: 0,
            seconds: 300,
            ..DEFAULT
        },
        1,
    );
    assert_eq!(
        (outcome.phase, outcome.exposed),
        (Phase::Canary, 1),
        "without traffic the rollout must wait in its canary stage"
    );
}

/// Guards against attributing requests to the new version before it has been applied: a stage could then be clean although the
/// new version had not served any request.
#[test]
fn a_version_that_is_applied_late_is_halted_in_its_first_region() {
    for seed in 0..20 {
        let scenario = Scenario {
            class_harm: 1.0,
            apply_delay: 20 + 5 * seed,
            ..DEFAULT
        };
        let outcome = simulate(scenario, seed);
        assert!(
            matches!(outcome.phase, Phase::Halted(_)) && !outcome.reached_west,
            "seed {seed}: {outcome:?}"
        );
    }
}

/// Random bytes as facts of one member, with known and unknown format versions: each fact is decoded or counted as malformed,
/// and none causes a version to run.
#[test]
fn random_facts_start_no_version() {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(7);
    let config = Config {
        name: "a".into(),
        incarnation: 1,
        took_over: false,
        base_version: OLD,
        evidence_limits: limits(),
        unreachable_timeout: Duration::from_secs(60),
        message_ttl: Duration::from_secs(10),
        persisted: Some(vec![1, 255, 255]),
    };
    let mut core = Core::new(config, Duration::ZERO);
    let mut actions = Vec::new();
    for second in 0..20_000 {
        let length = rng.random_range(0..120);
        let mut body: Vec<u8> = (0..length)
            .map(|_| rng.random::<u8>() >> rng.random_range(0..8))
            .collect();
        body.iter_mut().take(1).for_each(|format| *format %= 3);
        let fact = PeerFact {
            source: "b".into(),
            incarnation: 1,
            kind: rng.random_range(0..6),
            body,
        };
        let peer = |(name, region): &(&str, &str)| Peer {
            name: (*name).into(),
            region: (*region).into(),
            incarnation: Some(1),
            reachable: true,
            left: false,
        };
        let peers = FLEET.iter().map(peer).collect();
        let observation = Observation {
            peers,
            promotable_regions: ["east".to_owned()].into(),
            facts: vec![fact],
            ..Observation::default()
        };
        core.handle(
            Duration::from_secs(second),
            Event::Observe(observation),
            &mut actions,
        );
    }
    assert!(!actions
        .iter()
        .any(|action| matches!(action, Action::RunVersion(_))));
    assert!(core.status().malformed_facts > 10_000);
}

#[test]
#[ignore = "takes minutes; prints the figures for the results"]
fn figures() {
    println!("| case | seeds | halted | in the first region | whole | median s | 90% s | proxies exposed |");
    simulate_and_print("A against A", DEFAULT, 400);
    simulate_and_print(
        "A against A, loss 0.2",
        Scenario {
            loss: 0.2,
            ..DEFAULT
        },
        400,
    );
    simulate_and_print(
        "A against A, 8 a second",
        Scenario {
            requests: 8,
            ..DEFAULT
        },
        200,
    );
    simulate_and_print(
        "A against A, the first region loses 0.15 more",
        Scenario {
            loss: 0.2,
            west_loss: -0.15,
            ..DEFAULT
        },
        200,
    );
    simulate_and_print(
        "harm 0.02",
        Scenario {
            harm: 0.02,
            ..DEFAULT
        },
        100,
    );
    simulate_and_print(
        "harm 0.05",
        Scenario {
            harm: 0.05,
            ..DEFAULT
        },
        200,
    );
    simulate_and_print(
        "harm 0.05, loss 0.2",
        Scenario {
            harm: 0.05,
            loss: 0.2,
            ..DEFAULT
        },
        100,
    );
    simulate_and_print(
        "harm 0.2",
        Scenario {
            harm: 0.2,
            ..DEFAULT
        },
        100,
    );
    simulate_and_print(
        "refuses a class of a quarter",
        Scenario {
            class_harm: 1.0,
            ..DEFAULT
        },
        100,
    );
    let low_weight = Scenario {
        weight: 0.1,
        ..DEFAULT
    };
    simulate_and_print("A against A, larger class worth 0.1", low_weight, 400);
    simulate_and_print(
        "harm 0.05, larger class worth 0.1",
        Scenario {
            harm: 0.05,
            ..low_weight
        },
        200,
    );
    simulate_and_print(
        "0.3 of the smaller class, worth 1 to 1",
        Scenario {
            class_harm: 0.3,
            ..DEFAULT
        },
        100,
    );
    simulate_and_print(
        "0.3 of the smaller class, worth 1 to 0.1",
        Scenario {
            class_harm: 0.3,
            ..low_weight
        },
        100,
    );
}
