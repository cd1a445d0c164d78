use super::*;

#[test]
fn set_operations_agree_with_membership() {
    let mut seed = 7_u64;
    let mut random = move |n: u64| {
        seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) % n
    };
    for _ in 0..2_000 {
        let mut set = || {
            let pairs: Vec<_> = (0..random(5)).map(|_| (random(40), random(40))).collect();
            Ranges::from_list(
                pairs
                    .into_iter()
                    .map(|(a, b)| (u128::from(a.min(b)), u128::from(a.max(b)))),
            )
        };
        let (a, b) = (set(), set());
        let (and, or, minus) = (a.and(&b), a.or(&b), a.minus(&b));
        assert_eq!(a.intersects(&b), !and.is_empty());
        for n in 0..42 {
            let (x, y) = (a.contains(n), b.contains(n));
            assert_eq!(
                (and.contains(n), or.contains(n), minus.contains(n)),
                (x && y, x || y, x && !y)
            );
        }
    }
}

#[test]
fn ranges_include_the_largest_number() {
    let all = Ranges::one(0, u128::MAX);
    assert_eq!(
        all.minus(&Ranges::one(u128::MAX, u128::MAX)),
        Ranges::one(0, u128::MAX - 1)
    );
    assert_eq!(all.minus(&all), Ranges::none());
    assert_eq!(
        Ranges::from_list([(5, u128::MAX), (u128::MAX, u128::MAX)]),
        Ranges::one(5, u128::MAX)
    );
}

#[test]
fn a_difference_of_regions_has_disjoint_parts() {
    let set = |from, to| Ranges::one(from, to);
    let region = |a: (u128, u128), b: (u128, u128), c: (u128, u128)| {
        Region([
            set(a.0, a.1),
            set(b.0, b.1),
            set(c.0, c.1),
            set(0, 0),
            set(0, 0),
            set(0, 0),
        ])
    };
    let whole = region((0, 4), (0, 4), (0, 4));
    let cut = region((1, 2), (2, 9), (0, 3));
    let parts = minus_all(vec![whole.clone()], &cut);
    for a in 0..6 {
        for b in 0..6 {
            for c in 0..6 {
                let point = [a, b, c, 0, 0, 0];
                let held = parts.iter().filter(|p| p.contains(&point)).count();
                assert_eq!(
                    held,
                    usize::from(whole.contains(&point) && !cut.contains(&point))
                );
            }
        }
    }
    let merged = merge(parts.clone());
    assert!(merged.len() <= parts.len());
}
