//! What outlives a kill or a loss of power: several processes with a memory, and what can be wrong with it.

mod common;
use common::turns::{turn, Turn};
use common::{answered, setup, sound, SECOND};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use testbed::discovery::name;
use testbed::members::Members;
use testbed::{Rig, Setup};

const MEMORY: &str = "memory {\n state {folder}/memory\n every 100ms\n}\n";
const OUT: &str = "lb_record_servers_excluded";
const UNREAD: &str = "lb_memory_unread";
const FAILING: &str = "lb_memory_failing";
const LIST: &str = "lb_memory_list_index";
/// An answer to an operator is owed within this.
const OWED: Duration = Duration::from_secs(1);

fn fleet(proxies: usize, adjust: impl FnOnce(&mut Setup)) -> (Rig, Turn) {
    let turn = turn();
    let mut setup = setup(proxies, 100.0, 60 * SECOND);
    setup.admin = true;
    setup.operators = MEMORY.to_owned();
    adjust(&mut setup);
    let rig = Rig::start(setup).unwrap_or_else(|fault| panic!("{fault}"));
    (rig, turn)
}

/// The directory is the operators' to make, as its rights are.
fn with_directories(proxies: usize, adjust: impl FnOnce(&mut Setup)) -> (Rig, Turn) {
    let (rig, turn) = fleet(proxies, adjust);
    for proxy in 0..proxies {
        std::fs::create_dir_all(folder(&rig, proxy)).unwrap();
    }
    each(&rig, 0..proxies, FAILING, 0);
    rig.truth.begin();
    (0..proxies).for_each(|proxy| until(&rig, proxy, LIST, |n| n >= 1));
    answered(&rig, 20);
    (rig, turn)
}

fn folder(rig: &Rig, proxy: usize) -> PathBuf {
    rig.folder(proxy).join("memory")
}

fn file(rig: &Rig, proxy: usize) -> PathBuf {
    folder(rig, proxy).join("memory.state")
}

fn until(rig: &Rig, proxy: usize, name: &str, is: impl Fn(u64) -> bool) {
    rig.figure_until(proxy, name, is)
        .unwrap_or_else(|fault| panic!("{fault}"));
}

fn each(rig: &Rig, proxies: impl IntoIterator<Item = usize>, name: &str, value: u64) {
    proxies
        .into_iter()
        .for_each(|proxy| until(rig, proxy, name, |n| n == value));
}

fn figure(rig: &Rig, proxy: usize, name: &str) -> u64 {
    let figures = rig.figures(proxy).unwrap_or_else(|fault| panic!("{fault}"));
    figures.get(name).copied().unwrap_or_default()
}

fn hand(rig: &Rig, proxy: usize, server: u32, out: bool) -> String {
    rig.hand(proxy, &name(server), out)
        .unwrap_or_else(|fault| panic!("{fault}"))
}

fn restart(rig: &mut Rig, proxy: usize) {
    rig.restart(proxy).unwrap_or_else(|fault| panic!("{fault}"));
}

/// What a proxy has served, of all classes.
fn served(rig: &Rig, proxy: usize) -> u64 {
    let figures = rig.figures(proxy).unwrap_or_else(|fault| panic!("{fault}"));
    let of = |(name, n): (&String, &u64)| name.contains("outcome=\"served\"").then_some(*n);
    figures.iter().filter_map(of).sum()
}

fn size(path: &Path) -> u64 {
    std::fs::metadata(path).map_or(0, |m| m.len())
}

/// A yes is a promise: whatever was said last before a kill -9 holds after it, however often.
#[test]
fn operators_words_outlive_kills() {
    let (mut rig, _turn) = with_directories(2, |_| {});
    for round in 0..8 {
        let out = round % 2 == 0;
        let word = if out { "out" } else { "in" };
        assert_eq!(hand(&rig, 0, 1, out), word);
        if out {
            assert_eq!(hand(&rig, 0, 4, true), "out");
        }
        rig.kill(0);
        restart(&mut rig, 0);
        // The fourth stays out throughout.
        each(&rig, [0], OUT, if out { 2 } else { 1 });
        assert_eq!((figure(&rig, 0, UNREAD), figure(&rig, 1, OUT)), (0, 0));
    }
    answered(&rig, 20);
}

/// The power is lost, and discovery is the last to be back: who has a memory serves, who has none and was handed nothing waits.
#[test]
fn the_last_list_serves_until_discovery_is_back() {
    let (mut rig, _turn) = with_directories(3, |setup| setup.known = false);
    (0..3).for_each(|proxy| rig.proxies[proxy].list.cut());
    (0..3).for_each(|proxy| rig.kill(proxy));
    std::fs::remove_file(file(&rig, 2)).unwrap();
    (0..3).for_each(|proxy| restart(&mut rig, proxy));
    let end = Instant::now() + testbed::process::PATIENCE;
    while served(&rig, 0) < 20 || served(&rig, 1) < 20 {
        assert!(Instant::now() < end, "{:#?}", rig.figures(0));
        answered(&rig, 5);
    }
    assert_eq!(
        (served(&rig, 2), figure(&rig, 2, "lb_record_servers_known")),
        (0, 0)
    );
    (0..3).for_each(|proxy| rig.proxies[proxy].list.heal());
    until(&rig, 2, "lb_record_servers_known", |n| n == 6);
    let end = Instant::now() + testbed::process::PATIENCE;
    while served(&rig, 2) < 20 {
        assert!(Instant::now() < end);
        answered(&rig, 5);
    }
    each(&rig, 0..3, "lb_memory_list_went_back_total", 0);
}

/// Discovery has lost its own last changes and counts below the list that is kept: it is asked for the whole, its word counts, and
/// what it tells next is heard.
#[test]
fn a_list_ahead_of_discovery_gives_way() {
    let (mut rig, _turn) = with_directories(1, |setup| setup.known = false);
    rig.kill(0);
    let bytes = std::fs::read(file(&rig, 0)).unwrap();
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
        file(&rig, 0),
        kept("n0", persistent_state::Event::EndpointList(ahead)),
    )
    .unwrap();
    restart(&mut rig, 0);
    each(&rig, [0], "lb_memory_list_went_back_total", 1);
    rig.truth.trouble(server_model::site::Trouble::Retire(5));
    each(&rig, [0], "lb_record_servers_known", 5);
    until(&rig, 0, LIST, |n| n < 1_000_000);
}

/// What a proxy of that name would keep.
fn kept(name: &str, event: persistent_state::Event) -> Vec<u8> {
    let mut actions = Vec::new();
    persistent_state::SnapshotScheduler::new(name, Duration::ZERO, None).handle(
        Duration::ZERO,
        event,
        &mut actions,
    );
    match actions.pop() {
        Some(persistent_state::Action::Save(bytes)) => bytes,
        other => panic!("{other:?} is kept"),
    }
}

/// A file that is torn, another proxy's, and a directory that is none: all start and serve, each says so, and the other's memory is left
/// alone.
#[test]
fn whatever_is_wrong_with_a_memory_all_start() {
    let (mut rig, _turn) = with_directories(4, |_| {});
    (0..4).for_each(|proxy| _ = hand(&rig, proxy, 2, true));
    (0..4).for_each(|proxy| rig.kill(proxy));
    let bytes = std::fs::read(file(&rig, 0)).unwrap();
    std::fs::write(file(&rig, 0), &bytes[..bytes.len() * 2 / 3]).unwrap();
    let others = std::fs::read(file(&rig, 3)).unwrap();
    std::fs::write(file(&rig, 1), &others).unwrap();
    std::fs::remove_dir_all(folder(&rig, 2)).unwrap();
    std::fs::write(folder(&rig, 2), "no directory").unwrap();
    (0..4).for_each(|proxy| restart(&mut rig, proxy));
    let looks = |rig: &Rig, proxy| (figure(rig, proxy, UNREAD), figure(rig, proxy, OUT));
    assert_eq!(
        [0, 1, 2, 3].map(|proxy| looks(&rig, proxy)),
        [(1, 0), (1, 0), (1, 0), (0, 1)]
    );
    each(&rig, [0, 3], FAILING, 0);
    each(&rig, [1, 2], FAILING, 1);
    assert_eq!(hand(&rig, 1, 2, true), "out, not kept");
    assert_eq!(
        std::fs::read(file(&rig, 1)).unwrap(),
        others,
        "the other's memory is left alone"
    );
    // What was torn is written anew.
    assert_eq!(hand(&rig, 0, 2, true), "out");
    rig.kill(0);
    restart(&mut rig, 0);
    assert_eq!(looks(&rig, 0), (0, 1));
    answered(&rig, 20);
}

/// A disk that takes nothing any more: operators are answered in time and told so; when it takes again, their word is kept.
#[test]
fn a_disk_that_fails_holds_up_nobody() {
    let (mut rig, _turn) = with_directories(2, |_| {});
    // In the place of a full disk, which no test can make for itself: nothing can be put into the directory.
    let (there, away) = (folder(&rig, 0), rig.folder(0).join("away"));
    std::fs::rename(&there, &away).unwrap();
    let begun = Instant::now();
    assert_eq!(hand(&rig, 0, 1, true), "out, not kept");
    assert!(begun.elapsed() < OWED, "{:?}", begun.elapsed());
    each(&rig, [0], FAILING, 1);
    answered(&rig, 20);
    std::fs::rename(&away, &there).unwrap();
    each(&rig, [0], FAILING, 0);
    rig.kill(0);
    restart(&mut rig, 0);
    each(&rig, [0], OUT, 1);
}

/// A proxy whose memory says that it ran in the future, since its clock was fast then: it starts behind nobody, and no other has to
/// tell it so.
#[test]
fn a_start_is_later_than_the_last() {
    let (mut rig, _turn) = with_directories(3, |setup| setup.members = Some(Members::default()));
    each(&rig, 0..3, "lb_members_state{state=\"whole\"}", 1);
    rig.kill(0);
    let far = 4_000_000_000_000;
    std::fs::write(
        file(&rig, 0),
        kept("n0", persistent_state::Event::Incarnation(far)),
    )
    .unwrap();
    restart(&mut rig, 0);
    each(&rig, 0..3, "lb_members_state{state=\"whole\"}", 1);
    assert_eq!(figure(&rig, 0, "lb_start_ms"), far + 1);
    // Over a kill too, though nobody else has to remember it.
    rig.kill(0);
    restart(&mut rig, 0);
    each(&rig, 0..3, "lb_members_state{state=\"whole\"}", 1);
    assert_eq!(
        (
            figure(&rig, 0, "lb_start_ms"),
            figure(&rig, 0, "lb_members_renewals_total")
        ),
        (far + 2, 0)
    );
}

/// In an upgrade the elder writes until it ends, then the heir: what either was told is kept.
#[test]
fn an_upgrade_hands_the_memory_on() {
    let (mut rig, _turn) = with_directories(1, |_| {});
    assert_eq!(hand(&rig, 0, 0, true), "out");
    let mut heir = rig.heir(0).unwrap_or_else(|fault| panic!("{fault}"));
    heir.line(": serving on ", 0)
        .unwrap_or_else(|fault| panic!("{fault}"));
    assert_eq!(
        rig.succeed(0, heir)
            .unwrap_or_else(|fault| panic!("{fault}")),
        Some(0)
    );
    each(&rig, [0], OUT, 1);
    each(&rig, [0], FAILING, 0);
    assert_eq!(hand(&rig, 0, 1, true), "out");
    rig.kill(0);
    restart(&mut rig, 0);
    each(&rig, [0], OUT, 2);
}

/// All die at once and start in another order, while operators' words are fresh and a server has gone meanwhile: no rule is broken.
#[test]
fn a_loss_of_all_breaks_no_rule() {
    let (mut rig, _turn) = with_directories(3, |setup| {
        setup.known = false;
        setup.clients.length = 6 * SECOND;
    });
    assert_eq!(hand(&rig, 1, 3, true), "out");
    assert!(size(&file(&rig, 1)) > 0);
    (0..3).for_each(|proxy| rig.kill(proxy));
    rig.truth.trouble(server_model::site::Trouble::Die(5));
    for proxy in [2, 0, 1] {
        restart(&mut rig, proxy);
    }
    answered(&rig, 20);
    each(&rig, [1], OUT, 1);
    sound(rig);
}

/// How long operators wait for a yes, with a memory and without.
#[test]
#[ignore = "a figure of the results"]
fn a_yes_takes() {
    for memory in [false, true] {
        let (rig, _turn) = match memory {
            true => with_directories(1, |_| {}),
            false => fleet(1, |setup| setup.operators = String::new()),
        };
        let mut took: Vec<u128> = (0..400)
            .map(|n| {
                let begun = Instant::now();
                hand(&rig, 0, 1, n % 2 == 0);
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
