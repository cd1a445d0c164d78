//! Rollouts of configuration versions in a fleet: good and bad versions, partitions, kills and missing files. Metrics are
//! read from the admin addresses; operator commands go through the program's command line.

mod common;
use common::turns::{turn, Turn};
use common::{setup, wait_for_answers, SECOND};
use invariant_checkers::versions::Checker;
use rollout::{ClassCounts, Proposal, Readiness, TrafficCounts, Vote};
use std::cell::RefCell;
use std::ops::{Deref, DerefMut};
use std::process::Command;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use testbed::fake_member::FakeMember;
use testbed::members::Members;
use testbed::{process, Testbed};

const OPERATORS: &str = "control {\n socket {folder}/control\n}\nrollout {\n candidates {folder}/candidates\n \
                         state {folder}/candidates/state\n soak 2s\n dark 1min\n period 200ms\n window-least 3\n \
                         stage-least 10\n}\n";
const GOOD_CANDIDATE: &str = "include ../operators.conf\ninclude extra.part\n";
/// The file that `GOOD_CANDIDATE` includes.
const INCLUDED_PART: &str = "class any {\n tries 3\n}\n";
const BAD_CANDIDATE: &str = "include ../operators.conf\nroute none {\n class any\n refuse 1s\n}\n";

/// Longer than the lifetime of any vote in these fleets.
const VOTE_LIFETIME: Duration = Duration::from_secs(10);

/// A testbed with the checker of the versions that its proxies run.
struct Fleet {
    testbed: Testbed,
    versions: RefCell<Checker>,
    from: Instant,
    /// Declared after the testbed, so that it is released after the testbed has ended.
    _turn: Turn,
}

impl Deref for Fleet {
    type Target = Testbed;

    fn deref(&self) -> &Testbed {
        &self.testbed
    }
}

impl DerefMut for Fleet {
    fn deref_mut(&mut self) -> &mut Testbed {
        &mut self.testbed
    }
}

impl Fleet {
    /// Checks all running proxies twice and asserts that no rollout invariant was violated.
    fn is_sound(&self) {
        let alive = |proxy: &usize| self.testbed.proxies[*proxy].process.is_some();
        let mut versions = self.versions.borrow_mut();
        for _ in 0..2 {
            let proxies = (0..self.testbed.proxies.len()).filter(alive);
            let looked = self
                .testbed
                .check_versions(proxies, self.from.elapsed(), &mut versions);
            looked.unwrap_or_else(|fault| panic!("{fault}"));
        }
        assert_eq!(versions.broken.count, 0, "{:?}", versions.broken.first);
    }
}

/// Starts `proxies` proxies, the last two in region `west`, the others in `east`. All hosts have the candidate file.
fn fleet(proxies: usize, candidate: &str) -> Fleet {
    fleet_with_settings(proxies, candidate, OPERATORS)
}

fn fleet_with_settings(proxies: usize, candidate: &str, operators: &str) -> Fleet {
    let turn = turn();
    let mut setup = setup(proxies, 150.0, 60 * SECOND);
    setup.admin = true;
    setup.operators = operators.to_owned();
    let region = |proxy| if proxy + 2 < proxies { "east" } else { "west" }.to_owned();
    setup.members = Some(Members {
        regions: (0..proxies).map(region).collect(),
        ..Members::default()
    });
    let named = |name: &str| {
        let of = (0..proxies).filter(|proxy| region(*proxy) == name);
        (
            name.to_owned(),
            of.map(|proxy| format!("n{proxy}")).collect(),
        )
    };
    let versions = RefCell::new(Checker::new(
        vec![named("east"), named("west")],
        VOTE_LIFETIME,
    ));
    let testbed = Testbed::start(setup).unwrap_or_else(|fault| panic!("{fault}"));
    let testbed = Fleet {
        testbed,
        versions,
        from: Instant::now(),
        _turn: turn,
    };
    (0..proxies).for_each(|proxy| write_candidate(&testbed, proxy, candidate));
    wait_for_each(&testbed, 0..proxies, "lb_members_state{state=\"whole\"}", 1);
    testbed.history.begin();
    wait_for_answers(&testbed, 20);
    testbed
}

fn write_candidate(testbed: &Testbed, proxy: usize, candidate: &str) {
    let folder = testbed.folder(proxy).join("candidates");
    std::fs::create_dir_all(folder.join("state")).unwrap();
    std::fs::write(folder.join("extra.part"), INCLUDED_PART).unwrap();
    std::fs::write(folder.join("new.conf"), candidate).unwrap();
}

/// Runs `leverproxy rollout` against a proxy and returns its output.
fn rollout_command(testbed: &Testbed, proxy: usize, words: &[&str]) -> String {
    let program = process::built("leverproxy").unwrap_or_else(|fault| panic!("{fault}"));
    let socket = testbed.folder(proxy).join("control");
    let out = Command::new(program)
        .arg("rollout")
        .args(words)
        .arg("--socket")
        .arg(socket)
        .output()
        .unwrap();
    String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr)
}

fn propose(testbed: &Testbed, proxy: usize) {
    propose_file(testbed, proxy, "new.conf");
}

fn propose_file(testbed: &Testbed, proxy: usize, name: &str) {
    let file = testbed.folder(proxy).join("candidates").join(name);
    let answer = rollout_command(testbed, proxy, &["propose", &file.display().to_string()]);
    assert!(answer.starts_with("rollout proposed"), "{answer}");
}

/// Waits until the metric `name` of each given proxy equals `value`, then checks all running proxies.
fn wait_for_each(
    testbed: &Fleet,
    proxies: impl IntoIterator<Item = usize>,
    name: &str,
    value: u64,
) {
    for proxy in proxies {
        let seen = testbed.metric_until(proxy, name, |n| n == value);
        let status = || rollout_command(testbed, proxy, &["status"]);
        seen.unwrap_or_else(|fault| panic!("{fault}\n{}", status()));
    }
    testbed.is_sound();
}

fn metric(testbed: &Testbed, proxy: usize, name: &str) -> u64 {
    let figures = testbed
        .metrics(proxy)
        .unwrap_or_else(|fault| panic!("{fault}"));
    figures.get(name).copied().unwrap_or_default()
}

fn phase(name: &str) -> String {
    format!("lb_rollout_phase{{phase=\"{name}\"}}")
}

const NEW: &str = "lb_rollout_new";
const REGION: &str = "lb_rollout_region";

/// A good version is promoted from the canary through both regions to the whole fleet, and an operator can roll it back.
#[test]
fn a_good_version_reaches_all_and_goes_back_in_order() {
    let testbed = fleet(4, GOOD_CANDIDATE);
    propose(&testbed, 2);
    wait_for_each(&testbed, 0..1, NEW, 1);
    wait_for_each(&testbed, 0..4, &phase("whole"), 1);
    wait_for_each(&testbed, 0..4, NEW, 1);
    rollout_command(&testbed, 1, &["return"]);
    wait_for_each(&testbed, 0..4, &phase("returned"), 1);
    wait_for_each(&testbed, 0..4, NEW, 0);
}

/// A version that refuses a class is halted while only the canary runs it; the same version cannot simply be proposed again.
#[test]
fn a_version_that_refuses_a_class_stays_in_its_first_region() {
    let testbed = fleet(4, BAD_CANDIDATE);
    propose(&testbed, 0);
    wait_for_each(&testbed, 0..4, &phase("halted"), 1);
    wait_for_each(&testbed, 0..4, NEW, 0);
    let ran = (2..4)
        .map(|proxy| metric(&testbed, proxy, "lb_reloads_ok_total"))
        .sum::<u64>();
    assert_eq!(ran, 0, "the second region must not run the halted version");
    let file = testbed
        .folder(3)
        .join("candidates/new.conf")
        .display()
        .to_string();
    assert!(rollout_command(&testbed, 3, &["propose", &file]).contains("halted in epoch 1"));
}

/// A minority does not promote during a partition, and continues after healing.
#[test]
fn a_minority_does_not_promote() {
    let testbed = fleet(5, GOOD_CANDIDATE);
    propose(&testbed, 4);
    wait_for_each(&testbed, 0..5, &phase("canary"), 1);
    testbed.partition(&[&[0, 1, 2], &[3, 4]]);
    wait_for_each(&testbed, 0..3, REGION, 1);
    wait_for_each(&testbed, 3..5, "lb_members_state{state=\"minority\"}", 1);
    assert_eq!((metric(&testbed, 3, NEW), metric(&testbed, 4, NEW)), (0, 0));
    testbed.heal_datagrams();
    wait_for_each(&testbed, 0..5, &phase("whole"), 1);
}

/// A halt issued in the minority overrides the majority's promotion as soon as the majority receives it.
#[test]
fn a_halt_on_one_side_wins_over_votes_on_the_other() {
    let testbed = fleet(5, GOOD_CANDIDATE);
    propose(&testbed, 0);
    wait_for_each(&testbed, 0..5, &phase("canary"), 1);
    testbed.partition(&[&[0, 1, 2], &[3, 4]]);
    rollout_command(&testbed, 3, &["halt"]);
    wait_for_each(&testbed, 0..3, REGION, 1);
    wait_for_each(&testbed, 0..2, NEW, 1);
    testbed.heal_datagrams();
    wait_for_each(&testbed, 0..5, &phase("halted"), 1);
    wait_for_each(&testbed, 0..5, NEW, 0);
}

/// A host with a missing candidate file and one with an invalid file block the promotion to their region and report the
/// reason; the promotion continues when both have the file.
#[test]
fn a_file_that_a_host_cannot_run_stops_there() {
    let testbed = fleet(4, GOOD_CANDIDATE);
    std::fs::remove_file(testbed.folder(2).join("candidates/new.conf")).unwrap();
    std::fs::write(
        testbed.folder(3).join("candidates/extra.part"),
        "route broken {\n",
    )
    .unwrap();
    propose(&testbed, 0);
    wait_for_each(&testbed, 0..4, "lb_rollout_cannot_run", 2);
    wait_for_each(&testbed, 0..2, REGION, 1);
    let status = rollout_command(&testbed, 0, &["status"]);
    assert!(
        status.contains("has no file of the hash") && status.contains("fault(s)"),
        "{status}"
    );
    write_candidate(&testbed, 2, GOOD_CANDIDATE);
    write_candidate(&testbed, 3, GOOD_CANDIDATE);
    wait_for_each(&testbed, 0..4, &phase("whole"), 1);
}

/// All proxies are killed in mid-stage and restarted: the rollout continues from the state files.
#[test]
fn a_restart_of_all_goes_on() {
    let mut testbed = fleet(4, GOOD_CANDIDATE);
    propose(&testbed, 1);
    wait_for_each(&testbed, 0..4, REGION, 1);
    (0..4).for_each(|proxy| testbed.kill(proxy));
    (0..4).for_each(|proxy| {
        testbed
            .restart(proxy)
            .unwrap_or_else(|fault| panic!("{fault}"))
    });
    wait_for_each(&testbed, 0..4, &phase("whole"), 1);
    wait_for_each(&testbed, 0..4, NEW, 1);
}

/// A proxy that was down when the version was halted does not run it after its return.
#[test]
fn a_late_one_does_not_run_what_was_halted() {
    let mut testbed = fleet(4, GOOD_CANDIDATE);
    propose(&testbed, 0);
    wait_for_each(&testbed, 0..1, NEW, 1);
    testbed.kill(0);
    rollout_command(&testbed, 1, &["halt"]);
    wait_for_each(&testbed, 1..4, &phase("halted"), 1);
    testbed.restart(0).unwrap_or_else(|fault| panic!("{fault}"));
    wait_for_each(&testbed, 0..4, &phase("halted"), 1);
    assert_eq!(metric(&testbed, 0, "lb_reloads_ok_total"), 0);
}

/// Each side of a partition proposes a version; after healing one is superseded on all proxies, and the other reaches all.
#[test]
fn of_two_proposals_at_once_one_gives_way() {
    let testbed = fleet(4, GOOD_CANDIDATE);
    for proxy in 0..4 {
        let other = format!("# another one\n{GOOD_CANDIDATE}");
        std::fs::write(testbed.folder(proxy).join("candidates/other.conf"), other).unwrap();
    }
    testbed.partition(&[&[0, 1], &[2, 3]]);
    wait_for_each(&testbed, 0..4, "lb_members_state{state=\"minority\"}", 1);
    propose(&testbed, 0);
    propose_file(&testbed, 3, "other.conf");
    wait_for_each(&testbed, [1], &phase("proposed"), 1);
    wait_for_each(&testbed, [2], &phase("proposed"), 1);
    assert_eq!(
        (0..4)
            .map(|proxy| metric(&testbed, proxy, NEW))
            .sum::<u64>(),
        0,
        "neither side has a quorum"
    );
    testbed.heal_datagrams();
    wait_for_each(&testbed, 0..4, &phase("whole"), 1);
    wait_for_each(&testbed, 0..4, NEW, 1);
    let runs = |proxy| {
        rollout_command(&testbed, proxy, &["status"])
            .lines()
            .nth(1)
            .map(str::to_owned)
    };
    assert!(
        (1..4).all(|proxy| runs(proxy) == runs(0)),
        "all proxies must run the same version"
    );
    let gave_way = (0..4)
        .map(|proxy| metric(&testbed, proxy, "lb_rollout_superseded_total"))
        .sum::<u64>();
    assert!(gave_way >= 2, "{gave_way}");
}

/// A stopped voter does not vote: its region waits for it, and continues when it is back.
#[test]
fn a_stopped_voter_is_waited_for() {
    let mut testbed = fleet(4, GOOD_CANDIDATE);
    propose(&testbed, 3);
    wait_for_each(&testbed, 0..1, NEW, 1);
    testbed.signal(1, rustix::process::Signal::STOP);
    let down = "lb_member{member=\"n1\",status=\"down\"}";
    for proxy in [0, 2, 3] {
        testbed
            .metric_until(proxy, down, |n| n == 1)
            .unwrap_or_else(|fault| panic!("{fault}"));
    }
    assert_eq!((metric(&testbed, 2, NEW), metric(&testbed, 3, NEW)), (0, 0));
    testbed.signal(1, rustix::process::Signal::CONT);
    wait_for_each(&testbed, 0..4, &phase("whole"), 1);
}

/// When a proxy on the new version is unreachable for `dark`, the rollout is halted on all proxies, and the proxy does not run the version again.
#[test]
fn one_that_goes_dark_on_the_new_version_ends_it() {
    let mut testbed = fleet_with_settings(
        4,
        GOOD_CANDIDATE,
        &OPERATORS
            .replace("soak 2s", "soak 1min")
            .replace("dark 1min", "dark 2s"),
    );
    propose(&testbed, 2);
    wait_for_each(&testbed, 0..1, NEW, 1);
    testbed.kill(0);
    wait_for_each(&testbed, 1..4, &phase("halted"), 1);
    testbed.restart(0).unwrap_or_else(|fault| panic!("{fault}"));
    wait_for_each(&testbed, 0..4, &phase("halted"), 1);
    wait_for_each(&testbed, 0..4, NEW, 0);
}

/// A version that crashes its proxy as soon as it runs is halted, and no other proxy runs it.
#[test]
fn a_version_that_kills_its_proxy_at_once_is_halted() {
    let mut testbed = fleet_with_settings(
        4,
        GOOD_CANDIDATE,
        &OPERATORS.replace("soak 2s", "soak 1min"),
    );
    propose(&testbed, 2);
    // If the first crash comes before others have received the canary's start of the version, it takes another crash to halt.
    for deaths in 0.. {
        assert!(deaths < 4, "{}", rollout_command(&testbed, 1, &["status"]));
        let end = Instant::now() + process::EVENT_TIMEOUT;
        while metric(&testbed, 0, NEW) == 0 && metric(&testbed, 1, &phase("halted")) == 0 {
            assert!(
                Instant::now() < end,
                "{}",
                rollout_command(&testbed, 1, &["status"])
            );
        }
        if metric(&testbed, 1, &phase("halted")) == 1 {
            break;
        }
        testbed.kill(0);
        testbed.restart(0).unwrap_or_else(|fault| panic!("{fault}"));
    }
    wait_for_each(&testbed, 0..4, &phase("halted"), 1);
    wait_for_each(&testbed, 0..4, NEW, 0);
    assert_eq!(
        (1..4)
            .map(|proxy| metric(&testbed, proxy, "lb_reloads_ok_total"))
            .sum::<u64>(),
        0
    );
}

/// Planned restarts in mid-stage do not count as crashes.
#[test]
fn restarts_in_order_do_not_halt() {
    let mut testbed =
        fleet_with_settings(4, GOOD_CANDIDATE, &OPERATORS.replace("soak 2s", "soak 4s"));
    propose(&testbed, 2);
    for planned in 1..=2 {
        wait_for_each(&testbed, 0..1, NEW, 1);
        if planned == 1 {
            testbed.signal(0, rustix::process::Signal::TERM);
            assert_eq!(testbed.proxies[0].process.as_mut().unwrap().wait(), Some(0));
            testbed.history.proxy_down(0);
            testbed.restart(0).unwrap_or_else(|fault| panic!("{fault}"));
        } else {
            // Hot restart: the new process has the control socket while the old process still serves.
            let mut new_process = testbed
                .start_new_process(0)
                .unwrap_or_else(|fault| panic!("{fault}"));
            new_process
                .wait_for_line(": serving on ", 0)
                .unwrap_or_else(|fault| panic!("{fault}"));
            assert_eq!(
                testbed
                    .replace_process(0, new_process)
                    .unwrap_or_else(|fault| panic!("{fault}")),
                Some(0)
            );
        }
        let end = Instant::now() + process::EVENT_TIMEOUT;
        let told = format!("member n0 restarted as planned {planned} times");
        while !rollout_command(&testbed, 1, &["status"]).contains(&told) {
            assert!(
                Instant::now() < end,
                "{}",
                rollout_command(&testbed, 1, &["status"])
            );
        }
    }
    wait_for_each(&testbed, 0..4, &phase("whole"), 1);
}

/// While rosters differ nothing is promoted; the rollout continues when all proxies have the new roster.
#[test]
fn a_roster_that_changes_during_a_rollout_holds_it() {
    let mut testbed =
        fleet_with_settings(4, GOOD_CANDIDATE, &OPERATORS.replace("soak 2s", "soak 4s"));
    propose(&testbed, 2);
    wait_for_each(&testbed, 0..1, NEW, 1);
    let version = |setup: &mut testbed::Setup| setup.members.as_mut().unwrap().version = 2;
    testbed
        .reload(1, version)
        .unwrap_or_else(|fault| panic!("{fault}"));
    for proxy in [0, 2, 3] {
        wait_for_each(&testbed, [proxy], "lb_members_roster_differs", 1);
        wait_for_each(&testbed, [proxy], "lb_members_allowed{act=\"promote\"}", 0);
    }
    assert_eq!((metric(&testbed, 2, NEW), metric(&testbed, 3, NEW)), (0, 0));
    for proxy in [0, 2, 3] {
        testbed
            .reload(proxy, |_| {})
            .unwrap_or_else(|fault| panic!("{fault}"));
    }
    wait_for_each(&testbed, 0..4, "lb_members_allowed{act=\"promote\"}", 1);
    wait_for_each(&testbed, 0..4, &phase("whole"), 1);
}

/// Kinds of the gossiped facts in which proxies announce proposals, votes and traffic counts.
const PROPOSAL: u8 = 20;
const VOTE: u8 = 21;
const TRAFFIC_COUNTS: u8 = 23;
/// One hour, by which the fake member's clock is ahead.
const AHEAD_MS: u64 = 3_600_000;

/// Kills a proxy and replaces it by a fake member under the testbed's control; `ahead`: milliseconds by which its clock is
/// fast.
fn fake_member(testbed: &mut Fleet, proxy: usize, ahead: u64) -> FakeMember {
    testbed.kill(proxy);
    let clock = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64;
    let fake_member = testbed
        .fake_member(proxy, clock + ahead)
        .unwrap_or_else(|fault| panic!("{fault}"));
    fake_member
        .wait_until_complete()
        .unwrap_or_else(|fault| panic!("{fault}"));
    fake_member
}

fn encode<T: serde::Serialize>(what: &T) -> Vec<u8> {
    postcard::to_extend(what, vec![1]).unwrap()
}

fn read<T: serde::de::DeserializeOwned>(body: &[u8]) -> Option<T> {
    postcard::from_bytes(body.get(1..)?).ok()
}

/// Until `until` holds, publishes votes for all stages, follows the others' stage, and reports that the version loses no requests.
fn publish_false_reports(
    testbed: &Fleet,
    fake_member: &FakeMember,
    mut until: impl FnMut(&Fleet) -> bool,
) {
    let proposal = fake_member.wait_for_fact(PROPOSAL, |fact| read::<Proposal>(&fact.body));
    let Proposal {
        epoch,
        hash,
        proposer,
        order,
        ..
    } = proposal.unwrap_or_else(|fault| panic!("{fault}"));
    let votes = order.len() as u8 + 2;
    let end = Instant::now() + process::EVENT_TIMEOUT;
    let mut asked = 0;
    while !until(testbed) {
        assert!(
            Instant::now() < end,
            "{}",
            rollout_command(testbed, 2, &["status"])
        );
        asked += 20;
        let words = fake_member
            .facts(VOTE)
            .into_iter()
            .filter_map(|fact| read::<Vote>(&fact.body));
        let reached = words
            .filter(|word| word.epoch == epoch)
            .map(|word| word.quorums_seen)
            .max()
            .unwrap_or(0);
        let new = reached > 0;
        let proposer = proposer.clone();
        let word = Vote {
            epoch,
            hash,
            proposer,
            votes,
            quorums_seen: reached,
            runs_new: new,
            readiness: Readiness::Ready,
        };
        let total = ClassCounts {
            class: 0,
            offered: asked,
            lost: 0,
        };
        let counts = TrafficCounts {
            epoch,
            runs_new: new,
            generation: u32::from(new),
            total,
            classes: Vec::new(),
        };
        fake_member.publish(VOTE, encode(&word), VOTE_LIFETIME);
        fake_member.publish(TRAFFIC_COUNTS, encode(&counts), VOTE_LIFETIME);
        wait_for_answers(testbed, 20);
    }
}

/// Proposes a bad version while proxy `liar` reports no losses, until it is halted everywhere; asserts that the last three proxies never ran it.
fn halted_in_spite_of(liar: usize) -> Fleet {
    let mut testbed = fleet(5, BAD_CANDIDATE);
    let fake_member = fake_member(&mut testbed, liar, 0);
    propose(&testbed, 2);
    let halted = phase("halted");
    publish_false_reports(&testbed, &fake_member, |testbed| {
        metric(testbed, 2, &halted) == 1
    });
    wait_for_each(&testbed, (0..5).filter(|proxy| *proxy != liar), &halted, 1);
    assert_eq!(
        [2, 3, 4].map(|proxy| metric(&testbed, proxy, "lb_reloads_ok_total")),
        [0; 3]
    );
    testbed
}

/// A voter that votes for all stages at once and reports no losses for a bad version cannot promote it: the canary's own
/// counts halt it.
#[test]
fn a_voter_that_lies_well_promotes_nothing() {
    let testbed = halted_in_spite_of(1);
    assert!(
        metric(&testbed, 0, "lb_reloads_ok_total") > 0,
        "the canary must have run the version"
    );
}

/// A canary that reports no losses hides the harm while it is the only evidence: the version is halted in the first region.
#[test]
fn a_canary_that_lies_well_is_found_out_in_its_region() {
    let testbed = halted_in_spite_of(0);
    assert!(
        metric(&testbed, 1, "lb_reloads_ok_total") > 0,
        "the next proxy of the region must have run the version"
    );
}

/// A host's clock was an hour fast and was then corrected, so that its new incarnation is older than its former one; this
/// recurs in mid-stage. Each time the proxy takes a newer incarnation, and the restart does not halt the rollout.
#[test]
fn a_clock_that_was_set_back_does_not_halt() {
    let mut testbed =
        fleet_with_settings(4, GOOD_CANDIDATE, &OPERATORS.replace("soak 2s", "soak 4s"));
    drop(fake_member(&mut testbed, 0, AHEAD_MS));
    let renewed = "lb_members_renewals_total";
    testbed.restart(0).unwrap_or_else(|fault| panic!("{fault}"));
    wait_for_each(&testbed, [0], renewed, 1);
    wait_for_each(&testbed, 0..4, "lb_members_state{state=\"whole\"}", 1);
    propose(&testbed, 2);
    wait_for_each(&testbed, 0..1, NEW, 1);
    testbed.kill(0);
    testbed.restart(0).unwrap_or_else(|fault| panic!("{fault}"));
    wait_for_each(&testbed, [0], renewed, 1);
    wait_for_each(&testbed, 0..4, &phase("whole"), 1);
    wait_for_each(&testbed, 0..4, NEW, 1);
}
