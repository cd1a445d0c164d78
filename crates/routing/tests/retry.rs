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
        let mut harness = Harness::new(settings(), 2);
        let (id, _) = harness.request(NON_IDEMPOTENT_WRITE);
        let actions = harness.end_attempt(id, 0, 1, outcome);
        assert!(
            is_failed(&actions, id) && sent_servers(&actions).is_empty(),
            "{outcome:?}: {actions:?}"
        );
    }
}

#[test]
fn a_non_idempotent_write_that_never_ran_is_sent_again_or_rejected() {
    let mut harness = Harness::new(settings(), 2);
    let (id, _) = harness.request(NON_IDEMPOTENT_WRITE);
    let mut actions = harness.end_attempt(id, 0, 1, Outcome::Rejected);
    actions.extend(harness.run_for(1_000));
    assert!(
        sent_servers(&actions) == [1] || is_rejected(&actions, id),
        "{actions:?}"
    );
    assert!(!is_failed(&actions, id));
}

#[test]
fn a_keyed_write_is_repeated_inside_its_window_only_and_never_rejected_once_it_may_have_run() {
    let mut harness = Harness::new(settings(), 2);
    let (id, _) = harness.request(WRITE);
    harness.advance(100 * MS);
    let mut actions = harness.end_attempt(id, 0, 1, Outcome::Failed);
    actions.extend(harness.run_for(100));
    assert_eq!(sent_servers(&actions), [1], "sent again inside the window");
    harness.advance(500 * MS);
    let mut actions = harness.end_attempt(id, 1, 1, Outcome::Failed);
    actions.extend(harness.run_for(400));
    assert!(
        sent_servers(&actions).is_empty(),
        "the window counts from the first attempt"
    );
    assert!(is_failed(&actions, id) && !is_rejected(&actions, id));
}

/// A repetition may have to dial first. The action limits when it may be sent to the rest of the window, minus the
/// margin for the network delay.
#[test]
fn a_keyed_repetition_has_to_begin_inside_its_window() {
    let mut harness = Harness::new(settings(), 2);
    let (id, first) = harness.request(WRITE);
    let (deadline, window) = (first_begin_within(&first), 600 * MS);
    assert!(
        deadline > window,
        "the first attempt is limited by its deadline alone: {deadline:?}"
    );
    harness.advance(100 * MS);
    let mut repeat = harness.end_attempt(id, 0, 1, Outcome::Failed);
    repeat.extend(harness.run_for(100));
    assert!(
        first_begin_within(&repeat) < window - 100 * MS,
        "{repeat:?}"
    );
    let mut last = Harness::new(settings(), 2);
    let (id, _) = last.request(WRITE);
    last.advance(window - 30 * MS);
    let mut actions = last.end_attempt(id, 0, 1, Outcome::Failed);
    // The request is dispatched again within the window, but in the margin before its end.
    last.advance(20 * MS);
    actions.extend(last.run_for(5));
    assert!(
        sent_servers(&actions).is_empty(),
        "the repetition would arrive after the end of the window: {actions:?}"
    );
}

#[test]
fn attempts_stop_at_the_limit() {
    let mut harness = Harness::new(
        Settings {
            attempt_limit: 2,
            ..settings()
        },
        4,
    );
    let (id, mut actions) = harness.request(EVENTUAL);
    let mut attempts = 0;
    for no in 0..4 {
        let Some(&server) = sent_servers(&actions).first() else {
            break;
        };
        attempts += 1;
        actions = harness.end_attempt(id, no, server, Outcome::ConnectFailed);
    }
    assert_eq!(attempts, 2);
    assert!(is_rejected(&actions, id), "no attempt is left: {actions:?}");
}
