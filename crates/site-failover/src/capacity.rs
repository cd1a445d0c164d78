//! Capacity of each site for each group, as observed: the work of requests answered in time, for reads and writes separately.
//!
//! The capacity is the peak rate of work over windows of [`WINDOW`]; it decays by half in [`HALF_LIFE_SECONDS`]. It therefore never
//! exceeds what was observed, and is low for a site that never received many requests. Work is measured in seconds: the work of a
//! request of a class is the time that it takes without contention, estimated from the shortest responses.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{Time, GROUPS_LIMIT, SITES_LIMIT};

const WINDOW: Duration = Duration::from_secs(1);
const HALF_LIFE_SECONDS: f64 = 60.0;
/// Maximum number of classes whose work is learned.
const CLASSES_LIMIT: usize = 256;
/// With each longer response the work of a class grows by this fraction of the difference.
const WORK_GROWTH: f64 = 0.01;
/// Minimum work of a request, in seconds; shorter responses count as this.
const MIN_WORK: f64 = 1e-6;
/// Maximum number of capacities that are kept; those of further groups and sites count as 0.
const CAPACITIES_LIMIT: usize = 4 * GROUPS_LIMIT;

/// Key of a capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CapacityKey {
    /// The group of servers.
    pub group: u32,
    /// The site.
    pub site: u16,
    /// Whether the capacity is for writes; otherwise for reads.
    pub write: bool,
}

/// Decaying peak of the rate of work, in seconds of work per second.
#[derive(Clone, Copy, Debug, Default)]
struct PeakRate {
    /// Work in the current window, in seconds.
    work: f64,
    /// Start of the current window.
    window_start: Time,
    /// Peak rate at the time `peak_at`.
    peak: f64,
    peak_at: Time,
}

impl PeakRate {
    fn decayed(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.peak_at).as_secs_f64();
        self.peak * 0.5_f64.powf(age / HALF_LIFE_SECONDS)
    }

    fn end_window_if_due(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed >= WINDOW {
            let rate = self.work / elapsed.as_secs_f64();
            if rate >= self.decayed(now) {
                (self.peak, self.peak_at) = (rate, now);
            }
            (self.work, self.window_start) = (0.0, now);
        }
    }
}

/// Capacities of all sites.
#[derive(Clone, Debug, Default)]
pub struct Capacity {
    peaks: BTreeMap<CapacityKey, PeakRate>,
    /// Work of one request by class, in seconds.
    work: BTreeMap<u16, f64>,
}

impl Capacity {
    /// Counts a request of a class that was answered in time, after `elapsed`.
    pub fn record_answer(&mut self, now: Time, key: CapacityKey, class: u16, elapsed: Duration) {
        self.learn_work(class, elapsed.as_secs_f64().max(MIN_WORK));
        let work = self.work(class);
        let has_room = self.peaks.contains_key(&key) || self.peaks.len() < CAPACITIES_LIMIT;
        if usize::from(key.site) >= SITES_LIMIT || !has_room {
            return;
        }
        let peak = self.peaks.entry(key).or_insert(PeakRate {
            window_start: now,
            ..PeakRate::default()
        });
        peak.end_window_if_due(now);
        peak.work += work;
    }

    fn learn_work(&mut self, class: u16, elapsed: f64) {
        if self.work.len() < CLASSES_LIMIT || self.work.contains_key(&class) {
            let work = self.work.entry(class).or_insert(elapsed);
            *work = if elapsed < *work {
                elapsed
            } else {
                *work + (elapsed - *work) * WORK_GROWTH
            };
        }
    }

    /// The work of a request of a class, in seconds; 0 if it is not known.
    pub fn work(&self, class: u16) -> f64 {
        self.work.get(&class).copied().unwrap_or(0.0)
    }

    /// Observed capacity, in seconds of work per second.
    pub fn observed(&self, now: Time, key: CapacityKey) -> f64 {
        let Some(mut peak) = self.peaks.get(&key).copied() else {
            return 0.0;
        };
        peak.end_window_if_due(now);
        peak.decayed(now)
    }

    /// Groups for which a site has served requests.
    pub fn groups(&self, site: u16) -> impl Iterator<Item = u32> + '_ {
        self.peaks
            .keys()
            .filter(move |key| key.site == site)
            .map(|key| key.group)
    }

    /// Observed capacity for a group of all sites other than `lost`.
    pub fn total_of_other_sites(&self, now: Time, lost: u16, group: u32, write: bool) -> f64 {
        self.of_other_sites(now, lost, group, write)
            .map(|(_, observed)| observed)
            .sum()
    }

    /// Observed capacity for a group of each site other than `lost`.
    pub fn of_other_sites(
        &self,
        now: Time,
        lost: u16,
        group: u32,
        write: bool,
    ) -> impl Iterator<Item = (u16, f64)> + '_ {
        let first = CapacityKey {
            group,
            site: 0,
            write: false,
        };
        let last = CapacityKey {
            group,
            site: u16::MAX,
            write: true,
        };
        self.peaks
            .range(first..=last)
            .map(|(key, _)| *key)
            .filter(move |key| key.site != lost && key.write == write)
            .map(move |key| (key.site, self.observed(now, key)))
    }
}
