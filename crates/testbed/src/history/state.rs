//! The models, the checker, the accounts and their timers, kept under one lock.

use super::messages::{ClientTask, ServerReply};
use super::outcomes::{ClassAccount, Outcomes};
use super::own_attempts::{Departure, SecondProcess, SentAfterLeave};
use hdrhistogram::Histogram;
use invariant_checkers::{Checker, Rule};
use rustc_hash::{FxHashMap, FxHashSet};
use server_model::catalog::{self, Catalog, Record};
use server_model::clients::{self, ClientAttempt, ClientAttemptId, Clients};
use server_model::site::{self, ServerIndex, Site, TimerOwner};
use server_model::Micros;
use simulation_engine::streams::Streams;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use tokio::sync::{mpsc, oneshot, watch};

/// Purpose of a timer of the history.
pub(super) enum TimerKind {
    Site(TimerOwner),
    List,
    Client(clients::TimerKind),
    /// Clients detect that a proxy is down.
    ProxyDownDetected(usize),
}

/// An attempt that its client waits for.
pub(super) struct OpenAttempt {
    pub(super) asked: ClientAttempt,
    /// Dropped when the client gives up.
    pub(super) cancel: Option<oneshot::Sender<()>>,
}

/// An attempt that a server has received in full.
pub(super) struct RunningRequest {
    pub(super) id: ClientAttemptId,
    pub(super) min_position: Micros,
    pub(super) write: bool,
    pub(super) answer: oneshot::Sender<ServerReply>,
}

/// State of a run; [`super::History`] keeps it under one lock.
pub struct State {
    /// The model of record servers.
    pub site: Site,
    /// The model of discovery.
    pub list: Catalog,
    pub(super) clients: Clients,
    /// The checker of safety rules, which receives every event.
    pub checker: Checker,
    pub(super) classes: Vec<clients::RequestClass>,
    pub(super) streams: Streams,
    pub(super) timers: BinaryHeap<Reverse<(Micros, u64)>>,
    pub(super) timer_kinds: FxHashMap<u64, TimerKind>,
    pub(super) next: u64,
    pub(super) open: FxHashMap<ClientAttemptId, OpenAttempt>,
    /// All attempts of the run, kept until its end for late events.
    pub(super) attempts_by_id: FxHashMap<ClientAttemptId, ClientAttempt>,
    pub(super) server_attempts: FxHashMap<ClientAttemptId, u8>,
    /// Values that servers returned. Key: exchange; value: attempt, commit position of a write, and whether a read is too stale.
    pub(super) made: FxHashMap<u64, (ClientAttemptId, Micros, bool)>,
    pub(super) running: FxHashMap<u64, RunningRequest>,
    pub(super) probes: FxHashMap<u64, oneshot::Sender<Option<site::LoadReport>>>,
    /// Number of crashes, indexed by server. A crash resets the server's connections.
    pub(super) deaths: Vec<watch::Sender<u64>>,
    pub(super) new_servers: mpsc::UnboundedSender<ServerIndex>,
    pub(super) watchers: FxHashMap<usize, mpsc::UnboundedSender<catalog::Action>>,
    pub(super) client_tasks: mpsc::UnboundedSender<ClientTask>,
    pub(super) accounts: Vec<ClassAccount>,
    pub(super) latencies: Vec<Histogram<u64>>,
    pub(super) lateness: Histogram<u64>,
    /// Number of attempts received in full. Key: proxy and server.
    pub reached: FxHashMap<(usize, ServerIndex), u64>,
    /// Health checks that reached a server.
    pub probed: u64,
    /// Connections that a server rejected at its connection limit.
    pub rejected_connections: u64,
    pub(super) resent_after_close: u64,
    /// Proxies that were killed and do not serve again yet.
    pub(super) down: FxHashSet<usize>,
    pub(super) second_process: Option<SecondProcess>,
    /// Updates held back by the links to discovery: proxy, server, and whether the server is leaving.
    pub(super) held_notifications: Option<Vec<(usize, ServerIndex, bool)>>,
    /// Number of attempts of clients outside of the model.
    pub(super) own_attempts: u64,
    /// Lateness that a busy machine may add to timed actions of proxies, in microseconds.
    pub(super) allowed_lateness: Micros,
    /// Departures of clients, with their time. Key: attempt.
    pub(super) left: FxHashMap<ClientAttemptId, (Departure, Micros)>,
    pub(super) sent_after_leave: Vec<SentAfterLeave>,
    /// Attempts whose connection the proxy closed without an answer, with the time.
    pub(super) closed_unanswered: Vec<(ClientAttemptId, Micros)>,
}

/// Time for which clients still use a killed proxy, in microseconds.
pub(super) const DEATH_NOTICE_US: Micros = 2_000_000;
const HIGHEST_LATENCY_US: u64 = 60_000_000;

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, HIGHEST_LATENCY_US, 3).expect("histogram bounds are valid")
}

impl State {
    /// Creates the initial state; new servers and client tasks go to the two senders.
    pub(super) fn new(
        (site, list, clients): (site::Settings, catalog::Settings, clients::Settings),
        checker: Checker,
        seed: u64,
        (new_servers, client_tasks): (
            mpsc::UnboundedSender<ServerIndex>,
            mpsc::UnboundedSender<ClientTask>,
        ),
    ) -> State {
        let streams = Streams::new(seed);
        let site = Site::new(site);
        let list = Catalog::new(list, site.servers().map(|s| Record::of(&site, s)));
        let classes = clients.classes.clone();
        State {
            deaths: site.servers().map(|_| watch::Sender::new(0)).collect(),
            clients: Clients::new(clients, &streams),
            checker,
            accounts: vec![ClassAccount::default(); classes.len()],
            latencies: classes.iter().map(|_| histogram()).collect(),
            classes,
            streams,
            site,
            list,
            timers: BinaryHeap::new(),
            timer_kinds: FxHashMap::default(),
            next: 0,
            open: FxHashMap::default(),
            attempts_by_id: FxHashMap::default(),
            server_attempts: FxHashMap::default(),
            made: FxHashMap::default(),
            running: FxHashMap::default(),
            probes: FxHashMap::default(),
            new_servers,
            watchers: FxHashMap::default(),
            client_tasks,
            lateness: histogram(),
            reached: FxHashMap::default(),
            probed: 0,
            rejected_connections: 0,
            resent_after_close: 0,
            down: FxHashSet::default(),
            second_process: None,
            held_notifications: None,
            own_attempts: 0,
            allowed_lateness: 0,
            left: FxHashMap::default(),
            sent_after_leave: Vec::new(),
            closed_unanswered: Vec::new(),
        }
    }

    pub(super) fn set_timer(&mut self, at: Micros, step: TimerKind) {
        self.next += 1;
        self.timers.push(Reverse((at, self.next)));
        self.timer_kinds.insert(self.next, step);
    }

    pub(super) fn due(&mut self, now: Micros) {
        while let Some(Reverse((at, number))) = self
            .timers
            .peek()
            .copied()
            .filter(|Reverse((at, _))| *at <= now)
        {
            self.timers.pop();
            let Some(step) = self.timer_kinds.remove(&number) else {
                continue;
            };
            self.lateness.saturating_record((now - at).max(1));
            match step {
                TimerKind::Site(wake) => self.site(site::Event::Timer(wake), now),
                TimerKind::List => self.list(catalog::Event::Due, now),
                // Arrivals count from their scheduled time.
                TimerKind::Client(clients::TimerKind::Arrival) => {
                    self.clients(clients::Event::Timer(clients::TimerKind::Arrival), at)
                }
                TimerKind::Client(due) => self.clients(clients::Event::Timer(due), now),
                TimerKind::ProxyDownDetected(proxy) => {
                    if self.down.contains(&proxy) {
                        self.clients(clients::Event::Proxy { proxy, up: false }, now);
                    }
                }
            }
        }
    }

    pub(super) fn site(&mut self, event: site::Event, now: Micros) {
        let mut actions = Vec::new();
        self.site.handle(now, event, &mut actions);
        self.apply_site_actions(actions, now);
    }

    pub(super) fn apply_site_actions(&mut self, actions: Vec<site::Action>, now: Micros) {
        for action in actions {
            match action {
                site::Action::SetTimer(at, wake) => self.set_timer(at, TimerKind::Site(wake)),
                site::Action::Answer {
                    exchange,
                    answer,
                    metadata,
                } => self.complete_request(exchange, answer, metadata),
                site::Action::LoadReport { exchange, report } => {
                    if let Some(reply) = self.probes.remove(&exchange) {
                        _ = reply.send(report);
                    }
                }
                site::Action::Changed(server) => {
                    let record = Record::of(&self.site, server);
                    if self.deaths.len() <= server as usize {
                        self.deaths.push(watch::Sender::new(0));
                        _ = self.new_servers.send(server);
                    } else if !self.site.runs(server) {
                        self.deaths[server as usize].send_modify(|count| *count += 1);
                    }
                    self.list(catalog::Event::Changed(record), now);
                }
                site::Action::Applied { key, .. } => self.checker.applied(key),
                site::Action::Collapsed(_) => self.checker.report_violation(Rule::Collapsed),
                site::Action::Primary { .. }
                | site::Action::Vacant { .. }
                | site::Action::Undone { .. } => {}
            }
        }
    }

    /// Settles open requests and returns the outcomes of the run.
    pub(super) fn close(&mut self) -> Outcomes {
        let mut actions = Vec::new();
        self.clients.close(&mut actions);
        for action in actions {
            if let clients::Action::Settled(settled) = action {
                self.settled(&settled);
            }
        }
        self.checker.close();
        Outcomes {
            accounts: self.accounts.clone(),
            latencies: self.latencies.clone(),
            lateness: self.lateness.clone(),
            broken: self.checker.broken.clone(),
            found: self.found(),
            attempts: self.reached.values().sum(),
            probes: self.probed,
            gone: self.checker.gone,
            crossed: self.resent_after_close,
            dials: 0,
            reached: self.reached.clone(),
        }
    }

    pub(super) fn found(&self) -> Vec<(Rule, ClientAttemptId, usize, Micros)> {
        let proxy =
            |id: &ClientAttemptId| self.attempts_by_id.get(id).map_or(0, |asked| asked.proxy);
        self.checker
            .found
            .iter()
            .map(|(rule, id, at)| (*rule, *id, proxy(id), *at))
            .collect()
    }

    /// Number of proxies with a watch of the list, or a pending request for one.
    pub fn watching(&self) -> usize {
        self.watchers.len()
    }

    pub(super) fn list(&mut self, event: catalog::Event, now: Micros) {
        if let catalog::Event::Leave(caller) = event {
            self.watchers.remove(&caller);
        }
        let mut actions = Vec::new();
        self.list.handle(now, event, &mut actions);
        for action in actions {
            match action {
                catalog::Action::DueAt(at) => self.set_timer(at, TimerKind::List),
                catalog::Action::Update { caller, .. } => {
                    if let Some(watcher) = self.watchers.get(&caller) {
                        _ = watcher.send(action);
                    }
                }
                catalog::Action::Fail(caller) => {
                    if let Some(watcher) = self.watchers.remove(&caller) {
                        _ = watcher.send(action);
                    }
                }
            }
        }
    }
}
