//! Scenarios on the testbed: the same day on real sockets, with processes of the real program.
//!
//! What a scenario says of the network is left to loopback; losses on it are played as they are on virtual time, by
//! what is lost coming later.

use crate::play::faults::{rolling, struck, struck_proxies, LINGER};
use crate::scenario::{FaultKind, Scenario};
use server_model::catalog;
use server_model::site::{ServerFault, ServerIndex, Status};
use server_model::Micros;
use simulation_engine::streams::Streams;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use testbed::history::Outcomes;
use testbed::link::Flow;
use testbed::process::Fault;
use testbed::{Setup, Testbed};

/// Processes, and links from them to servers, that one machine bears.
const PROXIES_MOST: usize = 64;
const LINKS_MOST: usize = 4_000;

/// How often whoever watches is called.
const GLANCE: Micros = 500_000;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Begins(usize),
    Over(usize),
    /// One server of a rolling deploy: drained first, then replaced.
    Drains(ServerIndex),
    Replaced(ServerIndex),
    Glance,
}

/// What is wrong with a scenario for a trial, by key.
pub fn fault(scenario: &Scenario) -> Option<String> {
    let (proxies, servers) = (scenario.proxies(), scenario.servers());
    let named =
        |key: &str, problem: String| Some(format!("scenario {}: {key}: {problem}", scenario.name));
    if !(1..=PROXIES_MOST).contains(&proxies) {
        return named(
            "load.proxies",
            format!("a trial has 1 to {PROXIES_MOST} processes, not {proxies}"),
        );
    }
    if proxies * servers > LINKS_MOST {
        let links = proxies * servers;
        return named(
            "fleet",
            format!(
                "{proxies} proxies and {servers} servers have {links} links; {LINKS_MOST} at most"
            ),
        );
    }
    None
}

struct Director<'a> {
    scenario: &'a Scenario,
    streams: Streams,
    testbed: Testbed,
    agenda: BinaryHeap<Reverse<(Micros, Step)>>,
    /// Whom each trouble has struck.
    struck: Vec<(Vec<ServerIndex>, Vec<usize>)>,
}

/// Plays a scenario on what `adjust` has made of the usual setup; `watch` is shown the testbed now and then, and what has just begun or ended.
pub fn trial(
    scenario: &Scenario,
    seed: u64,
    adjust: impl FnOnce(&mut Setup),
    mut watch: impl FnMut(&Testbed, &[String]),
) -> Result<Outcomes, Fault> {
    if let Some(problem) = fault(scenario) {
        return Err(Fault::new(problem));
    }
    let mut setup = Setup::new(scenario.site.clone(), scenario.clients.clone())?;
    (setup.list, setup.platform, setup.seed) = (scenario.catalog, scenario.platform.clone(), seed);
    adjust(&mut setup);
    let testbed = Testbed::start(setup)?;
    let troubles = scenario.faults.iter().enumerate();
    let mut agenda: BinaryHeap<_> = troubles
        .map(|(at, t)| Reverse((t.at, Step::Begins(at))))
        .collect();
    agenda.push(Reverse((0, Step::Glance)));
    let struck = vec![Default::default(); scenario.faults.len()];
    let mut director = Director {
        scenario,
        streams: Streams::new(seed),
        testbed,
        agenda,
        struck,
    };
    director.testbed.history.begin();
    let mut marks = Vec::new();
    // What is to happen later than the last request has no one to see it.
    while let Some(Reverse((at, step))) = director
        .agenda
        .pop()
        .filter(|Reverse((at, _))| *at < scenario.length())
    {
        let wait = Duration::from_micros(at.saturating_sub(director.testbed.history.now()));
        std::thread::sleep(wait);
        if step == Step::Glance {
            watch(&director.testbed, &marks);
            marks.clear();
            director.agenda.push(Reverse((at + GLANCE, Step::Glance)));
        } else {
            marks.extend(director.step(at, step)?);
        }
    }
    director.testbed.finish()
}

impl Director<'_> {
    fn step(&mut self, now: Micros, step: Step) -> Result<Option<String>, Fault> {
        match step {
            Step::Begins(at) => self.begins(now, at),
            Step::Over(at) => return self.over(at),
            Step::Drains(server) => {
                if self.testbed.history.lock().site.status(server) == Status::Ready {
                    self.testbed
                        .history
                        .inject_fault(ServerFault::Drain(server));
                    self.agenda
                        .push(Reverse((now + LINGER, Step::Replaced(server))));
                }
                return Ok(None);
            }
            Step::Replaced(server) => {
                let (group, place) = {
                    let inner = self.testbed.history.lock();
                    (inner.site.group(server), inner.site.place(server))
                };
                self.testbed
                    .history
                    .inject_fault(ServerFault::Retire(server));
                self.testbed
                    .history
                    .inject_fault(ServerFault::Join { group, place });
                return Ok(None);
            }
            Step::Glance => return Ok(None),
        }
        let Step::Begins(at) = step else {
            return Ok(None);
        };
        Ok(Some(format!("{} begins", self.scenario.faults[at].name)))
    }

    fn each(&self, servers: &[ServerIndex], trouble: impl Fn(ServerIndex) -> ServerFault) {
        servers
            .iter()
            .for_each(|server| self.testbed.history.inject_fault(trouble(*server)));
    }

    /// The servers that a trouble of slowness is of: all, if none is named.
    fn slowed(&self, at: usize) -> Vec<ServerIndex> {
        match self.scenario.faults[at].targets.is_empty() {
            true => self.testbed.history.lock().site.servers().collect(),
            false => self.struck[at].0.clone(),
        }
    }

    fn all(&self) -> Vec<usize> {
        (0..self.testbed.proxies.len()).collect()
    }

    fn begins(&mut self, now: Micros, at: usize) {
        let trouble = &self.scenario.faults[at];
        let servers = struck(
            &self.testbed.history.lock().site,
            &trouble.targets,
            &self.streams,
            at,
        );
        let proxies = struck_proxies(
            self.testbed.proxies.len(),
            self.scenario.site.places,
            &trouble.targets,
        );
        self.agenda
            .push(Reverse((now.saturating_add(trouble.span), Step::Over(at))));
        self.struck[at] = (servers.clone(), proxies.clone());
        let history = self.testbed.history.clone();
        match trouble.what {
            FaultKind::Die => self.each(&servers, ServerFault::Crash),
            FaultKind::Hang => self.each(&servers, |server| ServerFault::Hang { server, on: true }),
            FaultKind::Slow(times) => self.each(&self.slowed(at), |server| ServerFault::Slow {
                server,
                times,
            }),
            FaultKind::Hold => self.each(&servers, |server| ServerFault::HoldReplication {
                server,
                span: trouble.span,
            }),
            FaultKind::Deploy => {
                let (servers, gap) = rolling(&history.lock().site, servers, trouble.span);
                for (n, server) in (0..).zip(servers) {
                    self.agenda
                        .push(Reverse((now + gap * n, Step::Drains(server))));
                }
            }
            FaultKind::ListBehind(more) => history.list(catalog::Event::Behind(more)),
            FaultKind::ListDown => history.list(catalog::Event::Down(true)),
            FaultKind::Surge(times, tenant) => history.surge(tenant, times),
            FaultKind::Cut { place, back_only } => {
                let there = if back_only { Flow::Passes } else { Flow::Cut };
                self.testbed
                    .links(&proxies, Some(place))
                    .iter()
                    .for_each(|link| link.set(there, Flow::Cut));
            }
            FaultKind::Split(place) => history.inject_fault(ServerFault::Partition(place)),
            FaultKind::Loss(part) => {
                let resend = Duration::from_micros(self.scenario.network.resend);
                let flow = Flow::Lossy { part, resend };
                self.testbed
                    .links(&self.all(), None)
                    .iter()
                    .for_each(|link| link.set(flow, flow));
            }
            FaultKind::ProxyDies => proxies.iter().for_each(|proxy| self.testbed.kill(*proxy)),
            // What proxies say to each other does not pass the testbed's links.
            FaultKind::Apart => {}
        }
    }

    fn over(&mut self, at: usize) -> Result<Option<String>, Fault> {
        let trouble = &self.scenario.faults[at];
        let (servers, proxies) = self.struck[at].clone();
        let history = self.testbed.history.clone();
        match trouble.what {
            FaultKind::Die => self.each(&servers, ServerFault::Start),
            FaultKind::Hang => {
                self.each(&servers, |server| ServerFault::Hang { server, on: false })
            }
            FaultKind::Slow(_) => self.each(&self.slowed(at), |server| ServerFault::Slow {
                server,
                times: 1.0,
            }),
            FaultKind::Hold | FaultKind::Deploy | FaultKind::Apart => {}
            FaultKind::ListBehind(_) => history.list(catalog::Event::Behind(0)),
            FaultKind::ListDown => history.list(catalog::Event::Down(false)),
            FaultKind::Surge(_, tenant) => history.surge(tenant, 1.0),
            FaultKind::Cut { place, .. } => self
                .testbed
                .links(&proxies, Some(place))
                .iter()
                .for_each(|link| link.heal()),
            FaultKind::Split(_) => history.inject_fault(ServerFault::HealPartition),
            FaultKind::Loss(_) => self
                .testbed
                .links(&self.all(), None)
                .iter()
                .for_each(|link| link.heal()),
            FaultKind::ProxyDies => proxies
                .iter()
                .try_for_each(|proxy| self.testbed.restart(*proxy))?,
        }
        Ok(Some(format!("{} is over", trouble.name)))
    }
}
