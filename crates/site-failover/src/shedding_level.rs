//! Feedback control of load shedding while a site is lost: a level that follows the rejections of the decision module, and its
//! division among kinds of requests.
//!
//! The level is the fraction of the reads' work that is shed for lack of capacity. The remaining capacity is not known, since the
//! observed capacity underestimates it. The level is therefore controlled by feedback: it rises while first attempts of kinds that
//! are served in full are rejected, and falls while they are not. Kinds of the lowest rank are shed first. Writes are not shed:
//! they mostly fail for lack of a primary, not of capacity.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::load_shedding::{served_fractions, Load};
use crate::{QuotaStatus, RequestKind, Time};

/// Interval between updates of the level.
pub const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Factor by which earlier requests are weighted down with each update.
const DECAY: f64 = 0.7;
/// Minimum number of recent first attempts; with fewer the rejected fraction counts as 0.
const MIN_ATTEMPTS: f64 = 5.0;
/// Fraction of first attempts that is rejected without a lack of capacity, because service times vary.
const EXPECTED_REJECTED_FRACTION: f64 = 0.02;
/// With each update the level rises by this fraction of the rejected fraction beyond [`EXPECTED_REJECTED_FRACTION`].
const RISE_FACTOR: f64 = 0.5;
/// Maximum rise of the level in one update.
const MAX_RISE: f64 = 0.05;
/// Constant part of the fall of the level in one update.
const FALL: f64 = 0.01;
/// Part of the fall in one update that is proportional to the level.
const FALL_FACTOR: f64 = 0.05;
/// Factor by which the level falls faster once no site is lost.
const FALL_MULTIPLIER_AFTER_LOSS: f64 = 5.0;
/// Maximum level: some requests are always admitted, since only their outcomes show that there is capacity again.
const MAX_LEVEL: f64 = 0.9;
/// Shed fractions below this are rounding errors and are ignored.
const ROUNDING: f64 = 1e-6;

/// The change of the level in one update. `rejected` is the rejected fraction of first attempts beyond the expected one.
fn level_change(level: f64, rejected: f64, site_is_lost: bool) -> f64 {
    let fall = FALL + FALL_FACTOR * level;
    match site_is_lost {
        true if rejected > 0.0 => (RISE_FACTOR * rejected).min(MAX_RISE),
        true => -fall,
        false => -FALL_MULTIPLIER_AFTER_LOSS * fall,
    }
}

/// The fraction of each kind to shed so that in total the fraction `level` of the reads' work is shed.
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

/// Controls which fraction of each kind of request is shed.
#[derive(Clone, Debug, Default)]
pub struct ShedController {
    level: f64,
    /// Decaying count of first attempts within quota, of kinds that are served in full.
    attempts: f64,
    /// Decaying count of those attempts that were rejected.
    rejected: f64,
    updated_at: Time,
    /// Fraction to shed by kind; kinds that are served in full are absent.
    shed: BTreeMap<RequestKind, f64>,
}

impl ShedController {
    /// Whether it is time for [`ShedController::update`].
    pub fn is_due(&self, now: Time) -> bool {
        now.saturating_sub(self.updated_at) >= UPDATE_INTERVAL
    }

    /// The fraction of the reads' work that is shed. It falls to 0 gradually once no site is lost any more.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// The fraction of a kind to shed.
    pub fn shed_fraction(&self, kind: &RequestKind) -> f64 {
        self.shed.get(kind).copied().unwrap_or(0.0)
    }

    /// Whether the outcome of a request indicates the capacity for kinds that are served in full.
    pub fn is_indicative(&self, kind: &RequestKind) -> bool {
        !kind.write
            && !kind.is_retry
            && kind.quota_status == QuotaStatus::WithinQuota
            && !self.shed.contains_key(kind)
    }

    /// Counts the outcome of an indicative request.
    pub fn record_outcome(&mut self, rejected: bool) {
        self.attempts += 1.0;
        self.rejected += f64::from(u8::from(rejected));
    }

    /// Recomputes the level and the fractions. `loads` are the requests to the groups that lost sites served; the capacities that they
    /// refer to are computed here.
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
