//! How much work a request is, in microseconds of one core.

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
    /// With this coefficient of variation.
    LogNormal {
        /// Standard deviation divided by the mean.
        variation: f64,
    },
    /// A heavy tail; the shape is above 1, or there would be no mean.
    Pareto {
        /// The tail's exponent.
        shape: f64,
    },
}

/// A law with its mean; what it draws has that mean, and is one microsecond at least.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// The distribution.
    pub law: Law,
    /// Its mean, in microseconds of a core.
    pub mean: f64,
    /// How far a key's own factor spreads: requests of one key take alike.
    pub by_key: f64,
}

impl Work {
    /// Work that goes by the law alone, whatever the key.
    pub fn new(law: Law, mean: f64) -> Work {
        Work {
            law,
            mean,
            by_key: 0.0,
        }
    }

    /// Draws for a request of that key.
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
        // A law that can't be is its mean.
        drawn
            .filter(|w| w.is_finite())
            .unwrap_or(mean)
            .clamp(1.0, 1e12) as Micros
    }

    /// A key's own factor: between 1 - `by_key` and 1 + `by_key`, the same each time, 1 on average.
    fn factor(&self, key: u64) -> f64 {
        let mixed = key.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let part = (mixed >> 11) as f64 / (1_u64 << 53) as f64;
        1.0 + self.by_key.clamp(0.0, 1.0) * (2.0 * part - 1.0)
    }
}
