//! Arithmetic of moving averages.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// Remaining fraction of an estimate after `age`: exponential decay with this time constant.
pub(crate) fn decay(age: Duration, time_constant: Duration) -> f64 {
    (-age.div_duration_f64(time_constant)).exp()
}

/// The exponential moving average after a new sample of this weight (0 to 1).
pub(crate) fn exponential_average(average: Duration, sample: Duration, weight: f64) -> Duration {
    average.mul_f64(1.0 - weight) + sample.mul_f64(weight)
}
