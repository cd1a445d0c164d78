//! Settings of the membership core.

use std::time::Duration;

use crate::facts::FactLimits;
use crate::roster::Roster;

const DEFAULT_PROBE_PERIOD: Duration = Duration::from_millis(200);

/// Settings of a core. `Config::with_period` derives all durations from the probe period.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of this process in the roster.
    pub name: String,
    /// Start time of this process in Unix milliseconds. A later incarnation of a name replaces an earlier one.
    pub incarnation: u64,
    /// The members of the fleet according to the operators.
    pub roster: Roster,
    /// Time between two probes; each probe goes to one member.
    pub probe_period: Duration,
    /// Time that a suspected member has to refute the suspicion.
    pub suspicion_timeout: Duration,
    /// Number of members that are requested to probe a member that did not acknowledge a direct probe.
    pub indirect_probes: usize,
    /// Number of members that receive membership updates in each half period.
    pub gossip_fanout: usize,
    /// A better quorum state takes effect only after it has held for this time.
    pub quorum_hold: Duration,
    /// A timer of this process that is later than this means that the process was paused.
    pub pause_threshold: Duration,
    /// Minimum time after a pause during which a process does not trust its view.
    pub settle_time: Duration,
    /// Limits of the replicated facts.
    pub fact_limits: FactLimits,
}

impl Config {
    /// Settings with the default probe period.
    pub fn new(name: &str, incarnation: u64, roster: Roster) -> Self {
        Self::with_period(name, incarnation, roster, DEFAULT_PROBE_PERIOD)
    }

    /// Settings with all durations in proportion to the probe period.
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
