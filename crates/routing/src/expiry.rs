//! Queueing and rejection: how long a request waits in the router, and its final answer.
//!
//! - **Objective.** The latency objective counts from the client's first request. A marked retry that has less time
//!   left than first requests have had gets only the rest of its objective. This guards against storms of retries that
//!   come too late to count and displace requests in time. For a retry without a mark, the time of the first request is
//!   unknown.
//! - **Queueing.** A request that no server can take now is queued until `Router::queue_deadline`, or longer for
//!   capacity if a late answer still has some weight. An event of a server dispatches the queued requests of its group
//!   by descending priority, and of equal priority the newest first: it has the most time left, while in the order of
//!   arrival all would be served just too late whenever more requests wait than can be served.
//! - **Rejection.** A rejection promises that the client can repeat the request without it taking effect twice;
//!   otherwise the final answer is a failure. It may carry a delay (Retry-After) of `Tuning::backoff_max` objectives,
//!   within the settings' limit.

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

    /// Until when an answer counts with its full weight.
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

    /// Until when a request that cannot be sent is queued.
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
        // At most one recheck timer per request: otherwise every event that dispatches the request would add one.
        if request.recheck_at.is_none_or(|at| at <= self.now) {
            request.recheck_at = Some(recheck_at);
            self.timers.insert((recheck_at, TimerKind::Recheck(id)));
        }
        if !request.is_queued {
            request.is_queued = true;
            let key = (request.arrival.group, request.arrived, id);
            self.queue.insert(key);
        } else {
            // A server that rejected the request earlier may accept it now.
            request.avoided_servers.clear();
        }
    }

    /// Time of the next recheck, no later than the queue deadline, so that the request is rejected in time.
    fn recheck_time(&self, request: &Request) -> Time {
        let recheck_at = self.now.plus(self.recheck_interval());
        let queue_deadline = self.queue_deadline(request);
        if queue_deadline > self.now {
            queue_deadline.min(recheck_at)
        } else {
            recheck_at
        }
    }

    /// Dispatches queued requests of the server's group after an event of that server.
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

    /// Gives the final answer: a rejection if the request can be repeated safely, otherwise a failure.
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

    /// Whether a repetition by the client, through any router, cannot take effect twice.
    fn can_be_repeated(&self, request: &Request) -> bool {
        let has_not_run = request.in_flight.is_empty() && request.possible_effect.is_none();
        has_not_run
            || matches!(
                self.repetition_rule(request),
                Idempotency::Idempotent
                    | Idempotency::Keyed {
                        scope: DeduplicationScope::All,
                        ..
                    }
            )
    }

    fn retry_after(&self) -> Duration {
        self.tightest_objective
            .mul_f64(self.tuning.backoff_max)
            .min(self.settings.max_retry_after)
    }

    /// Removes a request that needs no further answer.
    pub(crate) fn remove_request(&mut self, id: RequestId) {
        if let Some(request) = self.requests.remove(&id) {
            self.queue
                .remove(&(request.arrival.group, request.arrived, id));
            self.timers
                .remove(&(request.deadline, TimerKind::Deadline(id)));
        }
    }
}
