//! Behaviour of a fleet in each case of the design page.
mod fleet;

use std::time::Duration;

use fleet::{ms, roster, Fleet};
use membership::{
    permission, republish_interval, Action, Config, Core, Event, GuardedOperation, MemberCounts,
    OperationDenied, Permission, QuorumState, Status, POLICY_TABLE,
};

fn state(fleet: &Fleet, proxy: usize) -> QuorumState {
    let (core, now) = fleet.core(proxy);
    core.view(now).state
}

fn allowed(
    fleet: &Fleet,
    proxy: usize,
    operation: GuardedOperation,
) -> Result<(), OperationDenied> {
    let (core, now) = fleet.core(proxy);
    core.check_operation(now, operation, None)
}

fn is_direct(fleet: &Fleet, proxy: usize, observed: usize) -> bool {
    let (core, now) = fleet.core(proxy);
    core.view(now)
        .members
        .iter()
        .find(|member| member.name == format!("p{observed}"))
        .unwrap()
        .direct
}

#[test]
fn policy_table_matches_the_design_page() {
    let page = include_str!("../../../docs/design/members.md");
    let row = |operation: &GuardedOperation| {
        let begin = format!("| {operation:?} |");
        let line = page.lines().find(|line| line.starts_with(&begin)).unwrap();
        line[begin.len()..]
            .trim_end_matches('|')
            .split('|')
            .map(|cell| cell.trim().to_owned())
            .collect::<Vec<_>>()
    };
    for (operation, permissions) in POLICY_TABLE {
        let expected = permissions.map(|cell| match cell {
            Permission::Allowed => "yes",
            Permission::Denied => "no",
            Permission::IfRosterAgreed => "yes*",
            Permission::UntilExpiry => "lapse",
        });
        assert_eq!(row(&operation), expected, "{operation:?}");
    }
    assert_eq!(
        page.lines()
            .filter(|line| line.starts_with("| Halt |"))
            .count(),
        1
    );
    assert_eq!(
        permission(GuardedOperation::Promote, QuorumState::Complete, true),
        Permission::Denied
    );
}

#[test]
fn quorum_state_by_member_counts() {
    let cases = [
        // total, alive, suspect, left
        ((1, 1, 0, 0), QuorumState::Complete),
        ((2, 1, 0, 0), QuorumState::Alone),
        ((2, 1, 1, 0), QuorumState::Minority),
        ((3, 1, 0, 2), QuorumState::Alone),
        ((3, 2, 1, 0), QuorumState::Complete),
        ((3, 2, 0, 0), QuorumState::Degraded),
        ((3, 2, 0, 1), QuorumState::Complete),
        ((4, 2, 0, 0), QuorumState::Minority),
        ((4, 2, 2, 0), QuorumState::Minority),
        ((4, 3, 0, 0), QuorumState::Degraded),
        ((5, 2, 0, 3), QuorumState::Minority),
    ];
    for ((total, alive, suspect, left), state) in cases {
        let counts = MemberCounts {
            total,
            alive,
            suspect,
            left,
            includes_self: true,
        };
        assert_eq!(counts.state(), state, "{counts:?}");
    }
}

/// A member leaves and rejoins, and another one restarts. A leave must not be reported as a failure, a later incarnation
/// must replace the earlier one at once, and datagrams of the earlier one must be dropped.
#[test]
fn members_join_leave_and_rejoin_under_the_same_name() {
    let mut fleet = Fleet::new(5, 1);
    fleet.run(ms(5000));
    assert!((0..5).all(|proxy| state(&fleet, proxy) == QuorumState::Complete));
    fleet.handle_event(4, Event::Leave);
    assert_eq!(
        allowed(&fleet, 4, GuardedOperation::Promote),
        Err(OperationDenied::Left)
    );
    fleet.kill(4);
    fleet.run(ms(7000));
    assert!((0..4).all(|proxy| fleet.status(proxy, 4) == Status::Left
        && state(&fleet, proxy) == QuorumState::Complete));
    fleet.status_changes.clear();
    fleet.start(4);
    fleet.run(ms(8000));
    assert!((0..4).all(|proxy| fleet.status(proxy, 4) == Status::Alive));
    // A later incarnation replaces the earlier one at once: no member declares it down in between.
    fleet.status_changes.clear();
    fleet.start(3);
    fleet.run(ms(10_000));
    assert!(fleet
        .status_changes
        .iter()
        .all(|(.., of, status)| *of != 3 || *status == Status::Alive));
    let (core, now) = fleet.core(0);
    let incarnation = fleet.processes[3].as_ref().unwrap().incarnation;
    assert_eq!(
        core.view(now)
            .members
            .iter()
            .find(|member| member.name == "p3")
            .unwrap()
            .incarnation,
        Some(incarnation)
    );
    // A datagram of the earlier incarnation is dropped.
    fleet.handle_event(
        0,
        Event::Datagram {
            from: "p3",
            incarnation: incarnation - 1,
            bytes: &[1, 2, 3],
        },
    );
    let (core, now) = fleet.core(0);
    assert_eq!(
        (
            core.view(now).counters.earlier_incarnations,
            core.view(now).counters.malformed
        ),
        (1, 0)
    );
}

/// Partitions of several shapes: chains, halves, three groups, a single member. Each member has to hold its own group for
/// alive, and at most one group may promote.
#[test]
fn views_in_partitions_match_the_design_page() {
    // One way: datagrams from member 1 to member 0 are lost.
    let mut fleet = Fleet::new(5, 2);
    fleet.run(ms(4000));
    fleet.blocked.insert((1, 0));
    fleet.run(ms(14_000));
    assert!(fleet.status(0, 1) != Status::Down && fleet.status(1, 0) != Status::Down);
    assert!(!is_direct(&fleet, 0, 1) && is_direct(&fleet, 1, 0));

    // A chain: members 0 and 2 cannot reach each other, member 1 reaches both.
    let mut fleet = Fleet::new(3, 3);
    fleet.run(ms(4000));
    fleet.blocked.extend([(0, 2), (2, 0)]);
    fleet.run(ms(14_000));
    assert!(fleet.status(0, 2) != Status::Down && fleet.status(2, 0) != Status::Down);
    assert!(
        !is_direct(&fleet, 0, 2)
            && !is_direct(&fleet, 2, 0)
            && is_direct(&fleet, 1, 0)
            && is_direct(&fleet, 0, 1)
    );

    type Split = (usize, fn(usize) -> usize, &'static [QuorumState]);
    let splits: [Split; 4] = [
        (6, |proxy| proxy % 2, &[QuorumState::Minority; 6]),
        (
            5,
            |proxy| usize::from(proxy < 2),
            &[
                QuorumState::Minority,
                QuorumState::Minority,
                QuorumState::Degraded,
                QuorumState::Degraded,
            ],
        ),
        (6, |proxy| proxy % 3, &[QuorumState::Minority; 6]),
        (
            4,
            |proxy| usize::from(proxy == 0),
            &[
                QuorumState::Alone,
                QuorumState::Degraded,
                QuorumState::Degraded,
                QuorumState::Degraded,
            ],
        ),
    ];
    for (size, group, states) in splits {
        let mut fleet = Fleet::new(size, 4);
        fleet.run(ms(4000));
        fleet.partition(group);
        fleet.run(ms(10_000));
        for (proxy, expected) in states.iter().enumerate() {
            assert_eq!(state(&fleet, proxy), *expected, "{size} members, p{proxy}");
            let is_allowed = allowed(&fleet, proxy, GuardedOperation::Promote).is_ok();
            assert_eq!(is_allowed, *expected >= QuorumState::Degraded);
            assert_eq!(allowed(&fleet, proxy, GuardedOperation::Halt), Ok(()));
        }
    }
}

/// When a paused process resumes, all its probes are overdue: it would declare the fleet down and act on an outdated
/// view. It has to suspect itself before it does anything else, and to act again only after other members have
/// acknowledged probes.
#[test]
fn a_paused_process_suspects_itself_and_declares_nobody_down() {
    for pause in [600, 3000, 60_000] {
        let mut fleet = Fleet::new(5, 5);
        fleet.run(ms(5000));
        assert_eq!(allowed(&fleet, 0, GuardedOperation::Promote), Ok(()));
        fleet.paused_until[0] = ms(5000 + pause);
        fleet.run(ms(5000 + pause - 1));
        // The first call after the pause may be a check of an operation, before any event.
        assert_eq!(
            allowed(&fleet, 0, GuardedOperation::Promote),
            Err(OperationDenied::SelfSuspected)
        );
        assert_eq!(allowed(&fleet, 0, GuardedOperation::Repay), Ok(()));
        fleet.status_changes.clear();
        fleet.run(ms(5000 + pause + 1900));
        assert_eq!(
            allowed(&fleet, 0, GuardedOperation::Lend),
            Err(OperationDenied::SelfSuspected)
        );
        assert_eq!(state(&fleet, 0), QuorumState::Degraded);
        fleet.run(ms(5000 + pause + 4000));
        assert!(fleet
            .status_changes
            .iter()
            .all(|(_, at, _, status)| *at != 0 || *status != Status::Down));
        assert_eq!(
            allowed(&fleet, 0, GuardedOperation::Promote),
            Ok(()),
            "after {pause} ms"
        );
        assert!((1..5).all(|proxy| state(&fleet, proxy) == QuorumState::Complete));
    }
}

/// A process is paused and partitioned from the others meanwhile. No other member acknowledges its probes, so it must
/// never trust its former majority again.
#[test]
fn a_process_without_acks_goes_on_suspecting_itself() {
    let mut fleet = Fleet::new(5, 6);
    fleet.run(ms(5000));
    fleet.paused_until[0] = ms(8000);
    fleet.run(ms(7000));
    fleet.partition(|proxy| usize::from(proxy == 0));
    fleet.run(ms(20_000));
    assert_eq!(
        allowed(&fleet, 0, GuardedOperation::Lend),
        Err(OperationDenied::SelfSuspected)
    );
    assert_eq!(state(&fleet, 0), QuorumState::Alone);
}

/// Half of the fleet holds p59 for down under its earlier incarnation. In that half only p29 has received the later
/// incarnation when a partition separates the half from p59. p29 would count a majority until its own probes reach p59,
/// so it has to ping p59 at once.
#[test]
fn a_member_down_elsewhere_under_an_earlier_incarnation_is_pinged() {
    for seed in 0..2 {
        let mut fleet = Fleet::new(60, seed);
        fleet.run(ms(6000));
        fleet.partition(|proxy| usize::from(proxy >= 29));
        fleet.run(ms(12_000));
        fleet.start(59);
        fleet.run(ms(24_000));
        assert_eq!(state(&fleet, 29), QuorumState::Degraded);
        fleet.partition(|proxy| usize::from(proxy >= 30));
        fleet.run(ms(27_000));
        assert_eq!(
            (state(&fleet, 29), fleet.status(29, 59)),
            (QuorumState::Minority, Status::Down),
            "seed {seed}"
        );
    }
}

/// Half of the fleet gets a roster with an additional member. Promotions have to stop on both sides, and members with the
/// old roster must not count the new member.
#[test]
fn another_roster_is_noticed_and_unknown_members_do_not_count() {
    let mut fleet = Fleet::new(4, 7);
    fleet.run(ms(5000));
    let mut larger_roster = roster(5);
    larger_roster.version = 2;
    fleet.processes.push(None);
    fleet.paused_until.push(Duration::ZERO);
    fleet.status_changes.clear();
    for proxy in 0..2 {
        fleet.handle_event(proxy, Event::Roster(larger_roster.clone()));
    }
    fleet.run(ms(9000));
    for proxy in 0..4 {
        let (core, now) = fleet.core(proxy);
        let view = core.view(now);
        assert_eq!(view.roster_mismatches, 2, "p{proxy}");
        assert_eq!(
            allowed(&fleet, proxy, GuardedOperation::Promote),
            Err(OperationDenied::RosterDiffers(2))
        );
        assert_eq!(allowed(&fleet, proxy, GuardedOperation::Lend), Ok(()));
        assert_eq!(view.member_counts.total, if proxy < 2 { 5 } else { 4 });
        assert!(proxy < 2 || view.counters.roster_mismatches == 2);
    }
    // A new roster version must not be reported as a failure.
    assert!(fleet
        .status_changes
        .iter()
        .all(|(.., status)| *status != Status::Down));
    // p4 runs, but only half of the proxies have it in their rosters: the others neither count it nor declare it down.
    fleet.roster = larger_roster.clone();
    fleet.start(4);
    fleet.run(ms(14_000));
    assert!(fleet.status(0, 4) == Status::Alive && fleet.status(1, 4) == Status::Alive);
    let (core, now) = fleet.core(2);
    assert!(core.view(now).counters.unknown_members > 0 && core.view(now).member_counts.total == 4);
    for proxy in 2..4 {
        fleet.handle_event(proxy, Event::Roster(larger_roster.clone()));
    }
    fleet.run(ms(20_000));
    assert!((0..5).all(|proxy| state(&fleet, proxy) == QuorumState::Complete));
    assert!((0..5).all(|proxy| allowed(&fleet, proxy, GuardedOperation::Promote).is_ok()));
    // A roster without p4: p4 receives no more datagrams, and no member is notified that it is down.
    let mut smaller_roster = roster(4);
    smaller_roster.version = 3;
    (0..4).for_each(|proxy| fleet.handle_event(proxy, Event::Roster(smaller_roster.clone())));
    fleet.kill(4);
    fleet.status_changes.clear();
    fleet.run(ms(24_000));
    assert!(
        (0..4).all(|proxy| state(&fleet, proxy) == QuorumState::Complete)
            && fleet.status_changes.is_empty()
    );
}

#[test]
fn datagrams_go_to_the_address_in_the_own_roster() {
    let mut own_roster = roster(2);
    own_roster.members[1].address = ([127, 0, 0, 1], 9).into();
    let mut core = Core::new(Config::new("p0", 1, own_roster.clone()), 1).unwrap();
    let mut actions = Vec::new();
    core.handle(Duration::ZERO, Event::Start, &mut actions);
    own_roster.members[1].address = ([127, 0, 0, 1], 10).into();
    core.handle(ms(1), Event::Roster(own_roster.clone()), &mut actions);
    core.handle(ms(150), Event::Timer(u64::MAX), &mut actions);
    core.handle(ms(300), Event::Timer(u64::MAX), &mut actions);
    let sent = |action: &Action| match action {
        Action::Send { address, .. } => Some(address.port()),
        _ => None,
    };
    let ports: Vec<u16> = actions.iter().filter_map(sent).collect();
    assert!(
        ports.first() == Some(&9) && ports.last() == Some(&10),
        "{ports:?}"
    );
    // A roster without this proxy is rejected.
    actions.clear();
    own_roster.members.remove(0);
    core.handle(ms(301), Event::Roster(own_roster), &mut actions);
    assert!(actions
        .iter()
        .any(|action| matches!(action, Action::RosterRejected(_))));
    assert_eq!(core.view(ms(301)).member_counts.total, 2);
}

/// In a partition each group holds the majority of different regions. Lending in a region depends on that region alone;
/// promoting there depends on the majority of the fleet as well.
#[test]
fn each_region_has_its_own_quorum_state() {
    // The region of a member is its number modulo 3; there are 9 members. The group of 4 contains all of region 0 and one
    // member of region 1.
    let mut fleet = Fleet::new(9, 8);
    fleet.run(ms(5000));
    fleet.partition(|proxy| usize::from(proxy % 3 == 0 || proxy == 1));
    fleet.run(ms(12_000));
    let is_allowed = |proxy: usize, operation, region: &str| {
        let (core, now) = fleet.core(proxy);
        core.check_operation(now, operation, Some(region)).is_ok()
    };
    assert!(
        is_allowed(0, GuardedOperation::Lend, "r0")
            && !is_allowed(0, GuardedOperation::Lend, "r1")
            && !is_allowed(0, GuardedOperation::Lend, "r2")
    );
    assert!(
        !is_allowed(2, GuardedOperation::Lend, "r0")
            && is_allowed(2, GuardedOperation::Lend, "r1")
            && is_allowed(2, GuardedOperation::Lend, "r2")
    );
    assert!(
        !is_allowed(0, GuardedOperation::Promote, "r0")
            && is_allowed(2, GuardedOperation::Promote, "r2")
    );
    let (core, now) = fleet.core(0);
    assert_eq!(
        core.check_operation(now, GuardedOperation::Lend, Some("nowhere")),
        Err(OperationDenied::UnknownRegion("nowhere".to_owned()))
    );
}

/// Facts reach all members at 5 % loss and expire. A member that was partitioned while a fact was replaced must not bring
/// the earlier version back, and a restarted process receives the facts of its earlier incarnation.
#[test]
fn facts_spread_expire_and_are_replaced_by_later_versions() {
    let mut fleet = Fleet::new(10, 9);
    fleet.loss = 0.05;
    fleet.run(ms(5000));
    let publish = |fleet: &mut Fleet, proxy: usize, body: &[u8], ttl| {
        fleet.handle_event(
            proxy,
            Event::Publish {
                kind: 1,
                key: b"k".to_vec(),
                body: body.to_vec(),
                ttl,
            },
        );
    };
    publish(&mut fleet, 0, b"long", ms(60_000));
    publish(&mut fleet, 1, b"other", ms(30_000));
    fleet.run(ms(8000));
    let bodies = |fleet: &Fleet, proxy: usize| {
        let (core, now) = fleet.core(proxy);
        let mut bodies: Vec<_> = core
            .facts(now, 1)
            .into_iter()
            .map(|fact| fact.body)
            .collect();
        bodies.sort();
        bodies
    };
    for proxy in 2..10 {
        assert_eq!(bodies(&fleet, proxy), [b"long".to_vec(), b"other".to_vec()]);
        let (core, now) = fleet.core(proxy);
        let age = core.facts(now, 1)[0].age;
        assert!(age <= ms(3000) && age >= ms(2800), "{age:?}");
    }
    // A fact with a short TTL replaces one with a long TTL while p9 is partitioned; the earlier one must not come back.
    fleet.partition(|proxy| usize::from(proxy == 9));
    publish(&mut fleet, 0, b"short", ms(1000));
    fleet.run(ms(14_000));
    fleet.blocked.clear();
    fleet.run(ms(20_000));
    assert!((1..10).all(|proxy| !bodies(&fleet, proxy).contains(&b"long".to_vec())));
    fleet.run(ms(36_000));
    assert!((1..10).all(|proxy| bodies(&fleet, proxy).is_empty()));
    // A restarted process receives the facts of its earlier incarnation as those of another process.
    publish(&mut fleet, 3, b"before", ms(60_000));
    fleet.run(ms(39_000));
    fleet.start(3);
    fleet.run(ms(43_000));
    assert_eq!(bodies(&fleet, 3), [b"before".to_vec()]);
    publish(&mut fleet, 3, b"after", ms(60_000));
    fleet.run(ms(46_000));
    assert!(bodies(&fleet, 3).is_empty() && bodies(&fleet, 4) == [b"after".to_vec()]);
}

/// More new facts are published than fit into the datagrams of a heartbeat. When they were sent in the order of their
/// ids, the same sources were always late; now every fact has to arrive within three seconds.
#[test]
fn facts_that_do_not_fit_wait_and_no_source_is_starved() {
    let mut fleet = Fleet::new(30, 2);
    fleet.run(ms(5000));
    for second in 0..6 {
        for (proxy, key) in (0..30).flat_map(|proxy| [(proxy, 0), (proxy, 1)]) {
            let body = vec![second; 500];
            fleet.handle_event(
                proxy,
                Event::Publish {
                    kind: 1,
                    key: vec![key],
                    body,
                    ttl: ms(60_000),
                },
            );
        }
        fleet.run(fleet.now + ms(1000));
    }
    let (core, now) = fleet.core(29);
    let facts = core.facts(now, 1);
    let oldest = facts.iter().map(|fact| fact.age).max().unwrap();
    assert!(
        facts.len() == 58 && oldest < ms(3000),
        "{} {oldest:?}",
        facts.len()
    );
}

#[test]
fn republish_interval_bounds_facts_received_per_second() {
    let (second, minute) = (ms(1000), ms(60_000));
    let each = [1, 5, 50, 100, 500, 5000]
        .map(|members| republish_interval(members, 1, second, minute).as_millis());
    assert_eq!(each, [1000, 1000, 1000, 2000, 10_000, 20_000]);
    assert_eq!(republish_interval(100, 2, second, minute), ms(4000));
    assert_eq!(
        republish_interval(usize::MAX, usize::MAX, ms(30_000), minute),
        ms(30_000)
    );
}
