//! Which requests are admitted: overload, priorities and quotas.

mod common;
use common::*;
use routing::*;
use std::time::Duration;

/// Of 100 requests, how many are rejected on arrival after this many attempts ended with `outcome`.
fn rejected_on_arrival(class: u16, outcome: Outcome, ends: usize) -> usize {
    let mut bench = Bench::new(settings(), 3);
    for _ in 0..ends {
        let (id, actions) = bench.request(EVENTUAL);
        bench.wait(100 * MS);
        if let Some(&server) = sends(&actions).first() {
            bench.end(id, 0, server, outcome);
        }
    }
    bench.wait(10_000 * MS);
    let turned = |bench: &mut Bench| {
        let (id, actions) = bench.request(class);
        // Nothing stays in flight, and nothing is learned from it.
        bench.event(Event::ClientLeft(id));
        sends(&actions)
            .iter()
            .for_each(|&server| _ = bench.end(id, 0, server, Outcome::Cancelled));
        usize::from(rejected(&actions, id))
    };
    (0..100).map(|_| turned(&mut bench)).sum()
}

#[test]
fn overload_that_retries_keep_up_is_answered_by_admitting_less() {
    // Seen on recorded days i30461c and ic9dd48: retries kept every server full, and attempts were rejected or executed in
    // vain for the whole day. A router has to admit less while that lasts.
    assert_eq!(rejected_on_arrival(WRITE, Outcome::Ok, 40), 0);
    assert!(rejected_on_arrival(EVENTUAL, Outcome::Rejected, 40) > 30);
    // Failed connects are no overload: nothing is gained by rejecting.
    assert_eq!(rejected_on_arrival(WRITE, Outcome::ConnectFailed, 40), 0);
}

#[test]
fn overload_in_one_group_rejects_no_requests_of_another() {
    // Seen on join+vast: one admission fraction for all groups rejected half of the requests of groups that were not
    // overloaded.
    let mut bench = Bench::new(settings(), 3);
    let other = |server: u32| Endpoint {
        group: GroupId(1),
        ..endpoint(server, EndpointState::Ready)
    };
    bench.list((11..=13).map(other).collect());
    let mut turned = [0; 2];
    for round in 0..200 {
        for group in 0..2 {
            let arrival = Arrival {
                group: GroupId(group),
                ..bench.arrival(EVENTUAL)
            };
            let id = arrival.id;
            let actions = bench.event(Event::RequestArrived(arrival));
            turned[group as usize] += usize::from(rejected(&actions, id) && round >= 100);
            bench.wait(20 * MS);
            let outcome = if group == 0 {
                Outcome::Rejected
            } else {
                Outcome::Ok
            };
            sends(&actions)
                .iter()
                .for_each(|&server| _ = bench.end(id, 0, server, outcome));
            bench.event(Event::ClientLeft(id));
        }
    }
    assert!(turned[0] > 30, "the overloaded group is spared: {turned:?}");
    assert_eq!(turned[1], 0, "the other serves all");
}

#[test]
fn one_of_many_routers_learns_of_a_burst_and_of_its_end_from_all_groups() {
    // Seen on calm+mass: half a minute after a burst, routers still rejected requests of groups that answered in time.
    let mut bench = Bench::new(
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
    bench.list(entries.collect());
    let mut refusals = Vec::new();
    for late in [true, false] {
        for round in 0..120 {
            let arrival = Arrival {
                group: GroupId(1 + round % 19),
                ..bench.arrival(EVENTUAL)
            };
            let id = arrival.id;
            let actions = bench.event(Event::RequestArrived(arrival));
            let elapsed = if late { 900 * MS } else { 20 * MS };
            bench.wait(elapsed);
            for server in sends(&actions) {
                bench.finish(id, server, Outcome::Ok, elapsed);
            }
            bench.event(Event::ClientLeft(id));
            bench.wait(100 * MS);
        }
        // Of a group without any answer so far.
        let ask = |bench: &mut Bench| {
            let arrival = Arrival {
                group: GroupId(0),
                ..bench.arrival(EVENTUAL)
            };
            let id = arrival.id;
            let actions = bench.event(Event::RequestArrived(arrival));
            bench.event(Event::ClientLeft(id));
            usize::from(rejected(&actions, id))
        };
        refusals.push((0..100).map(|_| ask(&mut bench)).sum::<usize>());
    }
    assert!(refusals[0] > 30 && refusals[1] == 0, "{refusals:?}");
}

/// Of 200 requests in as many fleets, how many are sent after six answers, the last `full` of which are rejections.
fn sent_after_answers(
    full: usize,
    standing: QuotaStatus,
    over_share_worth: f64,
    shed: f64,
) -> usize {
    let mut sent = 0;
    for seed in 0..200 {
        let mut bench = Bench::seeded(
            Settings {
                over_quota_weight_fraction: over_share_worth,
                ..settings()
            },
            3,
            seed,
        );
        bench.report(1, true, Duration::ZERO);
        for answer in 0..6 {
            bench.pass(100);
            let (id, actions) = bench.request(EVENTUAL);
            let outcome = if answer + full >= 6 {
                Outcome::Rejected
            } else {
                Outcome::Ok
            };
            if let Some(&to) = sends(&actions).first() {
                bench.end(id, 0, to, outcome);
            }
            bench.event(Event::ClientLeft(id));
        }
        let arrival = Arrival {
            quota_status: standing,
            shed_fraction: shed,
            ..bench.arrival(EVENTUAL)
        };
        sent += sends(&bench.event(Event::RequestArrived(arrival))).len();
    }
    sent
}

#[test]
fn over_quota_requests_are_rejected_first_and_served_while_there_is_capacity() {
    assert_eq!(
        sent_after_answers(0, QuotaStatus::OverQuota, 0.05, 0.0),
        200
    );
    // A single rejection by a server may be chance.
    let one = sent_after_answers(1, QuotaStatus::OverQuota, 0.05, 0.0);
    assert!((70..140).contains(&one), "{one}");
    assert!(sent_after_answers(3, QuotaStatus::OverQuota, 0.05, 0.0) < 50);
    assert!(sent_after_answers(1, QuotaStatus::WithinQuota, 0.05, 0.0) > 120);
    // With the full weight it is served as any.
    assert!(sent_after_answers(1, QuotaStatus::OverQuota, 1.0, 0.0) > 120);
    // What is to be shed is, and no more: the narrower of the two fractions counts, not their product.
    assert!((80..120).contains(&sent_after_answers(0, QuotaStatus::WithinQuota, 0.05, 0.5)));
    assert_eq!(
        sent_after_answers(0, QuotaStatus::WithinQuota, 0.05, 1.0),
        0
    );
    let beyond = |shed| sent_after_answers(3, QuotaStatus::OverQuota, 0.05, shed);
    assert!(
        beyond(0.0) > 0 && beyond(0.5) == beyond(0.0),
        "{} {}",
        beyond(0.0),
        beyond(0.5)
    );
    // A borrowed request takes no other's place.
    assert_eq!(sent_after_answers(0, QuotaStatus::Borrowed, 0.05, 0.0), 200);
    assert_eq!(sent_after_answers(3, QuotaStatus::Borrowed, 0.05, 0.0), 0);
}
