//! The group's primary and the part of its capacity that is open to reads.

mod common;
use common::*;
use routing::*;
use std::time::Duration;

#[test]
fn writes_and_strong_reads_go_to_the_primary() {
    for class in [WRITE, STRONG] {
        let mut harness = Harness::new(settings(), 3);
        assert_eq!(sent_servers(&harness.request(class).1), [1]);
    }
}

/// Where probes are not allowed, half of the writes were rejected even without faults, since no primary was known and
/// none was searched for.
#[test]
fn without_probes_a_write_finds_the_primary_itself() {
    let mut harness = Harness::without_reports(
        Settings {
            may_probe: false,
            ..settings()
        },
        2,
    );
    let (id, actions) = harness.request(NON_IDEMPOTENT_WRITE);
    let tried = sent_servers(&actions);
    assert_eq!(tried.len(), 1, "{actions:?}");
    let replica = ResponseMetadata {
        primary: Some(false),
        position: None,
    };
    let mut actions = harness.end_attempt_with(id, 0, tried[0], Outcome::Misdirected, replica);
    actions.extend(harness.run_for(100));
    let other = sent_servers(&actions);
    assert!(
        other.len() == 1 && other != tried,
        "the member that has not rejected the write: {actions:?}"
    );
    // Where probes are allowed, a probe comes first.
    let mut harness = Harness::without_reports(settings(), 2);
    assert!(sent_servers(&harness.request(NON_IDEMPOTENT_WRITE).1).is_empty());
}

#[test]
fn of_two_that_claim_to_be_primary_the_newer_claim_wins() {
    let mut harness = Harness::new(settings(), 2);
    harness.run_for(50);
    harness.report(2, true, Duration::ZERO);
    // An older report of the former primary arrives late.
    harness.report(1, true, 40 * MS);
    assert_eq!(sent_servers(&harness.request(WRITE).1), [2]);
}

#[test]
fn an_answer_from_a_replica_ends_its_time_as_primary() {
    let mut harness = Harness::new(settings(), 2);
    let (id, _) = harness.request(WRITE);
    let replica = ResponseMetadata {
        primary: Some(false),
        position: None,
    };
    let actions = harness.end_attempt_with(id, 0, 1, Outcome::Misdirected, replica);
    assert!(
        sent_servers(&actions).is_empty(),
        "queued until a primary is known"
    );
    assert_eq!(sent_servers(&harness.report(2, true, Duration::ZERO)), [2]);
}

#[test]
fn strong_reads_may_use_the_whole_primary() {
    // When strong reads were limited like reads that replicas may answer, their class got too little capacity.
    let mut harness = Harness::new(settings(), 2);
    let (id, actions) = harness.request(STRONG);
    assert_eq!(sent_servers(&actions), [1]);
    harness.advance(10 * MS);
    harness.end_attempt(id, 0, 1, Outcome::Failed);
    assert_eq!(sent_servers(&harness.request(STRONG).1), [1]);
}

#[test]
fn reads_do_not_crowd_the_primary_before_positions_are_known() {
    // At start, all routers sent all reads to the listed primaries.
    let mut harness = Harness::without_reports(
        Settings {
            staleness_check: StalenessCheck::Reject,
            ..settings()
        },
        3,
    );
    harness.update_endpoints(vec![Endpoint {
        primary: true,
        ..endpoint(1, EndpointState::Ready)
    }]);
    for _ in 0..2 {
        assert!(matches!(
            sent_servers(&harness.request(BOUNDED).1)[..],
            [2 | 3]
        ));
    }
}
