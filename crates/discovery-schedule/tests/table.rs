//! The table of `docs/design/discovery-schedule.md`: however a connection behaves, the next call is never later.

use discovery_schedule::{Action, Clock, Event, Time, AGAIN, DIAL, LATEST, OBJECT, RETRY, SILENCE};
use proptest::prelude::*;
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Ways in which a call may behave: each step is a pause and what then comes.
fn behaviour() -> impl Strategy<Value = (bool, u64, Vec<(u64, Event)>)> {
    let event = prop_oneof![
        3 => Just(Event::Bytes),
        3 => Just(Event::Whole),
        1 => Just(Event::Ended),
        2 => Just(Event::Up),
        1 => Just(Event::Moved),
        1 => Just(Event::Ask),
    ];
    (
        any::<bool>(),
        500_u64..6_000,
        prop::collection::vec((0_u64..4_000, event), 1..60),
    )
}

/// The latest time of the next call, from what was seen of this one alone; the table again, in other words.
#[derive(Default)]
struct Seen {
    dialled: Time,
    up: bool,
    last_byte: Option<Time>,
    last_whole: Option<Time>,
}

impl Seen {
    fn from(&self) -> Time {
        self.last_whole.unwrap_or(self.dialled)
    }

    fn latest(&self, silence: Duration) -> Time {
        if !self.up {
            return self.dialled + DIAL;
        }
        match (self.last_whole, self.last_byte) {
            (None, None) => self.dialled + SILENCE,
            (None, Some(byte)) => (byte + silence).min(self.dialled + OBJECT),
            (Some(whole), byte) if byte.is_none_or(|byte| byte <= whole) => whole + silence,
            (Some(whole), byte) => (byte.unwrap_or_default() + silence).min(whole + OBJECT),
        }
    }
}

proptest! {
    #[test]
    fn the_next_call_is_never_later_than_the_table((pushed, silence, steps) in behaviour()) {
        let mut clock = Clock::new(ms(silence), pushed);
        let silence = ms(silence).min(SILENCE);
        let (mut now, mut actions) = (Time::ZERO, Vec::new());
        clock.handle(now, Event::Ask, &mut actions);
        prop_assert_eq!(&actions, &[Action::Call]);
        let mut seen = Some(Seen::default());
        let mut after_end = Time::ZERO;
        for (pause, event) in steps {
            let until = now + ms(pause);
            // Time runs to the next event as a host's timers let it: each due time is heeded when it comes.
            while let Some(due) = clock.due().filter(|due| *due <= until) {
                match &seen {
                    Some(seen) => prop_assert!(due <= seen.latest(silence), "{due:?}"),
                    None => prop_assert!(due <= after_end, "{due:?} after {after_end:?}"),
                }
                actions.clear();
                clock.handle(due, Event::Tick, &mut actions);
                prop_assert_eq!(actions.last(), Some(&Action::Call), "a due time that brings no call");
                seen = Some(Seen { dialled: due, ..Seen::default() });
            }
            now = until;
            actions.clear();
            // Nothing is heard of a connection that is not up.
            if matches!(event, Event::Bytes | Event::Whole) && !seen.as_ref().is_some_and(|seen| seen.up) {
                continue;
            }
            clock.handle(now, event, &mut actions);
            match event {
                Event::Up => seen.iter_mut().for_each(|seen| seen.up = true),
                Event::Bytes => seen.iter_mut().for_each(|seen| seen.last_byte = Some(now)),
                Event::Whole => seen.iter_mut().for_each(|seen| seen.last_whole = Some(now)),
                Event::Ended => {
                    prop_assert_eq!(actions.contains(&Action::Tell), seen.is_some() && !pushed);
                    if let Some(call) = seen.take() {
                        let asked = (now + RETRY).min(now.max(call.from() + LATEST));
                        after_end = if pushed { now + AGAIN } else { asked };
                    }
                }
                // A call that is out is not cut short.
                Event::Ask if seen.is_some() => prop_assert!(actions.is_empty()),
                _ => {
                    prop_assert_eq!(&actions, &[Action::Call]);
                    seen = Some(Seen { dialled: now, ..Seen::default() });
                }
            }
            // There is always a next time.
            prop_assert!(clock.due().is_some());
        }
    }
}

/// A watch that falls silent while every dial hangs is dialled for three times before what it missed counts as told.
#[test]
fn hung_dials_leave_time_for_more() {
    let (mut clock, mut actions) = (Clock::new(SILENCE, false), Vec::new());
    for event in [Event::Ask, Event::Up, Event::Whole] {
        clock.handle(Time::ZERO, event, &mut actions);
    }
    actions.clear();
    while let Some(due) = clock.due().filter(|due| *due < ms(6_000)) {
        clock.handle(due, Event::Tick, &mut actions);
    }
    let calls = actions
        .iter()
        .filter(|action| **action == Action::Call)
        .count();
    assert_eq!(calls, 3, "at 3, 4 and 5 s");
    assert!(!actions.contains(&Action::Tell), "silence is no answer");
}

#[test]
fn a_move_before_any_wish_calls_nobody() {
    let (mut clock, mut actions) = (Clock::new(SILENCE, false), Vec::new());
    clock.handle(Time::ZERO, Event::Moved, &mut actions);
    clock.handle(Time::ZERO, Event::Ended, &mut actions);
    assert_eq!((actions.as_slice(), clock.due()), (&[][..], None));
}
