//! Plays a scenario for one policy and one seed.

pub mod fleet;
mod host;
mod lots;
pub(crate) mod troubles;

use crate::file::AFTER;
use crate::policy::{Decider, Policy};
use crate::scenario::{Scenario, ORIGIN};
use crate::tally::{Outcomes, Tally};
use fleet::Fleet;
use host::{entry, store, Eyes, Host};
use invariant_checkers::{cold, Checker, Final, Rule};
use lots::Lots;
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use routing::{
    Action, Arrival, AttemptEnded, AttemptNo, ClassId, EndpointState, EndpointUpdate, Event,
    GroupId, LoadReport, Outcome, QuotaStatus, RequestId, ResponseMetadata, ServerId, SessionKey,
    SessionPosition, TenantId, Time, TimerToken,
};
use rustc_hash::FxHashMap;
use server_model::catalog::{self, Catalog};
use server_model::clients::{self, ClientAttempt, ClientAttemptId, Clients};
use server_model::network::{Network, Spot};
use server_model::site::{self, Answer, Operation, ServerIndex, Site, Status, TimerOwner};
use server_model::Micros;
use simulation_engine::streams::{Stream, Streams};
use simulation_engine::wheel::Wheel;
use std::sync::Arc;
use std::time::Duration;
use troubles::Troubles;

/// Kept back from each client's time, as the proxy does.
const MARGIN: Micros = 10_000;
/// Discovery stands in this building.
const LIST_PLACE: u16 = 0;

fn time(now: Micros) -> Time {
    Time::from_micros(ORIGIN + now)
}

fn span(micros: Micros) -> Duration {
    Duration::from_micros(micros)
}

enum Step {
    Clients(clients::Event),
    Site(TimerOwner),
    List,
    /// A proxy's call has reached discovery.
    Call {
        proxy: usize,
        epoch: u32,
        after: u64,
    },
    Told {
        proxy: usize,
        epoch: u32,
        news: Box<catalog::Action>,
    },
    Timer {
        proxy: usize,
        epoch: u32,
        token: TimerToken,
    },
    /// A dial has reached its server, and has come to something.
    Dial(u64),
    Dialled {
        attempt: u64,
        up: bool,
    },
    /// A request's last byte has reached its server.
    Reach(u64),
    Back {
        attempt: u64,
        outcome: Outcome,
        note: ResponseMetadata,
    },
    TimeOut(u64),
    ProbeReach(u64),
    ProbeBack {
        probe: u64,
        report: Option<site::LoadReport>,
    },
    /// A proxy looks at its loans and says what it sees, or hears another; the lab looks at all loans.
    Look {
        proxy: usize,
        epoch: u32,
    },
    Hear {
        proxy: usize,
        word: Arc<crate::member::Word>,
    },
    Books,
    Trouble(usize),
    Over(usize),
    /// Clients have noticed that a proxy is down.
    Unseen {
        proxy: usize,
        epoch: u32,
    },
    /// One server of a rolling deploy.
    Deploy {
        trouble: usize,
        server: ServerIndex,
        phase: u8,
    },
}

/// A try that a proxy has taken.
pub(crate) struct Open {
    asked: ClientAttempt,
    /// As `asked.within`, but another request's of its tenant.
    drawn: bool,
    came: Micros,
    attempts: u16,
    answered: bool,
    /// Data that a read must see, unless that depends on when it is sent.
    need: Micros,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Dialling,
    Written,
    /// Its proxy no longer waits for it.
    Over,
}

struct Attempt {
    id: ClientAttemptId,
    no: u16,
    server: ServerIndex,
    proxy: usize,
    epoch: u32,
    sent: Micros,
    ask: Operation,
    state: State,
    /// It has a connection that the server knows of.
    connected: bool,
}

struct Probe {
    server: ServerIndex,
    proxy: usize,
    epoch: u32,
    sent: Micros,
}

pub(crate) struct Play<'a> {
    scenario: &'a Scenario,
    streams: Streams,
    policy: &'a dyn Fn(usize, u32, &Streams) -> Box<dyn Decider>,
    wheel: Wheel<Step>,
    now: Micros,
    site: Site,
    network: Network,
    list: Catalog,
    clients: Clients,
    hosts: Vec<Host>,
    fleet: Option<Fleet>,
    open: FxHashMap<ClientAttemptId, Open>,
    attempts: FxHashMap<u64, Attempt>,
    probes: FxHashMap<u64, Probe>,
    next: u64,
    troubles: Troubles,
    checker: Checker,
    cold: cold::Checker,
    lots: Lots,
    tally: Tally,
    way: Stream,
    mean_work: f64,
    /// Buffers that serve again.
    site_actions: Vec<site::Action>,
    client_actions: Vec<clients::Action>,
}

/// The same scenario, policy and seed give the same outcomes, bit for bit.
pub fn play(scenario: &Scenario, policy: &Policy, seed: u64) -> Outcomes {
    let make = |proxy: usize, life: u32, streams: &Streams| {
        let seed = streams.seed("policy", proxy as u64 | u64::from(life) << 32);
        policy.make(&scenario.settings(proxy), seed, time(0))
    };
    play_with(scenario, &make, seed)
}

/// With policies of the caller's own making: for a proxy, its life and the streams.
pub fn play_with(
    scenario: &Scenario,
    policy: &dyn Fn(usize, u32, &Streams) -> Box<dyn Decider>,
    seed: u64,
) -> Outcomes {
    let streams = Streams::new(seed);
    let site = Site::new(scenario.site.clone());
    let list = Catalog::new(
        scenario.catalog,
        site.servers().map(|s| catalog::Record::of(&site, s)),
    );
    let places = scenario.site.places.max(1);
    let hosts = (0..scenario.proxies())
        .map(|proxy| Host::new((proxy % places) as u16))
        .collect();
    let kinds = &scenario.clients.classes;
    let shares: f64 = kinds.iter().map(|k| k.share).sum();
    let mean_work = kinds.iter().map(|k| k.share * k.work.mean).sum::<f64>() / shares.max(1e-9);
    let mut play = Play {
        scenario,
        streams,
        policy,
        wheel: Wheel::default(),
        now: 0,
        site,
        network: Network::new(scenario.network),
        list,
        clients: Clients::new(scenario.clients.clone(), &streams)
            .before(scenario.servers() as f64 * scenario.site.server.cores),
        hosts,
        fleet: Fleet::new(scenario, &streams),
        open: FxHashMap::default(),
        attempts: FxHashMap::default(),
        probes: FxHashMap::default(),
        next: 0,
        troubles: Troubles::new(scenario.troubles.len()),
        checker: Checker::new(scenario.platform.tries, scenario.platform.drain_grace),
        cold: cold::Checker::new(scenario.bounds(mean_work), mean_work),
        lots: Lots::new(scenario.clients.tenants.len(), &streams),
        tally: Tally::new(scenario),
        way: streams.stream("network", 0),
        mean_work,
        site_actions: Vec::new(),
        client_actions: Vec::new(),
    };
    for proxy in 0..scenario.proxies() {
        play.start(proxy);
    }
    play.books(false);
    for (at, trouble) in scenario.troubles.iter().enumerate() {
        play.wheel.put(trouble.at, Step::Trouble(at));
    }
    play.clients(clients::Event::Start);
    let end = scenario.length() + AFTER;
    while let Some((now, step)) = play.wheel.take() {
        if now > end {
            break;
        }
        play.now = now;
        play.tally.counts().steps += 1;
        play.step(step);
    }
    play.close()
}

impl Play<'_> {
    fn close(mut self) -> Outcomes {
        let mut actions = std::mem::take(&mut self.client_actions);
        self.clients.close(&mut actions);
        for action in actions {
            if let clients::Action::Settled(settled) = action {
                self.tally.settled(&settled);
            }
        }
        self.tally.counts().loans = self.loans();
        self.checker.close();
        self.tally.counts().cold = self.cold.peaks();
        self.tally.counts().cold_told = self.cold.told_peaks();
        if !self.scenario.site.server.falls {
            (0..self.cold.breaches).for_each(|_| self.checker.report_violation(Rule::Collapsed));
        }
        self.tally.close(self.checker.broken)
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Clients(event) => self.clients(event),
            Step::Site(wake) => self.site(site::Event::Timer(wake)),
            Step::List => self.list(catalog::Event::Due),
            Step::Call {
                proxy,
                epoch,
                after,
            } => {
                if self.hosts[proxy].epoch == epoch {
                    self.list(catalog::Event::Watch {
                        caller: proxy,
                        after,
                    });
                }
            }
            Step::Told { proxy, epoch, news } => {
                if self.hosts[proxy].epoch == epoch {
                    self.news(proxy, *news);
                }
            }
            Step::Timer {
                proxy,
                epoch,
                token,
            } => {
                if self.hosts[proxy].epoch == epoch {
                    self.tell(proxy, Event::Timer(token));
                }
            }
            Step::Dial(attempt) => self.dial(attempt),
            Step::Dialled { attempt, up } => self.dialled(attempt, up),
            Step::Reach(attempt) => self.reach(attempt),
            Step::Back {
                attempt,
                outcome,
                note,
            } => self.back(attempt, outcome, note),
            Step::TimeOut(attempt) => {
                let state = self.attempts.get(&attempt).map(|a| a.state);
                let outcome = if state == Some(State::Dialling) {
                    Outcome::ConnectFailed
                } else {
                    Outcome::TimedOut
                };
                self.give_up(attempt, outcome);
            }
            Step::ProbeReach(exchange) => {
                if let Some(probe) = self.probes.get(&exchange) {
                    let (proxy, server) = (probe.proxy, probe.server);
                    self.chore(proxy, server, self.scenario.site.probe_work);
                    self.site(site::Event::Probe {
                        exchange: exchange << 1 | 1,
                        server,
                    });
                }
            }
            Step::ProbeBack { probe, report } => self.probed(probe, report),
            Step::Look { proxy, epoch } => {
                if self.hosts[proxy].epoch == epoch {
                    self.look(proxy);
                }
            }
            Step::Hear { proxy, word } => self.hear(proxy, &word),
            Step::Books => self.books(false),
            Step::Trouble(at) => self.trouble(at),
            Step::Over(at) => self.over(at),
            Step::Unseen { proxy, epoch } => {
                if self.hosts[proxy].down && self.hosts[proxy].epoch == epoch {
                    self.clients(clients::Event::Proxy { proxy, up: false });
                }
            }
            Step::Deploy {
                trouble,
                server,
                phase,
            } => self.deploy(trouble, server, phase),
        }
    }

    fn spot(&self, proxy: usize) -> Spot {
        Spot {
            place: self.hosts[proxy].place,
            proxy: Some(proxy),
        }
    }

    /// The way between a proxy and a server; none: nothing comes through.
    fn there(&mut self, proxy: usize, server: ServerIndex) -> Option<Micros> {
        let to = Spot {
            place: self.site.place(server),
            proxy: None,
        };
        self.network.one_way(self.spot(proxy), to, &mut self.way)
    }

    fn home(&mut self, server: ServerIndex, proxy: usize) -> Option<Micros> {
        let from = Spot {
            place: self.site.place(server),
            proxy: None,
        };
        self.network.one_way(from, self.spot(proxy), &mut self.way)
    }

    // ---- Clients ----

    fn clients(&mut self, event: clients::Event) {
        let mut actions = std::mem::take(&mut self.client_actions);
        self.clients.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                clients::Action::SetTimer(at, due) => {
                    self.wheel
                        .put(at, Step::Clients(clients::Event::Timer(due)));
                }
                clients::Action::Send(asked) => self.ask(asked),
                clients::Action::Abandon { id, proxy } => self.left(id, proxy),
                clients::Action::Settled(settled) => {
                    self.lots.settled(settled.request);
                    self.tally.settled(&settled);
                }
            }
        }
        // What they did may have made them do more, with a buffer of its own.
        if self.client_actions.capacity() < actions.capacity() {
            self.client_actions = actions;
        }
    }

    fn ask(&mut self, asked: ClientAttempt) {
        let now = self.now;
        let Some(host) = self.hosts.get(asked.proxy) else {
            return;
        };
        if !host.up() {
            return self.clients(clients::Event::Answered(
                asked.id,
                clients::Answer::ConnectionLost { reached: false },
            ));
        }
        let kind = &self.scenario.clients.classes[asked.class];
        let write = kind.consistency == clients::Consistency::Write;
        let need = match kind.consistency {
            clients::Consistency::ReadYourWrites => asked.last_write,
            clients::Consistency::Strong => now,
            _ => 0,
        };
        self.tally.counts().tries += 1;
        self.checker.client_sends(
            asked.id,
            asked.request,
            kind.idempotency,
            write,
            asked.proxy,
            now + asked.timeout,
        );
        let drawn = self
            .lots
            .draw(asked.request, asked.tenant, asked.within_quota);
        self.open.insert(
            asked.id,
            Open {
                asked,
                drawn,
                came: now,
                attempts: 0,
                answered: false,
                need,
            },
        );
        let sessions = matches!(
            kind.consistency,
            clients::Consistency::ReadYourWrites | clients::Consistency::Write
        );
        let arrival = Arrival {
            id: RequestId(asked.id),
            class: ClassId(asked.class as u16),
            tenant: TenantId(asked.tenant as u16),
            group: GroupId(asked.group),
            session: sessions.then_some(SessionKey(asked.session)),
            time_left: span(asked.timeout.saturating_sub(MARGIN).max(1)),
            session_position: (asked.last_write > 0)
                .then(|| SessionPosition::Ago(span(now.saturating_sub(asked.last_write)))),
            is_client_retry: asked.is_retry,
            quota_status: QuotaStatus::WithinQuota,
            attempt_limit: None,
            shed_fraction: 0.0,
        };
        self.tell(asked.proxy, Event::RequestArrived(arrival));
    }

    /// Its client no longer waits.
    fn left(&mut self, id: ClientAttemptId, proxy: usize) {
        self.checker.client_gives_up(id, self.now);
        if self.open.remove(&id).is_some_and(|open| !open.answered) {
            self.tell(proxy, Event::ClientLeft(RequestId(id)));
        }
    }

    fn answer(&mut self, id: ClientAttemptId, answer: Final, told: clients::Answer) {
        self.checker.proxy_answers(id, answer, self.now);
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        if std::mem::replace(&mut open.answered, true) {
            return;
        }
        self.open.remove(&id);
        self.checker.client_done(id);
        self.clients(clients::Event::Answered(id, told));
    }

    // ---- Proxies ----

    fn tell(&mut self, proxy: usize, event: Event) {
        let now = self.now;
        let host = &mut self.hosts[proxy];
        let Some(mut policy) = host.policy.take() else {
            return;
        };
        let mut actions = std::mem::take(&mut host.actions);
        let spot = Spot {
            place: host.place,
            proxy: Some(proxy),
        };
        let mut eyes = Eyes {
            site: &mut self.site,
            network: &self.network,
            spot,
            ready: &host.ready,
            open: &self.open,
            now,
            cores: self.scenario.site.server.cores,
            mean_work: self.mean_work,
        };
        policy.handle(time(now), event, &mut eyes, &mut actions);
        self.hosts[proxy].policy = Some(policy);
        for action in actions.drain(..) {
            self.act(proxy, action);
        }
        self.hosts[proxy].actions = actions;
    }

    fn act(&mut self, proxy: usize, action: Action) {
        let now = self.now;
        let epoch = self.hosts[proxy].epoch;
        match action {
            Action::Send {
                id,
                server: store,
                timeout: time_out,
                ..
            } => self.send(proxy, id.0, store, time_out),
            Action::Cancel { id, attempt } => {
                let wanted = |a: &Attempt| a.id == id.0 && a.no == attempt.0 && a.proxy == proxy;
                let found = self
                    .attempts
                    .iter()
                    .find(|(_, a)| wanted(a))
                    .map(|(number, _)| *number);
                if let Some(attempt) = found {
                    // It is told in a later step, as everything is.
                    let (outcome, note) = (Outcome::Cancelled, ResponseMetadata::default());
                    self.wheel.put(
                        now + 1,
                        Step::Back {
                            attempt,
                            outcome,
                            note,
                        },
                    );
                }
            }
            Action::Reject { id, retry_after } => {
                let retry_after = retry_after.map(|after| after.as_micros() as Micros);
                self.answer(
                    id.0,
                    Final::Rejected,
                    clients::Answer::Rejected { retry_after },
                );
            }
            Action::Fail { id } => self.answer(id.0, Final::Failed, clients::Answer::Failed),
            Action::Probe { server: store } => self.probe(proxy, store),
            Action::Timer { after, token } => {
                let at = now + (after.as_micros() as Micros).max(1);
                self.wheel.put(
                    at,
                    Step::Timer {
                        proxy,
                        epoch,
                        token,
                    },
                );
            }
            Action::Subscribe => {
                let to = Spot {
                    place: LIST_PLACE,
                    proxy: None,
                };
                let after = self.hosts[proxy].index;
                match self.network.one_way(self.spot(proxy), to, &mut self.way) {
                    Some(way) => self.wheel.put(
                        now + way,
                        Step::Call {
                            proxy,
                            epoch,
                            after,
                        },
                    ),
                    None => {
                        let news = Box::new(catalog::Action::Fail(proxy));
                        let at = now + self.scenario.platform.dial_wait;
                        self.wheel.put(at, Step::Told { proxy, epoch, news });
                    }
                }
            }
        }
    }

    fn send(&mut self, proxy: usize, id: ClientAttemptId, to: ServerId, time_out: Duration) {
        let now = self.now;
        let server = host::server(to);
        self.checker.proxy_sends(id, server, now);
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let kind = &self.scenario.clients.classes[open.asked.class];
        let (no, came, wait) = (open.attempts, open.came, open.asked.timeout);
        open.attempts += 1;
        let need = match kind.consistency {
            clients::Consistency::BoundedStaleness(age) => now.saturating_sub(age),
            _ => open.need,
        };
        // Of the request and the attempt alone, so that every policy sees the same work for them.
        let seed = self
            .streams
            .seed_of(open.asked.request << 8 | u64::from(no));
        let mut draws = Xoshiro256PlusPlus::seed_from_u64(seed);
        let work = kind.work.draw(open.asked.session, &mut draws);
        let write = (kind.consistency == clients::Consistency::Write).then_some(id);
        let ask = Operation {
            write,
            min_position: need,
            work,
        };
        self.tally.counts().attempts += 1;
        self.next += 1;
        let number = self.next;
        let epoch = self.hosts[proxy].epoch;
        let mut attempt = Attempt {
            id,
            no,
            server,
            proxy,
            epoch,
            sent: now,
            ask,
            state: State::Dialling,
            connected: false,
        };
        let keepalive = self.scenario.platform.keepalive;
        let life = self.site.started(server);
        if self.hosts[proxy]
            .pool(server)
            .take(life, now, keepalive, &mut self.site, server)
        {
            (attempt.state, attempt.connected) = (State::Written, true);
            self.attempts.insert(number, attempt);
            self.write(number, proxy, server);
        } else {
            self.attempts.insert(number, attempt);
            self.tally.counts().dials += 1;
            if let Some(way) = self.there(proxy, server) {
                self.wheel.put(now + way, Step::Dial(number));
            }
            let at = now + self.scenario.platform.dial_wait;
            self.wheel.put(
                at,
                Step::Dialled {
                    attempt: number,
                    up: false,
                },
            );
        }
        // Without a time of its own it is waited for as long as the client waits.
        let longest = (came + wait).saturating_sub(now);
        let wait = if time_out.is_zero() {
            longest
        } else {
            time_out.as_micros() as Micros
        };
        self.wheel
            .put(now + wait.min(longest).max(1), Step::TimeOut(number));
    }

    /// The request goes out on its connection; on a cut way it goes nowhere.
    fn write(&mut self, attempt: u64, proxy: usize, server: ServerIndex) {
        if let Some(way) = self.there(proxy, server) {
            self.wheel.put(self.now + way, Step::Reach(attempt));
        }
    }

    fn dial(&mut self, number: u64) {
        let Some(attempt) = self
            .attempts
            .get(&number)
            .filter(|a| a.state == State::Dialling)
        else {
            return;
        };
        let (server, proxy) = (attempt.server, attempt.proxy);
        let mut actions = std::mem::take(&mut self.site_actions);
        let up = self.site.dial(server, self.now, &mut actions);
        if up {
            self.chore(proxy, server, self.scenario.site.dial_work);
        }
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.connected = up;
        }
        self.site_said(actions);
        // The welcome takes another way there and back.
        let mut took = 0;
        for _ in 0..if up { 3 } else { 1 } {
            match self.home(server, proxy) {
                Some(way) => took += way,
                None => return,
            }
        }
        self.wheel.put(
            self.now + took,
            Step::Dialled {
                attempt: number,
                up,
            },
        );
    }

    fn dialled(&mut self, number: u64, up: bool) {
        let Some(attempt) = self.attempts.get_mut(&number) else {
            return;
        };
        match attempt.state {
            State::Dialling if up => {
                attempt.state = State::Written;
                let (proxy, server) = (attempt.proxy, attempt.server);
                self.write(number, proxy, server);
            }
            State::Dialling => self.give_up(number, Outcome::ConnectFailed),
            State::Written | State::Over => {}
        }
    }

    /// A probe or a new connection has reached a server.
    fn chore(&mut self, proxy: usize, server: ServerIndex, work: Micros) {
        if self.site.runs(server) {
            let started = self.site.started(server);
            self.cold.got_chore(self.now, proxy, server, started, work);
        }
    }

    fn reach(&mut self, number: u64) {
        if let Some(attempt) = self.attempts.get(&number) {
            let (server, ask) = (attempt.server, attempt.ask);
            if self.site.runs(server) {
                let started = self.site.started(server);
                self.cold
                    .got(self.now, attempt.proxy, server, started, ask.work);
            }
            self.site(site::Event::Request {
                exchange: number << 1,
                server,
                operation: ask,
            });
        }
    }

    /// An answer has come to its proxy, if that still waits for it.
    fn back(&mut self, number: u64, outcome: Outcome, note: ResponseMetadata) {
        let Some(attempt) = self.attempts.get(&number) else {
            return;
        };
        if attempt.state == State::Over {
            self.attempts.remove(&number);
            return;
        }
        if outcome == Outcome::Cancelled {
            return self.give_up(number, outcome);
        }
        let Attempt {
            server,
            proxy,
            connected,
            ..
        } = *attempt;
        if connected && outcome != Outcome::Reset {
            let life = self.site.started(server);
            self.hosts[proxy].pool(server).give_back(life, self.now);
        }
        self.end(number, outcome, note);
        self.attempts.remove(&number);
    }

    /// The proxy waits no longer; its connection, if there is one, ends with that.
    fn give_up(&mut self, number: u64, outcome: Outcome) {
        let Some(attempt) = self
            .attempts
            .get_mut(&number)
            .filter(|a| a.state != State::Over)
        else {
            return;
        };
        attempt.state = State::Over;
        if std::mem::take(&mut attempt.connected) {
            self.site.hang_up(attempt.server);
        }
        self.end(number, outcome, ResponseMetadata::default());
    }

    fn end(&mut self, number: u64, outcome: Outcome, note: ResponseMetadata) {
        let now = self.now;
        let Some(attempt) = self.attempts.get(&number) else {
            return;
        };
        let Attempt {
            id,
            no,
            server,
            proxy,
            epoch,
            sent,
            ask,
            ..
        } = *attempt;
        self.checker.attempt_ends(id, outcome);
        if self.hosts[proxy].epoch != epoch {
            return;
        }
        self.tally.counts().misses += u64::from(outcome == Outcome::Misdirected);
        if outcome == Outcome::Ok && self.open.contains_key(&id) {
            let position = note
                .position
                .map_or(0, |at| (at.0.as_micros() as Micros).saturating_sub(ORIGIN));
            if ask.write.is_none() && ask.min_position > 0 && position < ask.min_position {
                self.checker.report_violation(Rule::Stale);
            }
            let commit = if ask.write.is_some() { position } else { 0 };
            self.answer(id, Final::Served, clients::Answer::Served { commit });
        }
        let last = !self.open.contains_key(&id);
        let elapsed = span(now - sent);
        let (id, attempt, store) = (RequestId(id), AttemptNo(no), store(server));
        self.tell(
            proxy,
            Event::AttemptEnded(AttemptEnded {
                id,
                attempt,
                server: store,
                outcome,
                elapsed,
                request_finished: last,
                metadata: note,
            }),
        );
    }

    fn probe(&mut self, proxy: usize, to: ServerId) {
        let server = host::server(to);
        self.tally.counts().probes += 1;
        self.next += 1;
        let (probe, epoch) = (self.next, self.hosts[proxy].epoch);
        self.probes.insert(
            probe,
            Probe {
                server,
                proxy,
                epoch,
                sent: self.now,
            },
        );
        if let Some(way) = self.there(proxy, server) {
            self.wheel.put(self.now + way, Step::ProbeReach(probe));
        }
        let at = self.now + self.scenario.platform.dial_wait;
        self.wheel.put(
            at,
            Step::ProbeBack {
                probe,
                report: None,
            },
        );
    }

    fn probed(&mut self, number: u64, report: Option<site::LoadReport>) {
        let Some(Probe {
            server,
            proxy,
            epoch,
            sent,
        }) = self.probes.remove(&number)
        else {
            return;
        };
        if self.hosts[proxy].epoch != epoch {
            return;
        }
        let ok = report.is_some();
        let report = report.map_or(LoadReport::default(), |r| LoadReport {
            position: Some(time(r.position)),
            primary: Some(r.primary),
            in_flight: Some(r.in_flight as f64),
            queued: Some(r.queued as f64),
        });
        let elapsed = span(self.now - sent);
        self.tell(
            proxy,
            Event::ProbeEnded {
                server: store(server),
                ok,
                elapsed,
                report,
            },
        );
    }

    // ---- Servers and their list ----

    fn site(&mut self, event: site::Event) {
        let mut actions = std::mem::take(&mut self.site_actions);
        self.site.handle(self.now, event, &mut actions);
        self.site_said(actions);
    }

    fn site_said(&mut self, mut actions: Vec<site::Action>) {
        let now = self.now;
        for action in actions.drain(..) {
            match action {
                site::Action::SetTimer(at, wake) => self.wheel.put(at, Step::Site(wake)),
                site::Action::Answer {
                    exchange,
                    answer,
                    metadata: note,
                } => {
                    self.site_answers(exchange >> 1, answer, note);
                }
                site::Action::LoadReport { exchange, report } => {
                    let probe = exchange >> 1;
                    let Some((server, proxy)) =
                        self.probes.get(&probe).map(|p| (p.server, p.proxy))
                    else {
                        continue;
                    };
                    if let Some(way) = self.home(server, proxy) {
                        self.wheel.put(now + way, Step::ProbeBack { probe, report });
                    }
                }
                site::Action::Changed(server) => {
                    let record = catalog::Record::of(&self.site, server);
                    self.list(catalog::Event::Changed(record));
                }
                site::Action::Primary { group, server } => {
                    self.tally
                        .mark(now, format!("server {server} is primary of group {group}"));
                }
                site::Action::Vacant { group } => {
                    self.tally
                        .mark(now, format!("group {group} has no primary"));
                }
                site::Action::Applied { key, .. } => {
                    self.tally.counts().applied += 1;
                    self.checker.applied(key);
                }
                site::Action::Undone { server, .. } => {
                    self.tally.counts().undone += 1;
                    self.tally
                        .mark(now, format!("what server {server} took in last is undone"));
                }
                site::Action::Collapsed(server) => {
                    self.checker.report_violation(Rule::Collapsed);
                    self.tally
                        .mark(now, format!("server {server} is pushed over"));
                }
            }
        }
        if self.site_actions.capacity() < actions.capacity() {
            self.site_actions = actions;
        }
    }

    /// What a server says is on its way back.
    fn site_answers(&mut self, attempt: u64, answer: Answer, note: Option<site::ResponseMetadata>) {
        let Some((server, proxy)) = self.attempts.get(&attempt).map(|a| (a.server, a.proxy)) else {
            return;
        };
        let outcome = match answer {
            Answer::Ok => Outcome::Ok,
            Answer::Misdirected => Outcome::Misdirected,
            Answer::Rejected => Outcome::Rejected,
            Answer::Failed => Outcome::Failed,
            Answer::Reset | Answer::Unreachable => Outcome::Reset,
        };
        let note = note.map_or(ResponseMetadata::default(), |n| ResponseMetadata {
            primary: Some(n.primary),
            position: Some(time(n.position)),
        });
        if let Some(way) = self.home(server, proxy) {
            self.wheel.put(
                self.now + way,
                Step::Back {
                    attempt,
                    outcome,
                    note,
                },
            );
        } else if self
            .attempts
            .get(&attempt)
            .is_some_and(|a| a.state == State::Over)
        {
            self.attempts.remove(&attempt);
        }
    }

    fn list(&mut self, event: catalog::Event) {
        let mut actions = Vec::new();
        self.list.handle(self.now, event, &mut actions);
        for action in actions {
            let proxy = match &action {
                catalog::Action::DueAt(at) => {
                    self.wheel.put(*at, Step::List);
                    continue;
                }
                catalog::Action::Tell { caller, .. } | catalog::Action::Fail(caller) => *caller,
            };
            let from = Spot {
                place: LIST_PLACE,
                proxy: None,
            };
            let epoch = self.hosts[proxy].epoch;
            if let Some(way) = self.network.one_way(from, self.spot(proxy), &mut self.way) {
                self.wheel.put(
                    self.now + way,
                    Step::Told {
                        proxy,
                        epoch,
                        news: Box::new(action),
                    },
                );
            }
        }
    }

    fn news(&mut self, proxy: usize, news: catalog::Action) {
        let event = match news {
            catalog::Action::Tell {
                index,
                complete,
                records,
                ..
            } => {
                let host = &mut self.hosts[proxy];
                host.index = index;
                host.learn(&records, complete);
                records
                    .iter()
                    .for_each(|r| self.cold.told(proxy, r.server, r.started));
                let entries: Vec<_> = records.iter().map(|r| entry(r, time)).collect();
                for entry in &entries {
                    let leaving = entry.state != EndpointState::Ready;
                    self.checker
                        .notified(proxy, host::server(entry.server), leaving, self.now);
                }
                match complete {
                    true => EndpointUpdate::Snapshot(entries),
                    false => EndpointUpdate::Changes(entries),
                }
            }
            catalog::Action::Fail(_) => EndpointUpdate::Failed,
            catalog::Action::DueAt(_) => return,
        };
        self.tell(proxy, Event::Endpoints(event));
    }

    /// A proxy begins, with the list as it was at the start of the run.
    fn start(&mut self, proxy: usize) {
        let records: Vec<catalog::Record> = self.list.records().collect();
        let host = &mut self.hosts[proxy];
        host.policy = Some((self.policy)(proxy, host.epoch, &self.streams));
        host.index = self.list.index();
        host.learn(&records, true);
        self.join(proxy);
        records
            .iter()
            .for_each(|r| self.cold.told(proxy, r.server, r.started));
        let entries = records
            .iter()
            .filter(|r| r.status != Status::Gone)
            .map(|r| entry(r, time))
            .collect();
        self.tell(proxy, Event::Endpoints(EndpointUpdate::Cached(entries)));
    }
}
