//! Slow start: attempts sent to a server that warms up, by one router and by many with few requests each.

mod common;
use common::*;
use routing::*;
use std::time::Duration;

#[test]
fn a_server_that_warms_up_gets_a_part_of_what_warm_members_answer() {
    let mut harness = Harness::new(settings(), 3);
    let cold = Endpoint {
        started: harness.now,
        ..endpoint(4, EndpointState::Ready)
    };
    harness.update_endpoints(vec![cold]);
    let mut sent = [0; 5];
    for _ in 0..400 {
        harness.advance(2 * MS);
        if harness.now.0.as_millis().is_multiple_of(50) {
            for server in 1..=4 {
                harness.report(server, server == 1, Duration::ZERO);
            }
        }
        let requests: Vec<_> = (0..3).map(|_| harness.request(EVENTUAL)).collect();
        for (id, actions) in requests {
            for server in sent_servers(&actions) {
                sent[server as usize] += 1;
                harness.end_attempt(id, 0, server, Outcome::Ok);
            }
        }
    }
    let warm = (sent[2] + sent[3]) / 2;
    assert!(sent[4] > 0 && sent[4] < warm, "{sent:?}");
}

/// Attempts that a hundred routers send to a starting member when each of them gets one request and dispatches it
/// repeatedly.
fn total_sent_to_starting_member(class: u16, primary: bool) -> usize {
    let mut total = 0;
    for seed in 0..100 {
        let mut harness = Harness::in_fleet(100, 4, seed);
        for server in 1..=4 {
            harness.report(server, server == 1, Duration::ZERO);
        }
        let id = if primary { 1 } else { 4 };
        harness.update_endpoints(vec![Endpoint {
            started: harness.now,
            ..endpoint(id, EndpointState::Ready)
        }]);
        harness.advance(MS);
        for server in 1..=4 {
            harness.report(server, server == 1, Duration::ZERO);
        }
        let (_, mut actions) = harness.request(class);
        actions.extend(harness.run_for(200));
        total += sent_servers(&actions).iter().filter(|&&s| s == id).count();
    }
    total
}

#[test]
fn many_routers_with_little_traffic_do_not_overload_a_starting_server() {
    // When each router let one attempt through, the attempts together were 6.3 times what the server could handle.
    let bound = 3.0 * 0.25 * 100.0;
    let writes = total_sent_to_starting_member(WRITE, true) as f64;
    assert!(
        writes > 0.2 * bound && writes < bound,
        "{writes} of 100 writes sent to a starting primary"
    );
    let reads = total_sent_to_starting_member(EVENTUAL, false) as f64;
    assert!(
        reads > 0.0 && reads < bound / 4.0,
        "{reads} of 100 reads sent to one of four members"
    );
    assert_eq!(
        total_sent_to_starting_member(EVENTUAL, true),
        0,
        "reads go to other members"
    );
}

#[test]
fn a_request_beyond_the_budget_of_one_starting_server_may_go_to_another() {
    // Where all members of a group start, a separate draw for each of them excluded more requests than necessary. Each
    // of the three replicas can handle a fraction of 0.15, by the endpoint list and the settings.
    let bound = 0.8 * 3.0 * 0.25;
    let mut sent = 0;
    for seed in 0..1_000 {
        let mut harness = Harness::in_fleet(100, 4, seed);
        harness.update_endpoints(
            (1..=4)
                .map(|s| Endpoint {
                    started: harness.now,
                    ..endpoint(s, EndpointState::Ready)
                })
                .collect(),
        );
        harness.advance(MS);
        for server in 1..=4 {
            harness.report(server, server == 1, Duration::ZERO);
        }
        let (_, mut actions) = harness.request(EVENTUAL);
        actions.extend(harness.run_for(200));
        sent += usize::from(!sent_servers(&actions).is_empty());
    }
    let (independent, combined) = (1.0 - (1.0 - bound / 4.0_f64).powi(3), bound * 3.0 / 4.0);
    let served = sent as f64 / 1_000.0;
    assert!(
        served > (independent + combined) / 2.0 && served < combined + 0.04,
        "{served}"
    );
}

#[test]
fn a_starting_server_gets_no_more_when_most_of_its_group_has_left() {
    // The load was meant for six members, but the budget was computed for the two that were left.
    let mut sent = 0;
    for seed in 0..200 {
        let mut harness = Harness::in_fleet(200, 6, seed);
        harness.update_endpoints(
            (2..=5)
                .map(|s| endpoint(s, EndpointState::Draining))
                .collect(),
        );
        harness.update_endpoints(
            (2..=5)
                .map(|s| endpoint(s, EndpointState::Removed))
                .collect(),
        );
        harness.update_endpoints(vec![Endpoint {
            started: harness.now,
            ..endpoint(6, EndpointState::Ready)
        }]);
        harness.advance(MS);
        harness.report(6, false, Duration::ZERO);
        let (_, mut actions) = harness.request(EVENTUAL);
        actions.extend(harness.run_for(200));
        sent += sent_servers(&actions).iter().filter(|&&s| s == 6).count();
    }
    let bound = 3.0 * 0.25 * 200.0 / 6.0;
    assert!(
        sent > 0 && (sent as f64) < bound,
        "{sent} of 200 reads sent to the starting member of six"
    );
}

#[test]
fn a_request_goes_to_a_starting_server_once_at_most() {
    // When all members returned errors, the same requests came back up to eight times.
    for seed in 0..40 {
        let mut harness = Harness::with_seed(settings(), 2, seed);
        harness.update_endpoints(vec![Endpoint {
            started: harness.now,
            ..endpoint(2, EndpointState::Ready)
        }]);
        let (id, mut actions) = harness.request(EVENTUAL);
        let mut attempts = 0;
        for no in 0..6 {
            let Some(&server) = sent_servers(&actions).first() else {
                break;
            };
            attempts += usize::from(server == 2);
            harness.advance(MS);
            actions = harness.end_attempt(id, no, server, Outcome::Failed);
            actions.extend(harness.run_for(60));
        }
        assert!(
            attempts <= 1,
            "seed {seed}: {attempts} attempts at the starting server"
        );
    }
}

/// Number of reads sent to a starting replica within a second, after four seconds in which each of its answers took
/// `latency_ms`. It is the only replica; reads beyond its budget go to the primary.
fn sent_to_a_starting_server(latency_ms: u32, confidence_max: f64) -> usize {
    let mut harness = Harness::new(settings(), 0);
    harness.router = Router::with_tuning(
        settings(),
        Tuning {
            ramp_confidence_max: confidence_max,
            ..Tuning::default()
        },
        1,
        START,
    );
    harness.update_endpoints(vec![endpoint(1, EndpointState::Ready)]);
    harness.report(1, true, Duration::ZERO);
    let cold = Endpoint {
        started: harness.now,
        ..endpoint(5, EndpointState::Ready)
    };
    harness.update_endpoints(vec![cold]);
    harness.report(5, false, Duration::ZERO);
    let mut sent = 0;
    for step in 0..500_u64 {
        // One read after the other, so that no concurrency limit applies; a hundred per second.
        harness.advance(10 * MS);
        let (id, actions) = harness.request(EVENTUAL);
        let Some(&server) = sent_servers(&actions).first() else {
            continue;
        };
        sent += usize::from(server == 5 && step >= 400);
        let elapsed = MS * if server == 5 { latency_ms } else { 60 };
        harness.finish_request_with_role(id, server, Outcome::Ok, elapsed, server == 1);
    }
    sent
}

#[test]
fn a_starting_server_gets_more_while_its_answers_are_fast() {
    // The server has half of its capacity by then: 60 ms of work take 120 ms.
    let (fast, slow) = (
        sent_to_a_starting_server(100, 3.0),
        sent_to_a_starting_server(290, 3.0),
    );
    let (without_confidence, overloaded) = (
        sent_to_a_starting_server(100, 1.0),
        sent_to_a_starting_server(290, 1.0),
    );
    assert!(
        without_confidence > 0 && fast as f64 >= 1.2 * without_confidence as f64,
        "{fast} with ramp confidence, {without_confidence} without"
    );
    assert_eq!(
        slow, overloaded,
        "an overloaded server gains no ramp confidence"
    );
}

/// Reads sent to the starting replicas of 48 groups in the fifth second, after four seconds in which each group had two
/// reads.
fn sent_to_starting_servers(confidence_max: f64) -> usize {
    let tuning = Tuning {
        ramp_confidence_max: confidence_max,
        ..Tuning::default()
    };
    let many = Settings {
        router_count: 100,
        ..settings()
    };
    let mut sent = 0;
    for seed in 0..8 {
        let mut harness = Harness::new(many.clone(), 0);
        harness.router = Router::with_tuning(many.clone(), tuning, seed, START);
        let member = |group: u32, server: u32| Endpoint {
            group: GroupId(group),
            ..endpoint(2 * group + server, EndpointState::Ready)
        };
        let started = harness.now;
        harness.update_endpoints(
            (0..48)
                .flat_map(|g| {
                    [
                        member(g, 1),
                        Endpoint {
                            started,
                            ..member(g, 2)
                        },
                    ]
                })
                .collect(),
        );
        for group in 0..48 {
            harness.report(2 * group + 1, true, Duration::ZERO);
            harness.report(2 * group + 2, false, Duration::ZERO);
        }
        for second in 0..5 {
            let reads = if second == 4 { 480 } else { 24 };
            for read in 0..reads {
                harness.advance(1_000 * MS / reads);
                let arrival = Arrival {
                    group: GroupId((second * 24 + read) % 48),
                    ..harness.arrival(EVENTUAL)
                };
                let id = arrival.id;
                let actions = harness.event(Event::RequestArrived(arrival));
                let Some(&server) = sent_servers(&actions).first() else {
                    continue;
                };
                sent += usize::from(server % 2 == 0 && second == 4);
                let outcome = if second == 4 {
                    Outcome::Cancelled
                } else {
                    Outcome::Ok
                };
                harness.finish_request_with_role(id, server, outcome, 60 * MS, server % 2 == 1);
            }
        }
    }
    sent
}

#[test]
fn a_router_with_few_answers_from_each_starting_server_uses_the_answers_of_all() {
    // With one answer from each server in many seconds, a router could not build up confidence. A hundred routers
    // together sent new members 2 to 5 requests per second, though these answered as fast as warm ones, and the rest of
    // each group was overloaded.
    let (with_confidence, without_confidence) =
        (sent_to_starting_servers(3.0), sent_to_starting_servers(1.0));
    assert!(
        with_confidence as f64 >= 1.4 * without_confidence as f64,
        "{with_confidence} with ramp confidence, {without_confidence} without"
    );
}

#[test]
fn retries_do_not_add_to_what_a_starting_server_gets() {
    // Rejected clients retry up to three times: a budget that includes retries would exceed the load of first requests.
    let mut sent = [0; 2];
    for seed in 0..200 {
        for (index, is_client_retry) in [false, true].into_iter().enumerate() {
            let mut harness = Harness::in_fleet(200, 3, seed);
            harness.update_endpoints(vec![Endpoint {
                started: harness.now,
                ..endpoint(3, EndpointState::Ready)
            }]);
            harness.report(3, false, Duration::ZERO);
            let arrival = Arrival {
                is_client_retry,
                ..harness.arrival(EVENTUAL)
            };
            let actions = harness.event(Event::RequestArrived(arrival));
            sent[index] += sent_servers(&actions).iter().filter(|&&s| s == 3).count();
        }
    }
    assert!(sent[0] > 0 && sent[1] == 0, "{sent:?}");
}

#[test]
fn first_requests_of_a_fully_used_group_use_most_of_a_starting_servers_bound() {
    // Groups with only starting members rejected half of their requests, though they answered the rest as fast as warm
    // ones: half of the bound was reserved for retries, which do not go there.
    let sent = (0..1_000)
        .filter(|&seed| {
            let mut harness = Harness::in_fleet(1_000, 6, seed);
            harness.update_endpoints(
                (2..=5)
                    .map(|s| endpoint(s, EndpointState::Removed))
                    .collect(),
            );
            harness.update_endpoints(vec![Endpoint {
                started: harness.now,
                ..endpoint(6, EndpointState::Ready)
            }]);
            harness.report(1, true, Duration::ZERO);
            harness.report(6, false, Duration::ZERO);
            sent_servers(&harness.request(EVENTUAL).1) == [6]
        })
        .count();
    let overload_bound = 3.0 * 0.25 * 1_000.0 / 6.0;
    assert!(
        (0.7 * overload_bound..0.95 * overload_bound).contains(&(sent as f64)),
        "{sent} of 1000; {overload_bound} are an overload"
    );
}

#[test]
fn half_a_group_of_starting_servers_is_not_overloaded_by_routers_that_each_send_one_request() {
    let mut sent = [0_usize; 7];
    for seed in 0..1_000 {
        let mut harness = Harness::in_fleet(1_000, 6, seed);
        let started = harness.now;
        harness.update_endpoints(
            (4..=6)
                .map(|s| Endpoint {
                    started,
                    ..endpoint(s, EndpointState::Ready)
                })
                .collect(),
        );
        (1..=6).for_each(|s| _ = harness.report(s, s == 1, Duration::ZERO));
        let (_, mut actions) = harness.request(EVENTUAL);
        actions.extend(harness.run_for(200));
        sent_servers(&actions)
            .iter()
            .for_each(|&s| sent[s as usize] += 1);
    }
    let overload_bound = 3.0 * 0.25 * 1_000.0 / 6.0;
    assert!(
        sent[4..]
            .iter()
            .all(|&n| n > 0 && (n as f64) < 0.95 * overload_bound),
        "{sent:?} by server; {overload_bound} are an overload"
    );
}
