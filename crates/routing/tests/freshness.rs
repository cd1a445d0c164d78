//! Log positions: bounds on staleness, sessions, catch-up.

mod common;
use common::*;
use routing::*;
use std::time::Duration;

#[test]
fn no_stale_read_where_servers_do_not_check() {
    let mut bench = Bench::new(settings(), 2);
    bench.pass(50);
    bench.report(1, false, Duration::ZERO);
    bench.pass(600);
    // Both positions are over the bound now and no member is known to be primary.
    let (id, actions) = bench.request(BOUNDED);
    assert!(sends(&actions).is_empty());
    let actions = bench.report(2, false, 300 * MS);
    assert_eq!(
        sends(&actions),
        [2],
        "a position that shows catch-up releases {id:?}"
    );
}

#[test]
fn a_session_reads_what_it_wrote_through_this_router() {
    let mut bench = Bench::new(settings(), 2);
    let (write, _) = bench.request(WRITE);
    bench.wait(20 * MS);
    let commit = ResponseMetadata {
        primary: Some(true),
        position: Some(bench.now.minus(MS)),
    };
    bench.end_with(write, 0, 1, Outcome::Ok, commit);
    let (_, actions) = bench.request(SESSION);
    assert!(
        !sends(&actions).contains(&2),
        "the replica is not known to have the write"
    );
    let mut later = Bench::new(settings(), 2);
    assert_eq!(
        sends(&later.request(SESSION).1).len(),
        1,
        "a session without a write may go anywhere"
    );
}

#[test]
fn rejections_take_back_the_guess_that_a_replica_has_caught_up() {
    let mut bench = Bench::new(
        Settings {
            staleness_check: StalenessCheck::Reject,
            ..settings()
        },
        2,
    );
    bench.pass(600);
    bench.report(1, true, Duration::ZERO);
    bench.report(2, false, 450 * MS);
    bench.pass(100);
    let (id, actions) = bench.request(BOUNDED);
    assert_eq!(
        sends(&actions),
        [2],
        "550 ms since the position, so 450 ms behind by the guess"
    );
    let metadata = ResponseMetadata {
        primary: Some(false),
        position: None,
    };
    let actions = bench.end_with(id, 0, 2, Outcome::Misdirected, metadata);
    assert_eq!(
        sends(&actions),
        [1],
        "no replica meets the need: the primary"
    );
    let (_, actions) = bench.request(BOUNDED);
    assert!(
        !sends(&actions).contains(&2),
        "not guessed again before it reports: {actions:?}"
    );
}

#[test]
fn reports_older_than_the_bound_do_not_push_bounded_reads_onto_the_primary() {
    // Seen on recorded day i10d23f: reports were always older than the bound, no replica ever seemed fresh enough, and all
    // bounded reads went to the primaries.
    let mut bench = Bench::new(
        Settings {
            staleness_check: StalenessCheck::Reject,
            ..settings()
        },
        3,
    );
    for _ in 0..60 {
        bench.pass(50);
        for server in 1..=3 {
            bench.report(server, server == 1, 600 * MS);
        }
    }
    let (_, actions) = bench.request(BOUNDED);
    assert!(matches!(sends(&actions)[..], [2 | 3]), "{actions:?}");
}

/// A replica that does not check staleness answers from what it has. A dial may delay the read, so the host is told until
/// when it may begin.
#[test]
fn a_bounded_read_has_to_begin_while_its_replica_is_fresh() {
    let mut bench = Bench::new(settings(), 2);
    bench.pass(50);
    bench.report(2, false, Duration::ZERO);
    bench.pass(200);
    let (_, actions) = bench.request(BOUNDED);
    assert_eq!(sends(&actions), [2]);
    assert_eq!(begins_within(&actions), 300 * MS, "of a bound of 500 ms");
    let mut checked = Bench::new(
        Settings {
            staleness_check: StalenessCheck::Reject,
            ..settings()
        },
        2,
    );
    checked.pass(50);
    checked.report(2, false, Duration::ZERO);
    checked.pass(200);
    let (_, actions) = checked.request(BOUNDED);
    assert!(
        begins_within(&actions) > 500 * MS,
        "the replica rejects it by itself: {actions:?}"
    );
}

#[test]
fn a_carried_age_is_what_a_session_read_must_see() {
    let mut bench = Bench::new(
        Settings {
            clients_carry_session_position: true,
            ..settings()
        },
        2,
    );
    bench.pass(100);
    let mut ask = |wrote_ago| {
        let arrival = Arrival {
            session_position: Some(SessionPosition::Ago(wrote_ago)),
            ..bench.arrival(SESSION)
        };
        sends(&bench.event(Event::RequestArrived(arrival)))
    };
    assert_ne!(
        ask(50 * MS),
        [2],
        "the replica was last known at 100 ms ago"
    );
    assert_eq!(
        ask(150 * MS),
        [2],
        "a write before that is there; the primary is busy"
    );
}

#[test]
fn a_carried_position_counts_however_the_routers_clock_is_set() {
    // Positions come from another clock, which is five seconds ahead of the router's.
    let mut bench = Bench::new(
        Settings {
            clients_carry_session_position: true,
            ..settings()
        },
        2,
    );
    bench.pass(100);
    let there = bench.now.plus(5_000 * MS);
    let report = LoadReport {
        position: Some(there),
        ..LoadReport::default()
    };
    bench.event(Event::ProbeEnded {
        server: ServerId(2),
        ok: true,
        elapsed: MS,
        report,
    });
    let mut ask = |position| {
        let arrival = Arrival {
            session_position: Some(SessionPosition::At(position)),
            ..bench.arrival(SESSION)
        };
        sends(&bench.event(Event::RequestArrived(arrival)))
    };
    assert_eq!(ask(there.plus(MS)), [1], "not there yet");
    assert_eq!(ask(there), [2], "the primary is busy");
}
