//! Properties of load shedding for arbitrary loads and capacities, and tests of capacity, demand and the shedding level.

use proptest::prelude::*;
use site_failover::load_shedding::{has_precedence, headroom, served_fractions, Load};
use site_failover::{Capacity, CapacityKey, Demand, QuotaStatus, RequestKind, ShedController};
use std::time::Duration;

const CAPACITIES: usize = 2;
const TOLERANCE: f64 = 1e-6;

fn load() -> impl Strategy<Value = Load> {
    let quota_status = prop_oneof![
        Just(QuotaStatus::WithinQuota),
        Just(QuotaStatus::Borrowed),
        Just(QuotaStatus::OverQuota)
    ];
    (
        0..CAPACITIES,
        0..4_u16,
        quota_status,
        any::<bool>(),
        1..4_u8,
        1..3_u8,
        0..50_u16,
    )
        .prop_map(
            |(capacity, tenant, quota_status, is_retry, priority_weight, work, rate)| Load {
                capacity,
                tenant,
                tenant_weight: f64::from(tenant + 1),
                quota_status,
                is_retry,
                priority_weight: f64::from(priority_weight),
                work: f64::from(work) * 0.01,
                rate: f64::from(rate),
            },
        )
}

fn loads() -> impl Strategy<Value = Vec<Load>> {
    prop::collection::vec(load(), 0..24)
}

fn capacities() -> impl Strategy<Value = Vec<f64>> {
    prop::collection::vec(0.0..6.0, CAPACITIES)
}

fn served_work(load: &Load, fraction: f64) -> f64 {
    load.work * load.rate * fraction
}

proptest! {
    /// No load is served while one of a higher rank is shed.
    #[test]
    fn no_lower_rank_before_a_higher(loads in loads(), capacities in capacities()) {
        let fractions = served_fractions(&loads, &capacities);
        for (high, high_fraction) in loads.iter().zip(&fractions) {
            for (low, low_fraction) in loads.iter().zip(&fractions) {
                if high.capacity == low.capacity && high.rate > 0.0 && has_precedence(high, low) && *high_fraction < 1.0 {
                    prop_assert_eq!(*low_fraction, 0.0, "{:?} is shed and {:?} is served", high, low);
                }
            }
        }
    }

    /// The capacity is never exceeded, and is used in full while any load is shed.
    #[test]
    fn capacity_is_kept_and_used(loads in loads(), capacities in capacities()) {
        let fractions = served_fractions(&loads, &capacities);
        for (at, capacity) in capacities.iter().enumerate() {
            let of_capacity = || loads.iter().zip(&fractions).filter(|(load, _)| load.capacity == at);
            let used: f64 = of_capacity().map(|(load, fraction)| served_work(load, *fraction)).sum();
            prop_assert!(used <= capacity + TOLERANCE, "{used} of {capacity} used");
            if of_capacity().any(|(load, fraction)| load.rate > 0.0 && *fraction < 1.0 - TOLERANCE) {
                prop_assert!(used >= capacity - TOLERANCE, "{used} of {capacity} used");
            }
        }
    }

    /// Within a rank, a tenant whose load is shed is served at least as much per weight as any other tenant.
    #[test]
    fn tenants_are_served_by_their_weights(loads in loads(), capacities in capacities()) {
        let fractions = served_fractions(&loads, &capacities);
        for (a, fraction) in loads.iter().zip(&fractions) {
            let has_same_rank = |b: &Load| a.capacity == b.capacity && !has_precedence(a, b) && !has_precedence(b, a);
            let has = |tenant: u16| -> f64 {
                let of_tenant = loads.iter().zip(&fractions).filter(|(b, _)| has_same_rank(b) && b.tenant == tenant);
                of_tenant.map(|(b, fraction)| served_work(b, *fraction)).sum()
            };
            if a.rate == 0.0 || *fraction >= 1.0 - TOLERANCE {
                continue;
            }
            for b in loads.iter().filter(|b| has_same_rank(b)) {
                let (mine, theirs) = (has(a.tenant) / a.tenant_weight, has(b.tenant) / b.tenant_weight);
                prop_assert!(mine >= theirs - TOLERANCE, "per weight {a:?} is served {mine}, {b:?} {theirs}");
            }
        }
    }

    /// With more capacity no load is served less.
    #[test]
    fn more_capacity_serves_more(loads in loads(), capacities in capacities(), more in 0.0..4.0) {
        let larger: Vec<f64> = capacities.iter().map(|capacity| capacity + more).collect();
        for (less, more) in served_fractions(&loads, &capacities).into_iter().zip(served_fractions(&loads, &larger)) {
            prop_assert!(more >= less - TOLERANCE);
        }
        let (least, most) = (headroom(&loads, &capacities), headroom(&loads, &larger));
        prop_assert!(least <= most + TOLERANCE && (0.0..=1.0 + TOLERANCE).contains(&least));
    }
}

/// Observed capacity decays, and is kept separately for each group and for reads and writes.
#[test]
fn capacity_is_the_observed_peak() {
    let mut capacity = Capacity::default();
    let key = |site, write| CapacityKey {
        group: 7,
        site,
        write,
    };
    let (mut now, ms) = (Duration::ZERO, Duration::from_millis);
    for n in 0..4_000 {
        now += ms(1);
        let factor = if n % 2 == 0 { 1 } else { 3 };
        capacity.record_answer(now, key(n % 4 / 2, false), 0, ms(10) * factor);
    }
    let observed = capacity.observed(now, key(0, false));
    // 500 requests per second of 10 ms each, as the shortest responses show; the longer ones add a little.
    assert!((4.9..5.6).contains(&observed), "{observed}");
    assert_eq!(
        capacity.total_of_other_sites(now, 0, 7, false),
        capacity.observed(now, key(1, false))
    );
    assert_eq!(capacity.total_of_other_sites(now, 0, 7, true), 0.0);
    assert_eq!(capacity.total_of_other_sites(now, 0, 8, false), 0.0);
    let later = now + Duration::from_secs(60);
    assert!((capacity.observed(later, key(0, false)) / observed - 0.5).abs() < 0.02);
}

#[test]
fn demand_is_bounded_and_decays() {
    let mut demand = Demand::default();
    let kind = |group| {
        let quota_status = QuotaStatus::WithinQuota;
        RequestKind {
            group,
            write: false,
            class: 0,
            tenant: 0,
            quota_status,
            is_retry: false,
        }
    };
    for n in 0..60_000_u64 {
        demand.record(Duration::from_millis(n), kind(1));
    }
    let now = Duration::from_secs(60);
    let rate = demand.rates(now).next().unwrap().1;
    assert!((950.0..1_050.0).contains(&rate), "{rate}");
    (2..10_000).for_each(|group| demand.record(now, kind(group)));
    assert_eq!(demand.rates(now).count(), 4_096);
    // Kinds whose rate has decayed are dropped for new ones.
    let later = now + Duration::from_secs(100);
    demand.record(later, kind(20_000));
    assert!(demand.rates(later).any(|(kind, _)| kind.group == 20_000));
}

/// Loads are shed in the order: over quota, on loan, retries, and then by priority weight per work.
#[test]
fn the_shedding_order() {
    let load = |quota_status, is_retry, priority_weight, work| {
        let (capacity, tenant, tenant_weight, rate) = (0, 0, 1.0, 1.0);
        Load {
            capacity,
            tenant,
            tenant_weight,
            quota_status,
            is_retry,
            priority_weight,
            work,
            rate,
        }
    };
    let loads = [
        load(QuotaStatus::OverQuota, false, 9.0, 1.0),
        load(QuotaStatus::Borrowed, false, 9.0, 1.0),
        load(QuotaStatus::WithinQuota, true, 9.0, 1.0),
        load(QuotaStatus::WithinQuota, false, 2.0, 2.0),
        load(QuotaStatus::WithinQuota, false, 2.0, 1.0),
    ];
    let fractions = |capacity| served_fractions(&loads, &[capacity]);
    assert_eq!(fractions(1.0), [0.0, 0.0, 0.0, 0.0, 1.0]);
    assert_eq!(fractions(2.0), [0.0, 0.0, 0.0, 0.5, 1.0]);
    assert_eq!(fractions(3.5), [0.0, 0.0, 0.5, 1.0, 1.0]);
    assert_eq!(fractions(4.5), [0.0, 0.5, 1.0, 1.0, 1.0]);
    assert_eq!(fractions(6.0), [1.0; 5]);
}

/// Runs the controller for `seconds` with two kinds of 20 requests per second each. Of each 5 indicative requests, `rejected` are
/// rejected. Returns the shed fractions of the kind with more and of the kind with less priority weight.
fn control(
    controller: &mut ShedController,
    from: u64,
    seconds: u64,
    site_is_lost: bool,
    rejected: u64,
) -> (f64, f64) {
    let kinds = [(0, 2.0), (1, 1.0)].map(|(class, priority_weight)| {
        let kind = RequestKind {
            group: 0,
            write: false,
            class,
            tenant: 0,
            quota_status: QuotaStatus::WithinQuota,
            is_retry: false,
        };
        let (capacity, tenant, quota_status, is_retry) = (0, 0, QuotaStatus::WithinQuota, false);
        (
            kind,
            Load {
                capacity,
                tenant,
                tenant_weight: 1.0,
                quota_status,
                is_retry,
                priority_weight,
                work: 0.01,
                rate: 20.0,
            },
        )
    });
    for update in from * 4..(from + seconds) * 4 {
        (0..5).for_each(|n| controller.record_outcome(n < rejected));
        controller.update(Duration::from_millis(250 * update), site_is_lost, &kinds);
    }
    (
        controller.shed_fraction(&kinds[0].0),
        controller.shed_fraction(&kinds[1].0),
    )
}

#[test]
fn the_lowest_rank_is_shed_only_while_requests_of_others_are_rejected() {
    let mut controller = ShedController::default();
    assert_eq!(
        control(&mut controller, 0, 10, true, 0),
        (0.0, 0.0),
        "while servers have capacity"
    );
    assert_eq!(
        control(&mut controller, 10, 10, false, 3),
        (0.0, 0.0),
        "while no site is lost"
    );
    let (high, low) = control(&mut controller, 20, 2, true, 2);
    assert!(high == 0.0 && low > 0.3, "{high} {low}");
    let (high, low) = control(&mut controller, 22, 10, true, 2);
    assert!(high > 0.0 && high < 1.0 && low == 1.0, "{high} {low}");
    // The level falls more slowly than it rises, and falls to 0.
    assert!(control(&mut controller, 32, 2, true, 0).1 > 0.9);
    assert_eq!(control(&mut controller, 34, 30, false, 0), (0.0, 0.0));
    assert_eq!(controller.level(), 0.0);
}
