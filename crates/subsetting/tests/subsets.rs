//! The bounds that the package states, over fleets of 1 to 1,000 proxies and groups of 1 to 200 members.

use proptest::prelude::*;
use std::collections::BTreeSet;
use subsetting::{hash_name, order_by_preference, subset_size};

fn met(number: u32, group: u32, members: &[u32], first: usize) -> BTreeSet<u32> {
    let mut members = members.to_vec();
    order_by_preference(number, group, &mut members, |id| id);
    members.into_iter().take(first).collect()
}

/// Ids as lists have them: any numbers, none twice, in any order.
fn members(most: usize) -> impl Strategy<Value = Vec<u32>> {
    prop::collection::btree_set(any::<u32>(), 1..=most)
        .prop_map(|set| set.into_iter().collect::<Vec<u32>>())
        .prop_shuffle()
}

/// How far the proxies that meet a member are from their mean: the most and the least.
fn spread(proxies: u32, group: u32, members: &[u32], first: usize) -> (f64, f64) {
    let mean = f64::from(proxies) * first as f64 / members.len() as f64;
    let sets: Vec<BTreeSet<u32>> = (0..proxies)
        .map(|n| met(n, group, members, first))
        .collect();
    let counts = members
        .iter()
        .map(|id| sets.iter().filter(|set| set.contains(id)).count() as f64 - mean);
    counts.fold((f64::MIN, f64::MAX), |(most, least), n| {
        (most.max(n), least.min(n))
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn members_are_met_about_equally(
        proxies in 1_u32..=1_000, group: u32, members in members(200), part in 0.0_f64..1.0
    ) {
        let first = ((members.len() as f64 * part) as usize).max(1);
        let (most, least) = spread(proxies, group, &members, first);
        let bound = 2.0 + f64::from(proxies).log2();
        prop_assert!(most <= bound && least >= -bound, "{most} and {least}, where {bound} is the bound");
    }

    #[test]
    fn one_member_more_changes_one_other_at_most(
        number: u32, group: u32, members in members(200), new: u32, part in 0.0_f64..1.0
    ) {
        prop_assume!(!members.contains(&new));
        let first = ((members.len() as f64 * part) as usize).max(1);
        let before = met(number, group, &members, first);
        let after = met(number, group, &[members, vec![new]].concat(), first);
        let gained = after.difference(&before).filter(|&&id| id != new).count();
        prop_assert!(gained <= 1, "{before:?} became {after:?}");
        prop_assert!(before.difference(&after).count() <= 1 + usize::from(after.contains(&new)));
    }

    #[test]
    fn the_order_is_of_all_members_whatever_order_the_list_has(
        number: u32, group: u32, members in members(50), turn: prop::sample::Index
    ) {
        let (mut one, mut other) = (members.clone(), members.clone());
        other.rotate_left(turn.index(members.len()));
        order_by_preference(number, group, &mut one, |id| id);
        order_by_preference(number, group, &mut other, |id| id);
        prop_assert_eq!(&one, &other);
        prop_assert_eq!(one.into_iter().collect::<BTreeSet<_>>(), members.into_iter().collect::<BTreeSet<_>>());
    }
}

/// A checker that finds no fault in a bad assignment proves nothing: drawn at random, each proxy for itself, the
/// same fleets break the bound.
#[test]
fn drawn_at_random_the_bound_would_not_hold() {
    let members: Vec<u32> = (0..5).collect();
    let drawn = |proxy: u32| {
        let hash = |id: u32| {
            (proxy * 5 + id + 1)
                .wrapping_mul(0x9e37_79b9)
                .rotate_left(15)
                .wrapping_mul(0x85eb_ca6b)
        };
        let mut order = members.clone();
        order.sort_by_key(|&id| hash(id));
        order[0]
    };
    let broken = (1..=1_000).filter(|&proxies| {
        let mean = f64::from(proxies) / 5.0;
        let count = |id| (0..proxies).filter(|&proxy| drawn(proxy) == id).count() as f64;
        members
            .iter()
            .any(|&id| (count(id) - mean).abs() > 2.0 + f64::from(proxies).log2())
    });
    assert!(broken.count() > 100);
}

#[test]
fn a_joining_member_moves_few_more_than_it_has_to() {
    // Three hundred proxies, thirty groups of four that grow to five; two are met of each.
    let (mut moved, mut least) = (0, 0.0);
    for group in 0..30 {
        let old: Vec<u32> = (0..4).map(|id| group * 10 + id).collect();
        let new = [old.clone(), vec![group * 10 + 4]].concat();
        for number in 0..300 {
            moved += met(number, group, &new, 2)
                .difference(&met(number, group, &old, 2))
                .count();
            least += 2.0 / 5.0;
        }
    }
    assert!(
        f64::from(moved as u32) < 2.0 * least,
        "{moved} moved, where {least} have to"
    );
}

#[test]
fn half_are_met_and_keys_of_names_differ() {
    for members in 1..=200 {
        assert!(2 * subset_size(members) >= members && subset_size(members) <= members.max(1));
    }
    let keys: BTreeSet<u32> = (0..10_000)
        .map(|n| hash_name(&format!("booking-db-{n}")))
        .collect();
    assert!(keys.len() >= 9_998, "{} keys of 10,000 names", keys.len());
}

/// As all proxies of earlier builds know servers and meet members: another hash would part a fleet of two builds.
#[test]
fn numbers_and_orders_are_the_same_for_good() {
    assert_eq!(
        ["", "replica-0", "shop/a-1"].map(hash_name),
        [0x6ba4_ff30, 0xca81_287e, 0x430f_f1be]
    );
    for (number, group, expected) in [
        (0, 1, [6, 1, 7, 5, 4, 8, 3, 2, 0]),
        (6, 3, [0, 6, 1, 5, 7, 4, 2, 8, 3]),
    ] {
        let mut members: Vec<u32> = (0..9).collect();
        order_by_preference(number, group, &mut members, |id| id);
        assert_eq!(members, expected, "proxy {number}, group {group}");
    }
}
