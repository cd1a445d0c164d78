//! Checks a tenant's account against the definition of a token bucket with a capacity of one second.

use proptest::prelude::*;
use server_model::account::Account;
use server_model::Micros;

/// Returns the index of the first wrong verdict. A request is within the quota if, for every interval that starts at
/// an earlier arrival or at the start, the admitted requests do not exceed the capacity plus the inflow since.
fn first_wrong_verdict(micro_per_s: u64, times: &[Micros], verdicts: &[bool]) -> Option<usize> {
    let whole = 1_000_000_000_000_u128;
    let depth = (u128::from(micro_per_s) * 1_000_000).max(whole);
    (0..times.len()).find(|&at| {
        let mut counted = 0_u128;
        let mut room = true;
        for from in (0..=at).rev() {
            counted += u128::from(from == at || verdicts[from]);
            room &= counted * whole
                <= depth + u128::from(micro_per_s) * u128::from(times[at] - times[from]);
        }
        verdicts[at] != room
    })
}

proptest! {
    /// In every interval, exactly the requests that fit into the quota and the bucket's capacity are admitted.
    #[test]
    fn admits_exactly_the_requests_that_fit_the_bucket(
        micro_per_s in prop_oneof![1_u64..2_000_000, 1_000_000_u64..60_000_000],
        gaps in prop::collection::vec(prop_oneof![Just(0_u64), 0_u64..60_000, 0_u64..3_000_000], 1..120),
        flipped in any::<prop::sample::Index>(),
    ) {
        let mut account = Account::new(micro_per_s as f64 / 1e6);
        let times: Vec<Micros> = gaps.iter().scan(0, |at, gap| { *at += gap; Some(*at) }).collect();
        let mut verdicts: Vec<bool> = times.iter().map(|at| account.draw(*at)).collect();
        prop_assert_eq!(first_wrong_verdict(micro_per_s, &times, &verdicts), None);
        // The reference check detects a single wrong verdict.
        let at = flipped.index(verdicts.len());
        verdicts[at] = !verdicts[at];
        prop_assert_eq!(first_wrong_verdict(micro_per_s, &times, &verdicts), Some(at));
    }
}

#[test]
fn without_a_quota_every_request_is_admitted() {
    let mut account = Account::new(0.0);
    assert!((0..1_000).all(|_| account.draw(5)));
}
