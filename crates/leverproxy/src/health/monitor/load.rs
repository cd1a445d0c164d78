//! Samples of the proxy's load: event loop lag, limits, memory, CPU time and rates.

use std::time::{Duration, Instant};

use availability::Load;

use crate::clock::Clock;

/// Interval of sampling the memory, which takes additional system calls.
const MEMORY_INTERVAL: Duration = Duration::from_secs(1);
/// Time constant of the rates, in seconds.
const RATE_TIME_CONSTANT: f64 = 5.0;
/// Lower bound of the time between two samples when rates are computed, in seconds.
const MIN_ELAPSED_S: f64 = 1e-3;

/// Use of the proxy's limits.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Client connections.
    pub clients: usize,
    /// Maximum client connections.
    pub clients_limit: usize,
    /// Connections to record servers.
    pub upstream: usize,
    /// Maximum connections to record servers.
    pub upstream_limit: usize,
    /// Open requests.
    pub open: usize,
    /// Maximum memory, in bytes.
    pub memory_limit: usize,
}

/// Samples the load.
#[derive(Debug)]
pub(super) struct LoadSampler {
    /// The longest lag since the last sample.
    lag: Duration,
    pub usage: Usage,
    /// Memory as a fraction of its limit.
    pub memory: f64,
    memory_at: Option<Instant>,
    /// CPU time used until the last sample.
    cpu_used: Duration,
    /// Average CPU use, as a fraction of one core.
    pub cpu: f64,
    sampled_at: Instant,
    answered: u64,
    failed: u64,
    pub answered_per_s: f64,
    pub failed_per_s: f64,
}

impl LoadSampler {
    pub fn new(now: Instant) -> LoadSampler {
        LoadSampler {
            lag: Duration::ZERO,
            usage: Usage::default(),
            memory: 0.0,
            memory_at: None,
            cpu_used: Clock::cpu_time(),
            cpu: 0.0,
            sampled_at: now,
            answered: 0,
            failed: 0,
            answered_per_s: 0.0,
            failed_per_s: 0.0,
        }
    }

    pub fn record_lag(&mut self, lag: Duration) {
        self.lag = self.lag.max(lag);
    }

    pub fn record_answer(&mut self, failed: bool) {
        self.answered += 1;
        self.failed += u64::from(failed);
    }

    pub fn sample(&mut self, usage: Usage, now: Instant) -> Load {
        self.usage = usage;
        self.sample_memory(now);
        self.sample_rates(now);
        let descriptors = fraction(usage.clients, usage.clients_limit)
            .max(fraction(usage.upstream, usage.upstream_limit));
        Load {
            lag: std::mem::take(&mut self.lag),
            open: fraction(usage.open, usage.clients_limit),
            descriptors,
            memory: self.memory,
        }
    }

    fn sample_memory(&mut self, now: Instant) {
        let is_due = self
            .memory_at
            .is_none_or(|at| now.saturating_duration_since(at) >= MEMORY_INTERVAL);
        if is_due {
            self.memory_at = Some(now);
            self.memory = fraction(resident_bytes(), self.usage.memory_limit);
        }
    }

    fn sample_rates(&mut self, now: Instant) {
        let elapsed = now
            .saturating_duration_since(self.sampled_at)
            .as_secs_f64()
            .max(MIN_ELAPSED_S);
        let cpu_used = Clock::cpu_time();
        let decay = (-elapsed / RATE_TIME_CONSTANT).exp();
        let average = |old: f64, new: f64| old * decay + new * (1.0 - decay);
        let cpu = cpu_used.saturating_sub(self.cpu_used).as_secs_f64();
        self.cpu = average(self.cpu, cpu / elapsed);
        let answered = std::mem::take(&mut self.answered) as f64;
        self.answered_per_s = average(self.answered_per_s, answered / elapsed);
        let failed = std::mem::take(&mut self.failed) as f64;
        self.failed_per_s = average(self.failed_per_s, failed / elapsed);
        (self.cpu_used, self.sampled_at) = (cpu_used, now);
    }
}

fn fraction(used: usize, limit: usize) -> f64 {
    used as f64 / limit.max(1) as f64
}

/// Resident memory of the process in bytes, without pages mapped from files; 0 if the system does not report it.
fn resident_bytes() -> usize {
    const PAGE: usize = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let mut pages = text
        .split(' ')
        .skip(1)
        .map(|pages| pages.parse::<usize>().unwrap_or(0));
    let (resident, shared) = (pages.next().unwrap_or(0), pages.next().unwrap_or(0));
    resident.saturating_sub(shared) * PAGE
}
