//! When a call for the list of record servers counts as broken, and when the next one is made. No clock, no I/O: events of
//! the one connection in, what to do out. The table that it keeps stands in `docs/design/list-clock.md`.
//!
//! **Asked**: the first call, and each after an answer that says no, is the decision module's to order ([`Event::Ask`]).
//! Silence is no answer: what it hides counts as told soon, so the next call is made at once.
//! **Pushed**: a watch on the agent stands from the first moment, and is opened again whatever ends it.
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The list is wanted.
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

#[derive(Debug)]
pub struct Clock {
    silence: Duration,
    pushed: bool,
    wanted: bool,
    call: Option<Call>,
    /// Where lists are pushed: when the next call is made, with none out.
    again: Option<Time>,
}

impl Clock {
    /// `silence`: the longest that a watch may say nothing.
    pub fn new(silence: Duration, pushed: bool) -> Clock {
        Clock { silence: silence.min(SILENCE), pushed, wanted: false, call: None, again: None }
    }

    /// From now on lists are pushed, or have to be asked for.
    pub fn set_pushed(&mut self, pushed: bool) {
        self.pushed = pushed;
    }

    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
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
                if self.call.take().is_none() {
                    return;
                }
                actions.push(Action::Lost { silent: false });
                if self.pushed {
                    self.again = Some(now + AGAIN);
                } else {
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
        self.call = Some(Call { since: now, up: false, bytes: None, whole: None });
        actions.push(Action::Call);
    }

    /// When [`Event::Tick`] is due.
    pub fn due(&self) -> Option<Time> {
        let Some(call) = &self.call else { return self.again };
        let from = call.whole.unwrap_or(call.since);
        let silence = if call.whole.is_some() { self.silence } else { SILENCE };
        Some(match call.bytes {
            _ if !call.up => call.since + DIAL,
            None => from + silence,
            Some(last) => (last + self.silence).min(from + OBJECT),
        })
    }
}
