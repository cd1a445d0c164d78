//! When a call to discovery for the endpoint list counts as lost, and when the next one is made.
//!
//! A state machine without clock and I/O: events of the one connection in, actions out. The table that it implements
//! stands in `docs/design/discovery-schedule.md`.
//!
//! **Polling**: the decision module orders the first call, and each one after a response that reports a failure
//! ([`Event::PollRequested`]). Silence is no response, and the changes that it hides soon count as notified, so the
//! next call is made at once. A call that nobody orders in time is made all the same ([`MAX_RETRY_DELAY`],
//! [`MAX_POLL_AGE`]).
//!
//! **Push**: a watch on the local agent is open from the first moment, and is opened again whatever ends it.
//!
//! # The latest next call
//!
//! After a failed call a change counts as notified [`NOTIFICATION_DEADLINE`] after discovery had it and could be
//! reached. Within that time a call has to be made, answered and applied, whatever happened to the call before it:
//!
//! | the call before | next call, at the latest | answer |
//! | --- | --- | --- |
//! | ended (refused, reset, 503) while discovery was down | [`MAX_RETRY_DELAY`] after its end | `MAX_RETRY_DELAY + MAX_QUEUE_TIME + APPLY_TIME` = `NOTIFICATION_DEADLINE` |
//! | the same, and the dial of the next one hangs | [`DIAL_TIMEOUT`] after that one began | `MAX_RETRY_DELAY + DIAL_TIMEOUT + APPLY_TIME` = 5 s |
//! | began while discovery was down, and ended later | [`MAX_POLL_AGE`] after its beginning or last complete object | `MAX_POLL_AGE + APPLY_TIME` = `NOTIFICATION_DEADLINE` |
//! | never connected | [`DIAL_TIMEOUT`] after its beginning | `DIAL_TIMEOUT + MAX_QUEUE_TIME + APPLY_TIME` |
//! | connected, and silent | [`SILENCE_TIMEOUT`] after its beginning or last bytes | `SILENCE_TIMEOUT + MAX_QUEUE_TIME + APPLY_TIME` |
//! | bytes, and no end of an object | [`OBJECT_TIMEOUT`] after its beginning or last complete object | `OBJECT_TIMEOUT + APPLY_TIME` |
#![forbid(unsafe_code)]

use std::time::Duration;

/// Time since an origin that the caller chooses.
pub type Time = Duration;

/// A call that is not connected within this is replaced by another one.
pub const DIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest silence on a watch, and the longest wait for the first byte of a response. Discovery holds a call for
/// [`MAX_QUEUE_TIME`] and then says so.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// The longest time from one complete object to the next while bytes arrive: a missed change counts as notified a
/// second later.
pub const OBJECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Where lists are pushed, the pause between the end of a watch and the next one: a fifth of the time in which a drain
/// has to take effect.
pub const WATCH_RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// After a failed, rejected or abandoned call, a change counts as notified so long after discovery had it and could be
/// reached.
pub const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// Discovery serves calls in turn, and holds one for at most this.
pub const MAX_QUEUE_TIME: Duration = Duration::from_secs(2);
/// From discovery's response to the list applied: the network round trip and a busy event loop.
pub const APPLY_TIME: Duration = Duration::from_millis(250);
/// Where the list is polled, the longest time from the end of a failed call to the next one: what is left of
/// [`NOTIFICATION_DEADLINE`] if the next one is held for [`MAX_QUEUE_TIME`]. If its dial hangs instead, the call after
/// it is answered within 5 s.
pub const MAX_RETRY_DELAY: Duration = NOTIFICATION_DEADLINE
    .saturating_sub(MAX_QUEUE_TIME)
    .saturating_sub(APPLY_TIME);
/// The longest time from the beginning of a call, or from its last complete object, to the next call: while a call that
/// fails late was open, other proxies may have reached discovery. It is what is left of [`NOTIFICATION_DEADLINE`] if
/// the next call is answered at once. One that discovery rejects after [`MAX_QUEUE_TIME`] still has all of
/// [`MAX_RETRY_DELAY`] before the next, so that the calls of many proxies stay spread.
pub const MAX_POLL_AGE: Duration = NOTIFICATION_DEADLINE.saturating_sub(APPLY_TIME);

/// The latest first call of a new process, however rarely it may poll. The watch of the process before it ended with
/// that process, so later changes count as notified after [`NOTIFICATION_DEADLINE`]; half of that is left for the
/// restart.
pub const MAX_FIRST_POLL_DELAY: Duration = Duration::from_secs(3);
/// A new process uses the list of the one before it for this time, unless a call has failed. A drain just after the end
/// of the old process takes effect in time if the new one started within `NOTIFICATION_DEADLINE -
/// CACHED_LIST_LIFETIME`, and the grace period for drains beyond that.
pub const CACHED_LIST_LIFETIME: Duration = MAX_FIRST_POLL_DELAY;

/// The latest first call of a new process that has to poll within `poll_within`: its dial may hang once, and the next
/// call may be held for [`MAX_QUEUE_TIME`]. Where little is left, it is a quarter of `poll_within`, so that processes
/// that start together do not call together.
pub fn first_poll_delay(poll_within: Duration) -> Duration {
    poll_within
        .saturating_sub(DIAL_TIMEOUT + MAX_QUEUE_TIME + APPLY_TIME)
        .max(poll_within / 4)
        .min(MAX_FIRST_POLL_DELAY)
}

/// What happens to the connection to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The list is wanted: a call is made unless one is open.
    PollRequested,
    /// The connection of the call is established.
    Connected,
    /// Bytes of a response have arrived.
    BytesReceived,
    /// A complete object has arrived, or the notice that nothing has changed.
    ObjectReceived,
    /// The call was rejected, has ended or sent something malformed.
    CallEnded,
    /// Discovery has another address.
    AddressChanged,
    /// The time of [`PollSchedule::next_deadline`] has come.
    Tick,
}

/// What the host of the state machine has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make a call in place of the open one, if there is one.
    StartCall,
    /// The open call is lost.
    CallLost {
        /// It was silent for too long.
        silent: bool,
    },
    /// Report to the module that orders calls that this one has failed.
    ReportFailure,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    started: Time,
    connected: bool,
    /// The last bytes since the last complete object.
    last_bytes: Option<Time>,
    last_object: Option<Time>,
}

impl Call {
    fn new(started: Time) -> Call {
        Call {
            started,
            connected: false,
            last_bytes: None,
            last_object: None,
        }
    }

    /// The last complete object, or the beginning of the call.
    fn last_progress(&self) -> Time {
        self.last_object.unwrap_or(self.started)
    }

    /// When the call counts as lost unless more of it arrives.
    fn deadline(&self, watch_silence: Duration) -> Time {
        if !self.connected {
            return self.started + DIAL_TIMEOUT;
        }
        let progress = self.last_progress();
        match (self.last_bytes, self.last_object) {
            (Some(last), _) => (last + watch_silence).min(progress + OBJECT_TIMEOUT),
            (None, Some(_)) => progress + watch_silence,
            (None, None) => progress + SILENCE_TIMEOUT,
        }
    }
}

/// The schedule of the calls of one proxy.
#[derive(Debug)]
pub struct PollSchedule {
    watch_silence: Duration,
    push_mode: bool,
    /// A call has been ordered at some time.
    started: bool,
    open: Option<Call>,
    /// With no call open, when the next one is made if nobody orders it before.
    next_call: Option<Time>,
}

impl PollSchedule {
    /// `watch_silence`: the longest silence on a watch, at most [`SILENCE_TIMEOUT`]; `push_mode`: whether lists are
    /// pushed.
    pub fn new(watch_silence: Duration, push_mode: bool) -> PollSchedule {
        PollSchedule {
            watch_silence: watch_silence.min(SILENCE_TIMEOUT),
            push_mode,
            started: false,
            open: None,
            next_call: None,
        }
    }

    /// Sets whether lists are pushed or polled from now on.
    pub fn set_push_mode(&mut self, push_mode: bool) {
        self.push_mode = push_mode;
    }

    /// Handles one event; `now` is the time since an origin that stays the same.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::PollRequested => self.request_poll(now, actions),
            Event::AddressChanged => self.change_address(now, actions),
            Event::Connected => self.mark_connected(),
            Event::BytesReceived => self.record_bytes(now),
            Event::ObjectReceived => self.record_object(now),
            Event::CallEnded => self.end_call(now, actions),
            Event::Tick => self.check_deadline(now, actions),
        }
    }

    fn request_poll(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.open.is_none() {
            self.start_call(now, actions);
        }
    }

    fn change_address(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.started {
            self.start_call(now, actions);
        }
    }

    fn mark_connected(&mut self) {
        if let Some(call) = &mut self.open {
            call.connected = true;
        }
    }

    fn record_bytes(&mut self, now: Time) {
        if let Some(call) = &mut self.open {
            call.last_bytes = Some(now);
        }
    }

    fn record_object(&mut self, now: Time) {
        if let Some(call) = &mut self.open {
            call.last_object = Some(now);
            call.last_bytes = None;
        }
    }

    fn end_call(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(call) = self.open.take() else { return };
        actions.push(Action::CallLost { silent: false });
        if self.push_mode {
            self.next_call = Some(now + WATCH_RECONNECT_DELAY);
            return;
        }
        self.next_call = Some(latest_retry(now, call.last_progress()));
        actions.push(Action::ReportFailure);
    }

    fn check_deadline(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.next_deadline().is_none_or(|deadline| deadline > now) {
            return;
        }
        if self.open.is_some() {
            actions.push(Action::CallLost { silent: true });
        }
        self.start_call(now, actions);
    }

    fn start_call(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.started = true;
        self.next_call = None;
        self.open = Some(Call::new(now));
        actions.push(Action::StartCall);
    }

    /// When [`Event::Tick`] is due.
    pub fn next_deadline(&self) -> Option<Time> {
        match &self.open {
            Some(call) => Some(call.deadline(self.watch_silence)),
            None => self.next_call,
        }
    }
}

/// The latest time of a call after one that has failed at `now` and had its last progress at `last_progress`.
fn latest_retry(now: Time, last_progress: Time) -> Time {
    (last_progress + MAX_POLL_AGE)
        .max(now)
        .min(now + MAX_RETRY_DELAY)
}

#[cfg(test)]
mod tests;
