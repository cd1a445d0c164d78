//! Detection of site losses: each proxy decides by itself, from its own requests and probes.

mod common;
use common::turns::turn;
use common::{assert_sound, setup, start, wait_for_answers, SECOND};
use rustix::process::Signal;
use server_model::catalog;
use server_model::site::{ServerFault, ServerIndex};
use std::process::Command;
use std::time::Instant;
use testbed::link::Flow;
use testbed::process::{built, EVENT_TIMEOUT};
use testbed::{Setup, Testbed};

const SITES: &str =
    "control {\n socket {folder}/control\n}\nsites {\n lost-after 300ms\n return-after 1s\n dwell 500ms\n}\n";
const PROXIES: usize = 4;
/// Maximum number of answers of the whole fleet until all proxies have detected a loss: 10 s at 200 per second.
const MAX_ANSWERS_UNTIL_DETECTED: u64 = 2_000;

/// Two groups of four servers over two sites; both primaries are in the first site.
fn two_sites(length: u64) -> Setup {
    let mut setup = setup(PROXIES, 200.0, length);
    setup.site.group.members = 4;
    (setup.site.group.give_up, setup.site.group.take_over) = (300_000, 300_000);
    // Two seconds remain after the slack is subtracted.
    setup
        .clients
        .classes
        .iter_mut()
        .for_each(|kind| (kind.latency_objective, kind.deadline) = (SECOND, 7 * SECOND));
    setup.operators = SITES.into();
    setup.admin = true;
    setup
}

fn servers_at(testbed: &Testbed, place: u16) -> Vec<ServerIndex> {
    servers_of_groups_at(testbed, 2, place)
}

fn servers_of_groups_at(testbed: &Testbed, groups: u32, place: u16) -> Vec<ServerIndex> {
    let inner = testbed.history.lock();
    (0..groups)
        .flat_map(|g| inner.site.members(g).to_vec())
        .filter(|s| inner.site.place(*s) == place)
        .collect()
}

fn state(place: u16, state: &str) -> String {
    format!("lb_site_state{{site=\"p{place}\",state=\"{state}\"}}")
}

fn metric(testbed: &Testbed, proxy: usize, name: &str) -> u64 {
    let figures = testbed
        .metrics(proxy)
        .unwrap_or_else(|fault| panic!("{fault}"));
    *figures.get(name).unwrap_or_else(|| panic!("no {name}"))
}

fn headroom(place: u16) -> String {
    format!("lb_site_headroom{{site=\"p{place}\"}}")
}

fn wait_for_metric(testbed: &Testbed, proxy: usize, name: &str, is: impl Fn(u64) -> bool) {
    let end = Instant::now() + EVENT_TIMEOUT;
    while !is(metric(testbed, proxy, name)) {
        let sites = || -> Vec<_> {
            let figures = testbed.metrics(proxy).unwrap_or_default();
            figures
                .into_iter()
                .filter(|(name, _)| name.starts_with("lb_site"))
                .collect()
        };
        assert!(
            Instant::now() < end,
            "{name} of proxy {proxy}: {:?}",
            sites()
        );
    }
}

/// Waits until each given proxy has reported the site in this state.
fn wait_for_state(
    testbed: &Testbed,
    proxies: impl IntoIterator<Item = usize>,
    place: u16,
    word: &str,
) {
    let begun = Instant::now();
    let mut remaining: Vec<usize> = proxies.into_iter().collect();
    while !remaining.is_empty() {
        // Polled in turn, so that a state that a proxy reports only briefly is not missed.
        remaining.retain(|proxy| metric(testbed, *proxy, &state(place, word)) == 0);
        assert!(
            begun.elapsed() < EVENT_TIMEOUT,
            "proxies {remaining:?} have not reported the site as {word}: {:?}",
            testbed.metrics(remaining[0])
        );
    }
    println!("{word} after {:?}", begun.elapsed());
}

fn losses_name(place: u16) -> String {
    format!("lb_site_losses_total{{site=\"p{place}\"}}")
}

fn losses(testbed: &Testbed, proxy: usize, place: u16) -> u64 {
    metric(testbed, proxy, &losses_name(place))
}

/// Asserts that no proxy has ever declared these sites lost.
fn assert_never_lost(testbed: &Testbed, places: [u16; 2]) {
    for proxy in 0..PROXIES {
        assert_eq!(
            places.map(|place| losses(testbed, proxy, place)),
            [0, 0],
            "proxy {proxy}"
        );
    }
}

fn inject_into_all(
    testbed: &Testbed,
    servers: &[ServerIndex],
    trouble: impl Fn(ServerIndex) -> ServerFault,
) {
    servers
        .iter()
        .for_each(|server| testbed.history.inject_fault(trouble(*server)));
}

/// The site of all primaries crashes while the endpoint list still names it as ready, and comes back.
#[test]
fn a_site_dies_with_its_primaries_and_returns() {
    let _turn = turn();
    let testbed = start(two_sites(26 * SECOND));
    let dead = servers_at(&testbed, 0);
    assert!((0..2).all(|group| dead.contains(&testbed.history.lock().site.primary(group).unwrap())));
    wait_for_answers(&testbed, 200);
    // Some of its writes have not reached the other site: part of the worth would be lost with it.
    for proxy in 0..PROXIES {
        wait_for_metric(&testbed, proxy, &headroom(1), |n| n > 0);
        let kept = metric(&testbed, proxy, &headroom(0));
        assert!(kept < 1_000, "proxy {proxy}: {kept}");
    }
    testbed.history.list(catalog::Event::Behind(8 * SECOND));
    let before = testbed.history.lock().checker.answered;
    inject_into_all(&testbed, &dead, ServerFault::Crash);
    wait_for_state(&testbed, 0..PROXIES, 0, "lost");
    let took = testbed.history.lock().checker.answered - before;
    println!("lost at all proxies after {took} answers");
    assert!(
        took <= MAX_ANSWERS_UNTIL_DETECTED,
        "{took} answers until all proxies had detected the loss"
    );
    // The other site serves alone, also the writes.
    wait_for_answers(&testbed, 200);
    inject_into_all(&testbed, &dead, ServerFault::Start);
    wait_for_state(&testbed, 0..PROXIES, 0, "returning");
    wait_for_state(&testbed, 0..PROXIES, 0, "whole");
    for proxy in 0..PROXIES {
        assert_eq!(
            (losses(&testbed, proxy, 0), losses(&testbed, proxy, 1)),
            (1, 0),
            "proxy {proxy}"
        );
    }
    assert_sound(testbed);
}

/// Runs `leverproxy sites` and returns whether it succeeded, and its standard output.
fn sites_command(testbed: &Testbed, proxy: usize, name: &[&str]) -> (bool, String) {
    let program = built("leverproxy").unwrap_or_else(|fault| panic!("{fault}"));
    let socket = testbed.folder(proxy).join("control");
    let out = Command::new(program)
        .arg("sites")
        .args(name)
        .arg("--socket")
        .arg(socket)
        .output()
        .unwrap();
    (
        out.status.success(),
        String::from_utf8_lossy(&out.stdout).into_owned(),
    )
}

/// One of three sites is lost while a server of another is drained: the two other sites stay and take its load.
#[test]
fn one_of_three_sites_during_a_drain() {
    let _turn = turn();
    let mut setup = two_sites(20 * SECOND);
    (setup.site.places, setup.site.group.members) = (3, 6);
    let testbed = start(setup);
    wait_for_answers(&testbed, 200);
    testbed
        .history
        .inject_fault(ServerFault::Drain(servers_at(&testbed, 1)[0]));
    testbed.history.list(catalog::Event::Behind(8 * SECOND));
    inject_into_all(&testbed, &servers_at(&testbed, 0), ServerFault::Crash);
    wait_for_state(&testbed, 0..PROXIES, 0, "lost");
    wait_for_answers(&testbed, 100);
    let (sound_name, text) = sites_command(&testbed, 0, &["p0"]);
    assert!(
        sound_name && text.contains("p0    lost") && text.contains("p1 ") && text.contains("p2 "),
        "{text}"
    );
    let (unknown, text) = sites_command(&testbed, 0, &["p7"]);
    assert!(
        !unknown && text.contains("no site \"p7\"; known sites: p0, p1, p2"),
        "{text}"
    );
    assert_never_lost(&testbed, [1, 2]);
    assert_sound(testbed);
}

/// The surviving site has capacity for half of the load: no proxy declares it lost too, and it continues to serve.
#[test]
fn the_surviving_site_has_half_of_the_room() {
    let _turn = turn();
    let mut setup = two_sites(16 * SECOND);
    (setup.site.group.members, setup.site.group.quorum) = (3, false);
    // One server with two cores in each of two groups, for 400 requests per second of at least 10 ms each.
    setup.clients.requests_per_s = 400.0;
    setup
        .clients
        .classes
        .iter_mut()
        .for_each(|kind| kind.work.mean = 20_000.0);
    setup.site.server.cores = 2.0;
    let testbed = start(setup);
    wait_for_answers(&testbed, 300);
    testbed.history.list(catalog::Event::Behind(8 * SECOND));
    inject_into_all(&testbed, &servers_at(&testbed, 0), ServerFault::Crash);
    wait_for_state(&testbed, 0..PROXIES, 0, "lost");
    wait_for_answers(&testbed, 300);
    for proxy in 0..PROXIES {
        assert_eq!(losses(&testbed, proxy, 1), 0, "proxy {proxy}");
    }
    assert_sound(testbed);
}

/// Requests reach the site, but no responses arrive: this proxy declares it lost, although its servers run.
#[test]
fn one_direction_is_cut() {
    let _turn = turn();
    let testbed = start(two_sites(26 * SECOND));
    wait_for_answers(&testbed, 200);
    let links = testbed.links(&[0], Some(0));
    links
        .iter()
        .for_each(|link| link.set(Flow::Passes, Flow::Cut));
    wait_for_state(&testbed, 0..1, 0, "lost");
    wait_for_answers(&testbed, 100);
    assert!((1..PROXIES).all(|proxy| losses(&testbed, proxy, 0) == 0));
    links.iter().for_each(|link| link.heal());
    wait_for_metric(&testbed, 0, &state(0, "lost"), |n| n == 0);
    assert_sound(testbed);
}

/// An outage of discovery alone causes no site loss. A site lost while proxies restart in turn is detected by each of them.
#[test]
fn no_discovery_and_a_loss_while_proxies_restart() {
    let _turn = turn();
    let mut testbed = start(two_sites(26 * SECOND));
    wait_for_answers(&testbed, 100);
    testbed.history.list(catalog::Event::Down(true));
    wait_for_answers(&testbed, 300);
    assert!((0..PROXIES).all(|proxy| losses(&testbed, proxy, 0) + losses(&testbed, proxy, 1) == 0));
    testbed.history.list(catalog::Event::Down(false));
    testbed.history.list(catalog::Event::Behind(8 * SECOND));
    let dead = servers_at(&testbed, 0);
    for proxy in 0..PROXIES {
        testbed.kill(proxy);
        testbed
            .restart(proxy)
            .unwrap_or_else(|fault| panic!("{fault}"));
        if proxy == 1 {
            inject_into_all(&testbed, &dead, ServerFault::Crash);
        }
    }
    wait_for_state(&testbed, 0..PROXIES, 0, "lost");
    wait_for_answers(&testbed, 100);
    assert!((0..PROXIES).all(|proxy| losses(&testbed, proxy, 1) == 0));
    assert_sound(testbed);
}

#[test]
fn a_slow_site_and_a_dead_server_are_no_loss() {
    let _turn = turn();
    let testbed = start(two_sites(8 * SECOND));
    let slow = servers_at(&testbed, 0);
    wait_for_answers(&testbed, 100);
    inject_into_all(&testbed, &slow, |server| ServerFault::Slow {
        server,
        times: 50.0,
    });
    wait_for_answers(&testbed, 300);
    inject_into_all(&testbed, &slow, |server| ServerFault::Slow {
        server,
        times: 1.0,
    });
    let dead = servers_at(&testbed, 1)[0];
    testbed.history.inject_fault(ServerFault::Crash(dead));
    wait_for_answers(&testbed, 300);
    assert_never_lost(&testbed, [0, 1]);
    assert_sound(testbed);
}

/// Half of the proxies cannot reach a site: only these declare it lost.
#[test]
fn a_link_cut_for_half_of_the_proxies() {
    let _turn = turn();
    let testbed = start(two_sites(26 * SECOND));
    wait_for_answers(&testbed, 200);
    let links = testbed.links(&[0, 1], Some(0));
    links.iter().for_each(|link| link.cut());
    wait_for_state(&testbed, 0..2, 0, "lost");
    wait_for_answers(&testbed, 100);
    for proxy in 2..PROXIES {
        assert_eq!(losses(&testbed, proxy, 0), 0, "proxy {proxy}");
    }
    links.iter().for_each(|link| link.heal());
    // The site is whole again after a request to each of its servers, which may come later than the clients' last request.
    (0..2).for_each(|proxy| wait_for_metric(&testbed, proxy, &state(0, "lost"), |n| n == 0));
    assert_sound(testbed);
}

/// The site crashes again as soon as it has returned: each proxy counts exactly two losses.
#[test]
fn lost_back_and_lost_again() {
    let _turn = turn();
    let testbed = start(two_sites(26 * SECOND));
    let dead = servers_at(&testbed, 0);
    wait_for_answers(&testbed, 100);
    testbed.history.list(catalog::Event::Behind(8 * SECOND));
    inject_into_all(&testbed, &dead, ServerFault::Crash);
    wait_for_state(&testbed, 0..PROXIES, 0, "lost");
    inject_into_all(&testbed, &dead, ServerFault::Start);
    wait_for_state(&testbed, 0..PROXIES, 0, "returning");
    inject_into_all(&testbed, &dead, ServerFault::Crash);
    (0..PROXIES).for_each(|proxy| wait_for_metric(&testbed, proxy, &losses_name(0), |n| n == 2));
    wait_for_answers(&testbed, 100);
    for proxy in 0..PROXIES {
        assert_eq!(
            (losses(&testbed, proxy, 0), losses(&testbed, proxy, 1)),
            (2, 0),
            "proxy {proxy}"
        );
    }
    assert_sound(testbed);
}

/// A proxy that was stopped finds all of its requests overdue and no connection usable: it must attribute this to itself.
#[test]
fn a_proxy_that_stood_still_loses_nothing() {
    let _turn = turn();
    let mut testbed = start(two_sites(8 * SECOND));
    wait_for_answers(&testbed, 100);
    testbed.signal(1, Signal::STOP);
    wait_for_answers(&testbed, 300);
    testbed.signal(1, Signal::CONT);
    wait_for_answers(&testbed, 200);
    assert_never_lost(&testbed, [0, 1]);
    assert_sound(testbed);
}

#[test]
fn a_site_of_one_server() {
    let _turn = turn();
    let mut setup = two_sites(6 * SECOND);
    (
        setup.site.groups,
        setup.clients.groups,
        setup.site.group.members,
    ) = (1, 1, 2);
    // A majority of two is two: only without a quorum can the remaining server take over.
    setup.site.group.quorum = false;
    let testbed = start(setup);
    wait_for_answers(&testbed, 100);
    testbed.history.list(catalog::Event::Behind(8 * SECOND));
    testbed
        .history
        .inject_fault(ServerFault::Crash(servers_of_groups_at(&testbed, 1, 0)[0]));
    wait_for_state(&testbed, 0..PROXIES, 0, "lost");
    assert_sound(testbed);
}

#[test]
fn one_place_has_no_states() {
    let _turn = turn();
    let mut setup = two_sites(3 * SECOND);
    setup.site.places = 1;
    let testbed = start(setup);
    wait_for_answers(&testbed, 100);
    let figures = testbed.metrics(0).unwrap_or_else(|fault| panic!("{fault}"));
    assert!(
        figures.keys().all(|name| !name.starts_with("lb_site")),
        "{figures:?}"
    );
    assert_sound(testbed);
}
