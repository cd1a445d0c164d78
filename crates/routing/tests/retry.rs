//! Which attempts are allowed: idempotency, windows, limits.

mod common;
use common::*;
use routing::*;

#[test]
fn a_non_idempotent_write_that_may_have_run_fails_at_once_and_is_not_sent_again() {
    for outcome in [
        Outcome::Failed,
        Outcome::Reset,
        Outcome::TimedOut,
        Outcome::Cancelled,
    ] {
        let mut bench = Bench::new(settings(), 2);
        let (id, _) = bench.request(NON_IDEMPOTENT_WRITE);
        let actions = bench.end(id, 0, 1, outcome);
        assert!(
            failed(&actions, id) && sends(&actions).is_empty(),
            "{outcome:?}: {actions:?}"
        );
    }
}

#[test]
fn a_non_idempotent_write_that_never_ran_is_sent_again_or_rejected() {
    let mut bench = Bench::new(settings(), 2);
    let (id, _) = bench.request(NON_IDEMPOTENT_WRITE);
    let mut actions = bench.end(id, 0, 1, Outcome::Rejected);
    actions.extend(bench.pass(1_000));
    assert!(
        sends(&actions) == [1] || rejected(&actions, id),
        "{actions:?}"
    );
    assert!(!failed(&actions, id));
}

#[test]
fn a_keyed_write_is_repeated_inside_its_window_only_and_never_rejected_once_it_may_have_run() {
    let mut bench = Bench::new(settings(), 2);
    let (id, _) = bench.request(WRITE);
    bench.wait(100 * MS);
    let mut actions = bench.end(id, 0, 1, Outcome::Failed);
    actions.extend(bench.pass(100));
    assert_eq!(sends(&actions), [1], "sent again inside the window");
    bench.wait(500 * MS);
    let mut actions = bench.end(id, 1, 1, Outcome::Failed);
    actions.extend(bench.pass(400));
    assert!(
        sends(&actions).is_empty(),
        "the window counts from the first attempt"
    );
    assert!(failed(&actions, id) && !rejected(&actions, id));
}

/// A repetition may have to dial first. The host is told what is left of the window, less the margin for the way.
#[test]
fn a_keyed_repetition_has_to_begin_inside_its_window() {
    let mut bench = Bench::new(settings(), 2);
    let (id, first) = bench.request(WRITE);
    let (deadline, window) = (begins_within(&first), 600 * MS);
    assert!(
        deadline > window,
        "the first attempt is bound by its deadline alone: {deadline:?}"
    );
    bench.wait(100 * MS);
    let mut repeat = bench.end(id, 0, 1, Outcome::Failed);
    repeat.extend(bench.pass(100));
    assert!(begins_within(&repeat) < window - 100 * MS, "{repeat:?}");
    let mut last = Bench::new(settings(), 2);
    let (id, _) = last.request(WRITE);
    last.wait(window - 30 * MS);
    let mut actions = last.end(id, 0, 1, Outcome::Failed);
    // It is looked at again within the window, but in its last moments.
    last.wait(20 * MS);
    actions.extend(last.pass(5));
    assert!(
        sends(&actions).is_empty(),
        "it would arrive after the window's end: {actions:?}"
    );
}

#[test]
fn attempts_stop_at_the_limit() {
    let mut bench = Bench::new(
        Settings {
            attempt_limit: 2,
            ..settings()
        },
        4,
    );
    let (id, mut actions) = bench.request(EVENTUAL);
    let mut attempts = 0;
    for no in 0..4 {
        let Some(&server) = sends(&actions).first() else {
            break;
        };
        attempts += 1;
        actions = bench.end(id, no, server, Outcome::ConnectFailed);
    }
    assert_eq!(attempts, 2);
    assert!(
        rejected(&actions, id),
        "nothing may be sent any more: {actions:?}"
    );
}
