//! Token bucket of one tenant. It is kept twice: as it is, and as it would be if nothing were withheld.

use std::time::Duration;

use crate::Time;

/// A bucket holds what arrives at the quota's rate in this time: quotas are stated per second.
const DEPTH: Duration = Duration::from_secs(1);
/// ... and so many standard deviations of a Poisson stream over that time, which is within its quota too ...
const DEVIATIONS: f64 = 3.0;
/// ... and so many requests, for the smallest quotas.
const SPARE: f64 = 3.0;

/// Tokens at a moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Level {
    /// What is left.
    pub tokens: f64,
    /// What would be left if nothing were withheld.
    pub tokens_unwithheld: f64,
    /// What the bucket holds.
    pub depth: f64,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bucket {
    /// What was left, and when; none: it was never used, and is full.
    tokens: Option<(f64, Time)>,
    /// At the same time.
    tokens_unwithheld: f64,
}

impl Bucket {
    /// The level at this rate of refill, in tokens a second, of which a part is withheld.
    pub fn level(&self, now: Time, rate: f64, withheld: f64) -> Level {
        let usual = rate * DEPTH.as_secs_f64();
        let depth = usual + DEVIATIONS * usual.sqrt() + SPARE;
        let Some((tokens, since)) = self.tokens else {
            return Level {
                tokens: depth,
                tokens_unwithheld: depth,
                depth,
            };
        };
        let refill = rate * now.saturating_sub(since).as_secs_f64();
        Level {
            tokens: (tokens + refill * (1.0 - withheld)).min(depth),
            tokens_unwithheld: (self.tokens_unwithheld + refill).min(depth),
            depth,
        }
    }

    pub fn set(&mut self, now: Time, tokens: f64, tokens_unwithheld: f64) {
        self.tokens = Some((tokens, now));
        self.tokens_unwithheld = tokens_unwithheld;
    }

    /// Keeps a level as of now, before its rate changes.
    pub fn settle(&mut self, now: Time, level: Level) {
        self.tokens = self.tokens.map(|_| (level.tokens, now));
        self.tokens_unwithheld = level.tokens_unwithheld;
    }
}
