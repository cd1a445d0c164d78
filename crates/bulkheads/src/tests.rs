//! Bounds, reserves and times to retry.

use super::*;
use crate::pool::{RETRY_AFTER_LEAST, RETRY_AFTER_MOST};

const MS: Duration = Duration::from_millis(1);

fn pool(max_in_flight: Option<u32>, rate: Option<Rate>) -> (Bulkheads, PoolId) {
    let mut bulkheads = Bulkheads::default();
    let settings = Settings {
        name: "p".into(),
        max_in_flight,
        rate,
        reserve: 0.1,
        retry_after: None,
    };
    let ids = bulkheads.configure(&[settings]);
    (bulkheads, ids[0])
}

fn is_admitted(admission: Admission) -> bool {
    admission == Admission::Admitted
}

#[test]
fn requests_in_flight_are_bounded_and_a_reserve_is_kept_for_higher_priorities() {
    let (mut all, id) = pool(Some(10), None);
    let mut admit = |priority| {
        (0..20)
            .filter(|_| is_admitted(all.admit(id, priority, Time::ZERO)))
            .count()
    };
    assert_eq!(
        (
            admit(Priority::Low),
            admit(Priority::Normal),
            admit(Priority::High)
        ),
        (8, 1, 1)
    );
    all.release(id, MS);
    assert!(
        !is_admitted(all.admit(id, Priority::Normal, Time::ZERO)),
        "the place is high priority's"
    );
    assert!(is_admitted(all.admit(id, Priority::High, Time::ZERO)));
}

#[test]
fn a_rate_is_kept_over_any_time_with_its_burst() {
    let rate = Rate {
        interval: 10 * MS,
        burst: 5,
    };
    let (mut all, id) = pool(None, Some(rate));
    let mut times = Vec::new();
    for ms in 0..2_000 {
        if is_admitted(all.admit(id, Priority::High, MS * ms)) {
            times.push(ms);
        }
    }
    assert_eq!(times.len(), 5 + 199, "a burst, then one each 10 ms");
    for (at, start) in times.iter().enumerate() {
        let inside = times[at..].iter().take_while(|t| *t - start < 100).count();
        assert!(inside <= 15, "{inside} within 100 ms");
    }
}

#[test]
fn rejected_requests_are_told_to_retry_one_after_the_other() {
    let (mut all, id) = pool(Some(2), None);
    for _ in 0..2 {
        assert!(is_admitted(all.admit(id, Priority::High, Time::ZERO)));
    }
    let told: Vec<Duration> = (0..20)
        .map(|_| match all.admit(id, Priority::High, Time::ZERO) {
            Admission::Rejected {
                cause: RejectionCause::Concurrency,
                retry_after,
            } => retry_after,
            other => panic!("{other:?}"),
        })
        .collect();
    assert!(
        told.windows(2).all(|w| w[0] <= w[1]) && told[0] < told[19],
        "{told:?}"
    );
    assert!(told
        .iter()
        .all(|t| (RETRY_AFTER_LEAST..=RETRY_AFTER_MOST).contains(t)));
    // By when it comes back, whoever was told by the rate finds a place.
    let (mut all, id) = pool(
        None,
        Some(Rate {
            interval: 50 * MS,
            burst: 1,
        }),
    );
    assert!(is_admitted(all.admit(id, Priority::High, MS)));
    let Admission::Rejected { retry_after, .. } = all.admit(id, Priority::High, MS) else {
        panic!()
    };
    assert!(is_admitted(all.admit(id, Priority::High, MS + retry_after)));
}

#[test]
fn requests_in_flight_stay_counted_over_a_change_of_the_configuration() {
    let (mut all, id) = pool(Some(2), None);
    assert!(is_admitted(all.admit(id, Priority::High, Time::ZERO)));
    let settings = |name: &str, n| Settings {
        name: name.into(),
        max_in_flight: Some(n),
        rate: None,
        reserve: 0.0,
        retry_after: None,
    };
    let ids = all.configure(&[settings("q", 1), settings("p", 1)]);
    assert_eq!(ids[1], id);
    assert!(
        !is_admitted(all.admit(id, Priority::High, Time::ZERO)),
        "one is open, and one may be"
    );
    // Gone from the configuration, it lives until its last request is over, and its number is not another's.
    let ids = all.configure(&[settings("r", 1)]);
    assert_ne!(ids[0], id);
    assert!(is_admitted(all.admit(ids[0], Priority::High, Time::ZERO)));
    all.release(id, MS);
    assert_eq!(
        all.counts()
            .map(|(name, counts)| (name, counts.in_flight))
            .collect::<Vec<_>>(),
        [("r", 1)]
    );
}

/// Whatever comes in whatever order: never more open than the bound, and lower priorities never in the reserve.
#[test]
fn bounds_hold_over_random_runs() {
    let mut seed = 1_u64;
    let mut random = move |n: u64| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (seed >> 33) % n
    };
    let (mut all, id) = pool(
        Some(20),
        Some(Rate {
            interval: MS,
            burst: 30,
        }),
    );
    let (mut open, mut now) = (0_u32, Time::ZERO);
    for _ in 0..50_000 {
        now += Duration::from_micros(random(900));
        if random(2) == 0 && open > 0 {
            all.release(id, MS * random(50) as u32);
            open -= 1;
            continue;
        }
        let priority = [Priority::Low, Priority::Normal, Priority::High][random(3) as usize];
        if is_admitted(all.admit(id, priority, now)) {
            open += 1;
            let most = [16, 18, 20][priority as usize];
            assert!(open <= most, "{open} open at {priority:?}");
        }
        assert_eq!(all.counts().next().map(|(_, c)| c.in_flight), Some(open));
    }
}
