//! A fleet of twelve proxies that choose their subsets without coordination: the choices together must cover all servers.

mod common;
use common::{assert_sound, setup, start, wait_for_answers, SECOND};
use server_model::site::{ServerFault, ServerIndex};
use std::collections::BTreeSet;
use std::time::Duration;
use testbed::history::State;
use testbed::link::Flow;
use testbed::{discovery, Setup, Testbed};

const PROXIES: usize = 12;
const GROUPS: u32 = 2;
const MEMBERS: usize = 8;

/// Twelve proxies in front of two groups of eight. Latency objectives are long, so that a busy machine does not miss them.
fn fleet(length: u64) -> Setup {
    let mut setup = setup(PROXIES, 200.0, length);
    setup.site.group.members = MEMBERS;
    setup
}

/// The members that the proxy prefers.
fn subset(testbed: &Testbed, proxy: usize, group: u32) -> BTreeSet<ServerIndex> {
    let mut members = testbed.history.lock().site.members(group).to_vec();
    subsetting::order_by_preference(proxy as u32, group, &mut members, |server| {
        subsetting::hash_name(&discovery::name(server))
    });
    members
        .into_iter()
        .take(subsetting::subset_size(MEMBERS))
        .collect()
}

/// Requests that proxies sent to replicas outside of their subsets, and all requests that they sent.
fn requests_outside_subsets(testbed: &Testbed) -> (u64, u64) {
    let parts: Vec<BTreeSet<ServerIndex>> = (0..PROXIES)
        .map(|proxy| {
            (0..GROUPS)
                .flat_map(|group| subset(testbed, proxy, group))
                .collect()
        })
        .collect();
    let state = testbed.history.lock();
    let primaries: BTreeSet<_> = (0..GROUPS)
        .filter_map(|group| state.site.primary(group))
        .collect();
    let beyond = |(proxy, server): &(usize, ServerIndex)| {
        !parts[*proxy].contains(server) && !primaries.contains(server)
    };
    let sent = |counts: &dyn Fn(&(usize, ServerIndex)) -> bool| -> u64 {
        state
            .reached
            .iter()
            .filter(|(pair, _)| counts(pair))
            .map(|(_, n)| n)
            .sum()
    };
    (sent(&beyond), sent(&|_| true))
}

/// The processes choose the same subsets as the `subsetting` package, so its bounds hold for them: no server is left out,
/// and almost no request goes outside of the subset.
#[test]
fn proxies_meet_their_parts() {
    let testbed = start(fleet(8 * SECOND));
    wait_for_answers(&testbed, 900);
    let (beyond, all) = requests_outside_subsets(&testbed);
    assert!(
        beyond * 20 < all,
        "{beyond} of {all} requests went outside of the subsets"
    );
    let met: BTreeSet<ServerIndex> = testbed
        .history
        .lock()
        .reached
        .keys()
        .map(|&(_, server)| server)
        .collect();
    assert_eq!(
        met.len(),
        GROUPS as usize * MEMBERS,
        "some servers receive no requests; reached: {met:?}"
    );
    assert_sound(testbed);
}

/// All replicas of a proxy's subset crash at once; the proxy continues with the other members of the group.
#[test]
fn a_proxy_whose_whole_part_dies() {
    let testbed = start(fleet(12 * SECOND));
    wait_for_answers(&testbed, 300);
    let own = subset(&testbed, 0, 0);
    let primary = testbed.history.lock().site.primary(0);
    for &server in own.iter().filter(|&&server| Some(server) != primary) {
        testbed.history.inject_fault(ServerFault::Crash(server));
    }
    let others = |inner: &State| {
        let beyond = |(proxy, server): &(usize, ServerIndex)| {
            *proxy == 0 && inner.site.members(0).contains(server) && !own.contains(server)
        };
        let sent = inner
            .reached
            .iter()
            .filter(|(pair, _)| beyond(pair) && Some(pair.1) != primary);
        sent.map(|(_, n)| n).sum::<u64>()
    };
    let before = others(&testbed.history.lock());
    testbed
        .until(
            "the proxy sends to members outside of its subset",
            |inner| others(inner) >= before + 20,
        )
        .unwrap();
    assert_sound(testbed);
}

/// Half of the proxies are configured for a fleet of forty: both sizes coexist, and no proxy changes its subset.
#[test]
fn half_of_the_fleet_has_another_size() {
    let mut testbed = start(fleet(10 * SECOND));
    wait_for_answers(&testbed, 300);
    for proxy in 0..PROXIES / 2 {
        testbed
            .reload(proxy, |setup| setup.clients.proxies = 40)
            .unwrap();
    }
    wait_for_answers(&testbed, 700);
    let (beyond, all) = requests_outside_subsets(&testbed);
    assert!(
        beyond * 20 < all,
        "{beyond} of {all} requests went outside of the subsets"
    );
    assert_sound(testbed);
}

/// One member of each proxy's subset responds late over that proxy's link: the other members of the subset take its load.
#[test]
fn slow_replies_from_one_member_of_each_part() {
    let testbed = start(fleet(10 * SECOND));
    wait_for_answers(&testbed, 200);
    let primary = testbed.history.lock().site.primary(0);
    let slow: Vec<ServerIndex> = (0..PROXIES)
        .map(|proxy| {
            subset(&testbed, proxy, 0)
                .into_iter()
                .find(|&server| Some(server) != primary)
                .unwrap()
        })
        .collect();
    for (proxy, &server) in slow.iter().enumerate() {
        let late = Flow::Late(Duration::from_millis(300), Duration::from_millis(300));
        testbed.link(proxy, server).unwrap().set(Flow::Passes, late);
    }
    let sent = || {
        let state = testbed.history.lock();
        let group = |server: &ServerIndex| {
            state.site.members(0).contains(server) && Some(*server) != primary
        };
        let all = state
            .reached
            .iter()
            .filter(|((_, server), _)| group(server));
        let (mut late, mut sum) = (0, 0);
        for (&(proxy, server), number) in all {
            sum += number;
            late += if slow[proxy] == server { *number } else { 0 };
        }
        (late, sum)
    };
    // Lets each proxy observe the delay first.
    wait_for_answers(&testbed, 300);
    let before = sent();
    wait_for_answers(&testbed, 500);
    let after = sent();
    let (late, sum) = (after.0 - before.0, after.1 - before.1);
    assert!(late * 8 < sum, "{late} of {sum} went over the slow links");
    assert_sound(testbed);
}

/// All proxies are killed and restarted at once without saved state: their common start overloads neither cold servers nor discovery.
#[test]
fn a_whole_fleet_is_killed_and_started() {
    let mut testbed = start(fleet(10 * SECOND));
    wait_for_answers(&testbed, 200);
    (0..PROXIES).for_each(|proxy| testbed.kill(proxy));
    (0..PROXIES).for_each(|proxy| testbed.restart(proxy).unwrap());
    wait_for_answers(&testbed, 400);
    let (beyond, all) = requests_outside_subsets(&testbed);
    assert!(
        beyond * 20 < all,
        "{beyond} of {all} requests went outside of the subsets, which must be the same after a restart"
    );
    assert_sound(testbed);
}

/// Most members are replaced by cold ones while the endpoint list is late: the checkers watch the bound of each cold server
/// over all proxies, and the draining servers.
#[test]
fn most_members_are_replaced() {
    let mut setup = fleet(20 * SECOND);
    setup
        .clients
        .classes
        .iter_mut()
        .for_each(|kind| kind.work.mean = 10_000.0);
    let testbed = start(setup);
    wait_for_answers(&testbed, 200);
    let old: Vec<ServerIndex> = (0..GROUPS)
        .flat_map(|group| {
            let state = testbed.history.lock();
            let stays = state.site.primary(group);
            let replicas = state
                .site
                .members(group)
                .iter()
                .copied()
                .filter(move |&s| Some(s) != stays);
            replicas.take(5).collect::<Vec<_>>()
        })
        .collect();
    let known = testbed.history.lock().site.servers().end;
    for group in 0..GROUPS {
        (0..5).for_each(|_| {
            testbed
                .history
                .inject_fault(ServerFault::Join { group, place: 0 })
        });
    }
    old.iter()
        .for_each(|&server| testbed.history.inject_fault(ServerFault::Drain(server)));
    wait_for_answers(&testbed, 300);
    old.iter()
        .for_each(|&server| testbed.history.inject_fault(ServerFault::Retire(server)));
    let new = |inner: &State| {
        let met: BTreeSet<ServerIndex> = inner.reached.keys().map(|&(_, server)| server).collect();
        met.range(known..).count()
    };
    // A cold server gets a few percent of its share: some new members are reached soon, all of them only much later.
    testbed
        .until("new members receive requests", |inner| {
            new(inner) >= GROUPS as usize
        })
        .unwrap();
    assert_sound(testbed);
}
