//! When a call for the list of record servers counts as broken, and when the next one is made. No clock, no I/O: events of
//! the one connection in, what to do out. The table that it keeps stands in `docs/design/discovery-schedule.md`.
//!
//! **Asked**: the first call, and each after an answer that says no, is the decision module's to order ([`Event::Ask`]).
//! Silence is no answer: what it hides counts as told soon, so the next call is made at once. A call that nobody has
//! ordered in time is made all the same ([`RETRY`], [`LATEST`]).
//! **Pushed**: a watch on the agent stands from the first moment, and is opened again whatever ends it.
//!
//! # The latest next call
//!
//! After a failed call a change counts as told [`TOLD`] after discovery had it and could be reached. So within that time
//! a call has to be made, answered and acted on, whatever the call before it did:
//!
//! | the call before | next call, at the latest | answer |
//! | --- | --- | --- |
//! | ended (refused, reset, 503) while discovery was down | [`RETRY`] after its end | `RETRY + TURN + ACTED` = `TOLD` |
//! | the same, and the dial of the next one hangs | [`DIAL`] after that one began | `RETRY + DIAL + ACTED` = 5 s |
//! | began while discovery was down, and ended later | [`LATEST`] after its beginning or last whole object | `LATEST + ACTED` = `TOLD` |
//! | never came up | [`DIAL`] after its beginning | `DIAL + TURN + ACTED` |
//! | up, and silent | [`SILENCE`] after its beginning or last bytes | `SILENCE + TURN + ACTED` |
//! | bytes, and no end of an object | [`OBJECT`] after its beginning or last whole object | `OBJECT + ACTED` |
#![forbid(unsafe_code)]

use std::time::Duration;

/// Since any origin.
pub type Time = Duration;

/// A dial that is not up by then never will be: those who listen answer in milliseconds, and the next may.
pub const DIAL: Duration = Duration::from_secs(1);
/// The longest that a watch may say nothing, and a call wait for the first byte of its answer: discovery lets calls wait
/// for two seconds and then says so.
pub const SILENCE: Duration = Duration::from_secs(3);
/// From one whole object to the next, while bytes come: what is missed counts as told a second later.
pub const OBJECT: Duration = Duration::from_secs(5);
/// Where lists are pushed, from an end to the next call: a fifth of the time in which a drain has to be heeded.
pub const AGAIN: Duration = Duration::from_millis(100);

/// After a failed, refused or given-up call, a change counts as told so long after discovery had it and could be reached.
pub const TOLD: Duration = Duration::from_secs(6);
/// Discovery works through calls in turn, and lets one wait for so long at most.
pub const TURN: Duration = Duration::from_secs(2);
/// From the turn of a call to its list taken in: the way there and back, and a loop that is busy.
pub const ACTED: Duration = Duration::from_millis(250);
/// Where the list is asked for, from the end of a failed call to the next one, at the latest: what is left of [`TOLD`] if
/// that one has to wait for its turn. If its dial hangs instead, the one after it is answered within 5 s.
pub const RETRY: Duration = TOLD.saturating_sub(TURN).saturating_sub(ACTED);
/// The same from the beginning of a call, or its last whole object, for one that fails late: while it was out discovery
/// may have been reached by others. What is left of [`TOLD`] if the next one is answered at once; one that discovery
/// turns away after [`TURN`] still has all of [`RETRY`] before the next, so that many keep out of each other's way.
pub const LATEST: Duration = TOLD.saturating_sub(ACTED);

/// The latest first call of a new process, however long it may go without asking. The watch of the process before it ended
/// with that, so what has changed since counts as told [`TOLD`] later: half of that is kept for the time in between.
pub const FIRST: Duration = Duration::from_secs(3);
/// A new process goes by the list of the one before it for so long, unless a call has failed. A drain that came just after
/// that one's end is heeded in time if the new one began within `TOLD - CACHED`, and the grace for drains beyond that.
pub const CACHED: Duration = FIRST;

/// The latest first call of a new process that has to ask within `ask_within`: its dial may hang once, and the next one may
/// wait for its turn. Where that leaves next to nothing, a quarter: many that start together must not call together.
pub fn first_call(ask_within: Duration) -> Duration {
    ask_within
        .saturating_sub(DIAL + TURN + ACTED)
        .max(ask_within / 4)
        .min(FIRST)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The list is wanted: a call, unless one is out.
    Ask,
    /// The connection of the call is up.
    Up,
    /// Bytes of an answer.
    Bytes,
    /// A whole object, or the word that nothing has changed.
    Whole,
    /// The call was refused, has ended or makes no sense.
    Ended,
    /// Discovery is at another address.
    Moved,
    /// The time that was due has come.
    Tick,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A call, in place of the one that there was.
    Call,
    /// The call that there was is broken: by silence, if so it says.
    Lost { silent: bool },
    /// Whoever orders calls hears that this one has failed.
    Tell,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    since: Time,
    up: bool,
    /// Since the last whole object, or none yet.
    bytes: Option<Time>,
    whole: Option<Time>,
}

impl Call {
    /// Its last whole object, or its beginning.
    fn from(&self) -> Time {
        self.whole.unwrap_or(self.since)
    }
}

#[derive(Debug)]
pub struct Clock {
    silence: Duration,
    pushed: bool,
    wanted: bool,
    call: Option<Call>,
    /// When the next call is made, with none out, if nobody asks before.
    again: Option<Time>,
}

impl Clock {
    /// `silence`: the longest that a watch may say nothing.
    pub fn new(silence: Duration, pushed: bool) -> Clock {
        Clock {
            silence: silence.min(SILENCE),
            pushed,
            wanted: false,
            call: None,
            again: None,
        }
    }

    /// From now on lists are pushed, or have to be asked for.
    pub fn set_pushed(&mut self, pushed: bool) {
        self.pushed = pushed;
    }

    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Ask if self.call.is_some() => {}
            Event::Ask => self.call(now, actions),
            Event::Moved if self.wanted => self.call(now, actions),
            Event::Moved => {}
            Event::Up => {
                if let Some(call) = &mut self.call {
                    call.up = true;
                }
            }
            Event::Bytes => {
                if let Some(call) = &mut self.call {
                    call.bytes = Some(now);
                }
            }
            Event::Whole => {
                if let Some(call) = &mut self.call {
                    (call.whole, call.bytes) = (Some(now), None);
                }
            }
            Event::Ended => {
                let Some(call) = self.call.take() else { return };
                actions.push(Action::Lost { silent: false });
                if self.pushed {
                    self.again = Some(now + AGAIN);
                } else {
                    let latest = (call.from() + LATEST).max(now);
                    self.again = Some(latest.min(now + RETRY));
                    actions.push(Action::Tell);
                }
            }
            Event::Tick => {
                if self.due().is_some_and(|due| due <= now) {
                    if self.call.is_some() {
                        actions.push(Action::Lost { silent: true });
                    }
                    self.call(now, actions);
                }
            }
        }
    }

    fn call(&mut self, now: Time, actions: &mut Vec<Action>) {
        (self.wanted, self.again) = (true, None);
        self.call = Some(Call {
            since: now,
            up: false,
            bytes: None,
            whole: None,
        });
        actions.push(Action::Call);
    }

    /// When [`Event::Tick`] is due.
    pub fn due(&self) -> Option<Time> {
        let Some(call) = &self.call else {
            return self.again;
        };
        let from = call.from();
        let silence = if call.whole.is_some() {
            self.silence
        } else {
            SILENCE
        };
        Some(match call.bytes {
            _ if !call.up => call.since + DIAL,
            None => from + silence,
            Some(last) => (last + self.silence).min(from + OBJECT),
        })
    }
}
