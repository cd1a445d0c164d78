//! How near cold servers come to what they bear of all proxies together.
//!
//! In the time that the settings name a cold server bears the N requests of mean work that they allow it then, and two
//! roots of N and two more for chance; where N is under 30, three roots and three. Of each start the fullest such time is
//! kept: it ends with an arrival, since what is allowed only grows from one to the next. The fullest of those is kept
//! beside it of which over two thirds came from proxies that had been told of the start: only such a fall breaks the
//! rule.

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use server_model::site::ServerIndex;
use server_model::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Under this N the allowance for chance is wider.
const FEW_REQUESTS: f64 = 30.0;
/// Roots of N, and requests, that a server bears beyond N, and the same where N is under [`FEW_REQUESTS`].
const ALLOWANCE: f64 = 2.0;
const ALLOWANCE_OF_FEW: f64 = 3.0;

/// Requests of mean work that a server falls beyond, where the settings allow it `allowed` of them.
pub fn overload_threshold(allowed: f64) -> f64 {
    let allowance = if allowed < FEW_REQUESTS {
        ALLOWANCE_OF_FEW
    } else {
        ALLOWANCE
    };
    allowed + allowance * allowed.sqrt() + allowance
}

/// What the settings allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Part of its capacity that a server starts with, and when it has all of it.
    pub cold: f64,
    /// Time after the start, in microseconds, at which it has all of its capacity.
    pub warm_after: Micros,
    /// Times what it can do that it may get, over this time.
    pub tip: f64,
    /// Length of the window in which requests add up, in microseconds.
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
    /// The server.
    pub server: ServerIndex,
    /// When it started, in microseconds of virtual time.
    pub started: Micros,
    /// When that time ended.
    pub at: Micros,
    /// What came, in requests of mean work, and what of it came from proxies that had been told of the start.
    pub got: f64,
    /// The part of `got` from proxies that had been notified of the start.
    pub told: f64,
    /// N.
    pub allowed: f64,
    /// How many requests those were, and of how many proxies.
    pub requests: u64,
    /// How many proxies sent them.
    pub proxies: u64,
}

impl Peak {
    /// Of what the server bears; above 1 it falls.
    pub fn ratio(&self) -> f64 {
        self.got / overload_threshold(self.allowed)
    }

    /// Whether over two thirds came from proxies that had been told of the start.
    pub fn mostly_notified(&self) -> bool {
        3.0 * self.told > 2.0 * self.got
    }

    /// Of N alone.
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
    /// Of those.
    work: Micros,
    told: Micros,
    requests: u64,
    peak: Peak,
    /// The fullest that was mostly told.
    notified_peak: Option<Peak>,
}

/// Adds up what each starting server gets, over all proxies.
#[derive(Clone, Debug)]
pub struct Checker {
    bounds: Bounds,
    mean_work: f64,
    /// By server and when it started.
    starts: BTreeMap<(ServerIndex, Micros), Start>,
    /// By proxy and server, the latest start that it was told of.
    told: FxHashMap<(usize, ServerIndex), Micros>,
    /// Starts that got more than they bear.
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

    /// A proxy has been notified that a server started; 0: long ago, which does not count.
    pub fn notified(&mut self, proxy: usize, server: ServerIndex, started: Micros) {
        if started > 0 {
            let latest = self.told.entry((proxy, server)).or_default();
            *latest = started.max(*latest);
        }
    }

    /// A request has reached a server that runs since `started`; 0: since long ago.
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

    /// The same of a probe or a new connection: its work counts, and it is no request.
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

    /// One for each start that got anything while it was cold, by server and start.
    pub fn peaks(&self) -> Vec<Peak> {
        self.starts.values().map(|start| start.peak).collect()
    }
    /// One for each start that had a time in which it got something and over two thirds came from proxies that had been
    /// told, by server and start.
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
