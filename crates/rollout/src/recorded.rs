//! Bodies and a state file as a build of the first form wrote them, and what comes of those of a later one.

use crate::words::{
    self, Class, Counts, Halted, Hash, Orderly, Proposal, Ready, Stored, Why, Word,
};
use crate::{Action, Config, Core, Event, Limits, Look, Peer, Phase, Told, KINDS};
use std::time::Duration;

/// The bytes of that name.
fn recorded(name: &str) -> Vec<u8> {
    let lines = include_str!("../tests/version-1.hex").lines();
    let hex = lines
        .filter_map(|line| line.split_once(' '))
        .find(|(of, _)| *of == name);
    hex::decode(
        hex.unwrap_or_else(|| panic!("nothing is recorded as {name}"))
            .1,
    )
    .unwrap()
}

fn hash() -> Hash {
    std::array::from_fn(|at| at as u8 + 1)
}

fn proposal() -> Proposal {
    let order = vec!["east".into(), "west".into()];
    Proposal {
        epoch: 300,
        hash: hash(),
        proposer: "n2".into(),
        order,
        canary: 1,
    }
}

fn halts() -> Vec<Halted> {
    vec![
        Halted {
            epoch: 299,
            hash: [7; 32],
            by: "n1".into(),
            why: Why::Class,
        },
        Halted {
            epoch: 3,
            hash: hash(),
            by: "n0".into(),
            why: Why::CutOff,
        },
    ]
}

#[test]
fn facts_of_the_first_form_are_read_for_good() {
    assert_eq!(words::decode(&recorded("proposal")), Some(proposal()));
    let longer = [recorded("proposal"), vec![0]].concat();
    assert_eq!(
        words::decode::<Proposal>(&longer),
        None,
        "with more behind it"
    );
    for (name, ready) in [
        ("word-not-yet", Ready::NotYet),
        ("word", Ready::Yes),
        ("word-cannot", Ready::Cannot("no file".into())),
    ] {
        let word = Word {
            epoch: 300,
            hash: hash(),
            proposer: "n2".into(),
            votes: 2,
            reached: 1,
            new: true,
            ready,
        };
        assert_eq!(words::decode(&recorded(name)), Some(word), "{name}");
    }
    assert_eq!(words::decode(&recorded("halts")), Some(halts()));
    let counts = Counts {
        epoch: 300,
        new: true,
        turn: 2,
        total: Class {
            class: 0,
            asked: 1_000,
            lost: 129,
        },
        classes: vec![Class {
            class: 0xdead_beef,
            asked: 400,
            lost: 3,
        }],
    };
    assert_eq!(words::decode(&recorded("counts")), Some(counts));
    assert_eq!(
        words::decode(&recorded("orderly")),
        Some(Orderly::Left(300))
    );
    assert_eq!(words::decode(&[1, 1, 5]), Some(Orderly::Heir(5)));
}

#[test]
fn reasons_of_halts_keep_their_numbers() {
    let whys = [
        Why::Operator,
        Why::Return,
        Why::Loss,
        Why::Class,
        Why::Crash,
        Why::Gone,
        Why::CutOff,
    ];
    for (number, why) in whys.into_iter().enumerate() {
        assert_eq!(words::decode(&[1, number as u8]), Some(why));
    }
    assert_eq!(
        words::decode::<Why>(&[1, whys.len() as u8]),
        None,
        "of a later build"
    );
}

#[test]
fn a_state_file_of_the_first_form_is_read_for_good() {
    let stored = Stored {
        base: [9; 32],
        proposal: Some(proposal()),
        reached: 1,
        halts: halts(),
    };
    assert_eq!(words::decode(&recorded("state")), Some(stored));
    let epoch = |core: &Core| core.status().proposal.map(|p| p.epoch);
    assert_eq!(epoch(&core(Some(recorded("state")))), Some(300));
    assert_eq!(
        epoch(&core(Some(later(recorded("state"))))),
        None,
        "of a later form: no memory"
    );
}

/// One that is torn, of a later form or longer is no memory: it is said once, and what runs is the operators' own file.
#[test]
fn a_state_file_that_cannot_be_read_is_told() {
    let torn = recorded("state")[..40].to_vec();
    let longer = [recorded("state"), vec![0]].concat();
    let all = [(None, 0), (Some(recorded("state")), 0)];
    let unread = [vec![], torn, longer, later(recorded("state"))].map(|bytes| (Some(bytes), 1));
    for (stored, times) in all.into_iter().chain(unread) {
        let mut core = core(stored);
        let mut actions = Vec::new();
        for _ in 0..2 {
            core.handle(
                Duration::from_secs(1),
                Event::Look(Look::default()),
                &mut actions,
            );
        }
        assert_eq!(
            actions
                .iter()
                .filter(|action| **action == Action::Unread)
                .count(),
            times
        );
        let status = core.status();
        assert_eq!((status.unread, status.runs), (times == 1, [9; 32]));
        assert!(times == 0 || status.proposal.is_none());
    }
}

fn core(stored: Option<Vec<u8>>) -> Core {
    let limits = Limits {
        least_harm: 0.01,
        error: 0.05,
        soak: Duration::from_secs(10),
        window_least: 3,
        stage_least: 10,
        fresh: Duration::from_secs(5),
    };
    let second = Duration::from_secs(1);
    let config = Config {
        name: "n0".into(),
        start: 5,
        heir: false,
        base: [9; 32],
        limits,
        dark: second,
        lasts: second,
        stored,
    };
    Core::new(config, Duration::ZERO)
}

/// A disk that takes its time, and fails at first: nothing is said or run that a restart from it would not know.
#[test]
fn nothing_is_said_before_it_is_kept() {
    let mut core = core(None);
    let peer = Peer {
        name: "n0".into(),
        region: "east".into(),
        start: Some(5),
        heard: true,
        left: false,
    };
    let promote = ["east".to_owned()].into();
    let look = Look {
        peers: vec![peer],
        promote,
        ..Look::default()
    };
    let (mut kept, mut saving, mut told_new, mut ran) = (Vec::new(), None, None, None);
    for second in 0..20 {
        let now = Duration::from_secs(second);
        let mut actions = Vec::new();
        if let Some(bytes) = saving.take() {
            let done = second > 3;
            core.handle(now, Event::Kept(done), &mut actions);
            kept = if done { bytes } else { kept };
        }
        core.handle(now, Event::Look(look.clone()), &mut actions);
        if second == 1 {
            let order = vec!["east".to_owned()];
            core.handle(
                now,
                Event::Propose {
                    hash: hash(),
                    order,
                    canary: 1,
                    again: false,
                },
                &mut actions,
            );
        }
        let has = words::decode::<Stored>(&kept);
        for action in actions {
            match action {
                Action::Save(bytes) => assert!(saving.replace(bytes).is_none(), "one at a time"),
                Action::Say(0, ..) => assert!(has.as_ref().is_some_and(|s| s.proposal.is_some())),
                Action::Say(1, body, _) => {
                    let word: Word = words::decode(&body).unwrap();
                    assert!(has
                        .as_ref()
                        .is_some_and(|s| s.proposal.is_some() && s.reached >= word.reached));
                    told_new = told_new.or(word.new.then_some(second));
                }
                Action::Check(hash) => {
                    core.handle(now, Event::Ready(hash, Ok(())), &mut Vec::new())
                }
                Action::Run(_) => ran = Some(second),
                _ => {}
            }
        }
    }
    assert!(told_new.is_some() && told_new < ran, "{told_new:?} {ran:?}");
}

fn later(mut body: Vec<u8>) -> Vec<u8> {
    body[0] += 1;
    body
}

/// What is said in a later form is counted, and changes nothing: no proposal, no halt, nothing that runs.
#[test]
fn facts_of_a_later_form_are_counted_and_not_heard() {
    let mut core = core(None);
    let bodies = ["proposal", "word", "halts", "counts", "orderly"];
    assert_eq!(bodies.len(), usize::from(KINDS));
    let facts = bodies.into_iter().zip(0..).map(|(name, kind)| Told {
        source: "n1".into(),
        start: 6,
        kind,
        body: later(recorded(name)),
    });
    let peer = |name: &str| Peer {
        name: name.into(),
        region: "east".into(),
        start: Some(6),
        heard: true,
        left: false,
    };
    let look = Look {
        peers: vec![peer("n0"), peer("n1")],
        promote: ["east".to_owned()].into(),
        facts: facts.collect(),
        ..Look::default()
    };
    let mut actions = Vec::new();
    core.handle(Duration::from_secs(1), Event::Look(look), &mut actions);
    let status = core.status();
    assert_eq!(status.malformed, u64::from(KINDS));
    assert_eq!((status.phase, status.proposal), (Phase::Idle, None));
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::Run(_) | Action::Check(_))),
        "{actions:?}"
    );
}
