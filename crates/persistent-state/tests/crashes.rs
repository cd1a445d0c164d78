//! A disk that loses power, tears, flips, mixes up and fails: what is read back is a state that once was, and no older than
//! what was said to be kept, or nothing.

use persistent_state::{recall, Action, After, Core, Event, Fault, Hand, List, Memory};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

const NOBODY: After = After::Nobody { platform: None };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn hand(name: &str, out: u64) -> Hand {
    Hand {
        name: name.into(),
        out: Some(out),
        before: None,
    }
}

fn list(index: u64) -> List {
    List {
        index,
        bytes: index.to_le_bytes().repeat(20),
    }
}

/// The last write, of a proxy of that name.
fn saved(name: &str, events: Vec<Event>) -> Vec<u8> {
    let mut core = Core::new(name, ms(0), None);
    let mut last = Vec::new();
    for event in events {
        let mut actions = Vec::new();
        core.handle(ms(0), event, &mut actions);
        core.handle(ms(0), Event::Kept(true), &mut actions);
        for action in actions {
            if let Action::Save(bytes) = action {
                last = bytes;
            }
        }
    }
    last
}

/// What becomes of a file whose write the power ended.
#[derive(Clone, Copy, Debug)]
enum Torn {
    Former,
    Whole,
    /// The first so many bytes, in thousandths, of what was written.
    Short(usize),
    Zeroes,
}

#[test]
fn a_thousand_losses_of_power() {
    let mut lost_words = 0;
    for seed in 0..1_000 {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut disk: Option<Vec<u8>> = None;
        let mut was = vec![Memory::default()];
        // The place in `was` of what the disk was last said to have.
        let mut sure = 0;
        for _life in 0..4 {
            let (recalled, found) = match recall("n0", disk.as_deref(), NOBODY) {
                Ok(found) => found,
                Err(fault) => {
                    assert_eq!(fault, Fault::Torn, "seed {seed}");
                    lost_words += 1;
                    sure = 0;
                    Default::default()
                }
            };
            let now = found.clone().unwrap_or_default();
            let place = was
                .iter()
                .rposition(|w| *w == now)
                .unwrap_or_else(|| panic!("seed {seed}: {now:?} never was"));
            assert!(place >= sure, "seed {seed}: older than what was kept");
            assert_eq!(
                (recalled.start, &recalled.list, &recalled.hands),
                (now.start, &now.list, &now.hands)
            );
            let mut core = Core::new("n0", ms(500), found);
            was.push(now.clone());
            let mut memory = now;
            let mut writing: Option<(Vec<u8>, usize)> = None;
            let mut at = ms(0);
            for _step in 0..rng.random_range(1..40) {
                at += ms(rng.random_range(0..400));
                let event = match rng.random_range(0..5) {
                    0 => {
                        memory.start += rng.random_range(1..9);
                        Event::Start(memory.start)
                    }
                    1 => {
                        memory.hands = (0..rng.random_range(0..4))
                            .map(|n| hand(&format!("s{n}"), n))
                            .collect();
                        Event::Hands(memory.hands.clone())
                    }
                    2 => {
                        memory.list = Some(list(rng.random()));
                        Event::List(memory.list.clone().unwrap())
                    }
                    3 if writing.is_some() => {
                        let (bytes, place) = writing.take().unwrap();
                        let fails = rng.random_bool(0.3);
                        if !fails {
                            (disk, sure) = (Some(bytes), place);
                        } else if rng.random_bool(0.5) {
                            // The name was in place; only its directory could not be synced.
                            disk = Some(bytes);
                        }
                        Event::Kept(!fails)
                    }
                    _ => Event::Tick,
                };
                was.push(memory.clone());
                let mut actions = Vec::new();
                core.handle(at, event, &mut actions);
                for action in actions {
                    let Action::Save(bytes) = action else {
                        panic!("{action:?}")
                    };
                    assert!(writing.is_none(), "seed {seed}: two writes at once");
                    writing = Some((bytes, was.len() - 1));
                }
            }
            if rng.random_bool(0.3) {
                // Left alone on a sound disk, all comes to it.
                for _ in 0..4 {
                    at += ms(60_000);
                    let mut actions = Vec::new();
                    let ended = writing.take();
                    core.handle(
                        at,
                        ended.as_ref().map_or(Event::Tick, |_| Event::Kept(true)),
                        &mut actions,
                    );
                    disk = ended.map(|(bytes, _)| bytes).or(disk);
                    writing = actions.into_iter().find_map(|a| match a {
                        Action::Save(bytes) => Some((bytes, was.len() - 1)),
                        Action::TooLong(_) => None,
                    });
                }
                assert!(core.is_kept() && writing.is_none(), "seed {seed}");
                let (_, found) = recall("n0", disk.as_deref(), NOBODY).unwrap();
                assert_eq!(found.unwrap_or_default(), memory, "seed {seed}");
                sure = was.len() - 1;
            }
            let promised = core.has_words().then_some((memory.start, memory.hands));
            let mut whole = true;
            if let Some((bytes, _)) = writing {
                let torn = match rng.random_range(0..10) {
                    0 => Torn::Short(rng.random_range(0..1_000)),
                    1 => Torn::Zeroes,
                    2..5 => Torn::Whole,
                    _ => Torn::Former,
                };
                disk = match torn {
                    Torn::Former => disk,
                    Torn::Whole => Some(bytes),
                    Torn::Short(part) => {
                        (sure, whole) = (0, false);
                        // A file system without order may even do that, though what is put in place was synced.
                        Some(bytes[..bytes.len() * part / 1_000].to_vec()).filter(|b| b.len() > 4)
                    }
                    Torn::Zeroes => {
                        (sure, whole) = (0, false);
                        Some([&bytes[..5], &vec![0; bytes.len() - 5][..]].concat())
                    }
                };
            }
            if let Some(promised) = promised.filter(|_| whole) {
                // A file that was torn in a former life, and not written since, holds nothing.
                let found = recall("n0", disk.as_deref(), NOBODY).unwrap_or_default().0;
                assert_eq!(
                    (found.start, found.hands),
                    promised,
                    "seed {seed}: a yes is forgotten"
                );
            }
        }
    }
    assert!(
        (50..2_000).contains(&lost_words),
        "{lost_words} files were torn"
    );
}

#[test]
fn operators_words_go_at_once_and_lists_at_a_pace() {
    let mut core = Core::new("n0", ms(5_000), None);
    let mut at = |now: u64, event: Event| {
        let mut actions = Vec::new();
        core.handle(ms(now), event, &mut actions);
        (actions.len(), core.is_kept())
    };
    assert_eq!(at(0, Event::List(list(1))), (1, false));
    assert_eq!(at(1, Event::Kept(true)), (0, true));
    assert_eq!(at(10, Event::List(list(2))), (0, false), "not yet");
    assert_eq!(
        at(20, Event::Hands(vec![hand("a", 1)])),
        (1, false),
        "with the list that waits"
    );
    assert_eq!(
        at(21, Event::Hands(vec![hand("a", 1), hand("b", 2)])),
        (0, false),
        "one at a time"
    );
    assert_eq!(at(22, Event::Kept(true)), (1, false));
    assert_eq!(at(23, Event::Kept(true)), (0, true));
    assert_eq!(at(30, Event::List(list(3))), (0, false));
    assert_eq!(at(5_021, Event::Tick), (0, false));
    assert_eq!(at(5_022, Event::Tick), (1, false));
    assert_eq!(at(5_023, Event::Kept(true)), (0, true));
    // Nothing is written that is there already, nor a start that went back.
    assert_eq!(
        at(20_000, Event::Hands(vec![hand("a", 1), hand("b", 2)])),
        (0, true)
    );
    assert_eq!(at(20_000, Event::Start(7)), (1, false));
    assert_eq!(at(20_001, Event::Kept(true)), (0, true));
    assert_eq!(at(20_002, Event::Start(3)), (0, true));
}

#[test]
fn a_word_that_is_taken_back_waits_for_the_write_that_it_takes_back() {
    let mut core = Core::new("n0", ms(0), None);
    let mut at = |now: u64, event: Event| {
        let mut actions = Vec::new();
        core.handle(ms(now), event, &mut actions);
        (actions.len(), core.has_words())
    };
    assert_eq!(at(0, Event::Start(1)), (1, false));
    assert_eq!(at(1, Event::Kept(true)), (0, true));
    assert_eq!(at(2, Event::Hands(vec![hand("a", 1)])), (1, false));
    // The disk has the former word and may have the later one at any moment.
    assert_eq!(at(3, Event::Hands(Vec::new())), (0, false));
    // A write that is said to have failed may be on the disk.
    assert_eq!(at(4, Event::Kept(false)), (0, false));
    assert_eq!(at(1_004, Event::Tick), (1, false));
    assert_eq!(at(1_005, Event::Kept(true)), (0, true));
}

#[test]
fn a_disk_that_fails_is_asked_ever_more_rarely() {
    let mut core = Core::new("n0", ms(0), None);
    let (mut writes, mut failing) = (Vec::new(), Vec::new());
    for second in 0..200 {
        let mut actions = Vec::new();
        core.handle(
            ms(second * 1_000),
            Event::Hands(vec![hand("a", second)]),
            &mut actions,
        );
        if !actions.is_empty() {
            writes.push(second);
            core.handle(ms(second * 1_000), Event::Kept(false), &mut actions);
        }
        failing.push(core.is_failing());
    }
    assert_eq!(writes, [0, 1, 3, 7, 15, 31, 63, 123, 183]);
    assert!(failing.iter().all(|f| *f) && !core.is_kept());
    let mut actions = Vec::new();
    core.handle(ms(300_000), Event::Tick, &mut actions);
    core.handle(ms(300_001), Event::Kept(true), &mut actions);
    assert!(core.is_kept() && !core.is_failing() && actions.len() == 1);
}

#[test]
fn what_is_too_long_or_too_much_is_left_out_and_the_rest_is_kept() {
    let mut core = Core::new("n0", ms(0), None);
    let mut actions = Vec::new();
    let long = List {
        index: 1,
        bytes: vec![7; persistent_state::LIST_MOST + 1],
    };
    core.handle(ms(0), Event::List(long.clone()), &mut actions);
    core.handle(ms(0), Event::List(long.clone()), &mut actions);
    assert_eq!(actions, [Action::TooLong(persistent_state::LIST_MOST + 1)]);
    let hands: Vec<Hand> = (0..persistent_state::HANDS_MOST as u64 + 5)
        .map(|n| hand(&format!("s{n}"), n))
        .collect();
    core.handle(ms(0), Event::Hands(hands), &mut actions);
    let Some(Action::Save(bytes)) = actions.pop() else {
        panic!("nothing is saved")
    };
    assert!((bytes.len() as u64) < persistent_state::FILE_MOST);
    let (recalled, _) = recall("n0", Some(&bytes), NOBODY).unwrap();
    assert_eq!(
        (recalled.hands.len(), recalled.list),
        (persistent_state::HANDS_MOST, None)
    );
    assert!(
        recalled.hands.iter().all(|hand| hand.out >= Some(5)),
        "the oldest words go"
    );
}

#[test]
fn the_table_of_trust() {
    let events = vec![
        Event::Start(9),
        Event::Hands(vec![hand("a", 1)]),
        Event::List(list(40)),
    ];
    let bytes = saved("n0", events);
    let with = |after| recall("n0", Some(&bytes), after).unwrap().0;
    let all = with(NOBODY);
    assert_eq!(
        (
            all.start,
            all.hands.len(),
            all.list.as_ref().map(|l| l.index)
        ),
        (9, 1, Some(40))
    );
    for (platform, used) in [(39, true), (40, false), (41, false)] {
        let recalled = with(After::Nobody {
            platform: Some(platform),
        });
        assert_eq!(
            (recalled.list.is_some(), recalled.hands.len()),
            (used, 1),
            "known {platform}"
        );
    }
    let heir = with(After::Elder);
    assert_eq!((heir.start, heir.hands.len(), heir.list), (9, 0, None));
    assert_eq!(
        recall("n1", Some(&bytes), NOBODY),
        Err(Fault::Foreign("n0".into()))
    );
    assert_eq!(recall("n0", Some(b"LVPX"), NOBODY), Err(Fault::NotOurs));
    let mut later = bytes.clone();
    later[4] = 2;
    assert_eq!(recall("n0", Some(&later), NOBODY), Err(Fault::Form(2)));
    assert_eq!(recall("n0", None, NOBODY).unwrap().0, Default::default());
}

/// As version 1 wrote it.
#[test]
fn a_file_of_version_1_is_read_for_good() {
    let hex = include_str!("version-1.hex").trim();
    let kept: Vec<u8> = (0..hex.len() / 2)
        .map(|at| u8::from_str_radix(&hex[2 * at..2 * at + 2], 16).unwrap())
        .collect();
    let events = vec![
        Event::Start(1_764_000_000_000),
        Event::Hands(vec![
            hand("rs-1", 17),
            Hand {
                name: "rs-2".into(),
                out: None,
                before: Some((3, 300)),
            },
        ]),
        Event::List(List {
            index: 300,
            bytes: b"{}".to_vec(),
        }),
    ];
    let bytes = saved("n0", events);
    assert_eq!(
        bytes,
        kept,
        "{}",
        bytes.iter().map(|b| format!("{b:02x}")).collect::<String>()
    );
    assert_eq!(
        recall("n0", Some(&kept), NOBODY).unwrap().0.start,
        1_764_000_000_000
    );
}

proptest! {
    /// No byte can be changed, cut off or put behind unseen.
    #[test]
    fn no_change_goes_unseen(at in any::<prop::sample::Index>(), bit in 0..8u8, cut in any::<prop::sample::Index>(), more in any::<u8>()) {
        let bytes = saved("n0", vec![Event::Start(9), Event::Hands(vec![hand("a", 1)]), Event::List(list(40))]);
        let mut flipped = bytes.clone();
        flipped[at.index(bytes.len())] ^= 1 << bit;
        prop_assert!(recall("n0", Some(&flipped), NOBODY).is_err());
        prop_assert!(recall("n0", Some(&bytes[..cut.index(bytes.len())]), NOBODY).is_err());
        let longer = [&bytes[..], &[more]].concat();
        prop_assert!(recall("n0", Some(&longer), NOBODY).is_err());
    }

    #[test]
    fn anything_is_read_without_harm(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let ours = [b"LVMM\x01", &bytes[..]].concat();
        prop_assert!(recall("n0", Some(&bytes), NOBODY).is_err());
        prop_assert!(recall("n0", Some(&ours), NOBODY).is_err());
    }
}
