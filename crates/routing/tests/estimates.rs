//! Estimates of run time and work.

mod common;
use common::*;
use routing::*;
use std::time::Duration;

#[test]
fn a_hung_replica_does_not_look_idle() {
    let mut harness = Harness::new(settings(), 3);
    // Both replicas answer two reads at once, so each may have two in flight.
    for _ in 0..6 {
        let (id, actions) = harness.request(EVENTUAL);
        let [server] = sent_servers(&actions)[..] else {
            panic!("{actions:?}")
        };
        harness.advance(10 * MS);
        harness.end_attempt(id, 0, server, Outcome::Ok);
    }
    let (_, actions) = harness.request(EVENTUAL);
    let hung = sent_servers(&actions)[0];
    harness.advance(400 * MS);
    for _ in 0..5 {
        let (id, actions) = harness.request(EVENTUAL);
        let [server] = sent_servers(&actions)[..] else {
            panic!("{actions:?}")
        };
        assert_ne!(
            server, hung,
            "the server has not answered for many run times"
        );
        harness.advance(10 * MS);
        harness.end_attempt(id, 0, server, Outcome::Ok);
    }
}

#[test]
fn a_server_that_loses_requests_or_fails_them_quickly_is_left_for_others() {
    // If only answers counted, a server that loses requests but answers probes would look like any other.
    for outcome in [Outcome::TimedOut, Outcome::Failed, Outcome::ConnectFailed] {
        let mut sent = [0; 4];
        for seed in 0..20 {
            let mut harness = Harness::with_seed(settings(), 3, seed);
            for round in 0..100 {
                harness.report(1, true, Duration::ZERO);
                let (id, actions) = harness.request(EVENTUAL);
                harness.advance(200 * MS);
                for server in sent_servers(&actions) {
                    sent[server as usize] += 1;
                    let bad = server == 2 && round % 3 == 0;
                    let (outcome, ms) = if bad {
                        (outcome, 900)
                    } else {
                        (Outcome::Ok, 50)
                    };
                    harness.finish_request(id, server, outcome, ms * MS);
                }
            }
        }
        assert!(sent[2] < sent[3] / 2, "{outcome:?}: {sent:?}");
    }
}

#[test]
fn an_untried_member_is_expected_to_take_what_the_class_takes_elsewhere() {
    let mut harness = Harness::new(settings(), 3);
    for _ in 0..60 {
        let (id, actions) = harness.request(BOUNDED);
        harness.advance(10 * MS);
        harness.end_attempt(id, 0, sent_servers(&actions)[0], Outcome::Ok);
        for server in 1..=3 {
            harness.report(server, server == 1, Duration::ZERO);
        }
    }
    let (_, busy) = harness.request(BOUNDED);
    let (_, other) = harness.request(BOUNDED);
    assert_ne!(
        sent_servers(&busy),
        sent_servers(&other),
        "the second read goes to the untried member"
    );
}

#[test]
fn a_server_that_hangs_or_fails_gets_less_though_each_router_uses_it_once_in_seconds() {
    for outcome in [Outcome::TimedOut, Outcome::Failed] {
        let mut sent = [0_usize; 5];
        for seed in 0..100 {
            let mut harness = Harness::in_fleet(100, 4, seed);
            for round in 0..40 {
                harness.advance(1_500 * MS);
                (1..=4).for_each(|s| _ = harness.report(s, s == 1, Duration::ZERO));
                let (id, actions) = harness.request(EVENTUAL);
                let Some(&server) = sent_servers(&actions).first() else {
                    continue;
                };
                sent[server as usize] += usize::from(round >= 10);
                let (outcome, elapsed) = if server == 2 {
                    (outcome, 900 * MS)
                } else {
                    (Outcome::Ok, 60 * MS)
                };
                harness.finish_request_with_role(id, server, outcome, elapsed, server == 1);
            }
        }
        assert!(sent[2] * 4 < sent[3].min(sent[4]), "{outcome:?}: {sent:?}");
    }
}
