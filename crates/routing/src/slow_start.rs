//! How a starting server's share of the work is spread over time and over routers.
//!
//! What all routers together send to a starting server in a short time is to stay below a bound, and they do not talk.
//! An independent draw for each request keeps the mean only: what was held until the server was listed comes at once,
//! heavy requests count no more than light ones, and the draws of many routers add up by chance.
//!
//! Here the time since the server's start, which all routers know from the list, is cut into slices. In each slice a
//! router may send the server its part of the work that usually comes to that router in such a time, or that part of one
//! request, if that is more. Parts of requests are rounded by a point between 0 and 1: a request may go while what was
//! sent in the slice and that much of the request's own work stay within the quota. The points of all routers in one
//! slice lie evenly (multiples of an irrational number, by the router's number), so that of many routers with a tenth of a
//! request each a tenth send one. From slice to slice all points move by the same step, so that each router has its
//! turns.

use crate::interface::Time;
use std::time::Duration;

/// Their multiples lie about evenly between 0 and 1 for any number of them, and evenly beside each other. Routers go by
/// another sequence than `subsetting::order`, which puts the members in an order by the router's number too: else those
/// whose turn it is would be the ones that meet other members first.
const GOLDEN: f64 = 0.618_033_988_749_895;
const ROOT_OF_TWO: f64 = std::f64::consts::SQRT_2 - 1.0;

/// Work and requests that usually come to a router, as moving sums from when the first came.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UsualWork {
    work: f64,
    requests: f64,
    first: Option<Time>,
    last: Time,
}

impl UsualWork {
    pub(crate) fn add(&mut self, work: Duration, now: Time, memory: Duration) {
        let left = fading(now.since(self.last), memory);
        self.work = self.work * left + work.as_secs_f64();
        self.requests = self.requests * left + 1.0;
        self.first.get_or_insert(now);
        self.last = now;
    }

    /// What came in the memory's time. What began less than `least` ago counts as spread over that long.
    pub(crate) fn over(&self, now: Time, memory: Duration, least: Duration) -> Usual {
        let Some(first) = self.first else {
            return Usual::default();
        };
        let seen = memory.as_secs_f64() * (1.0 - fading(now.since(first).max(least), memory));
        let left = fading(now.since(self.last), memory);
        Usual {
            per_second: self.work * left / seen,
            mean: self.work / self.requests,
        }
    }
}

/// Seconds of work that usually come to a router in a second, and with one request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usual {
    per_second: f64,
    mean: f64,
}

impl Usual {
    /// Whether less than so much work usually comes in a slice.
    pub(crate) fn is_less(&self, slice: Duration, work: Duration) -> bool {
        self.per_second * slice.as_secs_f64() < work.as_secs_f64()
    }

    /// Seconds of work that a request of so much work may count on in a slice, if the server bore all of them: those
    /// that usually come in such a time, or its own. Less for a heavy one, by this power of how much heavier than the
    /// mean it is: a few of those at once are what goes far beyond the mean.
    pub(crate) fn quota(&self, slice: Duration, work: Duration, care: f64) -> f64 {
        let work = work.as_secs_f64();
        let lightness = (self.mean / work).min(1.0).powf(care);
        (self.per_second * slice.as_secs_f64()).max(work) * lightness
    }
}

/// What is left of a memory after `age`.
fn fading(age: Duration, memory: Duration) -> f64 {
    (-age.div_duration_f64(memory)).exp()
}

/// Where in a server's slow start a router stands, the same for all routers but for `number`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Turn {
    pub(crate) slice: u64,
    /// From 0 to 1.
    pub(crate) point: f64,
}

impl Turn {
    /// `age`: time since the server started; `number`: the router's, from 0; `place`: the server's in its group, as a
    /// part of all members, so that one router has its turns with the members of a group at different times.
    pub(crate) fn at(age: Duration, slice: Duration, number: u32, place: f64) -> Turn {
        let slice = age.div_duration_f64(slice) as u64;
        let router = f64::from(number) * ROOT_OF_TWO;
        Turn {
            slice,
            point: (router + place + (slice as f64 * GOLDEN).fract()).fract(),
        }
    }
}

/// What one router has sent one starting server in the present slice, in seconds of work.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sent {
    slice: u64,
    work: f64,
}

impl Sent {
    fn in_slice(&self, slice: u64) -> f64 {
        if self.slice == slice {
            self.work
        } else {
            0.0
        }
    }

    /// Whether a request of so much work may go in this turn, of all of which `quota` may.
    pub(crate) fn allows(&self, turn: Turn, quota: f64, work: Duration) -> bool {
        self.in_slice(turn.slice) + turn.point * work.as_secs_f64() < quota
    }

    pub(crate) fn add(&mut self, turn: Turn, work: Duration) {
        let before = self.in_slice(turn.slice);
        *self = Sent {
            slice: turn.slice,
            work: before + work.as_secs_f64(),
        };
    }
}
