//! What is shed while a site is lost: a level that follows what the decision module rejects, and its division among kinds of
//! requests.
//!
//! The level is the fraction of the reads' work that there is no capacity for. How much capacity is left is not known, since what
//! was shown errs to less. So the level is controlled by feedback: it rises while first attempts of kinds that are served in full
//! are rejected, and falls while they are not. Kinds of the lowest rank pay for it. Writes are left alone: what they lack is
//! mostly a primary.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::load_shedding::{served_fractions, Load};
use crate::{QuotaStatus, RequestKind, Time};

/// Interval of updates.
pub const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// With each update former requests count for so much.
const DECAY: f64 = 0.7;
/// Fewer first attempts than this tell nothing.
const MIN_ATTEMPTS: f64 = 5.0;
/// So many first attempts are rejected by chance: service times vary.
const EXPECTED_REJECTED_FRACTION: f64 = 0.02;
/// In one update the level rises by this part of what is rejected beyond that, ...
const RISE_FACTOR: f64 = 0.5;
/// ... and by so much at most.
const MAX_RISE: f64 = 0.05;
/// In one update it falls by so much, ...
const FALL: f64 = 0.01;
/// ... and by this part of itself; ...
const FALL_FACTOR: f64 = 0.05;
/// ... so many times as fast once no site is lost.
const FALL_MULTIPLIER_AFTER_LOSS: f64 = 5.0;
/// Something is always admitted, or nothing would tell that there is capacity again.
const MAX_LEVEL: f64 = 0.9;
/// Smaller fractions that are shed come of rounding.
const ROUNDING: f64 = 1e-6;

/// The change of the level in one update; `rejected`: fraction of first attempts beyond the usual.
fn level_change(level: f64, rejected: f64, site_is_lost: bool) -> f64 {
    let fall = FALL + FALL_FACTOR * level;
    match site_is_lost {
        true if rejected > 0.0 => (RISE_FACTOR * rejected).min(MAX_RISE),
        true => -fall,
        false => -FALL_MULTIPLIER_AFTER_LOSS * fall,
    }
}

/// Fractions of kinds to shed so that the fraction `level` of all work is shed.
fn shed_fractions(loads: &[(RequestKind, Load)], level: f64) -> BTreeMap<RequestKind, f64> {
    let reads: Vec<&(RequestKind, Load)> = loads.iter().filter(|(kind, _)| !kind.write).collect();
    let reads_only: Vec<Load> = reads.iter().map(|(_, load)| *load).collect();
    let count = reads_only.iter().map(|load| load.capacity + 1).max();
    let mut capacities = vec![0.0; count.unwrap_or(0)];
    for load in &reads_only {
        capacities[load.capacity] += (1.0 - level) * load.work * load.rate;
    }
    let served = served_fractions(&reads_only, &capacities);
    served
        .into_iter()
        .zip(reads)
        .filter(|(served, (_, load))| {
            *served < 1.0 - ROUNDING && load.work > 0.0 && load.rate > 0.0
        })
        .map(|(served, (kind, _))| (*kind, 1.0 - served))
        .collect()
}

/// Controls what is shed.
#[derive(Clone, Debug, Default)]
pub struct ShedController {
    level: f64,
    /// Recent first attempts within quota, of kinds that are served in full; and those of them that were rejected.
    attempts: f64,
    rejected: f64,
    updated_at: Time,
    /// By kind, the fraction to shed; kinds that are served in full are not in it.
    shed: BTreeMap<RequestKind, f64>,
}

impl ShedController {
    /// Whether it is time for [`ShedController::update`].
    pub fn is_due(&self, now: Time) -> bool {
        now.saturating_sub(self.updated_at) >= UPDATE_INTERVAL
    }

    /// The fraction of the reads' work that is shed; it outlasts the loss of a site for a moment.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// The fraction of a kind to shed.
    pub fn shed_fraction(&self, kind: &RequestKind) -> f64 {
        self.shed.get(kind).copied().unwrap_or(0.0)
    }

    /// Whether the outcome of a request tells of the capacity for kinds that are served in full.
    pub fn is_indicative(&self, kind: &RequestKind) -> bool {
        !kind.write
            && !kind.is_retry
            && kind.quota_status == QuotaStatus::WithinQuota
            && !self.shed.contains_key(kind)
    }

    /// The outcome of an indicative request.
    pub fn record_outcome(&mut self, rejected: bool) {
        self.attempts += 1.0;
        self.rejected += f64::from(u8::from(rejected));
    }

    /// Computes level and fractions anew. `loads`: requests to the groups that lost sites served; the capacities that they name are
    /// computed here.
    pub fn update(&mut self, now: Time, site_is_lost: bool, loads: &[(RequestKind, Load)]) {
        self.updated_at = now;
        let rejected = if self.attempts < MIN_ATTEMPTS {
            0.0
        } else {
            self.rejected / self.attempts - EXPECTED_REJECTED_FRACTION
        };
        let change = level_change(self.level, rejected, site_is_lost);
        self.level = (self.level + change).clamp(0.0, MAX_LEVEL);
        self.attempts *= DECAY;
        self.rejected *= DECAY;
        self.shed = if self.level > 0.0 {
            shed_fractions(loads, self.level)
        } else {
            BTreeMap::new()
        };
    }
}
