//! Clients: requests that come by themselves, whatever becomes of those before them; sessions, patience, repeats.
//!
//! Every arrival draws the same numbers, so two policies on one seed are asked the same. What is drawn for repeats goes
//! by the request's own number, for the same reason.

use crate::account::{Account, Credit, Drawn};
use crate::law::Work;
use crate::Micros;
use rand::Rng;
use rand_distr::{Distribution, Exp};
use rustc_hash::FxHashMap;
use simulation_engine::streams::{Stream, Streams};
use std::collections::VecDeque;

/// What a request needs of the data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// The primary has to take it.
    Write,
    /// All that was written before it came.
    Fresh,
    /// What its session has written.
    Session,
    /// Data no older than this.
    Bounded(Micros),
    /// Any member may answer, however old its data.
    Any,
}

/// What a retry of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Idempotent: any number of attempts may run.
    Safe,
    /// Duplicates are dropped by its group for this long.
    Keyed(Micros),
    /// Not idempotent: it may run once.
    Never,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// The class's name.
    pub name: String,
    /// The data that it needs.
    pub need: Need,
    /// Whether it may run again.
    pub repeat: Repeat,
    /// Part of the requests, in proportion to the others'.
    pub share: f64,
    /// The work of a request, in microseconds of a core.
    pub work: Work,
    /// Latency objective: an answer within it earns the full weight.
    pub aim: Micros,
    /// After this the client gives up.
    pub deadline: Micros,
    /// Priority weight.
    pub worth: f64,
    /// Part of the worth that a late answer earns.
    pub late_worth: f64,
}

/// A customer, of whom a part of the requests are.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The tenant's name.
    pub name: String,
    /// Its part of the requests, in proportion to the others'.
    pub share: f64,
    /// Requests a second that count in full; 0: all.
    pub quota: f64,
    /// What it may borrow; none: nothing.
    pub credit: Option<Credit>,
}

/// The load that clients bring.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The classes of requests.
    pub kinds: Vec<Kind>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// Worth of what is beyond a tenant's quota.
    pub over_worth: f64,
    /// Requests a second, and how many times that at which time: straight lines between the points.
    pub per_s: f64,
    /// Time, and the multiple of `per_s` at that time.
    pub profile: Vec<(Micros, f64)>,
    /// How long requests come.
    pub length: Micros,
    /// Number of proxies.
    pub proxies: usize,
    /// Number of groups of servers.
    pub groups: u32,
    /// How unequal the proxies' shares are: the n-th gets in proportion to n to the power of minus this.
    pub unequal: f64,
    /// So many of the first proxies carry this part of the requests together; 0: no more than by `unequal`.
    pub busy: usize,
    /// The part of all requests that the `busy` proxies carry.
    pub busy_carry: f64,
    /// The same of the groups.
    pub skew: f64,
    /// Sessions at each proxy; the part of their reads that come soon after one of their writes, and how soon.
    pub sessions: u64,
    /// The part of session reads that follow a write of their session.
    pub after_write: f64,
    /// How soon they follow it.
    pub soon: Micros,
    /// Further tries at the most, after this wait unless the proxy tells another that is heeded.
    pub repeats: u32,
    /// The wait before a client's retry.
    pub wait: Micros,
    /// Clients wait as long as the proxy tells them to.
    pub heeds: bool,
    /// Repeats say that they are.
    pub marks: bool,
    /// Of the deadline, the part that a try is given: from, to.
    pub patience: (f64, f64),
}

/// Names one try of a client, from 1.
pub type TryId = u64;

/// One try of a request, at a proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Try {
    /// The try's name.
    pub id: TryId,
    /// The request that it belongs to: what its work and its effect go by.
    pub request: u64,
    /// Its class, by position in [`Settings::kinds`].
    pub kind: usize,
    /// Its tenant, by position in [`Settings::tenants`].
    pub tenant: usize,
    /// The group that it is for.
    pub group: u32,
    /// The session that it belongs to.
    pub session: u64,
    /// The proxy that it is sent to.
    pub proxy: usize,
    /// Until its client gives it up.
    pub wait: Micros,
    /// The session's last write, as the client knows it; 0: none.
    pub wrote: Micros,
    /// The client says that it is a retry.
    pub repeated: bool,
    /// Its request is within its tenant's quota, or lent to it, which a proxy can't know.
    pub within: bool,
}

/// The final answer to a try.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// Of a write: its commit.
    Served {
        /// When it took effect.
        commit: Micros,
    },
    /// Rejected: nothing ran that a retry could double.
    Refused {
        /// The wait that the proxy asks for.
        retry_after: Option<Micros>,
    },
    /// Failed: it may have run.
    Failed,
    /// The proxy can't be reached, or has died with it.
    Gone {
        /// The try had reached the proxy.
        reached: bool,
    },
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// The next request of a client.
    Arrival,
    /// A client's retry of that request.
    Repeat(u64),
    /// The client of that try gives up.
    GiveUp(TryId),
}

/// What happens to the clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The run begins.
    Start,
    /// A timer asked for with [`Action::DueAt`].
    Due(Due),
    /// A try has its final answer.
    Answered(TryId, Answer),
    /// One tenant's requests, or all, come so many times as fast from now on.
    Surge {
        /// The tenant; none: all.
        tenant: Option<usize>,
        /// The multiple of the usual rate.
        times: f64,
    },
    /// Whether new tries find a proxy.
    Proxy {
        /// The proxy.
        proxy: usize,
        /// Whether it accepts connections.
        up: bool,
    },
}

/// How a request ended, for whoever keeps the books.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settled {
    /// The request.
    pub request: u64,
    /// Its class, by position.
    pub kind: usize,
    /// Its tenant, by position.
    pub tenant: usize,
    /// Its group.
    pub group: u32,
    /// When the client first sent it.
    pub came: Micros,
    /// Its priority weight.
    pub worth: f64,
    /// What it earned, and after which time; none: it was not served.
    pub earned: f64,
    /// The same if those of its tenant that were served count in full as far as its account goes, whichever they are.
    pub counted: f64,
    /// Time from the first try to the answer; none: it was not served.
    pub took: Option<Micros>,
    /// How many tries the client made.
    pub tries: u32,
    /// How it ended.
    pub end: End,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With an answer.
    Served,
    /// Rejected, and not tried again.
    Refused,
    /// Failed, and not tried again.
    Failed,
    /// Its client's time was over.
    Left,
}

/// What clients do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send a try to its proxy.
    Ask(Try),
    /// Nobody waits for that try any more.
    Leave {
        /// The try.
        id: TryId,
        /// The proxy that has it.
        proxy: usize,
    },
    /// Ask for [`Event::Due`] at that time.
    DueAt(Micros, Due),
    /// A request is over.
    Settled(Settled),
}

#[derive(Clone, Debug)]
struct Request {
    kind: usize,
    tenant: usize,
    group: u32,
    session: u64,
    proxy: usize,
    came: Micros,
    worth: f64,
    within: bool,
    /// The try that is out.
    out: Option<TryId>,
    tries: u32,
    /// Draws for its tries come of this.
    seed: u64,
    /// How its last try ended.
    last: End,
}

/// How long what was asked for tells how busy servers are.
const BUSY: f64 = 1e6;

/// The last writes of a proxy's clients, which reads come after.
const RECENT: usize = 32;

/// All clients of all proxies.
#[derive(Debug)]
pub struct Clients {
    set: Settings,
    arrivals: Stream,
    gaps: Option<Exp<f64>>,
    /// The rate that gaps are drawn for; of its arrivals those beyond the present rate are dropped.
    most: f64,
    next: f64,
    surges: Vec<f64>,
    surge_all: f64,
    up: Vec<bool>,
    /// Shares of proxies, kinds and tenants as sums so far.
    proxies: Vec<f64>,
    groups: Vec<f64>,
    kinds: Vec<f64>,
    shares: Vec<f64>,
    requests: FxHashMap<u64, Request>,
    tries: FxHashMap<TryId, u64>,
    commits: FxHashMap<u64, Micros>,
    recent: Vec<VecDeque<(u64, u32, Micros)>>,
    /// Of tenants.
    accounts: Vec<Account>,
    /// The same accounts, drawn on by what is served.
    served: Vec<Account>,
    /// Cores that there are, and what counts in full asks of them, of the last second.
    cores: f64,
    busy: (f64, Micros),
    last_request: u64,
    last_try: TryId,
}

/// Times of the usual that a surge may be.
pub const SURGE_MOST: f64 = 16.0;

impl Clients {
    /// Clients whose draws come from these streams.
    pub fn new(set: Settings, streams: &Streams) -> Clients {
        let sums = |parts: &mut dyn Iterator<Item = f64>| -> Vec<f64> {
            let mut sum = 0.0;
            parts
                .map(|part| {
                    sum += part;
                    sum
                })
                .collect()
        };
        let highest = set
            .profile
            .iter()
            .map(|(_, times)| *times)
            .fold(f64::NAN, f64::max);
        let most = set.per_s * if highest.is_nan() { 1.0 } else { highest };
        Clients {
            arrivals: streams.stream("arrivals", 0),
            gaps: Exp::new(most / 1e6).ok().filter(|_| most > 0.0),
            most,
            next: 0.0,
            surges: vec![1.0; set.tenants.len().max(1)],
            surge_all: 1.0,
            up: vec![true; set.proxies],
            proxies: sums(&mut proxy_parts(&set).into_iter()),
            groups: sums(&mut (0..set.groups).map(|n| f64::from(n + 1).powf(-set.skew))),
            kinds: sums(&mut set.kinds.iter().map(|k| k.share)),
            shares: sums(&mut set.tenants.iter().map(|t| t.share)),
            requests: FxHashMap::default(),
            tries: FxHashMap::default(),
            commits: FxHashMap::default(),
            recent: vec![VecDeque::new(); set.proxies],
            served: accounts(&set),
            accounts: accounts(&set),
            cores: f64::INFINITY,
            busy: (0.0, 0),
            last_request: 0,
            last_try: 0,
            set,
        }
    }

    /// Of whom tenants borrow only as long as what counts in full asks for less than these cores.
    pub fn before(mut self, cores: f64) -> Clients {
        self.cores = cores;
        self
    }

    /// Requests that are neither served nor given up.
    pub fn open(&self) -> usize {
        self.requests.len()
    }

    /// Applies an event and appends what follows from it.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Start => self.schedule(actions),
            Event::Due(Due::Arrival) => {
                self.schedule(actions);
                self.arrive(now, actions);
            }
            Event::Due(Due::Repeat(request)) => self.ask(request, now, actions),
            Event::Due(Due::GiveUp(id)) => {
                if let Some(request) = self.tries.remove(&id) {
                    if let Some(open) = self.requests.get_mut(&request) {
                        open.out = None;
                        let proxy = open.proxy;
                        actions.push(Action::Leave { id, proxy });
                    }
                    self.ended(request, End::Left, None, now, actions);
                }
            }
            Event::Answered(id, answer) => self.answered(id, answer, now, actions),
            Event::Surge { tenant, times } => {
                let times = times.clamp(0.0, SURGE_MOST);
                match tenant {
                    Some(tenant) => _ = self.surges.get_mut(tenant).map(|surge| *surge = times),
                    None => self.surge_all = times,
                }
            }
            Event::Proxy { proxy, up } => _ = self.up.get_mut(proxy).map(|was| *was = up),
        }
    }

    /// Arrivals are drawn for the highest rate that there may be, and thinned to the present one.
    fn schedule(&mut self, actions: &mut Vec<Action>) {
        let surge = self.surge_all * self.surges.iter().copied().fold(1.0, f64::max);
        let Some(gaps) = &self.gaps else { return };
        self.next += gaps.sample(&mut self.arrivals) / surge.max(1.0);
        if self.next < self.set.length as f64 {
            actions.push(Action::DueAt(self.next as Micros, Due::Arrival));
        }
    }

    fn times(&self, now: Micros) -> f64 {
        let points = &self.set.profile;
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
        // Every arrival draws the same numbers, whatever becomes of it.
        let u: [f64; 7] = std::array::from_fn(|_| self.arrivals.random());
        let seed = self.arrivals.random::<u64>();
        let surge = self.surge_all * self.surges.iter().copied().fold(1.0, f64::max);
        let tenant = pick(&self.shares, u[1]);
        let own = self.surge_all * self.surges.get(tenant).copied().unwrap_or(1.0);
        let rate = self.set.per_s * self.times(now) * own;
        if u[0] * self.most * surge.max(1.0) >= rate
            || self.set.proxies == 0
            || self.set.groups == 0
        {
            return;
        }
        let kind = pick(&self.kinds, u[2]);
        let Some(stated) = self.set.kinds.get(kind) else {
            return;
        };
        let proxy = pick(&self.proxies, u[3]);
        let mut group = pick(&self.groups, u[4]) as u32;
        let own_sessions = self.set.sessions.max(1);
        let number = (u[5] * own_sessions as f64) as u64;
        // A session is of one group and one proxy.
        let mut session = (proxy as u64 * own_sessions + number) * u64::from(self.set.groups)
            + u64::from(group)
            + 1;
        if stated.need == Need::Session && u[6] < self.set.after_write {
            let lately = |at: Micros| now.saturating_sub(at) <= 3 * self.set.soon;
            let recent = self.recent[proxy]
                .iter()
                .rev()
                .take_while(|(.., at)| lately(*at));
            let recent: Vec<(u64, u32)> = recent.map(|(s, g, _)| (*s, *g)).collect();
            if let Some((s, g)) = recent.get((u[5] * recent.len() as f64) as usize) {
                (session, group) = (*s, *g);
            }
        }
        // What is beyond a tenant's quota is worth less, whatever is done with it. Its repeats draw no more: what was
        // asked for would depend on what was refused.
        let (busy, since) = self.busy;
        let busy = busy * (-((now - since) as f64) / BUSY).exp();
        let room = busy < self.cores;
        let account = self.accounts.get_mut(tenant);
        let within =
            account.is_none_or(|account| account.draw_on(now, kind, room) != Drawn::Beyond);
        let work = if within { stated.work.mean / BUSY } else { 0.0 };
        self.busy = (busy + work, now);
        let worth = stated.worth * if within { 1.0 } else { self.set.over_worth };
        self.last_request += 1;
        let request = self.last_request;
        let open = Request {
            kind,
            tenant,
            group,
            session,
            proxy,
            came: now,
            worth,
            within,
            out: None,
            tries: 0,
            seed,
            last: End::Failed,
        };
        self.requests.insert(request, open);
        self.ask(request, now, actions);
    }

    fn ask(&mut self, request: u64, now: Micros, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        let kind = &self.set.kinds[open.kind];
        let left = (open.came + kind.deadline).saturating_sub(now);
        let (from, to) = self.set.patience;
        let given = from + (to - from) * share_of(open.seed ^ u64::from(open.tries) << 8);
        let wait = ((kind.deadline as f64 * given) as Micros).min(left).max(1);
        // Whose proxy is known to be down goes to another.
        if self.up.get(open.proxy) == Some(&false) {
            let others: Vec<usize> = (0..self.up.len()).filter(|p| self.up[*p]).collect();
            if let Some(other) = others.get(open.seed as usize % others.len().max(1)) {
                open.proxy = *other;
            }
        }
        self.last_try += 1;
        let id = self.last_try;
        open.out = Some(id);
        open.tries += 1;
        self.tries.insert(id, request);
        let wrote = match kind.need {
            Need::Session => self.commits.get(&open.session).copied().unwrap_or(0),
            _ => 0,
        };
        actions.push(Action::DueAt(now + wait, Due::GiveUp(id)));
        actions.push(Action::Ask(Try {
            id,
            request,
            kind: open.kind,
            tenant: open.tenant,
            group: open.group,
            session: open.session,
            proxy: open.proxy,
            wait,
            wrote,
            repeated: open.tries > 1 && self.set.marks,
            within: open.within,
        }));
    }

    fn answered(&mut self, id: TryId, answer: Answer, now: Micros, actions: &mut Vec<Action>) {
        let Some(request) = self.tries.remove(&id) else {
            return;
        };
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        open.out = None;
        match answer {
            Answer::Served { commit } => {
                let kind = &self.set.kinds[open.kind];
                if kind.need == Need::Write && commit > 0 {
                    let known = self.commits.entry(open.session).or_default();
                    *known = commit.max(*known);
                    let recent = &mut self.recent[open.proxy];
                    recent.push_back((open.session, open.group, now));
                    if recent.len() > RECENT {
                        recent.pop_front();
                    }
                }
                let took = now - open.came;
                let part = if took <= kind.aim {
                    1.0
                } else {
                    kind.late_worth
                };
                let part = if took <= kind.deadline { part } else { 0.0 };
                let earned = open.worth * part;
                let (at, room, whole) = (open.kind, self.busy.0 < self.cores, kind.worth * part);
                let account = self.served.get_mut(open.tenant).filter(|_| part > 0.0);
                let full =
                    account.is_none_or(|account| account.draw_on(now, at, room) != Drawn::Beyond);
                let counted = whole * if full { 1.0 } else { self.set.over_worth };
                self.settle(request, End::Served, (earned, counted), Some(took), actions);
            }
            Answer::Refused { retry_after } => {
                self.ended(request, End::Refused, retry_after, now, actions)
            }
            Answer::Failed => self.ended(request, End::Failed, None, now, actions),
            Answer::Gone { reached: false } => {
                self.ended(request, End::Refused, None, now, actions)
            }
            Answer::Gone { reached: true } => self.ended(request, End::Failed, None, now, actions),
        }
    }

    /// A try has come to nothing: another follows, if it may and there is time.
    fn ended(
        &mut self,
        request: u64,
        end: End,
        retry_after: Option<Micros>,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        open.last = end;
        let kind = &self.set.kinds[open.kind];
        // What may have run is asked for again only where that does no harm.
        let may = end == End::Refused || kind.repeat == Repeat::Safe;
        let jitter = 0.5 + share_of(open.seed ^ u64::from(open.tries) << 24);
        let told = retry_after.filter(|_| self.set.heeds);
        let wait = told.unwrap_or(self.set.wait) as f64 * jitter;
        let at = now + (wait as Micros).max(1);
        if may && open.tries <= self.set.repeats && at < open.came + kind.deadline {
            actions.push(Action::DueAt(at, Due::Repeat(request)));
        } else {
            self.settle(request, end, (0.0, 0.0), None, actions);
        }
    }

    fn settle(
        &mut self,
        request: u64,
        end: End,
        (earned, counted): (f64, f64),
        took: Option<Micros>,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.requests.remove(&request) else {
            return;
        };
        let Request {
            kind,
            tenant,
            group,
            came,
            worth,
            tries,
            ..
        } = open;
        actions.push(Action::Settled(Settled {
            request,
            kind,
            tenant,
            group,
            came,
            worth,
            earned,
            counted,
            took,
            tries,
            end,
        }));
    }

    /// What is still open counts as it stands; for the end of a run.
    pub fn close(&mut self, actions: &mut Vec<Action>) {
        let mut open: Vec<(u64, End)> = self.requests.iter().map(|(id, r)| (*id, r.last)).collect();
        open.sort_unstable_by_key(|(id, _)| *id);
        for (request, last) in open {
            self.settle(request, last, (0.0, 0.0), None, actions);
        }
    }
}

fn accounts(set: &Settings) -> Vec<Account> {
    set.tenants
        .iter()
        .map(|t| Account::new(t.quota).with(t.credit.clone()))
        .collect()
}

/// Parts of the requests that proxies get, in proportion.
fn proxy_parts(set: &Settings) -> Vec<f64> {
    let mut parts: Vec<f64> = (0..set.proxies)
        .map(|n| ((n + 1) as f64).powf(-set.unequal))
        .collect();
    let busy = set.busy.min(parts.len());
    if busy > 0 && busy < parts.len() {
        let (first, others) = parts.split_at_mut(busy);
        for (some, carry) in [(first, set.busy_carry), (others, 1.0 - set.busy_carry)] {
            let sum: f64 = some.iter().sum();
            some.iter_mut().for_each(|part| *part *= carry / sum);
        }
    }
    parts
}

/// The place of a draw among sums of shares.
fn pick(sums: &[f64], u: f64) -> usize {
    let all = sums.last().copied().unwrap_or(0.0);
    sums.partition_point(|sum| *sum <= u * all)
        .min(sums.len().saturating_sub(1))
}

/// A number from 0 to 1 that looks random and is the same for the same seed.
pub fn share_of(seed: u64) -> f64 {
    let z = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((z ^ (z >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
}
