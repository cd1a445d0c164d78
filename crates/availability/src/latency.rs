//! Recent latency as a multiple of the usual: quantile sketches over windows of time.

use sketches_ddsketch::{Config, DDSketch};
use std::time::Duration;

use crate::Time;

/// Windows of the present, and how many make it up.
const RECENT_WINDOWS: (Duration, usize) = (Duration::from_millis(500), 4);
/// A window of the usual; of so many the median of their quantiles counts.
const BASELINE_WINDOWS: (Duration, usize) = (Duration::from_secs(10), 12);
/// Answers that a window has to hold to say anything.
const MIN_ANSWERS: usize = 10;
/// The quantile that is compared: high enough to show waiting, low enough not to be one answer.
const QUANTILE: f64 = 0.75;
/// While answers are slower than this times the usual they don't become it ...
const ELEVATED_FACTOR: f64 = 1.3;
/// ... until they have been for so long: then they are the new usual.
const ADOPTION_TIME: Duration = Duration::from_secs(300);

/// Relative error of a sketch's quantiles, and its bins: 512 of 4% span far more than latencies do.
fn sketch() -> DDSketch {
    DDSketch::new(Config::new(0.04, 512, 1e-6))
}

pub struct Latency {
    /// The oldest first; the last is being filled since `since`.
    recent: Vec<DDSketch>,
    since: Time,
    /// What fills the window of the usual, and quantiles of those before, oldest first.
    filling: DDSketch,
    filling_since: Time,
    baseline_quantiles: Vec<f64>,
    elevated_since: Option<Time>,
    /// The present as a multiple of the usual, and when that was worked out: sketches are merged for it.
    slowness: f64,
    baseline: Duration,
    computed_at: Time,
}

/// What is worked out holds for this long.
const RECOMPUTE_INTERVAL: Duration = Duration::from_millis(50);

impl std::fmt::Debug for Latency {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Latency")
            .field("usual", &self.baseline_quantiles)
            .finish_non_exhaustive()
    }
}

impl Latency {
    pub fn new(now: Time) -> Latency {
        Latency {
            recent: vec![sketch()],
            since: now,
            filling: sketch(),
            filling_since: now,
            baseline_quantiles: Vec::new(),
            elevated_since: None,
            slowness: 1.0,
            baseline: Duration::ZERO,
            computed_at: now,
        }
    }

    pub fn add(&mut self, elapsed: Duration, now: Time) {
        self.rotate(now);
        let seconds = elapsed.as_secs_f64().max(1e-6);
        if let Some(last) = self.recent.last_mut() {
            last.add(seconds);
        }
        if self.slowness() < ELEVATED_FACTOR
            || self
                .elevated_since
                .is_some_and(|at| now.saturating_sub(at) > ADOPTION_TIME)
        {
            self.filling.add(seconds);
        }
    }

    /// Windows that are over make place for new ones.
    pub fn rotate(&mut self, now: Time) {
        let elapsed_windows =
            now.saturating_sub(self.since).as_nanos() / RECENT_WINDOWS.0.as_nanos();
        if elapsed_windows > 0 {
            for _ in 0..elapsed_windows.min(RECENT_WINDOWS.1 as u128) {
                self.recent.push(sketch());
            }
            let surplus = self.recent.len().saturating_sub(RECENT_WINDOWS.1);
            self.recent.drain(..surplus);
            self.since = now;
        }
        self.recompute(now);
        self.elevated_since = match self.slowness() >= ELEVATED_FACTOR {
            true => self.elevated_since.or(Some(now)),
            false => None,
        };
        if now.saturating_sub(self.filling_since) >= BASELINE_WINDOWS.0 {
            let full = std::mem::replace(&mut self.filling, sketch());
            self.filling_since = now;
            if full.count() >= MIN_ANSWERS {
                self.baseline_quantiles
                    .extend(full.quantile(QUANTILE).ok().flatten());
                let surplus = self
                    .baseline_quantiles
                    .len()
                    .saturating_sub(BASELINE_WINDOWS.1);
                self.baseline_quantiles.drain(..surplus);
            }
        }
    }

    /// What an answer takes as a rule, as it was last worked out; zero before there is a rule.
    pub fn baseline(&self) -> Duration {
        self.baseline
    }

    fn compute_baseline(&self) -> Option<Duration> {
        if self.baseline_quantiles.is_empty() {
            // At the start the window that is being filled has to do.
            if self.filling.count() < MIN_ANSWERS {
                return None;
            }
            return self
                .filling
                .quantile(QUANTILE)
                .ok()
                .flatten()
                .map(Duration::from_secs_f64);
        }
        let mut sorted = self.baseline_quantiles.clone();
        sorted.sort_by(f64::total_cmp);
        sorted
            .get(sorted.len() / 2)
            .copied()
            .map(Duration::from_secs_f64)
    }

    fn recent_quantile(&self) -> Option<f64> {
        let mut all = sketch();
        for window in &self.recent {
            all.merge(window).ok()?;
        }
        if all.count() < MIN_ANSWERS {
            None
        } else {
            all.quantile(QUANTILE).ok().flatten()
        }
    }

    /// The present as a multiple of the usual; 1 where too little is known.
    pub fn slowness(&self) -> f64 {
        self.slowness
    }

    fn recompute(&mut self, now: Time) {
        if now.saturating_sub(self.computed_at) < RECOMPUTE_INTERVAL {
            return;
        }
        self.computed_at = now;
        let baseline = self.compute_baseline();
        self.baseline = baseline.unwrap_or_default();
        self.slowness = match (self.recent_quantile(), baseline) {
            (Some(recent), Some(baseline)) if baseline > Duration::ZERO => {
                recent / baseline.as_secs_f64()
            }
            _ => 1.0,
        };
    }
}
