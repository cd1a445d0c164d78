//! Token bucket of one tenant. It keeps two levels: the actual one, and the one without withholding.

use std::time::Duration;

use crate::Time;

/// The depth of a bucket is the quota of this time, since quotas are stated per second ...
const DEPTH_TIME: Duration = Duration::from_secs(1);
/// ... plus this many standard deviations of a Poisson stream over that time, which is within its quota too ...
const DEPTH_DEVIATIONS: f64 = 3.0;
/// ... plus this many requests, for the smallest quotas.
const DEPTH_MARGIN: f64 = 3.0;

/// Level of a bucket at one time, in tokens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Level {
    /// Tokens left.
    pub tokens: f64,
    /// Tokens that would be left if nothing were withheld.
    pub tokens_unwithheld: f64,
    /// Maximum number of tokens.
    pub depth: f64,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bucket {
    /// Tokens left, and the time of that level. `None` if the bucket was never used, and is full.
    tokens: Option<(f64, Time)>,
    /// Tokens that would be left if nothing were withheld, at the same time.
    tokens_unwithheld: f64,
}

impl Bucket {
    /// Level at a refill rate, in tokens per second, of which the part `withheld` (0 to 1) is withheld.
    pub fn level(&self, now: Time, rate: f64, withheld: f64) -> Level {
        let mean = rate * DEPTH_TIME.as_secs_f64();
        let depth = mean + DEPTH_DEVIATIONS * mean.sqrt() + DEPTH_MARGIN;
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

    /// Stores a level as of now, before the refill rate changes.
    pub fn settle(&mut self, now: Time, level: Level) {
        self.tokens = self.tokens.map(|_| (level.tokens, now));
        self.tokens_unwithheld = level.tokens_unwithheld;
    }
}
