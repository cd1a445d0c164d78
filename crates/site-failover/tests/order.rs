//! Load shedding for any load and any fleet; capacity and demand.

use proptest::prelude::*;
use site_failover::load_shedding::{has_precedence, headroom, served_fractions, Load};
use site_failover::{Capacity, CapacityKey, Demand, QuotaStatus, RequestKind, ShedController};
use std::time::Duration;

const CAPACITIES: usize = 2;
const NEARLY: f64 = 1e-6;

fn load() -> impl Strategy<Value = Load> {
    let standing = prop_oneof![
        Just(QuotaStatus::WithinQuota),
        Just(QuotaStatus::Borrowed),
        Just(QuotaStatus::OverQuota)
    ];
    (
        0..CAPACITIES,
        0..4_u16,
        standing,
        any::<bool>(),
        1..4_u8,
        1..3_u8,
        0..50_u16,
    )
        .prop_map(
            |(room, tenant, standing, repeated, worth, work, rate)| Load {
                capacity: room,
                tenant,
                tenant_weight: f64::from(tenant + 1),
                quota_status: standing,
                is_retry: repeated,
                priority_weight: f64::from(worth),
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

fn work(load: &Load, part: f64) -> f64 {
    load.work * load.rate * part
}

proptest! {
    /// Nothing is served while anything of a higher rank is shed.
    #[test]
    fn no_lower_rank_before_a_higher(loads in loads(), capacities in capacities()) {
        let parts = served_fractions(&loads, &capacities);
        for (high, of_high) in loads.iter().zip(&parts) {
            for (low, of_low) in loads.iter().zip(&parts) {
                if high.capacity == low.capacity && high.rate > 0.0 && has_precedence(high, low) && *of_high < 1.0 {
                    prop_assert_eq!(*of_low, 0.0, "{:?} is refused and {:?} served", high, low);
                }
            }
        }
    }

    /// No more than the capacity is used, and all of it while anything is shed.
    #[test]
    fn capacity_is_kept_and_used(loads in loads(), capacities in capacities()) {
        let parts = served_fractions(&loads, &capacities);
        for (at, room) in capacities.iter().enumerate() {
            let here = || loads.iter().zip(&parts).filter(|(load, _)| load.capacity == at);
            let used: f64 = here().map(|(load, part)| work(load, *part)).sum();
            prop_assert!(used <= room + NEARLY, "{used} of {room}");
            if here().any(|(load, part)| load.rate > 0.0 && *part < 1.0 - NEARLY) {
                prop_assert!(used >= room - NEARLY, "{used} of {room}");
            }
        }
    }

    /// Within a rank, a tenant of which anything is shed has as much for its weight as any other.
    #[test]
    fn tenants_are_served_by_their_weights(loads in loads(), capacities in capacities()) {
        let parts = served_fractions(&loads, &capacities);
        for (a, of_a) in loads.iter().zip(&parts) {
            let equals = |b: &Load| a.capacity == b.capacity && !has_precedence(a, b) && !has_precedence(b, a);
            let has = |tenant: u16| -> f64 {
                let of_tenant = loads.iter().zip(&parts).filter(|(b, _)| equals(b) && b.tenant == tenant);
                of_tenant.map(|(b, part)| work(b, *part)).sum()
            };
            if a.rate == 0.0 || *of_a >= 1.0 - NEARLY {
                continue;
            }
            for b in loads.iter().filter(|b| equals(b)) {
                let (mine, theirs) = (has(a.tenant) / a.tenant_weight, has(b.tenant) / b.tenant_weight);
                prop_assert!(mine >= theirs - NEARLY, "{a:?} has {mine}, {b:?} {theirs}");
            }
        }
    }

    /// With more capacity nobody is served less.
    #[test]
    fn more_capacity_serves_more(loads in loads(), capacities in capacities(), more in 0.0..4.0) {
        let wider: Vec<f64> = capacities.iter().map(|room| room + more).collect();
        for (less, more) in served_fractions(&loads, &capacities).into_iter().zip(served_fractions(&loads, &wider)) {
            prop_assert!(more >= less - NEARLY);
        }
        let (least, most) = (headroom(&loads, &capacities), headroom(&loads, &wider));
        prop_assert!(least <= most + NEARLY && (0.0..=1.0 + NEARLY).contains(&least));
    }
}

/// What a site has shown counts, decays, and is kept by group and by reads and writes.
#[test]
fn capacity_is_what_was_shown() {
    let mut capacity = Capacity::default();
    let room = |site, write| CapacityKey {
        group: 7,
        site,
        write,
    };
    let (mut now, ms) = (Duration::ZERO, Duration::from_millis);
    for n in 0..4_000 {
        now += ms(1);
        let slower = if n % 2 == 0 { 1 } else { 3 };
        capacity.record_answer(now, room(n % 4 / 2, false), 0, ms(10) * slower);
    }
    let shown = capacity.shown(now, room(0, false));
    // 500 in a second, of 10 ms each as the shortest tell, and a little more by the longer ones.
    assert!((4.9..5.6).contains(&shown), "{shown}");
    assert_eq!(
        capacity.total_of_others(now, 0, 7, false),
        capacity.shown(now, room(1, false))
    );
    assert_eq!(capacity.total_of_others(now, 0, 7, true), 0.0);
    assert_eq!(capacity.total_of_others(now, 0, 8, false), 0.0);
    let later = now + Duration::from_secs(60);
    assert!((capacity.shown(later, room(0, false)) / shown - 0.5).abs() < 0.02);
}

#[test]
fn demand_is_bounded_and_decays() {
    let mut demand = Demand::default();
    let kind = |group| {
        let standing = QuotaStatus::WithinQuota;
        RequestKind {
            group,
            write: false,
            class: 0,
            tenant: 0,
            quota_status: standing,
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
    // Kinds that have decayed make room.
    let later = now + Duration::from_secs(100);
    demand.record(later, kind(20_000));
    assert!(demand.rates(later).any(|(kind, _)| kind.group == 20_000));
}

/// What is shed first, second, third and last.
#[test]
fn the_shedding_order() {
    let load = |standing, repeated, worth, work| {
        let (room, tenant, share, rate) = (0, 0, 1.0, 1.0);
        Load {
            capacity: room,
            tenant,
            tenant_weight: share,
            quota_status: standing,
            is_retry: repeated,
            priority_weight: worth,
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
    let part = |room| served_fractions(&loads, &[room]);
    assert_eq!(part(1.0), [0.0, 0.0, 0.0, 0.0, 1.0]);
    assert_eq!(part(2.0), [0.0, 0.0, 0.0, 0.5, 1.0]);
    assert_eq!(part(3.5), [0.0, 0.0, 0.5, 1.0, 1.0]);
    assert_eq!(part(4.5), [0.0, 0.5, 1.0, 1.0, 1.0]);
    assert_eq!(part(6.0), [1.0; 5]);
}

/// Runs seconds of a proxy that gets 20 requests a second of each of two kinds; of the kind of more weight so many are rejected.
fn control(
    controller: &mut ShedController,
    from: u64,
    seconds: u64,
    on: bool,
    refused: u64,
) -> (f64, f64) {
    let kinds = [(0, 2.0), (1, 1.0)].map(|(class, worth)| {
        let kind = RequestKind {
            group: 0,
            write: false,
            class,
            tenant: 0,
            quota_status: QuotaStatus::WithinQuota,
            is_retry: false,
        };
        let (room, tenant, standing, repeated) = (0, 0, QuotaStatus::WithinQuota, false);
        (
            kind,
            Load {
                capacity: room,
                tenant,
                tenant_weight: 1.0,
                quota_status: standing,
                is_retry: repeated,
                priority_weight: worth,
                work: 0.01,
                rate: 20.0,
            },
        )
    });
    for look in from * 4..(from + seconds) * 4 {
        (0..5).for_each(|n| controller.record_outcome(n < refused));
        controller.update(Duration::from_millis(250 * look), on, &kinds);
    }
    (
        controller.shed_fraction(&kinds[0].0),
        controller.shed_fraction(&kinds[1].0),
    )
}

#[test]
fn the_lowest_rank_is_shed_for_rejections_of_others_and_nobody_without_them() {
    let mut controller = ShedController::default();
    assert_eq!(
        control(&mut controller, 0, 10, true, 0),
        (0.0, 0.0),
        "while servers have room"
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
    // It loosens slower than it tightens, and wholly.
    assert!(control(&mut controller, 32, 2, true, 0).1 > 0.9);
    assert_eq!(control(&mut controller, 34, 30, false, 0), (0.0, 0.0));
    assert_eq!(controller.level(), 0.0);
}
