//! The table of `docs/design/discovery-schedule.md`: for any behaviour of a connection, the next call is not later than
//! the table allows.

use discovery_schedule::{
    Action, Event, PollSchedule, Time, DIAL_TIMEOUT, MAX_POLL_AGE, MAX_RETRY_DELAY, OBJECT_TIMEOUT,
    SILENCE_TIMEOUT, WATCH_RECONNECT_DELAY,
};
use proptest::prelude::*;
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A random behaviour of a call: each step is a pause in milliseconds and the event after it.
fn call_behaviour() -> impl Strategy<Value = (bool, u64, Vec<(u64, Event)>)> {
    let event = prop_oneof![
        3 => Just(Event::BytesReceived),
        3 => Just(Event::ObjectReceived),
        1 => Just(Event::CallEnded),
        2 => Just(Event::Connected),
        1 => Just(Event::AddressChanged),
        1 => Just(Event::PollRequested),
    ];
    (
        any::<bool>(),
        500_u64..6_000,
        prop::collection::vec((0_u64..4_000, event), 1..60),
    )
}

/// Independent implementation of the table: the latest time of the next call, computed from the events of the open
/// call.
#[derive(Default)]
struct ObservedCall {
    started: Time,
    connected: bool,
    last_byte: Option<Time>,
    last_object: Option<Time>,
}

impl ObservedCall {
    fn last_progress(&self) -> Time {
        self.last_object.unwrap_or(self.started)
    }

    fn latest_next_call(&self, silence: Duration) -> Time {
        if !self.connected {
            return self.started + DIAL_TIMEOUT;
        }
        match (self.last_object, self.last_byte) {
            (None, None) => self.started + SILENCE_TIMEOUT,
            (None, Some(byte)) => (byte + silence).min(self.started + OBJECT_TIMEOUT),
            (Some(last), byte) if byte.is_none_or(|byte| byte <= last) => last + silence,
            (Some(last), byte) => (byte.unwrap_or_default() + silence).min(last + OBJECT_TIMEOUT),
        }
    }
}

proptest! {
    #[test]
    fn the_next_call_is_never_later_than_the_table((push_mode, silence, steps) in call_behaviour()) {
        let mut schedule = PollSchedule::new(ms(silence), push_mode);
        let silence = ms(silence).min(SILENCE_TIMEOUT);
        let (mut now, mut actions) = (Time::ZERO, Vec::new());
        schedule.handle(now, Event::PollRequested, &mut actions);
        prop_assert_eq!(&actions, &[Action::StartCall]);
        let mut observed = Some(ObservedCall::default());
        let mut after_end = Time::ZERO;
        for (pause, event) in steps {
            let until = now + ms(pause);
            // Every deadline before the next event is handled at its time, as by a host with timers.
            while let Some(due) = schedule.next_deadline().filter(|due| *due <= until) {
                match &observed {
                    Some(observed) => prop_assert!(due <= observed.latest_next_call(silence), "{due:?}"),
                    None => prop_assert!(due <= after_end, "{due:?} after {after_end:?}"),
                }
                actions.clear();
                schedule.handle(due, Event::Tick, &mut actions);
                prop_assert_eq!(actions.last(), Some(&Action::StartCall), "every deadline must start a call");
                observed = Some(ObservedCall { started: due, ..ObservedCall::default() });
            }
            now = until;
            actions.clear();
            // Nothing arrives on a connection that is not established.
            if matches!(event, Event::BytesReceived | Event::ObjectReceived) && !observed.as_ref().is_some_and(|observed| observed.connected) {
                continue;
            }
            schedule.handle(now, event, &mut actions);
            match event {
                Event::Connected => observed.iter_mut().for_each(|observed| observed.connected = true),
                Event::BytesReceived => observed.iter_mut().for_each(|observed| observed.last_byte = Some(now)),
                Event::ObjectReceived => observed.iter_mut().for_each(|observed| observed.last_object = Some(now)),
                Event::CallEnded => {
                    prop_assert_eq!(actions.contains(&Action::ReportFailure), observed.is_some() && !push_mode);
                    if let Some(call) = observed.take() {
                        let latest_poll = (now + MAX_RETRY_DELAY).min(now.max(call.last_progress() + MAX_POLL_AGE));
                        after_end = if push_mode { now + WATCH_RECONNECT_DELAY } else { latest_poll };
                    }
                }
                // An open call is not replaced.
                Event::PollRequested if observed.is_some() => prop_assert!(actions.is_empty()),
                _ => {
                    prop_assert_eq!(&actions, &[Action::StartCall]);
                    observed = Some(ObservedCall { started: now, ..ObservedCall::default() });
                }
            }
            // There is always a next deadline.
            prop_assert!(schedule.next_deadline().is_some());
        }
    }
}

/// A watch falls silent, and then every dial hangs. Three dials fit in before the missed changes count as notified.
#[test]
fn hung_dials_leave_time_for_two_more() {
    let (mut schedule, mut actions) = (PollSchedule::new(SILENCE_TIMEOUT, false), Vec::new());
    for event in [
        Event::PollRequested,
        Event::Connected,
        Event::ObjectReceived,
    ] {
        schedule.handle(Time::ZERO, event, &mut actions);
    }
    actions.clear();
    while let Some(due) = schedule.next_deadline().filter(|due| *due < ms(6_000)) {
        schedule.handle(due, Event::Tick, &mut actions);
    }
    let calls = actions
        .iter()
        .filter(|action| **action == Action::StartCall)
        .count();
    assert_eq!(calls, 3, "calls are expected at 3, 4 and 5 s");
    assert!(
        !actions.contains(&Action::ReportFailure),
        "silence is not a failed response"
    );
}

#[test]
fn a_change_of_address_before_the_first_call_starts_none() {
    let (mut schedule, mut actions) = (PollSchedule::new(SILENCE_TIMEOUT, false), Vec::new());
    schedule.handle(Time::ZERO, Event::AddressChanged, &mut actions);
    schedule.handle(Time::ZERO, Event::CallEnded, &mut actions);
    assert_eq!(
        (actions.as_slice(), schedule.next_deadline()),
        (&[][..], None)
    );
}
