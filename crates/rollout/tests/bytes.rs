//! Whatever one member publishes, and whatever the state file holds: no panic, nothing beyond the bounds, and no other version
//! runs. One of three in a region is no quorum.

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
/// The host reads no longer state file.
const STATE_BYTES: usize = 16 << 10;

fn body<T: Serialize>(what: &T) -> Vec<u8> {
    to_extend(what, vec![1]).expect("into memory")
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

fn halted() -> impl Strategy<Value = HaltRecord> {
    let why = prop_oneof![
        Just(HaltReason::Operator),
        Just(HaltReason::Rollback),
        Just(HaltReason::Loss),
        Just(HaltReason::Partitioned)
    ];
    (epoch(), hash(), ".{0,90}", why).prop_map(|(epoch, hash, by, why)| HaltRecord {
        epoch,
        hash,
        halted_by: by,
        reason: why,
    })
}

fn class() -> impl Strategy<Value = ClassCounts> {
    (0..9_u32, any::<u64>(), any::<u64>()).prop_map(|(class, asked, lost)| ClassCounts {
        class,
        offered: asked,
        lost,
    })
}

/// A body of that kind with any values, which others could not have said.
fn sound() -> impl Strategy<Value = (u8, Vec<u8>)> {
    let word = (epoch(), hash(), "[a-f]", any::<[u8; 2]>(), any::<bool>()).prop_map(
        |(epoch, hash, proposer, [votes, reached], new)| {
            let ready = if new {
                Readiness::Ready
            } else {
                Readiness::Unable("x".repeat(300))
            };
            Vote {
                epoch,
                hash,
                proposer,
                votes,
                quorums_seen: reached,
                runs_new: new,
                readiness: ready,
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
        .prop_map(|(epoch, new, turn, total, classes)| TrafficCounts {
            epoch,
            runs_new: new,
            generation: turn,
            total,
            classes,
        });
    prop_oneof![
        proposal().prop_map(|p| (0, body(&p))),
        word.prop_map(|w| (1, body(&w))),
        vec(halted(), 0..12).prop_map(|h| (2, body(&h))),
        counts.prop_map(|c| (3, body(&c))),
        any::<(bool, u64)>().prop_map(|(left, start)| {
            (
                4,
                body(&if left {
                    PlannedRestart::Leaving(start)
                } else {
                    PlannedRestart::TookOver(start)
                }),
            )
        }),
    ]
}

fn changed(mut bytes: Vec<u8>, changes: &[(Index, u8)], cut: Option<Index>) -> Vec<u8> {
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
    let some = vec((any::<Index>(), any::<u8>()), 0..4);
    let mutated = (sound(), some, any::<Option<Index>>())
        .prop_map(|((kind, body), changes, cut)| (kind, changed(body, &changes, cut)));
    prop_oneof![
        sound(),
        mutated,
        (0..=FACT_KINDS, vec(any::<u8>(), 0..BODY_BYTES))
    ]
}

/// As the file has it: base, proposal, how far it was, halts.
fn state() -> impl Strategy<Value = Vec<u8>> {
    let sound = (
        hash(),
        proptest::option::of(proposal()),
        any::<u8>(),
        vec(halted(), 0..12),
    )
        .prop_map(|stored| body(&stored))
        .boxed();
    let some = vec((any::<Index>(), any::<u8>()), 1..4);
    let mutated = (sound.clone(), some, any::<Option<Index>>())
        .prop_map(|(file, changes, cut)| changed(file, &changes, cut));
    prop_oneof![sound, mutated, vec(any::<u8>(), 0..600)]
}

fn core(stored: Option<Vec<u8>>) -> Core {
    let limits = EvidenceLimits {
        min_harm: 0.05,
        error_probability: 0.01,
        soak_time: Duration::from_secs(30),
        min_window_demand: 20,
        min_stage_demand: 500,
        max_age: Duration::from_secs(10),
    };
    let (dark, lasts) = (Duration::from_secs(60), Duration::from_secs(10));
    Core::new(
        Config {
            name: "a".into(),
            incarnation: 1,
            took_over: false,
            base_version: OLD,
            evidence_limits: limits,
            unreachable_timeout: dark,
            message_ttl: lasts,
            persisted: stored,
        },
        Duration::ZERO,
    )
}

fn look(facts: Vec<PeerFact>) -> Observation {
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

/// All that the core does then, with every version there and sound.
fn play(core: &mut Core, now: Duration, event: Event) -> Result<(), TestCaseError> {
    let (mut actions, mut next) = (Vec::new(), 0);
    core.handle(now, event, &mut actions);
    while let Some(action) = actions.get(next).cloned() {
        next += 1;
        match action {
            Action::Publish(_, body, _) => prop_assert!(body.len() <= BODY_BYTES),
            Action::Persist(bytes) => {
                prop_assert!(bytes.len() <= STATE_BYTES, "{} bytes to keep", bytes.len());
                core.handle(now, Event::Persisted(true), &mut actions);
            }
            Action::RunVersion(hash) => prop_assert!(false, "{hash:?} runs by one member's word"),
            Action::CheckVersion(hash) => {
                core.handle(now, Event::VersionChecked(hash, Ok(())), &mut actions)
            }
            Action::PhaseChanged(_) | Action::Rejected(_) | Action::StateUnreadable => {}
        }
    }
    prop_assert!(
        body(&core.machine().halts()).len() <= BODY_BYTES,
        "halts can't be told any more"
    );
    prop_assert_eq!(core.status().running_version, OLD);
    Ok(())
}

proptest! {
    // The same cases each time; PROPTEST_CASES for more of them.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn one_member_and_the_state_file_start_no_version(
        stored in proptest::option::of(state()),
        steps in vec((vec(fact(), 0..5), 0..40_u64, any::<u64>()), 1..12),
        operator in any::<Index>(),
    ) {
        let mut core = core(stored);
        let (mut now, asked) = (Duration::ZERO, operator.index(steps.len()));
        for (at, (facts, seconds, start)) in steps.into_iter().enumerate() {
            now += Duration::from_secs(seconds);
            let told = |(kind, body)| PeerFact { source: "b".into(), incarnation: start, kind, body };
            play(&mut core, now, Event::Observe(look(facts.into_iter().map(told).collect())))?;
            if at == asked {
                play(&mut core, now, Event::Halt)?;
                let order = vec!["east".into(), "west".into()];
                play(&mut core, now, Event::Propose { hash: [1; 32], order, canary_size: 1, resume: true })?;
            }
        }
    }
}
