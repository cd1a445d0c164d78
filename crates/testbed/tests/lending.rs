//! Quota lending in a fleet under partitions, kills, stops and clock changes. Metrics are read from the admin addresses.

mod common;
use common::loans::{loan_metric, operators, refused_metric, Fleet, LINE, LOANS, STATE};
use common::SECOND;
use rustix::process::Signal;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use testbed::process::EVENT_TIMEOUT;
use testbed::Setup;

/// During a surge the tenant borrows at each proxy, never beyond its line, and repays when the surge is over.
#[test]
fn a_stand_borrows_and_repays() {
    let mut fleet = Fleet::start(3, |_| {});
    fleet.surge(true);
    fleet.wait_for_loans(0..3, 20);
    fleet.settle();
    assert!((0..3).all(|proxy| fleet.metric(proxy, &loan_metric("repaid")) > 0));
    assert!(fleet.metric(0, "lb_loans_saves_total") > 0);
}

/// Both sides of a partition borrow: the minority stops lending when its lease ends, the majority keeps lending from the
/// parts of the line that it holds. After healing, both sides lend.
#[test]
fn both_sides_of_a_cut_keep_within_one_line() {
    let mut fleet = Fleet::start(5, |_| {});
    fleet.surge(true);
    fleet.wait_for_loans(0..5, 5);
    fleet.testbed.partition(&[&[0, 1], &[2, 3, 4]]);
    for proxy in 0..2 {
        let view = fleet.metric(proxy, &refused_metric("view"));
        fleet.until([proxy], &refused_metric("view"), |n| n > view);
        let before = fleet.metric(proxy, LOANS);
        fleet.wait_for_loans([2], 5);
        assert_eq!(
            fleet.metric(proxy, LOANS),
            before,
            "the minority must not lend after its lease has ended"
        );
    }
    fleet.testbed.heal_datagrams();
    fleet.wait_for_loans(0..5, 5);
    fleet.settle();
}

/// A proxy is killed while parts of the line are transferred to and from it, and restarts before its lane expires. With its
/// state file it continues as a founder, and its outstanding debts remain.
#[test]
fn one_that_dies_in_mid_transfer_goes_on_with_its_file() {
    // Skewed load, so that parts of the line move to the busiest proxies.
    let mut fleet = Fleet::start(4, |setup| setup.clients.proxy_skew = 2.0);
    fleet.surge(true);
    let first = LINE / 4;
    let greatest = |fleet: &Fleet| {
        (0..4)
            .max_by_key(|proxy| fleet.metric(*proxy, &loan_metric("part")))
            .unwrap()
    };
    fleet.wait_for_loans(0..1, 1);
    let end = Instant::now() + EVENT_TIMEOUT;
    let holder = loop {
        fleet.check_accounts();
        let holder = greatest(&fleet);
        if fleet.metric(holder, &loan_metric("part")) > first + first / 10 {
            break holder;
        }
        assert!(
            Instant::now() < end,
            "no part of the line moved to another proxy"
        );
    };
    fleet.kill(holder);
    fleet.restart(holder);
    fleet.until([holder], "lb_loans_founded", |n| n == 1);
    fleet.wait_for_loans([holder], 5);
    fleet.settle();
    assert!((0..4).all(|proxy| fleet.metric(proxy, "lb_loans_lanes_taken") == 0));
}

/// The lane of a proxy that stays dead is taken over by exactly one other proxy. After its return the proxy has an empty
/// lane and lends only parts that others transfer to it.
#[test]
fn the_lane_of_a_dead_one_is_taken_once() {
    let mut fleet = Fleet::start(4, |_| {});
    fleet.surge(true);
    fleet.wait_for_loans(0..4, 5);
    fleet.kill(3);
    let taken = |fleet: &Fleet| {
        (0..3)
            .map(|proxy| fleet.metric(proxy, "lb_loans_lanes_taken"))
            .sum::<u64>()
    };
    let end = Instant::now() + EVENT_TIMEOUT;
    while taken(&fleet) == 0 {
        fleet.check_accounts();
        assert!(
            Instant::now() < end,
            "the lane of the dead proxy was not taken over"
        );
    }
    // All loans of the dead proxy have expired by then.
    fleet.checker.forget("n3");
    fleet.restart(3);
    fleet.until([3], "lb_loans_founded", |n| n == 1);
    fleet.wait_for_loans(0..4, 5);
    assert_eq!(taken(&fleet), 1);
    fleet.settle();
}

/// A proxy that was stopped does not lend the parts that it held before until other members have received its messages again.
#[test]
fn a_stopped_one_lends_nothing_until_it_is_heard() {
    let mut fleet = Fleet::start(3, |_| {});
    fleet.surge(true);
    fleet.wait_for_loans(0..3, 5);
    fleet.check_accounts();
    fleet.testbed.signal(1, Signal::STOP);
    fleet.checked.retain(|proxy| *proxy != 1);
    let down = "lb_member{member=\"n1\",status=\"down\"}";
    fleet
        .testbed
        .metric_until(0, down, |n| n == 1)
        .unwrap_or_else(|fault| panic!("{fault}"));
    fleet.testbed.signal(1, Signal::CONT);
    let stopped = fleet.metric(1, LOANS);
    fleet.checked.push(1);
    fleet.until([1], "lb_members_pauses_total", |n| n >= 1);
    fleet.until([1], &refused_metric("view"), |n| n >= 1);
    fleet.until([1], LOANS, |n| n >= stopped + 5);
    fleet.settle();
}

/// A proxy that restarts after its clock was set back has an incarnation older than its former one. Its saved state and the
/// state that others hold of it continue under the newer incarnation that it then takes.
#[test]
fn one_whose_clock_was_set_back_lends_again() {
    let mut fleet = Fleet::start(3, |_| {});
    fleet.surge(true);
    fleet.wait_for_loans(0..3, 5);
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
    fleet.wait_for_loans(0..3, 5);
    fleet.settle();
}

/// All proxies are killed and restarted at once: with state files they remain founders and lend as soon as they reach each other.
#[test]
fn all_that_start_again_at_once_go_on() {
    let mut fleet = Fleet::start(3, |_| {});
    fleet.surge(true);
    fleet.wait_for_loans(0..3, 5);
    (0..3).for_each(|proxy| fleet.kill(proxy));
    (0..3).for_each(|proxy| fleet.restart(proxy));
    fleet.wait_for_loans(0..3, 5);
    fleet.settle();
}

/// A proxy that restarts without a state file has lost its loans: it has no lane and lends only parts transferred to it.
#[test]
fn one_that_has_forgotten_lends_what_it_is_given() {
    let mut fleet = Fleet::start(4, |setup| setup.operators = operators("", "5s"));
    fleet.surge(true);
    fleet.wait_for_loans(0..4, 5);
    fleet.kill(0);
    fleet.restart(0);
    fleet.until([0], "lb_loans_founded", |n| n == 1);
    fleet.wait_for_loans(0..4, 5);
    fleet.settle();
}

/// While proxies run different versions of the settings, the stricter line bounds the sum over all proxies.
#[test]
fn the_stricter_of_two_lines_holds_in_sum() {
    let mut fleet = Fleet::start(3, |_| {});
    fleet.surge(true);
    fleet.wait_for_loans(0..3, 5);
    let strict = |setup: &mut Setup| setup.operators = operators(STATE, "1s");
    fleet
        .testbed
        .reload(1, strict)
        .unwrap_or_else(|fault| panic!("{fault}"));
    for proxy in 0..3 {
        fleet.until([proxy], &loan_metric("part"), |part| part <= LINE / 5);
    }
    let parts: u64 = (0..3)
        .map(|proxy| fleet.metric(proxy, &loan_metric("part")))
        .sum();
    assert!(parts <= LINE / 5, "{parts}");
    fleet.settle();
}

/// While tenants within their quota lack capacity, no proxy lends; borrowed work is refused first.
#[test]
fn nothing_is_lent_while_others_need_the_room() {
    let mut fleet = Fleet::start(3, |setup| {
        // Clients announce their full deadline.
        setup.slack = Duration::ZERO;
        for kind in &mut setup.clients.classes {
            (kind.latency_objective, kind.deadline) = (SECOND, 2 * SECOND);
            kind.work = server_model::law::Work::new(server_model::law::Law::Fixed, 40_000.0);
        }
    });
    fleet.surge(true);
    fleet.wait_for_loans(0..3, 2);
    fleet.testbed.history.surge(Some(1), 60.0);
    fleet.until(0..3, &refused_metric("short"), |n| n >= 5);
    fleet.testbed.history.surge(Some(1), 1.0);
    fleet.until(0..3, "lb_loans_short", |n| n == 0);
    fleet.wait_for_loans(0..3, 2);
    fleet.settle();
}
