//! The documented bounds of the package, over fleets of 1 to 1,000 proxies and groups of 1 to 200 members.

use proptest::prelude::*;
use std::collections::BTreeSet;
use subsetting::{hash_name, order_by_preference, subset_size};

fn subset(number: u32, group: u32, members: &[u32], size: usize) -> BTreeSet<u32> {
    let mut members = members.to_vec();
    order_by_preference(number, group, &mut members, |id| id);
    members.into_iter().take(size).collect()
}

/// Ids as in endpoint lists: arbitrary distinct numbers in any order.
fn members(max_members: usize) -> impl Strategy<Value = Vec<u32>> {
    prop::collection::btree_set(any::<u32>(), 1..=max_members)
        .prop_map(|set| set.into_iter().collect::<Vec<u32>>())
        .prop_shuffle()
}

/// Greatest and least deviation, over all members, of the number of proxies that have the member in their subset from its
/// mean.
fn deviation(proxies: u32, group: u32, members: &[u32], size: usize) -> (f64, f64) {
    let mean = f64::from(proxies) * size as f64 / members.len() as f64;
    let sets: Vec<BTreeSet<u32>> = (0..proxies)
        .map(|n| subset(n, group, members, size))
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
    fn members_are_in_about_equally_many_subsets(
        proxies in 1_u32..=1_000, group: u32, members in members(200), fraction in 0.0_f64..1.0
    ) {
        let size = ((members.len() as f64 * fraction) as usize).max(1);
        let (most, least) = deviation(proxies, group, &members, size);
        let bound = 2.0 + f64::from(proxies).log2();
        prop_assert!(most <= bound && least >= -bound, "deviations from {least} to {most} exceed the bound {bound}");
    }

    #[test]
    fn one_member_more_changes_one_other_at_most(
        number: u32, group: u32, members in members(200), new: u32, fraction in 0.0_f64..1.0
    ) {
        prop_assume!(!members.contains(&new));
        let size = ((members.len() as f64 * fraction) as usize).max(1);
        let before = subset(number, group, &members, size);
        let after = subset(number, group, &[members, vec![new]].concat(), size);
        let gained = after.difference(&before).filter(|&&id| id != new).count();
        prop_assert!(gained <= 1, "{before:?} became {after:?}");
        prop_assert!(before.difference(&after).count() <= 1 + usize::from(after.contains(&new)));
    }

    #[test]
    fn the_order_is_of_all_members_whatever_order_the_list_has(
        number: u32, group: u32, members in members(50), rotation: prop::sample::Index
    ) {
        let (mut one, mut other) = (members.clone(), members.clone());
        other.rotate_left(rotation.index(members.len()));
        order_by_preference(number, group, &mut one, |id| id);
        order_by_preference(number, group, &mut other, |id| id);
        prop_assert_eq!(&one, &other);
        prop_assert_eq!(one.into_iter().collect::<BTreeSet<_>>(), members.into_iter().collect::<BTreeSet<_>>());
    }
}

/// Checks that the bound is not trivial: if each proxy drew a member at random, the same fleets would break the bound.
#[test]
fn drawn_at_random_the_bound_would_not_hold() {
    let members: Vec<u32> = (0..5).collect();
    let choice = |proxy: u32| {
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
    let violations = (1..=1_000).filter(|&proxies| {
        let mean = f64::from(proxies) / 5.0;
        let count = |id| (0..proxies).filter(|&proxy| choice(proxy) == id).count() as f64;
        members
            .iter()
            .any(|&id| (count(id) - mean).abs() > 2.0 + f64::from(proxies).log2())
    });
    assert!(violations.count() > 100);
}

#[test]
fn a_joining_member_moves_few_more_than_it_has_to() {
    // Three hundred proxies, thirty groups of four members that grow to five; each subset has two members.
    let (mut moved, mut minimum) = (0, 0.0);
    for group in 0..30 {
        let old: Vec<u32> = (0..4).map(|id| group * 10 + id).collect();
        let new = [old.clone(), vec![group * 10 + 4]].concat();
        for number in 0..300 {
            moved += subset(number, group, &new, 2)
                .difference(&subset(number, group, &old, 2))
                .count();
            minimum += 2.0 / 5.0;
        }
    }
    assert!(
        f64::from(moved as u32) < 2.0 * minimum,
        "{moved} members of subsets changed; at least {minimum} have to"
    );
}

#[test]
fn subsets_are_half_of_the_members_and_hashes_of_names_differ() {
    for members in 1..=200 {
        assert!(2 * subset_size(members) >= members && subset_size(members) <= members.max(1));
    }
    let keys: BTreeSet<u32> = (0..10_000)
        .map(|n| hash_name(&format!("booking-db-{n}")))
        .collect();
    assert!(keys.len() >= 9_998, "{} keys of 10,000 names", keys.len());
}

/// Ids and orders of earlier builds: another hash would give the proxies of two builds in one fleet different ids and
/// subsets.
#[test]
fn ids_and_orders_are_the_same_in_all_builds() {
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
