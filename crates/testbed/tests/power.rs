//! State files across kills, a loss of power and hot restarts, and start-up with damaged or missing state files.

mod common;
use common::turns::{turn, Turn};
use common::{assert_sound, setup, wait_for_answers, SECOND};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use testbed::discovery::name;
use testbed::members::Members;
use testbed::{Setup, Testbed};

const STATE_FILE_SETTINGS: &str = "memory {\n state {folder}/memory\n every 100ms\n}\n";
const EXCLUDED_SERVERS: &str = "lb_record_servers_excluded";
const UNREADABLE: &str = "lb_memory_unread";
const FAILING: &str = "lb_memory_failing";
const LIST_INDEX: &str = "lb_memory_list_index";
/// Time within which an operator's command must be answered, also when the disk fails.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(1);

fn fleet(proxies: usize, adjust: impl FnOnce(&mut Setup)) -> (Testbed, Turn) {
    let turn = turn();
    let mut setup = setup(proxies, 100.0, 60 * SECOND);
    setup.admin = true;
    setup.operators = STATE_FILE_SETTINGS.to_owned();
    adjust(&mut setup);
    let testbed = Testbed::start(setup).unwrap_or_else(|fault| panic!("{fault}"));
    (testbed, turn)
}

/// Starts a fleet and creates the state directories, which operators create, not the proxy; waits until state is saved.
fn with_directories(proxies: usize, adjust: impl FnOnce(&mut Setup)) -> (Testbed, Turn) {
    let (testbed, turn) = fleet(proxies, adjust);
    for proxy in 0..proxies {
        std::fs::create_dir_all(state_folder(&testbed, proxy)).unwrap();
    }
    wait_for_each(&testbed, 0..proxies, FAILING, 0);
    testbed.history.begin();
    (0..proxies).for_each(|proxy| wait_for_metric(&testbed, proxy, LIST_INDEX, |n| n >= 1));
    wait_for_answers(&testbed, 20);
    (testbed, turn)
}

fn state_folder(testbed: &Testbed, proxy: usize) -> PathBuf {
    testbed.folder(proxy).join("memory")
}

fn state_file(testbed: &Testbed, proxy: usize) -> PathBuf {
    state_folder(testbed, proxy).join("memory.state")
}

fn wait_for_metric(testbed: &Testbed, proxy: usize, name: &str, is: impl Fn(u64) -> bool) {
    testbed
        .metric_until(proxy, name, is)
        .unwrap_or_else(|fault| panic!("{fault}"));
}

fn wait_for_each(
    testbed: &Testbed,
    proxies: impl IntoIterator<Item = usize>,
    name: &str,
    value: u64,
) {
    proxies
        .into_iter()
        .for_each(|proxy| wait_for_metric(testbed, proxy, name, |n| n == value));
}

fn metric(testbed: &Testbed, proxy: usize, name: &str) -> u64 {
    let figures = testbed
        .metrics(proxy)
        .unwrap_or_else(|fault| panic!("{fault}"));
    figures.get(name).copied().unwrap_or_default()
}

fn set_excluded(testbed: &Testbed, proxy: usize, server: u32, out: bool) -> String {
    testbed
        .set_excluded(proxy, &name(server), out)
        .unwrap_or_else(|fault| panic!("{fault}"))
}

fn restart(testbed: &mut Testbed, proxy: usize) {
    testbed
        .restart(proxy)
        .unwrap_or_else(|fault| panic!("{fault}"));
}

/// Number of requests that a proxy has served, over all classes.
fn served(testbed: &Testbed, proxy: usize) -> u64 {
    let figures = testbed
        .metrics(proxy)
        .unwrap_or_else(|fault| panic!("{fault}"));
    let of = |(name, n): (&String, &u64)| name.contains("outcome=\"served\"").then_some(*n);
    figures.iter().filter_map(of).sum()
}

fn size(path: &Path) -> u64 {
    std::fs::metadata(path).map_or(0, |m| m.len())
}

/// An exclusion that was acknowledged survives a SIGKILL, repeatedly.
#[test]
fn operators_words_outlive_kills() {
    let (mut testbed, _turn) = with_directories(2, |_| {});
    for round in 0..8 {
        let out = round % 2 == 0;
        let word = if out { "out" } else { "in" };
        assert_eq!(set_excluded(&testbed, 0, 1, out), word);
        if out {
            assert_eq!(set_excluded(&testbed, 0, 4, true), "out");
        }
        testbed.kill(0);
        restart(&mut testbed, 0);
        // Server 4 stays excluded throughout.
        wait_for_each(&testbed, [0], EXCLUDED_SERVERS, if out { 2 } else { 1 });
        assert_eq!(
            (
                metric(&testbed, 0, UNREADABLE),
                metric(&testbed, 1, EXCLUDED_SERVERS)
            ),
            (0, 0)
        );
    }
    wait_for_answers(&testbed, 20);
}

/// After a loss of power discovery returns last: proxies with a state file serve from the saved endpoint list, a proxy
/// without one waits for discovery.
#[test]
fn the_last_list_serves_until_discovery_is_back() {
    let (mut testbed, _turn) = with_directories(3, |setup| setup.known = false);
    (0..3).for_each(|proxy| testbed.proxies[proxy].list.cut());
    (0..3).for_each(|proxy| testbed.kill(proxy));
    std::fs::remove_file(state_file(&testbed, 2)).unwrap();
    (0..3).for_each(|proxy| restart(&mut testbed, proxy));
    let end = Instant::now() + testbed::process::EVENT_TIMEOUT;
    while served(&testbed, 0) < 20 || served(&testbed, 1) < 20 {
        assert!(Instant::now() < end, "{:#?}", testbed.metrics(0));
        wait_for_answers(&testbed, 5);
    }
    assert_eq!(
        (
            served(&testbed, 2),
            metric(&testbed, 2, "lb_record_servers_known")
        ),
        (0, 0)
    );
    (0..3).for_each(|proxy| testbed.proxies[proxy].list.heal());
    wait_for_metric(&testbed, 2, "lb_record_servers_known", |n| n == 6);
    let end = Instant::now() + testbed::process::EVENT_TIMEOUT;
    while served(&testbed, 2) < 20 {
        assert!(Instant::now() < end);
        wait_for_answers(&testbed, 5);
    }
    wait_for_each(&testbed, 0..3, "lb_memory_list_went_back_total", 0);
}

/// Discovery has lost its last changes, so its index is below that of the saved list: the proxy requests the full list,
/// adopts it, and follows later updates.
#[test]
fn a_list_ahead_of_discovery_gives_way() {
    let (mut testbed, _turn) = with_directories(1, |setup| setup.known = false);
    testbed.kill(0);
    let bytes = std::fs::read(state_file(&testbed, 0)).unwrap();
    let (recalled, _) = persistent_state::recover(
        "n0",
        Some(&bytes),
        persistent_state::StartMode::ColdStart {
            platform_list_index: None,
        },
    )
    .unwrap();
    let ahead = persistent_state::SavedList {
        index: 1_000_000,
        ..recalled.list.unwrap()
    };
    std::fs::write(
        state_file(&testbed, 0),
        saved_state("n0", persistent_state::Event::EndpointList(ahead)),
    )
    .unwrap();
    restart(&mut testbed, 0);
    wait_for_each(&testbed, [0], "lb_memory_list_went_back_total", 1);
    testbed
        .history
        .inject_fault(server_model::site::ServerFault::Retire(5));
    wait_for_each(&testbed, [0], "lb_record_servers_known", 5);
    wait_for_metric(&testbed, 0, LIST_INDEX, |n| n < 1_000_000);
}

/// Contents of the state file that a proxy of that name would save after `event`.
fn saved_state(name: &str, event: persistent_state::Event) -> Vec<u8> {
    let mut actions = Vec::new();
    persistent_state::SnapshotScheduler::new(name, Duration::ZERO, None).handle(
        Duration::ZERO,
        event,
        &mut actions,
    );
    match actions.pop() {
        Some(persistent_state::Action::Save(bytes)) => bytes,
        other => panic!("expected a save action, got {other:?}"),
    }
}

/// With a truncated state file, another proxy's state file, or a file in place of the directory, all proxies start, serve
/// and report the fault; another proxy's state file is not overwritten.
#[test]
fn whatever_is_wrong_with_a_memory_all_start() {
    let (mut testbed, _turn) = with_directories(4, |_| {});
    (0..4).for_each(|proxy| _ = set_excluded(&testbed, proxy, 2, true));
    (0..4).for_each(|proxy| testbed.kill(proxy));
    let bytes = std::fs::read(state_file(&testbed, 0)).unwrap();
    std::fs::write(state_file(&testbed, 0), &bytes[..bytes.len() * 2 / 3]).unwrap();
    let others = std::fs::read(state_file(&testbed, 3)).unwrap();
    std::fs::write(state_file(&testbed, 1), &others).unwrap();
    std::fs::remove_dir_all(state_folder(&testbed, 2)).unwrap();
    std::fs::write(state_folder(&testbed, 2), "no directory").unwrap();
    (0..4).for_each(|proxy| restart(&mut testbed, proxy));
    let looks = |testbed: &Testbed, proxy| {
        (
            metric(testbed, proxy, UNREADABLE),
            metric(testbed, proxy, EXCLUDED_SERVERS),
        )
    };
    assert_eq!(
        [0, 1, 2, 3].map(|proxy| looks(&testbed, proxy)),
        [(1, 0), (1, 0), (1, 0), (0, 1)]
    );
    wait_for_each(&testbed, [0, 3], FAILING, 0);
    wait_for_each(&testbed, [1, 2], FAILING, 1);
    assert_eq!(set_excluded(&testbed, 1, 2, true), "out, not kept");
    assert_eq!(
        std::fs::read(state_file(&testbed, 1)).unwrap(),
        others,
        "another proxy's state file must not be overwritten"
    );
    // The truncated file is replaced by a valid one.
    assert_eq!(set_excluded(&testbed, 0, 2, true), "out");
    testbed.kill(0);
    restart(&mut testbed, 0);
    assert_eq!(looks(&testbed, 0), (0, 1));
    wait_for_answers(&testbed, 20);
}

/// When state cannot be written, exclusion commands are answered in time and report that they are not persisted; when
/// writing works again, the exclusion is saved.
#[test]
fn a_disk_that_fails_holds_up_nobody() {
    let (mut testbed, _turn) = with_directories(2, |_| {});
    // Stands in for a full disk, which a test cannot create: the directory is missing, so that no file can be written.
    let (there, away) = (state_folder(&testbed, 0), testbed.folder(0).join("away"));
    std::fs::rename(&there, &away).unwrap();
    let begun = Instant::now();
    assert_eq!(set_excluded(&testbed, 0, 1, true), "out, not kept");
    assert!(begun.elapsed() < COMMAND_TIMEOUT, "{:?}", begun.elapsed());
    wait_for_each(&testbed, [0], FAILING, 1);
    wait_for_answers(&testbed, 20);
    std::fs::rename(&away, &there).unwrap();
    wait_for_each(&testbed, [0], FAILING, 0);
    testbed.kill(0);
    restart(&mut testbed, 0);
    wait_for_each(&testbed, [0], EXCLUDED_SERVERS, 1);
}

/// The saved incarnation lies in the future because the clock was fast when it was saved: the proxy starts with a later
/// incarnation, without a correction by other members.
#[test]
fn a_start_is_later_than_the_last() {
    let (mut testbed, _turn) =
        with_directories(3, |setup| setup.members = Some(Members::default()));
    wait_for_each(&testbed, 0..3, "lb_members_state{state=\"whole\"}", 1);
    testbed.kill(0);
    let far = 4_000_000_000_000;
    std::fs::write(
        state_file(&testbed, 0),
        saved_state("n0", persistent_state::Event::Incarnation(far)),
    )
    .unwrap();
    restart(&mut testbed, 0);
    wait_for_each(&testbed, 0..3, "lb_members_state{state=\"whole\"}", 1);
    assert_eq!(metric(&testbed, 0, "lb_start_ms"), far + 1);
    // Also after a kill, without relying on the other members.
    testbed.kill(0);
    restart(&mut testbed, 0);
    wait_for_each(&testbed, 0..3, "lb_members_state{state=\"whole\"}", 1);
    assert_eq!(
        (
            metric(&testbed, 0, "lb_start_ms"),
            metric(&testbed, 0, "lb_members_renewals_total")
        ),
        (far + 2, 0)
    );
}

/// In a hot restart the old process saves state until it ends, then the new process does: exclusions set at either persist.
#[test]
fn an_upgrade_hands_the_memory_on() {
    let (mut testbed, _turn) = with_directories(1, |_| {});
    assert_eq!(set_excluded(&testbed, 0, 0, true), "out");
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
    wait_for_each(&testbed, [0], EXCLUDED_SERVERS, 1);
    wait_for_each(&testbed, [0], FAILING, 0);
    assert_eq!(set_excluded(&testbed, 0, 1, true), "out");
    testbed.kill(0);
    restart(&mut testbed, 0);
    wait_for_each(&testbed, [0], EXCLUDED_SERVERS, 2);
}

/// All proxies are killed right after an exclusion and restart in another order, while a server has crashed: no invariant is
/// violated.
#[test]
fn a_loss_of_all_breaks_no_rule() {
    let (mut testbed, _turn) = with_directories(3, |setup| {
        setup.known = false;
        setup.clients.length = 6 * SECOND;
    });
    assert_eq!(set_excluded(&testbed, 1, 3, true), "out");
    assert!(size(&state_file(&testbed, 1)) > 0);
    (0..3).for_each(|proxy| testbed.kill(proxy));
    testbed
        .history
        .inject_fault(server_model::site::ServerFault::Crash(5));
    for proxy in [2, 0, 1] {
        restart(&mut testbed, proxy);
    }
    wait_for_answers(&testbed, 20);
    wait_for_each(&testbed, [1], EXCLUDED_SERVERS, 1);
    assert_sound(testbed);
}

/// Measures the latency of an exclusion command, with a state file and without.
#[test]
#[ignore = "a figure of the results"]
fn a_yes_takes() {
    for memory in [false, true] {
        let (testbed, _turn) = match memory {
            true => with_directories(1, |_| {}),
            false => fleet(1, |setup| setup.operators = String::new()),
        };
        let mut took: Vec<u128> = (0..400)
            .map(|n| {
                let begun = Instant::now();
                set_excluded(&testbed, 0, 1, n % 2 == 0);
                begun.elapsed().as_micros()
            })
            .collect();
        took.sort_unstable();
        println!(
            "memory {memory}: p50 {} us, p99 {} us, most {} us",
            took[200], took[396], took[399]
        );
    }
}
