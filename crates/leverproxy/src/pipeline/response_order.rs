//! Answers of one connection go out in the order of its requests. A request behind one that may take longer would be answered
//! late, however early its answer is there; so at the end of its time the requests before it are ended.

use super::io::Io;
use super::state::Pipeline;
use super::TimerKind;
use crate::event_loop::timers::deadline_after;
use crate::request::{Answer, ResponseSlot};
use routing::{Event, RequestId};
use std::time::{Duration, Instant};

impl Pipeline {
    /// Sets a timer for the end of a request's time, if one before it on its connection may take longer.
    pub(super) fn watch_response_order(
        &mut self,
        slot: ResponseSlot,
        time_left: Duration,
        io: &mut Io,
        now: Instant,
    ) {
        if self.open_requests.is_behind_longer_request(slot) {
            let due = deadline_after(now, time_left);
            io.timers.set(due, TimerKind::ResponseOrder(slot));
        }
    }

    /// The time of a request is over. Those before it on its connection are ended, so that its answer can go out.
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
            // Its answer is on the way; to break it off would end the connection, and lose those behind it too.
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
