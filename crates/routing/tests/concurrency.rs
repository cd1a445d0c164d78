//! The concurrency limit: of a single router, and of many routers with few attempts each.

mod common;
use common::*;
use routing::*;
use std::time::Duration;

#[test]
fn rejections_are_not_answered_with_a_storm_of_attempts() {
    // Without a limit there were 8 attempts for each request, nine in ten of them rejected by full servers.
    let mut harness = Harness::new(settings(), 3);
    let mut attempts = 0;
    for _ in 0..40 {
        let (id, mut actions) = harness.request(BOUNDED);
        let mut no = 0;
        while let Some(&server) = sent_servers(&actions).first() {
            attempts += 1;
            actions = harness.end_attempt(id, no, server, Outcome::Rejected);
            no += 1;
        }
        harness.run_for(5);
    }
    assert!(
        attempts < 40,
        "{attempts} attempts for 40 requests in 200 ms"
    );
}

#[test]
fn routers_with_little_traffic_relieve_a_server_that_answers_late() {
    // One attempt from each of a hundred routers is within each router's limit, but together they keep a slow server
    // full.
    let mut sent = 0;
    for seed in 0..100 {
        let mut harness = Harness::with_seed(settings(), 2, seed);
        harness.report(1, true, Duration::ZERO);
        let (id, _) = harness.request(WRITE);
        harness.advance(900 * MS);
        harness.finish_request(id, 1, Outcome::Ok, 900 * MS);
        sent += sent_servers(&harness.request(WRITE).1).len();
    }
    assert!(
        (5..60).contains(&sent),
        "{sent} of 100 after an answer at three times the objective"
    );
}

/// A silent connection must not be taken for an overloaded server, whose limit would be reduced without reason. A
/// time-out that later attempts have overtaken does not count.
#[test]
fn a_time_out_that_others_have_overtaken_reduces_no_limit() {
    for (overtaken, min_accepted) in [(4, 3), (0, 1)] {
        let mut harness = Harness::new(settings(), 1);
        let mut timed_out = None;
        for round in 0..8 + overtaken {
            let sent = (0..2)
                .map(|_| harness.request(EVENTUAL))
                .find(|(_, actions)| !sent_servers(actions).is_empty());
            let (id, _) = sent.unwrap_or_else(|| panic!("round {round} has no capacity"));
            harness.advance(5 * MS);
            if round == 7 {
                timed_out = Some(id);
            } else {
                harness.end_attempt(id, 0, 1, Outcome::Ok);
            }
        }
        harness.advance(600 * MS);
        harness.end_attempt(timed_out.unwrap(), 0, 1, Outcome::TimedOut);
        let accepted: usize = (0..3)
            .map(|_| sent_servers(&harness.request(EVENTUAL).1).len())
            .sum();
        assert!(
            accepted >= min_accepted && (overtaken > 0 || accepted < 3),
            "{accepted} accepted with {overtaken}"
        );
    }
}

/// Number of 100 requests, each in a fleet of its own, that are sent to the only server `pause` after it answered one
/// at three times the objective or let it time out.
fn sent_after_a_late_answer(routers: u32, outcome: Outcome, pause: Duration) -> usize {
    let mut sent = 0;
    for seed in 0..100 {
        let mut harness = Harness::in_fleet(routers, 1, seed);
        harness.report(1, true, Duration::ZERO);
        let (id, _) = harness.request(WRITE);
        // The server answers another request meanwhile, so that it is slow but not silent.
        let (other, _) = harness.request(WRITE);
        harness.event(Event::ClientLeft(other));
        harness.advance(200 * MS);
        harness.end_attempt(other, 0, 1, Outcome::Failed);
        let elapsed = if outcome == Outcome::Ok {
            900 * MS
        } else {
            350 * MS
        };
        harness.advance(elapsed - 200 * MS);
        harness.finish_request(id, 1, outcome, elapsed);
        harness.advance(pause);
        sent += sent_servers(&harness.request(WRITE).1).len();
    }
    sent
}

#[test]
fn many_routers_together_do_not_try_an_overloaded_server_again_as_soon_as_few_do() {
    // When each of a hundred routers came back to a full server every two or three seconds, everything sent there was
    // answered late or never until the load ended.
    let few = sent_after_a_late_answer(4, Outcome::Ok, 10_000 * MS);
    let many = sent_after_a_late_answer(100, Outcome::Ok, 10_000 * MS);
    assert!(
        few >= 95 && many <= 50,
        "{few} by few routers, {many} by many"
    );
    assert!(
        sent_after_a_late_answer(100, Outcome::Ok, 120_000 * MS) >= 95,
        "the estimate decays in a large fleet too"
    );
}

#[test]
fn in_a_large_fleet_a_time_out_counts_as_the_whole_deadline() {
    // An unanswered attempt with 350 ms for an objective of 300 ms must not look like one answered nearly in time.
    let sent = sent_after_a_late_answer(100, Outcome::TimedOut, Duration::ZERO);
    assert!((5..25).contains(&sent), "{sent} of 100");
    // In a small fleet the limits are reduced anyway. Counting the whole deadline would lose answers where connections
    // fail.
    let sent = sent_after_a_late_answer(4, Outcome::TimedOut, Duration::ZERO);
    assert!((30..60).contains(&sent), "{sent} of 100 in a small fleet");
}

#[test]
fn a_server_where_all_attempts_time_out_gets_few_requests_of_many_routers_until_it_recovers() {
    // The last members of their groups answered no attempt in time for many seconds, since each router kept sending
    // half of what the server could handle with an empty queue.
    let (mut sent, mut queued) = ([0; 2], 0);
    for seed in 0..100 {
        let mut harness = Harness::in_fleet(300, 1, seed);
        for round in 0..40 {
            harness.advance(1_500 * MS);
            harness.report(1, true, Duration::ZERO);
            let overloaded = round < 20;
            let (id, actions) = harness.request(EVENTUAL);
            if sent_servers(&actions).is_empty() {
                queued += usize::from(!is_rejected(&actions, id));
                continue;
            }
            sent[usize::from(!overloaded)] += usize::from(round % 20 >= 5);
            let (outcome, elapsed) = if overloaded {
                (Outcome::TimedOut, 900 * MS)
            } else {
                (Outcome::Ok, 60 * MS)
            };
            harness.finish_request(id, 1, outcome, elapsed);
        }
    }
    let total = 100 * 15;
    assert!(
        sent[0] * 10 < total && sent[1] * 2 > total,
        "{sent:?} of {total} during and after the overload"
    );
    assert_eq!(
        queued, 0,
        "a request rejected by the draw is answered at once"
    );
}

#[test]
fn a_late_read_does_not_limit_writes_with_a_longer_objective() {
    // A read that took two and a half times its objective kept four in five writes, with an objective five times as
    // long, from a primary that served other routers' writes in time.
    let sent_after_read = |class, latency| {
        let sent = (0..200).filter(|&seed| {
            let mut settings = Settings {
                router_count: 300,
                ..settings()
            };
            settings.classes[usize::from(WRITE)].latency_objective =
                5 * settings.classes[usize::from(EVENTUAL)].latency_objective;
            settings.classes[usize::from(WRITE)].deadline =
                2 * settings.classes[usize::from(WRITE)].latency_objective;
            let mut harness = Harness::with_seed(settings, 1, seed);
            harness.report(1, true, Duration::ZERO);
            let (id, _) = harness.request(EVENTUAL);
            harness.advance(latency);
            harness.finish_request(id, 1, Outcome::Ok, latency);
            // Admission has recovered by then, so that the concurrency limit alone decides.
            harness.advance(1_000 * MS);
            let arrival = Arrival {
                time_left: 2_000 * MS,
                ..harness.arrival(class)
            };
            !sent_servers(&harness.event(Event::RequestArrived(arrival))).is_empty()
        });
        sent.count()
    };
    assert!(sent_after_read(EVENTUAL, 750 * MS) < 60);
    assert!(sent_after_read(WRITE, 750 * MS) > 150);
    assert!(
        sent_after_read(WRITE, 9_000 * MS) < 120,
        "a read slower than the objective of writes limits writes too"
    );
}
