//! Order of refusal, for any load and any fleet.

use proptest::prelude::*;
use site_failover::order::{before, headroom, served, Ask, Standing};
use site_failover::{Capacity, Demand, Kind, Room, Steer};
use std::time::Duration;

const ROOMS: usize = 2;
const NEARLY: f64 = 1e-6;

fn ask() -> impl Strategy<Value = Ask> {
    let standing = prop_oneof![
        Just(Standing::Within),
        Just(Standing::Borrowed),
        Just(Standing::Beyond)
    ];
    (
        0..ROOMS,
        0..4_u16,
        standing,
        any::<bool>(),
        1..4_u8,
        1..3_u8,
        0..50_u16,
    )
        .prop_map(
            |(room, tenant, standing, repeated, worth, work, rate)| Ask {
                room,
                tenant,
                share: f64::from(tenant + 1),
                standing,
                repeated,
                worth: f64::from(worth),
                work: f64::from(work) * 0.01,
                rate: f64::from(rate),
            },
        )
}

fn asks() -> impl Strategy<Value = Vec<Ask>> {
    prop::collection::vec(ask(), 0..24)
}

fn rooms() -> impl Strategy<Value = Vec<f64>> {
    prop::collection::vec(0.0..6.0, ROOMS)
}

fn work(ask: &Ask, part: f64) -> f64 {
    ask.work * ask.rate * part
}

proptest! {
    /// Nothing is served from room that a higher rank is refused for.
    #[test]
    fn no_lower_rank_before_a_higher(asks in asks(), rooms in rooms()) {
        let parts = served(&asks, &rooms);
        for (high, of_high) in asks.iter().zip(&parts) {
            for (low, of_low) in asks.iter().zip(&parts) {
                if high.room == low.room && high.rate > 0.0 && before(high, low) && *of_high < 1.0 {
                    prop_assert_eq!(*of_low, 0.0, "{:?} is refused and {:?} served", high, low);
                }
            }
        }
    }

    /// Room is kept to, and all of it used while anything is refused.
    #[test]
    fn room_is_kept_and_used(asks in asks(), rooms in rooms()) {
        let parts = served(&asks, &rooms);
        for (at, room) in rooms.iter().enumerate() {
            let here = || asks.iter().zip(&parts).filter(|(ask, _)| ask.room == at);
            let used: f64 = here().map(|(ask, part)| work(ask, *part)).sum();
            prop_assert!(used <= room + NEARLY, "{used} of {room}");
            if here().any(|(ask, part)| ask.rate > 0.0 && *part < 1.0 - NEARLY) {
                prop_assert!(used >= room - NEARLY, "{used} of {room}");
            }
        }
    }

    /// Of one rank, whoever is refused has as much for its share as anyone.
    #[test]
    fn tenants_are_served_by_their_shares(asks in asks(), rooms in rooms()) {
        let parts = served(&asks, &rooms);
        for (a, of_a) in asks.iter().zip(&parts) {
            let equals = |b: &Ask| a.room == b.room && !before(a, b) && !before(b, a);
            let has = |tenant: u16| -> f64 {
                let of_tenant = asks.iter().zip(&parts).filter(|(b, _)| equals(b) && b.tenant == tenant);
                of_tenant.map(|(b, part)| work(b, *part)).sum()
            };
            if a.rate == 0.0 || *of_a >= 1.0 - NEARLY {
                continue;
            }
            for b in asks.iter().filter(|b| equals(b)) {
                let (mine, theirs) = (has(a.tenant) / a.share, has(b.tenant) / b.share);
                prop_assert!(mine >= theirs - NEARLY, "{a:?} has {mine}, {b:?} {theirs}");
            }
        }
    }

    /// More room is less for nobody.
    #[test]
    fn more_room_serves_more(asks in asks(), rooms in rooms(), more in 0.0..4.0) {
        let wider: Vec<f64> = rooms.iter().map(|room| room + more).collect();
        for (less, more) in served(&asks, &rooms).into_iter().zip(served(&asks, &wider)) {
            prop_assert!(more >= less - NEARLY);
        }
        let (least, most) = (headroom(&asks, &rooms), headroom(&asks, &wider));
        prop_assert!(least <= most + NEARLY && (0.0..=1.0 + NEARLY).contains(&least));
    }
}

/// What a site showed counts, fades, and is told apart by group and kind.
#[test]
fn capacity_is_what_was_shown() {
    let mut capacity = Capacity::default();
    let room = |site, write| Room {
        group: 7,
        site,
        write,
    };
    let (mut now, ms) = (Duration::ZERO, Duration::from_millis);
    for n in 0..4_000 {
        now += ms(1);
        let slower = if n % 2 == 0 { 1 } else { 3 };
        capacity.answered(now, room(n % 4 / 2, false), 0, ms(10) * slower);
    }
    let shown = capacity.shown(now, room(0, false));
    // 500 in a second, of 10 ms each as the shortest tell, and a little more by the longer ones.
    assert!((4.9..5.6).contains(&shown), "{shown}");
    assert_eq!(
        capacity.without(now, 0, 7, false),
        capacity.shown(now, room(1, false))
    );
    assert_eq!(capacity.without(now, 0, 7, true), 0.0);
    assert_eq!(capacity.without(now, 0, 8, false), 0.0);
    let later = now + Duration::from_secs(60);
    assert!((capacity.shown(later, room(0, false)) / shown - 0.5).abs() < 0.02);
}

#[test]
fn demand_is_bounded_and_fades() {
    let mut demand = Demand::default();
    let kind = |group| {
        let standing = Standing::Within;
        Kind {
            group,
            write: false,
            class: 0,
            tenant: 0,
            standing,
            repeated: false,
        }
    };
    for n in 0..60_000_u64 {
        demand.asked(Duration::from_millis(n), kind(1));
    }
    let now = Duration::from_secs(60);
    let rate = demand.rates(now).next().unwrap().1;
    assert!((950.0..1_050.0).contains(&rate), "{rate}");
    (2..10_000).for_each(|group| demand.asked(now, kind(group)));
    assert_eq!(demand.rates(now).count(), 4_096);
    // What has faded makes place.
    let later = now + Duration::from_secs(100);
    demand.asked(later, kind(20_000));
    assert!(demand.rates(later).any(|(kind, _)| kind.group == 20_000));
}

/// What is refused first, second, third and last.
#[test]
fn the_order() {
    let ask = |standing, repeated, worth, work| {
        let (room, tenant, share, rate) = (0, 0, 1.0, 1.0);
        Ask {
            room,
            tenant,
            share,
            standing,
            repeated,
            worth,
            work,
            rate,
        }
    };
    let asks = [
        ask(Standing::Beyond, false, 9.0, 1.0),
        ask(Standing::Borrowed, false, 9.0, 1.0),
        ask(Standing::Within, true, 9.0, 1.0),
        ask(Standing::Within, false, 2.0, 2.0),
        ask(Standing::Within, false, 2.0, 1.0),
    ];
    let part = |room| served(&asks, &[room]);
    assert_eq!(part(1.0), [0.0, 0.0, 0.0, 0.0, 1.0]);
    assert_eq!(part(2.0), [0.0, 0.0, 0.0, 0.5, 1.0]);
    assert_eq!(part(3.5), [0.0, 0.0, 0.5, 1.0, 1.0]);
    assert_eq!(part(4.5), [0.0, 0.5, 1.0, 1.0, 1.0]);
    assert_eq!(part(6.0), [1.0; 5]);
}

/// Seconds of a proxy that is asked 20 times a second for each of two kinds; of the kind that is worth more, so many find no room.
fn steered(steer: &mut Steer, from: u64, seconds: u64, on: bool, refused: u64) -> (f64, f64) {
    let kinds = [(0, 2.0), (1, 1.0)].map(|(class, worth)| {
        let kind = Kind {
            group: 0,
            write: false,
            class,
            tenant: 0,
            standing: Standing::Within,
            repeated: false,
        };
        let (room, tenant, standing, repeated) = (0, 0, Standing::Within, false);
        (
            kind,
            Ask {
                room,
                tenant,
                share: 1.0,
                standing,
                repeated,
                worth,
                work: 0.01,
                rate: 20.0,
            },
        )
    });
    for look in from * 4..(from + seconds) * 4 {
        (0..5).for_each(|n| steer.ended(n < refused));
        steer.look(Duration::from_millis(250 * look), on, &kinds);
    }
    (steer.part(&kinds[0].0), steer.part(&kinds[1].0))
}

#[test]
fn the_lowest_rank_pays_for_refusals_of_others_and_nobody_without_them() {
    let mut steer = Steer::default();
    assert_eq!(
        steered(&mut steer, 0, 10, true, 0),
        (0.0, 0.0),
        "while servers have room"
    );
    assert_eq!(
        steered(&mut steer, 10, 10, false, 3),
        (0.0, 0.0),
        "while no site is lost"
    );
    let (high, low) = steered(&mut steer, 20, 2, true, 2);
    assert!(high == 0.0 && low > 0.3, "{high} {low}");
    let (high, low) = steered(&mut steer, 22, 10, true, 2);
    assert!(high > 0.0 && high < 1.0 && low == 1.0, "{high} {low}");
    // It loosens slower than it tightens, and wholly.
    assert!(steered(&mut steer, 32, 2, true, 0).1 > 0.9);
    assert_eq!(steered(&mut steer, 34, 30, false, 0), (0.0, 0.0));
    assert_eq!(steer.level(), 0.0);
}
