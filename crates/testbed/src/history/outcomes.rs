//! Outcomes of a run: accounts by class, latencies and violated rules.

use hdrhistogram::Histogram;
use invariant_checkers::Rule;
use rustc_hash::FxHashMap;
use server_model::clients::ClientAttemptId;
use server_model::site::ServerIndex;
use server_model::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Outcomes of the requests of a class.
#[derive(Clone, Debug, Default)]
pub struct ClassAccount {
    /// Settled requests.
    pub requests: u64,
    /// Answered with a value.
    pub served: u64,
    /// Finally rejected.
    pub rejected: u64,
    /// Finally failed.
    pub failed: u64,
    /// Given up by the client.
    pub abandoned: u64,
    /// Sum of the requests' priority weights.
    pub priority_weight: f64,
    /// Part of the weight that was earned by answers within the latency objective.
    pub earned: f64,
}

/// Outcomes of a run.
#[derive(Clone, Debug)]
pub struct Outcomes {
    /// Accounts, indexed by class.
    pub accounts: Vec<ClassAccount>,
    /// Latencies of served requests in microseconds, indexed by class.
    pub latencies: Vec<Histogram<u64>>,
    /// How late the testbed's own timers ran, in microseconds.
    pub lateness: Histogram<u64>,
    /// Number of violations of each rule.
    pub broken: BTreeMap<Rule, u64>,
    /// The first violations: rule, attempt, proxy, and time in microseconds.
    pub found: Vec<(Rule, ClientAttemptId, usize, Micros)>,
    /// Attempts that reached a server.
    pub attempts: u64,
    /// Health checks that reached a server.
    pub probes: u64,
    /// Attempts that ended with a killed proxy.
    pub gone: u64,
    /// Attempts sent once more, since they crossed the close of their connection.
    pub crossed: u64,
    /// Connections that proxies opened to servers.
    pub dials: u64,
    /// Requests that reached each server. Key: proxy and server.
    pub reached: FxHashMap<(usize, ServerIndex), u64>,
}

/// If the 99th percentile of the testbed's lateness is above this, the testbed reports no goodput.
pub const LATE: Duration = Duration::from_millis(20);

impl Outcomes {
    /// 99th percentile of the lateness of the testbed's timers.
    pub fn late(&self) -> Duration {
        Duration::from_micros(self.lateness.value_at_quantile(0.99))
    }

    /// Mean number of servers per proxy, and load of the busiest server relative to the mean.
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

    /// Earned part of the priority weight; none: the testbed itself was too slow for a valid result.
    pub fn goodput(&self) -> Option<f64> {
        let (weight, earned) = self.accounts.iter().fold((0.0, 0.0), |(w, e), b| {
            (w + b.priority_weight, e + b.earned)
        });
        (self.late() <= LATE).then(|| if weight > 0.0 { earned / weight } else { 1.0 })
    }
}
