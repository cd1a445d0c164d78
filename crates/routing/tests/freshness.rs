//! Log positions: staleness bounds, sessions and catch-up.

mod common;
use common::*;
use routing::*;
use std::time::Duration;

#[test]
fn no_stale_read_where_servers_do_not_check() {
    let mut harness = Harness::new(settings(), 2);
    harness.run_for(50);
    harness.report(1, false, Duration::ZERO);
    harness.run_for(600);
    // Both positions now exceed the bound, and no member is known to be the primary.
    let (id, actions) = harness.request(BOUNDED);
    assert!(sent_servers(&actions).is_empty());
    let actions = harness.report(2, false, 300 * MS);
    assert_eq!(
        sent_servers(&actions),
        [2],
        "a report of a fresh position releases {id:?}"
    );
}

#[test]
fn a_session_reads_what_it_wrote_through_this_router() {
    let mut harness = Harness::new(settings(), 2);
    let (write, _) = harness.request(WRITE);
    harness.advance(20 * MS);
    let commit = ResponseMetadata {
        primary: Some(true),
        position: Some(harness.now.minus(MS)),
    };
    harness.end_attempt_with(write, 0, 1, Outcome::Ok, commit);
    let (_, actions) = harness.request(SESSION);
    assert!(
        !sent_servers(&actions).contains(&2),
        "the replica is not known to have the write"
    );
    let mut later = Harness::new(settings(), 2);
    assert_eq!(
        sent_servers(&later.request(SESSION).1).len(),
        1,
        "a session without a write may go anywhere"
    );
}

#[test]
fn a_rejection_corrects_the_prediction_that_a_replica_has_caught_up() {
    let mut harness = Harness::new(
        Settings {
            staleness_check: StalenessCheck::Reject,
            ..settings()
        },
        2,
    );
    harness.run_for(600);
    harness.report(1, true, Duration::ZERO);
    harness.report(2, false, 450 * MS);
    harness.run_for(100);
    let (id, actions) = harness.request(BOUNDED);
    assert_eq!(
        sent_servers(&actions),
        [2],
        "the position is 550 ms old, so the replica is predicted to be 450 ms behind"
    );
    let metadata = ResponseMetadata {
        primary: Some(false),
        position: None,
    };
    let actions = harness.end_attempt_with(id, 0, 2, Outcome::Misdirected, metadata);
    assert_eq!(
        sent_servers(&actions),
        [1],
        "no replica is fresh enough, so the read goes to the primary"
    );
    let (_, actions) = harness.request(BOUNDED);
    assert!(
        !sent_servers(&actions).contains(&2),
        "the prediction stays corrected until the next report: {actions:?}"
    );
}

#[test]
fn reports_older_than_the_bound_do_not_push_bounded_reads_onto_the_primary() {
    // When reports were always older than the bound, no replica ever seemed fresh enough, and all bounded reads went to
    // the primaries.
    let mut harness = Harness::new(
        Settings {
            staleness_check: StalenessCheck::Reject,
            ..settings()
        },
        3,
    );
    for _ in 0..60 {
        harness.run_for(50);
        for server in 1..=3 {
            harness.report(server, server == 1, 600 * MS);
        }
    }
    let (_, actions) = harness.request(BOUNDED);
    assert!(matches!(sent_servers(&actions)[..], [2 | 3]), "{actions:?}");
}

/// A replica that does not check staleness answers with the data that it has. Dialing may delay the read, so the action
/// limits when it may be sent.
#[test]
fn a_bounded_read_has_to_begin_while_its_replica_is_fresh() {
    let mut harness = Harness::new(settings(), 2);
    harness.run_for(50);
    harness.report(2, false, Duration::ZERO);
    harness.run_for(200);
    let (_, actions) = harness.request(BOUNDED);
    assert_eq!(sent_servers(&actions), [2]);
    assert_eq!(
        first_begin_within(&actions),
        300 * MS,
        "rest of the bound of 500 ms"
    );
    let mut checked = Harness::new(
        Settings {
            staleness_check: StalenessCheck::Reject,
            ..settings()
        },
        2,
    );
    checked.run_for(50);
    checked.report(2, false, Duration::ZERO);
    checked.run_for(200);
    let (_, actions) = checked.request(BOUNDED);
    assert!(
        first_begin_within(&actions) > 500 * MS,
        "the replica checks staleness itself: {actions:?}"
    );
}

#[test]
fn a_session_read_must_see_the_carried_age_of_its_write() {
    let mut harness = Harness::new(
        Settings {
            clients_carry_session_position: true,
            ..settings()
        },
        2,
    );
    harness.run_for(100);
    let mut send_read = |last_write_age| {
        let arrival = Arrival {
            session_position: Some(SessionPosition::Ago(last_write_age)),
            ..harness.arrival(SESSION)
        };
        sent_servers(&harness.event(Event::RequestArrived(arrival)))
    };
    assert_ne!(
        send_read(50 * MS),
        [2],
        "the replica's last reported position is 100 ms old"
    );
    assert_eq!(
        send_read(150 * MS),
        [2],
        "the replica has an older write; the primary is busy"
    );
}

#[test]
fn a_carried_position_does_not_depend_on_the_routers_clock() {
    // Positions come from another clock, which is five seconds ahead of the router's.
    let mut harness = Harness::new(
        Settings {
            clients_carry_session_position: true,
            ..settings()
        },
        2,
    );
    harness.run_for(100);
    let replica_position = harness.now.plus(5_000 * MS);
    let report = LoadReport {
        position: Some(replica_position),
        ..LoadReport::default()
    };
    harness.event(Event::ProbeEnded {
        server: ServerId(2),
        ok: true,
        elapsed: MS,
        report,
    });
    let mut send_read = |position| {
        let arrival = Arrival {
            session_position: Some(SessionPosition::At(position)),
            ..harness.arrival(SESSION)
        };
        sent_servers(&harness.event(Event::RequestArrived(arrival)))
    };
    assert_eq!(
        send_read(replica_position.plus(MS)),
        [1],
        "the replica has not reached the position"
    );
    assert_eq!(
        send_read(replica_position),
        [2],
        "the replica has reached the position; the primary is busy"
    );
}
