//! Constants of the rules, with unit and purpose.
//!
//! Constants that experiments vary are fields of [`Tuning`]. Each has a second name, its key in the experiments'
//! language and in stored results; the keys are mapped here and nowhere else. "Objectives" as a unit means multiples of
//! the tightest latency objective of all classes, so that the rules scale with the deployment.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// Declares [`Tuning`]: `field as "key": default`.
macro_rules! tuning {
    ($($(#[$doc:meta])* $name:ident as $key:literal: $value:expr,)*) => {
        /// The rules' constants as one value, so that experiments can vary them.
        #[derive(Clone, Copy, Debug, PartialEq)]
        pub struct Tuning {
            $($(#[$doc])* pub $name: f64,)*
        }

        impl Default for Tuning {
            fn default() -> Tuning {
                Tuning { $($name: $value,)* }
            }
        }

        impl Tuning {
            /// Keys of the constants in the experiments' language, in the order of the fields.
            pub const NAMES: &'static [&'static str] = &[$($key,)*];

            /// The constant with this key; none if the key is unknown.
            pub fn get(&self, key: &str) -> Option<f64> {
                match key {
                    $($key => Some(self.$name),)*
                    _ => None,
                }
            }

            /// Sets the constant with this key; false if the key is unknown.
            pub fn set(&mut self, key: &str, value: f64) -> bool {
                match key {
                    $($key => self.$name = value,)*
                    _ => return false,
                }
                true
            }
        }
    };
}

tuning! {
    /// Weight of a new sample in a moving average (run times, average priority, age of reports) and largest weight of
    /// one answer in an admission fraction. The standard deviation of run times is about their mean, hence about ten
    /// answers.
    sample_weight as "run_weight": 0.1,
    /// Factor on `sample_weight` for a time above a class's average work. Longer times include waiting. With their full
    /// weight, writes that wait for slow replicas would seem to have too low a priority and lose the primary to reads.
    longer_work_weight as "work_rise": 0.2,
    /// A server's position is probed again after this fraction of the tightest staleness bound.
    probe_interval as "ask_again": 0.25,
    /// Fraction of the client's time for which a request is queued without a primary, or without capacity if a late
    /// answer has no weight. Under half, so that a rejected client has time left to retry.
    queue_time_fraction as "hold_share": 0.45,
    /// First backoff after a hard failure, in objectives; doubled with each consecutive failure up to `backoff_max`.
    backoff_initial as "rest_first": 0.25,
    /// Longest backoff, in objectives; well below the duration of an election, so that a new primary is found soon.
    backoff_max as "rest_max": 2.0,
    /// A queued request is dispatched again after this many objectives unless an event does so earlier.
    recheck_interval as "recheck": 0.1,
    /// Fraction of the overload factor that the routers use of a server that warms up; the rest is a margin for demand
    /// above the usual.
    slow_start_margin as "cold_caution": 0.8,
    /// Length of a slow-start slice, as a fraction of the time within which overload makes a server collapse.
    slow_start_slice as "cold_slice": 0.5,
    /// Exponent by which the slow-start quota of a request falls with its work divided by the mean: of a few requests,
    /// several heavy ones at once cause an overload.
    slow_start_heavy_exponent as "cold_light": 1.5,
    /// Rise of ramp confidence during one overload duration, while answers are fast.
    ramp_rise as "trust_rise": 1.0,
    /// An answer is fast below this multiple of the latency that the server's present capacity allows ...
    ramp_latency_factor as "trust_late": 2.0,
    /// ... and below this fraction of its objective.
    ramp_objective_fraction as "trust_aim": 0.75,
    /// Upper limit of ramp confidence; the lower limit is 1.
    ramp_confidence_max as "trust_most": 3.0,
    /// Factor on ramp confidence after a slow answer.
    ramp_cut as "trust_cut": 0.8,
    /// Initial concurrency limit of a server, in attempts.
    initial_concurrency_limit as "room_start": 1.0,
    /// Time constant of the decay of estimates without new answers, in objectives.
    estimate_time_constant as "forget": 10.0,
    /// Up to this many routers a fleet is small: each router sees enough answers to judge servers by its own attempts.
    small_fleet_size as "few": 8.0,
    /// Average of latency divided by objective above which a late answer reduces the concurrency limit. Half of the
    /// objective, since the standard deviation of latencies is about their mean.
    limit_high_latency as "room_late": 0.5,
    /// Fraction of `limit_high_latency` below which the limit may grow.
    limit_low_latency as "room_easy": 0.7,
    /// Upper limit of an admission fraction. Above 1, so that requests are shed only after several late answers.
    admission_max as "door": 1.5,
    /// Ratio between the fall of an admission fraction after a late answer and its rise after an answer in time.
    admission_fall as "door_fall": 4.0,
    /// Same as `admission_fall` for over-quota requests, which are shed at the first late answers.
    over_quota_admission_fall as "spare_fall": 30.0,
    /// Exponent on the decay of the admission fraction over all groups, which makes it slower than that of others.
    admission_decay as "door_fade": 0.1,
    /// Lower limit of an admission fraction: without any request a router could not detect that servers have recovered.
    admission_min as "door_least": 0.05,
    /// Lowest weight of a new answer in a server's moving averages of latency.
    latency_weight as "room_weight": 0.2,
    /// Factor by which a concurrency limit is reduced.
    limit_cut as "room_cut": 0.8,
    /// Lowest fraction of the primary's concurrency limit that is open to reads which replicas could answer.
    primary_read_fraction_min as "reads_at_primary": 0.5,
    /// A client's retry with less time left than this fraction of the longest time of first requests counts as late.
    late_retry_fraction as "less_time": 0.95,
}

/// Unit of the delay before the next poll of the endpoint list after a failure; doubled with each failure.
pub(crate) const POLL_BACKOFF_UNIT: Duration = Duration::from_millis(125);
/// Time that discovery needs for one call. The calls of a large fleet are spread over this time per router.
pub(crate) const POLL_SPACING: Duration = Duration::from_millis(80);
/// From the second failure on, calls come after this fraction of the spread, so that each router keeps its slot in it.
pub(crate) const POLL_SLOT_FRACTION: f64 = 0.75;
/// A repetition of a keyed request is not sent within this time before its window ends: it has to arrive inside it.
pub(crate) const DEDUPLICATION_MARGIN: Duration = Duration::from_millis(20);
/// Groups without servers that are kept, since servers of a group may come back after all have left.
pub(crate) const MAX_DEPARTED_GROUPS: usize = 1_024;
/// Sessions whose last write is stored. Beyond that, old entries are replaced by one position that binds all sessions.
pub(crate) const MAX_SESSION_WRITES: usize = 100_000;
/// A timed-out attempt that this many later ones have overtaken shows a fault of its connection, not of the server.
pub(crate) const OVERTAKEN_LIMIT: u32 = 4;
/// Queued requests dispatched for one event; bounds the time that an event takes.
pub(crate) const MAX_DISPATCHES_PER_EVENT: usize = 16;
/// The tightest latency objective if no class has one.
pub(crate) const DEFAULT_OBJECTIVE: Duration = Duration::from_secs(1);
/// Replaces zero spans as divisors and where a span must not be zero.
pub(crate) const MIN_SPAN: Duration = Duration::from_micros(1);
