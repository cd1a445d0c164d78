//! What came of a run: accounts by class, latencies and broken rules.

use hdrhistogram::Histogram;
use invariant_checkers::Rule;
use rustc_hash::FxHashMap;
use server_model::clients::ClientAttemptId;
use server_model::site::ServerIndex;
use server_model::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What became of a class's requests.
#[derive(Clone, Debug, Default)]
pub struct ClassAccount {
    /// Requests that were settled.
    pub requests: u64,
    /// Answered with a value.
    pub served: u64,
    /// Rejected at last.
    pub rejected: u64,
    /// Failed at last.
    pub failed: u64,
    /// Given up by the client.
    pub abandoned: u64,
    /// The sum of their priority weights.
    pub priority_weight: f64,
    /// The part of it earned by answers in time.
    pub earned: f64,
}

/// What came of a trial.
#[derive(Clone, Debug)]
pub struct Outcomes {
    /// By class.
    pub accounts: Vec<ClassAccount>,
    /// By class, in microseconds, of served requests.
    pub latencies: Vec<Histogram<u64>>,
    /// How late the testbed's own timers ran, in microseconds.
    pub lateness: Histogram<u64>,
    /// How often each rule was broken.
    pub broken: BTreeMap<Rule, u64>,
    /// The first that they were found by: which try, its proxy, and when.
    pub found: Vec<(Rule, ClientAttemptId, usize, Micros)>,
    /// Attempts that reached a server.
    pub attempts: u64,
    /// Health checks that reached a server.
    pub probes: u64,
    /// Tries that died with a killed proxy.
    pub gone: u64,
    /// Tries sent once more, since their connection was being closed.
    pub crossed: u64,
    /// Connections that proxies made to servers.
    pub dials: u64,
    /// Requests that each proxy brought to each server.
    pub reached: FxHashMap<(usize, ServerIndex), u64>,
}

/// Later than this in one of a hundred cases, the testbed claims nothing.
pub const LATE: Duration = Duration::from_millis(20);

impl Outcomes {
    /// The 99th percentile of how late the testbed was.
    pub fn late(&self) -> Duration {
        Duration::from_micros(self.lateness.value_at_quantile(0.99))
    }

    /// How many servers a proxy met in the mean, and how much more than the mean the busiest server got.
    pub fn spread(&self) -> (f64, f64) {
        let (mut proxies, mut servers) = (BTreeSet::new(), BTreeMap::<ServerIndex, u64>::new());
        for (&(proxy, server), &number) in &self.reached {
            proxies.insert(proxy);
            *servers.entry(server).or_default() += number;
        }
        let mean = servers.values().sum::<u64>() as f64 / servers.len().max(1) as f64;
        let busiest = servers.values().copied().max().unwrap_or(0) as f64;
        (
            self.reached.len() as f64 / proxies.len().max(1) as f64,
            busiest / mean.max(1.0),
        )
    }

    /// None: the testbed was itself too slow for its figures to mean anything.
    pub fn goodput(&self) -> Option<f64> {
        let (weight, earned) = self.accounts.iter().fold((0.0, 0.0), |(w, e), b| {
            (w + b.priority_weight, e + b.earned)
        });
        (self.late() <= LATE).then(|| if weight > 0.0 { earned / weight } else { 1.0 })
    }
}
