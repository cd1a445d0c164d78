//! Queueing and rejecting: how long a request waits here, and its final answer.
//!
//! **Objective.** The latency objective counts from the client's first request. A marked retry with less time than
//! first requests have had has what is left of the deadline. Guards against storms of retries that come too late to
//! earn anything and take the place of requests that would. Where retries bear no mark nothing is known of them.
//! **Queueing.** What no server can take now is queued until `Router::queue_deadline`, and longer for capacity if a
//! late answer still earns something. News of a server dispatches the queued requests of its group, those of highest
//! priority first. Of equal priority the newest goes first: it has the most time left, while the oldest would all be
//! served just too late whenever more wait than can be served.
//! **Rejecting.** A rejection promises that nothing ran which a repetition could double; anything else ends as a
//! failure. It may say when to come back (Retry-After): after `Tuning::backoff_max` objectives, within the settings'
//! limit.

use crate::interface::*;
use crate::state::{Request, Router, TimerKind};
use crate::tuning::MAX_DISPATCHES_PER_EVENT;
use std::time::Duration;

impl Router {
    pub(crate) fn on_arrival(&mut self, mut arrival: Arrival, actions: &mut Vec<Action>) {
        if self.settings.over_quota_weight_fraction >= 1.0 {
            arrival.quota_status = QuotaStatus::WithinQuota;
        }
        let id = arrival.id;
        let class = usize::from(arrival.class.0);
        let is_known = class < self.settings.classes.len();
        let deadline = self.now.plus(arrival.time_left);
        let request = Request {
            arrived: self.now,
            deadline,
            objective_deadline: self.objective_deadline(&arrival),
            session_position: self.session_position(&arrival),
            arrival,
            ..Request::default()
        };
        self.requests.insert(id, request);
        if !is_known || !self.admit(id) {
            return self.reject(id, actions);
        }
        self.record_offered_work(id);
        self.timers.insert((deadline, TimerKind::Deadline(id)));
        self.dispatch(id, actions);
    }

    /// Until when an answer earns its full weight.
    fn objective_deadline(&mut self, arrival: &Arrival) -> Time {
        let index = usize::from(arrival.class.0);
        let Some(class) = self.settings.classes.get(index) else {
            return self.now;
        };
        let longest_timeout = &mut self.longest_client_timeout[index];
        let late_threshold = longest_timeout.mul_f64(self.tuning.late_retry_fraction);
        let spent = if arrival.is_client_retry && arrival.time_left < late_threshold {
            class.deadline.saturating_sub(arrival.time_left)
        } else {
            Duration::ZERO
        };
        if !arrival.is_client_retry {
            *longest_timeout = arrival.time_left.max(*longest_timeout);
        }
        self.now.plus(class.latency_objective.saturating_sub(spent))
    }

    /// Until when a request is queued that nothing can be sent for.
    pub(crate) fn queue_deadline(&self, request: &Request) -> Time {
        let queue_time = request
            .arrival
            .time_left
            .mul_f64(self.tuning.queue_time_fraction);
        request.arrived.plus(queue_time)
    }

    pub(crate) fn recheck_interval(&self) -> Duration {
        self.tightest_objective
            .mul_f64(self.tuning.recheck_interval)
    }

    pub(crate) fn queue_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let recheck_at = self.recheck_time(request);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        // At most one recheck timer for a request: every event that dispatches it would set another.
        if request.recheck_at.is_none_or(|at| at <= self.now) {
            request.recheck_at = Some(recheck_at);
            self.timers.insert((recheck_at, TimerKind::Recheck(id)));
        }
        if !request.is_queued {
            request.is_queued = true;
            let key = (request.arrival.group, request.arrived, id);
            self.queue.insert(key);
        } else {
            // What rejected it a while ago may take it now.
            request.avoided_servers.clear();
        }
    }

    /// A request that may wait no longer is looked at in time to be rejected.
    fn recheck_time(&self, request: &Request) -> Time {
        let recheck_at = self.now.plus(self.recheck_interval());
        let queue_deadline = self.queue_deadline(request);
        if queue_deadline > self.now {
            queue_deadline.min(recheck_at)
        } else {
            recheck_at
        }
    }

    /// News of a server: queued requests of its group get another look.
    pub(crate) fn dispatch_queued(&mut self, server: ServerId, actions: &mut Vec<Action>) {
        let Some(group) = self.servers.get(&server).map(|server| server.group) else {
            return;
        };
        let first = (group, Time::ZERO, RequestId(0));
        let last = (group, Time::MAX, RequestId(u64::MAX));
        let queued = self.queue.range(first..=last).map(|queued| queued.2);
        let mut waiting: Vec<(f64, RequestId)> =
            queued.rev().map(|id| (self.priority(id), id)).collect();
        // The sort is stable: of equal priority the newest stays first.
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, id) in waiting.into_iter().take(MAX_DISPATCHES_PER_EVENT) {
            self.dispatch(id, actions);
        }
    }

    /// Gives the final answer: a rejection where that keeps its promise, otherwise a failure.
    pub(crate) fn reject(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if self.can_be_repeated(request) {
            let retry_after = self
                .settings
                .may_send_retry_after
                .then(|| self.retry_after());
            actions.push(Action::Reject { id, retry_after });
        } else {
            actions.push(Action::Fail { id });
        }
        self.remove_request(id);
    }

    /// Whether a repetition by the client, through any router, can't take effect twice.
    fn can_be_repeated(&self, request: &Request) -> bool {
        let has_not_run = request.in_flight.is_empty() && request.possible_effect.is_none();
        let class = usize::from(request.arrival.class.0);
        let idempotency = self.settings.classes.get(class).map(|c| c.idempotency);
        has_not_run
            || matches!(
                idempotency,
                Some(
                    Idempotency::Idempotent
                        | Idempotency::Keyed {
                            scope: DeduplicationScope::All,
                            ..
                        }
                )
            )
    }

    fn retry_after(&self) -> Duration {
        self.tightest_objective
            .mul_f64(self.tuning.backoff_max)
            .min(self.settings.max_retry_after)
    }

    /// Forgets a request that needs no further answer.
    pub(crate) fn remove_request(&mut self, id: RequestId) {
        if let Some(request) = self.requests.remove(&id) {
            self.queue
                .remove(&(request.arrival.group, request.arrived, id));
            self.timers
                .remove(&(request.deadline, TimerKind::Deadline(id)));
        }
    }
}
