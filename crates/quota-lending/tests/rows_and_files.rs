//! Rows merge in any order; a file that is not whole is no memory.

use std::time::Duration;

use proptest::prelude::*;
use quota_lending::balances::Balances;
use quota_lending::identity::AccountId;
use quota_lending::{Action, Config, Event, Lender, Notice};

fn row() -> impl Strategy<Value = Balances> {
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

/// What a row says of rights and debts: line and demand are only the last word on these.
fn lasting(row: &Balances) -> Balances {
    Balances {
        credit_limit: 0,
        demand: 0,
        ..row.clone()
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
    saved.expect("the first thing is to keep the memory")
}

fn memory_is_refused(name: &str, bytes: &[u8]) -> bool {
    let mut actions = Vec::new();
    let mut lender = Lender::new(&Config::new(name, 9, true), Duration::ZERO, Some(bytes));
    lender.handle(Duration::ZERO, Event::Timer(0), &mut actions);
    let bad = |action: &Action| matches!(action, Action::Notice(Notice::BadFile(_)));
    actions.iter().any(bad) && lender.shares("any") == (0, 9)
}

proptest! {
    #[test]
    fn rows_merge_in_any_order_and_any_number_of_times(a in row(), b in row(), c in row()) {
        prop_assert_eq!(lasting(&merged(&a, &b)), lasting(&merged(&b, &a)));
        prop_assert_eq!(merged(&a, &a), a.clone());
        prop_assert_eq!(lasting(&merged(&merged(&a, &b), &c)), lasting(&merged(&a, &merged(&b, &c))));
    }
}

#[test]
fn no_cut_and_no_changed_bit_of_a_file_is_taken_for_a_memory() {
    let whole = file();
    assert!(!memory_is_refused("a", &whole));
    assert!(memory_is_refused("b", &whole), "another's file");
    for cut in 0..whole.len() {
        assert!(memory_is_refused("a", &whole[..cut]), "cut at {cut}");
    }
    for bit in 0..whole.len() * 8 {
        let mut changed = whole.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        assert!(memory_is_refused("a", &changed), "bit {bit}");
    }
}

/// A lane at rest says a stricter rule with the numbers that it had: it binds, in whichever order the two are heard.
#[test]
fn the_stricter_line_of_a_lane_at_rest_is_taken() {
    let row = |line| Balances {
        credit_limit: line,
        lent: 5,
        repaid: 2,
        ..Balances::default()
    };
    assert_eq!(merged(&row(80), &row(20)).credit_limit, 20);
    assert_eq!(merged(&row(20), &row(80)).credit_limit, 20);
    // A looser one is, too, as soon as anything has moved.
    assert_eq!(
        merged(&row(20), &Balances { lent: 6, ..row(80) }).credit_limit,
        80
    );
}
