//! Work that each site has shown it can do for each group: requests answered in time, reads and writes apart.
//!
//! It is the peak over windows of [`WINDOW`], which decays by half in [`HALF_LIFE_SECONDS`]. So it is never more than was seen, and a
//! site that never got many requests counts for little. Work is in seconds: of a kind of request the time that it takes without
//! contention, as the shortest responses show.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{Time, GROUPS_LIMIT, SITES_LIMIT};

const WINDOW: Duration = Duration::from_secs(1);
const HALF_LIFE_SECONDS: f64 = 60.0;
/// Classes whose work is learned.
const CLASSES_LIMIT: usize = 256;
/// With each longer response the work of a class grows by this part of the difference.
const WORK_GROWTH: f64 = 0.01;
/// The shortest response that is counted, in seconds.
const MIN_WORK: f64 = 1e-6;
/// Capacities that are kept; those of groups and sites that come later count for nothing.
const CAPACITIES_LIMIT: usize = 4 * GROUPS_LIMIT;

/// What a capacity is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CapacityKey {
    /// The group of servers.
    pub group: u32,
    /// The site.
    pub site: u16,
    /// For writes, or for reads.
    pub write: bool,
}

/// The decaying peak of work in a second.
#[derive(Clone, Copy, Debug, Default)]
struct PeakRate {
    /// Work in the current window, and its start.
    work: f64,
    window_start: Time,
    /// The peak, as of then.
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
    /// By class, in seconds.
    work: BTreeMap<u16, f64>,
}

impl Capacity {
    /// A request of a class was answered in time, after `elapsed`.
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

    /// The work of a request of a class, in seconds; 0: not known.
    pub fn work(&self, class: u16) -> f64 {
        self.work.get(&class).copied().unwrap_or(0.0)
    }

    /// Work in a second that a site has shown.
    pub fn observed(&self, now: Time, key: CapacityKey) -> f64 {
        let Some(mut peak) = self.peaks.get(&key).copied() else {
            return 0.0;
        };
        peak.end_window_if_due(now);
        peak.decayed(now)
    }

    /// Groups of which a site has served requests.
    pub fn groups(&self, site: u16) -> impl Iterator<Item = u32> + '_ {
        self.peaks
            .keys()
            .filter(move |key| key.site == site)
            .map(|key| key.group)
    }

    /// What all other sites together have shown for a group.
    pub fn total_of_other_sites(&self, now: Time, lost: u16, group: u32, write: bool) -> f64 {
        self.of_other_sites(now, lost, group, write)
            .map(|(_, observed)| observed)
            .sum()
    }

    /// What each other site has shown for a group.
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
