//! One pool: its settings, counts, and admission.

use std::time::Duration;

use crate::Time;

/// Priority of a request within a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Leaves two reserves to higher priorities.
    Low,
    /// Leaves one reserve to higher priorities.
    #[default]
    Normal,
    /// May use the whole bound.
    High,
}

/// Bound on the rate of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Interval between requests at the maximum rate.
    pub interval: Duration,
    /// Maximum number of requests that may arrive at once.
    pub burst: u32,
}

/// Settings of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the pool.
    pub name: String,
    /// Maximum number of requests in flight; `None` if unbounded.
    pub max_in_flight: Option<u32>,
    /// Bound on the rate; `None` if unbounded.
    pub rate: Option<Rate>,
    /// Part of each bound, 0 to 1, that a priority leaves to the next higher one.
    pub reserve: f64,
    /// Fixed time to retry for rejected requests; `None` if it is computed.
    pub retry_after: Option<Duration>,
}

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is admitted. It counts against the pool until it is released.
    Admitted,
    /// The request is rejected.
    Rejected {
        /// Bound that is reached.
        cause: RejectionCause,
        /// Time after which to retry.
        retry_after: Duration,
    },
}

/// The bound that led to a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionCause {
    /// The maximum number of requests is in flight.
    Concurrency,
    /// Requests arrive faster than the maximum rate.
    Rate,
}

/// Counts of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Number of requests admitted so far.
    pub admitted: u64,
    /// Number of requests rejected because of [`RejectionCause::Concurrency`].
    pub rejected_concurrency: u64,
    /// Number of requests rejected because of [`RejectionCause::Rate`].
    pub rejected_rate: u64,
}

/// A new duration has a weight of 1 divided by this in the moving average.
const AVERAGE_DIVISOR: u32 = 8;
/// Initial value of the moving average.
const INITIAL_AVERAGE: Duration = Duration::from_millis(100);
/// Bounds of a computed time to retry: earlier retries cost more than they gain, and later ones lose clients.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
pub(crate) const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

#[derive(Debug)]
pub(crate) struct Pool {
    pub name: String,
    /// `None` if the pool is no longer configured; it is then removed once nothing is in flight.
    pub settings: Option<Settings>,
    pub counts: Counts,
    /// Theoretical arrival time of the generic cell rate algorithm: the time at which the rate has caught up with all admitted
    /// requests.
    theoretical_arrival: Time,
    /// Moving average of the time that a request is in flight.
    average_in_flight: Duration,
    /// Number of rejections since the last admission, less one for each release.
    consecutive_rejections: u32,
}

/// Part of a bound that is available to a priority: at least 1, since the priority would otherwise never be served.
fn available_to(bound: u32, reserve: f64, priority: Priority) -> u32 {
    let reserves = match priority {
        Priority::High => 0.0,
        Priority::Normal => 1.0,
        Priority::Low => 2.0,
    };
    let available = f64::from(bound) * (1.0 - reserve * reserves).max(0.0);
    (available.floor() as u32).clamp(1, bound.max(1))
}

impl Pool {
    pub fn new(settings: &Settings) -> Pool {
        Pool {
            name: settings.name.clone(),
            settings: Some(settings.clone()),
            counts: Counts::default(),
            theoretical_arrival: Time::ZERO,
            average_in_flight: INITIAL_AVERAGE,
            consecutive_rejections: 0,
        }
    }

    /// Whether the pool is no longer configured and has no requests in flight.
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
            let available = available_to(bound, reserve, priority);
            if self.counts.in_flight >= available {
                return self.reject_for_concurrency(available);
            }
        }
        if let Some(rate) = rate {
            let tolerance = rate.interval * available_to(rate.burst, reserve, priority);
            let next = self.theoretical_arrival.max(now) + rate.interval;
            if next > now + tolerance {
                return self.reject_for_rate(next - now - tolerance, rate.interval);
            }
            self.theoretical_arrival = next;
        }
        self.consecutive_rejections = 0;
        self.counts.in_flight += 1;
        self.counts.admitted += 1;
        Admission::Admitted
    }

    /// Computes the time to retry from the average time in flight: of the available places, one becomes free after each
    /// corresponding fraction of it.
    fn reject_for_concurrency(&mut self, available: u32) -> Admission {
        self.counts.rejected_concurrency += 1;
        self.consecutive_rejections = self.consecutive_rejections.saturating_add(1);
        let wait = self.average_in_flight / available * self.consecutive_rejections;
        self.reject(RejectionCause::Concurrency, wait)
    }

    /// `excess`: time by which the request is too early.
    fn reject_for_rate(&mut self, excess: Duration, interval: Duration) -> Admission {
        self.counts.rejected_rate += 1;
        self.consecutive_rejections = self.consecutive_rejections.saturating_add(1);
        let wait = excess + interval * (self.consecutive_rejections - 1);
        self.reject(RejectionCause::Rate, wait)
    }

    fn reject(&self, cause: RejectionCause, wait: Duration) -> Admission {
        let configured = self.settings.as_ref().and_then(|s| s.retry_after);
        Admission::Rejected {
            cause,
            retry_after: configured.unwrap_or(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)),
        }
    }

    pub fn release(&mut self, in_flight: Duration) {
        self.counts.in_flight = self.counts.in_flight.saturating_sub(1);
        self.average_in_flight =
            (self.average_in_flight * (AVERAGE_DIVISOR - 1) + in_flight) / AVERAGE_DIVISOR;
        self.consecutive_rejections = self.consecutive_rejections.saturating_sub(1);
    }
}
