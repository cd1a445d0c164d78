//! Checks how close the load of cold servers, summed over all proxies, comes to what they can take.
//!
//! - The settings allow a cold server N requests of mean work per window; N grows with the time since the start.
//! - The overload threshold adds an allowance for chance: two square roots of N plus two, or three square roots plus three
//!   where N is below 30.
//! - For each start the window with the highest ratio of load to threshold is kept. It ends with an arrival, since the
//!   allowed number only grows between arrivals.
//! - The highest window of which over two thirds came from proxies that had been notified of the start is kept separately:
//!   only an overload in such a window violates the rule.

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use server_model::site::ServerIndex;
use server_model::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Below this N the allowance for chance is wider.
const FEW_REQUESTS: f64 = 30.0;
/// Allowance for chance beyond N: factor of the square root of N, and number of requests added to it.
const ALLOWANCE: f64 = 2.0;
/// The same where N is below [`FEW_REQUESTS`].
const ALLOWANCE_OF_FEW: f64 = 3.0;

/// Number of requests of mean work in a window above which a server is overloaded; `allowed`: N, the number that the settings allow.
pub fn overload_threshold(allowed: f64) -> f64 {
    let allowance = if allowed < FEW_REQUESTS {
        ALLOWANCE_OF_FEW
    } else {
        ALLOWANCE
    };
    allowed + allowance * allowed.sqrt() + allowance
}

/// Limits of cold servers according to the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Fraction of its capacity that a server starts with, from 0 to 1.
    pub cold: f64,
    /// Time after the start, in microseconds, at which a server has its full capacity.
    pub warm_after: Micros,
    /// Allowed load within a window, as a multiple of the server's capacity.
    pub tip: f64,
    /// Length of the window in which requests add up, in microseconds.
    pub window: Micros,
    /// Requests of mean work that a warm server completes within a window.
    pub warm: f64,
}

impl Bounds {
    /// N at this time after the start, in microseconds; none: the server is warm.
    pub fn allowed(&self, age: Micros) -> Option<f64> {
        let warmth = age as f64 / self.warm_after.max(1) as f64;
        (warmth < 1.0).then_some(self.tip * self.warm * (self.cold + (1.0 - self.cold) * warmth))
    }
}

/// The window of one server start with the highest ratio of load to threshold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Peak {
    /// The server.
    pub server: ServerIndex,
    /// When it started, in microseconds of virtual time.
    pub started: Micros,
    /// End of the window, in microseconds of virtual time.
    pub at: Micros,
    /// Work received in the window, in requests of mean work.
    pub got: f64,
    /// The part of `got` from proxies that had been notified of the start.
    pub told: f64,
    /// N at the end of the window.
    pub allowed: f64,
    /// Number of requests in the window.
    pub requests: u64,
    /// Number of proxies that sent them.
    pub proxies: u64,
}

impl Peak {
    /// Load relative to the overload threshold; above 1 the server is overloaded.
    pub fn ratio(&self) -> f64 {
        self.got / overload_threshold(self.allowed)
    }

    /// Whether over two thirds of the work came from proxies that had been notified of the start.
    pub fn mostly_notified(&self) -> bool {
        3.0 * self.told > 2.0 * self.got
    }

    /// Load relative to N, without the allowance for chance.
    pub fn ratio_to_allowed(&self) -> f64 {
        self.got / self.allowed
    }
}

#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Micros,
    work: Micros,
    proxy: usize,
    told: bool,
    request: bool,
}

#[derive(Clone, Debug, Default)]
struct Start {
    recent: VecDeque<Arrival>,
    /// Sums over `recent`: work, work from notified proxies (both in microseconds), and number of requests.
    work: Micros,
    told: Micros,
    requests: u64,
    peak: Peak,
    /// The highest window that came mostly from notified proxies.
    notified_peak: Option<Peak>,
}

/// Sums the load of each starting server over all proxies.
#[derive(Clone, Debug)]
pub struct Checker {
    bounds: Bounds,
    mean_work: f64,
    /// Key: server and time of its start.
    starts: BTreeMap<(ServerIndex, Micros), Start>,
    /// Key: proxy and server; value: the latest start of which the proxy was notified.
    told: FxHashMap<(usize, ServerIndex), Micros>,
    /// Number of starts whose load exceeded the threshold.
    pub breaches: u64,
}

impl Checker {
    /// `mean_work`: the work of a mean request, in microseconds.
    pub fn new(bounds: Bounds, mean_work: f64) -> Checker {
        Checker {
            bounds,
            mean_work,
            starts: BTreeMap::new(),
            told: FxHashMap::default(),
            breaches: 0,
        }
    }

    /// Records that a proxy has been notified of a server's start; 0: a start long ago, which is ignored.
    pub fn notified(&mut self, proxy: usize, server: ServerIndex, started: Micros) {
        if started > 0 {
            let latest = self.told.entry((proxy, server)).or_default();
            *latest = started.max(*latest);
        }
    }

    /// Records a request that reached a server, which started at `started`; 0: long ago, which is ignored.
    pub fn record_request(
        &mut self,
        now: Micros,
        proxy: usize,
        server: ServerIndex,
        started: Micros,
        work: Micros,
    ) {
        self.count(now, proxy, server, started, work, true);
    }

    /// Records a probe or a new connection: its work counts, but not as a request.
    pub fn record_background_work(
        &mut self,
        now: Micros,
        proxy: usize,
        server: ServerIndex,
        started: Micros,
        work: Micros,
    ) {
        self.count(now, proxy, server, started, work, false);
    }

    fn count(
        &mut self,
        now: Micros,
        proxy: usize,
        server: ServerIndex,
        started: Micros,
        work: Micros,
        request: bool,
    ) {
        let age = now.saturating_sub(started);
        let Some(allowed) = self.bounds.allowed(age).filter(|_| started > 0) else {
            return;
        };
        let told = self
            .told
            .get(&(proxy, server))
            .is_some_and(|at| *at >= started);
        let start = self.starts.entry((server, started)).or_default();
        start.recent.push_back(Arrival {
            at: now,
            work,
            proxy,
            told,
            request,
        });
        start.requests += u64::from(request);
        start.work += work;
        start.told += if told { work } else { 0 };
        while let Some(old) = start
            .recent
            .front()
            .filter(|old| old.at + self.bounds.window <= now)
        {
            start.work -= old.work;
            start.told -= if old.told { old.work } else { 0 };
            start.requests -= u64::from(old.request);
            start.recent.pop_front();
        }
        let peak = Peak {
            server,
            started,
            at: now,
            got: start.work as f64 / self.mean_work,
            told: start.told as f64 / self.mean_work,
            allowed,
            requests: start.requests,
            proxies: 0,
        };
        let former = start.notified_peak.map_or(0.0, |former| former.ratio());
        if peak.mostly_notified() && peak.ratio() > former {
            start.notified_peak = Some(Peak {
                proxies: proxies_of(&start.recent),
                ..peak
            });
        }
        let former = start.peak.ratio();
        if peak.ratio() > former {
            self.breaches += u64::from(peak.ratio() > 1.0 && former <= 1.0);
            start.peak = Peak {
                proxies: proxies_of(&start.recent),
                ..peak
            };
        }
    }

    /// The highest window of each start that received work while cold, ordered by server and start.
    pub fn peaks(&self) -> Vec<Peak> {
        self.starts.values().map(|start| start.peak).collect()
    }
    /// The highest window of which over two thirds came from notified proxies, of each start that had one, ordered by
    /// server and start.
    pub fn notified_peaks(&self) -> Vec<Peak> {
        self.starts
            .values()
            .filter_map(|start| start.notified_peak)
            .collect()
    }
}

fn proxies_of(recent: &VecDeque<Arrival>) -> u64 {
    recent
        .iter()
        .map(|came| came.proxy)
        .collect::<BTreeSet<_>>()
        .len() as u64
}
