//! Whatever one member says, and whatever the state file holds: no panic, nothing beyond the bounds, and no other version
//! runs. One of three in a region is no quorum.

use postcard::to_extend;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use rollout::{
    Action, Class, Config, Core, Counts, Event, Halted, Hash, Limits, Look, Orderly, Peer,
    Proposal, Ready, Told, Why, Word, BODY_BYTES, KINDS,
};
use serde::Serialize;
use std::time::Duration;

const OLD: Hash = [0; 32];
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

fn hash() -> impl Strategy<Value = Hash> {
    prop_oneof![Just(OLD), Just([1; 32]), any::<Hash>()]
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

fn halted() -> impl Strategy<Value = Halted> {
    let why = prop_oneof![
        Just(Why::Operator),
        Just(Why::Return),
        Just(Why::Loss),
        Just(Why::CutOff)
    ];
    (epoch(), hash(), ".{0,90}", why).prop_map(|(epoch, hash, by, why)| Halted {
        epoch,
        hash,
        by,
        why,
    })
}

fn class() -> impl Strategy<Value = Class> {
    (0..9_u32, any::<u64>(), any::<u64>()).prop_map(|(class, asked, lost)| Class {
        class,
        asked,
        lost,
    })
}

/// A body of that kind with any values, which others could not have said.
fn sound() -> impl Strategy<Value = (u8, Vec<u8>)> {
    let word = (epoch(), hash(), "[a-f]", any::<[u8; 2]>(), any::<bool>()).prop_map(
        |(epoch, hash, proposer, [votes, reached], new)| {
            let ready = if new {
                Ready::Yes
            } else {
                Ready::Cannot("x".repeat(300))
            };
            Word {
                epoch,
                hash,
                proposer,
                votes,
                reached,
                new,
                ready,
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
        .prop_map(|(epoch, new, turn, total, classes)| Counts {
            epoch,
            new,
            turn,
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
                    Orderly::Left(start)
                } else {
                    Orderly::Heir(start)
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
        (0..=KINDS, vec(any::<u8>(), 0..BODY_BYTES))
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
    let limits = Limits {
        least_harm: 0.05,
        error: 0.01,
        soak: Duration::from_secs(30),
        window_least: 20,
        stage_least: 500,
        fresh: Duration::from_secs(10),
    };
    let (dark, lasts) = (Duration::from_secs(60), Duration::from_secs(10));
    Core::new(
        Config {
            name: "a".into(),
            start: 1,
            heir: false,
            base: OLD,
            limits,
            dark,
            lasts,
            stored,
        },
        Duration::ZERO,
    )
}

fn look(facts: Vec<Told>) -> Look {
    let peer = |(name, region): &(&str, &str)| Peer {
        name: (*name).into(),
        region: (*region).into(),
        start: Some(1),
        heard: true,
        left: false,
    };
    Look {
        peers: FLEET.iter().map(peer).collect(),
        promote: ["east", "west"].map(String::from).into(),
        facts,
        counts: vec![Class {
            class: 1,
            asked: 1_000,
            lost: 20,
        }],
        total: Class {
            class: 0,
            asked: 1_000,
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
            Action::Say(_, body, _) => prop_assert!(body.len() <= BODY_BYTES),
            Action::Save(bytes) => {
                prop_assert!(bytes.len() <= STATE_BYTES, "{} bytes to keep", bytes.len());
                core.handle(now, Event::Kept(true), &mut actions);
            }
            Action::Run(hash) => prop_assert!(false, "{hash:?} runs by one member's word"),
            Action::Check(hash) => core.handle(now, Event::Ready(hash, Ok(())), &mut actions),
            Action::Phase(_) | Action::Refused(_) | Action::Unread => {}
        }
    }
    prop_assert!(
        body(&core.machine().halts()).len() <= BODY_BYTES,
        "halts can't be told any more"
    );
    prop_assert_eq!(core.status().runs, OLD);
    Ok(())
}

proptest! {
    // The same cases each time; PROPTEST_CASES for more of them.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn one_member_and_the_file_make_nothing_run(
        stored in proptest::option::of(state()),
        steps in vec((vec(fact(), 0..5), 0..40_u64, any::<u64>()), 1..12),
        operator in any::<Index>(),
    ) {
        let mut core = core(stored);
        let (mut now, asked) = (Duration::ZERO, operator.index(steps.len()));
        for (at, (facts, seconds, start)) in steps.into_iter().enumerate() {
            now += Duration::from_secs(seconds);
            let told = |(kind, body)| Told { source: "b".into(), start, kind, body };
            play(&mut core, now, Event::Look(look(facts.into_iter().map(told).collect())))?;
            if at == asked {
                play(&mut core, now, Event::Halt)?;
                let order = vec!["east".into(), "west".into()];
                play(&mut core, now, Event::Propose { hash: [1; 32], order, canary: 1, again: true })?;
            }
        }
    }
}
