//! Proxies that know each other: several processes of the program, and what goes wrong between them. All is read from their
//! second addresses; clients go on being served throughout.

mod common;
use common::{answered, setup, sound, SECOND};
use rustix::process::Signal;
use std::time::Duration;
use testbed::datagrams::Way;
use testbed::members::Members;
use testbed::{Rig, Setup};

/// A roster of so many, all on it, each heard by all before anything goes wrong.
fn fleet(proxies: usize) -> Rig {
    fleet_of(proxies, |_| {})
}

fn fleet_of(proxies: usize, adjust: impl FnOnce(&mut Setup)) -> Rig {
    let mut setup = setup(proxies, 60.0, 4 * SECOND);
    setup.admin = true;
    setup.members = Some(Members::default());
    adjust(&mut setup);
    let rig = Rig::start(setup).unwrap_or_else(|fault| panic!("{fault}"));
    each(&rig, 0..proxies, &state("whole"), 1);
    rig.truth.begin();
    rig
}

/// Until a figure of each of these proxies is that.
fn each(rig: &Rig, proxies: impl IntoIterator<Item = usize>, name: &str, value: u64) {
    for proxy in proxies {
        rig.figure_until(proxy, name, |n| n == value)
            .unwrap_or_else(|fault| panic!("{fault}"));
    }
}

fn figure(rig: &Rig, proxy: usize, name: &str) -> u64 {
    let figures = rig.figures(proxy).unwrap_or_else(|fault| panic!("{fault}"));
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

fn deaths(rig: &Rig, proxy: usize) -> u64 {
    figure(rig, proxy, "lb_members_changes_total{status=\"down\"}")
}

/// A dead one is down for all others, who go on as the larger part; it comes back under its name, and is heard as the
/// later start that it is. One that is told to end leaves, and is not missed.
#[test]
fn a_death_a_return_and_a_leave_are_told_apart() {
    let mut rig = fleet(5);
    rig.kill(4);
    each(&rig, 0..4, &status(4, "down"), 1);
    each(&rig, 0..4, &state("degraded"), 1);
    each(&rig, 0..4, &may("promote"), 1);
    rig.restart(4).unwrap_or_else(|fault| panic!("{fault}"));
    each(&rig, 0..5, &state("whole"), 1);
    rig.signal(3, Signal::TERM);
    each(&rig, [0, 1, 2, 4], &status(3, "left"), 1);
    each(&rig, [0, 1, 2, 4], &state("whole"), 1);
    assert_eq!(
        [0, 1, 2, 4].map(|proxy| deaths(&rig, proxy)),
        [1, 1, 1, 0],
        "one death, of the one that died"
    );
    drop(rig);
}

/// Two parts that both live: the larger may promote and lend, the smaller may halt and repay. Healed, all is as before.
#[test]
fn halves_that_both_live_agree_on_who_may_act() {
    let rig = fleet(5);
    rig.part(&[&[0, 1], &[2, 3, 4]]);
    each(&rig, 0..2, &state("minority"), 1);
    each(&rig, 2..5, &state("degraded"), 1);
    for (side, acts) in [(0..2, 0), (2..5, 1)] {
        for act in ["promote", "lend"] {
            each(&rig, side.clone(), &may(act), acts);
        }
        for act in ["halt", "repay"] {
            each(&rig, side.clone(), &may(act), 1);
        }
    }
    answered(&rig, 30);
    rig.heal_talk();
    each(&rig, 0..5, &state("whole"), 1);
    each(&rig, 0..5, &may("promote"), 1);
    sound(rig);
}

/// Exactly half is no majority on either side, and three parts of six are none anywhere.
#[test]
fn no_part_of_an_even_split_may_act() {
    let rig = fleet(6);
    rig.part(&[&[0, 1, 2], &[3, 4, 5]]);
    each(&rig, 0..6, &state("minority"), 1);
    rig.heal_talk();
    each(&rig, 0..6, &state("whole"), 1);
    rig.part(&[&[0, 1], &[2, 3], &[4, 5]]);
    each(&rig, 0..6, &state("minority"), 1);
    each(&rig, 0..6, &may("lend"), 0);
    rig.heal_talk();
    each(&rig, 0..6, &state("whole"), 1);
    drop(rig);
}

/// A hears C only through B: all live, none is called dead, and it shows who is not heard directly.
#[test]
fn a_chain_and_a_one_way_cut_kill_nobody() {
    let rig = fleet(4);
    rig.talk(0, 2).unwrap().cut();
    rig.talk(2, 0).unwrap().cut();
    each(&rig, [0], "lb_member_direct{member=\"n2\"}", 0);
    each(&rig, [2], "lb_member_direct{member=\"n0\"}", 0);
    rig.heal_talk();
    each(&rig, [0], "lb_member_direct{member=\"n2\"}", 1);
    rig.one_way(1, 3).unwrap();
    each(&rig, [1], "lb_member_direct{member=\"n3\"}", 0);
    each(&rig, 0..4, &state("whole"), 1);
    assert_eq!([0, 1, 2, 3].map(|proxy| deaths(&rig, proxy)), [0; 4]);
    drop(rig);
}

/// A process that stood still doubts itself before it calls anyone dead, and the others take it back.
#[test]
fn a_stopped_one_doubts_itself_first() {
    let mut rig = fleet(4);
    rig.signal(2, Signal::STOP);
    each(&rig, [0, 1, 3], &status(2, "down"), 1);
    rig.signal(2, Signal::CONT);
    rig.figure_until(2, "lb_members_pauses_total", |n| n >= 1)
        .unwrap_or_else(|fault| panic!("{fault}"));
    each(&rig, 0..4, &state("whole"), 1);
    each(&rig, [2], "lb_members_doubting", 0);
    assert_eq!(deaths(&rig, 2), 0, "it was away, not they");
    sound(rig);
}

/// A tenth lost, doubled, out of order and damaged each: nobody dies by it, and each damaged or doubled one is counted.
#[test]
fn a_bad_network_kills_nobody() {
    let rig = fleet(4);
    rig.set_talk(Way {
        lost: 0.1,
        doubled: 0.1,
        reordered: 0.1,
        corrupted: 0.1,
        ..Way::default()
    });
    for proxy in 0..4 {
        for reason in ["bad-mac", "replayed"] {
            let name = format!("lb_members_refused_total{{reason=\"{reason}\"}}");
            rig.figure_until(proxy, &name, |n| n >= 5)
                .unwrap_or_else(|fault| panic!("{fault}"));
        }
    }
    assert_eq!([0, 1, 2, 3].map(|proxy| deaths(&rig, proxy)), [0; 4]);
    drop(rig);
}

/// All but one are dead, then that one too, and all start again at once.
#[test]
fn all_but_one_and_all_at_once() {
    let mut rig = fleet(4);
    for proxy in 1..4 {
        rig.kill(proxy);
    }
    each(&rig, [0], &state("alone"), 1);
    each(&rig, [0], &may("lend"), 0);
    each(&rig, [0], &may("halt"), 1);
    rig.kill(0);
    for proxy in 0..4 {
        rig.restart(proxy).unwrap_or_else(|fault| panic!("{fault}"));
    }
    each(&rig, 0..4, &state("whole"), 1);
    each(&rig, 1..4, "lb_member_serving{member=\"n0\"}", 1);
    drop(rig);
}

/// While two versions of the roster are about nothing is promoted; keys are changed in three steps with nobody lost.
#[test]
fn rosters_that_differ_and_keys_that_change() {
    let mut rig = fleet(3);
    let version = |setup: &mut Setup| setup.members.as_mut().unwrap().version = 2;
    rig.reload(0, version)
        .unwrap_or_else(|fault| panic!("{fault}"));
    each(&rig, 0..3, &may("promote"), 0);
    each(&rig, [1, 2], "lb_members_roster_differs", 1);
    each(&rig, 0..3, &may("lend"), 1);
    for proxy in 1..3 {
        rig.reload(proxy, |_| {})
            .unwrap_or_else(|fault| panic!("{fault}"));
    }
    each(&rig, 0..3, &may("promote"), 1);
    for (step, keys) in [vec![1, 2], vec![2, 1], vec![2]].into_iter().enumerate() {
        for proxy in 0..3 {
            let keys = keys.clone();
            rig.reload(proxy, move |setup| {
                setup.members.as_mut().unwrap().keys = keys
            })
            .unwrap_or_else(|fault| panic!("{fault}"));
        }
        each(&rig, 0..3, "lb_reloads_ok_total", step as u64 + 2);
    }
    each(&rig, 0..3, &state("whole"), 1);
    let unknown = "lb_members_refused_total{reason=\"unknown-key\"}";
    assert_eq!([0, 1, 2].map(|proxy| figure(&rig, proxy, unknown)), [0; 3]);
    // One that keeps the old key alone is heard by nobody, and hears nobody.
    rig.reload(2, |setup| setup.members.as_mut().unwrap().keys = vec![1])
        .unwrap_or_else(|fault| panic!("{fault}"));
    each(&rig, [2], &state("alone"), 1);
    each(&rig, 0..2, &status(2, "down"), 1);
    assert!(figure(&rig, 0, unknown) > 0);
    drop(rig);
}

/// An upgrade: the heir takes the name over when its elder has ended, and no other misses it in between for good.
#[test]
fn an_heir_goes_on_under_the_name() {
    let mut rig = fleet_of(3, |setup| setup.slack = Duration::from_secs(10));
    let heir = rig.heir(1).unwrap_or_else(|fault| panic!("{fault}"));
    rig.succeed(1, heir)
        .unwrap_or_else(|fault| panic!("{fault}"));
    each(&rig, 0..3, &state("whole"), 1);
    assert_eq!(
        figure(&rig, 0, "lb_members_changes_total{status=\"left\"}"),
        0
    );
    sound(rig);
}
