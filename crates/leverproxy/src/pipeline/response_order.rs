//! Keeps answers on time although each connection sends them in the order of its requests. A request that follows one
//! with a later deadline could be answered late even if its own answer is ready early (head-of-line blocking); so when
//! the time of a request is over, the requests that precede it on the connection are ended.

use super::io::Io;
use super::state::Pipeline;
use super::TimerKind;
use crate::event_loop::slab::Key;
use crate::event_loop::timers::deadline_after;
use crate::request::{Answer, ResponseSlot};
use routing::{Event, RequestId};
use std::time::{Duration, Instant};

impl Pipeline {
    /// Sets a timer for the end of a request's time if a request that precedes it on its connection may take longer.
    pub(super) fn watch_response_order(
        &mut self,
        slot: ResponseSlot,
        time_left: Duration,
        io: &mut Io,
        now: Instant,
    ) {
        if self.open_requests.is_behind_longer_request(slot) {
            let due = deadline_after(now, time_left);
            io.timers.set_single(due, TimerKind::ResponseOrder(slot));
        }
    }

    /// Removes the timers of the requests of a client that no open request precedes any more.
    pub(super) fn unwatch_response_order(&mut self, client: Key, io: &mut Io) {
        let slot = |number| ResponseSlot { client, number };
        let first_open = self.open_requests.first_slot(client);
        let last = first_open.unwrap_or(slot(u64::MAX));
        let unneeded = TimerKind::ResponseOrder(slot(0))..=TimerKind::ResponseOrder(last);
        io.timers.cancel_singles(unneeded);
    }

    /// The time of a request is over: ends the requests that precede it on its connection, so that its answer can be sent.
    pub fn end_requests_before(&mut self, slot: ResponseSlot, io: &mut Io, now: Instant) {
        for id in self.open_requests.ids_before(slot) {
            self.end_request_early(id, io, now);
        }
    }

    fn end_request_early(&mut self, id: RequestId, io: &mut Io, now: Instant) {
        let Some(open) = self.open_requests.get_mut(id) else {
            return;
        };
        if open.streaming.is_some() {
            // The answer is being sent, and its server may still be giving it.
            return;
        }
        let answer = if open.attempts() == 0 {
            Answer::Rejected(None)
        } else {
            Answer::Failed
        };
        self.answer(id, answer, io, now);
        self.decide(Event::ClientLeft(id), io, now);
    }
}
