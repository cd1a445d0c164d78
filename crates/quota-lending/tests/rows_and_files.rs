//! Balances merge in any order; an incomplete file is rejected.

use std::time::Duration;

use proptest::prelude::*;
use quota_lending::balances::Balances;
use quota_lending::identity::AccountId;
use quota_lending::{Action, Config, Event, Lender, Notice};

fn balances() -> impl Strategy<Value = Balances> {
    let id = (0..4_u32, 0..2_u64).prop_map(|(name, from)| AccountId {
        owner: name,
        incarnation: from,
    });
    let gave = prop::collection::btree_map(id, 0..9_u64, 0..4);
    (
        (0..4_u64, 0..4_u64, 0..4_u64, 0..4_u64),
        0..4_u64,
        0..4_u64,
        gave,
    )
        .prop_map(
            |((line, lent, repaid, written_off), demand, took, gave)| Balances {
                credit_limit: line,
                lent,
                repaid,
                written_off,
                demand,
                taken_over: took,
                sent: gave,
            },
        )
}

fn merged(a: &Balances, b: &Balances) -> Balances {
    let mut both = a.clone();
    both.merge(b);
    both
}

/// The numbers that only grow, without credit limit and demand.
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
    saved.expect("the first step saves the state")
}

fn file_is_rejected(name: &str, bytes: &[u8]) -> bool {
    let mut actions = Vec::new();
    let mut lender = Lender::new(&Config::new(name, 9, true), Duration::ZERO, Some(bytes));
    lender.handle(Duration::ZERO, Event::Timer(0), &mut actions);
    let bad = |action: &Action| matches!(action, Action::Notice(Notice::BadFile(_)));
    actions.iter().any(bad) && lender.shares("any") == (0, 9)
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
    assert!(file_is_rejected("b", &complete), "another's file");
    for cut in 0..complete.len() {
        assert!(file_is_rejected("a", &complete[..cut]), "cut at {cut}");
    }
    for bit in 0..complete.len() * 8 {
        let mut changed = complete.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        assert!(file_is_rejected("a", &changed), "bit {bit}");
    }
}

/// An idle account publishes a stricter rule with the same numbers: the rule holds, in whichever order the two are received.
#[test]
fn the_stricter_limit_of_an_idle_account_is_taken() {
    let balances = |line| Balances {
        credit_limit: line,
        lent: 5,
        repaid: 2,
        ..Balances::default()
    };
    assert_eq!(merged(&balances(80), &balances(20)).credit_limit, 20);
    assert_eq!(merged(&balances(20), &balances(80)).credit_limit, 20);
    // A looser one is taken too, as soon as another number has grown.
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
