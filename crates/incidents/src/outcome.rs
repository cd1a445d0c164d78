//! What came of an incident.

use crate::balancer::Belief;
use crate::Time;
use availability::{Condition, LinkState, State};
use std::time::Duration;

/// What was told and believed, sampled.
#[derive(Clone, Debug)]
pub struct Sample {
    /// When it was sampled.
    pub at: Time,
    /// By proxy.
    pub states: Vec<State>,
    /// By proxy, in percent.
    pub weights: Vec<u8>,
    /// By balancer, by proxy.
    pub beliefs: Vec<Vec<Belief>>,
    /// Requests that found no proxy at all.
    pub no_proxy_available: u64,
}

/// A proxy's change of state.
#[derive(Clone, Debug, PartialEq)]
pub struct StateChange {
    /// When.
    pub at: Time,
    /// Which proxy.
    pub proxy: usize,
    /// Its state from then on.
    pub state: State,
}

/// What came of an incident.
#[derive(Debug, Default)]
pub struct Outcome {
    /// States and beliefs over time.
    pub samples: Vec<Sample>,
    /// Every change of a proxy's state.
    pub state_changes: Vec<StateChange>,
    /// Requests that clients sent.
    pub requests: u64,
    /// Requests that were answered.
    pub served: u64,
    /// Requests that came while every proxy was out for their balancer.
    pub no_proxy_available: u64,
    /// Requests that a balancer sent to a proxy whose door was closed.
    pub not_listening: u64,
    /// From the start of the trouble to the first proxy, and the last, that tells of it.
    pub first_report_delay: Option<Duration>,
    /// From the start of the fault to the last proxy that reports it.
    pub last_report_delay: Option<Duration>,
    /// Balancers that held a proxy for down or drained that may not be.
    pub false_downs: u64,
    /// The least sum of the weights that proxies told, out of 100 each.
    pub least_weight_sum: u32,
    /// Changes of state in the worst minute of any proxy.
    pub flaps: usize,
    /// Groups' conditions at the worst, by proxy, for the group that the script touches.
    pub worst_condition: Option<Condition>,
    /// Every change in how a proxy sees the link to a building.
    pub links: Vec<(Time, usize, u16, LinkState)>,
}
