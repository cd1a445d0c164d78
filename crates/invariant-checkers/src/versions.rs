//! Rollouts of new versions over a fleet, from observations at what each proxy is to run.
//!
//! What is found is a breach for sure, as far as is said at each rule; what hides between two observations is not found.

use crate::Breaches;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A version as it was proposed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version {
    /// The epoch of the proposal.
    pub epoch: u64,
    /// None: not told, and versions differ by their epochs alone.
    pub hash: Option<String>,
}

impl Version {
    /// Whether a halt of this one ends that one. A later proposal of the same file is a new word of an operator.
    fn halts(&self, other: &Version) -> bool {
        let same = self.hash.is_some() && self.hash == other.hash;
        self.epoch == other.epoch || (same && self.epoch > other.epoch)
    }
}

/// What a proxy says of itself at one instant.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Differs from that of any other start of the proxy.
    pub start: u64,
    /// Of the proposal that it goes by; 0: none.
    pub epoch: u64,
    /// The proposal that it is to run; none: what it ran before.
    pub runs: Option<Version>,
    /// Its rollout has reached the whole: what it runs is no longer new.
    pub whole: bool,
    /// Versions that it knows to be halted.
    pub halted: Vec<Version>,
    /// Versions that it has taken over or failed to since its start; none: not told, and the order can't be judged.
    pub moves: Option<u64>,
}

/// A rule of rollouts that was broken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Breach {
    /// Two new versions ran at one time, by proxy.
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
    /// A region ran a version before an earlier one had.
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

/// Versions that are remembered of a proxy, the newest.
const REMEMBERED: usize = 64;

#[derive(Clone, Debug)]
struct Known {
    last: Observation,
    at: Duration,
    /// The last observation before the end of the former round, and the first of this one.
    before: Option<Observation>,
    after: Option<Observation>,
    /// Since when it was seen to know of a halt.
    halted: BTreeMap<Version, Duration>,
    /// It has run nothing of an epoch beyond the first number, as long as its moves are the second.
    idle: Option<(u64, u64)>,
    /// A start that was not seen from its begin may have run anything before.
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

    fn new(look: &Observation, at: Duration, restarted: bool) -> Known {
        let (halted, idle) = (BTreeMap::new(), None);
        let (before, after) = (None, Some(look.clone()));
        Known {
            last: look.clone(),
            at,
            before,
            after,
            halted,
            idle,
            restarted,
            round: 0,
        }
    }

    fn sees(&mut self, look: Observation, at: Duration, round: u64) {
        for version in &look.halted {
            self.halted.entry(version.clone()).or_insert(at);
        }
        while self.halted.len() > REMEMBERED {
            self.halted.pop_first();
        }
        let moved = self.idle.is_none_or(|(_, moves)| Some(moves) != look.moves);
        if look.runs.is_some() || self.restarted {
            self.idle = None;
        } else if moved {
            self.idle = look.moves.map(|moves| (look.epoch, moves));
        }
        self.after.get_or_insert_with(|| look.clone());
        (self.last, self.at, self.round) = (look, at, round);
    }

    /// What it ran when the former round ended: what it ran before and after, with nothing in between.
    fn ran(&self) -> Option<&Version> {
        let (before, after) = (self.before.as_ref()?, self.after.as_ref()?);
        let same =
            before.start == after.start && before.moves == after.moves && before.runs == after.runs;
        after.runs.as_ref().filter(|_| same)
    }
}

/// A round is an observation at each living proxy, then `end_round`.
#[derive(Clone, Debug)]
pub struct Checker {
    /// Regions in their order, with all of their proxies.
    order: Vec<(String, Vec<String>)>,
    lasts: Duration,
    known: BTreeMap<String, Known>,
    /// Epochs that someone was seen to have brought to the whole.
    whole: BTreeSet<u64>,
    /// Who was seen running which epoch, by region: the round, and which regions may have been passed over.
    runners: BTreeMap<(u64, usize), (String, u64, BTreeSet<usize>)>,
    round: u64,
    /// The breaches found so far.
    pub broken: Breaches<Breach>,
}

impl Checker {
    /// `lasts`: how long votes may still move one that has not heard of a halt, with time for them to arrive.
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

    /// Takes in what a proxy says of itself at `now`.
    pub fn observe(&mut self, now: Duration, proxy: &str, look: Observation) {
        if look.whole {
            self.whole.insert(look.epoch);
            while self.whole.len() > REMEMBERED {
                self.whole.pop_first();
            }
        }
        if let Some(version) = &look.runs {
            if self.halted(proxy, &look, version) {
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
        if former.is_none_or(|known| known.last.start != look.start) {
            self.known
                .insert(proxy.to_owned(), Known::new(&look, now, former.is_some()));
        }
        if let Some(known) = self.known.get_mut(proxy) {
            known.sees(look, now, self.round);
        }
    }

    /// It was seen to know of the halt itself, in this life; or all others did so long ago that no vote can have moved
    /// it, and it began since. One that ran it before and hears nobody goes on until it notes that, which is no breach.
    fn halted(&self, proxy: &str, look: &Observation, version: &Version) -> bool {
        let Some(known) = self
            .known
            .get(proxy)
            .filter(|known| known.last.start == look.start)
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

    /// All have been looked at once more.
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
        // The same file proposed again is one version.
        let versions: BTreeSet<_> = running
            .values()
            .map(|v| (v.hash.as_ref(), v.hash.is_none().then_some(v.epoch)))
            .collect();
        if versions.len() > 1 {
            self.broken.add(Breach::TwoNew(running));
        }
        self.in_order();
        self.round += 1;
    }

    /// A region was passed over if each of its proxies, looked at later, has run nothing of that epoch. That a proxy has
    /// run nothing is known while its moves stand still; who was not seen from its start may have.
    fn in_order(&mut self) {
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
