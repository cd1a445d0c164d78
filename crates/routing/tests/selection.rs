//! Replica selection.

mod common;
use common::*;
use std::time::Duration;

#[test]
fn a_bounded_read_goes_to_a_fresh_replica_not_to_the_primary() {
    let mut harness = Harness::new(settings(), 3);
    let (_, actions) = harness.request(BOUNDED);
    assert!(matches!(sent_servers(&actions)[..], [2 | 3]), "{actions:?}");
}

#[test]
fn replicas_without_reports_are_tried_in_turn_by_eventual_reads() {
    let mut harness = Harness::without_reports(settings(), 3);
    let mut tried: Vec<u32> = (0..3)
        .flat_map(|_| sent_servers(&harness.request(EVENTUAL).1))
        .collect();
    tried.sort();
    assert_eq!(tried, [1, 2, 3]);
}

#[test]
fn routers_spread_over_members_of_equal_cost() {
    // In large fleets, all routers chose the member with the lowest id among equals.
    let mut sent = [0; 5];
    for seed in 0..100 {
        let mut harness = Harness::with_seed(settings(), 4, seed);
        for server in 1..=4 {
            harness.report(server, server == 1, Duration::ZERO);
        }
        sent_servers(&harness.request(BOUNDED).1)
            .iter()
            .for_each(|&s| sent[s as usize] += 1);
    }
    assert!(sent[2..].iter().all(|&n| n > 20), "{sent:?}");
}
