//! Slow start: budget of servers that warm up.
//!
//! A server that has just started has a fraction of its capacity (`Settings::initial_capacity_fraction`, growing to the
//! full capacity within `warm_up_duration`). It collapses if all routers together send it more than `overload_factor`
//! times its present capacity for `overload_duration`. Routers do not communicate, so each keeps to its share of that
//! bound in time slices, computed by `slow_start_budget`. This guards against many routers that each send just one
//! request, and against all requests queued for a server being sent at once.
//!
//! - **Inputs**: the work (seconds) offered to this router for the group, the server's age and capacity, and ramp
//!   confidence: a factor of at least 1 that grows while the server answers about as fast as its present capacity
//!   allows.
//! - **Rule**: the budget is the load that the server can handle even if its group is fully used. Reads are divided by
//!   the largest number of members that the group ever had; requests that require the primary all go to one member. A
//!   request is not sent again to a warming server that it was sent to before, clients' retries never go to a replica
//!   that warms up, and a primary that warms up gets no reads that replicas could answer. Each member has slices of its
//!   own, so that one member may get a request that another may not.

#[cfg(test)]
mod tests;

use crate::interface::*;
use crate::slow_start_budget::SlowStartPhase;
use crate::state::{Request, Router, Server};
use crate::tuning::{Tuning, MIN_SPAN};
use std::time::Duration;

impl Router {
    /// Counts a new request as offered work of its group, if a server has it: clients may name any group. Clients' retries
    /// do not count for replicas, since a warming replica gets none.
    pub(crate) fn record_offered_work(&mut self, id: RequestId) {
        let Some(Request { arrival, .. }) = self.requests.get(&id) else {
            return;
        };
        let work = self.class_work[usize::from(arrival.class.0)];
        let time_constant = self.settings.warm_up_duration.max(MIN_SPAN);
        let needs_primary = self.needs_primary(arrival.class);
        let counts = needs_primary || !arrival.is_client_retry;
        let group = self.groups.get_mut(&arrival.group).filter(|_| counts);
        if let Some(group) = group {
            group.offered_work[usize::from(needs_primary)].add(work, self.now, time_constant);
        }
    }

    /// Whether a server that warms up may get this request.
    pub(crate) fn slow_start_allows(
        &self,
        request: &Request,
        id: ServerId,
        server: &Server,
        is_primary: bool,
    ) -> bool {
        let retry_at_replica = !is_primary && request.arrival.is_client_retry;
        let read_at_primary = is_primary && !self.needs_primary(request.arrival.class);
        let repeated = request.attempted_servers.contains(&id);
        if retry_at_replica || read_at_primary || repeated {
            return false;
        }
        let work = self.class_work[usize::from(request.arrival.class.0)];
        let slice = self.slow_start_slice();
        let load = self.groups[&server.group].offered_work[usize::from(is_primary)].load(
            self.now,
            self.settings.warm_up_duration.max(MIN_SPAN),
            self.settings.overload_duration.max(MIN_SPAN),
        );
        let fraction = self.slow_start_fraction(server, is_primary);
        let phase = self.slow_start_phase(id, server, self.now);
        // Otherwise a queued request would get a chance in every slice, each with the whole budget for all requests.
        let has_waited = self.slow_start_phase(id, server, request.arrived).slice != phase.slice;
        if has_waited && load.is_below(slice, work) {
            return false;
        }
        let budget = fraction * load.budget(slice, work, self.tuning.slow_start_heavy_exponent);
        server.slow_start_spent.allows(phase, budget, work)
    }

    /// Fraction of the load offered for its role that a server may get while it warms up.
    fn slow_start_fraction(&self, server: &Server, is_primary: bool) -> f64 {
        let confidence = self.ramp_confidence
            + self.decay_since(server.latency_updated)
                * (server.ramp_confidence - self.ramp_confidence);
        let bound = server.capacity(&self.settings, self.now) * self.settings.overload_factor;
        let sustainable = self.tuning.slow_start_margin * confidence * bound;
        if is_primary {
            sustainable
        } else {
            sustainable / self.groups[&server.group].largest_size as f64
        }
    }

    fn slow_start_slice(&self) -> Duration {
        self.settings
            .overload_duration
            .mul_f64(self.tuning.slow_start_slice)
            .max(MIN_SPAN)
    }

    fn slow_start_phase(&self, id: ServerId, server: &Server, at: Time) -> SlowStartPhase {
        let lower = self
            .members(server.group)
            .iter()
            .filter(|&&member| member < id);
        let offset = lower.count() as f64 / self.groups[&server.group].largest_size as f64;
        SlowStartPhase::at(
            at.since(server.started),
            self.slow_start_slice(),
            self.settings.router_index,
            offset,
        )
    }

    /// Counts an attempt against the budget of a server that warms up.
    pub(crate) fn spend_slow_start_budget(&mut self, id: RequestId, to: ServerId) {
        let (Some(request), Some(server)) = (self.requests.get(&id), self.servers.get(&to)) else {
            return;
        };
        if !server.is_warming_up(&self.settings, self.now) {
            return;
        }
        let phase = self.slow_start_phase(to, server, self.now);
        let work = self.class_work[usize::from(request.arrival.class.0)];
        if let Some(server) = self.servers.get_mut(&to) {
            server.slow_start_spent.add(phase, work);
        }
    }

    /// Updates ramp confidence after an answer, for the server and, if it is warming up, for all such servers: the load
    /// on them is shared, and in a large fleet a router gets too few answers from each. An answer long after the last
    /// one confirms little.
    pub(crate) fn update_ramp_confidence(
        &mut self,
        id: ServerId,
        class: ClassId,
        objective: Duration,
        outcome: Outcome,
    ) {
        let (now, tuning) = (self.now, self.tuning);
        let overload_duration = self.settings.overload_duration.max(MIN_SPAN);
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        let capacity = server.capacity(&self.settings, now);
        let work = self.class_work[usize::from(class.0)];
        let lowest_ratio = work.div_duration_f64(objective) / capacity;
        let is_fast = outcome == Outcome::Ok && is_fast_for_ramp(server, lowest_ratio, &tuning);
        let adapted = |confidence: f64, updated: Time| {
            let span = now.since(updated);
            adapted_confidence(confidence, is_fast, span, overload_duration, &tuning)
        };
        server.ramp_confidence = adapted(server.ramp_confidence, server.latency_updated);
        if capacity < 1.0 {
            self.ramp_confidence = adapted(self.ramp_confidence, self.ramp_confidence_updated);
            self.ramp_confidence_updated = now;
        }
    }
}

/// Whether the server answers about as fast as its present capacity allows, so that it is not overloaded and can handle
/// more. `lowest_ratio`: latency divided by objective that the present capacity allows.
fn is_fast_for_ramp(server: &Server, lowest_ratio: f64, tuning: &Tuning) -> bool {
    server.latency_ratio
        < (tuning.ramp_latency_factor * lowest_ratio).min(tuning.ramp_objective_fraction)
}

/// Ramp confidence `span` after its last change. It rises with the confirmed time, which is at most a quarter of the
/// overload duration.
fn adapted_confidence(
    confidence: f64,
    is_fast: bool,
    span: Duration,
    overload_duration: Duration,
    tuning: &Tuning,
) -> f64 {
    let confirmed = span.min(overload_duration / 4);
    let rise = tuning.ramp_rise * confirmed.div_duration_f64(overload_duration);
    let adapted = if is_fast {
        confidence + rise
    } else {
        confidence * tuning.ramp_cut
    };
    adapted.clamp(1.0, tuning.ramp_confidence_max)
}
