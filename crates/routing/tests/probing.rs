//! When a server is probed.

mod common;
use common::*;
use routing::*;
use std::time::Duration;

#[test]
fn no_probe_where_probing_is_not_allowed() {
    let mut bench = Bench::without_reports(
        Settings {
            may_probe: false,
            ..settings()
        },
        3,
    );
    let actions = bench.pass(2_000);
    assert!(!actions.iter().any(|a| matches!(a, Action::Probe { .. })));
}

#[test]
fn servers_that_always_lag_do_not_take_all_probes() {
    // Seen on recorded day i2d132c: probes went out in a fixed order, and whole groups were not probed for half a minute.
    let mut bench = Bench::new(settings(), 3);
    bench.list(vec![Endpoint {
        group: GroupId(1),
        ..endpoint(9, EndpointState::Ready)
    }]);
    let mut probes = [0; 10];
    for _ in 0..200 {
        bench.request(EVENTUAL);
        for action in bench.pass(100) {
            if let Action::Probe {
                server: ServerId(server),
            } = action
            {
                probes[server as usize] += 1;
                // All lag by more than the bound, so that each always deserves a probe.
                bench.report(server, server == 1 || server == 9, 2_000 * MS);
            }
        }
    }
    assert!(probes[9] * 2 >= probes[2], "{probes:?}");
    assert!(
        probes.iter().sum::<u32>() < 200,
        "paid for by requests: {probes:?}"
    );
}

fn probed(actions: &[Action]) -> Vec<u32> {
    let of = |a: &Action| {
        if let Action::Probe { server } = a {
            Some(server.0)
        } else {
            None
        }
    };
    actions.iter().filter_map(of).collect()
}

#[test]
fn a_read_probes_one_replica_for_its_position_and_does_not_crowd_the_primary() {
    // Seen on grown tracking days: with old positions all reads of hundreds of routers went to the primaries.
    let mut bench = Bench::new(settings(), 3);
    bench.pass(2_000);
    bench.report(1, true, Duration::ZERO);
    let (_, actions) = bench.request(BOUNDED);
    assert!(sends(&actions).is_empty(), "{actions:?}");
    let asked = probed(&actions);
    assert_eq!(asked.len(), 1, "one is probed, not the fleet: {actions:?}");
    assert!(asked[0] != 1);
    bench.wait(5 * MS);
    assert_eq!(sends(&bench.report(asked[0], false, 100 * MS)), asked);
    assert!(
        probed(&bench.pass(5_000)).is_empty(),
        "without requests nothing is probed"
    );
}

#[test]
fn a_replica_that_reports_a_lag_is_left_for_the_next_and_then_for_the_primary() {
    let mut bench = Bench::new(settings(), 3);
    bench.pass(2_000);
    bench.report(1, true, Duration::ZERO);
    let (_, mut actions) = bench.request(BOUNDED);
    for _ in 0..2 {
        let asked = probed(&actions);
        assert_eq!(asked.len(), 1, "{actions:?}");
        bench.wait(5 * MS);
        actions = bench.report(asked[0], false, 1_900 * MS);
    }
    assert_eq!(sends(&actions), [1]);
}

#[test]
fn removed_members_are_probed_where_only_draining_binds() {
    // Seen on days with a wrong list: the members' positions went stale, and all reads crowded the primaries.
    let mut bench = Bench::new(
        Settings {
            soft_removal: true,
            ..settings()
        },
        3,
    );
    bench.list(
        (1..=3)
            .map(|s| endpoint(s, EndpointState::Removed))
            .collect(),
    );
    bench.pass(2_000);
    bench.report(1, true, Duration::ZERO);
    let asked = probed(&bench.request(BOUNDED).1);
    assert!(matches!(asked[..], [2 | 3]));
    assert_eq!(sends(&bench.report(asked[0], false, Duration::ZERO)), asked);
}

#[test]
fn a_primary_that_cannot_be_reached_does_not_set_off_a_flood_of_probes() {
    // Seen on grown slots days with scarce connections: 4.7 probes for each request.
    let mut bench = Bench::new(settings(), 4);
    bench.pass(1_000);
    let (id, actions) = bench.request(WRITE);
    assert_eq!(sends(&actions), [1]);
    let (mut asked, mut attempts) = (0, 0);
    let mut actions = bench.end(id, 0, 1, Outcome::ConnectFailed);
    for _ in 0..80 {
        for server in probed(&actions) {
            asked += 1;
            bench.report(server, server == 1, Duration::ZERO);
        }
        if !sends(&actions).is_empty() {
            attempts += 1;
            actions = bench.end(id, attempts, 1, Outcome::ConnectFailed);
        } else {
            actions = bench.pass(5);
        }
    }
    assert!(
        asked < 4,
        "{asked} probes in 0.4 s, {attempts} more attempts"
    );
}
