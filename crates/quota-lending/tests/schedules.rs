//! Seeded schedules of faults. `cargo test --release -p quota-lending --test schedules -- --ignored --nocapture` runs 10,000.

mod fleet;

use std::time::{Duration, Instant};

use fleet::Fleet;
use quota_lending::{Decision, DenialReason, Event, Guards, Rules};

fn run_schedules(seeds: std::ops::Range<u64>, members: usize, steps: usize) {
    const THREADS: usize = 3;
    let started = Instant::now();
    let count = seeds.end - seeds.start;
    let run_part = &|thread: usize| {
        let (mut lent, mut takeovers, mut bootstrapped) = (0, 0, 0);
        for seed in seeds.clone().skip(thread).step_by(THREADS) {
            let fleet = Fleet::run_with_faults(seed, members, steps, Guards::ALL)
                .unwrap_or_else(|error| panic!("seed {seed}, {members} members: {error}"));
            (lent, takeovers) = (lent + fleet.lent / 1000, takeovers + fleet.takeovers);
            bootstrapped += usize::from(fleet.count_bootstrapped() > 0);
        }
        (lent, takeovers, bootstrapped)
    };
    let add = |a: (u64, usize, usize), b: (u64, usize, usize)| (a.0 + b.0, a.1 + b.1, a.2 + b.2);
    let (lent, takeovers, bootstrapped) = std::thread::scope(|scope| {
        let all: Vec<_> = (0..THREADS)
            .map(|thread| scope.spawn(move || run_part(thread)))
            .collect();
        all.into_iter()
            .map(|part| part.join().expect("a schedule failed"))
            .fold((0, 0, 0), add)
    });
    println!(
        "{count} schedules of {members}: {lent} loans, {takeovers} accounts taken over, bootstrapped in {bootstrapped}, {:?}",
        started.elapsed()
    );
    assert!(
        lent > count * 20 && takeovers > 0,
        "too few loans or takeovers in the schedules for a meaningful check"
    );
}

#[test]
fn the_credit_limit_holds_in_schedules_of_faults() {
    run_schedules(0..200, 5, 400);
}

#[test]
#[ignore = "a minute"]
fn ten_thousand_schedules_of_five_first_half() {
    run_schedules(0..5_000, 5, 400);
}

#[test]
#[ignore = "a minute"]
fn ten_thousand_schedules_of_five_second_half() {
    run_schedules(5_000..10_000, 5, 400);
}

#[test]
#[ignore = "a minute; 10,000 of them take hours"]
fn schedules_of_fifty() {
    run_schedules(0..15, 50, 160);
}

/// Without any one of the guards a schedule violates a check. Otherwise the schedules or the checks would be too weak.
#[test]
fn each_disabled_guard_is_detected() {
    let all = Guards::ALL;
    let without = [
        (
            "part",
            Guards {
                local_limit: false,
                ..all
            },
        ),
        (
            "lease",
            Guards {
                lease: false,
                ..all
            },
        ),
        (
            "witness",
            Guards {
                witness: false,
                ..all
            },
        ),
        (
            "hold",
            Guards {
                quarantine: false,
                ..all
            },
        ),
        (
            "once",
            Guards {
                single_vote: false,
                ..all
            },
        ),
        (
            "frozen",
            Guards {
                freeze: false,
                ..all
            },
        ),
        (
            "reserve",
            Guards {
                reserve: false,
                ..all
            },
        ),
        (
            "memory",
            Guards {
                stored_membership: false,
                ..all
            },
        ),
    ];
    for (name, guards) in without {
        let detected = (0..400).find_map(|seed| {
            let result = match name {
                "witness" => Fleet::unwitnessed_transfer(seed, guards),
                "reserve" => Fleet::kill_and_return(seed, guards),
                "lease" | "frozen" => Fleet::cut_off(seed, guards),
                _ => Fleet::run_with_faults(seed, 5, 400, guards),
            };
            Some((seed, result.err()?))
        });
        println!("without {name}: {detected:?}");
        assert!(
            detected.is_some(),
            "no violation found without the guard {name}"
        );
    }
}

#[test]
fn accounts_of_the_dead_and_of_the_cut_off_are_taken_over_once() {
    let mut takeovers = 0;
    for seed in 0..20 {
        for run in [
            Fleet::unwitnessed_transfer,
            Fleet::cut_off,
            Fleet::kill_and_return,
        ] {
            takeovers += run(seed, Guards::ALL)
                .unwrap_or_else(|error| panic!("seed {seed}: {error}"))
                .takeovers;
        }
    }
    assert!(
        takeovers >= 30,
        "{takeovers} accounts were taken over in 60 schedules"
    );
}

/// Bytes per second that each node publishes: while loans are made, and long after the last one.
fn published_bytes(members: usize) -> [usize; 2] {
    let mut fleet = Fleet::new(1, members, true, Guards::ALL);
    fleet.reliable_disks = true;
    fleet
        .run_steps(140)
        .unwrap_or_else(|error| panic!("{members} members: {error}"));
    assert!(fleet.count_bootstrapped() == members || members > 55);
    let mut bytes = |idle, steps: usize| {
        (fleet.idle, fleet.published_bytes) = (idle, 0);
        fleet
            .run_steps(steps)
            .unwrap_or_else(|error| panic!("{members} members: {error}"));
        fleet.published_bytes * 4 / steps / members
    };
    let busy = bytes(false, 80);
    bytes(true, 160);
    [busy, bytes(true, 40)]
}

#[test]
fn unchanged_messages_are_repeated_rarely() {
    let [busy, idle] = published_bytes(5);
    println!("5 members: {busy} bytes per second of each, {idle} while nothing is lent");
    assert!(busy < 2_000 && idle < 600, "{busy} and {idle}");
}

#[test]
#[ignore = "a minute"]
fn bytes_published_by_fifty_and_by_two_hundred() {
    for members in [50, 200] {
        println!("{members} members: {:?}", published_bytes(members));
    }
}

/// The shares of a busy tenant circulate in the fleet until each account has sent them many times.
#[test]
fn transfers_go_on_beyond_totals_of_thirty_two_bits() {
    for seed in 0..2 {
        let mut fleet =
            Fleet::run_without_faults(seed, Guards::ALL).unwrap_or_else(|error| panic!("{error}"));
        fleet.reliable_disks = true;
        fleet
            .run_steps(8000)
            .unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        let lent = fleet.lent;
        assert!(
            fleet.max_sent() > u64::from(u32::MAX),
            "seed {seed}: {}",
            fleet.max_sent()
        );
        fleet
            .run_steps(400)
            .unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        assert!(
            fleet.lent > lent,
            "seed {seed}: nothing is lent after the totals exceed 32 bits"
        );
    }
}

#[test]
fn the_stricter_of_two_limits_holds_for_all() {
    for seed in 0..10 {
        let (local_limits, limit) =
            Fleet::stricter_rule(seed).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        assert!(
            local_limits <= limit && local_limits > limit / 2,
            "seed {seed}: {local_limits} of {limit}"
        );
    }
}

#[test]
fn each_reason_for_denial_is_given_and_the_floor_stays() {
    let mut fleet = Fleet::bootstrapped_fleet(1);
    assert!(matches!(
        fleet.exhaust(0),
        Decision::Denied(DenialReason::CreditLimit | DenialReason::NotReserved)
    ));
    // Unused quota: all above the floor is withheld. Quota in full use: as much as the term requires. Shortage: all above the
    // floor.
    assert_eq!(fleet.withheld(0, 0, Duration::ZERO).0, 500);
    assert!(fleet.withheld(0, 1000, Duration::ZERO).0 < 10);
    assert!(fleet
        .withheld(0, 1000, Duration::from_secs(2))
        .1
        .is_some_and(|totals| totals.in_default));
    for (event, reason) in [
        (Event::Shortage(true), DenialReason::Shortage),
        (
            Event::LendingWindow {
                tenant: fleet::TENANT,
                open: false,
            },
            DenialReason::WindowClosed,
        ),
        (Event::Rules(Rules::default()), DenialReason::NoRule),
    ] {
        fleet.send_event(0, event);
        assert_eq!(fleet.exhaust(0), Decision::Denied(reason));
        assert!(reason == DenialReason::NoRule || fleet.withheld(0, 1000, Duration::ZERO).0 == 500);
    }
}
