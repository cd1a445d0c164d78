//! Clients with open-loop arrivals (independent of earlier responses), sessions, timeouts and retries.
//!
//! Every arrival draws the same random numbers, so that two policies with the same seed receive the same requests. For
//! the same reason, the random numbers of a retry derive from the request's own seed.

mod events;
mod settings;
mod shares;

pub use events::{
    Action, Answer, ClientAttempt, ClientAttemptId, Event, RequestOutcome, Settled, TimerKind,
};
pub use settings::{Consistency, Idempotency, RequestClass, Settings, Tenant};
pub use shares::hash_fraction;

use crate::account::{Account, Drawn};
use crate::Micros;
use rand::Rng;
use rand_distr::{Distribution, Exp};
use rustc_hash::FxHashMap;
use shares::{accounts, pick, proxy_parts};
use simulation_engine::streams::{Stream, Streams};
use std::collections::VecDeque;

#[derive(Clone, Debug)]
struct Request {
    class: usize,
    tenant: usize,
    group: u32,
    session: u64,
    proxy: usize,
    sent_at: Micros,
    priority_weight: f64,
    within: bool,
    /// The attempt in flight.
    in_flight: Option<ClientAttemptId>,
    attempts: u32,
    /// Seed of the random numbers for its attempts.
    seed: u64,
    /// Outcome of its last attempt.
    last: RequestOutcome,
}

/// Time constant, in microseconds, of the decaying average of requested work.
const BUSY_TIME_CONSTANT: f64 = 1e6;

/// Number of recent writes kept per proxy, from which read-your-writes sessions are chosen.
const RECENT_WRITES: usize = 32;

/// All clients of all proxies.
#[derive(Debug)]
pub struct Clients {
    settings: Settings,
    arrivals: Stream,
    gaps: Option<Exp<f64>>,
    /// Highest rate of the profile, in requests per second: inter-arrival times are drawn for it, and arrivals beyond
    /// the present rate are dropped.
    peak_rate: f64,
    next: f64,
    surges: Vec<f64>,
    surge_all: f64,
    up: Vec<bool>,
    /// Cumulative sums of the shares: of proxies here, and of groups, classes and tenants below.
    proxies: Vec<f64>,
    groups: Vec<f64>,
    classes: Vec<f64>,
    shares: Vec<f64>,
    requests: FxHashMap<u64, Request>,
    attempts: FxHashMap<ClientAttemptId, u64>,
    commits: FxHashMap<u64, Micros>,
    recent: Vec<VecDeque<(u64, u32, Micros)>>,
    /// Account per tenant, charged by requests as they arrive.
    accounts: Vec<Account>,
    /// Account per tenant, charged by requests as they are served.
    served: Vec<Account>,
    /// Number of cores of all servers; tenants borrow only while `busy` is below it.
    cores: f64,
    busy: (f64, Micros),
    last_request: u64,
    last_attempt: ClientAttemptId,
}

/// Highest factor by which a surge may multiply the request rate.
pub const MAX_SURGE_FACTOR: f64 = 16.0;

impl Clients {
    /// Clients that draw their random numbers from these streams.
    pub fn new(settings: Settings, streams: &Streams) -> Clients {
        let sums = |parts: &mut dyn Iterator<Item = f64>| -> Vec<f64> {
            let mut sum = 0.0;
            parts
                .map(|part| {
                    sum += part;
                    sum
                })
                .collect()
        };
        let highest = settings
            .profile
            .iter()
            .map(|(_, times)| *times)
            .fold(f64::NAN, f64::max);
        let peak_rate = settings.requests_per_s * if highest.is_nan() { 1.0 } else { highest };
        Clients {
            arrivals: streams.stream("arrivals", 0),
            gaps: Exp::new(peak_rate / 1e6).ok().filter(|_| peak_rate > 0.0),
            peak_rate,
            next: 0.0,
            surges: vec![1.0; settings.tenants.len().max(1)],
            surge_all: 1.0,
            up: vec![true; settings.proxies],
            proxies: sums(&mut proxy_parts(&settings).into_iter()),
            groups: sums(
                &mut (0..settings.groups).map(|n| f64::from(n + 1).powf(-settings.group_skew)),
            ),
            classes: sums(&mut settings.classes.iter().map(|k| k.share)),
            shares: sums(&mut settings.tenants.iter().map(|t| t.share)),
            requests: FxHashMap::default(),
            attempts: FxHashMap::default(),
            commits: FxHashMap::default(),
            recent: vec![VecDeque::new(); settings.proxies],
            served: accounts(&settings),
            accounts: accounts(&settings),
            cores: f64::INFINITY,
            busy: (0.0, 0),
            last_request: 0,
            last_attempt: 0,
            settings,
        }
    }

    /// Lets tenants borrow only while the requests that count with full weight need fewer cores than this.
    pub fn with_cores(mut self, cores: f64) -> Clients {
        self.cores = cores;
        self
    }

    /// Number of requests that are not settled.
    pub fn open(&self) -> usize {
        self.requests.len()
    }

    /// Applies an event and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Start => self.schedule(actions),
            Event::Timer(TimerKind::Arrival) => {
                self.schedule(actions);
                self.arrive(now, actions);
            }
            Event::Timer(TimerKind::Retry(request)) => self.send(request, now, actions),
            Event::Timer(TimerKind::Timeout(id)) => {
                if let Some(request) = self.attempts.remove(&id) {
                    if let Some(open) = self.requests.get_mut(&request) {
                        open.in_flight = None;
                        let proxy = open.proxy;
                        actions.push(Action::Abandon { id, proxy });
                    }
                    self.failed(request, RequestOutcome::Abandoned, None, now, actions);
                }
            }
            Event::Answered(id, answer) => self.answered(id, answer, now, actions),
            Event::Surge { tenant, times } => {
                let times = times.clamp(0.0, MAX_SURGE_FACTOR);
                match tenant {
                    Some(tenant) => _ = self.surges.get_mut(tenant).map(|surge| *surge = times),
                    None => self.surge_all = times,
                }
            }
            Event::Proxy { proxy, up } => _ = self.up.get_mut(proxy).map(|was| *was = up),
        }
    }

    /// Schedules the next arrival at the highest possible rate; `arrive` thins the arrivals to the present rate.
    fn schedule(&mut self, actions: &mut Vec<Action>) {
        let surge = self.surge_all * self.surges.iter().copied().fold(1.0, f64::max);
        let Some(gaps) = &self.gaps else { return };
        self.next += gaps.sample(&mut self.arrivals) / surge.max(1.0);
        if self.next < self.settings.length as f64 {
            actions.push(Action::SetTimer(self.next as Micros, TimerKind::Arrival));
        }
    }

    fn rate_factor(&self, now: Micros) -> f64 {
        let points = &self.settings.profile;
        let after = points.partition_point(|(at, _)| *at <= now);
        match (
            after.checked_sub(1).and_then(|at| points.get(at)),
            points.get(after),
        ) {
            (Some((from, a)), Some((to, b))) => {
                a + (b - a) * (now - from) as f64 / (to - from).max(1) as f64
            }
            (Some((_, times)), None) | (None, Some((_, times))) => *times,
            (None, None) => 1.0,
        }
    }

    fn arrive(&mut self, now: Micros, actions: &mut Vec<Action>) {
        // Every arrival draws the same random numbers, whether or not it becomes a request.
        let u: [f64; 7] = std::array::from_fn(|_| self.arrivals.random());
        let seed = self.arrivals.random::<u64>();
        let surge = self.surge_all * self.surges.iter().copied().fold(1.0, f64::max);
        let tenant = pick(&self.shares, u[1]);
        let own = self.surge_all * self.surges.get(tenant).copied().unwrap_or(1.0);
        let rate = self.settings.requests_per_s * self.rate_factor(now) * own;
        if u[0] * self.peak_rate * surge.max(1.0) >= rate
            || self.settings.proxies == 0
            || self.settings.groups == 0
        {
            return;
        }
        let class = pick(&self.classes, u[2]);
        let Some(stated) = self.settings.classes.get(class) else {
            return;
        };
        let proxy = pick(&self.proxies, u[3]);
        let mut group = pick(&self.groups, u[4]) as u32;
        let own_sessions = self.settings.sessions.max(1);
        let number = (u[5] * own_sessions as f64) as u64;
        // A session belongs to one group and one proxy.
        let mut session = (proxy as u64 * own_sessions + number) * u64::from(self.settings.groups)
            + u64::from(group)
            + 1;
        if stated.consistency == Consistency::ReadYourWrites
            && u[6] < self.settings.read_after_write_share
        {
            let lately =
                |at: Micros| now.saturating_sub(at) <= 3 * self.settings.read_after_write_span;
            let recent = self.recent[proxy]
                .iter()
                .rev()
                .take_while(|(.., at)| lately(*at));
            let recent: Vec<(u64, u32)> = recent.map(|(s, g, _)| (*s, *g)).collect();
            if let Some((s, g)) = recent.get((u[5] * recent.len() as f64) as usize) {
                (session, group) = (*s, *g);
            }
        }
        // A request beyond its tenant's quota has a lower weight, whatever its outcome. Retries are not charged to the
        // account: otherwise the demand would depend on the rejections.
        let (busy, since) = self.busy;
        let busy = busy * (-((now - since) as f64) / BUSY_TIME_CONSTANT).exp();
        let room = busy < self.cores;
        let account = self.accounts.get_mut(tenant);
        let within =
            account.is_none_or(|account| account.draw_or_borrow(now, class, room) != Drawn::Beyond);
        let work = if within {
            stated.work.mean / BUSY_TIME_CONSTANT
        } else {
            0.0
        };
        self.busy = (busy + work, now);
        let priority_weight = stated.priority_weight
            * if within {
                1.0
            } else {
                self.settings.over_quota_weight_fraction
            };
        self.last_request += 1;
        let request = self.last_request;
        let open = Request {
            class,
            tenant,
            group,
            session,
            proxy,
            sent_at: now,
            priority_weight,
            within,
            in_flight: None,
            attempts: 0,
            seed,
            last: RequestOutcome::Failed,
        };
        self.requests.insert(request, open);
        self.send(request, now, actions);
    }

    fn send(&mut self, request: u64, now: Micros, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        let class = &self.settings.classes[open.class];
        let left = (open.sent_at + class.deadline).saturating_sub(now);
        let (from, to) = self.settings.patience;
        let given = from + (to - from) * hash_fraction(open.seed ^ u64::from(open.attempts) << 8);
        let wait = ((class.deadline as f64 * given) as Micros).min(left).max(1);
        // A client whose proxy is known to be down uses another one.
        if self.up.get(open.proxy) == Some(&false) {
            let others: Vec<usize> = (0..self.up.len()).filter(|p| self.up[*p]).collect();
            if let Some(other) = others.get(open.seed as usize % others.len().max(1)) {
                open.proxy = *other;
            }
        }
        self.last_attempt += 1;
        let id = self.last_attempt;
        open.in_flight = Some(id);
        open.attempts += 1;
        self.attempts.insert(id, request);
        let last_write = match class.consistency {
            Consistency::ReadYourWrites => self.commits.get(&open.session).copied().unwrap_or(0),
            _ => 0,
        };
        actions.push(Action::SetTimer(now + wait, TimerKind::Timeout(id)));
        actions.push(Action::Send(ClientAttempt {
            id,
            request,
            class: open.class,
            tenant: open.tenant,
            group: open.group,
            session: open.session,
            proxy: open.proxy,
            timeout: wait,
            last_write,
            is_retry: open.attempts > 1 && self.settings.marks_retries,
            within_quota: open.within,
        }));
    }

    fn answered(
        &mut self,
        id: ClientAttemptId,
        answer: Answer,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.attempts.remove(&id) else {
            return;
        };
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        open.in_flight = None;
        match answer {
            Answer::Served { commit } => {
                let class = &self.settings.classes[open.class];
                if class.consistency == Consistency::Write && commit > 0 {
                    let known = self.commits.entry(open.session).or_default();
                    *known = commit.max(*known);
                    let recent = &mut self.recent[open.proxy];
                    recent.push_back((open.session, open.group, now));
                    if recent.len() > RECENT_WRITES {
                        recent.pop_front();
                    }
                }
                let latency = now - open.sent_at;
                let part = if latency <= class.latency_objective {
                    1.0
                } else {
                    class.late_weight_fraction
                };
                let part = if latency <= class.deadline { part } else { 0.0 };
                let earned = open.priority_weight * part;
                let (at, room, whole) = (
                    open.class,
                    self.busy.0 < self.cores,
                    class.priority_weight * part,
                );
                let account = self.served.get_mut(open.tenant).filter(|_| part > 0.0);
                let full = account
                    .is_none_or(|account| account.draw_or_borrow(now, at, room) != Drawn::Beyond);
                let counted = whole
                    * if full {
                        1.0
                    } else {
                        self.settings.over_quota_weight_fraction
                    };
                self.settle(
                    request,
                    RequestOutcome::Served,
                    (earned, counted),
                    Some(latency),
                    actions,
                );
            }
            Answer::Rejected { retry_after } => {
                self.failed(request, RequestOutcome::Rejected, retry_after, now, actions)
            }
            Answer::Failed => self.failed(request, RequestOutcome::Failed, None, now, actions),
            Answer::ConnectionLost { reached: false } => {
                self.failed(request, RequestOutcome::Rejected, None, now, actions)
            }
            Answer::ConnectionLost { reached: true } => {
                self.failed(request, RequestOutcome::Failed, None, now, actions)
            }
        }
    }

    /// Handles an unsuccessful attempt: schedules a retry if it is allowed and there is time, else settles the request.
    fn failed(
        &mut self,
        request: u64,
        outcome: RequestOutcome,
        retry_after: Option<Micros>,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        open.last = outcome;
        let class = &self.settings.classes[open.class];
        // A request that may have run is retried only if it is idempotent.
        let may =
            outcome == RequestOutcome::Rejected || class.idempotency == Idempotency::Idempotent;
        let jitter = 0.5 + hash_fraction(open.seed ^ u64::from(open.attempts) << 24);
        let requested = retry_after.filter(|_| self.settings.obeys_retry_after);
        let wait = requested.unwrap_or(self.settings.retry_wait) as f64 * jitter;
        let at = now + (wait as Micros).max(1);
        if may && open.attempts <= self.settings.max_retries && at < open.sent_at + class.deadline {
            actions.push(Action::SetTimer(at, TimerKind::Retry(request)));
        } else {
            self.settle(request, outcome, (0.0, 0.0), None, actions);
        }
    }

    fn settle(
        &mut self,
        request: u64,
        outcome: RequestOutcome,
        (earned, counted): (f64, f64),
        latency: Option<Micros>,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.requests.remove(&request) else {
            return;
        };
        let Request {
            class,
            tenant,
            group,
            sent_at,
            priority_weight,
            attempts,
            ..
        } = open;
        actions.push(Action::Settled(Settled {
            request,
            class,
            tenant,
            group,
            sent_at,
            priority_weight,
            earned,
            counted,
            latency,
            attempts,
            outcome,
        }));
    }

    /// Settles all open requests with the outcome of their last attempt, at the end of a run.
    pub fn close(&mut self, actions: &mut Vec<Action>) {
        let mut open: Vec<(u64, RequestOutcome)> =
            self.requests.iter().map(|(id, r)| (*id, r.last)).collect();
        open.sort_unstable_by_key(|(id, _)| *id);
        for (request, last) in open {
            self.settle(request, last, (0.0, 0.0), None, actions);
        }
    }
}
