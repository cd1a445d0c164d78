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
