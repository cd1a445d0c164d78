//! Power losses, torn writes, flipped bits, foreign files and failing disks: what is recovered is a state that once was
//! current and no older than what was confirmed as saved, or nothing.

use persistent_state::{
    recover, Action, Event, ManualExclusion, SavedList, Snapshot, SnapshotError, SnapshotScheduler,
    StartMode,
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

const COLD_START: StartMode = StartMode::ColdStart {
    platform_list_index: None,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn exclusion(name: &str, out: u64) -> ManualExclusion {
    ManualExclusion {
        name: name.into(),
        excluded_since: Some(out),
        previous: None,
    }
}

fn list(index: u64) -> SavedList {
    SavedList {
        index,
        bytes: index.to_le_bytes().repeat(20),
    }
}

/// The last file that the proxy of that name saves.
fn last_file(name: &str, events: Vec<Event>) -> Vec<u8> {
    let mut scheduler = SnapshotScheduler::new(name, ms(0), None);
    let mut last = Vec::new();
    for event in events {
        let mut actions = Vec::new();
        scheduler.handle(ms(0), event, &mut actions);
        scheduler.handle(ms(0), Event::SaveFinished(true), &mut actions);
        for action in actions {
            if let Action::Save(bytes) = action {
                last = bytes;
            }
        }
    }
    last
}

/// The file after a power loss during its save.
#[derive(Clone, Copy, Debug)]
enum AfterLoss {
    Old,
    New,
    /// The beginning of the new one, in thousandths of its length.
    Truncated(usize),
    Zeroed,
}

#[test]
fn a_thousand_power_losses() {
    let mut torn_files = 0;
    for seed in 0..1_000 {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut disk: Option<Vec<u8>> = None;
        let mut history = vec![Snapshot::default()];
        // The index in `history` of the last state that was confirmed as saved.
        let mut confirmed = 0;
        for _incarnation in 0..4 {
            let (recalled, found) = match recover("n0", disk.as_deref(), COLD_START) {
                Ok(found) => found,
                Err(fault) => {
                    assert_eq!(fault, SnapshotError::Corrupt, "seed {seed}");
                    torn_files += 1;
                    confirmed = 0;
                    Default::default()
                }
            };
            let now = found.clone().unwrap_or_default();
            let index = history
                .iter()
                .rposition(|w| *w == now)
                .unwrap_or_else(|| panic!("seed {seed}: {now:?} never was"));
            assert!(
                index >= confirmed,
                "seed {seed}: older than what was confirmed"
            );
            assert_eq!(
                (recalled.incarnation, &recalled.list, &recalled.exclusions),
                (now.incarnation, &now.list, &now.exclusions)
            );
            let mut scheduler = SnapshotScheduler::new("n0", ms(500), found);
            history.push(now.clone());
            let mut current = now;
            let mut in_flight: Option<(Vec<u8>, usize)> = None;
            let mut at = ms(0);
            for _step in 0..rng.random_range(1..40) {
                at += ms(rng.random_range(0..400));
                let event = match rng.random_range(0..5) {
                    0 => {
                        current.incarnation += rng.random_range(1..9);
                        Event::Incarnation(current.incarnation)
                    }
                    1 => {
                        current.exclusions = (0..rng.random_range(0..4))
                            .map(|n| exclusion(&format!("s{n}"), n))
                            .collect();
                        Event::Exclusions(current.exclusions.clone())
                    }
                    2 => {
                        current.list = Some(list(rng.random()));
                        Event::EndpointList(current.list.clone().unwrap())
                    }
                    3 if in_flight.is_some() => {
                        let (bytes, index) = in_flight.take().unwrap();
                        let fails = rng.random_bool(0.3);
                        if !fails {
                            (disk, confirmed) = (Some(bytes), index);
                        } else if rng.random_bool(0.5) {
                            // The file was renamed; only its directory could not be synced.
                            disk = Some(bytes);
                        }
                        Event::SaveFinished(!fails)
                    }
                    _ => Event::Tick,
                };
                history.push(current.clone());
                let mut actions = Vec::new();
                scheduler.handle(at, event, &mut actions);
                for action in actions {
                    let Action::Save(bytes) = action else {
                        panic!("{action:?}")
                    };
                    assert!(in_flight.is_none(), "seed {seed}: two saves at once");
                    in_flight = Some((bytes, history.len() - 1));
                }
            }
            if rng.random_bool(0.3) {
                // On a working disk without further events everything is saved in the end.
                for _ in 0..4 {
                    at += ms(60_000);
                    let mut actions = Vec::new();
                    let ended = in_flight.take();
                    scheduler.handle(
                        at,
                        ended
                            .as_ref()
                            .map_or(Event::Tick, |_| Event::SaveFinished(true)),
                        &mut actions,
                    );
                    disk = ended.map(|(bytes, _)| bytes).or(disk);
                    in_flight = actions.into_iter().find_map(|a| match a {
                        Action::Save(bytes) => Some((bytes, history.len() - 1)),
                        Action::ListTooLong(_) => None,
                    });
                }
                assert!(scheduler.is_saved() && in_flight.is_none(), "seed {seed}");
                let (_, found) = recover("n0", disk.as_deref(), COLD_START).unwrap();
                assert_eq!(found.unwrap_or_default(), current, "seed {seed}");
                confirmed = history.len() - 1;
            }
            let promised = scheduler
                .has_saved_exclusions()
                .then_some((current.incarnation, current.exclusions));
            let mut intact = true;
            if let Some((bytes, _)) = in_flight {
                let torn = match rng.random_range(0..10) {
                    0 => AfterLoss::Truncated(rng.random_range(0..1_000)),
                    1 => AfterLoss::Zeroed,
                    2..5 => AfterLoss::New,
                    _ => AfterLoss::Old,
                };
                disk = match torn {
                    AfterLoss::Old => disk,
                    AfterLoss::New => Some(bytes),
                    AfterLoss::Truncated(part) => {
                        (confirmed, intact) = (0, false);
                        // A file system without ordering may do even this, though the file was synced before the rename.
                        Some(bytes[..bytes.len() * part / 1_000].to_vec()).filter(|b| b.len() > 4)
                    }
                    AfterLoss::Zeroed => {
                        (confirmed, intact) = (0, false);
                        Some([&bytes[..5], &vec![0; bytes.len() - 5][..]].concat())
                    }
                };
            }
            if let Some(promised) = promised.filter(|_| intact) {
                // A file that was torn earlier and not saved since holds nothing.
                let found = recover("n0", disk.as_deref(), COLD_START)
                    .unwrap_or_default()
                    .0;
                assert_eq!(
                    (found.incarnation, found.exclusions),
                    promised,
                    "seed {seed}: a confirmed command is lost"
                );
            }
        }
    }
    assert!(
        (50..2_000).contains(&torn_files),
        "{torn_files} files were torn"
    );
}

#[test]
fn exclusions_are_saved_at_once_and_lists_at_a_limited_rate() {
    let mut scheduler = SnapshotScheduler::new("n0", ms(5_000), None);
    let mut at = |now: u64, event: Event| {
        let mut actions = Vec::new();
        scheduler.handle(ms(now), event, &mut actions);
        (actions.len(), scheduler.is_saved())
    };
    assert_eq!(at(0, Event::EndpointList(list(1))), (1, false));
    assert_eq!(at(1, Event::SaveFinished(true)), (0, true));
    assert_eq!(at(10, Event::EndpointList(list(2))), (0, false), "not yet");
    assert_eq!(
        at(20, Event::Exclusions(vec![exclusion("a", 1)])),
        (1, false),
        "with the delayed list"
    );
    assert_eq!(
        at(
            21,
            Event::Exclusions(vec![exclusion("a", 1), exclusion("b", 2)])
        ),
        (0, false),
        "one at a time"
    );
    assert_eq!(at(22, Event::SaveFinished(true)), (1, false));
    assert_eq!(at(23, Event::SaveFinished(true)), (0, true));
    assert_eq!(at(30, Event::EndpointList(list(3))), (0, false));
    assert_eq!(at(5_021, Event::Tick), (0, false));
    assert_eq!(at(5_022, Event::Tick), (1, false));
    assert_eq!(at(5_023, Event::SaveFinished(true)), (0, true));
    // Nothing is saved again that is saved already, nor a lower incarnation.
    assert_eq!(
        at(
            20_000,
            Event::Exclusions(vec![exclusion("a", 1), exclusion("b", 2)])
        ),
        (0, true)
    );
    assert_eq!(at(20_000, Event::Incarnation(7)), (1, false));
    assert_eq!(at(20_001, Event::SaveFinished(true)), (0, true));
    assert_eq!(at(20_002, Event::Incarnation(3)), (0, true));
}

#[test]
fn an_exclusion_undone_during_its_save_is_confirmed_only_after_that_save() {
    let mut scheduler = SnapshotScheduler::new("n0", ms(0), None);
    let mut at = |now: u64, event: Event| {
        let mut actions = Vec::new();
        scheduler.handle(ms(now), event, &mut actions);
        (actions.len(), scheduler.has_saved_exclusions())
    };
    assert_eq!(at(0, Event::Incarnation(1)), (1, false));
    assert_eq!(at(1, Event::SaveFinished(true)), (0, true));
    assert_eq!(
        at(2, Event::Exclusions(vec![exclusion("a", 1)])),
        (1, false)
    );
    // The disk has the state before, and may have the one in flight at any moment.
    assert_eq!(at(3, Event::Exclusions(Vec::new())), (0, false));
    // A save that is reported as failed may have reached the disk.
    assert_eq!(at(4, Event::SaveFinished(false)), (0, false));
    assert_eq!(at(1_004, Event::Tick), (1, false));
    assert_eq!(at(1_005, Event::SaveFinished(true)), (0, true));
}

#[test]
fn failing_saves_back_off() {
    let mut scheduler = SnapshotScheduler::new("n0", ms(0), None);
    let (mut writes, mut failing) = (Vec::new(), Vec::new());
    for second in 0..200 {
        let mut actions = Vec::new();
        scheduler.handle(
            ms(second * 1_000),
            Event::Exclusions(vec![exclusion("a", second)]),
            &mut actions,
        );
        if !actions.is_empty() {
            writes.push(second);
            scheduler.handle(ms(second * 1_000), Event::SaveFinished(false), &mut actions);
        }
        failing.push(scheduler.is_failing());
    }
    assert_eq!(writes, [0, 1, 3, 7, 15, 31, 63, 123, 183]);
    assert!(failing.iter().all(|f| *f) && !scheduler.is_saved());
    let mut actions = Vec::new();
    scheduler.handle(ms(300_000), Event::Tick, &mut actions);
    scheduler.handle(ms(300_001), Event::SaveFinished(true), &mut actions);
    assert!(scheduler.is_saved() && !scheduler.is_failing() && actions.len() == 1);
}

#[test]
fn too_long_lists_and_too_many_exclusions_are_left_out() {
    let mut scheduler = SnapshotScheduler::new("n0", ms(0), None);
    let mut actions = Vec::new();
    let long = SavedList {
        index: 1,
        bytes: vec![7; persistent_state::MAX_LIST_BYTES + 1],
    };
    scheduler.handle(ms(0), Event::EndpointList(long.clone()), &mut actions);
    scheduler.handle(ms(0), Event::EndpointList(long.clone()), &mut actions);
    assert_eq!(
        actions,
        [Action::ListTooLong(persistent_state::MAX_LIST_BYTES + 1)]
    );
    let hands: Vec<ManualExclusion> = (0..persistent_state::MAX_EXCLUSIONS as u64 + 5)
        .map(|n| exclusion(&format!("s{n}"), n))
        .collect();
    scheduler.handle(ms(0), Event::Exclusions(hands), &mut actions);
    let Some(Action::Save(bytes)) = actions.pop() else {
        panic!("nothing is saved")
    };
    assert!((bytes.len() as u64) < persistent_state::MAX_FILE_BYTES);
    let (recalled, _) = recover("n0", Some(&bytes), COLD_START).unwrap();
    assert_eq!(
        (recalled.exclusions.len(), recalled.list),
        (persistent_state::MAX_EXCLUSIONS, None)
    );
    assert!(
        recalled
            .exclusions
            .iter()
            .all(|hand| hand.excluded_since >= Some(5)),
        "the oldest exclusions are dropped"
    );
}

#[test]
fn the_table_of_trust() {
    let events = vec![
        Event::Incarnation(9),
        Event::Exclusions(vec![exclusion("a", 1)]),
        Event::EndpointList(list(40)),
    ];
    let bytes = last_file("n0", events);
    let with = |after| recover("n0", Some(&bytes), after).unwrap().0;
    let all = with(COLD_START);
    assert_eq!(
        (
            all.incarnation,
            all.exclusions.len(),
            all.list.as_ref().map(|l| l.index)
        ),
        (9, 1, Some(40))
    );
    for (platform, used) in [(39, true), (40, false), (41, false)] {
        let recalled = with(StartMode::ColdStart {
            platform_list_index: Some(platform),
        });
        assert_eq!(
            (recalled.list.is_some(), recalled.exclusions.len()),
            (used, 1),
            "known {platform}"
        );
    }
    let hot_restart = with(StartMode::HotRestart);
    assert_eq!(
        (
            hot_restart.incarnation,
            hot_restart.exclusions.len(),
            hot_restart.list
        ),
        (9, 0, None)
    );
    assert_eq!(
        recover("n1", Some(&bytes), COLD_START),
        Err(SnapshotError::WrongProxy("n0".into()))
    );
    assert_eq!(
        recover("n0", Some(b"LVPX"), COLD_START),
        Err(SnapshotError::WrongMagic)
    );
    let mut later = bytes.clone();
    later[4] = 2;
    assert_eq!(
        recover("n0", Some(&later), COLD_START),
        Err(SnapshotError::UnsupportedVersion(2))
    );
    assert_eq!(
        recover("n0", None, COLD_START).unwrap().0,
        Default::default()
    );
}

/// Files of version 1 stay readable, and are written byte for byte as recorded.
#[test]
fn files_of_version_1_stay_readable() {
    let hex = include_str!("version-1.hex").trim();
    let kept: Vec<u8> = (0..hex.len() / 2)
        .map(|at| u8::from_str_radix(&hex[2 * at..2 * at + 2], 16).unwrap())
        .collect();
    let events = vec![
        Event::Incarnation(1_764_000_000_000),
        Event::Exclusions(vec![
            exclusion("rs-1", 17),
            ManualExclusion {
                name: "rs-2".into(),
                excluded_since: None,
                previous: Some((3, 300)),
            },
        ]),
        Event::EndpointList(SavedList {
            index: 300,
            bytes: b"{}".to_vec(),
        }),
    ];
    let bytes = last_file("n0", events);
    assert_eq!(
        bytes,
        kept,
        "{}",
        bytes.iter().map(|b| format!("{b:02x}")).collect::<String>()
    );
    assert_eq!(
        recover("n0", Some(&kept), COLD_START)
            .unwrap()
            .0
            .incarnation,
        1_764_000_000_000
    );
}

proptest! {
    /// Every changed, missing or additional byte is detected.
    #[test]
    fn every_change_of_a_file_is_detected(at in any::<prop::sample::Index>(), bit in 0..8u8, cut in any::<prop::sample::Index>(), more in any::<u8>()) {
        let bytes = last_file("n0", vec![Event::Incarnation(9), Event::Exclusions(vec![exclusion("a", 1)]), Event::EndpointList(list(40))]);
        let mut flipped = bytes.clone();
        flipped[at.index(bytes.len())] ^= 1 << bit;
        prop_assert!(recover("n0", Some(&flipped), COLD_START).is_err());
        prop_assert!(recover("n0", Some(&bytes[..cut.index(bytes.len())]), COLD_START).is_err());
        let longer = [&bytes[..], &[more]].concat();
        prop_assert!(recover("n0", Some(&longer), COLD_START).is_err());
    }

    #[test]
    fn arbitrary_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let ours = [b"LVMM\x01", &bytes[..]].concat();
        prop_assert!(recover("n0", Some(&bytes), COLD_START).is_err());
        prop_assert!(recover("n0", Some(&ours), COLD_START).is_err());
    }
}
