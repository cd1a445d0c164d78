//! Messages and a state file as a build of the first format wrote them, and how those of a later format are handled.

use crate::messages::{
    self, ClassCounts, HaltReason, HaltRecord, PersistedState, PlannedRestart, Proposal, Readiness,
    TrafficCounts, VersionHash, Vote,
};
use crate::{
    Action, Config, Core, Event, EvidenceLimits, Observation, Peer, PeerFact, Phase, FACT_KINDS,
};
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

fn hash() -> VersionHash {
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

fn halts() -> Vec<HaltRecord> {
    vec![
        HaltRecord {
            epoch: 299,
            hash: [7; 32],
            halted_by: "n1".into(),
            reason: HaltReason::ClassLoss,
        },
        HaltRecord {
            epoch: 3,
            hash: hash(),
            halted_by: "n0".into(),
            reason: HaltReason::Partitioned,
        },
    ]
}

#[test]
fn messages_of_the_first_format_are_read() {
    assert_eq!(messages::decode(&recorded("proposal")), Some(proposal()));
    let longer = [recorded("proposal"), vec![0]].concat();
    assert_eq!(
        messages::decode::<Proposal>(&longer),
        None,
        "with more behind it"
    );
    for (name, ready) in [
        ("word-not-yet", Readiness::Unchecked),
        ("word", Readiness::Ready),
        ("word-cannot", Readiness::Unable("no file".into())),
    ] {
        let vote = Vote {
            epoch: 300,
            hash: hash(),
            proposer: "n2".into(),
            votes: 2,
            quorums_seen: 1,
            runs_new: true,
            readiness: ready,
        };
        assert_eq!(messages::decode(&recorded(name)), Some(vote), "{name}");
    }
    assert_eq!(messages::decode(&recorded("halts")), Some(halts()));
    let counts = TrafficCounts {
        epoch: 300,
        runs_new: true,
        generation: 2,
        total: ClassCounts {
            class: 0,
            offered: 1_000,
            lost: 129,
        },
        classes: vec![ClassCounts {
            class: 0xdead_beef,
            offered: 400,
            lost: 3,
        }],
    };
    assert_eq!(messages::decode(&recorded("counts")), Some(counts));
    assert_eq!(
        messages::decode(&recorded("orderly")),
        Some(PlannedRestart::Leaving(300))
    );
    assert_eq!(
        messages::decode(&[1, 1, 5]),
        Some(PlannedRestart::TookOver(5))
    );
}

#[test]
fn halt_reasons_keep_their_numbers() {
    let reasons = [
        HaltReason::Operator,
        HaltReason::Rollback,
        HaltReason::Loss,
        HaltReason::ClassLoss,
        HaltReason::Crash,
        HaltReason::Unreachable,
        HaltReason::Partitioned,
    ];
    for (number, reason) in reasons.into_iter().enumerate() {
        assert_eq!(messages::decode(&[1, number as u8]), Some(reason));
    }
    assert_eq!(
        messages::decode::<HaltReason>(&[1, reasons.len() as u8]),
        None,
        "of a later build"
    );
}

#[test]
fn state_files_of_the_first_format_are_read() {
    let stored = PersistedState {
        base: [9; 32],
        proposal: Some(proposal()),
        quorums_seen: 1,
        halts: halts(),
    };
    assert_eq!(messages::decode(&recorded("state")), Some(stored));
    let epoch = |core: &Core| core.status().proposal.map(|p| p.epoch);
    assert_eq!(epoch(&core(Some(recorded("state")))), Some(300));
    assert_eq!(
        epoch(&core(Some(later(recorded("state"))))),
        None,
        "of a later format: not restored"
    );
}

/// A state file that is torn, of a later format or too long: the fault is reported once, and the operators' own file runs.
#[test]
fn an_unreadable_state_file_is_reported() {
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
                Event::Observe(Observation::default()),
                &mut actions,
            );
        }
        assert_eq!(
            actions
                .iter()
                .filter(|action| **action == Action::StateUnreadable)
                .count(),
            times
        );
        let status = core.status();
        assert_eq!(
            (status.state_unreadable, status.running_version),
            (times == 1, [9; 32])
        );
        assert!(times == 0 || status.proposal.is_none());
    }
}

fn core(stored: Option<Vec<u8>>) -> Core {
    let limits = EvidenceLimits {
        min_harm: 0.01,
        error_probability: 0.05,
        soak_time: Duration::from_secs(10),
        min_window_demand: 3,
        min_stage_demand: 10,
        max_age: Duration::from_secs(5),
    };
    let second = Duration::from_secs(1);
    let config = Config {
        name: "n0".into(),
        incarnation: 5,
        took_over: false,
        base_version: [9; 32],
        evidence_limits: limits,
        unreachable_timeout: second,
        message_ttl: second,
        persisted: stored,
    };
    Core::new(config, Duration::ZERO)
}

/// The disk is slow and fails at first. A process killed meanwhile would forget what it published or ran; so nothing is published
/// or run that a restart from the disk would not know.
#[test]
fn nothing_is_published_before_it_is_persisted() {
    let mut core = core(None);
    let peer = Peer {
        name: "n0".into(),
        region: "east".into(),
        incarnation: Some(5),
        reachable: true,
        left: false,
    };
    let promote = ["east".to_owned()].into();
    let observation = Observation {
        peers: vec![peer],
        promotable_regions: promote,
        ..Observation::default()
    };
    let (mut persisted, mut persisting, mut published_new, mut ran) =
        (Vec::new(), None, None, None);
    for second in 0..20 {
        let now = Duration::from_secs(second);
        let mut actions = Vec::new();
        if let Some(bytes) = persisting.take() {
            let done = second > 3;
            core.handle(now, Event::Persisted(done), &mut actions);
            persisted = if done { bytes } else { persisted };
        }
        core.handle(now, Event::Observe(observation.clone()), &mut actions);
        if second == 1 {
            let order = vec!["east".to_owned()];
            core.handle(
                now,
                Event::Propose {
                    hash: hash(),
                    order,
                    canary_size: 1,
                    resume: false,
                },
                &mut actions,
            );
        }
        let has = messages::decode::<PersistedState>(&persisted);
        for action in actions {
            match action {
                Action::Persist(bytes) => {
                    assert!(persisting.replace(bytes).is_none(), "one at a time")
                }
                Action::Publish(0, ..) => {
                    assert!(has.as_ref().is_some_and(|s| s.proposal.is_some()))
                }
                Action::Publish(1, body, _) => {
                    let vote: Vote = messages::decode(&body).unwrap();
                    assert!(has.as_ref().is_some_and(
                        |s| s.proposal.is_some() && s.quorums_seen >= vote.quorums_seen
                    ));
                    published_new = published_new.or(vote.runs_new.then_some(second));
                }
                Action::CheckVersion(hash) => {
                    core.handle(now, Event::VersionChecked(hash, Ok(())), &mut Vec::new())
                }
                Action::RunVersion(_) => ran = Some(second),
                _ => {}
            }
        }
    }
    assert!(
        published_new.is_some() && published_new < ran,
        "{published_new:?} {ran:?}"
    );
}

fn later(mut body: Vec<u8>) -> Vec<u8> {
    body[0] += 1;
    body
}

/// Messages of a later format are counted and change nothing: no proposal, no halt, no other version runs.
#[test]
fn messages_of_a_later_format_are_counted_and_dropped() {
    let mut core = core(None);
    let bodies = ["proposal", "word", "halts", "counts", "orderly"];
    assert_eq!(bodies.len(), usize::from(FACT_KINDS));
    let facts = bodies.into_iter().zip(0..).map(|(name, kind)| PeerFact {
        source: "n1".into(),
        incarnation: 6,
        kind,
        body: later(recorded(name)),
    });
    let peer = |name: &str| Peer {
        name: name.into(),
        region: "east".into(),
        incarnation: Some(6),
        reachable: true,
        left: false,
    };
    let observation = Observation {
        peers: vec![peer("n0"), peer("n1")],
        promotable_regions: ["east".to_owned()].into(),
        facts: facts.collect(),
        ..Observation::default()
    };
    let mut actions = Vec::new();
    core.handle(
        Duration::from_secs(1),
        Event::Observe(observation),
        &mut actions,
    );
    let status = core.status();
    assert_eq!(status.malformed_facts, u64::from(FACT_KINDS));
    assert_eq!((status.phase, status.proposal), (Phase::Idle, None));
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::RunVersion(_) | Action::CheckVersion(_))),
        "{actions:?}"
    );
}
