//! Queueing, rejection, and the final answer.

mod common;
use common::*;
use routing::*;
use std::time::Duration;

#[test]
fn every_request_is_answered_once_by_its_deadline_when_nothing_answers() {
    let mut harness = Harness::new(settings(), 2);
    for class in [
        WRITE,
        BOUNDED,
        SESSION,
        EVENTUAL,
        NON_IDEMPOTENT_WRITE,
        STRONG,
    ] {
        let (id, mut actions) = harness.request(class);
        actions.extend(harness.run_for(1_005));
        let answers = actions.iter().filter(|a| match a {
            Action::Reject { id: i, .. } | Action::Fail { id: i } => *i == id,
            _ => false,
        });
        assert_eq!(answers.count(), 1, "class {class}");
    }
}

#[test]
fn without_a_primary_a_write_is_queued_briefly_then_rejected_with_a_retry_after() {
    let mut harness = Harness::without_reports(settings(), 2);
    let (id, actions) = harness.request(WRITE);
    assert!(sent_servers(&actions).is_empty() && !is_rejected(&actions, id));
    let actions = harness.run_for(600);
    let has_retry_after =
        |a: &Action| matches!(a, Action::Reject { id: i, retry_after: Some(_) } if *i == id);
    assert!(actions.iter().any(has_retry_after), "{actions:?}");
}

#[test]
fn a_queued_write_is_sent_when_a_report_names_the_primary() {
    let mut harness = Harness::without_reports(settings(), 2);
    harness.request(WRITE);
    assert_eq!(sent_servers(&harness.report(2, true, Duration::ZERO)), [2]);
}

#[test]
fn a_request_whose_client_left_gets_no_answer() {
    let mut harness = Harness::new(settings(), 2);
    let (id, _) = harness.request(EVENTUAL);
    harness.event(Event::ClientLeft(id));
    let actions = harness.run_for(1_100);
    assert!(
        !is_rejected(&actions, id) && !is_failed(&actions, id),
        "no answer after the client left"
    );
}

#[test]
fn a_request_never_sent_is_rejected_before_half_of_its_time() {
    // With an unreachable primary, rejections came just after half of the client's time, one recheck too late.
    let mut checked_settings = Settings {
        staleness_check: StalenessCheck::Reject,
        ..settings()
    };
    checked_settings.classes[usize::from(EVENTUAL)].latency_objective = 900 * MS;
    for (class, members) in [(NON_IDEMPOTENT_WRITE, 3), (EVENTUAL, 1)] {
        let mut harness = Harness::without_reports(checked_settings.clone(), members);
        for _ in 0..10 {
            let (id, _) = harness.request(EVENTUAL);
            harness.end_attempt(id, 0, 1, Outcome::Ok);
        }
        // The first request that finds no capacity or no primary.
        let (id, mut actions) = loop {
            let (id, actions) = harness.request(class);
            if sent_servers(&actions).is_empty() {
                break (id, actions);
            }
        };
        let arrived = harness.now;
        while !is_rejected(&actions, id) {
            actions = harness.run_for(5);
            assert!(
                sent_servers(&actions).is_empty(),
                "no server can take the request: {actions:?}"
            );
        }
        let queued_for = harness.now.since(arrived);
        assert!(
            queued_for > 200 * MS && queued_for < 500 * MS,
            "class {class}: queued for {queued_for:?} of 1 s"
        );
    }
}

/// Storms of late retries, each with the rest of its client's time, take the capacity of first requests, and their
/// answers count for nothing.
#[test]
fn a_retry_that_comes_too_late_to_earn_anything_is_rejected_at_once() {
    let mut harness = Harness::new(settings(), 3);
    let mut send_request = |time_left: Duration, is_client_retry| {
        let arrival = Arrival {
            time_left,
            is_client_retry,
            ..harness.arrival(EVENTUAL)
        };
        let (id, actions) = (arrival.id, harness.event(Event::RequestArrived(arrival)));
        (sent_servers(&actions).len(), is_rejected(&actions, id))
    };
    assert_eq!(
        send_request(500 * MS, false),
        (1, false),
        "a first request with half of the deadline left is sent"
    );
    assert_eq!(
        send_request(500 * MS, true),
        (1, false),
        "a retry with as much time as first requests is not late"
    );
    assert_eq!(
        send_request(400 * MS, true),
        (0, true),
        "600 ms after the first request the objective of 300 ms is over"
    );
}

#[test]
fn a_queued_request_has_one_timer_however_often_it_is_dispatched() {
    let mut harness = Harness::without_reports(settings(), 3);
    let queued: Vec<RequestId> = (0..8).map(|_| harness.request(WRITE).0).collect();
    // Reports of a replica dispatch the queued writes each time without effect.
    for _ in 0..200 {
        harness.advance(MS / 2);
        harness.report(2, false, Duration::ZERO);
    }
    // From now on only timers, each when it is due: all requests are rechecked at a tenth of the tightest objective (30
    // ms).
    let (end, mut timers) = (harness.now.plus(200 * MS), 0);
    let mut actions = harness.report(2, false, Duration::ZERO);
    actions.extend(harness.event(Event::Timer(TimerToken(0))));
    loop {
        let after = actions.iter().filter_map(|a| {
            if let Action::Timer { after, .. } = a {
                Some(*after)
            } else {
                None
            }
        });
        let Some(after) = after.min().filter(|after| harness.now.plus(*after) < end) else {
            break;
        };
        harness.advance(after);
        actions = harness.event(Event::Timer(TimerToken(0)));
        timers += 1;
    }
    assert!(
        (1..=20).contains(&timers),
        "{timers} timers for {} queued requests",
        queued.len()
    );
}
