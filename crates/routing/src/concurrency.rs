//! Adaptive concurrency limit: how many of this router's attempts a server may have at once.
//!
//! Guards against queues that grow out of the routers' sight (overload, slow servers, others' load).
//!
//! **Inputs**: moving averages of each server's latency (seconds) and of latency over objective.
//! **Rule**: an answer that is late, while the average is above `Tuning::limit_high_latency`, multiplies the limit by
//! `Tuning::limit_cut`, once for all that was sent before; so do rejections and time-outs. While the average is low, an
//! answer that used the limit adds one attempt for each limit's worth of answers.
//! **A server with nothing in flight** gets one attempt, or none, by a draw with the probability that its answers were
//! in time of late. In a large fleet the probability for reads is the square of the part that came easily: routers are
//! too many with one attempt each, and a full queue, fed by retries of all, would never end. A write goes by its own
//! objective: what is late for reads may do for it. The draw is made once for each request and server.
//! **Cost**: a server that is slow for another reason than its load gets less than it could bear.

#[cfg(test)]
mod tests;

use crate::averages::exponential_average;
use crate::interface::*;
use crate::random::unit_hash;
use crate::state::{Request, Router, Server};
use crate::tuning::MIN_SPAN;
use std::time::Duration;

impl Server {
    /// At most one reduction for what was sent before it: that says nothing of the limit since.
    fn reduce_limit(&mut self, factor: f64, now: Time, sent: Time) {
        if sent >= self.limit_reduced {
            let used = self.in_flight.len() as f64 + 1.0;
            self.concurrency_limit = (factor * self.concurrency_limit.min(used)).max(1.0);
            self.limit_reduced = now;
        }
    }
}

impl Router {
    /// Whether the server may bear one more of this router's attempts. `fraction`: of its limit, open to this request.
    pub(crate) fn has_capacity(
        &self,
        request: &Request,
        id: ServerId,
        server: &Server,
        fraction: f64,
    ) -> bool {
        if !server.in_flight.is_empty() {
            let with_this = (server.in_flight.len() + 1) as f64;
            return with_this <= fraction * server.concurrency_limit;
        }
        let draw = unit_hash(self.hash_seed ^ request.arrival.id.0 ^ u64::from(id.0));
        draw < self.idle_server_probability(request, server, fraction)
    }

    fn idle_server_probability(&self, request: &Request, server: &Server, fraction: f64) -> f64 {
        let class = self.class(request.arrival.class);
        let is_write = class.consistency == Consistency::Write;
        // In a large fleet a late answer keeps a router off for longer: all would else come back at once.
        let decay = self
            .decay_since(server.latency_updated)
            .powf(self.fleet_share().sqrt());
        let latency_ratio = if is_write {
            server
                .latency
                .div_duration_f64(class.latency_objective.max(MIN_SPAN))
        } else {
            server.latency_ratio
        };
        let in_time = fraction * self.tuning.limit_high_latency / (latency_ratio * decay);
        if self.is_large_fleet() && !is_write {
            (self.tuning.limit_low_latency * in_time).powi(2)
        } else {
            in_time
        }
    }

    /// Takes an answer's latency into the server's averages. `weight`: of the new sample, at least the tuned one.
    pub(crate) fn update_latency_averages(
        &mut self,
        id: ServerId,
        latency: Duration,
        latency_ratio: f64,
        weight: f64,
    ) {
        let weight = weight.max(self.tuning.latency_weight);
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.latency_ratio += weight * (latency_ratio - server.latency_ratio);
        server.latency = exponential_average(server.latency, latency, weight);
    }

    /// A late answer reduces the limit; an early one that used it raises it.
    pub(crate) fn adapt_limit(
        &mut self,
        id: ServerId,
        sent: Time,
        latency: Duration,
        objective: Duration,
    ) {
        let tuning = self.tuning;
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        let is_late = latency > objective.mul_f64(tuning.limit_high_latency);
        let may_rise = server.latency_ratio < tuning.limit_low_latency * tuning.limit_high_latency;
        let uses_limit = server.in_flight.len() as f64 + 2.0 > server.concurrency_limit;
        if server.latency_ratio > tuning.limit_high_latency && is_late {
            server.reduce_limit(tuning.limit_cut, self.now, sent);
        } else if may_rise && uses_limit {
            server.concurrency_limit += 1.0 / server.concurrency_limit;
        }
    }

    /// The server rejected an attempt or let it time out.
    pub(crate) fn reduce_limit(&mut self, id: ServerId, sent: Time) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.reduce_limit(self.tuning.limit_cut, self.now, sent);
        }
    }
}
