//! Answers and reports of servers: chunks of answers, completed exchanges, and the positions in them.

use super::admit::{OpenRequest, StreamingAnswer};
use super::io::Io;
use super::state::Pipeline;
use super::{record, relay};
use crate::request::{
    Answer, CompletedExchange, ExchangeOutcome, Purpose, ResponseChunk, ResponseSlot,
};
use crate::upstream::StalledAttempt;
use routing::{AttemptEnded, AttemptNumber, Event, Outcome, RequestId, ResponseMetadata, Time};
use std::time::Instant;

impl Pipeline {
    /// Forwards a chunk of an answer that is too large to be buffered. The first chunk is reported to the decision module
    /// as the answer of the attempt: latency is measured up to it.
    pub(super) fn on_response_chunk(&mut self, chunk: ResponseChunk, io: &mut Io, now: Instant) {
        let (attempt, connection) = (chunk.attempt, chunk.connection);
        let open = self.open_requests.get_mut(chunk.id);
        let open = open.filter(|open| {
            open.streaming
                .is_none_or(|current| current.attempt == attempt)
        });
        let Some(open) = open else {
            // The client has left, or another attempt's answer is being forwarded.
            return io.upstream.abandon_response(connection, now);
        };
        let answer = StreamingAnswer {
            attempt,
            connection,
            row_bytes_left: chunk.row_bytes_left,
        };
        let is_first = open.streaming.replace(answer).is_none();
        open.deferred_answer = None;
        let (slot, class) = (open.slot, open.class);
        if !io
            .downstream
            .send_chunk(slot, &chunk.bytes, now, &io.reactor)
        {
            io.upstream.pause_reading(connection, now, &io.reactor);
        }
        if is_first {
            io.upstream
                .end_stalled_attempts(chunk.id, Some(connection), now);
            let is_write = self.is_write(Some(class));
            let position = self.commit_position(now).filter(|_| is_write);
            self.record_event(first_chunk_event(&chunk, position), io, now);
        }
    }

    /// The client has read the chunks sent so far: reading from the server's connection resumes.
    pub(super) fn on_client_writable(&mut self, slot: ResponseSlot, io: &mut Io, now: Instant) {
        let id = self.open_requests.id(slot);
        let open = id.and_then(|id| self.open_requests.get_mut(id));
        if let Some(answer) = open.and_then(|open| open.streaming) {
            io.upstream
                .resume_reading(answer.connection, now, &io.reactor);
        }
    }

    pub(super) fn on_exchange_completed(
        &mut self,
        mut completed: CompletedExchange,
        io: &mut Io,
        now: Instant,
    ) {
        self.counters
            .attempt_ended(completed.class, &completed.outcome);
        self.monitor.exchange_ended(&completed, now);
        let latest = self.observe_position(&completed, now);
        let Purpose::Attempt(id, attempt) = completed.purpose else {
            return self.record_event(record::record(&completed, true, latest), io, now);
        };
        let outcome = &mut completed.outcome;
        let served = relay::take_served(id, attempt, outcome, &mut self.open_requests, now);
        if let Some((open, answer)) = served {
            self.release_bulkhead(&open, now);
            self.finish_request(open, answer, io, now);
            io.upstream.end_stalled_attempts(id, None, now);
        } else if self.is_streaming(id, attempt) {
            // The rest of the answer will not come. The attempt was reported to the decision module with the first chunk.
            return self.answer(id, Answer::Failed, io, now);
        }
        let request_finished = self.open_requests.get_mut(id).is_none();
        let latest = if self.fill_in_commit_position(&mut completed, now) {
            latest.plus(record::MAX_CLOCK_LAG)
        } else {
            latest
        };
        let event = record::record(&completed, request_finished, latest);
        self.record_event(event, io, now);
        self.answer_deferred(id, io, now);
    }

    fn is_streaming(&mut self, id: RequestId, attempt: AttemptNumber) -> bool {
        self.open_requests.get_mut(id).is_some_and(|open| {
            open.streaming
                .is_some_and(|current| current.attempt == attempt)
        })
    }

    /// A response has begun and pauses. The decision module is told that the attempt has failed, and may try the request
    /// elsewhere; whichever attempt answers first is relayed. The attempt is given up at once where no second one may run
    /// beside it.
    pub(super) fn on_attempt_stalled(
        &mut self,
        stalled: StalledAttempt,
        io: &mut Io,
        now: Instant,
    ) {
        let is_streaming = |open: &mut OpenRequest| open.streaming.is_some();
        let needs_answer = !self
            .open_requests
            .get_mut(stalled.id)
            .is_none_or(is_streaming);
        if !needs_answer || !self.may_hedge || self.is_write(stalled.class) {
            return io.upstream.end_stalled_attempt(stalled.connection, now);
        }
        let ended = AttemptEnded {
            id: stalled.id,
            attempt: stalled.attempt,
            server: stalled.server,
            outcome: Outcome::Failed,
            elapsed: stalled.elapsed,
            request_finished: false,
            metadata: ResponseMetadata::default(),
        };
        self.record_event(Event::AttemptEnded(ended), io, now);
    }

    /// Sends the answer with which the decision module has given up a request, once no stalled attempt can serve it.
    fn answer_deferred(&mut self, id: RequestId, io: &mut Io, now: Instant) {
        let open = self.open_requests.get_mut(id);
        let deferred = open.and_then(|open| open.deferred_answer.take());
        if let Some(answer) = deferred {
            self.give_up(id, answer, io, now);
        }
    }

    /// Updates the estimate of the clock error from this exchange. Returns the latest plausible position.
    fn observe_position(&mut self, completed: &CompletedExchange, now: Instant) -> Time {
        let unix = self.clock.unix_time(now);
        if let Some(evidence) = record::clock_evidence(completed, unix) {
            self.clock_skew.observe_position(evidence, unix);
        }
        self.clock_skew.latest_position(unix)
    }

    /// Sets the position of a committed write if the server sent none. Returns whether the exchange is a committed write.
    /// Later reads of the session have to see the commit: its position counts even if it is ahead of this host's clock,
    /// and a missing position is replaced by the latest possible true time.
    fn fill_in_commit_position(&self, completed: &mut CompletedExchange, now: Instant) -> bool {
        let is_commit = self.is_write(completed.class)
            && matches!(completed.outcome, ExchangeOutcome::Served(_));
        if is_commit {
            let position = completed.metadata.position;
            completed.metadata.position = position.or(self.commit_position(now));
        }
        is_commit
    }

    /// Position of a commit made now, for servers that send no position. None: the time of the decision module is used,
    /// as the clock has no known lag.
    fn commit_position(&self, now: Instant) -> Option<Time> {
        let unix = self.clock.unix_time(now);
        let lead = self.clock_skew.lead(unix);
        (!lead.is_zero()).then(|| unix.plus(lead))
    }

    /// Passes a server's position and role to the monitor, and the event to the decision module.
    fn record_event(&mut self, event: Event, io: &mut Io, now: Instant) {
        let position = match &event {
            Event::AttemptEnded(ended) => Some((
                ended.server,
                ended.metadata.position,
                ended.metadata.primary,
            )),
            Event::ProbeEnded { server, report, .. } => {
                Some((*server, report.position, report.primary))
            }
            _ => None,
        };
        if let Some((server, position, primary)) = position {
            self.monitor
                .role_reported(server, position, primary, &self.clock, now);
        }
        self.decide(event, io, now);
    }
}

fn first_chunk_event(chunk: &ResponseChunk, position: Option<Time>) -> Event {
    Event::AttemptEnded(AttemptEnded {
        id: chunk.id,
        attempt: chunk.attempt,
        server: chunk.server,
        outcome: Outcome::Ok,
        elapsed: chunk.elapsed,
        request_finished: true,
        metadata: ResponseMetadata {
            position,
            ..ResponseMetadata::default()
        },
    })
}
