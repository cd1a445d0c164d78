//! New versions of the operators' file in fleets of several processes: what good ones, bad ones, cuts, deaths and missing
//! files come to. All is read from second addresses; operators speak through the program's own words.

mod common;
use common::turns::{turn, Turn};
use common::{answered, setup, SECOND};
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
const GOOD: &str = "include ../operators.conf\ninclude extra.part\n";
/// What it includes.
const EXTRA: &str = "class any {\n tries 3\n}\n";
const BAD: &str = "include ../operators.conf\nroute none {\n class any\n refuse 1s\n}\n";

/// Longer than any vote of these fleets holds.
const VOTES_LAST: Duration = Duration::from_secs(10);

/// A testbed, and what its proxies have told of versions.
struct Fleet {
    testbed: Testbed,
    versions: RefCell<Checker>,
    from: Instant,
    /// After the testbed.
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
    /// No rule of rollouts is broken, as far as two looks at all that live show.
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

/// So many proxies: the first ones are in the first region, the last two in the second. All have the candidate.
fn fleet(proxies: usize, candidate: &str) -> Fleet {
    fleet_by(proxies, candidate, OPERATORS)
}

fn fleet_by(proxies: usize, candidate: &str, operators: &str) -> Fleet {
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
    let versions = RefCell::new(Checker::new(vec![named("east"), named("west")], VOTES_LAST));
    let testbed = Testbed::start(setup).unwrap_or_else(|fault| panic!("{fault}"));
    let testbed = Fleet {
        testbed,
        versions,
        from: Instant::now(),
        _turn: turn,
    };
    (0..proxies).for_each(|proxy| place(&testbed, proxy, candidate));
    each(&testbed, 0..proxies, "lb_members_state{state=\"whole\"}", 1);
    testbed.history.begin();
    answered(&testbed, 20);
    testbed
}

fn place(testbed: &Testbed, proxy: usize, candidate: &str) {
    let folder = testbed.folder(proxy).join("candidates");
    std::fs::create_dir_all(folder.join("state")).unwrap();
    std::fs::write(folder.join("extra.part"), EXTRA).unwrap();
    std::fs::write(folder.join("new.conf"), candidate).unwrap();
}

/// What an operator says to a proxy.
fn say(testbed: &Testbed, proxy: usize, words: &[&str]) -> String {
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
    let answer = say(testbed, proxy, &["propose", &file.display().to_string()]);
    assert!(answer.starts_with("rollout proposed"), "{answer}");
}

/// Until it is so for each; then all are looked at.
fn each(testbed: &Fleet, proxies: impl IntoIterator<Item = usize>, name: &str, value: u64) {
    for proxy in proxies {
        let seen = testbed.metric_until(proxy, name, |n| n == value);
        let status = || say(testbed, proxy, &["status"]);
        seen.unwrap_or_else(|fault| panic!("{fault}\n{}", status()));
    }
    testbed.is_sound();
}

fn figure(testbed: &Testbed, proxy: usize, name: &str) -> u64 {
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

/// A good version goes through the canary and both regions to the whole, and back when an operator wants.
#[test]
fn a_good_version_reaches_all_and_goes_back_in_order() {
    let testbed = fleet(4, GOOD);
    propose(&testbed, 2);
    each(&testbed, 0..1, NEW, 1);
    each(&testbed, 0..4, &phase("whole"), 1);
    each(&testbed, 0..4, NEW, 1);
    say(&testbed, 1, &["return"]);
    each(&testbed, 0..4, &phase("returned"), 1);
    each(&testbed, 0..4, NEW, 0);
}

/// One that refuses a class is halted while only the canary runs it; it is not proposed again unless an operator insists.
#[test]
fn a_version_that_refuses_a_class_stays_in_its_first_region() {
    let testbed = fleet(4, BAD);
    propose(&testbed, 0);
    each(&testbed, 0..4, &phase("halted"), 1);
    each(&testbed, 0..4, NEW, 0);
    let ran = (2..4)
        .map(|proxy| figure(&testbed, proxy, "lb_reloads_ok_total"))
        .sum::<u64>();
    assert_eq!(ran, 0, "the second region never ran it");
    let file = testbed
        .folder(3)
        .join("candidates/new.conf")
        .display()
        .to_string();
    assert!(say(&testbed, 3, &["propose", &file]).contains("halted in epoch 1"));
}

/// The smaller side of a cut goes no further, and on when it has healed.
#[test]
fn a_minority_does_not_promote() {
    let testbed = fleet(5, GOOD);
    propose(&testbed, 4);
    each(&testbed, 0..5, &phase("canary"), 1);
    testbed.partition(&[&[0, 1, 2], &[3, 4]]);
    each(&testbed, 0..3, REGION, 1);
    each(&testbed, 3..5, "lb_members_state{state=\"minority\"}", 1);
    assert_eq!((figure(&testbed, 3, NEW), figure(&testbed, 4, NEW)), (0, 0));
    testbed.heal_datagrams();
    each(&testbed, 0..5, &phase("whole"), 1);
}

/// A halt that a minority says while the majority promotes wins as soon as it is heard.
#[test]
fn a_halt_on_one_side_wins_over_votes_on_the_other() {
    let testbed = fleet(5, GOOD);
    propose(&testbed, 0);
    each(&testbed, 0..5, &phase("canary"), 1);
    testbed.partition(&[&[0, 1, 2], &[3, 4]]);
    say(&testbed, 3, &["halt"]);
    each(&testbed, 0..3, REGION, 1);
    each(&testbed, 0..2, NEW, 1);
    testbed.heal_datagrams();
    each(&testbed, 0..5, &phase("halted"), 1);
    each(&testbed, 0..5, NEW, 0);
}

/// A host on which the file is missing, and one on which it is faulty, stop the promotion to their region and say so; it
/// goes on when both have it.
#[test]
fn a_file_that_a_host_cannot_run_stops_there() {
    let testbed = fleet(4, GOOD);
    std::fs::remove_file(testbed.folder(2).join("candidates/new.conf")).unwrap();
    std::fs::write(
        testbed.folder(3).join("candidates/extra.part"),
        "route broken {\n",
    )
    .unwrap();
    propose(&testbed, 0);
    each(&testbed, 0..4, "lb_rollout_cannot_run", 2);
    each(&testbed, 0..2, REGION, 1);
    let status = say(&testbed, 0, &["status"]);
    assert!(
        status.contains("has no file of the hash") && status.contains("fault(s)"),
        "{status}"
    );
    place(&testbed, 2, GOOD);
    place(&testbed, 3, GOOD);
    each(&testbed, 0..4, &phase("whole"), 1);
}

/// All die in mid-stage and start again: the rollout goes on from what was kept.
#[test]
fn a_restart_of_all_goes_on() {
    let mut testbed = fleet(4, GOOD);
    propose(&testbed, 1);
    each(&testbed, 0..4, REGION, 1);
    (0..4).for_each(|proxy| testbed.kill(proxy));
    (0..4).for_each(|proxy| {
        testbed
            .restart(proxy)
            .unwrap_or_else(|fault| panic!("{fault}"))
    });
    each(&testbed, 0..4, &phase("whole"), 1);
    each(&testbed, 0..4, NEW, 1);
}

/// One that was dead while the version was halted does not run it when it comes back.
#[test]
fn a_late_one_does_not_run_what_was_halted() {
    let mut testbed = fleet(4, GOOD);
    propose(&testbed, 0);
    each(&testbed, 0..1, NEW, 1);
    testbed.kill(0);
    say(&testbed, 1, &["halt"]);
    each(&testbed, 1..4, &phase("halted"), 1);
    testbed.restart(0).unwrap_or_else(|fault| panic!("{fault}"));
    each(&testbed, 0..4, &phase("halted"), 1);
    assert_eq!(figure(&testbed, 0, "lb_reloads_ok_total"), 0);
}

/// Two are proposed on the sides of a cut; when it heals one gives way on all, and the other reaches all.
#[test]
fn of_two_proposals_at_once_one_gives_way() {
    let testbed = fleet(4, GOOD);
    for proxy in 0..4 {
        let other = format!("# another one\n{GOOD}");
        std::fs::write(testbed.folder(proxy).join("candidates/other.conf"), other).unwrap();
    }
    testbed.partition(&[&[0, 1], &[2, 3]]);
    each(&testbed, 0..4, "lb_members_state{state=\"minority\"}", 1);
    propose(&testbed, 0);
    propose_file(&testbed, 3, "other.conf");
    each(&testbed, [1], &phase("proposed"), 1);
    each(&testbed, [2], &phase("proposed"), 1);
    assert_eq!(
        (0..4)
            .map(|proxy| figure(&testbed, proxy, NEW))
            .sum::<u64>(),
        0,
        "no side has a quorum"
    );
    testbed.heal_datagrams();
    each(&testbed, 0..4, &phase("whole"), 1);
    each(&testbed, 0..4, NEW, 1);
    let runs = |proxy| {
        say(&testbed, proxy, &["status"])
            .lines()
            .nth(1)
            .map(str::to_owned)
    };
    assert!(
        (1..4).all(|proxy| runs(proxy) == runs(0)),
        "all run the same one"
    );
    let gave_way = (0..4)
        .map(|proxy| figure(&testbed, proxy, "lb_rollout_superseded_total"))
        .sum::<u64>();
    assert!(gave_way >= 2, "{gave_way}");
}

/// A voter that stands still is no vote: its region waits for it, and goes on when it is back.
#[test]
fn a_stopped_voter_is_waited_for() {
    let mut testbed = fleet(4, GOOD);
    propose(&testbed, 3);
    each(&testbed, 0..1, NEW, 1);
    testbed.signal(1, rustix::process::Signal::STOP);
    let down = "lb_member{member=\"n1\",status=\"down\"}";
    for proxy in [0, 2, 3] {
        testbed
            .metric_until(proxy, down, |n| n == 1)
            .unwrap_or_else(|fault| panic!("{fault}"));
    }
    assert_eq!((figure(&testbed, 2, NEW), figure(&testbed, 3, NEW)), (0, 0));
    testbed.signal(1, rustix::process::Signal::CONT);
    each(&testbed, 0..4, &phase("whole"), 1);
}

/// A proxy that runs the new version and is not heard for `dark` ends the rollout on all, and does not run it again.
#[test]
fn one_that_goes_dark_on_the_new_version_ends_it() {
    let mut testbed = fleet_by(
        4,
        GOOD,
        &OPERATORS
            .replace("soak 2s", "soak 1min")
            .replace("dark 1min", "dark 2s"),
    );
    propose(&testbed, 2);
    each(&testbed, 0..1, NEW, 1);
    testbed.kill(0);
    each(&testbed, 1..4, &phase("halted"), 1);
    testbed.restart(0).unwrap_or_else(|fault| panic!("{fault}"));
    each(&testbed, 0..4, &phase("halted"), 1);
    each(&testbed, 0..4, NEW, 0);
}

/// A version that kills its proxy as soon as it runs, whoever has heard of that: it is halted, and no other runs it.
#[test]
fn a_version_that_kills_its_proxy_at_once_is_halted() {
    let mut testbed = fleet_by(4, GOOD, &OPERATORS.replace("soak 2s", "soak 1min"));
    propose(&testbed, 2);
    // One that nobody had heard of yet when it died first dies once more.
    for deaths in 0.. {
        assert!(deaths < 4, "{}", say(&testbed, 1, &["status"]));
        let end = Instant::now() + process::EVENT_TIMEOUT;
        while figure(&testbed, 0, NEW) == 0 && figure(&testbed, 1, &phase("halted")) == 0 {
            assert!(Instant::now() < end, "{}", say(&testbed, 1, &["status"]));
        }
        if figure(&testbed, 1, &phase("halted")) == 1 {
            break;
        }
        testbed.kill(0);
        testbed.restart(0).unwrap_or_else(|fault| panic!("{fault}"));
    }
    each(&testbed, 0..4, &phase("halted"), 1);
    each(&testbed, 0..4, NEW, 0);
    assert_eq!(
        (1..4)
            .map(|proxy| figure(&testbed, proxy, "lb_reloads_ok_total"))
            .sum::<u64>(),
        0
    );
}

/// Restarts that operators ask for, in the middle of a stage, are no crashes.
#[test]
fn restarts_in_order_do_not_halt() {
    let mut testbed = fleet_by(4, GOOD, &OPERATORS.replace("soak 2s", "soak 4s"));
    propose(&testbed, 2);
    for planned in 1..=2 {
        each(&testbed, 0..1, NEW, 1);
        if planned == 1 {
            testbed.signal(0, rustix::process::Signal::TERM);
            assert_eq!(testbed.proxies[0].process.as_mut().unwrap().wait(), Some(0));
            testbed.history.proxy_down(0);
            testbed.restart(0).unwrap_or_else(|fault| panic!("{fault}"));
        } else {
            // An upgrade: the new process has the control socket while its old process still serves.
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
        while !say(&testbed, 1, &["status"]).contains(&told) {
            assert!(Instant::now() < end, "{}", say(&testbed, 1, &["status"]));
        }
    }
    each(&testbed, 0..4, &phase("whole"), 1);
}

/// While rosters differ nothing is promoted; when all have the new one the rollout goes on.
#[test]
fn a_roster_that_changes_during_a_rollout_holds_it() {
    let mut testbed = fleet_by(4, GOOD, &OPERATORS.replace("soak 2s", "soak 4s"));
    propose(&testbed, 2);
    each(&testbed, 0..1, NEW, 1);
    let version = |setup: &mut testbed::Setup| setup.members.as_mut().unwrap().version = 2;
    testbed
        .reload(1, version)
        .unwrap_or_else(|fault| panic!("{fault}"));
    for proxy in [0, 2, 3] {
        each(&testbed, [proxy], "lb_members_roster_differs", 1);
        each(&testbed, [proxy], "lb_members_allowed{act=\"promote\"}", 0);
    }
    assert_eq!((figure(&testbed, 2, NEW), figure(&testbed, 3, NEW)), (0, 0));
    for proxy in [0, 2, 3] {
        testbed
            .reload(proxy, |_| {})
            .unwrap_or_else(|fault| panic!("{fault}"));
    }
    each(&testbed, 0..4, "lb_members_allowed{act=\"promote\"}", 1);
    each(&testbed, 0..4, &phase("whole"), 1);
}

/// What a proxy says of rollouts, by the kinds of facts that it says it in.
const PROPOSAL: u8 = 20;
const WORD: u8 = 21;
const COUNTS: u8 = 23;
/// An hour in the future.
const AHEAD_MS: u64 = 3_600_000;

/// A proxy whose process has been killed, and that the testbed speaks for; `ahead`: by a clock that is so many milliseconds fast.
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

fn said<T: serde::Serialize>(what: &T) -> Vec<u8> {
    postcard::to_extend(what, vec![1]).unwrap()
}

fn read<T: serde::de::DeserializeOwned>(body: &[u8]) -> Option<T> {
    postcard::from_bytes(body.get(1..)?).ok()
}

/// Votes for all stages, goes along with the others, and says that the version loses nothing, while `until` does not hold.
fn lie(testbed: &Fleet, fake_member: &FakeMember, mut until: impl FnMut(&Fleet) -> bool) {
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
        assert!(Instant::now() < end, "{}", say(testbed, 2, &["status"]));
        asked += 20;
        let words = fake_member
            .facts(WORD)
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
        fake_member.say(WORD, said(&word), VOTES_LAST);
        fake_member.say(COUNTS, said(&counts), VOTES_LAST);
        answered(testbed, 20);
    }
}

/// A bad version, while that proxy lies well until it is halted everywhere; none of the last three ever ran it.
fn halted_in_spite_of(liar: usize) -> Fleet {
    let mut testbed = fleet(5, BAD);
    let fake_member = fake_member(&mut testbed, liar, 0);
    propose(&testbed, 2);
    let halted = phase("halted");
    lie(&testbed, &fake_member, |testbed| {
        figure(testbed, 2, &halted) == 1
    });
    each(&testbed, (0..5).filter(|proxy| *proxy != liar), &halted, 1);
    assert_eq!(
        [2, 3, 4].map(|proxy| figure(&testbed, proxy, "lb_reloads_ok_total")),
        [0; 3]
    );
    testbed
}

/// A voter that votes for all at once and says that a bad version loses nothing moves nobody: the canary's own seconds halt it.
#[test]
fn a_voter_that_lies_well_promotes_nothing() {
    let testbed = halted_in_spite_of(1);
    assert!(
        figure(&testbed, 0, "lb_reloads_ok_total") > 0,
        "the canary ran it"
    );
}

/// A canary that lies well hides the harm as long as it is all of the evidence: it ends in the first region.
#[test]
fn a_canary_that_lies_well_is_found_out_in_its_region() {
    let testbed = halted_in_spite_of(0);
    assert!(
        figure(&testbed, 1, "lb_reloads_ok_total") > 0,
        "the next of the region ran it"
    );
}

/// A host whose clock was an hour fast and was set right starts behind itself, and once more in mid-stage: each time it goes on
/// under a later start, and its restart is one like any other.
#[test]
fn a_clock_that_was_set_back_does_not_halt() {
    let mut testbed = fleet_by(4, GOOD, &OPERATORS.replace("soak 2s", "soak 4s"));
    drop(fake_member(&mut testbed, 0, AHEAD_MS));
    let renewed = "lb_members_renewals_total";
    testbed.restart(0).unwrap_or_else(|fault| panic!("{fault}"));
    each(&testbed, [0], renewed, 1);
    each(&testbed, 0..4, "lb_members_state{state=\"whole\"}", 1);
    propose(&testbed, 2);
    each(&testbed, 0..1, NEW, 1);
    testbed.kill(0);
    testbed.restart(0).unwrap_or_else(|fault| panic!("{fault}"));
    each(&testbed, [0], renewed, 1);
    each(&testbed, 0..4, &phase("whole"), 1);
    each(&testbed, 0..4, NEW, 1);
}
