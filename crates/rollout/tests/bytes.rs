//! Arbitrary facts of one member and arbitrary state files must not cause a panic, an output beyond its bounds, or another
//! version to run, since one member of a region of three is not a quorum.

use postcard::to_extend;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use rollout::{
    Action, ClassCounts, Config, Core, Event, EvidenceLimits, HaltReason, HaltRecord, Observation,
    Peer, PeerFact, PlannedRestart, Proposal, Readiness, TrafficCounts, VersionHash, Vote,
    BODY_BYTES, FACT_KINDS,
};
use serde::Serialize;
use std::time::Duration;

const OLD: VersionHash = [0; 32];
const FLEET: [(&str, &str); 6] = [
    ("a", "east"),
    ("b", "east"),
    ("c", "east"),
    ("d", "west"),
    ("e", "west"),
    ("f", "west"),
];
/// Maximum length in bytes of a state file that the host reads.
const STATE_BYTES: usize = 16 << 10;

fn body<T: Serialize>(value: &T) -> Vec<u8> {
    to_extend(value, vec![1]).expect("serialisation into memory")
}

fn hash() -> impl Strategy<Value = VersionHash> {
    prop_oneof![Just(OLD), Just([1; 32]), any::<VersionHash>()]
}

fn epoch() -> impl Strategy<Value = u64> {
    prop_oneof![0..3_u64, Just(u64::MAX), any::<u64>()]
}

fn order() -> impl Strategy<Value = Vec<String>> {
    let names = prop_oneof![
        Just("east".to_owned()),
        Just("west".to_owned()),
        "[a-z]{0,3}"
    ];
    prop_oneof![
        Just(vec!["east".to_owned(), "west".to_owned()]),
        vec(names, 0..300)
    ]
}

fn proposal() -> impl Strategy<Value = Proposal> {
    (epoch(), hash(), "[a-f]", order(), any::<u16>()).prop_map(
        |(epoch, hash, proposer, order, canary)| Proposal {
            epoch,
            hash,
            proposer,
            order,
            canary,
        },
    )
}

fn halt_record() -> impl Strategy<Value = HaltRecord> {
    let reason = prop_oneof![
        Just(HaltReason::Operator),
        Just(HaltReason::Rollback),
        Just(HaltReason::Loss),
        Just(HaltReason::Partitioned)
    ];
    (epoch(), hash(), ".{0,90}", reason).prop_map(|(epoch, hash, halted_by, reason)| HaltRecord {
        epoch,
        hash,
        halted_by,
        reason,
    })
}

fn class() -> impl Strategy<Value = ClassCounts> {
    (0..9_u32, any::<u64>(), any::<u64>()).prop_map(|(class, offered, lost)| ClassCounts {
        class,
        offered,
        lost,
    })
}

/// A kind and a body that decodes as that kind, with any values, including those that a correct member does not publish.
fn valid_body() -> impl Strategy<Value = (u8, Vec<u8>)> {
    let vote = (epoch(), hash(), "[a-f]", any::<[u8; 2]>(), any::<bool>()).prop_map(
        |(epoch, hash, proposer, [votes, quorums_seen], runs_new)| {
            let readiness = if runs_new {
                Readiness::Ready
            } else {
                Readiness::Unable("x".repeat(300))
            };
            Vote {
                epoch,
                hash,
                proposer,
                votes,
                quorums_seen,
                runs_new,
                readiness,
            }
        },
    );
    let counts = (
        epoch(),
        any::<bool>(),
        any::<u32>(),
        class(),
        vec(class(), 0..20),
    )
        .prop_map(
            |(epoch, runs_new, generation, total, classes)| TrafficCounts {
                epoch,
                runs_new,
                generation,
                total,
                classes,
            },
        );
    prop_oneof![
        proposal().prop_map(|p| (0, body(&p))),
        vote.prop_map(|v| (1, body(&v))),
        vec(halt_record(), 0..12).prop_map(|h| (2, body(&h))),
        counts.prop_map(|c| (3, body(&c))),
        any::<(bool, u64)>().prop_map(|(leaving, incarnation)| {
            (
                4,
                body(&if leaving {
                    PlannedRestart::Leaving(incarnation)
                } else {
                    PlannedRestart::TookOver(incarnation)
                }),
            )
        }),
    ]
}

fn mutate(mut bytes: Vec<u8>, changes: &[(Index, u8)], cut: Option<Index>) -> Vec<u8> {
    if !bytes.is_empty() {
        for (at, to) in changes {
            let at = at.index(bytes.len());
            bytes[at] = *to;
        }
        bytes.truncate(cut.map_or(bytes.len(), |cut| cut.index(bytes.len())));
    }
    bytes
}

fn fact() -> impl Strategy<Value = (u8, Vec<u8>)> {
    let changes = vec((any::<Index>(), any::<u8>()), 0..4);
    let mutated = (valid_body(), changes, any::<Option<Index>>())
        .prop_map(|((kind, body), changes, cut)| (kind, mutate(body, &changes, cut)));
    prop_oneof![
        valid_body(),
        mutated,
        (0..=FACT_KINDS, vec(any::<u8>(), 0..BODY_BYTES))
    ]
}

/// A state file: base version, proposal, number of quorums seen, and halts; valid, mutated or random.
fn state() -> impl Strategy<Value = Vec<u8>> {
    let valid = (
        hash(),
        proptest::option::of(proposal()),
        any::<u8>(),
        vec(halt_record(), 0..12),
    )
        .prop_map(|state| body(&state))
        .boxed();
    let changes = vec((any::<Index>(), any::<u8>()), 1..4);
    let mutated = (valid.clone(), changes, any::<Option<Index>>())
        .prop_map(|(file, changes, cut)| mutate(file, &changes, cut));
    prop_oneof![valid, mutated, vec(any::<u8>(), 0..600)]
}

fn core(persisted: Option<Vec<u8>>) -> Core {
    let limits = EvidenceLimits {
        min_harm: 0.05,
        error_probability: 0.01,
        soak_time: Duration::from_secs(30),
        min_window_demand: 20,
        min_stage_demand: 500,
        max_age: Duration::from_secs(10),
    };
    let (unreachable_timeout, message_ttl) = (Duration::from_secs(60), Duration::from_secs(10));
    Core::new(
        Config {
            name: "a".into(),
            incarnation: 1,
            took_over: false,
            base_version: OLD,
            evidence_limits: limits,
            unreachable_timeout,
            message_ttl,
            persisted,
        },
        Duration::ZERO,
    )
}

fn observation(facts: Vec<PeerFact>) -> Observation {
    let peer = |(name, region): &(&str, &str)| Peer {
        name: (*name).into(),
        region: (*region).into(),
        incarnation: Some(1),
        reachable: true,
        left: false,
    };
    Observation {
        peers: FLEET.iter().map(peer).collect(),
        promotable_regions: ["east", "west"].map(String::from).into(),
        facts,
        class_counts: vec![ClassCounts {
            class: 1,
            offered: 1_000,
            lost: 20,
        }],
        total_counts: ClassCounts {
            class: 0,
            offered: 1_000,
            lost: 20,
        },
    }
}

/// Handles an event and carries out all resulting actions. The files of all versions exist and are valid.
fn handle_all(core: &mut Core, now: Duration, event: Event) -> Result<(), TestCaseError> {
    let (mut actions, mut next) = (Vec::new(), 0);
    core.handle(now, event, &mut actions);
    while let Some(action) = actions.get(next).cloned() {
        next += 1;
        match action {
            Action::Publish(_, body, _) => prop_assert!(body.len() <= BODY_BYTES),
            Action::Persist(bytes) => {
                prop_assert!(
                    bytes.len() <= STATE_BYTES,
                    "the state to persist has {} bytes",
                    bytes.len()
                );
                core.handle(now, Event::Persisted(true), &mut actions);
            }
            Action::RunVersion(hash) => prop_assert!(false, "one member made {hash:?} run"),
            Action::CheckVersion(hash) => {
                core.handle(now, Event::VersionChecked(hash, Ok(())), &mut actions)
            }
            Action::PhaseChanged(_) | Action::Rejected(_) | Action::StateUnreadable => {}
        }
    }
    prop_assert!(
        body(&core.machine().halts()).len() <= BODY_BYTES,
        "the halts do not fit into one fact"
    );
    prop_assert_eq!(core.status().running_version, OLD);
    Ok(())
}

proptest! {
    // Each run uses the same cases; set PROPTEST_CASES for more.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn one_member_and_the_state_file_start_no_version(
        persisted in proptest::option::of(state()),
        steps in vec((vec(fact(), 0..5), 0..40_u64, any::<u64>()), 1..12),
        operator in any::<Index>(),
    ) {
        let mut core = core(persisted);
        let (mut now, command_at) = (Duration::ZERO, operator.index(steps.len()));
        for (at, (facts, seconds, incarnation)) in steps.into_iter().enumerate() {
            now += Duration::from_secs(seconds);
            let to_fact = |(kind, body)| PeerFact { source: "b".into(), incarnation, kind, body };
            handle_all(&mut core, now, Event::Observe(observation(facts.into_iter().map(to_fact).collect())))?;
            if at == command_at {
                handle_all(&mut core, now, Event::Halt)?;
                let order = vec!["east".into(), "west".into()];
                handle_all(&mut core, now, Event::Propose { hash: [1; 32], order, canary_size: 1, resume: true })?;
            }
        }
    }
}
