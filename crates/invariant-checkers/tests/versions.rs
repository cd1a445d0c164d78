//! Each rule of rollouts is violated once and detected; similar but permitted histories are not reported.

use invariant_checkers::versions::{Breach, Checker, Observation, Version};
use std::time::Duration;

fn version(epoch: u64) -> Version {
    Version { epoch, hash: None }
}

/// An observation of a proxy in its first start.
fn observation(epoch: u64, new: bool, moves: u64) -> Observation {
    let runs = new.then(|| version(epoch));
    Observation {
        start: 1,
        epoch,
        runs,
        whole: false,
        halted: Vec::new(),
        moves: Some(moves),
    }
}

fn halted(epoch: u64) -> Observation {
    Observation {
        halted: vec![version(epoch)],
        ..observation(epoch, false, 0)
    }
}

/// Breaches after rounds one second apart over proxy `a`, and `b` in the next region; votes last for two seconds.
fn breaches_after(rounds: &[[Observation; 2]]) -> Vec<Breach> {
    let region = |region: &str, proxy: &str| (region.to_owned(), vec![proxy.to_owned()]);
    let mut checker = Checker::new(
        vec![region("east", "a"), region("west", "b")],
        Duration::from_secs(2),
    );
    for (second, round) in (0..).zip(rounds) {
        for (proxy, look) in ["a", "b"].into_iter().zip(round) {
            checker.observe(Duration::from_secs(second), proxy, look.clone());
        }
        checker.end_round();
    }
    checker.broken.first
}

#[test]
fn two_new_versions_at_once_are_found() {
    let round = || [observation(1, true, 1), observation(2, true, 1)];
    let found = breaches_after(&[round(), round()]);
    assert!(
        found
            .iter()
            .any(|breach| matches!(breach, Breach::TwoNew(_))),
        "{found:?}"
    );
    let whole = || {
        [
            Observation {
                whole: true,
                ..observation(1, true, 1)
            },
            observation(2, true, 1),
        ]
    };
    let apart = || [observation(1, true, 2), observation(2, true, 1)];
    let file = || {
        round().map(|l| Observation {
            runs: l.runs.map(|v| Version {
                hash: Some("f".into()),
                ..v
            }),
            ..l
        })
    };
    for sound in [[whole(), whole()], [round(), apart()], [file(), file()]] {
        let found = breaches_after(&sound);
        assert!(
            !found
                .iter()
                .any(|breach| matches!(breach, Breach::TwoNew(_))),
            "{found:?}"
        );
    }
}

fn runs_halted(found: &[Breach]) -> bool {
    found
        .iter()
        .any(|breach| matches!(breach, Breach::HaltedRun { .. }))
}

#[test]
fn one_that_runs_what_it_knew_was_halted_is_found() {
    let idle = || observation(0, false, 0);
    assert!(runs_halted(&breaches_after(&[
        [halted(1), idle()],
        [observation(1, true, 1), idle()]
    ])));
    let again = Observation {
        start: 2,
        ..observation(1, true, 1)
    };
    assert!(
        !runs_halted(&breaches_after(&[[halted(1), idle()], [again, idle()]])),
        "a restarted proxy may have lost the halt"
    );
    assert!(
        !runs_halted(&breaches_after(&[
            [halted(1), idle()],
            [observation(2, true, 1), idle()]
        ])),
        "a later epoch is a new proposal"
    );
}

#[test]
fn one_that_begins_what_all_others_have_long_halted_is_found() {
    let waits = || [observation(1, false, 0), halted(1)];
    let begins = || [observation(1, true, 1), halted(1)];
    assert!(runs_halted(&breaches_after(&[
        waits(),
        waits(),
        waits(),
        begins()
    ])));
    assert!(
        !runs_halted(&breaches_after(&[waits(), waits(), begins()])),
        "votes may still promote the proxy"
    );
    assert!(
        !runs_halted(&breaches_after(&[begins(), begins(), begins(), begins()])),
        "a partitioned proxy may continue with the version"
    );
}

#[test]
fn a_region_that_was_passed_over_is_found() {
    let begin = || [observation(0, false, 0), observation(0, false, 0)];
    let found = breaches_after(&[
        begin(),
        [observation(1, false, 0), observation(1, true, 1)],
        [observation(1, false, 0), observation(1, true, 1)],
    ]);
    assert!(
        matches!(&found[..], [Breach::OutOfOrder { skipped, .. }] if skipped == "east"),
        "{found:?}"
    );
    let begun = || [observation(1, true, 1), observation(1, true, 1)];
    let between = || [observation(1, false, 2), observation(1, true, 1)];
    let anew = || {
        [
            Observation {
                start: 2,
                ..observation(1, false, 0)
            },
            observation(1, true, 1),
        ]
    };
    for sound in [begun(), between(), anew()] {
        let found = breaches_after(&[
            begin(),
            [observation(1, false, 0), observation(1, true, 1)],
            sound.clone(),
            sound,
        ]);
        assert!(found.is_empty(), "{found:?}");
    }
}
