//! Schedule of the calls to discovery for the endpoint list: when a call counts as lost, and when the next one is made.
//!
//! A state machine without clock and I/O: its input is the events of the single connection to discovery, its output
//! actions. It implements the table in `docs/design/discovery-schedule.md`.
//!
//! **Polling**: the decision module requests the first call, and a further one after each response that reports a
//! failure ([`Event::PollRequested`]). Silence is not a response, and changes missed during it soon count as notified,
//! so the next call is made at once. If no call is requested in time, the schedule makes one itself
//! ([`MAX_RETRY_DELAY`], [`MAX_POLL_AGE`]).
//!
//! **Push**: a watch on the local agent is opened at the start and reopened whenever it ends.
//!
//! # Latest time of the next call
//!
//! After a failed call, a change counts as notified [`NOTIFICATION_DEADLINE`] after discovery had it and was reachable.
//! Within that time a call has to be made, answered and applied, regardless of how the previous call ended:
//!
//! | previous call | latest next call | answer after |
//! | --- | --- | --- |
//! | ended (refused, reset, 503) while discovery was down | [`MAX_RETRY_DELAY`] after its end | `MAX_RETRY_DELAY + MAX_QUEUE_TIME + APPLY_TIME` = `NOTIFICATION_DEADLINE` |
//! | the same, and the dial of the next one hangs | [`DIAL_TIMEOUT`] after the start of that one | `MAX_RETRY_DELAY + DIAL_TIMEOUT + APPLY_TIME` = 5 s |
//! | started while discovery was down, and ended later | [`MAX_POLL_AGE`] after its start or last complete object | `MAX_POLL_AGE + APPLY_TIME` = `NOTIFICATION_DEADLINE` |
//! | never connected | [`DIAL_TIMEOUT`] after its start | `DIAL_TIMEOUT + MAX_QUEUE_TIME + APPLY_TIME` |
//! | connected but silent | [`SILENCE_TIMEOUT`] after its start or last bytes | `SILENCE_TIMEOUT + MAX_QUEUE_TIME + APPLY_TIME` |
//! | receives bytes but no complete object | [`OBJECT_TIMEOUT`] after its start or last complete object | `OBJECT_TIMEOUT + APPLY_TIME` |
#![forbid(unsafe_code)]

use std::time::Duration;

/// Time since an origin chosen by the caller.
pub type Time = Duration;

/// A call that is not connected within this time is replaced by a new one.
pub const DIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest silence on a watch, and longest wait for the first byte of a response. Discovery queues a call for at most
/// [`MAX_QUEUE_TIME`] and then rejects it.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time between complete objects while bytes arrive. It leaves one second until a missed change counts as
/// notified.
pub const OBJECT_TIMEOUT: Duration = Duration::from_secs(5);
/// In push mode, the delay between the end of a watch and the next one: a fifth of the time within which a drain has to
/// take effect.
pub const WATCH_RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// After a failed, rejected or abandoned call, a change counts as notified this long after discovery had it and was
/// reachable.
pub const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// Longest time that discovery queues a call. It handles calls one after the other.
pub const MAX_QUEUE_TIME: Duration = Duration::from_secs(2);
/// Time from discovery's response until the list is applied: network round trip and a busy event loop.
pub const APPLY_TIME: Duration = Duration::from_millis(250);
/// In polling mode, the longest time from the end of a failed call to the next one: the rest of
/// [`NOTIFICATION_DEADLINE`] if the next call is queued for [`MAX_QUEUE_TIME`]. If the dial of the next call hangs
/// instead, the call after it is answered within 5 s.
pub const MAX_RETRY_DELAY: Duration = NOTIFICATION_DEADLINE
    .saturating_sub(MAX_QUEUE_TIME)
    .saturating_sub(APPLY_TIME);
/// Longest time from the start of a call, or from its last complete object, to the next call. While a call that fails
/// late was open, other proxies may have reached discovery. It is the rest of [`NOTIFICATION_DEADLINE`] if the next
/// call is answered at once. A call that discovery rejects after [`MAX_QUEUE_TIME`] still leaves the whole
/// [`MAX_RETRY_DELAY`] before the next one, so that the calls of many proxies stay spread.
pub const MAX_POLL_AGE: Duration = NOTIFICATION_DEADLINE.saturating_sub(APPLY_TIME);

/// Latest first call of a new process, even with a longer poll interval. The watch of the previous process ended with
/// that process, so later changes count as notified after [`NOTIFICATION_DEADLINE`]; half of that is left for the
/// restart.
pub const MAX_FIRST_POLL_DELAY: Duration = Duration::from_secs(3);
/// Time for which a new process uses the list of the previous one, unless a call has failed. A drain just after the end
/// of the previous process takes effect in time if the new one started within `NOTIFICATION_DEADLINE -
/// CACHED_LIST_LIFETIME`, plus the grace period for drains.
pub const CACHED_LIST_LIFETIME: Duration = MAX_FIRST_POLL_DELAY;

/// Latest first call of a new process that has to poll within `poll_within`: its dial may hang once, and the next call
/// may be queued for [`MAX_QUEUE_TIME`]. If too little time is left, it is a quarter of `poll_within`, so that
/// processes that start together do not call together.
pub fn first_poll_delay(poll_within: Duration) -> Duration {
    poll_within
        .saturating_sub(DIAL_TIMEOUT + MAX_QUEUE_TIME + APPLY_TIME)
        .max(poll_within / 4)
        .min(MAX_FIRST_POLL_DELAY)
}

/// An event of the connection to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A poll is requested: a call is made unless one is open.
    PollRequested,
    /// The connection of the call is established.
    Connected,
    /// Bytes of a response have arrived.
    BytesReceived,
    /// A complete object has arrived, or a response without changes.
    ObjectReceived,
    /// The call was rejected, has ended or has sent malformed data.
    CallEnded,
    /// The address of discovery has changed.
    AddressChanged,
    /// The time of [`PollSchedule::next_deadline`] has been reached.
    Tick,
}

/// An action for the host of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a call; it replaces the open one, if any.
    StartCall,
    /// The open call counts as lost.
    CallLost {
        /// Whether the call was lost because it was silent for too long.
        silent: bool,
    },
    /// Report the failed call to the module that requests calls.
    ReportFailure,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    started: Time,
    connected: bool,
    /// Arrival of the last bytes since the last complete object.
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

    /// Arrival of the last complete object, or the start of the call.
    fn last_progress(&self) -> Time {
        self.last_object.unwrap_or(self.started)
    }

    /// When the call counts as lost unless more data arrives.
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

/// Schedule of the calls of one proxy.
#[derive(Debug)]
pub struct PollSchedule {
    watch_silence: Duration,
    push_mode: bool,
    /// Whether any call has been made.
    started: bool,
    open: Option<Call>,
    /// If no call is open, when the next one is made unless it is requested earlier.
    next_call: Option<Time>,
}

impl PollSchedule {
    /// `watch_silence`: longest silence on a watch, at most [`SILENCE_TIMEOUT`]; `push_mode`: whether lists are pushed.
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

    /// Handles one event; `now` is the time since a fixed origin.
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

/// Latest time of the call after one that failed at `now` and made its last progress at `last_progress`.
fn latest_retry(now: Time, last_progress: Time) -> Time {
    (last_progress + MAX_POLL_AGE)
        .max(now)
        .min(now + MAX_RETRY_DELAY)
}

#[cfg(test)]
mod tests;
