//! Distributions of the work per request, in microseconds of one core.

use crate::Micros;
use rand::Rng;
use rand_distr::{Distribution, Exp, LogNormal, Pareto};

/// A distribution of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Law {
    /// Always the mean.
    Fixed,
    /// Exponential.
    Exponential,
    /// Log-normal with a given coefficient of variation.
    LogNormal {
        /// Standard deviation divided by the mean.
        variation: f64,
    },
    /// Heavy-tailed. The shape must be above 1, since otherwise there is no mean.
    Pareto {
        /// The tail's exponent.
        shape: f64,
    },
}

/// Distribution of work with its mean. Draws are at least one microsecond.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// The distribution.
    pub law: Law,
    /// Mean, in microseconds of a core.
    pub mean: f64,
    /// Spread, from 0 to 1, of the factor per key: requests with the same key have similar work.
    pub by_key: f64,
}

impl Work {
    /// Work that does not depend on the key.
    pub fn new(law: Law, mean: f64) -> Work {
        Work {
            law,
            mean,
            by_key: 0.0,
        }
    }

    /// Draws the work of a request with this key.
    pub fn draw(&self, key: u64, stream: &mut impl Rng) -> Micros {
        let mean = self.mean * self.factor(key);
        let drawn = match self.law {
            Law::Fixed => Some(mean),
            Law::Exponential => Exp::new(1.0 / mean).ok().map(|law| law.sample(stream)),
            Law::LogNormal { variation } => {
                let sigma2 = (1.0 + variation * variation).ln();
                let law = LogNormal::new(mean.ln() - sigma2 / 2.0, sigma2.sqrt());
                law.ok().map(|law| law.sample(stream))
            }
            Law::Pareto { shape } => Pareto::new(mean * (shape - 1.0) / shape, shape)
                .ok()
                .map(|law| law.sample(stream)),
        };
        // Invalid parameters of a distribution fall back to the mean.
        drawn
            .filter(|w| w.is_finite())
            .unwrap_or(mean)
            .clamp(1.0, 1e12) as Micros
    }

    /// Factor of a key, between 1 - `by_key` and 1 + `by_key`: constant per key and 1 on average.
    fn factor(&self, key: u64) -> f64 {
        let mixed = key.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let part = (mixed >> 11) as f64 / (1_u64 << 53) as f64;
        1.0 + self.by_key.clamp(0.0, 1.0) * (2.0 * part - 1.0)
    }
}
