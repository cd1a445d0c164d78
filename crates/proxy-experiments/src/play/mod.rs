//! Plays a scenario for one policy and one seed.

mod attempts;
mod discovery;
pub(crate) mod faults;
pub mod fleet;
mod host;
mod lots;
mod probes;
mod proxies;
mod requests;
mod servers;

use crate::file::AFTER;
use crate::policy::{Decider, Policy};
use crate::scenario::{Scenario, ORIGIN};
use crate::tally::{Outcomes, Tally};
use faults::ActiveFaults;
use fleet::Fleet;
use host::{endpoint, server_id, ClusterView, Host};
use invariant_checkers::{cold, Checker, Final, Rule};
use lots::Lots;
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use routing::{
    Action, Arrival, AttemptEnded, AttemptNumber, ClassId, EndpointState, EndpointUpdate, Event,
    GroupId, LoadReport, Outcome, QuotaStatus, RequestId, ResponseMetadata, ServerId, SessionKey,
    SessionPosition, TenantId, Time, TimerToken,
};
use rustc_hash::FxHashMap;
use server_model::catalog::{self, Catalog};
use server_model::clients::{self, ClientAttempt, ClientAttemptId, Clients};
use server_model::network::{Location, Network};
use server_model::site::{self, Answer, Operation, ServerIndex, Site, Status, TimerOwner};
use server_model::Micros;
use simulation_engine::streams::{Stream, Streams};
use simulation_engine::wheel::Wheel;
use std::sync::Arc;
use std::time::Duration;

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
    WatchRequest {
        proxy: usize,
        epoch: u32,
        after: u64,
    },
    EndpointUpdate {
        proxy: usize,
        epoch: u32,
        update: Box<catalog::Action>,
    },
    PolicyTimer {
        proxy: usize,
        epoch: u32,
        token: TimerToken,
    },
    /// A dial has reached its server, and has come to something.
    DialReached(u64),
    DialEnded {
        attempt: u64,
        up: bool,
    },
    /// A request's last byte has reached its server.
    RequestReached(u64),
    Response {
        attempt: u64,
        outcome: Outcome,
        metadata: ResponseMetadata,
    },
    AttemptTimeout(u64),
    ProbeReached(u64),
    ProbeEnded {
        probe: u64,
        report: Option<site::LoadReport>,
    },
    /// A proxy looks at its loans and sends messages, receives one of another, or all loans are checked.
    FleetTick {
        proxy: usize,
        epoch: u32,
    },
    FleetMessage {
        proxy: usize,
        envelope: Arc<crate::member::Envelope>,
    },
    LoanCheck,
    FaultBegins(usize),
    FaultEnds(usize),
    /// Clients have noticed that a proxy is down.
    ProxyDownNoticed {
        proxy: usize,
        epoch: u32,
    },
    /// One server of a rolling deploy.
    DeployServer {
        trouble: usize,
        server: ServerIndex,
        phase: u8,
    },
}

/// A client attempt that a proxy has taken.
pub(crate) struct OpenAttempt {
    client_attempt: ClientAttempt,
    /// As `client_attempt.within_quota`, but another request's of its tenant.
    drawn: bool,
    arrived_at: Micros,
    attempts: u16,
    answered: bool,
    /// Data that a read must see, unless that depends on when it is sent.
    min_position: Micros,
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
    operation: Operation,
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

pub(crate) struct Simulation<'a> {
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
    open: FxHashMap<ClientAttemptId, OpenAttempt>,
    attempts: FxHashMap<u64, Attempt>,
    probes: FxHashMap<u64, Probe>,
    next: u64,
    active_faults: ActiveFaults,
    checker: Checker,
    cold: cold::Checker,
    lots: Lots,
    tally: Tally,
    network_draws: Stream,
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
    let classes = &scenario.clients.classes;
    let shares: f64 = classes.iter().map(|k| k.share).sum();
    let mean_work = classes.iter().map(|k| k.share * k.work.mean).sum::<f64>() / shares.max(1e-9);
    let mut play = Simulation {
        scenario,
        streams,
        policy,
        wheel: Wheel::default(),
        now: 0,
        site,
        network: Network::new(scenario.network),
        list,
        clients: Clients::new(scenario.clients.clone(), &streams)
            .with_cores(scenario.servers() as f64 * scenario.site.server.cores),
        hosts,
        fleet: Fleet::new(scenario, &streams),
        open: FxHashMap::default(),
        attempts: FxHashMap::default(),
        probes: FxHashMap::default(),
        next: 0,
        active_faults: ActiveFaults::new(scenario.faults.len()),
        checker: Checker::new(scenario.platform.tries, scenario.platform.drain_grace),
        cold: cold::Checker::new(scenario.bounds(mean_work), mean_work),
        lots: Lots::new(scenario.clients.tenants.len(), &streams),
        tally: Tally::new(scenario),
        network_draws: streams.stream("network", 0),
        mean_work,
        site_actions: Vec::new(),
        client_actions: Vec::new(),
    };
    for proxy in 0..scenario.proxies() {
        play.start(proxy);
    }
    play.check_loans(false);
    for (at, trouble) in scenario.faults.iter().enumerate() {
        play.wheel.put(trouble.at, Step::FaultBegins(at));
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

impl Simulation<'_> {
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
        self.tally.counts().cold_told = self.cold.notified_peaks();
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
            Step::WatchRequest {
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
            Step::EndpointUpdate {
                proxy,
                epoch,
                update,
            } => {
                if self.hosts[proxy].epoch == epoch {
                    self.endpoints_received(proxy, *update);
                }
            }
            Step::PolicyTimer {
                proxy,
                epoch,
                token,
            } => {
                if self.hosts[proxy].epoch == epoch {
                    self.deliver(proxy, Event::Timer(token));
                }
            }
            Step::DialReached(attempt) => self.dial_reached(attempt),
            Step::DialEnded { attempt, up } => self.dialled(attempt, up),
            Step::RequestReached(attempt) => self.request_reached(attempt),
            Step::Response {
                attempt,
                outcome,
                metadata,
            } => self.response_received(attempt, outcome, metadata),
            Step::AttemptTimeout(attempt) => {
                let state = self.attempts.get(&attempt).map(|a| a.state);
                let outcome = if state == Some(State::Dialling) {
                    Outcome::ConnectFailed
                } else {
                    Outcome::TimedOut
                };
                self.end_without_response(attempt, outcome);
            }
            Step::ProbeReached(exchange) => {
                if let Some(probe) = self.probes.get(&exchange) {
                    let (proxy, server) = (probe.proxy, probe.server);
                    self.background_work(proxy, server, self.scenario.site.probe_work);
                    self.site(site::Event::Probe {
                        exchange: exchange << 1 | 1,
                        server,
                    });
                }
            }
            Step::ProbeEnded { probe, report } => self.probe_ended(probe, report),
            Step::FleetTick { proxy, epoch } => {
                if self.hosts[proxy].epoch == epoch {
                    self.fleet_tick(proxy);
                }
            }
            Step::FleetMessage { proxy, envelope } => self.fleet_message(proxy, &envelope),
            Step::LoanCheck => self.check_loans(false),
            Step::FaultBegins(at) => self.begin_fault(at),
            Step::FaultEnds(at) => self.end_fault(at),
            Step::ProxyDownNoticed { proxy, epoch } => {
                if self.hosts[proxy].down && self.hosts[proxy].epoch == epoch {
                    self.clients(clients::Event::Proxy { proxy, up: false });
                }
            }
            Step::DeployServer {
                trouble,
                server,
                phase,
            } => self.deploy(trouble, server, phase),
        }
    }

    fn spot(&self, proxy: usize) -> Location {
        Location {
            place: self.hosts[proxy].place,
            proxy: Some(proxy),
        }
    }

    /// The way between a proxy and a server; none: nothing comes through.
    fn delay_to_server(&mut self, proxy: usize, server: ServerIndex) -> Option<Micros> {
        let to = Location {
            place: self.site.place(server),
            proxy: None,
        };
        self.network
            .one_way(self.spot(proxy), to, &mut self.network_draws)
    }

    fn delay_to_proxy(&mut self, server: ServerIndex, proxy: usize) -> Option<Micros> {
        let from = Location {
            place: self.site.place(server),
            proxy: None,
        };
        self.network
            .one_way(from, self.spot(proxy), &mut self.network_draws)
    }
}
