//! Recent latency as a multiple of the usual: quantile sketches over windows of time.

use sketches_ddsketch::{Config, DDSketch};
use std::time::Duration;

use crate::Time;

/// Windows of the present, and how many make it up.
const PRESENT: (Duration, usize) = (Duration::from_millis(500), 4);
/// A window of the usual; of so many the median of their quantiles counts.
const USUAL: (Duration, usize) = (Duration::from_secs(10), 12);
/// Answers that a window has to hold to say anything.
const ENOUGH: usize = 10;
/// The quantile that is compared: high enough to show waiting, low enough not to be one answer.
const QUANTILE: f64 = 0.75;
/// While answers are slower than this times the usual they don't become it ...
const STRANGE: f64 = 1.3;
/// ... until they have been for so long: then they are the new usual.
const ADOPTED: Duration = Duration::from_secs(300);

/// Relative error of a sketch's quantiles, and its bins: 512 of 4% span far more than latencies do.
fn sketch() -> DDSketch {
    DDSketch::new(Config::new(0.04, 512, 1e-6))
}

pub struct Latency {
    /// The oldest first; the last is being filled since `since`.
    present: Vec<DDSketch>,
    since: Time,
    /// What fills the window of the usual, and quantiles of those before, oldest first.
    filling: DDSketch,
    filling_since: Time,
    usual: Vec<f64>,
    strange_since: Option<Time>,
    /// The present as a multiple of the usual, and when that was worked out: sketches are merged for it.
    slowness: f64,
    rule: Duration,
    worked_out: Time,
}

/// What is worked out holds for this long.
const FRESH: Duration = Duration::from_millis(50);

impl std::fmt::Debug for Latency {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Latency")
            .field("usual", &self.usual)
            .finish_non_exhaustive()
    }
}

impl Latency {
    pub fn new(now: Time) -> Latency {
        Latency {
            present: vec![sketch()],
            since: now,
            filling: sketch(),
            filling_since: now,
            usual: Vec::new(),
            strange_since: None,
            slowness: 1.0,
            rule: Duration::ZERO,
            worked_out: now,
        }
    }

    pub fn add(&mut self, took: Duration, now: Time) {
        self.turn(now);
        let seconds = took.as_secs_f64().max(1e-6);
        if let Some(last) = self.present.last_mut() {
            last.add(seconds);
        }
        if self.slowness() < STRANGE
            || self
                .strange_since
                .is_some_and(|at| now.saturating_sub(at) > ADOPTED)
        {
            self.filling.add(seconds);
        }
    }

    /// Windows that are over make place for new ones.
    pub fn turn(&mut self, now: Time) {
        let over = now.saturating_sub(self.since).as_nanos() / PRESENT.0.as_nanos();
        if over > 0 {
            for _ in 0..over.min(PRESENT.1 as u128) {
                self.present.push(sketch());
            }
            let surplus = self.present.len().saturating_sub(PRESENT.1);
            self.present.drain(..surplus);
            self.since = now;
        }
        self.work_out(now);
        self.strange_since = match self.slowness() >= STRANGE {
            true => self.strange_since.or(Some(now)),
            false => None,
        };
        if now.saturating_sub(self.filling_since) >= USUAL.0 {
            let full = std::mem::replace(&mut self.filling, sketch());
            self.filling_since = now;
            if full.count() >= ENOUGH {
                self.usual.extend(full.quantile(QUANTILE).ok().flatten());
                let surplus = self.usual.len().saturating_sub(USUAL.1);
                self.usual.drain(..surplus);
            }
        }
    }

    /// What an answer takes as a rule, as it was last worked out; zero before there is a rule.
    pub fn usual(&self) -> Duration {
        self.rule
    }

    fn find_usual(&self) -> Option<Duration> {
        if self.usual.is_empty() {
            // At the start the window that is being filled has to do.
            if self.filling.count() < ENOUGH {
                return None;
            }
            return self
                .filling
                .quantile(QUANTILE)
                .ok()
                .flatten()
                .map(Duration::from_secs_f64);
        }
        let mut sorted = self.usual.clone();
        sorted.sort_by(f64::total_cmp);
        sorted
            .get(sorted.len() / 2)
            .copied()
            .map(Duration::from_secs_f64)
    }

    fn now(&self) -> Option<f64> {
        let mut all = sketch();
        for window in &self.present {
            all.merge(window).ok()?;
        }
        if all.count() < ENOUGH {
            None
        } else {
            all.quantile(QUANTILE).ok().flatten()
        }
    }

    /// The present as a multiple of the usual; 1 where too little is known.
    pub fn slowness(&self) -> f64 {
        self.slowness
    }

    fn work_out(&mut self, now: Time) {
        if now.saturating_sub(self.worked_out) < FRESH {
            return;
        }
        self.worked_out = now;
        let usual = self.find_usual();
        self.rule = usual.unwrap_or_default();
        self.slowness = match (self.now(), usual) {
            (Some(present), Some(usual)) if usual > Duration::ZERO => present / usual.as_secs_f64(),
            _ => 1.0,
        };
    }
}
