//! Seeded schedules of faults. `cargo test --release -p quota-lending --test schedules -- --ignored --nocapture` plays 10,000.

mod fleet;

use std::time::{Duration, Instant};

use fleet::Fleet;
use quota_lending::{Decision, DenialReason, Event, Guards, Rules};

fn play(seeds: std::ops::Range<u64>, members: usize, steps: usize) {
    const THREADS: usize = 3;
    let began = Instant::now();
    let count = seeds.end - seeds.start;
    let part = &|thread: usize| {
        let (mut lent, mut takeovers, mut founded) = (0, 0, 0);
        for seed in seeds.clone().skip(thread).step_by(THREADS) {
            let fleet = Fleet::play(seed, members, steps, Guards::ALL)
                .unwrap_or_else(|wrong| panic!("seed {seed}, {members} members: {wrong}"));
            (lent, takeovers) = (lent + fleet.lent / 1000, takeovers + fleet.takeovers);
            founded += usize::from(fleet.founded() > 0);
        }
        (lent, takeovers, founded)
    };
    let add = |a: (u64, usize, usize), b: (u64, usize, usize)| (a.0 + b.0, a.1 + b.1, a.2 + b.2);
    let (lent, takeovers, founded) = std::thread::scope(|scope| {
        let all: Vec<_> = (0..THREADS)
            .map(|thread| scope.spawn(move || part(thread)))
            .collect();
        all.into_iter()
            .map(|part| part.join().expect("a schedule failed"))
            .fold((0, 0, 0), add)
    });
    println!(
        "{count} schedules of {members}: {lent} loans, {takeovers} lanes taken over, founded in {founded}, {:?}",
        began.elapsed()
    );
    assert!(
        lent > count * 20 && takeovers > 0,
        "schedules in which nothing happens prove nothing"
    );
}

#[test]
fn the_credit_limit_holds_in_schedules_of_faults() {
    play(0..200, 5, 400);
}

#[test]
#[ignore = "a minute"]
fn ten_thousand_schedules_of_five_first_half() {
    play(0..5_000, 5, 400);
}

#[test]
#[ignore = "a minute"]
fn ten_thousand_schedules_of_five_second_half() {
    play(5_000..10_000, 5, 400);
}

#[test]
#[ignore = "a minute; 10,000 of them take hours"]
fn schedules_of_fifty() {
    play(0..15, 50, 160);
}

/// Each guard taken away is noticed: else the schedules, or the checker, would be too mild.
#[test]
fn each_guard_taken_away_is_noticed() {
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
        let noticed = (0..400).find_map(|seed| {
            let played = match name {
                "witness" => Fleet::unwitnessed_transfer(seed, guards),
                "reserve" => Fleet::kill_and_return(seed, guards),
                "lease" | "frozen" => Fleet::cut_off(seed, guards),
                _ => Fleet::play(seed, 5, 400, guards),
            };
            Some((seed, played.err()?))
        });
        println!("without {name}: {noticed:?}");
        assert!(noticed.is_some(), "nobody notices that {name} is gone");
    }
}

#[test]
fn accounts_of_the_dead_and_of_the_cut_off_are_taken_over_once() {
    let mut takeovers = 0;
    for seed in 0..20 {
        for play in [
            Fleet::unwitnessed_transfer,
            Fleet::cut_off,
            Fleet::kill_and_return,
        ] {
            takeovers += play(seed, Guards::ALL)
                .unwrap_or_else(|wrong| panic!("seed {seed}: {wrong}"))
                .takeovers;
        }
    }
    assert!(
        takeovers >= 30,
        "{takeovers} lanes were taken over in 60 schedules"
    );
}

/// Bytes a second that each publishes: with loans, and long after.
fn published(members: usize) -> [usize; 2] {
    let mut fleet = Fleet::new(1, members, true, Guards::ALL);
    fleet.reliable_disks = true;
    fleet
        .steps(140)
        .unwrap_or_else(|wrong| panic!("{members} members: {wrong}"));
    assert!(fleet.founded() == members || members > 55);
    let mut bytes = |quiet, steps: usize| {
        (fleet.quiet, fleet.published_bytes) = (quiet, 0);
        fleet
            .steps(steps)
            .unwrap_or_else(|wrong| panic!("{members} members: {wrong}"));
        fleet.published_bytes * 4 / steps / members
    };
    let busy = bytes(false, 80);
    bytes(true, 160);
    [busy, bytes(true, 40)]
}

#[test]
fn unchanged_messages_are_repeated_rarely() {
    let [busy, quiet] = published(5);
    println!("5 members: {busy} bytes a second of each, {quiet} when nothing is lent");
    assert!(busy < 2_000 && quiet < 600, "{busy} and {quiet}");
}

#[test]
#[ignore = "a minute"]
fn bytes_published_by_fifty_and_by_two_hundred() {
    for members in [50, 200] {
        println!("{members} members: {:?}", published(members));
    }
}

/// A busy tenant's shares go round the fleet until each account has sent them away many times.
#[test]
fn transfers_go_on_beyond_totals_of_thirty_two_bits() {
    for seed in 0..2 {
        let mut fleet = Fleet::peace(seed, Guards::ALL).unwrap_or_else(|wrong| panic!("{wrong}"));
        fleet.reliable_disks = true;
        fleet
            .steps(8000)
            .unwrap_or_else(|wrong| panic!("seed {seed}: {wrong}"));
        let lent = fleet.lent;
        assert!(
            fleet.sent_most() > u64::from(u32::MAX),
            "seed {seed}: {}",
            fleet.sent_most()
        );
        fleet
            .steps(400)
            .unwrap_or_else(|wrong| panic!("seed {seed}: {wrong}"));
        assert!(fleet.lent > lent, "seed {seed}: nothing is lent any more");
    }
}

#[test]
fn the_stricter_of_two_limits_holds_for_all() {
    for seed in 0..10 {
        let (parts, line) =
            Fleet::stricter(seed).unwrap_or_else(|wrong| panic!("seed {seed}: {wrong}"));
        assert!(
            parts <= line && parts > line / 2,
            "seed {seed}: {parts} of {line}"
        );
    }
}

#[test]
fn each_reason_for_denial_is_given_and_the_floor_stays() {
    let mut fleet = Fleet::founded_in_peace(1);
    assert!(matches!(
        fleet.exhaust(0),
        Decision::Denied(DenialReason::CreditLimit | DenialReason::NotReserved)
    ));
    // Quiet: all but the floor. In full use: what the term needs. Others need the room: all but the floor.
    assert_eq!(fleet.withheld(0, 0, Duration::ZERO).0, 500);
    assert!(fleet.withheld(0, 1000, Duration::ZERO).0 < 10);
    assert!(fleet
        .withheld(0, 1000, Duration::from_secs(2))
        .1
        .is_some_and(|book| book.in_default));
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
        fleet.tell(0, event);
        assert_eq!(fleet.exhaust(0), Decision::Denied(reason));
        assert!(reason == DenialReason::NoRule || fleet.withheld(0, 1000, Duration::ZERO).0 == 500);
    }
}
