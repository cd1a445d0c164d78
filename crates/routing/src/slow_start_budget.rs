//! Distribution of a warming server's budget over time and over routers. Arithmetic only.
//!
//! The load that all routers together send to such a server within a short time has to stay below a bound, without
//! communication between routers. An independent random draw for each request bounds only the mean: requests queued
//! until the server was listed are sent at once, heavy requests count no more than light ones, and the draws of many
//! routers add up by chance.
//!
//! Therefore the time since the server's start, which all routers know from the endpoint list, is divided into slices.
//! In each slice a router may send the server its quota of the work that is usually offered to that router in a slice,
//! or of one request if that is more. Fractions of requests are rounded by a threshold between 0 and 1: a request may
//! be sent while the work sent in the slice, plus the request's own work times the threshold, stays within the quota.
//! The thresholds of all routers in one slice are evenly distributed (multiples of an irrational number, by the
//! router's index): of many routers with a quota of a tenth of a request, a tenth send one. From slice to slice all
//! thresholds move by the same step, so that each router gets its turn.

#[cfg(test)]
mod tests;

use crate::averages::decay;
use crate::interface::Time;
use std::time::Duration;

/// Multiples of these constants, modulo 1, are evenly distributed between 0 and 1 for any count. The sequence of
/// routers differs from that of `subsetting::order_by_preference`, which also orders the members by the router's index:
/// otherwise the routers that may send in a slice would be those with the same members first in their order.
const GOLDEN_RATIO_CONJUGATE: f64 = 0.618_033_988_749_895;
const SQRT_2_FRACTION: f64 = std::f64::consts::SQRT_2 - 1.0;

/// Offered work (seconds) and number of requests of a router, as decaying sums since the first request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OfferedWork {
    work: f64,
    requests: f64,
    first: Option<Time>,
    last: Time,
}

impl OfferedWork {
    pub(crate) fn add(&mut self, work: Duration, now: Time, time_constant: Duration) {
        let remaining = decay(now.since(self.last), time_constant);
        self.work = self.work * remaining + work.as_secs_f64();
        self.requests = self.requests * remaining + 1.0;
        self.first.get_or_insert(now);
        self.last = now;
    }

    /// Offered load according to the decaying sums. If the first request came less than `min_span` ago, the work counts
    /// as spread over `min_span`.
    pub(crate) fn load(
        &self,
        now: Time,
        time_constant: Duration,
        min_span: Duration,
    ) -> OfferedLoad {
        let Some(first) = self.first else {
            return OfferedLoad::default();
        };
        let observed = time_constant.as_secs_f64()
            * (1.0 - decay(now.since(first).max(min_span), time_constant));
        let remaining = decay(now.since(self.last), time_constant);
        OfferedLoad {
            per_second: self.work * remaining / observed,
            mean: self.work / self.requests,
        }
    }
}

/// Seconds of work offered to a router per second (`per_second`), and per request (`mean`).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OfferedLoad {
    per_second: f64,
    mean: f64,
}

impl OfferedLoad {
    /// Whether the work usually offered in a slice is less than `work`.
    pub(crate) fn is_below(&self, slice: Duration, work: Duration) -> bool {
        self.per_second * slice.as_secs_f64() < work.as_secs_f64()
    }

    /// Work (seconds) in a slice that a request of this work may count on, if the server could handle all of it: the
    /// work usually offered in a slice, or the request's own if larger. It is reduced for a request heavier than the
    /// mean, by `heavy_exponent` of the ratio, since a few heavy requests at once go far beyond the mean.
    pub(crate) fn budget(&self, slice: Duration, work: Duration, heavy_exponent: f64) -> f64 {
        let work = work.as_secs_f64();
        let heavy_factor = (self.mean / work).min(1.0).powf(heavy_exponent);
        (self.per_second * slice.as_secs_f64()).max(work) * heavy_factor
    }
}

/// Position of a router in a server's slow start. Only the router's index makes it differ between routers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStartPhase {
    pub(crate) slice: u64,
    /// Rounding threshold of this router in this slice, from 0 to 1.
    pub(crate) threshold: f64,
}

impl SlowStartPhase {
    /// `age`: time since the server started; `offset`: the server's index in its group divided by the number of
    /// members, so that a router's turns at the members of a group are at different times.
    pub(crate) fn at(
        age: Duration,
        slice: Duration,
        router_index: u32,
        offset: f64,
    ) -> SlowStartPhase {
        let slice = age.div_duration_f64(slice) as u64;
        let router = f64::from(router_index) * SQRT_2_FRACTION;
        SlowStartPhase {
            slice,
            threshold: (router + offset + (slice as f64 * GOLDEN_RATIO_CONJUGATE).fract()).fract(),
        }
    }
}

/// Work (seconds) that one router has sent to one server in the current slice.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SliceSpending {
    slice: u64,
    work: f64,
}

impl SliceSpending {
    fn in_slice(&self, slice: u64) -> f64 {
        if self.slice == slice {
            self.work
        } else {
            0.0
        }
    }

    /// Whether a request of this work may be sent in this phase, with a budget of `budget` seconds of work.
    pub(crate) fn allows(&self, phase: SlowStartPhase, budget: f64, work: Duration) -> bool {
        self.in_slice(phase.slice) + phase.threshold * work.as_secs_f64() < budget
    }

    pub(crate) fn add(&mut self, phase: SlowStartPhase, work: Duration) {
        let before = self.in_slice(phase.slice);
        *self = SliceSpending {
            slice: phase.slice,
            work: before + work.as_secs_f64(),
        };
    }
}
