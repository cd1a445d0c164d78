//! Settings of the membership core.

use std::time::Duration;

use crate::facts::FactLimits;
use crate::roster::Roster;

const DEFAULT_PROBE_PERIOD: Duration = Duration::from_millis(200);

/// Settings of a core. `Config::with_period` derives all times from the probe period.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of this process in the roster.
    pub name: String,
    /// The start of this process in Unix milliseconds. A later incarnation of a name replaces an earlier one.
    pub incarnation: u64,
    /// Who should be in the fleet.
    pub roster: Roster,
    /// One member is probed in each period.
    pub probe_period: Duration,
    /// How long a suspected member has to refute the suspicion.
    pub suspicion_timeout: Duration,
    /// Members that are asked to probe one that did not answer.
    pub indirect_probes: usize,
    /// Members that membership updates are sent to, each half period.
    pub gossip_fanout: usize,
    /// How long a better quorum state has to hold until it counts.
    pub quorum_hold: Duration,
    /// Own timers that are late by more mean that this process was paused.
    pub pause_threshold: Duration,
    /// How long a process does not trust its view after a pause, at least.
    pub settle_time: Duration,
    /// Bounds of the replicated facts.
    pub fact_limits: FactLimits,
}

impl Config {
    /// Settings with the default probe period.
    pub fn new(name: &str, incarnation: u64, roster: Roster) -> Self {
        Self::with_period(name, incarnation, roster, DEFAULT_PROBE_PERIOD)
    }

    /// Settings with all times in proportion to the probe period.
    pub fn with_period(name: &str, incarnation: u64, roster: Roster, period: Duration) -> Self {
        Self {
            name: name.to_owned(),
            incarnation,
            roster,
            probe_period: period,
            suspicion_timeout: period * 3,
            indirect_probes: 4,
            gossip_fanout: 3,
            quorum_hold: period * 4,
            pause_threshold: period * 2,
            settle_time: period * 10,
            fact_limits: FactLimits::default(),
        }
    }
}
