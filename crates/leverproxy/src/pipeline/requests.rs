//! Admits requests, and ends those that get no answer from a server: rejected, cancelled, or abandoned by the client.

use super::io::Io;
use super::state::Pipeline;
use super::{admit, decode};
use crate::request::{Answer, Request, ResponseSlot};
use routing::{ClassId, Event, QuotaStatus, RequestId, Time};
use std::time::{Duration, Instant};

impl Pipeline {
    /// Runs a request through decode, route rules, quota and admit, and passes it to the decision module.
    pub(super) fn on_request(
        &mut self,
        slot: ResponseSlot,
        request: Request,
        io: &mut Io,
        now: Instant,
    ) {
        let id = self.open_requests.next_id();
        let margin = self.route_rules.rules().margin;
        let decoded = decode::decode(id, &request, &self.names, &self.deadlines, margin, now);
        let mut arrival = match decoded {
            Ok(arrival) => decode::limit_time(arrival, self.termination_deadline, margin, now),
            Err(error) => {
                let class = self.find_class(&request.class);
                return self.reject_malformed(slot, class, error.to_string(), io, now);
            }
        };
        // Counters and open requests use the client's class; a route rule may set another class for the decision module.
        let class = arrival.class;
        if let Some(answer) = self.open_requests.check_admission(&request) {
            return self.reject(slot, class, answer, io, now);
        }
        let unix = self.clock.unix_time(now);
        if let Some(committed_at) = request.min_commit_time {
            self.clock_skew
                .observe_client_write(Time(committed_at), unix);
        }
        let routed = self
            .route_rules
            .apply_route_rules(&mut arrival, &request, unix, now);
        let pool = match routed {
            Ok(pool) => pool,
            Err(answer) => return self.reject(slot, class, answer, io, now),
        };
        self.quota
            .set_status(&mut arrival, request.tenant.is_some(), now);
        self.open_requests
            .admit(&arrival, slot, class, pool, request);
        self.counters.request_read(class);
        self.watch_response_order(slot, arrival.time_left, io, now);
        arrival.shed_fraction = self.monitor.request_arrived(&arrival, now);
        self.decide(Event::RequestArrived(arrival), io, now);
    }

    fn find_class(&self, name: &str) -> Option<ClassId> {
        let index = self.names.classes.iter().position(|class| class == name)?;
        u16::try_from(index).ok().map(ClassId)
    }

    /// Answers a request that is not admitted.
    fn reject(
        &mut self,
        slot: ResponseSlot,
        class: ClassId,
        answer: Answer,
        io: &mut Io,
        now: Instant,
    ) {
        if let Answer::Invalid(reason) = answer {
            return self.reject_malformed(slot, Some(class), reason, io, now);
        }
        self.counters.request_read(class);
        self.counters
            .request_answered(class, QuotaStatus::WithinQuota, &answer, Duration::ZERO);
        io.downstream.answer(slot, answer, now, &io.reactor);
    }

    /// Answers an invalid request, which is not passed to the decision module.
    fn reject_malformed(
        &mut self,
        slot: ResponseSlot,
        class: Option<ClassId>,
        reason: String,
        io: &mut Io,
        now: Instant,
    ) {
        self.rejection_log
            .warn(now, || format!("front: request rejected: {reason}"));
        let answer = Answer::Invalid(reason);
        let quota_status = QuotaStatus::WithinQuota;
        match class {
            Some(class) => {
                self.counters
                    .request_answered(class, quota_status, &answer, Duration::ZERO)
            }
            None => self.counters.rejected += 1,
        }
        io.downstream.answer(slot, answer, now, &io.reactor);
    }

    pub(super) fn on_client_left(&mut self, slot: ResponseSlot, io: &mut Io, now: Instant) {
        if let Some(open) = self.abandon(slot, io, now) {
            self.counters.client_left(open.class);
        }
    }

    /// The client has cancelled its request: the answer confirms the cancellation. If a part of the answer was already
    /// sent to the client, the request is not cancelled.
    pub(super) fn on_cancelled(&mut self, slot: ResponseSlot, io: &mut Io, now: Instant) {
        let id = self.open_requests.id(slot);
        let open = id.and_then(|id| self.open_requests.get_mut(id));
        if open.is_none_or(|open| open.streaming.is_some()) {
            return;
        }
        if let Some(open) = self.abandon(slot, io, now) {
            self.counters.request_cancelled(open.class);
            io.downstream
                .answer(slot, Answer::Cancelled, now, &io.reactor);
        }
    }

    /// Ends a request whose client no longer waits for the answer. No further attempts are sent.
    fn abandon(
        &mut self,
        slot: ResponseSlot,
        io: &mut Io,
        now: Instant,
    ) -> Option<admit::OpenRequest> {
        let id = self.open_requests.id(slot)?;
        let open = self.close_request(id, now)?;
        if open.attempts() > 0 {
            io.upstream.cancel_unwritten(id, now);
            io.upstream.end_stalled_attempts(id, None, now);
        }
        if let Some(answer) = open.streaming {
            io.upstream.abandon_response(answer.connection, now);
        }
        self.unwatch_response_order(slot.client, io);
        self.quota.record_end(&open, None, now);
        self.monitor.client_left(id, open.group, now);
        self.decide(Event::ClientLeft(id), io, now);
        Some(open)
    }

    /// Closes a request and releases its place in its bulkhead pool. The caller must send the answer.
    pub(super) fn close_request(
        &mut self,
        id: RequestId,
        now: Instant,
    ) -> Option<admit::OpenRequest> {
        let open = self.open_requests.close(id, now)?;
        self.release_bulkhead(&open, now);
        Some(open)
    }

    pub(super) fn release_bulkhead(&mut self, open: &admit::OpenRequest, now: Instant) {
        if let Some(pool) = open.pool {
            let held = now.saturating_duration_since(open.read_at);
            self.route_rules.release_bulkhead(pool, held);
        }
    }
}
