//! What a server that warms up gets: one router, and many with few requests each.

mod common;
use common::*;
use routing::*;
use std::time::Duration;

#[test]
fn a_server_that_warms_up_gets_a_part_of_what_warm_members_answer() {
    let mut bench = Bench::new(settings(), 3);
    let cold = Endpoint {
        started: bench.now,
        ..endpoint(4, EndpointState::Ready)
    };
    bench.list(vec![cold]);
    let mut sent = [0; 5];
    for _ in 0..400 {
        bench.wait(2 * MS);
        if bench.now.0.as_millis().is_multiple_of(50) {
            for server in 1..=4 {
                bench.report(server, server == 1, Duration::ZERO);
            }
        }
        let asked: Vec<_> = (0..3).map(|_| bench.request(EVENTUAL)).collect();
        for (id, actions) in asked {
            for server in sends(&actions) {
                sent[server as usize] += 1;
                bench.end(id, 0, server, Outcome::Ok);
            }
        }
    }
    let warm = (sent[2] + sent[3]) / 2;
    assert!(sent[4] > 0 && sent[4] < warm, "{sent:?}");
}

/// What a hundred routers send a starting member when each of them gets one request, and looks again.
fn sent_by_many_to_a_starting_member(class: u16, primary: bool) -> usize {
    let mut total = 0;
    for seed in 0..100 {
        let mut bench = Bench::of_fleet(100, 4, seed);
        for server in 1..=4 {
            bench.report(server, server == 1, Duration::ZERO);
        }
        let id = if primary { 1 } else { 4 };
        bench.list(vec![Endpoint {
            started: bench.now,
            ..endpoint(id, EndpointState::Ready)
        }]);
        bench.wait(MS);
        for server in 1..=4 {
            bench.report(server, server == 1, Duration::ZERO);
        }
        let (_, mut actions) = bench.request(class);
        actions.extend(bench.pass(200));
        total += sends(&actions).iter().filter(|&&s| s == id).count();
    }
    total
}

#[test]
fn many_routers_with_little_traffic_do_not_overload_a_starting_server() {
    // Seen on a day drawn to test rules: each router let one attempt through, together 6.3 times what the server could do.
    let bears = 3.0 * 0.25 * 100.0;
    let writes = sent_by_many_to_a_starting_member(WRITE, true) as f64;
    assert!(
        writes > 0.2 * bears && writes < bears,
        "{writes} writes of 100 at a starting primary"
    );
    let reads = sent_by_many_to_a_starting_member(EVENTUAL, false) as f64;
    assert!(
        reads > 0.0 && reads < bears / 4.0,
        "{reads} reads of 100 at one of four members"
    );
    assert_eq!(
        sent_by_many_to_a_starting_member(EVENTUAL, true),
        0,
        "reads have others to go to"
    );
}

#[test]
fn what_one_starting_server_may_not_have_another_may() {
    // Seen in the experiment of a power loss: where all members of a group start, one draw for each of them excluded more
    // than they could not bear in sum. Three of four bear a part of 0.15 each, as the list and the settings have it.
    let bears = 0.8 * 3.0 * 0.25;
    let mut sent = 0;
    for seed in 0..1_000 {
        let mut bench = Bench::of_fleet(100, 4, seed);
        bench.list(
            (1..=4)
                .map(|s| Endpoint {
                    started: bench.now,
                    ..endpoint(s, EndpointState::Ready)
                })
                .collect(),
        );
        bench.wait(MS);
        for server in 1..=4 {
            bench.report(server, server == 1, Duration::ZERO);
        }
        let (_, mut actions) = bench.request(EVENTUAL);
        actions.extend(bench.pass(200));
        sent += usize::from(!sends(&actions).is_empty());
    }
    let (apart, together) = (1.0 - (1.0 - bears / 4.0_f64).powi(3), bears * 3.0 / 4.0);
    let served = sent as f64 / 1_000.0;
    assert!(
        served > (apart + together) / 2.0 && served < together + 0.04,
        "{served}"
    );
}

#[test]
fn a_starting_server_gets_no_more_when_most_of_its_group_has_left() {
    // Seen on day h99f668: the requests were meant for six members, and the budget went by the two that were left.
    let mut sent = 0;
    for seed in 0..200 {
        let mut bench = Bench::of_fleet(200, 6, seed);
        bench.list(
            (2..=5)
                .map(|s| endpoint(s, EndpointState::Draining))
                .collect(),
        );
        bench.list(
            (2..=5)
                .map(|s| endpoint(s, EndpointState::Removed))
                .collect(),
        );
        bench.list(vec![Endpoint {
            started: bench.now,
            ..endpoint(6, EndpointState::Ready)
        }]);
        bench.wait(MS);
        bench.report(6, false, Duration::ZERO);
        let (_, mut actions) = bench.request(EVENTUAL);
        actions.extend(bench.pass(200));
        sent += sends(&actions).iter().filter(|&&s| s == 6).count();
    }
    let bears = 3.0 * 0.25 * 200.0 / 6.0;
    assert!(
        sent > 0 && (sent as f64) < bears,
        "{sent} of 200 reads for six members"
    );
}

#[test]
fn a_request_goes_to_a_starting_server_once_at_most() {
    // Seen on recorded day i60ceae: with errors everywhere the same requests came back up to eight times.
    for seed in 0..40 {
        let mut bench = Bench::seeded(settings(), 2, seed);
        bench.list(vec![Endpoint {
            started: bench.now,
            ..endpoint(2, EndpointState::Ready)
        }]);
        let (id, mut actions) = bench.request(EVENTUAL);
        let mut there = 0;
        for no in 0..6 {
            let Some(&server) = sends(&actions).first() else {
                break;
            };
            there += usize::from(server == 2);
            bench.wait(MS);
            actions = bench.end(id, no, server, Outcome::Failed);
            actions.extend(bench.pass(60));
        }
        assert!(
            there <= 1,
            "seed {seed}: {there} attempts at the starting server"
        );
    }
}

/// Reads that a starting replica is sent within a second, after four seconds in which its answers took so long each. It
/// is the only one, and what it may not have goes to the primary.
fn sent_to_a_starting_server(took_ms: u32, trust_most: f64) -> usize {
    let mut bench = Bench::new(settings(), 0);
    bench.router = Router::with_tuning(
        settings(),
        Tuning {
            ramp_confidence_max: trust_most,
            ..Tuning::default()
        },
        1,
        BEGIN,
    );
    bench.list(vec![endpoint(1, EndpointState::Ready)]);
    bench.report(1, true, Duration::ZERO);
    let cold = Endpoint {
        started: bench.now,
        ..endpoint(5, EndpointState::Ready)
    };
    bench.list(vec![cold]);
    bench.report(5, false, Duration::ZERO);
    let mut sent = 0;
    for step in 0..500_u64 {
        // One read after the other, so that no limit matters; a hundred a second.
        bench.wait(10 * MS);
        let (id, actions) = bench.request(EVENTUAL);
        let Some(&server) = sends(&actions).first() else {
            continue;
        };
        sent += usize::from(server == 5 && step >= 400);
        let elapsed = MS * if server == 5 { took_ms } else { 60 };
        bench.finish_with_role(id, server, Outcome::Ok, elapsed, server == 1);
    }
    sent
}

#[test]
fn a_starting_server_gets_more_while_it_answers_as_fast_as_one_so_cold_can() {
    // It has half of its capacity by then: 60 ms of work take 120.
    let (fast, slow) = (
        sent_to_a_starting_server(100, 3.0),
        sent_to_a_starting_server(290, 3.0),
    );
    let (unproven, crowded) = (
        sent_to_a_starting_server(100, 1.0),
        sent_to_a_starting_server(290, 1.0),
    );
    assert!(
        unproven > 0 && fast as f64 >= 1.2 * unproven as f64,
        "{fast} proven, {unproven} without that"
    );
    assert_eq!(slow, crowded, "where it is overloaded nothing is proven");
}

/// Reads that a router has of a starting replica in each of 48 groups, in the fifth second after
/// four in which each group had two reads.
fn sent_to_starting_servers(trust_most: f64) -> usize {
    let tuning = Tuning {
        ramp_confidence_max: trust_most,
        ..Tuning::default()
    };
    let many = Settings {
        router_count: 100,
        ..settings()
    };
    let mut sent = 0;
    for seed in 0..8 {
        let mut bench = Bench::new(many.clone(), 0);
        bench.router = Router::with_tuning(many.clone(), tuning, seed, BEGIN);
        let of = |group: u32, server: u32| Endpoint {
            group: GroupId(group),
            ..endpoint(2 * group + server, EndpointState::Ready)
        };
        let started = bench.now;
        bench.list(
            (0..48)
                .flat_map(|g| {
                    [
                        of(g, 1),
                        Endpoint {
                            started,
                            ..of(g, 2)
                        },
                    ]
                })
                .collect(),
        );
        for group in 0..48 {
            bench.report(2 * group + 1, true, Duration::ZERO);
            bench.report(2 * group + 2, false, Duration::ZERO);
        }
        for second in 0..5 {
            let reads = if second == 4 { 480 } else { 24 };
            for read in 0..reads {
                bench.wait(1_000 * MS / reads);
                let arrival = Arrival {
                    group: GroupId((second * 24 + read) % 48),
                    ..bench.arrival(EVENTUAL)
                };
                let id = arrival.id;
                let actions = bench.event(Event::RequestArrived(arrival));
                let Some(&server) = sends(&actions).first() else {
                    continue;
                };
                sent += usize::from(server % 2 == 0 && second == 4);
                let outcome = if second == 4 {
                    Outcome::Cancelled
                } else {
                    Outcome::Ok
                };
                bench.finish_with_role(id, server, outcome, 60 * MS, server % 2 == 1);
            }
        }
    }
    sent
}

#[test]
fn a_router_that_seldom_hears_from_each_starting_server_learns_over_all_of_them() {
    // Seen on join+vast: new members had 2 to 5 requests a second from a hundred routers together while they answered as fast
    // as warm ones, and the rest of each group was overloaded. Each router had an answer of each only once in many seconds.
    let (learned, unproven) = (sent_to_starting_servers(3.0), sent_to_starting_servers(1.0));
    assert!(
        learned as f64 >= 1.4 * unproven as f64,
        "{learned} learned, {unproven} without"
    );
}

#[test]
fn retries_do_not_add_to_what_a_starting_server_gets() {
    // Clients that are rejected come back up to three times: a budget for retries too would exceed what first requests bring.
    let mut sent = [0; 2];
    for seed in 0..200 {
        for (at, repeated) in [false, true].into_iter().enumerate() {
            let mut bench = Bench::of_fleet(200, 3, seed);
            bench.list(vec![Endpoint {
                started: bench.now,
                ..endpoint(3, EndpointState::Ready)
            }]);
            bench.report(3, false, Duration::ZERO);
            let arrival = Arrival {
                is_client_retry: repeated,
                ..bench.arrival(EVENTUAL)
            };
            let actions = bench.event(Event::RequestArrived(arrival));
            sent[at] += sends(&actions).iter().filter(|&&s| s == 3).count();
        }
    }
    assert!(sent[0] > 0 && sent[1] == 0, "{sent:?}");
}

#[test]
fn first_requests_of_a_fully_used_group_use_most_of_what_a_starting_server_bears() {
    // Seen on join+vast: groups of starting members alone rejected half of their requests while they answered the rest as
    // fast as warm ones. Half of the bound was kept for retries, which no longer go there.
    let sent = (0..1_000)
        .filter(|&seed| {
            let mut bench = Bench::of_fleet(1_000, 6, seed);
            bench.list(
                (2..=5)
                    .map(|s| endpoint(s, EndpointState::Removed))
                    .collect(),
            );
            bench.list(vec![Endpoint {
                started: bench.now,
                ..endpoint(6, EndpointState::Ready)
            }]);
            bench.report(1, true, Duration::ZERO);
            bench.report(6, false, Duration::ZERO);
            sends(&bench.request(EVENTUAL).1) == [6]
        })
        .count();
    let tips = 3.0 * 0.25 * 1_000.0 / 6.0;
    assert!(
        (0.7 * tips..0.95 * tips).contains(&(sent as f64)),
        "{sent} of 1000, where {tips} overload it"
    );
}

#[test]
fn half_a_group_of_starting_servers_is_not_overloaded_by_routers_that_each_send_one_request() {
    let mut sent = [0_usize; 7];
    for seed in 0..1_000 {
        let mut bench = Bench::of_fleet(1_000, 6, seed);
        let started = bench.now;
        bench.list(
            (4..=6)
                .map(|s| Endpoint {
                    started,
                    ..endpoint(s, EndpointState::Ready)
                })
                .collect(),
        );
        (1..=6).for_each(|s| _ = bench.report(s, s == 1, Duration::ZERO));
        let (_, mut actions) = bench.request(EVENTUAL);
        actions.extend(bench.pass(200));
        sends(&actions).iter().for_each(|&s| sent[s as usize] += 1);
    }
    let tips = 3.0 * 0.25 * 1_000.0 / 6.0;
    assert!(
        sent[4..].iter().all(|&n| n > 0 && (n as f64) < 0.95 * tips),
        "{sent:?}, where {tips} overload one"
    );
}
