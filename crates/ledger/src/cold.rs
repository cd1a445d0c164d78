//! How near cold servers come to what they bear of all proxies together.
//!
//! In the time that the settings name a cold server bears the N requests of mean work that they allow it then, and three
//! roots of N and three more for chance. Of each start the fullest such time is kept: it ends with an arrival, since what
//! is allowed only grows from one to the next.

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use world::site::ServerId;
use world::Micros;

/// What the settings allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Part of its capacity that a server starts with, and when it has all of it.
    pub cold: f64,
    pub warm_after: Micros,
    /// Times what it can do that it may get, over this time.
    pub tip: f64,
    pub window: Micros,
    /// Requests of mean work that a warm server does in that time.
    pub warm: f64,
}

impl Bounds {
    /// N, so long after the start; none: it is warm.
    pub fn allowed(&self, age: Micros) -> Option<f64> {
        let warmth = age as f64 / self.warm_after.max(1) as f64;
        (warmth < 1.0).then_some(self.tip * self.warm * (self.cold + (1.0 - self.cold) * warmth))
    }
}

/// The fullest time of one start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Peak {
    pub server: ServerId,
    pub started: Micros,
    /// When that time ended.
    pub at: Micros,
    /// What came, in requests of mean work, and what of it came from proxies that had been told of the start.
    pub got: f64,
    pub told: f64,
    /// N.
    pub allowed: f64,
    /// How many requests those were, and of how many proxies.
    pub requests: u64,
    pub proxies: u64,
}

impl Peak {
    /// Of what the server bears; above 1 it falls.
    pub fn ratio(&self) -> f64 {
        self.got / (self.allowed + 3.0 * self.allowed.sqrt() + 3.0)
    }

    /// Of N alone.
    pub fn of_allowed(&self) -> f64 {
        self.got / self.allowed
    }
}

#[derive(Clone, Copy, Debug)]
struct Came {
    at: Micros,
    work: Micros,
    proxy: usize,
    told: bool,
}

#[derive(Clone, Debug, Default)]
struct Start {
    recent: VecDeque<Came>,
    /// Of those.
    work: Micros,
    told: Micros,
    peak: Peak,
}

#[derive(Clone, Debug)]
pub struct Checker {
    bounds: Bounds,
    mean_work: f64,
    /// By server and when it started.
    starts: BTreeMap<(ServerId, Micros), Start>,
    /// By proxy and server, the latest start that it was told of.
    told: FxHashMap<(usize, ServerId), Micros>,
    /// Starts that got more than they bear.
    pub breaches: u64,
}

impl Checker {
    pub fn new(bounds: Bounds, mean_work: f64) -> Checker {
        Checker { bounds, mean_work, starts: BTreeMap::new(), told: FxHashMap::default(), breaches: 0 }
    }

    pub fn told(&mut self, proxy: usize, server: ServerId, started: Micros) {
        if started > 0 {
            let latest = self.told.entry((proxy, server)).or_default();
            *latest = started.max(*latest);
        }
    }

    /// A request has reached a server that runs since `started`; 0: since long ago.
    pub fn got(&mut self, now: Micros, proxy: usize, server: ServerId, started: Micros, work: Micros) {
        let age = now.saturating_sub(started);
        let Some(allowed) = self.bounds.allowed(age).filter(|_| started > 0) else { return };
        let told = self.told.get(&(proxy, server)).is_some_and(|at| *at >= started);
        let start = self.starts.entry((server, started)).or_default();
        start.recent.push_back(Came { at: now, work, proxy, told });
        start.work += work;
        start.told += if told { work } else { 0 };
        while let Some(old) = start.recent.front().filter(|old| old.at + self.bounds.window <= now) {
            start.work -= old.work;
            start.told -= if old.told { old.work } else { 0 };
            start.recent.pop_front();
        }
        let peak = Peak {
            server,
            started,
            at: now,
            got: start.work as f64 / self.mean_work,
            told: start.told as f64 / self.mean_work,
            allowed,
            requests: start.recent.len() as u64,
            proxies: 0,
        };
        let former = start.peak.ratio();
        if peak.ratio() > former || start.peak.requests == 0 {
            let proxies = start.recent.iter().map(|came| came.proxy).collect::<BTreeSet<_>>().len() as u64;
            self.breaches += u64::from(peak.ratio() > 1.0 && former <= 1.0);
            start.peak = Peak { proxies, ..peak };
        }
    }

    /// One for each start that got anything while it was cold, by server and start.
    pub fn peaks(&self) -> Vec<Peak> {
        self.starts.values().map(|start| start.peak).collect()
    }
}
