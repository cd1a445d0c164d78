//! Plays a scenario for one policy and one seed.

use crate::check::{Checker, Rule};
use crate::policy::{Name, Policy, View};
use crate::scenario::{Scenario, Trouble};
use engine::streams::{Stream, Streams};
use engine::wheel::Wheel;
use mountshift::{
    Action, Arrival, AttemptNo, ClassId, Ended, Entry, Event, GroupId, KindId, ListNews, Listed, Need, Note,
    Outcome, Report, RequestId, SessionKey, StoreId, TenantId, Time, ZoneId,
};
use rand::Rng;
use rand_distr::{Distribution, Exp};
use std::collections::BTreeMap;
use std::time::Duration;
use world::group::{self, Group};
use world::server::{self, Server};
use world::Micros;

/// Virtual time starts here on the policies' clock, where 0 stands for absent.
const ORIGIN: Micros = 1_000_000_000;
/// A probe of a silent server is given up after this.
const PROBE_WAIT: Micros = 250_000;
/// Sessions that each proxy's clients come back to.
const SESSIONS: u64 = 400;

fn time(now: Micros) -> Time {
    Time::from_micros(ORIGIN + now)
}

enum Step {
    Arrive,
    AtServer(u64),
    Back { attempt: u64, outcome: Outcome, note: Note },
    TimeOut(u64),
    Wake { server: usize, number: u64 },
    GroupDue(usize),
    Timer { proxy: usize, token: mountshift::TimerToken },
    Probed { proxy: usize, server: usize, sent: Micros },
    List { proxy: usize, started: Option<usize> },
    Trouble(usize),
    Over(Trouble),
    GiveUp(RequestId),
}

struct Request {
    proxy: usize,
    class: usize,
    group: usize,
    session: u64,
    came: Micros,
    attempts: u16,
    answered: bool,
    /// Commits that a read must see; of its own session.
    needs: Micros,
}

struct Attempt {
    id: RequestId,
    no: AttemptNo,
    server: usize,
    sent: Micros,
    over: bool,
    /// Oldest data that may answer it.
    need: Micros,
    work: Micros,
}

/// Servers and groups as they are.
struct Truth {
    members: usize,
    cores: f64,
    /// Of a request, in microseconds of a core.
    mean_work: f64,
    servers: Vec<Server>,
    groups: Vec<Group>,
    now: Micros,
}

fn store(server: usize) -> StoreId {
    StoreId(server as u32 + 1)
}

fn index(store: StoreId) -> usize {
    store.0 as usize - 1
}

impl View for Truth {
    fn members(&self, group: GroupId) -> Vec<StoreId> {
        let first = group.0 as usize * self.members;
        (first..first + self.members).map(store).collect()
    }

    fn primary(&mut self, group: GroupId) -> Option<StoreId> {
        let at = group.0 as usize;
        self.groups[at].primary().map(|member| store(at * self.members + member))
    }

    fn answers(&self, store: StoreId) -> bool {
        let server = &self.servers[index(store)];
        server.up() && !server.hung()
    }

    fn load(&self, store: StoreId) -> f64 {
        let server = &self.servers[index(store)];
        (server.held() as f64 + 1.0) / server.capacity(self.now).max(1e-6)
    }

    fn expected(&self, store: StoreId) -> Duration {
        let server = &self.servers[index(store)];
        let shared = (server.held() as f64 + 1.0) / self.cores.max(1e-6);
        Duration::from_secs_f64(self.mean_work / 1e6 * shared.max(1.0) / server.capacity(self.now).max(1e-6))
    }

    fn position(&mut self, store: StoreId) -> Time {
        let at = index(store);
        time(self.groups[at / self.members].position(at % self.members, self.now))
    }
}

/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcomes {
    /// Worth answered within its aim, and less for late, over the worth asked for.
    pub goodput: f64,
    pub asked: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub attempts: u64,
    pub probes: u64,
    /// Rules broken, by name.
    pub broken: BTreeMap<Rule, u64>,
    /// Steps of the engine.
    pub steps: u64,
}

struct Fleet<'a> {
    scenario: &'a Scenario,
    wheel: Wheel<Step>,
    truth: Truth,
    policies: Vec<Box<dyn Policy>>,
    requests: BTreeMap<RequestId, Request>,
    attempts: BTreeMap<u64, Attempt>,
    commits: BTreeMap<u64, Micros>,
    started: Vec<Micros>,
    checker: Checker,
    outcomes: Outcomes,
    worth: f64,
    arrivals: Stream,
    works: Stream,
    gaps: Exp<f64>,
    next_arrival: f64,
    next_id: u64,
    next_attempt: u64,
}

/// The same scenario, policy and seed give the same outcomes, bit for bit.
pub fn run(scenario: &Scenario, policy: Name, seed: u64) -> Outcomes {
    let make = |proxy: usize, streams: &Streams| {
        policy.make(&scenario.settings(), streams.seed("policy", proxy as u64), time(0))
    };
    run_with(scenario, make, seed)
}

/// With policies of the caller's own making.
pub fn run_with(
    scenario: &Scenario,
    make: impl Fn(usize, &Streams) -> Box<dyn Policy>,
    seed: u64,
) -> Outcomes {
    let streams = Streams::new(seed);
    let Ok(gaps) = Exp::new(scenario.per_s / 1e6) else { return Outcomes::default() };
    let truth = Truth {
        members: scenario.group.members,
        cores: scenario.server.cores,
        mean_work: scenario.kinds.iter().map(|k| k.share * k.work.mean).sum(),
        servers: (0..scenario.servers()).map(|_| Server::new(scenario.server)).collect(),
        groups: (0..scenario.groups).map(|_| Group::new(scenario.group)).collect(),
        now: 0,
    };
    let mut fleet = Fleet {
        scenario,
        wheel: Wheel::default(),
        truth,
        policies: (0..scenario.proxies).map(|proxy| make(proxy, &streams)).collect(),
        requests: BTreeMap::new(),
        attempts: BTreeMap::new(),
        commits: BTreeMap::new(),
        started: vec![0; scenario.servers()],
        checker: Checker::new(scenario.tries),
        outcomes: Outcomes::default(),
        worth: 0.0,
        arrivals: streams.stream("arrivals", 0),
        works: streams.stream("work", 0),
        gaps,
        next_arrival: 0.0,
        next_id: 0,
        next_attempt: 0,
    };
    for proxy in 0..scenario.proxies {
        let entries = (0..scenario.servers()).map(|s| fleet.entry(s)).collect();
        fleet.tell(proxy, Event::List(ListNews::Cached(entries)));
    }
    for (at, (when, _)) in scenario.troubles.iter().enumerate() {
        fleet.wheel.put(*when, Step::Trouble(at));
    }
    fleet.wheel.put(0, Step::Arrive);
    let end = scenario.length + 10 * crate::scenario::SECOND;
    while let Some((now, step)) = fleet.wheel.take() {
        if now > end {
            break;
        }
        fleet.truth.now = now;
        fleet.outcomes.steps += 1;
        fleet.step(step);
    }
    fleet.checker.close();
    let Fleet { mut outcomes, checker, worth, .. } = fleet;
    outcomes.broken = checker.broken;
    outcomes.goodput = if worth > 0.0 { outcomes.goodput / worth } else { 0.0 };
    outcomes
}

impl Fleet<'_> {
    fn entry(&self, server: usize) -> Entry {
        let started = self.started[server];
        Entry {
            store: store(server),
            group: GroupId((server / self.truth.members) as u32),
            zone: ZoneId(0),
            kind: KindId(0),
            listed: Listed::Ready,
            primary: false,
            started: if started > 0 { time(started) } else { Time::ZERO },
        }
    }

    fn step(&mut self, step: Step) {
        let now = self.truth.now;
        match step {
            Step::Arrive => self.arrive(),
            Step::AtServer(attempt) => self.at_server(attempt),
            Step::Back { attempt, outcome, note } => self.end(attempt, outcome, note),
            Step::TimeOut(attempt) => self.end(attempt, Outcome::TimedOut, Note::default()),
            Step::Wake { server, number } => self.serve(server, server::Event::Wake { number }),
            Step::GroupDue(group) => self.replicate(group, group::Event::Due),
            Step::Timer { proxy, token } => self.tell(proxy, Event::Timer(token)),
            Step::Probed { proxy, server, sent } => self.probed(proxy, server, sent),
            Step::List { proxy, started } => {
                let news = match started {
                    Some(server) => ListNews::Changes(vec![self.entry(server)]),
                    None => ListNews::Changes(Vec::new()),
                };
                self.tell(proxy, Event::List(news));
            }
            Step::Trouble(at) => self.trouble(self.scenario.troubles[at].1, now),
            Step::Over(trouble) => self.over(trouble),
            Step::GiveUp(id) => {
                self.checker.gives_up(id);
                if let Some(request) = self.requests.remove(&id) {
                    if !request.answered {
                        self.tell(request.proxy, Event::Left(id));
                    }
                }
            }
        }
    }

    fn arrive(&mut self) {
        let (now, scenario) = (self.truth.now, self.scenario);
        self.next_arrival += self.gaps.sample(&mut self.arrivals);
        if self.next_arrival < scenario.length as f64 {
            self.wheel.put(self.next_arrival as Micros, Step::Arrive);
        }
        // Every arrival draws the same numbers, whatever becomes of it.
        let proxy = self.arrivals.random_range(0..scenario.proxies.max(1));
        let group = self.arrivals.random_range(0..scenario.groups.max(1));
        let session = proxy as u64 * SESSIONS + self.arrivals.random_range(0..SESSIONS);
        let mut left = self.arrivals.random::<f64>() * scenario.kinds.iter().map(|k| k.share).sum::<f64>();
        let class = scenario.kinds.iter().position(|kind| {
            left -= kind.share;
            left < 0.0
        });
        let class = class.unwrap_or(0);
        if scenario.proxies == 0 || scenario.groups == 0 {
            return;
        }
        // A session is of one group.
        let session = session * scenario.groups as u64 + group as u64;
        let stated = &scenario.kinds[class].class;
        self.next_id += 1;
        let id = RequestId(self.next_id);
        let deadline = now + stated.deadline.as_micros() as Micros;
        let wrote = self.commits.get(&session).copied();
        let needs = if stated.need == Need::Session { wrote.unwrap_or(0) } else { 0 };
        self.worth += stated.worth;
        self.outcomes.asked += 1;
        self.checker.asks(id, stated.effect, deadline);
        self.requests.insert(
            id,
            Request { proxy, class, group, session, came: now, attempts: 0, answered: false, needs },
        );
        self.wheel.put(deadline + 21_000, Step::GiveUp(id));
        let arrival = Arrival {
            id,
            class: ClassId(class as u16),
            tenant: TenantId(0),
            group: GroupId(group as u32),
            session: matches!(stated.need, Need::Session | Need::Write).then_some(SessionKey(session + 1)),
            time_left: stated.deadline,
            wrote_ago: wrote
                .filter(|_| stated.need == Need::Session)
                .map(|at| Duration::from_micros(now - at)),
            repeated: false,
            tries: None,
        };
        self.tell(proxy, Event::Arrived(arrival));
    }

    fn tell(&mut self, proxy: usize, event: Event) {
        let now = self.truth.now;
        let mut actions = Vec::new();
        if let Some(policy) = self.policies.get_mut(proxy) {
            policy.handle(time(now), event, &mut self.truth, &mut actions);
        }
        for action in actions {
            match action {
                Action::Send { id, store, time_out } => self.send(id, index(store), time_out),
                Action::Cancel { id, attempt } => {
                    let found =
                        self.attempts.iter().find(|(_, a)| a.id == id && a.no == attempt).map(|(n, _)| *n);
                    if let Some(found) = found {
                        // It is told in a later step, as everything is.
                        self.wheel.put(
                            now + 1,
                            Step::Back { attempt: found, outcome: Outcome::Cancelled, note: Note::default() },
                        );
                    }
                }
                Action::Refuse { id, .. } => {
                    self.outcomes.refused += 1;
                    self.answer(id, None);
                }
                Action::Fail { id } => {
                    self.outcomes.failed += 1;
                    self.answer(id, None);
                }
                Action::Probe { store } => {
                    self.outcomes.probes += 1;
                    let server = index(store);
                    let silent = self.truth.servers[server].hung();
                    let wait = if silent { PROBE_WAIT } else { 2 * self.scenario.one_way };
                    self.wheel.put(now + wait, Step::Probed { proxy, server, sent: now });
                }
                Action::Timer { after, token } => {
                    let at = now + (after.as_micros() as Micros).max(1);
                    self.wheel.put(at, Step::Timer { proxy, token });
                }
                Action::Subscribe => {
                    self.wheel.put(now + 2 * self.scenario.one_way, Step::List { proxy, started: None });
                }
            }
        }
    }

    fn send(&mut self, id: RequestId, server: usize, time_out: Duration) {
        let now = self.truth.now;
        self.checker.sends(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let kind = &self.scenario.kinds[request.class];
        let no = AttemptNo(request.attempts);
        request.attempts += 1;
        self.outcomes.attempts += 1;
        let need = match kind.class.need {
            Need::Bounded(age) => now.saturating_sub(age.as_micros() as Micros),
            Need::Fresh => request.came,
            _ => request.needs,
        };
        // Of the request alone, so that every policy sees the same work for it.
        let work = kind.work.draw(id.0, &mut self.works);
        self.next_attempt += 1;
        let number = self.next_attempt;
        self.attempts.insert(number, Attempt { id, no, server, sent: now, over: false, need, work });
        self.wheel.put(now + self.scenario.one_way, Step::AtServer(number));
        let wait = time_out.as_micros() as Micros;
        if wait > 0 {
            self.wheel.put(now + wait, Step::TimeOut(number));
        }
    }

    fn at_server(&mut self, number: u64) {
        let now = self.truth.now;
        let Some(attempt) = self.attempts.get(&number) else { return };
        let (server, work, need) = (attempt.server, attempt.work, attempt.need);
        let Some(request) = self.requests.get(&attempt.id) else { return };
        let write = self.scenario.kinds[request.class].class.need == Need::Write;
        let (group, member) = (request.group, server % self.truth.members);
        if !self.truth.servers[server].up() {
            return self.back(number, Outcome::ConnectFailed, Note::default());
        }
        let primary = self.truth.groups[group].primary() == Some(member);
        let position = self.truth.groups[group].position(member, now);
        if !self.truth.servers[server].hung() && (write && !primary || !write && position < need) {
            let note = Note { primary: Some(primary), position: Some(time(position)) };
            return self.back(number, Outcome::Miss, note);
        }
        self.serve(server, server::Event::Arrive { id: number, work });
    }

    /// What a server says is on its way back.
    fn back(&mut self, attempt: u64, outcome: Outcome, note: Note) {
        let at = self.truth.now + self.scenario.one_way;
        self.wheel.put(at, Step::Back { attempt, outcome, note });
    }

    fn serve(&mut self, server: usize, event: server::Event) {
        let now = self.truth.now;
        let mut actions = Vec::new();
        self.truth.servers[server].handle(now, event, &mut actions);
        for action in actions {
            match action {
                server::Action::Done(number) => self.done(number),
                server::Action::Full(number) => self.back(number, Outcome::Full, Note::default()),
                server::Action::Lost(number) => self.back(number, Outcome::Reset, Note::default()),
                server::Action::WakeAt(at, number) => self.wheel.put(at, Step::Wake { server, number }),
                server::Action::Collapsed => {
                    self.checker.breaks(Rule::Collapsed);
                    let (group, member) = (server / self.truth.members, server % self.truth.members);
                    self.replicate(group, group::Event::Lose(member));
                }
            }
        }
    }

    fn done(&mut self, number: u64) {
        let now = self.truth.now;
        let Some(attempt) = self.attempts.get(&number) else { return };
        let server = attempt.server;
        let (group, member) = (server / self.truth.members, server % self.truth.members);
        let Some(request) = self.requests.get(&attempt.id) else { return };
        let write = self.scenario.kinds[request.class].class.need == Need::Write;
        let session = request.session;
        let primary = self.truth.groups[group].primary() == Some(member);
        if write && !primary {
            // It was primary when the write came, and is no longer: what became of it nobody knows.
            return self.back(number, Outcome::Failed, Note { primary: Some(false), position: None });
        }
        let position = if write {
            self.replicate(group, group::Event::Commit);
            let commit = self.truth.groups[group].last_commit();
            self.commits.insert(session, commit.min(now));
            commit
        } else {
            self.truth.groups[group].position(member, now)
        };
        self.back(number, Outcome::Ok, Note { primary: Some(primary), position: Some(time(position)) });
    }

    fn end(&mut self, number: u64, outcome: Outcome, note: Note) {
        let now = self.truth.now;
        let Some(attempt) = self.attempts.get_mut(&number).filter(|a| !a.over) else {
            // Answered after it was given up: only now it is forgotten.
            if outcome != Outcome::TimedOut && outcome != Outcome::Cancelled {
                self.attempts.remove(&number);
            }
            return;
        };
        attempt.over = true;
        let (id, no, server, sent) = (attempt.id, attempt.no, attempt.server, attempt.sent);
        if !matches!(outcome, Outcome::TimedOut | Outcome::Cancelled) {
            self.attempts.remove(&number);
        }
        self.checker.ends(id, outcome);
        let Some(request) = self.requests.get(&id) else { return };
        let proxy = request.proxy;
        if outcome == Outcome::Ok && !request.answered {
            self.outcomes.served += 1;
            self.answer(id, Some(now));
        }
        let last = self.requests.get(&id).is_none_or(|r| r.answered);
        let elapsed = Duration::from_micros(now - sent);
        self.tell(
            proxy,
            Event::Ended(Ended { id, attempt: no, store: store(server), outcome, elapsed, last, note }),
        );
    }

    /// `served`: when it was.
    fn answer(&mut self, id: RequestId, served: Option<Micros>) {
        let now = self.truth.now;
        self.checker.answers(id, now);
        let Some(request) = self.requests.get_mut(&id) else { return };
        if std::mem::replace(&mut request.answered, true) {
            return;
        }
        let class = &self.scenario.kinds[request.class].class;
        if let Some(at) = served {
            let took = Duration::from_micros(at - request.came);
            let part = if took <= class.aim { 1.0 } else { class.late_worth };
            if took <= class.deadline {
                self.outcomes.goodput += class.worth * part;
            }
        }
    }

    fn probed(&mut self, proxy: usize, server: usize, sent: Micros) {
        let now = self.truth.now;
        let (group, member) = (server / self.truth.members, server % self.truth.members);
        let ok = self.truth.answers(store(server));
        let report = if ok {
            Report {
                position: Some(time(self.truth.groups[group].position(member, now))),
                primary: Some(self.truth.groups[group].primary() == Some(member)),
                in_flight: None,
                queued: Some(self.truth.servers[server].waiting() as f64),
            }
        } else {
            Report::default()
        };
        let elapsed = Duration::from_micros(now - sent);
        self.tell(proxy, Event::Probed { store: store(server), ok, elapsed, report });
    }

    fn replicate(&mut self, group: usize, event: group::Event) {
        let now = self.truth.now;
        let mut actions = Vec::new();
        self.truth.groups[group].handle(now, event, &mut actions);
        for action in actions {
            if let group::Action::DueAt(at) = action {
                self.wheel.put(at, Step::GroupDue(group));
            }
        }
    }

    fn trouble(&mut self, trouble: Trouble, now: Micros) {
        let members = self.truth.members.max(1);
        match trouble {
            Trouble::Die { server, back_after } if server < self.truth.servers.len() => {
                self.serve(server, server::Event::Die);
                self.replicate(server / members, group::Event::Lose(server % members));
                self.wheel.put(now + back_after, Step::Over(trouble));
            }
            Trouble::Hang { server, span } if server < self.truth.servers.len() => {
                self.serve(server, server::Event::Hang(true));
                self.replicate(server / members, group::Event::Lose(server % members));
                self.wheel.put(now + span, Step::Over(trouble));
            }
            Trouble::SlowAll { times, span } => {
                (0..self.truth.servers.len()).for_each(|s| self.serve(s, server::Event::Slow(times)));
                self.wheel.put(now + span, Step::Over(trouble));
            }
            _ => {}
        }
    }

    fn over(&mut self, trouble: Trouble) {
        let members = self.truth.members.max(1);
        match trouble {
            Trouble::Die { server, .. } => {
                self.serve(server, server::Event::Start);
                self.replicate(server / members, group::Event::Return(server % members));
                self.started[server] = self.truth.now;
                let at = self.truth.now + self.scenario.list_late;
                for proxy in 0..self.scenario.proxies {
                    self.wheel.put(at, Step::List { proxy, started: Some(server) });
                }
            }
            Trouble::Hang { server, .. } => {
                self.serve(server, server::Event::Hang(false));
                self.replicate(server / members, group::Event::Return(server % members));
            }
            Trouble::SlowAll { .. } => {
                (0..self.truth.servers.len()).for_each(|s| self.serve(s, server::Event::Slow(1.0)));
            }
        }
    }
}
