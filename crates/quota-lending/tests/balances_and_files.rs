//! Copies of balances merge to the same result in any order, and a truncated or changed state file is rejected.

use std::time::Duration;

use proptest::prelude::*;
use quota_lending::balances::Balances;
use quota_lending::identity::AccountId;
use quota_lending::{Action, Config, Event, Lender, Notice};

fn balances() -> impl Strategy<Value = Balances> {
    let id = (0..4_u32, 0..2_u64).prop_map(|(name, incarnation)| AccountId {
        owner: name,
        incarnation,
    });
    let sent = prop::collection::btree_map(id, 0..9_u64, 0..4);
    (
        (0..4_u64, 0..4_u64, 0..4_u64, 0..4_u64),
        0..4_u64,
        0..4_u64,
        sent,
    )
        .prop_map(
            |((credit_limit, lent, repaid, written_off), demand, taken_over, sent)| Balances {
                credit_limit,
                lent,
                repaid,
                written_off,
                demand,
                taken_over,
                sent,
            },
        )
}

fn merged(a: &Balances, b: &Balances) -> Balances {
    let mut merged = a.clone();
    merged.merge(b);
    merged
}

/// Balances without the credit limit and the demand: the numbers that only grow.
fn growing_only(balances: &Balances) -> Balances {
    Balances {
        credit_limit: 0,
        demand: 0,
        ..balances.clone()
    }
}

fn file() -> Vec<u8> {
    let mut actions = Vec::new();
    Lender::new(&Config::new("a", 7, true), Duration::ZERO, None).handle(
        Duration::ZERO,
        Event::Timer(0),
        &mut actions,
    );
    let saved = actions.into_iter().find_map(|action| match action {
        Action::Save { bytes, .. } => Some(bytes),
        _ => None,
    });
    saved.expect("the first timer event saves the state")
}

fn file_is_rejected(name: &str, bytes: &[u8]) -> bool {
    let mut actions = Vec::new();
    let mut lender = Lender::new(&Config::new(name, 9, true), Duration::ZERO, Some(bytes));
    lender.handle(Duration::ZERO, Event::Timer(0), &mut actions);
    let is_bad_file = |action: &Action| matches!(action, Action::Notice(Notice::BadFile(_)));
    actions.iter().any(is_bad_file) && lender.shares("any") == (0, 9)
}

proptest! {
    #[test]
    fn balances_merge_in_any_order_and_any_number_of_times(a in balances(), b in balances(), c in balances()) {
        prop_assert_eq!(growing_only(&merged(&a, &b)), growing_only(&merged(&b, &a)));
        prop_assert_eq!(merged(&a, &a), a.clone());
        prop_assert_eq!(growing_only(&merged(&merged(&a, &b), &c)), growing_only(&merged(&a, &merged(&b, &c))));
    }
}

#[test]
fn a_truncated_file_or_one_with_a_changed_bit_is_rejected() {
    let complete = file();
    assert!(!file_is_rejected("a", &complete));
    assert!(
        file_is_rejected("b", &complete),
        "the file of another proxy"
    );
    for cut in 0..complete.len() {
        assert!(
            file_is_rejected("a", &complete[..cut]),
            "truncated to {cut} bytes"
        );
    }
    for bit in 0..complete.len() * 8 {
        let mut changed = complete.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        assert!(file_is_rejected("a", &changed), "changed bit {bit}");
    }
}

/// An idle account publishes a stricter credit limit with otherwise unchanged numbers. The stricter limit must be in force in
/// whichever order the two copies are received.
#[test]
fn the_stricter_limit_of_an_idle_account_is_taken() {
    let balances = |credit_limit| Balances {
        credit_limit,
        lent: 5,
        repaid: 2,
        ..Balances::default()
    };
    assert_eq!(merged(&balances(80), &balances(20)).credit_limit, 20);
    assert_eq!(merged(&balances(20), &balances(80)).credit_limit, 20);
    // A higher limit is adopted as soon as another number has grown.
    assert_eq!(
        merged(
            &balances(20),
            &Balances {
                lent: 6,
                ..balances(80)
            }
        )
        .credit_limit,
        80
    );
}
