//! Outcome of a simulated incident.

use crate::balancer::ServerView;
use crate::Time;
use availability::{Condition, LinkState, State};
use std::time::Duration;

/// Sample of the reported states and the balancers' views.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Time of the sample.
    pub at: Time,
    /// Reported state by proxy.
    pub states: Vec<State>,
    /// Reported weight by proxy, in percent.
    pub weights: Vec<u8>,
    /// Views by balancer, then by proxy.
    pub views: Vec<Vec<ServerView>>,
    /// Number of requests so far for which no proxy was available.
    pub no_proxy_available: u64,
}

/// A proxy's change of state.
#[derive(Clone, Debug, PartialEq)]
pub struct StateChange {
    /// Time of the change.
    pub at: Time,
    /// Index of the proxy.
    pub proxy: usize,
    /// New state.
    pub state: State,
}

/// Outcome of an incident.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Samples of states and views over time.
    pub samples: Vec<Sample>,
    /// All state changes of the proxies.
    pub state_changes: Vec<StateChange>,
    /// Number of requests that clients sent.
    pub requests: u64,
    /// Number of requests that were answered.
    pub served: u64,
    /// Number of requests that arrived while their balancer had no proxy in service.
    pub no_proxy_available: u64,
    /// Number of requests that a balancer sent to a proxy that did not listen.
    pub not_listening: u64,
    /// Time from the start of the fault to the first proxy that reports it.
    pub first_report_delay: Option<Duration>,
    /// Time from the start of the fault to the last proxy that reports it.
    pub last_report_delay: Option<Duration>,
    /// Number of checks after which a balancer wrongly considered a proxy down or drained.
    pub false_downs: u64,
    /// Lowest sum of the reported weights of proxies that must stay in service, in percent.
    pub least_weight_sum: u32,
    /// Maximum number of state changes of one proxy within a minute.
    pub flaps: usize,
    /// Worst condition of any group that a proxy reported before the end of the fault.
    pub worst_condition: Option<Condition>,
    /// Changes of link states as (time, proxy, building, state).
    pub links: Vec<(Time, usize, u16, LinkState)>,
}
