//! How the budget of a server that warms up is spread over time and over routers. Arithmetic only.
//!
//! What all routers together send to such a server in a short time has to stay below a bound, without talk between them.
//! An independent draw for each request keeps the mean only: what was queued until the server was listed comes at once,
//! heavy requests count no more than light ones, and the draws of many routers add up by chance.
//!
//! So the time since the server's start, which all routers know from the endpoint list, is cut into slices. In each slice
//! a router may send the server its quota of the work that usually comes to that router in such a time, or of one
//! request, if that is more. Fractions of requests are rounded by a threshold between 0 and 1: a request may go while
//! what was sent in the slice, and that much of the request's own work, stay within the quota. The thresholds of all
//! routers in one slice lie evenly (multiples of an irrational number, by the router's number), so that of many routers
//! with a tenth of a request each, a tenth send one. From slice to slice all thresholds move by the same step, so that
//! each router gets its turns.

#[cfg(test)]
mod tests;

use crate::averages::decay;
use crate::interface::Time;
use std::time::Duration;

/// Multiples of these lie evenly between 0 and 1, however many there are. Routers use another sequence than
/// `subsetting::order_by_preference`, which orders the members by the router's number too: otherwise those whose turn it is would be
/// the ones that meet the same members first.
const GOLDEN: f64 = 0.618_033_988_749_895;
const ROOT_OF_TWO: f64 = std::f64::consts::SQRT_2 - 1.0;

/// Work (seconds) and requests that usually come to a router, as decaying sums since the first.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UsualWork {
    work: f64,
    requests: f64,
    first: Option<Time>,
    last: Time,
}

impl UsualWork {
    pub(crate) fn add(&mut self, work: Duration, now: Time, memory: Duration) {
        let left = decay(now.since(self.last), memory);
        self.work = self.work * left + work.as_secs_f64();
        self.requests = self.requests * left + 1.0;
        self.first.get_or_insert(now);
        self.last = now;
    }

    /// What comes per second, by the memory's time constant. What began less than `least` ago counts as spread over that.
    pub(crate) fn over(&self, now: Time, memory: Duration, least: Duration) -> UsualRate {
        let Some(first) = self.first else {
            return UsualRate::default();
        };
        let observed = memory.as_secs_f64() * (1.0 - decay(now.since(first).max(least), memory));
        let left = decay(now.since(self.last), memory);
        UsualRate {
            per_second: self.work * left / observed,
            mean: self.work / self.requests,
        }
    }
}

/// Seconds of work that usually come to a router in a second, and with one request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UsualRate {
    per_second: f64,
    mean: f64,
}

impl UsualRate {
    /// Whether less than so much work usually comes in a slice.
    pub(crate) fn is_less(&self, slice: Duration, work: Duration) -> bool {
        self.per_second * slice.as_secs_f64() < work.as_secs_f64()
    }

    /// Seconds of work that a request of this work may count on in a slice, if the server bore all of them: those that
    /// usually come in such a time, or its own. Less for a heavy one, by this power of how much heavier than the mean it
    /// is: a few of those at once go far beyond the mean.
    pub(crate) fn budget(&self, slice: Duration, work: Duration, heavy_exponent: f64) -> f64 {
        let work = work.as_secs_f64();
        let lightness = (self.mean / work).min(1.0).powf(heavy_exponent);
        (self.per_second * slice.as_secs_f64()).max(work) * lightness
    }
}

/// Where in a server's slow start a router stands; the same for all routers but for the router's number.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Turn {
    pub(crate) slice: u64,
    /// Rounding threshold of this router in this slice, from 0 to 1.
    pub(crate) threshold: f64,
}

impl Turn {
    /// `age`: time since the server started; `place`: the server's in its group, as a fraction of all members, so that a
    /// router has its turns with the members of a group at different times.
    pub(crate) fn at(age: Duration, slice: Duration, router_index: u32, place: f64) -> Turn {
        let slice = age.div_duration_f64(slice) as u64;
        let router = f64::from(router_index) * ROOT_OF_TWO;
        Turn {
            slice,
            threshold: (router + place + (slice as f64 * GOLDEN).fract()).fract(),
        }
    }
}

/// What one router has sent one server in the present slice, in seconds of work.
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

    /// Whether a request of this work may go in this turn, in which `budget` seconds of work may.
    pub(crate) fn allows(&self, turn: Turn, budget: f64, work: Duration) -> bool {
        self.in_slice(turn.slice) + turn.threshold * work.as_secs_f64() < budget
    }

    pub(crate) fn add(&mut self, turn: Turn, work: Duration) {
        let before = self.in_slice(turn.slice);
        *self = SliceSpending {
            slice: turn.slice,
            work: before + work.as_secs_f64(),
        };
    }
}
