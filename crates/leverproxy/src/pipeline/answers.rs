//! Sends the final answer to each request.

use super::io::Io;
use super::state::Pipeline;
use super::{admit, relay};
use crate::request::Answer;
use routing::RequestId;
use std::time::Instant;

impl Pipeline {
    /// Ends a request with an answer that the proxy makes itself, and cancels the request's attempts.
    pub(super) fn answer(&mut self, id: RequestId, answer: Answer, io: &mut Io, now: Instant) {
        if let Some(open) = self.close_request(id, now) {
            if open.attempts() > 0 {
                io.upstream.cancel_unwritten(id, now);
                io.upstream.end_stalled_attempts(id, None, now);
            }
            self.finish_request(open, answer, io, now);
        }
    }

    /// Ends a request that the decision module has given up. While a stalled attempt may still serve it, the answer is
    /// deferred.
    pub(super) fn give_up(&mut self, id: RequestId, answer: Answer, io: &mut Io, now: Instant) {
        let open = self.open_requests.get_mut(id);
        match open.filter(|_| io.upstream.has_stalled_attempt(id)) {
            Some(open) => open.deferred_answer = Some(answer),
            None => self.answer(id, answer, io, now),
        }
    }

    /// Records the final answer, and writes it to the client.
    pub(super) fn finish_request(
        &mut self,
        open: admit::OpenRequest,
        answer: Answer,
        io: &mut Io,
        now: Instant,
    ) {
        let class = self.counters.class_name(open.class);
        log::debug!("{class}: {}", relay::describe(&open, &answer, now));
        let elapsed = now.saturating_duration_since(open.read_at);
        self.counters
            .request_answered(open.class, open.quota_status, &answer, elapsed);
        self.quota.record_end(&open, Some(&answer), now);
        let is_write = self.is_write(Some(open.class));
        self.monitor
            .request_answered(open.group, is_write, &answer, now);
        self.unwatch_response_order(open.slot.client, io);
        match (open.streaming, &answer) {
            // The rest of the server's answer will not come.
            (
                Some(streaming),
                Answer::Rejected(_) | Answer::Failed | Answer::Cancelled | Answer::Invalid(_),
            ) => {
                io.upstream.abandon_response(streaming.connection, now);
                let missing = streaming.row_bytes_left;
                io.downstream
                    .fail_response(open.slot, answer, missing, now, &io.reactor);
            }
            _ => io.downstream.answer(open.slot, answer, now, &io.reactor),
        }
    }

    /// Answers every open request at the end of the process, so that clients get an answer and not only a closed
    /// connection. A request without an attempt is rejected, not failed: no part of it ran, so another proxy may still
    /// serve it.
    pub fn fail_open_requests(&mut self, io: &mut Io, now: Instant) {
        for id in self.open_requests.ids() {
            let open = self.open_requests.get_mut(id);
            let answer = if open.is_some_and(|open| open.attempts() == 0) {
                Answer::Rejected(None)
            } else {
                Answer::Failed
            };
            self.answer(id, answer, io, now);
        }
    }
}
