//! Results of attempts: passes each result to the modules that own the estimates, in a fixed order.
//!
//! An answer shows the server's latency, and possibly its role and position. A missing answer shows less. In a large
//! fleet a time-out counts as the whole deadline, since the true latency is unknown. In a small fleet the concurrency
//! limits alone keep the servers from overload.

use crate::interface::*;
use crate::state::{InFlight, RoleEvidence, Router};
use crate::tuning::{MIN_SPAN, OVERTAKEN_LIMIT};
use std::time::Duration;

impl Router {
    pub(crate) fn on_attempt_ended(&mut self, ended: AttemptEnded, actions: &mut Vec<Action>) {
        let attempt = self
            .servers
            .get_mut(&ended.server)
            .and_then(|server| server.in_flight.remove(&(ended.id, ended.attempt)));
        let sent = attempt
            .as_ref()
            .map_or(self.now.minus(ended.elapsed), |attempt| attempt.sent);
        if ended.outcome == Outcome::Misdirected {
            self.record_stale_rejection(ended.id, ended.server);
        }
        self.record_outcome(&ended, attempt, sent);
        if ended.request_finished {
            self.remove_request(ended.id);
        } else {
            self.end_attempt(&ended, sent, actions);
        }
        self.dispatch_queued(ended.server, actions);
    }

    fn record_outcome(&mut self, ended: &AttemptEnded, attempt: Option<InFlight>, sent: Time) {
        let open = self.requests.get(&ended.id);
        let class = open
            .map(|request| request.arrival.class)
            .or(attempt.as_ref().map(|attempt| attempt.class));
        let Some(class) = class else {
            return;
        };
        // Guards against mistaking a connection that has fallen silent for an overloaded server.
        let overtaken = attempt.map_or(0, |attempt| attempt.overtaken_by) >= OVERTAKEN_LIMIT;
        if ended.outcome != Outcome::TimedOut || !overtaken {
            self.update_estimates(class, sent, ended);
        }
        let is_write = self.class(class).consistency == Consistency::Write;
        if ended.outcome == Outcome::Ok && is_write {
            self.record_session_write(ended.id, ended.metadata.position);
        }
    }

    fn update_estimates(&mut self, class: ClassId, sent: Time, ended: &AttemptEnded) {
        if !self.servers.contains_key(&ended.server) {
            return;
        }
        let objective = self.class(class).latency_objective.max(MIN_SPAN);
        let latency = matches!(
            ended.outcome,
            Outcome::Ok | Outcome::TimedOut | Outcome::Rejected
        )
        .then(|| self.observed_latency(class, ended));
        if let Some(latency) = latency {
            let late_weight_fraction = self.class(class).late_weight_fraction;
            let group = self.servers[&ended.server].group;
            let ratio = latency.div_duration_f64(objective);
            self.update_admission(group, ended.outcome, ratio, late_weight_fraction);
        }
        self.apply_metadata(class, ended);
        self.update_run_time(ended.server, class, objective, ended.outcome, ended.elapsed);
        if let Some(latency) = latency {
            self.update_server_latency(class, objective, latency, ended);
        }
        self.update_availability(class, objective, sent, ended);
    }

    /// Latency that an attempt shows for the server. A rejection counts as the whole deadline, since a full server is
    /// late.
    fn observed_latency(&self, class: ClassId, ended: &AttemptEnded) -> Duration {
        let is_hidden = self.is_large_fleet() && ended.outcome == Outcome::TimedOut;
        if is_hidden || ended.outcome == Outcome::Rejected {
            self.class(class).deadline
        } else {
            ended.elapsed
        }
    }

    fn apply_metadata(&mut self, class: ClassId, ended: &AttemptEnded) {
        let is_write = self.class(class).consistency == Consistency::Write;
        let is_commit = is_write && ended.outcome == Outcome::Ok;
        let now = self.now;
        let Some(server) = self.servers.get_mut(&ended.server) else {
            return;
        };
        if let Some(is_primary) = ended.metadata.primary {
            server.role = Some(RoleEvidence {
                is_primary,
                as_of: now,
            });
        }
        if let Some(position) = ended.metadata.position.filter(|_| !is_commit) {
            server.report_position(position, now);
        }
    }

    fn update_server_latency(
        &mut self,
        class: ClassId,
        objective: Duration,
        latency: Duration,
        ended: &AttemptEnded,
    ) {
        let id = ended.server;
        let ratio = latency.div_duration_f64(objective);
        let weight = 1.0 - self.decay_since(self.servers[&id].latency_updated);
        self.update_latency_averages(id, latency, ratio, weight);
        self.update_ramp_confidence(id, class, objective, ended.outcome);
        if let Some(server) = self.servers.get_mut(&id) {
            server.latency_updated = self.now;
        }
    }

    /// Updates backoff and concurrency limit: whether the server is up, and how much it can handle.
    fn update_availability(
        &mut self,
        class: ClassId,
        objective: Duration,
        sent: Time,
        ended: &AttemptEnded,
    ) {
        let id = ended.server;
        match ended.outcome {
            Outcome::Ok => {
                self.count_overtaken(id, sent);
                self.update_class_work(class, ended.elapsed);
                self.adapt_limit(id, sent, ended.elapsed, objective);
            }
            Outcome::Rejected => self.reduce_limit(id, sent),
            Outcome::ConnectFailed | Outcome::Reset => return self.back_off(id),
            // No answer since before the attempt was sent: the server hangs. A server that answered others is only
            // slow.
            Outcome::TimedOut if self.is_silent_since(id, sent) => return self.back_off(id),
            Outcome::TimedOut => return self.reduce_limit(id, sent),
            Outcome::Cancelled | Outcome::NotSent => return,
            Outcome::Failed | Outcome::Misdirected => {}
        }
        if let Some(server) = self.servers.get_mut(&id) {
            server.last_response = Some(self.now);
            server.end_backoff();
        }
    }

    fn is_silent_since(&self, id: ServerId, sent: Time) -> bool {
        self.servers[&id]
            .last_response
            .is_none_or(|last_response| last_response < sent)
    }

    fn count_overtaken(&mut self, id: ServerId, sent: Time) {
        if let Some(server) = self.servers.get_mut(&id) {
            for attempt in server.in_flight.values_mut() {
                attempt.overtaken_by += u32::from(attempt.sent < sent);
            }
        }
    }
}
