//! Probing of servers.

mod common;
use common::*;
use routing::*;
use std::time::Duration;

#[test]
fn no_probe_where_probing_is_not_allowed() {
    let mut harness = Harness::without_reports(
        Settings {
            may_probe: false,
            ..settings()
        },
        3,
    );
    let actions = harness.run_for(2_000);
    assert!(!actions.iter().any(|a| matches!(a, Action::Probe { .. })));
}

#[test]
fn servers_that_always_lag_do_not_take_all_probes() {
    // When probes were sent in a fixed order, whole groups were not probed for half a minute.
    let mut harness = Harness::new(settings(), 3);
    harness.update_endpoints(vec![Endpoint {
        group: GroupId(1),
        ..endpoint(9, EndpointState::Ready)
    }]);
    let mut probes = [0; 10];
    for _ in 0..200 {
        harness.request(EVENTUAL);
        for action in harness.run_for(100) {
            if let Action::Probe {
                server: ServerId(server),
            } = action
            {
                probes[server as usize] += 1;
                // All positions are older than the bound, so that each server is always worth a probe.
                harness.report(server, server == 1 || server == 9, 2_000 * MS);
            }
        }
    }
    assert!(probes[9] * 2 >= probes[2], "{probes:?}");
    assert!(
        probes.iter().sum::<u32>() < 200,
        "requests limit the number of probes: {probes:?}"
    );
}

fn probe_targets(actions: &[Action]) -> Vec<u32> {
    let target = |a: &Action| {
        if let Action::Probe { server } = a {
            Some(server.0)
        } else {
            None
        }
    };
    actions.iter().filter_map(target).collect()
}

#[test]
fn a_read_probes_one_replica_for_its_position_and_does_not_crowd_the_primary() {
    // With old positions, all reads of hundreds of routers went to the primaries.
    let mut harness = Harness::new(settings(), 3);
    harness.run_for(2_000);
    harness.report(1, true, Duration::ZERO);
    let (_, actions) = harness.request(BOUNDED);
    assert!(sent_servers(&actions).is_empty(), "{actions:?}");
    let probed = probe_targets(&actions);
    assert_eq!(
        probed.len(),
        1,
        "one replica is probed, not all: {actions:?}"
    );
    assert!(probed[0] != 1);
    harness.advance(5 * MS);
    assert_eq!(
        sent_servers(&harness.report(probed[0], false, 100 * MS)),
        probed
    );
    assert!(
        probe_targets(&harness.run_for(5_000)).is_empty(),
        "without requests nothing is probed"
    );
}

#[test]
fn a_replica_that_reports_a_lag_is_left_for_the_next_and_then_for_the_primary() {
    let mut harness = Harness::new(settings(), 3);
    harness.run_for(2_000);
    harness.report(1, true, Duration::ZERO);
    let (_, mut actions) = harness.request(BOUNDED);
    for _ in 0..2 {
        let probed = probe_targets(&actions);
        assert_eq!(probed.len(), 1, "{actions:?}");
        harness.advance(5 * MS);
        actions = harness.report(probed[0], false, 1_900 * MS);
    }
    assert_eq!(sent_servers(&actions), [1]);
}

#[test]
fn removed_members_are_probed_with_soft_removal() {
    // With a wrong endpoint list, the members' positions became stale, and all reads crowded the primaries.
    let mut harness = Harness::new(
        Settings {
            soft_removal: true,
            ..settings()
        },
        3,
    );
    harness.update_endpoints(
        (1..=3)
            .map(|s| endpoint(s, EndpointState::Removed))
            .collect(),
    );
    harness.run_for(2_000);
    harness.report(1, true, Duration::ZERO);
    let probed = probe_targets(&harness.request(BOUNDED).1);
    assert!(matches!(probed[..], [2 | 3]));
    assert_eq!(
        sent_servers(&harness.report(probed[0], false, Duration::ZERO)),
        probed
    );
}

#[test]
fn a_primary_that_cannot_be_reached_does_not_set_off_a_flood_of_probes() {
    // Where connections were scarce, there were 4.7 probes for each request.
    let mut harness = Harness::new(settings(), 4);
    harness.run_for(1_000);
    let (id, actions) = harness.request(WRITE);
    assert_eq!(sent_servers(&actions), [1]);
    let (mut probed, mut attempts) = (0, 0);
    let mut actions = harness.end_attempt(id, 0, 1, Outcome::ConnectFailed);
    for _ in 0..80 {
        for server in probe_targets(&actions) {
            probed += 1;
            harness.report(server, server == 1, Duration::ZERO);
        }
        if !sent_servers(&actions).is_empty() {
            attempts += 1;
            actions = harness.end_attempt(id, attempts, 1, Outcome::ConnectFailed);
        } else {
            actions = harness.run_for(5);
        }
    }
    assert!(
        probed < 4,
        "{probed} probes in 0.4 s, {attempts} more attempts"
    );
}
