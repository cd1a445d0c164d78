//! What several processes know of their sites: each by itself, by what it proves.

mod common;
use common::turns::turn;
use common::{answered, setup, sound, start, SECOND};
use rustix::process::Signal;
use server_model::catalog;
use server_model::site::{ServerIndex, Trouble};
use std::process::Command;
use std::time::Instant;
use testbed::link::Flow;
use testbed::process::{built, PATIENCE};
use testbed::{Rig, Setup};

const SITES: &str =
    "control {\n socket {folder}/control\n}\nsites {\n lost-after 300ms\n return-after 1s\n dwell 500ms\n}\n";
const PROXIES: usize = 4;
/// Answers of the whole fleet until all know of a loss: at 200 in a second, as many as come in 10 s.
const BOUND: u64 = 2_000;

/// Two groups of four before two sites; both primaries stand in the first.
fn two_sites(length: u64) -> Setup {
    let mut setup = setup(PROXIES, 200.0, length);
    setup.site.group.members = 4;
    (setup.site.group.give_up, setup.site.group.take_over) = (300_000, 300_000);
    // Less the slack they have two seconds.
    setup
        .clients
        .kinds
        .iter_mut()
        .for_each(|kind| (kind.aim, kind.deadline) = (SECOND, 7 * SECOND));
    setup.operators = SITES.into();
    setup.admin = true;
    setup
}

fn at(rig: &Rig, place: u16) -> Vec<ServerIndex> {
    at_of(rig, 2, place)
}

fn at_of(rig: &Rig, groups: u32, place: u16) -> Vec<ServerIndex> {
    let inner = rig.truth.look();
    (0..groups)
        .flat_map(|g| inner.site.members(g).to_vec())
        .filter(|s| inner.site.place(*s) == place)
        .collect()
}

fn state(place: u16, state: &str) -> String {
    format!("lb_site_state{{site=\"p{place}\",state=\"{state}\"}}")
}

fn figure(rig: &Rig, proxy: usize, name: &str) -> u64 {
    let figures = rig.figures(proxy).unwrap_or_else(|fault| panic!("{fault}"));
    *figures.get(name).unwrap_or_else(|| panic!("no {name}"))
}

fn headroom(place: u16) -> String {
    format!("lb_site_headroom{{site=\"p{place}\"}}")
}

fn until(rig: &Rig, proxy: usize, name: &str, is: impl Fn(u64) -> bool) {
    let end = Instant::now() + PATIENCE;
    while !is(figure(rig, proxy, name)) {
        let sites = || -> Vec<_> {
            let figures = rig.figures(proxy).unwrap_or_default();
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

/// Until each of these says so.
fn say(rig: &Rig, proxies: impl IntoIterator<Item = usize>, place: u16, word: &str) {
    let begun = Instant::now();
    let mut silent: Vec<usize> = proxies.into_iter().collect();
    while !silent.is_empty() {
        // In turns: none is to be missed that says so for a while only.
        silent.retain(|proxy| figure(rig, *proxy, &state(place, word)) == 0);
        assert!(
            begun.elapsed() < PATIENCE,
            "{silent:?} never say {word}, {:?}",
            rig.figures(silent[0])
        );
    }
    println!("{word} after {:?}", begun.elapsed());
}

fn losses_name(place: u16) -> String {
    format!("lb_site_losses_total{{site=\"p{place}\"}}")
}

fn losses(rig: &Rig, proxy: usize, place: u16) -> u64 {
    figure(rig, proxy, &losses_name(place))
}

/// No proxy ever called these sites lost.
fn never_lost(rig: &Rig, places: [u16; 2]) {
    for proxy in 0..PROXIES {
        assert_eq!(
            places.map(|place| losses(rig, proxy, place)),
            [0, 0],
            "proxy {proxy}"
        );
    }
}

fn all(rig: &Rig, servers: &[ServerIndex], trouble: impl Fn(ServerIndex) -> Trouble) {
    servers
        .iter()
        .for_each(|server| rig.truth.trouble(trouble(*server)));
}

/// The site of all primaries dies while the list still names it as ready, and comes back.
#[test]
fn a_site_dies_with_its_primaries_and_returns() {
    let _turn = turn();
    let rig = start(two_sites(26 * SECOND));
    let dead = at(&rig, 0);
    assert!((0..2).all(|group| dead.contains(&rig.truth.look().site.primary(group).unwrap())));
    answered(&rig, 200);
    // Its writes have been seen nowhere else: a part of the worth would go with it.
    for proxy in 0..PROXIES {
        until(&rig, proxy, &headroom(1), |n| n > 0);
        let kept = figure(&rig, proxy, &headroom(0));
        assert!(kept < 1_000, "proxy {proxy}: {kept}");
    }
    rig.truth.list(catalog::Event::Behind(8 * SECOND));
    let before = rig.truth.look().checker.answered;
    all(&rig, &dead, Trouble::Die);
    say(&rig, 0..PROXIES, 0, "lost");
    let took = rig.truth.look().checker.answered - before;
    println!("lost at all proxies after {took} answers");
    assert!(took <= BOUND, "{took} answers until all knew");
    // The other site serves alone, and writes have moved there.
    answered(&rig, 200);
    all(&rig, &dead, Trouble::Start);
    say(&rig, 0..PROXIES, 0, "returning");
    say(&rig, 0..PROXIES, 0, "whole");
    for proxy in 0..PROXIES {
        assert_eq!(
            (losses(&rig, proxy, 0), losses(&rig, proxy, 1)),
            (1, 0),
            "proxy {proxy}"
        );
    }
    sound(rig);
}

/// What `leverproxy sites` prints, and whether it is content.
fn told(rig: &Rig, proxy: usize, name: &[&str]) -> (bool, String) {
    let program = built("leverproxy").unwrap_or_else(|fault| panic!("{fault}"));
    let socket = rig.folder(proxy).join("control");
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

/// One of three goes while a server of another is drained: the two others stay, and bear its load.
#[test]
fn one_of_three_sites_during_a_drain() {
    let _turn = turn();
    let mut setup = two_sites(20 * SECOND);
    (setup.site.places, setup.site.group.members) = (3, 6);
    let rig = start(setup);
    answered(&rig, 200);
    rig.truth.trouble(Trouble::Drain(at(&rig, 1)[0]));
    rig.truth.list(catalog::Event::Behind(8 * SECOND));
    all(&rig, &at(&rig, 0), Trouble::Die);
    say(&rig, 0..PROXIES, 0, "lost");
    answered(&rig, 100);
    let (sound_name, text) = told(&rig, 0, &["p0"]);
    assert!(
        sound_name && text.contains("p0    lost") && text.contains("p1 ") && text.contains("p2 "),
        "{text}"
    );
    let (unknown, text) = told(&rig, 0, &["p7"]);
    assert!(
        !unknown && text.contains("no site \"p7\"; of sites p0, p1, p2"),
        "{text}"
    );
    never_lost(&rig, [1, 2]);
    sound(rig);
}

/// What is left can do half of what is asked: all know, none calls it lost too, and it goes on to serve.
#[test]
fn the_surviving_site_has_half_of_the_room() {
    let _turn = turn();
    let mut setup = two_sites(16 * SECOND);
    (setup.site.group.members, setup.site.group.quorum) = (3, false);
    // One server of two cores in each of two groups, for 400 requests of 10 ms and more in a second.
    setup.clients.per_s = 400.0;
    setup
        .clients
        .kinds
        .iter_mut()
        .for_each(|kind| kind.work.mean = 20_000.0);
    setup.site.server.cores = 2.0;
    let rig = start(setup);
    answered(&rig, 300);
    rig.truth.list(catalog::Event::Behind(8 * SECOND));
    all(&rig, &at(&rig, 0), Trouble::Die);
    say(&rig, 0..PROXIES, 0, "lost");
    answered(&rig, 300);
    for proxy in 0..PROXIES {
        assert_eq!(losses(&rig, proxy, 1), 0, "proxy {proxy}");
    }
    sound(rig);
}

/// Requests reach the site, and nothing of it comes back: it is lost from here, and its servers are not dead.
#[test]
fn one_direction_is_cut() {
    let _turn = turn();
    let rig = start(two_sites(26 * SECOND));
    answered(&rig, 200);
    let links = rig.links(&[0], Some(0));
    links
        .iter()
        .for_each(|link| link.set(Flow::Passes, Flow::Cut));
    say(&rig, 0..1, 0, "lost");
    answered(&rig, 100);
    assert!((1..PROXIES).all(|proxy| losses(&rig, proxy, 0) == 0));
    links.iter().for_each(|link| link.heal());
    until(&rig, 0, &state(0, "lost"), |n| n == 0);
    sound(rig);
}

/// Discovery's side alone is gone: nothing is lost. Then, while proxies restart in turn, the site is, to each of them.
#[test]
fn no_discovery_and_a_loss_while_proxies_restart() {
    let _turn = turn();
    let mut rig = start(two_sites(26 * SECOND));
    answered(&rig, 100);
    rig.truth.list(catalog::Event::Down(true));
    answered(&rig, 300);
    assert!((0..PROXIES).all(|proxy| losses(&rig, proxy, 0) + losses(&rig, proxy, 1) == 0));
    rig.truth.list(catalog::Event::Down(false));
    rig.truth.list(catalog::Event::Behind(8 * SECOND));
    let dead = at(&rig, 0);
    for proxy in 0..PROXIES {
        rig.kill(proxy);
        rig.restart(proxy).unwrap_or_else(|fault| panic!("{fault}"));
        if proxy == 1 {
            all(&rig, &dead, Trouble::Die);
        }
    }
    say(&rig, 0..PROXIES, 0, "lost");
    answered(&rig, 100);
    assert!((0..PROXIES).all(|proxy| losses(&rig, proxy, 1) == 0));
    sound(rig);
}

#[test]
fn a_slow_site_and_a_dead_server_are_no_loss() {
    let _turn = turn();
    let rig = start(two_sites(8 * SECOND));
    let slow = at(&rig, 0);
    answered(&rig, 100);
    all(&rig, &slow, |server| Trouble::Slow {
        server,
        times: 50.0,
    });
    answered(&rig, 300);
    all(&rig, &slow, |server| Trouble::Slow { server, times: 1.0 });
    let dead = at(&rig, 1)[0];
    rig.truth.trouble(Trouble::Die(dead));
    answered(&rig, 300);
    never_lost(&rig, [0, 1]);
    sound(rig);
}

/// The same site, and half of the proxies can't reach it: it is lost to these.
#[test]
fn a_link_cut_for_half_of_the_proxies() {
    let _turn = turn();
    let rig = start(two_sites(26 * SECOND));
    answered(&rig, 200);
    let links = rig.links(&[0, 1], Some(0));
    links.iter().for_each(|link| link.cut());
    say(&rig, 0..2, 0, "lost");
    answered(&rig, 100);
    for proxy in 2..PROXIES {
        assert_eq!(losses(&rig, proxy, 0), 0, "proxy {proxy}");
    }
    links.iter().for_each(|link| link.heal());
    // Whole it is once each server there was asked again, which may be later than the clients' last request.
    (0..2).for_each(|proxy| until(&rig, proxy, &state(0, "lost"), |n| n == 0));
    sound(rig);
}

/// The site goes again as soon as it answers: each proxy loses it twice, and no more often.
#[test]
fn lost_back_and_lost_again() {
    let _turn = turn();
    let rig = start(two_sites(26 * SECOND));
    let dead = at(&rig, 0);
    answered(&rig, 100);
    rig.truth.list(catalog::Event::Behind(8 * SECOND));
    all(&rig, &dead, Trouble::Die);
    say(&rig, 0..PROXIES, 0, "lost");
    all(&rig, &dead, Trouble::Start);
    say(&rig, 0..PROXIES, 0, "returning");
    all(&rig, &dead, Trouble::Die);
    (0..PROXIES).for_each(|proxy| until(&rig, proxy, &losses_name(0), |n| n == 2));
    answered(&rig, 100);
    for proxy in 0..PROXIES {
        assert_eq!(
            (losses(&rig, proxy, 0), losses(&rig, proxy, 1)),
            (2, 0),
            "proxy {proxy}"
        );
    }
    sound(rig);
}

/// A proxy that stood still finds all of its requests overdue, and a connection for none: that is its own doing.
#[test]
fn a_proxy_that_stood_still_loses_nothing() {
    let _turn = turn();
    let mut rig = start(two_sites(8 * SECOND));
    answered(&rig, 100);
    rig.signal(1, Signal::STOP);
    answered(&rig, 300);
    rig.signal(1, Signal::CONT);
    answered(&rig, 200);
    never_lost(&rig, [0, 1]);
    sound(rig);
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
    // Most of two are two: without a quorum the one that is left takes over.
    setup.site.group.quorum = false;
    let rig = start(setup);
    answered(&rig, 100);
    rig.truth.list(catalog::Event::Behind(8 * SECOND));
    rig.truth.trouble(Trouble::Die(at_of(&rig, 1, 0)[0]));
    say(&rig, 0..PROXIES, 0, "lost");
    sound(rig);
}

#[test]
fn one_place_has_no_states() {
    let _turn = turn();
    let mut setup = two_sites(3 * SECOND);
    setup.site.places = 1;
    let rig = start(setup);
    answered(&rig, 100);
    let figures = rig.figures(0).unwrap_or_else(|fault| panic!("{fault}"));
    assert!(
        figures.keys().all(|name| !name.starts_with("lb_site")),
        "{figures:?}"
    );
    sound(rig);
}
