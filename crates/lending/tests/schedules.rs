//! Seeded schedules of trouble. `cargo test --release -p lending --test schedules -- --ignored --nocapture` plays 10,000.

mod fleet;

use std::time::Instant;

use fleet::Fleet;
use lending::Guards;

fn play(seeds: std::ops::Range<u64>, members: usize, steps: usize) {
    let began = Instant::now();
    let (count, mut lent, mut takings) = (seeds.end - seeds.start, 0, 0);
    let mut founded = 0;
    for seed in seeds {
        let fleet = Fleet::play(seed, members, steps, Guards::ALL)
            .unwrap_or_else(|wrong| panic!("seed {seed}, {members} members: {wrong}"));
        (lent, takings) = (lent + fleet.lent / 1000, takings + fleet.takings);
        founded += usize::from(fleet.founded() > 0);
    }
    println!(
        "{count} schedules of {members}: {lent} loans, {takings} lanes taken over, founded in {founded}, {:?}",
        began.elapsed()
    );
    assert!(lent > count * 20 && takings > 0, "schedules in which nothing happens prove nothing");
}

#[test]
fn the_line_holds_in_schedules_of_trouble() {
    play(0..200, 5, 400);
}

#[test]
#[ignore = "minutes"]
fn ten_thousand_schedules_of_five() {
    play(0..10_000, 5, 400);
}

/// Each guard taken away is noticed: else the schedules, or the checker, would be too mild.
#[test]
fn each_guard_taken_away_is_noticed() {
    let all = Guards::ALL;
    let without = [
        ("part", Guards { part: false, ..all }),
        ("lease", Guards { lease: false, ..all }),
        ("witness", Guards { witness: false, ..all }),
        ("hold", Guards { hold: false, ..all }),
        ("once", Guards { once: false, ..all }),
        ("frozen", Guards { frozen: false, ..all }),
        ("reserve", Guards { reserve: false, ..all }),
        ("memory", Guards { memory: false, ..all }),
    ];
    for (name, guards) in without {
        let noticed = (0..400).find_map(|seed| {
            let played = match name {
                "witness" => Fleet::gift_in_the_dark(seed, guards),
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
fn lanes_of_the_dead_and_of_the_cut_off_are_taken_once() {
    let mut takings = 0;
    for seed in 0..20 {
        for play in [Fleet::gift_in_the_dark, Fleet::cut_off, Fleet::kill_and_return] {
            takings += play(seed, Guards::ALL).unwrap_or_else(|wrong| panic!("seed {seed}: {wrong}")).takings;
        }
    }
    assert!(takings >= 30, "{takings} lanes were taken over in 60 schedules");
}
