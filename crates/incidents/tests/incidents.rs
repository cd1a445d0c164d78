//! Runs every incident with several seeds: which faults must be reported in time, and which reports must never occur.

use availability::LinkState;
use incidents::balancer::Server;
use incidents::outcome::Outcome;
use incidents::play::play;
use incidents::script::{all, Incident};
use std::time::Duration;

fn incident(name: &str) -> Incident {
    all().into_iter().find(|i| i.name == name).unwrap()
}

fn outcomes(incident: &Incident) -> Vec<Outcome> {
    (1..4).map(|seed| play(incident, seed)).collect()
}

#[test]
fn no_incident_takes_a_healthy_proxy_out_of_service() {
    for incident in all() {
        for outcome in outcomes(&incident) {
            assert_eq!(outcome.false_downs, 0, "{}", incident.name);
            assert_eq!(outcome.no_proxy_available, 0, "{}", incident.name);
        }
    }
}

/// With slow or dead record servers, the sum of the proxies' weights stays above the minimum.
#[test]
fn shared_faults_leave_enough_weight_in_service() {
    for name in ["all-slow", "all-dead", "drain-in-overload", "descriptors"] {
        let incident = incident(name);
        let counted = incident.proxies - incident.may_be_out.len();
        for outcome in outcomes(&incident) {
            assert!(
                outcome.least_weight_sum >= 50 * counted as u32,
                "{name}: {}",
                outcome.least_weight_sum
            );
        }
    }
}

#[test]
fn a_group_that_hangs_or_dies_is_reported_within_a_second() {
    for name in ["group-hung", "group-dead", "all-dead"] {
        for outcome in outcomes(&incident(name)) {
            assert!(
                outcome.last_report_delay <= Some(Duration::from_secs(1)),
                "{name}: {:?}",
                outcome.last_report_delay
            );
            // The other three of four groups are served throughout, and all groups before and after the fault.
            if name != "all-dead" {
                assert!(
                    outcome.served * 100 > outcome.requests * 88,
                    "{name}: {} of {}",
                    outcome.served,
                    outcome.requests
                );
                assert!(
                    outcome.least_weight_sum >= 240,
                    "{name}: {}",
                    outcome.least_weight_sum
                );
            }
        }
    }
}

#[test]
fn a_drain_is_reported_at_once_and_no_request_meets_a_closed_listener() {
    for name in ["two-intervals", "drain-in-overload"] {
        for outcome in outcomes(&incident(name)) {
            assert_eq!(outcome.not_listening, 0, "{name}");
            assert!(
                outcome.first_report_delay <= Some(Duration::from_millis(5)),
                "{name}: {:?}",
                outcome.first_report_delay
            );
        }
    }
}

#[test]
fn states_do_not_flap() {
    for incident in all() {
        for outcome in outcomes(&incident) {
            assert!(
                outcome.flaps <= 12,
                "{}: {} changes in a minute",
                incident.name,
                outcome.flaps
            );
        }
    }
}

#[test]
fn a_proxy_that_serves_without_discovery_keeps_its_full_weight() {
    for outcome in outcomes(&incident("no-discovery")) {
        assert_eq!(
            (outcome.first_report_delay, outcome.least_weight_sum),
            (None, 300)
        );
    }
}

/// Only the proxy whose own event loop is late gets a lower weight.
#[test]
fn only_the_proxy_with_a_late_loop_reports_it() {
    for outcome in outcomes(&incident("own-loop-late")) {
        let middle = outcome
            .samples
            .iter()
            .find(|s| s.at == Duration::from_secs(45))
            .unwrap();
        assert!(middle.weights[0] <= 10, "{:?}", middle.weights);
        assert!(
            middle.weights[1..].iter().all(|w| *w == 100),
            "{:?}",
            middle.weights
        );
        let last = outcome.samples.last().unwrap();
        assert!(last.weights.iter().all(|w| *w == 100), "{:?}", last.weights);
    }
}

/// The same seed gives the same state changes.
#[test]
fn the_same_seed_gives_the_same_state_changes() {
    let incident = incident("flapping");
    assert_eq!(
        play(&incident, 9).state_changes,
        play(&incident, 9).state_changes
    );
}

/// The balancer model keeps the administrative and operational states apart: `up` after `drain` is still a drain.
#[test]
fn an_agent_drain_ends_only_with_ready() {
    let mut server = Server::new();
    server.apply_agent_response("drain");
    server.apply_agent_response("up 50%");
    assert!(!server.takes_traffic());
    server.apply_agent_response("ready up 50%");
    assert!(server.takes_traffic());
    server.apply_agent_response("maint");
    assert!(!server.takes_traffic());
    server.apply_agent_response("down ready");
    assert!(!server.takes_traffic());
    server.apply_agent_response("up");
    assert!(server.takes_traffic());
    server.apply_agent_response("up 0%");
    assert!(!server.takes_traffic());
}

/// Only the proxy that is cut off gets a lower weight, soon after the cut; the restored link is detected in time.
#[test]
fn a_cut_link_affects_only_its_own_proxy() {
    let incident = incident("link-cut");
    for outcome in outcomes(&incident) {
        assert!(
            outcome
                .links
                .iter()
                .all(|(_, proxy, place, _)| (*proxy, *place) == (0, 1)),
            "{:?}",
            outcome.links
        );
        let time_of = |link| {
            outcome
                .links
                .iter()
                .find(|(.., l)| *l == link)
                .map(|(at, ..)| *at)
        };
        let cut = time_of(LinkState::Cut).unwrap() - incident.fault_window.0;
        assert!(cut <= Duration::from_millis(1_500), "{cut:?}");
        let up = time_of(LinkState::Up).unwrap();
        assert!(
            (incident.fault_window.1..incident.fault_window.1 + Duration::from_secs(3))
                .contains(&up),
            "{up:?}"
        );
        let middle = outcome
            .samples
            .iter()
            .find(|s| s.at == Duration::from_secs(45))
            .unwrap();
        assert!(
            (25..=75).contains(&middle.weights[0]),
            "{:?}",
            middle.weights
        );
        assert!(
            middle.weights[1..].iter().all(|w| *w == 100),
            "{:?}",
            middle.weights
        );
    }
}

/// Dead or hanging servers are not attributed to a proxy's own links.
#[test]
fn a_dead_or_hung_building_is_not_reported_as_a_cut_link() {
    for name in [
        "building-dies",
        "building-hung",
        "all-dead",
        "all-slow",
        "group-hung",
    ] {
        for outcome in outcomes(&incident(name)) {
            assert!(
                !outcome
                    .links
                    .iter()
                    .any(|(.., link)| *link == LinkState::Cut),
                "{name}: {:?}",
                outcome.links
            );
            assert!(
                outcome.least_weight_sum >= 150,
                "{name}: {}",
                outcome.least_weight_sum
            );
            let dead = outcome
                .links
                .iter()
                .filter(|(.., link)| *link == LinkState::Gone)
                .count();
            assert_eq!(
                dead,
                if name == "building-dies" { 3 } else { 0 },
                "{name}: {:?}",
                outcome.links
            );
        }
    }
}

/// Every proxy is cut off from the other building: each reports it, based on the list alone, and all stay in service.
#[test]
fn separated_buildings_leave_all_proxies_in_service() {
    let incident = incident("buildings-apart");
    for outcome in outcomes(&incident) {
        for proxy in 0..3 {
            let cut = outcome
                .links
                .iter()
                .find(|(_, p, _, link)| (*p, *link) == (proxy, LinkState::Cut))
                .unwrap();
            let after = cut.0 - incident.fault_window.0;
            assert!(
                (Duration::from_secs(10)..Duration::from_secs(14)).contains(&after),
                "{after:?}"
            );
        }
        assert!(
            outcome.least_weight_sum >= 75,
            "{}",
            outcome.least_weight_sum
        );
        assert_eq!(outcome.samples.last().unwrap().weights, vec![100; 3]);
    }
}
