//! Stands that borrow over a fleet of several processes, and what goes wrong between these. All is read from second addresses.

mod common;
use common::loans::{book, operators, refused, Fleet, LINE, LOANS, STATE};
use common::SECOND;
use rustix::process::Signal;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use testbed::process::EVENT_TIMEOUT;
use testbed::Setup;

/// A bus arrives: its stand borrows at each proxy, nothing beyond the line, and repays it when the bus is gone.
#[test]
fn a_stand_borrows_and_repays() {
    let mut fleet = Fleet::start(3, |_| {});
    fleet.surge(true);
    fleet.lends(0..3, 20);
    fleet.settle();
    assert!((0..3).all(|proxy| fleet.figure(proxy, &book("repaid")) > 0));
    assert!(fleet.figure(0, "lb_loans_saves_total") > 0);
}

/// Halves that both borrow: the smaller side ends with its lease, the larger goes on with what it holds and no more. Healed,
/// both lend.
#[test]
fn both_sides_of_a_cut_keep_within_one_line() {
    let mut fleet = Fleet::start(5, |_| {});
    fleet.surge(true);
    fleet.lends(0..5, 5);
    fleet.testbed.partition(&[&[0, 1], &[2, 3, 4]]);
    for proxy in 0..2 {
        let view = fleet.figure(proxy, &refused("view"));
        fleet.until([proxy], &refused("view"), |n| n > view);
        let before = fleet.figure(proxy, LOANS);
        fleet.lends([2], 5);
        assert_eq!(
            fleet.figure(proxy, LOANS),
            before,
            "the smaller side has ended"
        );
    }
    fleet.testbed.heal_datagrams();
    fleet.lends(0..5, 5);
    fleet.settle();
}

/// One dies while parts of the line are on their way to it and from it, and comes back before its lane is over: with its
/// file it goes on as a founder, and what it owed is owed still.
#[test]
fn one_that_dies_in_mid_transfer_goes_on_with_its_file() {
    // Most comes to few, so that parts are handed to them.
    let mut fleet = Fleet::start(4, |setup| setup.clients.proxy_skew = 2.0);
    fleet.surge(true);
    let first = LINE / 4;
    let greatest = |fleet: &Fleet| {
        (0..4)
            .max_by_key(|proxy| fleet.figure(*proxy, &book("part")))
            .unwrap()
    };
    fleet.lends(0..1, 1);
    let end = Instant::now() + EVENT_TIMEOUT;
    let holder = loop {
        fleet.look();
        let holder = greatest(&fleet);
        if fleet.figure(holder, &book("part")) > first + first / 10 {
            break holder;
        }
        assert!(Instant::now() < end, "no part moved");
    };
    fleet.kill(holder);
    fleet.restart(holder);
    fleet.until([holder], "lb_loans_founded", |n| n == 1);
    fleet.lends([holder], 5);
    fleet.settle();
    assert!((0..4).all(|proxy| fleet.figure(proxy, "lb_loans_lanes_taken") == 0));
}

/// The lane of one that stays dead is taken over, by one alone. When it comes back it has a lane of nothing, and lends again
/// what others give.
#[test]
fn the_lane_of_a_dead_one_is_taken_once() {
    let mut fleet = Fleet::start(4, |_| {});
    fleet.surge(true);
    fleet.lends(0..4, 5);
    fleet.kill(3);
    let taken = |fleet: &Fleet| {
        (0..3)
            .map(|proxy| fleet.figure(proxy, "lb_loans_lanes_taken"))
            .sum::<u64>()
    };
    let end = Instant::now() + EVENT_TIMEOUT;
    while taken(&fleet) == 0 {
        fleet.look();
        assert!(
            Instant::now() < end,
            "the lane of the dead one is not taken"
        );
    }
    // By then all that it lent was over.
    fleet.checker.forget("n3");
    fleet.restart(3);
    fleet.until([3], "lb_loans_founded", |n| n == 1);
    fleet.lends(0..4, 5);
    assert_eq!(taken(&fleet), 1);
    fleet.settle();
}

/// One that stood still does not lend what it held before, until others have heard it again.
#[test]
fn a_stopped_one_lends_nothing_until_it_is_heard() {
    let mut fleet = Fleet::start(3, |_| {});
    fleet.surge(true);
    fleet.lends(0..3, 5);
    fleet.look();
    fleet.testbed.signal(1, Signal::STOP);
    fleet.looked.retain(|proxy| *proxy != 1);
    let down = "lb_member{member=\"n1\",status=\"down\"}";
    fleet
        .testbed
        .metric_until(0, down, |n| n == 1)
        .unwrap_or_else(|fault| panic!("{fault}"));
    fleet.testbed.signal(1, Signal::CONT);
    let stopped = fleet.figure(1, LOANS);
    fleet.looked.push(1);
    fleet.until([1], "lb_members_pauses_total", |n| n >= 1);
    fleet.until([1], &refused("view"), |n| n >= 1);
    fleet.until([1], LOANS, |n| n >= stopped + 5);
    fleet.settle();
}

/// One that comes back by a clock that was set back is behind its former start: what it kept and what others hold of it goes
/// on under the start that it takes then.
#[test]
fn one_whose_clock_was_set_back_lends_again() {
    let mut fleet = Fleet::start(3, |_| {});
    fleet.surge(true);
    fleet.lends(0..3, 5);
    fleet.kill(1);
    let clock = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64;
    let fake_member = fleet
        .testbed
        .fake_member(1, clock + 3_600_000)
        .unwrap_or_else(|fault| panic!("{fault}"));
    fake_member
        .wait_until_complete()
        .unwrap_or_else(|fault| panic!("{fault}"));
    drop(fake_member);
    fleet.restart(1);
    fleet.until([1], "lb_members_renewals_total", |n| n == 1);
    fleet.lends(0..3, 5);
    fleet.settle();
}

/// All die and start at once: with files they are founders still and lend as soon as they hear each other.
#[test]
fn all_that_start_again_at_once_go_on() {
    let mut fleet = Fleet::start(3, |_| {});
    fleet.surge(true);
    fleet.lends(0..3, 5);
    (0..3).for_each(|proxy| fleet.kill(proxy));
    (0..3).for_each(|proxy| fleet.restart(proxy));
    fleet.lends(0..3, 5);
    fleet.settle();
}

/// Without a file one that starts again has forgotten what it lent: it has no lane and lends only what is given to it.
#[test]
fn one_that_has_forgotten_lends_what_it_is_given() {
    let mut fleet = Fleet::start(4, |setup| setup.operators = operators("", "5s"));
    fleet.surge(true);
    fleet.lends(0..4, 5);
    fleet.kill(0);
    fleet.restart(0);
    fleet.until([0], "lb_loans_founded", |n| n == 1);
    fleet.lends(0..4, 5);
    fleet.settle();
}

/// Two versions of the rules live side by side: the stricter line holds for all.
#[test]
fn the_stricter_of_two_lines_holds_in_sum() {
    let mut fleet = Fleet::start(3, |_| {});
    fleet.surge(true);
    fleet.lends(0..3, 5);
    let strict = |setup: &mut Setup| setup.operators = operators(STATE, "1s");
    fleet
        .testbed
        .reload(1, strict)
        .unwrap_or_else(|fault| panic!("{fault}"));
    for proxy in 0..3 {
        fleet.until([proxy], &book("part"), |part| part <= LINE / 5);
    }
    let parts: u64 = (0..3).map(|proxy| fleet.figure(proxy, &book("part"))).sum();
    assert!(parts <= LINE / 5, "{parts}");
    fleet.settle();
}

/// Where those within their quota find no room nothing is lent, at no proxy; borrowed work gives way first.
#[test]
fn nothing_is_lent_while_others_need_the_room() {
    let mut fleet = Fleet::start(3, |setup| {
        // Clients tell of all the time that they have.
        setup.slack = Duration::ZERO;
        for kind in &mut setup.clients.classes {
            (kind.latency_objective, kind.deadline) = (SECOND, 2 * SECOND);
            kind.work = server_model::law::Work::new(server_model::law::Law::Fixed, 40_000.0);
        }
    });
    fleet.surge(true);
    fleet.lends(0..3, 2);
    fleet.testbed.history.surge(Some(1), 60.0);
    fleet.until(0..3, &refused("short"), |n| n >= 5);
    fleet.testbed.history.surge(Some(1), 1.0);
    fleet.until(0..3, "lb_loans_short", |n| n == 0);
    fleet.lends(0..3, 2);
    fleet.settle();
}
