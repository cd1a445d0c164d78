//! One pool.

use std::time::Duration;

use crate::Time;

/// Priority of a request within a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Leaves two reserves to others.
    Low,
    /// Leaves one reserve to others.
    #[default]
    Normal,
    /// May use all.
    High,
}

/// A bound on the rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Time from request to request.
    pub interval: Duration,
    /// Requests that may come at once.
    pub burst: u32,
}

/// Settings of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Its name.
    pub name: String,
    /// Most requests in flight.
    pub max_in_flight: Option<u32>,
    /// Bound on the rate.
    pub rate: Option<Rate>,
    /// The part of both bounds that a priority leaves to the next higher one.
    pub reserve: f64,
    /// What rejected requests are told; otherwise it is computed.
    pub retry_after: Option<Duration>,
}

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It counts against the pool until it is released.
    Admitted,
    /// It is not.
    Rejected {
        /// Which bound is reached.
        cause: RejectionCause,
        /// When to retry.
        retry_after: Duration,
    },
}

/// The bound that a rejected request met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionCause {
    /// Too many requests are in flight.
    Concurrency,
    /// Requests arrive too fast.
    Rate,
}

/// Counts of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests admitted so far.
    pub admitted: u64,
    /// Requests rejected for too many in flight.
    pub rejected_concurrency: u64,
    /// Requests rejected for the rate.
    pub rejected_rate: u64,
}

/// Weight of a new duration in the average: one in so many.
const AVERAGE_LENGTH: u32 = 8;
/// The average before there is one.
const INITIAL_AVERAGE: Duration = Duration::from_millis(100);
/// Bounds of a computed time to retry: sooner costs more than it gains, later loses clients.
pub(crate) const RETRY_AFTER_LEAST: Duration = Duration::from_millis(10);
pub(crate) const RETRY_AFTER_MOST: Duration = Duration::from_secs(2);

#[derive(Debug)]
pub(crate) struct Pool {
    pub name: String,
    /// None: it is not configured any more, and goes once nothing is in flight.
    pub settings: Option<Settings>,
    pub counts: Counts,
    /// When the rate has caught up with all that was admitted (the theoretical arrival time).
    arrival_time: Time,
    /// Moving average of how long a request is in flight.
    average_in_flight: Duration,
    /// Requests rejected since one was last released or admitted.
    rejected_in_row: u32,
}

/// The part of a bound that is open to a priority: at least one, or it would never be served.
fn open_to(bound: u32, reserve: f64, priority: Priority) -> u32 {
    let reserves = match priority {
        Priority::High => 0.0,
        Priority::Normal => 1.0,
        Priority::Low => 2.0,
    };
    let open = f64::from(bound) * (1.0 - reserve * reserves).max(0.0);
    (open.floor() as u32).clamp(1, bound.max(1))
}

impl Pool {
    pub fn new(settings: &Settings) -> Pool {
        Pool {
            name: settings.name.clone(),
            settings: Some(settings.clone()),
            counts: Counts::default(),
            arrival_time: Time::ZERO,
            average_in_flight: INITIAL_AVERAGE,
            rejected_in_row: 0,
        }
    }

    /// Not configured any more, and nothing in flight.
    pub fn is_unused(&self) -> bool {
        self.settings.is_none() && self.counts.in_flight == 0
    }

    pub fn admit(&mut self, priority: Priority, now: Time) -> Admission {
        let Some(settings) = &self.settings else {
            self.counts.in_flight += 1;
            return Admission::Admitted;
        };
        let (max_in_flight, rate, reserve) =
            (settings.max_in_flight, settings.rate, settings.reserve);
        if let Some(bound) = max_in_flight {
            let open = open_to(bound, reserve, priority);
            if self.counts.in_flight >= open {
                return self.reject_for_concurrency(open);
            }
        }
        if let Some(rate) = rate {
            let tolerance = rate.interval * open_to(rate.burst, reserve, priority);
            let next = self.arrival_time.max(now) + rate.interval;
            if next > now + tolerance {
                return self.reject_for_rate(next - now - tolerance, rate.interval);
            }
            self.arrival_time = next;
        }
        self.rejected_in_row = 0;
        self.counts.in_flight += 1;
        self.counts.admitted += 1;
        Admission::Admitted
    }

    /// Requests end one by one, each after its part of the time that they are in flight.
    fn reject_for_concurrency(&mut self, open: u32) -> Admission {
        self.counts.rejected_concurrency += 1;
        self.rejected_in_row = self.rejected_in_row.saturating_add(1);
        let wait = self.average_in_flight / open * self.rejected_in_row;
        self.reject(RejectionCause::Concurrency, wait)
    }

    /// `early`: how much too early the request is.
    fn reject_for_rate(&mut self, early: Duration, interval: Duration) -> Admission {
        self.counts.rejected_rate += 1;
        self.rejected_in_row = self.rejected_in_row.saturating_add(1);
        let wait = early + interval * (self.rejected_in_row - 1);
        self.reject(RejectionCause::Rate, wait)
    }

    fn reject(&self, cause: RejectionCause, wait: Duration) -> Admission {
        let configured = self.settings.as_ref().and_then(|s| s.retry_after);
        Admission::Rejected {
            cause,
            retry_after: configured.unwrap_or(wait.clamp(RETRY_AFTER_LEAST, RETRY_AFTER_MOST)),
        }
    }

    pub fn release(&mut self, in_flight: Duration) {
        self.counts.in_flight = self.counts.in_flight.saturating_sub(1);
        self.average_in_flight =
            (self.average_in_flight * (AVERAGE_LENGTH - 1) + in_flight) / AVERAGE_LENGTH;
        self.rejected_in_row = self.rejected_in_row.saturating_sub(1);
    }
}
