//! Membership in a fleet under kills, stops, partitions, bad networks, roster and key changes. Metrics are read from the
//! admin addresses; clients are served throughout.

mod common;
use common::{assert_sound, setup, wait_for_answers, SECOND};
use rustix::process::Signal;
use std::time::Duration;
use testbed::datagrams::DatagramFaults;
use testbed::members::Members;
use testbed::{Setup, Testbed};

/// Starts `proxies` members and waits until each receives all others.
fn fleet(proxies: usize) -> Testbed {
    adjusted_fleet(proxies, |_| {})
}

fn adjusted_fleet(proxies: usize, adjust: impl FnOnce(&mut Setup)) -> Testbed {
    let mut setup = setup(proxies, 60.0, 4 * SECOND);
    setup.admin = true;
    setup.members = Some(Members::default());
    adjust(&mut setup);
    let testbed = Testbed::start(setup).unwrap_or_else(|fault| panic!("{fault}"));
    wait_for_each(&testbed, 0..proxies, &state("whole"), 1);
    testbed.history.begin();
    testbed
}

/// Waits until the metric `name` of each given proxy equals `value`.
fn wait_for_each(
    testbed: &Testbed,
    proxies: impl IntoIterator<Item = usize>,
    name: &str,
    value: u64,
) {
    for proxy in proxies {
        testbed
            .metric_until(proxy, name, |n| n == value)
            .unwrap_or_else(|fault| panic!("{fault}"));
    }
}

fn metric(testbed: &Testbed, proxy: usize, name: &str) -> u64 {
    let figures = testbed
        .metrics(proxy)
        .unwrap_or_else(|fault| panic!("{fault}"));
    figures.get(name).copied().unwrap_or_default()
}

fn state(state: &str) -> String {
    format!("lb_members_state{{state=\"{state}\"}}")
}

fn status(member: usize, status: &str) -> String {
    format!("lb_member{{member=\"n{member}\",status=\"{status}\"}}")
}

fn may(act: &str) -> String {
    format!("lb_members_allowed{{act=\"{act}\"}}")
}

fn deaths(testbed: &Testbed, proxy: usize) -> u64 {
    metric(testbed, proxy, "lb_members_changes_total{status=\"down\"}")
}

/// Guards against an old process that takes the incarnation of its successor for a sign that its own clock was set back,
/// renews its incarnation, and so makes the others drop the new process as stale.
#[test]
fn the_old_process_of_an_upgrade_does_not_outbid_the_new_one() {
    let mut testbed = fleet(3);
    let mut new_process = testbed
        .start_new_process(0)
        .unwrap_or_else(|fault| panic!("{fault}"));
    for line in [": serving on ", "members: heard on "] {
        new_process
            .wait_for_line(line, 0)
            .unwrap_or_else(|fault| panic!("{fault}"));
    }
    // By then the others have gossiped the new process's incarnation to the old process.
    let received = "lb_members_received_total";
    let before = metric(&testbed, 0, received);
    testbed
        .metric_until(0, received, |n| n > before + 150)
        .unwrap_or_else(|fault| panic!("{fault}"));
    assert_eq!(metric(&testbed, 0, "lb_members_renewals_total"), 0);
    testbed
        .replace_process(0, new_process)
        .unwrap_or_else(|fault| panic!("{fault}"));
    wait_for_each(&testbed, 0..3, &state("whole"), 1);
    assert_sound(testbed);
}

/// A killed member is down for all others, which continue as the majority; after its restart it rejoins under its name with
/// a newer incarnation. A member that is terminated leaves, and does not count as missing.
#[test]
fn a_death_a_return_and_a_leave_are_told_apart() {
    let mut testbed = fleet(5);
    testbed.kill(4);
    wait_for_each(&testbed, 0..4, &status(4, "down"), 1);
    wait_for_each(&testbed, 0..4, &state("degraded"), 1);
    wait_for_each(&testbed, 0..4, &may("promote"), 1);
    testbed.restart(4).unwrap_or_else(|fault| panic!("{fault}"));
    wait_for_each(&testbed, 0..5, &state("whole"), 1);
    testbed.signal(3, Signal::TERM);
    wait_for_each(&testbed, [0, 1, 2, 4], &status(3, "left"), 1);
    wait_for_each(&testbed, [0, 1, 2, 4], &state("whole"), 1);
    assert_eq!(
        [0, 1, 2, 4].map(|proxy| deaths(&testbed, proxy)),
        [1, 1, 1, 0],
        "only the killed member is counted as down"
    );
    drop(testbed);
}

/// In a partition the majority may promote and lend, and both sides may halt and repay. Healing restores all rights.
#[test]
fn halves_that_both_live_agree_on_who_may_act() {
    let testbed = fleet(5);
    testbed.partition(&[&[0, 1], &[2, 3, 4]]);
    wait_for_each(&testbed, 0..2, &state("minority"), 1);
    wait_for_each(&testbed, 2..5, &state("degraded"), 1);
    for (side, acts) in [(0..2, 0), (2..5, 1)] {
        for act in ["promote", "lend"] {
            wait_for_each(&testbed, side.clone(), &may(act), acts);
        }
        for act in ["halt", "repay"] {
            wait_for_each(&testbed, side.clone(), &may(act), 1);
        }
    }
    wait_for_answers(&testbed, 30);
    testbed.heal_datagrams();
    wait_for_each(&testbed, 0..5, &state("whole"), 1);
    wait_for_each(&testbed, 0..5, &may("promote"), 1);
    assert_sound(testbed);
}

/// Neither half of an even split is a majority, and neither is any of three parts of two.
#[test]
fn no_part_of_an_even_split_may_act() {
    let testbed = fleet(6);
    testbed.partition(&[&[0, 1, 2], &[3, 4, 5]]);
    wait_for_each(&testbed, 0..6, &state("minority"), 1);
    testbed.heal_datagrams();
    wait_for_each(&testbed, 0..6, &state("whole"), 1);
    testbed.partition(&[&[0, 1], &[2, 3], &[4, 5]]);
    wait_for_each(&testbed, 0..6, &state("minority"), 1);
    wait_for_each(&testbed, 0..6, &may("lend"), 0);
    testbed.heal_datagrams();
    wait_for_each(&testbed, 0..6, &state("whole"), 1);
    drop(testbed);
}

/// Two members reach each other only through others: none is declared down, and the metrics show which are not reached directly.
#[test]
fn a_chain_and_a_one_way_cut_kill_nobody() {
    let testbed = fleet(4);
    testbed.datagram_link(0, 2).unwrap().cut();
    testbed.datagram_link(2, 0).unwrap().cut();
    wait_for_each(&testbed, [0], "lb_member_direct{member=\"n2\"}", 0);
    wait_for_each(&testbed, [2], "lb_member_direct{member=\"n0\"}", 0);
    testbed.heal_datagrams();
    wait_for_each(&testbed, [0], "lb_member_direct{member=\"n2\"}", 1);
    testbed.one_way(1, 3).unwrap();
    wait_for_each(&testbed, [1], "lb_member_direct{member=\"n3\"}", 0);
    wait_for_each(&testbed, 0..4, &state("whole"), 1);
    assert_eq!([0, 1, 2, 3].map(|proxy| deaths(&testbed, proxy)), [0; 4]);
    drop(testbed);
}

/// A process that was stopped detects its own pause before it declares others down, and the others accept it again.
#[test]
fn a_stopped_one_doubts_itself_first() {
    let mut testbed = fleet(4);
    testbed.signal(2, Signal::STOP);
    wait_for_each(&testbed, [0, 1, 3], &status(2, "down"), 1);
    testbed.signal(2, Signal::CONT);
    testbed
        .metric_until(2, "lb_members_pauses_total", |n| n >= 1)
        .unwrap_or_else(|fault| panic!("{fault}"));
    wait_for_each(&testbed, 0..4, &state("whole"), 1);
    wait_for_each(&testbed, [2], "lb_members_doubting", 0);
    assert_eq!(
        deaths(&testbed, 2),
        0,
        "the stopped member must not declare others down"
    );
    assert_sound(testbed);
}

/// With 10% of datagrams each lost, doubled, reordered and corrupted, no member is declared down; refused ones are counted.
#[test]
fn a_bad_network_kills_nobody() {
    let testbed = fleet(4);
    testbed.set_datagram_faults(DatagramFaults {
        lost: 0.1,
        doubled: 0.1,
        reordered: 0.1,
        corrupted: 0.1,
        ..DatagramFaults::default()
    });
    for proxy in 0..4 {
        for reason in ["bad-mac", "replayed"] {
            let name = format!("lb_members_refused_total{{reason=\"{reason}\"}}");
            testbed
                .metric_until(proxy, &name, |n| n >= 5)
                .unwrap_or_else(|fault| panic!("{fault}"));
        }
    }
    assert_eq!([0, 1, 2, 3].map(|proxy| deaths(&testbed, proxy)), [0; 4]);
    drop(testbed);
}

/// All members but one are killed, then the last one, and all restart at once.
#[test]
fn all_but_one_and_all_at_once() {
    let mut testbed = fleet(4);
    for proxy in 1..4 {
        testbed.kill(proxy);
    }
    wait_for_each(&testbed, [0], &state("alone"), 1);
    wait_for_each(&testbed, [0], &may("lend"), 0);
    wait_for_each(&testbed, [0], &may("halt"), 1);
    testbed.kill(0);
    for proxy in 0..4 {
        testbed
            .restart(proxy)
            .unwrap_or_else(|fault| panic!("{fault}"));
    }
    wait_for_each(&testbed, 0..4, &state("whole"), 1);
    wait_for_each(&testbed, 1..4, "lb_member_serving{member=\"n0\"}", 1);
    drop(testbed);
}

/// While two roster versions are in use nothing is promoted; keys are rotated in three steps without losing a member.
#[test]
fn rosters_that_differ_and_keys_that_change() {
    let mut testbed = fleet(3);
    let version = |setup: &mut Setup| setup.members.as_mut().unwrap().version = 2;
    testbed
        .reload(0, version)
        .unwrap_or_else(|fault| panic!("{fault}"));
    wait_for_each(&testbed, 0..3, &may("promote"), 0);
    wait_for_each(&testbed, [1, 2], "lb_members_roster_differs", 1);
    wait_for_each(&testbed, 0..3, &may("lend"), 1);
    for proxy in 1..3 {
        testbed
            .reload(proxy, |_| {})
            .unwrap_or_else(|fault| panic!("{fault}"));
    }
    wait_for_each(&testbed, 0..3, &may("promote"), 1);
    for (step, keys) in [vec![1, 2], vec![2, 1], vec![2]].into_iter().enumerate() {
        for proxy in 0..3 {
            let keys = keys.clone();
            testbed
                .reload(proxy, move |setup| {
                    setup.members.as_mut().unwrap().keys = keys
                })
                .unwrap_or_else(|fault| panic!("{fault}"));
        }
        wait_for_each(&testbed, 0..3, "lb_reloads_ok_total", step as u64 + 2);
    }
    wait_for_each(&testbed, 0..3, &state("whole"), 1);
    let unknown = "lb_members_refused_total{reason=\"unknown-key\"}";
    assert_eq!(
        [0, 1, 2].map(|proxy| metric(&testbed, proxy, unknown)),
        [0; 3]
    );
    // A member that has only the old key exchanges no valid messages with the others.
    testbed
        .reload(2, |setup| setup.members.as_mut().unwrap().keys = vec![1])
        .unwrap_or_else(|fault| panic!("{fault}"));
    wait_for_each(&testbed, [2], &state("alone"), 1);
    wait_for_each(&testbed, 0..2, &status(2, "down"), 1);
    assert!(metric(&testbed, 0, unknown) > 0);
    drop(testbed);
}

/// In a hot restart the new process takes the member name over when the old process has ended; no other member sees it leave.
#[test]
fn an_heir_goes_on_under_the_name() {
    let mut testbed = adjusted_fleet(3, |setup| setup.slack = Duration::from_secs(10));
    let new_process = testbed
        .start_new_process(1)
        .unwrap_or_else(|fault| panic!("{fault}"));
    testbed
        .replace_process(1, new_process)
        .unwrap_or_else(|fault| panic!("{fault}"));
    wait_for_each(&testbed, 0..3, &state("whole"), 1);
    assert_eq!(
        metric(&testbed, 0, "lb_members_changes_total{status=\"left\"}"),
        0
    );
    assert_sound(testbed);
}
