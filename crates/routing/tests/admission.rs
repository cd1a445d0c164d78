//! Admission: overload, priorities and quotas.

mod common;
use common::*;
use routing::*;
use std::time::Duration;

/// Number of 100 requests that are rejected on arrival after `ends` attempts ended with `outcome`.
fn rejected_on_arrival(class: u16, outcome: Outcome, ends: usize) -> usize {
    let mut harness = Harness::new(settings(), 3);
    for _ in 0..ends {
        let (id, actions) = harness.request(EVENTUAL);
        harness.advance(100 * MS);
        if let Some(&server) = sent_servers(&actions).first() {
            harness.end_attempt(id, 0, server, outcome);
        }
    }
    harness.advance(10_000 * MS);
    let rejected = |harness: &mut Harness| {
        let (id, actions) = harness.request(class);
        // Nothing stays in flight, and the request changes no estimate.
        harness.event(Event::ClientLeft(id));
        sent_servers(&actions)
            .iter()
            .for_each(|&server| _ = harness.end_attempt(id, 0, server, Outcome::Cancelled));
        usize::from(is_rejected(&actions, id))
    };
    (0..100).map(|_| rejected(&mut harness)).sum()
}

#[test]
fn overload_sustained_by_retries_reduces_admission() {
    // Clients' retries can keep every server full, so that attempts are rejected or executed in vain for a whole day. A
    // router has to admit less while that lasts.
    assert_eq!(rejected_on_arrival(WRITE, Outcome::Ok, 40), 0);
    assert!(rejected_on_arrival(EVENTUAL, Outcome::Rejected, 40) > 30);
    // Failed connects are not overload: rejecting requests would not help.
    assert_eq!(rejected_on_arrival(WRITE, Outcome::ConnectFailed, 40), 0);
}

#[test]
fn overload_in_one_group_rejects_no_requests_of_another() {
    // With a single admission fraction for all groups, half of the requests were rejected in groups that were not
    // overloaded.
    let mut harness = Harness::new(settings(), 3);
    let member_of_other_group = |server: u32| Endpoint {
        group: GroupId(1),
        ..endpoint(server, EndpointState::Ready)
    };
    harness.update_endpoints((11..=13).map(member_of_other_group).collect());
    let mut rejected = [0; 2];
    for round in 0..200 {
        for group in 0..2 {
            let arrival = Arrival {
                group: GroupId(group),
                ..harness.arrival(EVENTUAL)
            };
            let id = arrival.id;
            let actions = harness.event(Event::RequestArrived(arrival));
            rejected[group as usize] += usize::from(is_rejected(&actions, id) && round >= 100);
            harness.advance(20 * MS);
            let outcome = if group == 0 {
                Outcome::Rejected
            } else {
                Outcome::Ok
            };
            sent_servers(&actions)
                .iter()
                .for_each(|&server| _ = harness.end_attempt(id, 0, server, outcome));
            harness.event(Event::ClientLeft(id));
        }
    }
    assert!(
        rejected[0] > 30,
        "the overloaded group gets fewer requests: {rejected:?}"
    );
    assert_eq!(rejected[1], 0, "the other group rejects no request");
}

#[test]
fn one_of_many_routers_detects_a_burst_and_its_end_from_all_groups() {
    // Half a minute after a burst, routers still rejected requests of groups that answered in time.
    let mut harness = Harness::new(
        Settings {
            router_count: 300,
            ..settings()
        },
        3,
    );
    let entries = (1..20).map(|g| Endpoint {
        group: GroupId(g),
        ..endpoint(10 + g, EndpointState::Ready)
    });
    harness.update_endpoints(entries.collect());
    let mut rejections = Vec::new();
    for late in [true, false] {
        for round in 0..120 {
            let arrival = Arrival {
                group: GroupId(1 + round % 19),
                ..harness.arrival(EVENTUAL)
            };
            let id = arrival.id;
            let actions = harness.event(Event::RequestArrived(arrival));
            let elapsed = if late { 900 * MS } else { 20 * MS };
            harness.advance(elapsed);
            for server in sent_servers(&actions) {
                harness.finish_request(id, server, Outcome::Ok, elapsed);
            }
            harness.event(Event::ClientLeft(id));
            harness.advance(100 * MS);
        }
        // The request is for a group without any answer so far.
        let is_next_rejected = |harness: &mut Harness| {
            let arrival = Arrival {
                group: GroupId(0),
                ..harness.arrival(EVENTUAL)
            };
            let id = arrival.id;
            let actions = harness.event(Event::RequestArrived(arrival));
            harness.event(Event::ClientLeft(id));
            usize::from(is_rejected(&actions, id))
        };
        rejections.push(
            (0..100)
                .map(|_| is_next_rejected(&mut harness))
                .sum::<usize>(),
        );
    }
    assert!(rejections[0] > 30 && rejections[1] == 0, "{rejections:?}");
}

/// Number of 200 requests, each in a fleet of its own, that are sent after six answers, the last `rejections` of which
/// are rejections.
fn sent_after_answers(
    rejections: usize,
    quota_status: QuotaStatus,
    over_quota_weight_fraction: f64,
    shed_fraction: f64,
) -> usize {
    let mut sent = 0;
    for seed in 0..200 {
        let mut harness = Harness::with_seed(
            Settings {
                over_quota_weight_fraction,
                ..settings()
            },
            3,
            seed,
        );
        harness.report(1, true, Duration::ZERO);
        for answer in 0..6 {
            harness.run_for(100);
            let (id, actions) = harness.request(EVENTUAL);
            let outcome = if answer + rejections >= 6 {
                Outcome::Rejected
            } else {
                Outcome::Ok
            };
            if let Some(&server) = sent_servers(&actions).first() {
                harness.end_attempt(id, 0, server, outcome);
            }
            harness.event(Event::ClientLeft(id));
        }
        let arrival = Arrival {
            quota_status,
            shed_fraction,
            ..harness.arrival(EVENTUAL)
        };
        sent += sent_servers(&harness.event(Event::RequestArrived(arrival))).len();
    }
    sent
}

#[test]
fn over_quota_requests_are_rejected_first_and_served_while_there_is_capacity() {
    assert_eq!(
        sent_after_answers(0, QuotaStatus::OverQuota, 0.05, 0.0),
        200
    );
    // A single rejection by a server may be coincidence.
    let after_one_rejection = sent_after_answers(1, QuotaStatus::OverQuota, 0.05, 0.0);
    assert!(
        (70..140).contains(&after_one_rejection),
        "{after_one_rejection}"
    );
    assert!(sent_after_answers(3, QuotaStatus::OverQuota, 0.05, 0.0) < 50);
    assert!(sent_after_answers(1, QuotaStatus::WithinQuota, 0.05, 0.0) > 120);
    // With the full weight, an over-quota request is served like any other.
    assert!(sent_after_answers(1, QuotaStatus::OverQuota, 1.0, 0.0) > 120);
    // The lower of the two fractions applies, not their product.
    assert!((80..120).contains(&sent_after_answers(0, QuotaStatus::WithinQuota, 0.05, 0.5)));
    assert_eq!(
        sent_after_answers(0, QuotaStatus::WithinQuota, 0.05, 1.0),
        0
    );
    let sent_over_quota = |shed| sent_after_answers(3, QuotaStatus::OverQuota, 0.05, shed);
    assert!(
        sent_over_quota(0.0) > 0 && sent_over_quota(0.5) == sent_over_quota(0.0),
        "{} {}",
        sent_over_quota(0.0),
        sent_over_quota(0.5)
    );
    // A borrowed request does not displace another one.
    assert_eq!(sent_after_answers(0, QuotaStatus::Borrowed, 0.05, 0.0), 200);
    assert_eq!(sent_after_answers(3, QuotaStatus::Borrowed, 0.05, 0.0), 0);
}
