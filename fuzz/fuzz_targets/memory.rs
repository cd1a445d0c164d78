//! Arbitrary bytes as a saved file: no panic, and what is recovered is within the bounds and saved as it was read.
#![no_main]

use persistent_state::{recover, Action, Event, SnapshotScheduler, StartMode, MAX_EXCLUSIONS, MAX_LIST_BYTES};
use std::time::Duration;

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    let cold_start = StartMode::ColdStart {
        platform_list_index: None,
    };
    let Ok((recovered, Some(snapshot))) = recover("n0", Some(bytes), cold_start) else {
        return;
    };
    assert_eq!(recovered.incarnation, snapshot.incarnation);
    let mut scheduler = SnapshotScheduler::new("n0", Duration::ZERO, Some(snapshot));
    let mut actions = Vec::new();
    for event in [
        Event::Exclusions(recovered.exclusions),
        Event::Incarnation(u64::MAX),
    ] {
        scheduler.handle(Duration::ZERO, event, &mut actions);
    }
    for action in actions {
        if let Action::Save(bytes) = action {
            let (again, _) =
                recover("n0", Some(&bytes), StartMode::HotRestart).expect("a saved file is read");
            assert_eq!(again.incarnation, u64::MAX);
            assert!(bytes.len() < MAX_LIST_BYTES * 2 + MAX_EXCLUSIONS * 400);
        }
    }
});
