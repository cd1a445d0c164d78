//! Backoff of servers after hard failures.

mod common;
use common::*;
use routing::*;
use std::time::Duration;

#[test]
fn routers_whose_connects_failed_together_do_not_come_back_in_step() {
    let mut by_slot = [0_usize; 40];
    for seed in 0..100 {
        let mut harness = Harness::in_fleet(100, 1, seed);
        harness.report(1, true, Duration::ZERO);
        let (id, _) = harness.request(WRITE);
        harness.end_attempt(id, 0, 1, Outcome::ConnectFailed);
        harness.event(Event::ClientLeft(id));
        for slot in &mut by_slot {
            harness.advance(10 * MS);
            let (id, actions) = harness.request(WRITE);
            if sent_servers(&actions) == [1] {
                *slot += 1;
                break;
            }
            assert!(
                !is_failed(&actions, id),
                "a request that never ran is queued or rejected"
            );
            harness.event(Event::ClientLeft(id));
        }
    }
    assert_eq!(
        by_slot.iter().sum::<usize>(),
        100,
        "all routers retry: {by_slot:?}"
    );
    assert!(by_slot.iter().all(|&dials| dials <= 25), "{by_slot:?}");
}
