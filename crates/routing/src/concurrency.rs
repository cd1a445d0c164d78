//! Adaptive concurrency limit: how many attempts of this router a server may have at once.
//!
//! Guards against queues that grow unseen by the routers (overload, slow servers, load from other clients).
//!
//! - **Inputs**: moving averages of each server's latency (seconds) and of latency divided by objective.
//! - **Rule**: a late answer, while the average is above `Tuning::limit_high_latency`, multiplies the limit by
//!   `Tuning::limit_cut`, once for all attempts sent before the reduction; so do rejections and time-outs. While the
//!   average is low, an answer that used the limit raises it by the reciprocal of the limit, so that the limit grows by
//!   one attempt for as many answers as the limit.
//! - **Server without attempts in flight**: it gets one attempt, or none, by a random draw with the probability that
//!   its recent answers were in time. In a large fleet the probability for reads is the square of the fraction that was
//!   clearly in time: with one attempt from each of many routers, a full queue that is fed by retries would never
//!   empty. A write is judged by its own objective, since a latency that is late for reads may be in time for the
//!   write. There is one draw for each request and server.
//! - **Cost**: a server that is slow for a reason other than its load gets less than it could handle.

#[cfg(test)]
mod tests;

use crate::averages::exponential_average;
use crate::interface::*;
use crate::random::unit_hash;
use crate::state::{Request, Router, Server};
use crate::tuning::MIN_SPAN;
use std::time::Duration;

impl Server {
    /// Reduces the limit at most once for all attempts sent before the last reduction: their results say nothing about
    /// the limit since then.
    fn reduce_limit(&mut self, factor: f64, now: Time, sent: Time) {
        if sent >= self.limit_reduced {
            let used = self.in_flight.len() as f64 + 1.0;
            self.concurrency_limit = (factor * self.concurrency_limit.min(used)).max(1.0);
            self.limit_reduced = now;
        }
    }
}

impl Router {
    /// Whether the server may get one more attempt of this router. `fraction`: part of the limit that is open to this
    /// request, from 0 to 1.
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
        // In a large fleet a late answer excludes the server for longer; otherwise all routers would return at once.
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

    /// Adds an answer's latency to the server's averages. `weight`: weight of the new sample; `Tuning::latency_weight`
    /// is the minimum.
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

    /// Reduces the limit after a late answer; raises it after an early one that used the limit.
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

    /// Reduces the limit after the server rejected an attempt or let it time out.
    pub(crate) fn reduce_limit(&mut self, id: ServerId, sent: Time) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.reduce_limit(self.tuning.limit_cut, self.now, sent);
        }
    }
}
