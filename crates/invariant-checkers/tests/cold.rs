//! Checker of cold servers' load: computed ratios, planted overloads, and a comparison with a direct computation.

use invariant_checkers::cold::{overload_threshold, Bounds, Checker, Peak};
use proptest::prelude::*;

/// Allows 16 requests of mean work per second at the start, growing to 64 when the server is warm after 10 s.
const BOUNDS: Bounds = Bounds {
    cold: 0.25,
    warm_after: 10_000_000,
    tip: 2.0,
    window: 1_000_000,
    warm: 32.0,
};
const START: u64 = 5_000_000;
const MEAN: u64 = 1_000;

fn burst(number: usize, proxies: usize) -> Checker {
    let mut checker = Checker::new(BOUNDS, MEAN as f64);
    (0..number).for_each(|n| checker.record_request(START, n % proxies, 7, START, MEAN));
    checker
}

#[test]
fn a_planted_breach_shows_a_ratio_above_one() {
    // 16 + 3 x 4 + 3.
    for (number, breaches) in [(31, 0), (32, 1), (90, 1)] {
        let checker = burst(number, 60);
        let [peak] = checker.peaks()[..] else {
            panic!("expected the peak of exactly one start")
        };
        assert_eq!(peak.ratio(), number as f64 / 31.0);
        assert_eq!(peak.ratio_to_allowed(), number as f64 / 16.0);
        assert_eq!(
            (checker.breaches, peak.proxies),
            (breaches, number.min(60) as u64)
        );
    }
}

#[test]
fn the_line_is_two_roots_of_n_beyond_it_and_three_where_n_is_under_thirty() {
    assert_eq!(overload_threshold(16.0), 16.0 + 3.0 * 4.0 + 3.0);
    assert_eq!(overload_threshold(25.0), 25.0 + 3.0 * 5.0 + 3.0);
    assert_eq!(overload_threshold(30.0), 30.0 + 2.0 * 30.0_f64.sqrt() + 2.0);
    assert_eq!(overload_threshold(100.0), 100.0 + 2.0 * 10.0 + 2.0);
}

#[test]
fn the_fullest_mostly_told_time_is_kept_beside_a_fuller_one_that_was_not() {
    let mut checker = Checker::new(BOUNDS, MEAN as f64);
    checker.notified(0, 7, START);
    // 30 requests from a proxy that was not notified; two seconds later eight from a notified one and four from the other:
    // exactly two thirds at the end are not over two thirds.
    (0..30).for_each(|_| checker.record_request(START, 1, 7, START, MEAN));
    let later = START + 2 * BOUNDS.window;
    (0..8).for_each(|_| checker.record_request(later, 0, 7, START, MEAN));
    (0..4).for_each(|_| checker.record_request(later, 1, 7, START, MEAN));
    let [fullest] = checker.peaks()[..] else {
        panic!("expected the peak of exactly one start")
    };
    assert_eq!(
        (fullest.got, fullest.told, fullest.mostly_notified()),
        (30.0, 0.0, false)
    );
    let [told] = checker.notified_peaks()[..] else {
        panic!("expected the peak of exactly one start")
    };
    assert_eq!((told.got, told.told, told.proxies), (11.0, 8.0, 2));
}

#[test]
fn the_work_of_probes_and_new_connections_counts_but_they_are_no_requests() {
    let mut checker = burst(20, 1);
    (0..4).for_each(|_| checker.record_background_work(START, 0, 7, START, MEAN / 2));
    let [peak] = checker.peaks()[..] else {
        panic!("expected the peak of exactly one start")
    };
    assert_eq!((peak.got, peak.requests), (22.0, 20));
}

#[test]
fn only_cold_starts_count_and_each_by_itself() {
    let mut checker = burst(20, 1);
    // A server that started long ago, a warm server, and a restarted server.
    checker.record_request(START, 0, 8, 0, 90 * MEAN);
    checker.record_request(START + 10_000_000, 0, 7, START, 900 * MEAN);
    checker.record_request(START + 11_000_000, 0, 7, START + 11_000_000, MEAN);
    let got: Vec<f64> = checker.peaks().iter().map(|peak| peak.got).collect();
    assert_eq!(got, [20.0, 1.0]);
}

#[test]
fn who_had_been_told_is_known_by_start() {
    let mut checker = Checker::new(BOUNDS, MEAN as f64);
    checker.notified(0, 7, START);
    checker.notified(1, 7, START - 1);
    checker.notified(2, 7, 0);
    (0..3).for_each(|proxy| checker.record_request(START + 1, proxy, 7, START, MEAN));
    let [peak] = checker.peaks()[..] else {
        panic!("expected the peak of exactly one start")
    };
    assert_eq!((peak.got, peak.told), (3.0, 1.0));
}

proptest! {
    /// Compares with a direct computation over all windows.
    #[test]
    fn the_fullest_window_is_found(arrivals in prop::collection::vec((0u64..400_000, 0u64..5_000), 1..80)) {
        let mut checker = Checker::new(BOUNDS, MEAN as f64);
        let mut now = START;
        let arrivals: Vec<(u64, u64)> = arrivals.into_iter().map(|(gap, work)| { now += gap; (now, work) }).collect();
        arrivals.iter().for_each(|(at, work)| checker.record_request(*at, 0, 7, START, *work));
        let ratio = |end: u64| {
            let inside = arrivals.iter().filter(|(at, _)| *at <= end && at + BOUNDS.window > end);
            let got = inside.map(|(_, work)| work).sum::<u64>() as f64 / MEAN as f64;
            BOUNDS.allowed(end - START).map(|allowed| Peak { got, allowed, ..Peak::default() }.ratio())
        };
        let most = arrivals.iter().filter_map(|(at, _)| ratio(*at)).fold(0.0, f64::max);
        let found = checker.peaks().first().map_or(0.0, Peak::ratio);
        prop_assert!((found - most).abs() < 1e-9, "the checker found {found}, the direct computation {most}");
    }
}
