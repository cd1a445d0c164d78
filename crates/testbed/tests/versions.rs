//! Compatibility of this build with an earlier one, whose path is in `LEVERPROXY_EARLIER`: mixed fleets, upgrades and
//! downgrades of single proxies, and rollouts led by either build. `lab/versions.sh` builds the earlier one and runs these
//! tests.

mod common;
use common::loans::{Fleet, LOANS};
use common::{assert_sound, setup, wait_for_answers, SECOND};
use testbed::datagrams::DatagramFaults;
use testbed::discovery::name;
use testbed::members::Members;
use testbed::{process, Setup, Testbed};

use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

const VARIABLE: &str = "LEVERPROXY_EARLIER";
const ROLLOUT: &str = "control {\n socket {folder}/control\n}\nrollout {\n candidates {folder}/candidates\n \
                       state {folder}/candidates/state\n soak 2s\n dark 1min\n period 200ms\n window-least 3\n \
                       stage-least 10\n}\n";
const CANDIDATE: &str = "include ../operators.conf\nclass any {\n tries 3\n}\n";

fn earlier() -> PathBuf {
    let path = std::env::var_os(VARIABLE).map(PathBuf::from);
    let path = path.unwrap_or_else(|| {
        panic!("{VARIABLE} is not set to the path of an earlier build: run lab/versions.sh")
    });
    path.canonicalize()
        .unwrap_or_else(|e| panic!("{VARIABLE}, {}: {e}", path.display()))
}

fn current() -> PathBuf {
    let path = process::built("leverproxy").unwrap_or_else(|fault| panic!("{fault}"));
    path.canonicalize().unwrap()
}

/// Starts a fleet whose proxies alternate between both builds; `first`: program of the first proxy. Returns when all members receive each other.
fn fleet(proxies: usize, first: PathBuf, adjust: impl FnOnce(&mut Setup)) -> Testbed {
    let second = if first == current() {
        earlier()
    } else {
        current()
    };
    let mut setup = setup(proxies, 60.0, 4 * SECOND);
    setup.admin = true;
    setup.programs = vec![first.clone(), second.clone()];
    setup.members = Some(Members::default());
    // Long enough for an upgrade on a busy machine.
    setup.slack = Duration::from_secs(10);
    adjust(&mut setup);
    let testbed = Testbed::start(setup).unwrap_or_else(|fault| panic!("{fault}"));
    wait_for_each(&testbed, 0..proxies, WHOLE, 1);
    for proxy in 0..proxies {
        assert_eq!(
            running_program(&testbed, proxy),
            [&first, &second][proxy % 2].clone()
        );
    }
    testbed.history.begin();
    testbed
}

/// Path of the program that the proxy's process runs.
fn running_program(testbed: &Testbed, proxy: usize) -> PathBuf {
    let number = testbed.proxies[proxy].process.as_ref().unwrap().number();
    std::fs::read_link(format!("/proc/{number}/exe")).unwrap()
}

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

const WHOLE: &str = "lb_members_state{state=\"whole\"}";
const NEW: &str = "lb_rollout_new";

fn status(member: usize, status: &str) -> String {
    format!("lb_member{{member=\"n{member}\",status=\"{status}\"}}")
}

fn phase(name: &str) -> String {
    format!("lb_rollout_phase{{phase=\"{name}\"}}")
}

/// Number of messages and facts that any of these proxies could not read.
fn unreadable_messages(testbed: &Testbed, proxies: usize) -> u64 {
    let of = |proxy| {
        let figures = testbed
            .metrics(proxy)
            .unwrap_or_else(|fault| panic!("{fault}"));
        let reasons = [
            "newer",
            "malformed",
            "malformed-inside",
            "imposter",
            "other-kind",
        ];
        let refused =
            reasons.map(|reason| format!("lb_members_refused_total{{reason=\"{reason}\"}}"));
        let names = refused
            .iter()
            .map(String::as_str)
            .chain(["lb_rollout_malformed_total"]);
        names.filter_map(|name| figures.get(name)).sum::<u64>()
    };
    (0..proxies).map(of).sum()
}

/// Restarts a killed proxy with the other build.
fn restart_as(testbed: &mut Testbed, proxy: usize, program: PathBuf) {
    testbed.set_program(proxy, program.clone());
    testbed
        .restart(proxy)
        .unwrap_or_else(|fault| panic!("{fault}"));
    assert_eq!(running_program(testbed, proxy), program);
}

/// Hot-restarts the proxy with the other build.
fn replace_by(testbed: &mut Testbed, proxy: usize, program: PathBuf) {
    testbed.set_program(proxy, program.clone());
    let mut new_process = testbed
        .start_new_process(proxy)
        .unwrap_or_else(|fault| panic!("{fault}"));
    new_process
        .wait_for_line(": serving on ", 0)
        .unwrap_or_else(|fault| panic!("{fault}"));
    let code = testbed
        .replace_process(proxy, new_process)
        .unwrap_or_else(|fault| panic!("{fault}"));
    assert_eq!(code, Some(0), "the old process must exit with code 0");
    assert_eq!(running_program(testbed, proxy), program);
}

/// Both builds exchange messages, both sides of a partition detect it, and a killed proxy returns with the other build.
#[test]
#[ignore = "needs an earlier build: lab/versions.sh"]
fn members_of_both_builds_know_each_other() {
    let mut testbed = fleet(5, earlier(), |_| {});
    testbed.partition(&[&[0, 1], &[2, 3, 4]]);
    wait_for_each(&testbed, 0..2, "lb_members_state{state=\"minority\"}", 1);
    wait_for_each(&testbed, 2..5, "lb_members_state{state=\"degraded\"}", 1);
    testbed.heal_datagrams();
    wait_for_each(&testbed, 0..5, WHOLE, 1);
    for (proxy, program) in [(0, current()), (1, earlier()), (1, current())] {
        testbed.kill(proxy);
        wait_for_each(
            &testbed,
            (0..5).filter(|other| *other != proxy),
            &status(proxy, "down"),
            1,
        );
        restart_as(&mut testbed, proxy, program);
        wait_for_each(&testbed, 0..5, WHOLE, 1);
        wait_for_each(
            &testbed,
            (0..5).filter(|other| *other != proxy),
            &format!("lb_member_serving{{member=\"n{proxy}\"}}"),
            1,
        );
    }
    assert_eq!(unreadable_messages(&testbed, 5), 0);
    assert_sound(testbed);
}

/// On a network that corrupts, duplicates and loses datagrams, neither build declares the other down.
#[test]
#[ignore = "needs an earlier build: lab/versions.sh"]
fn a_bad_network_between_builds_kills_nobody() {
    let testbed = fleet(4, earlier(), |_| {});
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
    let deaths = |proxy| metric(&testbed, proxy, "lb_members_changes_total{status=\"down\"}");
    assert_eq!((0..4).map(deaths).sum::<u64>(), 0);
    assert_sound(testbed);
}

/// One proxy is upgraded and downgraded while clients are served. The excluded record server is known only from the inherited state.
#[test]
#[ignore = "needs an earlier build: lab/versions.sh"]
fn an_upgrade_and_the_way_back_lose_nothing() {
    for (first, other) in [(earlier(), current()), (current(), earlier())] {
        let mut testbed = fleet(3, first.clone(), |setup| setup.clients.length = 8 * SECOND);
        wait_for_answers(&testbed, 20);
        testbed
            .set_excluded(0, &name(0), true)
            .unwrap_or_else(|fault| panic!("{fault}"));
        for program in [other, first] {
            replace_by(&mut testbed, 0, program);
            wait_for_each(&testbed, [0], "lb_record_servers_excluded", 1);
            wait_for_each(&testbed, 0..3, WHOLE, 1);
            wait_for_answers(&testbed, 20);
        }
        assert_eq!(
            metric(&testbed, 1, "lb_members_changes_total{status=\"left\"}"),
            0,
            "no member may be declared down"
        );
        assert_eq!(unreadable_messages(&testbed, 3), 0);
        assert_sound(testbed);
    }
}

/// Two regions of two proxies, each with one proxy of either build; all hosts have the candidate file.
fn rollout_fleet(first: PathBuf) -> Testbed {
    let testbed = fleet(4, first, |setup| {
        setup.clients.length = 90 * SECOND;
        setup.clients.requests_per_s = 150.0;
        setup.operators = ROLLOUT.to_owned();
        let regions = ["east", "east", "west", "west"].map(str::to_owned).into();
        setup.members = Some(Members {
            regions,
            ..Members::default()
        });
    });
    for proxy in 0..4 {
        let folder = testbed.folder(proxy).join("candidates");
        std::fs::create_dir_all(folder.join("state")).unwrap();
        std::fs::write(folder.join("new.conf"), CANDIDATE).unwrap();
    }
    wait_for_answers(&testbed, 20);
    testbed
}

/// Runs a `rollout` command with the program that the proxy runs.
fn rollout_command(testbed: &Testbed, proxy: usize, words: &[&str]) -> String {
    let socket = testbed.folder(proxy).join("control");
    let out = Command::new(running_program(testbed, proxy))
        .arg("rollout")
        .args(words)
        .arg("--socket")
        .arg(socket)
        .output();
    let out = out.unwrap();
    String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr)
}

fn propose(testbed: &Testbed, proxy: usize) {
    let file = testbed.folder(proxy).join("candidates/new.conf");
    let answer = rollout_command(testbed, proxy, &["propose", &file.display().to_string()]);
    assert!(answer.starts_with("rollout proposed"), "{answer}");
}

/// A rollout is proposed by a proxy of one build, runs on it first and then on all proxies; a proxy of the other build rolls it back.
fn promote_and_roll_back(first: PathBuf) {
    let testbed = rollout_fleet(first);
    propose(&testbed, 0);
    wait_for_each(&testbed, 0..1, NEW, 1);
    wait_for_each(&testbed, 0..4, &phase("whole"), 1);
    wait_for_each(&testbed, 0..4, NEW, 1);
    rollout_command(&testbed, 3, &["return"]);
    wait_for_each(&testbed, 0..4, &phase("returned"), 1);
    wait_for_each(&testbed, 0..4, NEW, 0);
    assert_eq!(unreadable_messages(&testbed, 4), 0);
}

#[test]
#[ignore = "needs an earlier build: lab/versions.sh"]
fn a_rollout_led_by_the_earlier_build_reaches_all() {
    promote_and_roll_back(earlier());
}

#[test]
#[ignore = "needs an earlier build: lab/versions.sh"]
fn a_rollout_led_by_this_build_reaches_all() {
    promote_and_roll_back(current());
}

/// A rollout led by one build is halted by the other: the canary rolls back, and a proxy that was down then never runs it.
fn halt_by_other_build(first: PathBuf) {
    let mut testbed = rollout_fleet(first);
    propose(&testbed, 2);
    wait_for_each(&testbed, 0..1, NEW, 1);
    testbed.kill(2);
    rollout_command(&testbed, 3, &["halt"]);
    wait_for_each(&testbed, [0, 1, 3], &phase("halted"), 1);
    wait_for_each(&testbed, [0, 1, 3], NEW, 0);
    testbed.restart(2).unwrap_or_else(|fault| panic!("{fault}"));
    wait_for_each(&testbed, 0..4, &phase("halted"), 1);
    assert_eq!(metric(&testbed, 2, "lb_reloads_ok_total"), 0);
    assert_eq!(unreadable_messages(&testbed, 4), 0);
}

#[test]
#[ignore = "needs an earlier build: lab/versions.sh"]
fn a_halt_by_this_build_is_heeded_by_the_earlier() {
    halt_by_other_build(earlier());
}

#[test]
#[ignore = "needs an earlier build: lab/versions.sh"]
fn a_halt_by_the_earlier_build_is_heeded_by_this() {
    halt_by_other_build(current());
}

/// All proxies are killed in mid-stage and restart with the other build: the rollout continues from the state files of the former build.
#[test]
#[ignore = "needs an earlier build: lab/versions.sh"]
fn a_rollout_goes_on_from_what_the_other_build_kept() {
    let mut testbed = rollout_fleet(earlier());
    propose(&testbed, 1);
    wait_for_each(&testbed, 0..4, "lb_rollout_region", 1);
    (0..4).for_each(|proxy| testbed.kill(proxy));
    for proxy in 0..4 {
        restart_as(
            &mut testbed,
            proxy,
            [current(), earlier()][proxy % 2].clone(),
        );
    }
    wait_for_each(&testbed, 0..4, &phase("whole"), 1);
    wait_for_each(&testbed, 0..4, NEW, 1);
    assert_eq!(
        metric(&testbed, 0, "lb_rollout_epoch"),
        1,
        "the rollout must be the same"
    );
    assert_eq!(unreadable_messages(&testbed, 4), 0);
}

/// Loans across both builds: each build lends, a killed proxy continues from its state file with the other build, and all
/// debts together stay within one line.
#[test]
#[ignore = "needs an earlier build: lab/versions.sh"]
fn loans_are_made_across_both_builds() {
    let mut fleet = Fleet::start(4, |setup| setup.programs = vec![earlier(), current()]);
    fleet.surge(true);
    fleet.wait_for_loans(0..4, 5);
    for (proxy, program) in [(0, current()), (1, earlier())] {
        fleet.kill(proxy);
        fleet.testbed.set_program(proxy, program.clone());
        fleet.restart(proxy);
        assert_eq!(running_program(&fleet.testbed, proxy), program);
        fleet.until([proxy], "lb_loans_founded", |n| n == 1);
        fleet.until([proxy], LOANS, |n| n >= 5);
    }
    fleet.settle();
    assert_eq!(unreadable_messages(&fleet.testbed, 4), 0);
}
