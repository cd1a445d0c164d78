//! Checks rollouts of configuration versions over a fleet, from observations of the version that each proxy runs.
//!
//! A reported breach is certain, within the limits given at each rule; breaches between two observations of the same proxy
//! go undetected.

use crate::Breaches;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A proposed version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version {
    /// The epoch of the proposal.
    pub epoch: u64,
    /// Hash of the file; none: unknown, and versions are distinguished by their epochs alone.
    pub hash: Option<String>,
}

impl Version {
    /// Whether a halt of this version also halts `other`. A later proposal of the same file is a new decision of an operator.
    fn halts(&self, other: &Version) -> bool {
        let same = self.hash.is_some() && self.hash == other.hash;
        self.epoch == other.epoch || (same && self.epoch > other.epoch)
    }
}

/// Rollout state of a proxy at one instant.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Identifies the process, unique among the proxy's starts.
    pub start: u64,
    /// Epoch of the proposal that the proxy follows; 0: none.
    pub epoch: u64,
    /// The proposed version that the proxy runs; none: the version from before the rollout.
    pub runs: Option<Version>,
    /// The rollout has reached the whole fleet, so the version no longer counts as new.
    pub whole: bool,
    /// Versions that the proxy knows to be halted.
    pub halted: Vec<Version>,
    /// Number of version changes since the process started, failed ones included; none: unknown, and the order cannot be checked.
    pub moves: Option<u64>,
}

/// A violated rule of rollouts.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Breach {
    /// Several new versions ran at the same time. Key: proxy.
    #[error("more than one new version runs at once: {0:?}")]
    TwoNew(BTreeMap<String, Version>),
    /// A proxy ran a version that had been halted.
    #[error("{proxy} runs {version:?}, which was halted")]
    HaltedRun {
        /// The proxy's name.
        proxy: String,
        /// The version that it ran.
        version: Version,
    },
    /// A region ran a version before an earlier region had run it.
    #[error("{proxy} runs epoch {epoch}, which no proxy of the earlier region {skipped} ever ran")]
    OutOfOrder {
        /// The proxy's name.
        proxy: String,
        /// The epoch that it ran.
        epoch: u64,
        /// The earlier region in which it never ran.
        skipped: String,
    },
}

/// Maximum number of entries kept of each record; the newest are kept.
const REMEMBERED: usize = 64;

#[derive(Clone, Debug)]
struct Known {
    last: Observation,
    at: Duration,
    /// The last observation of the previous round, and the first of the current one.
    before: Option<Observation>,
    after: Option<Observation>,
    /// Halted versions that the proxy knows; value: time at which that was first observed.
    halted: BTreeMap<Version, Duration>,
    /// (epoch, moves): the proxy has run no version of an epoch above `epoch`, as long as its `moves` have not changed.
    idle: Option<(u64, u64)>,
    /// Not the first observed start of the proxy: it may have run any version before its first observation.
    restarted: bool,
    /// The round of its last observation.
    round: u64,
}

impl Known {
    fn knows(&self, version: &Version) -> Option<Duration> {
        self.halted
            .iter()
            .find(|(halted, _)| halted.halts(version))
            .map(|(_, since)| *since)
    }

    fn new(observation: &Observation, at: Duration, restarted: bool) -> Known {
        let (halted, idle) = (BTreeMap::new(), None);
        let (before, after) = (None, Some(observation.clone()));
        Known {
            last: observation.clone(),
            at,
            before,
            after,
            halted,
            idle,
            restarted,
            round: 0,
        }
    }

    fn record(&mut self, observation: Observation, at: Duration, round: u64) {
        for version in &observation.halted {
            self.halted.entry(version.clone()).or_insert(at);
        }
        while self.halted.len() > REMEMBERED {
            self.halted.pop_first();
        }
        let moved = self
            .idle
            .is_none_or(|(_, moves)| Some(moves) != observation.moves);
        if observation.runs.is_some() || self.restarted {
            self.idle = None;
        } else if moved {
            self.idle = observation.moves.map(|moves| (observation.epoch, moves));
        }
        self.after.get_or_insert_with(|| observation.clone());
        (self.last, self.at, self.round) = (observation, at, round);
    }

    /// The version that the proxy ran at the end of the previous round: the same before and after, without changes in between.
    fn ran(&self) -> Option<&Version> {
        let (before, after) = (self.before.as_ref()?, self.after.as_ref()?);
        let same =
            before.start == after.start && before.moves == after.moves && before.runs == after.runs;
        after.runs.as_ref().filter(|_| same)
    }
}

/// Checks rollouts in rounds: an observation of each running proxy, then `end_round`.
#[derive(Clone, Debug)]
pub struct Checker {
    /// Regions in rollout order, each with all of its proxies.
    order: Vec<(String, Vec<String>)>,
    lasts: Duration,
    known: BTreeMap<String, Known>,
    /// Epochs that reached the whole fleet according to at least one proxy.
    whole: BTreeSet<u64>,
    /// Key: epoch and region; value: the proxy first observed to run it, the round, and the earlier regions that may have been skipped.
    runners: BTreeMap<(u64, usize), (String, u64, BTreeSet<usize>)>,
    round: u64,
    /// The breaches found so far.
    pub broken: Breaches<Breach>,
}

impl Checker {
    /// `lasts`: time for which votes, delays included, may still promote a proxy that has not received a halt.
    pub fn new(order: Vec<(String, Vec<String>)>, lasts: Duration) -> Checker {
        Checker {
            order,
            lasts,
            known: BTreeMap::new(),
            whole: BTreeSet::new(),
            runners: BTreeMap::new(),
            round: 0,
            broken: Breaches::default(),
        }
    }

    /// Takes an observation of a proxy at `now`.
    pub fn observe(&mut self, now: Duration, proxy: &str, observation: Observation) {
        if observation.whole {
            self.whole.insert(observation.epoch);
            while self.whole.len() > REMEMBERED {
                self.whole.pop_first();
            }
        }
        if let Some(version) = &observation.runs {
            if self.halted(proxy, &observation, version) {
                self.broken.add(Breach::HaltedRun {
                    proxy: proxy.to_owned(),
                    version: version.clone(),
                });
            }
            let region = self
                .order
                .iter()
                .position(|(_, proxies)| proxies.iter().any(|p| p == proxy));
            if let Some(region) = region {
                let new = || (proxy.to_owned(), self.round, (0..region).collect());
                self.runners
                    .entry((version.epoch, region))
                    .or_insert_with(new);
                while self.runners.len() > REMEMBERED {
                    self.runners.pop_first();
                }
            }
        }
        let former = self.known.get(proxy);
        if former.is_none_or(|known| known.last.start != observation.start) {
            self.known.insert(
                proxy.to_owned(),
                Known::new(&observation, now, former.is_some()),
            );
        }
        if let Some(known) = self.known.get_mut(proxy) {
            known.record(observation, now, self.round);
        }
    }

    /// Whether the proxy runs a version that it must know, or could have known, to be halted: it knew the halt itself in
    /// this process; or all others have known it for so long that no vote can have promoted the proxy, and it began to run
    /// the version since. A partitioned proxy that ran the version before continues until it detects the partition, which
    /// is not a breach.
    fn halted(&self, proxy: &str, observation: &Observation, version: &Version) -> bool {
        let Some(known) = self
            .known
            .get(proxy)
            .filter(|known| known.last.start == observation.start)
        else {
            return false;
        };
        let began = known.last.runs.as_ref() != Some(version);
        let mut others = self
            .order
            .iter()
            .flat_map(|(_, proxies)| proxies)
            .filter(|p| *p != proxy)
            .peekable();
        let long = |other: &String| {
            let since = self.known.get(other).and_then(|other| other.knows(version));
            since.is_some_and(|since| known.at >= since + self.lasts)
        };
        known.knows(version).is_some() || (began && others.peek().is_some() && others.all(long))
    }

    /// Ends a round in which each running proxy has been observed.
    pub fn end_round(&mut self) {
        let mut running = BTreeMap::new();
        for (proxy, known) in &mut self.known {
            if let Some(version) = known
                .ran()
                .filter(|version| !self.whole.contains(&version.epoch))
            {
                running.insert(proxy.clone(), version.clone());
            }
            (known.before, known.after) = (Some(known.last.clone()), None);
        }
        // Two proposals of the same file count as one version.
        let versions: BTreeSet<_> = running
            .values()
            .map(|v| (v.hash.as_ref(), v.hash.is_none().then_some(v.epoch)))
            .collect();
        if versions.len() > 1 {
            self.broken.add(Breach::TwoNew(running));
        }
        self.check_region_order();
        self.round += 1;
    }

    /// Checks the order of regions: a region was skipped if each of its proxies, observed later, has run no version of that
    /// epoch. This is certain only while a proxy's `moves` do not change, and not for a process that was not observed from
    /// its start.
    fn check_region_order(&mut self) {
        for ((epoch, _), (runner, round, open)) in &mut self.runners {
            open.retain(|&at| {
                let (region, proxies) = &self.order[at];
                let known = || proxies.iter().map(|proxy| self.known.get(proxy));
                let idle = |known: &Known| known.idle.is_some_and(|(from, _)| from < *epoch);
                if proxies.is_empty() || known().flatten().any(|known| !idle(known)) {
                    return false;
                }
                if known().any(|known| known.is_none_or(|known| known.round <= *round)) {
                    return true;
                }
                let (proxy, skipped) = (runner.clone(), region.clone());
                self.broken.add(Breach::OutOfOrder {
                    proxy,
                    epoch: *epoch,
                    skipped,
                });
                false
            });
        }
    }
}
