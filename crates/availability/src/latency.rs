//! Recent latency as a multiple of a baseline, computed from quantile sketches over time windows.

use sketches_ddsketch::{Config, DDSketch};
use std::time::Duration;

use crate::Time;

/// Length and number of the windows that make up the recent latency.
const RECENT_WINDOWS: (Duration, usize) = (Duration::from_millis(500), 4);
/// Length and number of the windows of the baseline; the baseline is the median of their quantiles.
const BASELINE_WINDOWS: (Duration, usize) = (Duration::from_secs(10), 12);
/// Minimum number of answers for a quantile.
const MIN_ANSWERS: usize = 10;
/// The quantile that is compared: high enough to reflect queueing, low enough not to depend on a single answer.
const QUANTILE: f64 = 0.75;
/// While the recent latency is at least this multiple of the baseline, answers do not enter the baseline.
const ELEVATED_FACTOR: f64 = 1.3;
/// After the latency has been elevated for this long, answers enter the baseline again.
const ADOPTION_TIME: Duration = Duration::from_secs(300);

/// Creates a sketch with a relative error of 4% and 512 bins, which cover a far wider range than latencies do.
fn sketch() -> DDSketch {
    DDSketch::new(Config::new(0.04, 512, 1e-6))
}

pub struct Latency {
    /// Sketches of the recent windows, oldest first; the last one is being filled since `recent_window_since`.
    recent: Vec<DDSketch>,
    recent_window_since: Time,
    /// Sketch of the current baseline window.
    baseline_window: DDSketch,
    baseline_window_since: Time,
    /// Quantiles of the previous baseline windows, in seconds, oldest first.
    baseline_quantiles: Vec<f64>,
    elevated_since: Option<Time>,
    /// The recent latency as a multiple of the baseline; cached, since computing it merges sketches.
    slowness: f64,
    baseline: Duration,
    /// When `slowness` and `baseline` were computed.
    computed_at: Time,
}

/// Minimum interval between computations of slowness and baseline.
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
            recent_window_since: now,
            baseline_window: sketch(),
            baseline_window_since: now,
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
            self.baseline_window.add(seconds);
        }
    }

    /// Replaces windows that have ended by new ones.
    pub fn rotate(&mut self, now: Time) {
        let elapsed_windows =
            now.saturating_sub(self.recent_window_since).as_nanos() / RECENT_WINDOWS.0.as_nanos();
        if elapsed_windows > 0 {
            for _ in 0..elapsed_windows.min(RECENT_WINDOWS.1 as u128) {
                self.recent.push(sketch());
            }
            let surplus = self.recent.len().saturating_sub(RECENT_WINDOWS.1);
            self.recent.drain(..surplus);
            self.recent_window_since = now;
        }
        self.recompute(now);
        self.elevated_since = match self.slowness() >= ELEVATED_FACTOR {
            true => self.elevated_since.or(Some(now)),
            false => None,
        };
        if now.saturating_sub(self.baseline_window_since) >= BASELINE_WINDOWS.0 {
            let full = std::mem::replace(&mut self.baseline_window, sketch());
            self.baseline_window_since = now;
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

    /// The baseline latency as last computed; zero while there are too few answers.
    pub fn baseline(&self) -> Duration {
        self.baseline
    }

    fn compute_baseline(&self) -> Option<Duration> {
        if self.baseline_quantiles.is_empty() {
            // Before the first window has ended, the current one is used.
            if self.baseline_window.count() < MIN_ANSWERS {
                return None;
            }
            return self
                .baseline_window
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

    /// The recent latency as a multiple of the baseline; 1 if there are too few answers.
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
