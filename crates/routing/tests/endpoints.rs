//! Endpoint list: drains, removals, polls, and the cached list of the previous process.

mod common;
use common::*;
use routing::*;

#[test]
fn nothing_new_is_sent_to_a_draining_or_removed_server() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut harness = Harness::new(settings(), 2);
        harness.update_endpoints(vec![endpoint(2, state)]);
        let (_, actions) = harness.request(BOUNDED);
        assert!(!sent_servers(&actions).contains(&2));
    }
}

#[test]
fn a_server_removed_without_a_drain_is_used_with_soft_removal() {
    let mut harness = Harness::new(
        Settings {
            soft_removal: true,
            ..settings()
        },
        2,
    );
    harness.update_endpoints(vec![endpoint(2, EndpointState::Removed)]);
    assert_eq!(sent_servers(&harness.request(BOUNDED).1), [2]);
    let mut harness = Harness::new(
        Settings {
            soft_removal: true,
            ..settings()
        },
        2,
    );
    harness.update_endpoints(vec![endpoint(2, EndpointState::Draining)]);
    harness.update_endpoints(vec![endpoint(2, EndpointState::Removed)]);
    assert!(!sent_servers(&harness.request(BOUNDED).1).contains(&2));
}

#[test]
fn the_list_is_polled_again_after_a_failure_with_one_poll_in_flight_at_a_time() {
    let mut harness = Harness::without_reports(
        Settings {
            endpoints_are_polled: true,
            ..settings()
        },
        0,
    );
    let poll_count = |actions: &[Action]| {
        actions
            .iter()
            .filter(|a| matches!(a, Action::PollEndpoints))
            .count()
    };
    let cached = harness.event(Event::Endpoints(EndpointUpdate::Cached(vec![endpoint(
        1,
        EndpointState::Ready,
    )])));
    assert_eq!(poll_count(&cached), 1);
    assert_eq!(
        poll_count(&harness.run_for(5_000)),
        0,
        "one poll is in flight"
    );
    let mut after = harness.event(Event::Endpoints(EndpointUpdate::Failed));
    after.extend(harness.run_for(1_000));
    assert_eq!(poll_count(&after), 1);
}

/// Regardless of the number of failed polls, the next one comes within the poll interval of the settings.
#[test]
fn the_list_is_polled_within_a_short_poll_interval() {
    for (within, routers) in [(1_000_u32, 2), (1_000, 300), (3_000, 2), (3_000, 300)] {
        let settings = Settings {
            endpoints_are_polled: true,
            max_poll_interval: within * MS,
            router_count: routers,
            ..settings()
        };
        let mut harness = Harness::without_reports(settings, 0);
        for failures in 1..20 {
            let mut after = harness.event(Event::Endpoints(EndpointUpdate::Failed));
            after.extend(harness.run_for(within.into()));
            let calls = after
                .iter()
                .filter(|a| matches!(a, Action::PollEndpoints))
                .count();
            assert_eq!(
                calls, 1,
                "within {within} ms after {failures} failed calls, one of {routers} routers"
            );
        }
    }
}

#[test]
fn a_removed_server_gets_no_requests_after_a_late_result() {
    let mut harness = Harness::new(settings(), 2);
    let (id, actions) = harness.request(EVENTUAL);
    let server = sent_servers(&actions)[0];
    harness.update_endpoints(vec![endpoint(server, EndpointState::Removed)]);
    let actions = harness.end_attempt(id, 0, server, Outcome::Reset);
    assert_ne!(sent_servers(&actions), [server]);
    harness.update_endpoints(vec![endpoint(server, EndpointState::Removed)]);
    assert!(!sent_servers(&harness.request(EVENTUAL).1).contains(&server));
}

#[test]
fn draining_and_backed_off_servers_count_as_unavailable() {
    let mut harness = Harness::new(settings(), 3);
    assert_eq!(harness.router.unavailable_servers(harness.now), 0);
    harness.update_endpoints(vec![endpoint(2, EndpointState::Draining)]);
    assert_eq!(harness.router.unavailable_servers(harness.now), 1);
    let (id, _) = harness.request(WRITE);
    harness.end_attempt(id, 0, 1, Outcome::ConnectFailed);
    assert_eq!(harness.router.unavailable_servers(harness.now), 2);
    harness.advance(10_000 * MS);
    assert_eq!(harness.router.unavailable_servers(harness.now), 1);
    harness.update_endpoints(vec![endpoint(2, EndpointState::Removed)]);
    assert_eq!(harness.router.unavailable_servers(harness.now), 0);
}

/// Number of routers that poll the list within each second after an event, and the longest wait in milliseconds.
fn polls_of_a_fleet(routers: u32, after: fn(&mut Harness) -> Vec<Action>) -> (Vec<usize>, u64) {
    let (mut by_second, mut longest) = (vec![0; 12], 0);
    let polls = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::PollEndpoints));
    for seed in 0..u64::from(routers) {
        let fleet_settings = Settings {
            endpoints_are_polled: true,
            router_count: routers,
            ..settings()
        };
        let mut harness = Harness::with_seed(fleet_settings, 0, seed * 7_919);
        let begin = harness.now;
        let mut actions = after(&mut harness);
        while !polls(&actions) {
            actions = harness.run_for(50);
        }
        let waited = harness.now.since(begin).as_millis() as u64;
        by_second[(waited / 1_000) as usize] += 1;
        longest = longest.max(waited);
    }
    (by_second, longest)
}

#[test]
fn a_hundred_routers_that_start_or_lose_the_list_together_do_not_poll_in_step() {
    // Discovery takes 50 to 60 ms for each call, one after the other, and also handles calls whose callers gave up
    // after two seconds. When seventy proxies restarted at the same instant, five got the list, and no further poll of
    // theirs was answered in twelve seconds.
    let starts: fn(&mut Harness) -> _ = |harness| {
        harness.event(Event::Endpoints(EndpointUpdate::Cached(vec![endpoint(
            1,
            EndpointState::Ready,
        )])))
    };
    let loses_list: fn(&mut Harness) -> _ =
        |harness| harness.event(Event::Endpoints(EndpointUpdate::Failed));
    // After a failure there is less time, and all of it is used.
    let spans = [
        (starts, discovery_schedule::first_poll_delay(10_000 * MS)),
        (loses_list, discovery_schedule::MAX_RETRY_DELAY),
    ];
    for (after, span) in spans {
        let (polls_by_second, longest) = polls_of_a_fleet(100, after);
        let even = 100_000 / span.as_millis() as usize;
        assert!(
            polls_by_second.iter().all(|&calls| calls <= even * 3 / 2),
            "{polls_by_second:?} calls by second, {even} in an even distribution"
        );
        let span = span.as_millis() as u64;
        assert!(
            (span * 9 / 10..=span + 50).contains(&longest),
            "{longest} of {span} ms"
        );
        let (few, longest) = polls_of_a_fleet(4, after);
        assert!(
            few[0] == 4 && longest < 500,
            "a small fleet polls within half a second: {few:?}, {longest} ms"
        );
    }
}

/// Of a hundred proxies, 53 were killed and restarted 2.6 s later with their cached list. Those that polled more than 4
/// s after the restart still sent to removed members six seconds after the removal, when it counts as notified.
#[test]
fn a_cached_list_is_used_for_a_short_time_only() {
    let fleet_settings = Settings {
        endpoints_are_polled: true,
        router_count: 300,
        ..settings()
    };
    let restarted = || {
        let mut harness = Harness::new(fleet_settings.clone(), 0);
        harness.event(Event::Endpoints(EndpointUpdate::Cached(vec![
            endpoint(1, EndpointState::Ready),
            endpoint(2, EndpointState::Ready),
        ])));
        harness
    };
    let mut fresh = restarted();
    assert_eq!(
        sent_servers(&fresh.request(EVENTUAL).1).len(),
        1,
        "the cached list is used at first"
    );
    let mut outdated = restarted();
    outdated.advance(discovery_schedule::CACHED_LIST_LIFETIME);
    let (id, actions) = outdated.request(EVENTUAL);
    assert!(
        sent_servers(&actions).is_empty() && !is_rejected(&actions, id),
        "queued: {actions:?}"
    );
    let actions = outdated.event(Event::Endpoints(EndpointUpdate::Changes(vec![endpoint(
        1,
        EndpointState::Removed,
    )])));
    assert_eq!(
        sent_servers(&actions),
        [2],
        "sent as soon as the list is known"
    );
    let mut unchanged = restarted();
    unchanged.advance(discovery_schedule::CACHED_LIST_LIFETIME);
    unchanged.event(Event::Endpoints(EndpointUpdate::Changes(Vec::new())));
    assert_eq!(
        sent_servers(&unchanged.request(EVENTUAL).1).len(),
        1,
        "the list is confirmed without changes"
    );
    let mut unanswered = restarted();
    unanswered.advance(discovery_schedule::NOTIFICATION_DEADLINE);
    assert_eq!(
        sent_servers(&unanswered.request(EVENTUAL).1).len(),
        1,
        "without any response the cached list is used again"
    );
    let mut unreachable = restarted();
    unreachable.advance(discovery_schedule::CACHED_LIST_LIFETIME);
    unreachable.event(Event::Endpoints(EndpointUpdate::Failed));
    assert_eq!(
        sent_servers(&unreachable.request(EVENTUAL).1).len(),
        1,
        "after a failed poll the cached list is the newest one"
    );
}

#[test]
fn the_next_poll_is_in_time_for_any_number_of_failures_and_routers() {
    // The next poll came up to 7.5 s after a failure in a fleet of a hundred, and up to 4.5 s in a fleet of four. A
    // change counts as notified 6 s after discovery is reachable again, and the poll has to wait in discovery's queue.
    let polls = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::PollEndpoints));
    for routers in [1, 2, 8, 9, 20, 54, 55, 100, 300, 1_000] {
        for seed in 0..20 {
            let fleet_settings = Settings {
                endpoints_are_polled: true,
                router_count: routers,
                ..settings()
            };
            let mut harness = Harness::with_seed(fleet_settings, 0, seed * 7_919);
            for failure in 1..12 {
                let begin = harness.now;
                let mut actions = harness.event(Event::Endpoints(EndpointUpdate::Failed));
                while !polls(&actions) {
                    actions = harness.run_for(10);
                }
                let waited = harness.now.since(begin);
                assert!(
                    waited <= discovery_schedule::MAX_RETRY_DELAY + 10 * MS,
                    "{waited:?}, failure {failure} among {routers}"
                );
            }
        }
    }
}

#[test]
fn polls_of_routers_stay_spread_while_discovery_is_down() {
    // Polls are refused immediately, as while discovery is down.
    let polls = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::PollEndpoints));
    let (mut next, mut calls) = (vec![0; 8], 0);
    let recovery = 20_000 * MS;
    for seed in 0..300 {
        let fleet_settings = Settings {
            endpoints_are_polled: true,
            router_count: 300,
            ..settings()
        };
        let mut harness = Harness::with_seed(fleet_settings, 0, seed * 7_919);
        let begin = harness.now;
        let mut actions = harness.event(Event::Endpoints(EndpointUpdate::Failed));
        loop {
            while !polls(&actions) {
                actions = harness.run_for(10);
            }
            let since = harness.now.since(begin);
            if since >= recovery {
                next[((since - recovery).as_millis() / 500) as usize] += 1;
                break;
            }
            calls += 1;
            actions = harness.event(Event::Endpoints(EndpointUpdate::Failed));
        }
    }
    // An even distribution would be 40 in each half second.
    assert!(
        next.iter().all(|&calls| calls <= 65),
        "{next:?} calls by half second"
    );
    assert!(calls <= 300 * 20_000 / 3_200, "{calls} failed calls");
}
