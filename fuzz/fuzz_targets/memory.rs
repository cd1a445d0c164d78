//! Any bytes as the file that a proxy kept: no panic, and what is read is within the bounds and written as it was read.
#![no_main]

use persistent_state::{recall, Action, After, Core, Event, HANDS_MOST, LIST_MOST};
use std::time::Duration;

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    let Ok((recalled, Some(found))) = recall("n0", Some(bytes), After::Nobody { platform: None })
    else {
        return;
    };
    assert_eq!(recalled.start, found.start);
    let mut core = Core::new("n0", Duration::ZERO, Some(found));
    let mut actions = Vec::new();
    core.handle(Duration::ZERO, Event::Hands(recalled.hands), &mut actions);
    core.handle(Duration::ZERO, Event::Start(u64::MAX), &mut actions);
    for action in actions {
        if let Action::Save(bytes) = action {
            let (again, _) =
                recall("n0", Some(&bytes), After::Elder).expect("what is written is read");
            assert_eq!(again.start, u64::MAX);
            assert!(bytes.len() < LIST_MOST * 2 + HANDS_MOST * 400);
        }
    }
});
