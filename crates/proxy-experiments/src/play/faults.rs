//! What goes wrong in a run: whose it is when it comes, and what it does.

use super::{Simulation, Step};
use crate::scenario::{FaultKind, Target};
use rand::Rng;
use server_model::clients;
use server_model::network::End;
use server_model::site::{self, ServerFault, ServerIndex, Site, Status};
use server_model::Micros;
use simulation_engine::streams::Streams;

/// A draining server has so long to finish what it has.
pub(crate) const LINGER: Micros = 2_000_000;
/// Clients go on trying a proxy that has died for so long.
const NOTICE: Micros = 2_000_000;

/// Whom each fault has struck.
pub struct ActiveFaults {
    servers: Vec<Vec<ServerIndex>>,
    proxies: Vec<Vec<usize>>,
}

impl ActiveFaults {
    pub fn new(number: usize) -> ActiveFaults {
        ActiveFaults {
            servers: vec![Vec::new(); number],
            proxies: vec![Vec::new(); number],
        }
    }
}

/// The servers that a fault is of, now that it comes; each once. `at`: its number in the scenario.
pub(crate) fn struck(
    site: &Site,
    targets: &[Target],
    streams: &Streams,
    at: usize,
) -> Vec<ServerIndex> {
    let mut found = Vec::new();
    let running: Vec<ServerIndex> = site.servers().filter(|s| site.runs(*s)).collect();
    for target in targets {
        match target {
            Target::All => found.extend(&running),
            Target::Primaries(from, to) => {
                found.extend((*from..=*to).filter_map(|group| site.primary(group)));
            }
            Target::Member(group, member) => {
                found.extend(site.members(*group).get(*member as usize).copied());
            }
            Target::Place(place) => {
                found.extend(running.iter().filter(|s| site.place(**s) == *place))
            }
            Target::Share(part) => {
                let wanted = (running.len() as f64 * part).ceil() as usize;
                let mut draws = streams.stream("trouble", at as u64);
                // Each has a key by its weight; the largest are drawn.
                let mut keyed: Vec<(f64, ServerIndex)> = running
                    .iter()
                    .map(|server| {
                        let weight = if site.is_primary(*server) { 2.0 } else { 1.0 };
                        (draws.random::<f64>().powf(1.0 / weight), *server)
                    })
                    .collect();
                keyed.sort_by(|a, b| b.0.total_cmp(&a.0));
                found.extend(keyed.iter().take(wanted).map(|(_, server)| server));
            }
            Target::Proxies(..) => {}
        }
    }
    let mut seen = std::collections::BTreeSet::new();
    found.retain(|server| seen.insert(*server));
    found
}

/// The proxies that a fault is of, where proxies stand in places in turn.
pub(crate) fn struck_proxies(number: usize, places: usize, targets: &[Target]) -> Vec<usize> {
    let of = |target: &Target, proxy: usize| match target {
        Target::Proxies(from, to) => (from..=to).contains(&&proxy),
        Target::All => true,
        Target::Place(place) => proxy % places.max(1) == usize::from(*place),
        _ => false,
    };
    (0..number)
        .filter(|proxy| targets.iter().any(|target| of(target, *proxy)))
        .collect()
}

/// One of each group after the other, so that none loses all at once, each so much after the one before.
pub(crate) fn rolling(
    site: &Site,
    mut servers: Vec<ServerIndex>,
    span: Micros,
) -> (Vec<ServerIndex>, Micros) {
    servers.sort_by_key(|s| {
        let group = site.group(*s);
        (site.members(group).iter().position(|m| m == s), group)
    });
    let gap = span / (servers.len() as Micros).max(1);
    (servers, gap)
}

impl Simulation<'_> {
    fn each(&mut self, servers: &[ServerIndex], trouble: impl Fn(ServerIndex) -> ServerFault) {
        for server in servers {
            self.site(site::Event::Fault(trouble(*server)));
        }
    }

    pub(super) fn begin_fault(&mut self, at: usize) {
        let now = self.now;
        let trouble = self.scenario.faults[at].clone();
        let servers = struck(&self.site, &trouble.targets, &self.streams, at);
        let proxies = struck_proxies(
            self.hosts.len(),
            self.scenario.site.places,
            &trouble.targets,
        );
        self.tally.mark(now, format!("{} begins", trouble.name));
        self.wheel
            .put(now.saturating_add(trouble.span), Step::FaultEnds(at));
        match trouble.what {
            FaultKind::Die => self.each(&servers, ServerFault::Crash),
            FaultKind::Hang => self.each(&servers, |server| ServerFault::Hang { server, on: true }),
            FaultKind::Slow(times) => {
                let all: Vec<ServerIndex> = self.site.servers().collect();
                let servers = if trouble.targets.is_empty() {
                    &all
                } else {
                    &servers
                };
                self.each(servers, |server| ServerFault::Slow { server, times });
            }
            FaultKind::Hold => self.each(&servers, |server| ServerFault::HoldReplication {
                server,
                span: trouble.span,
            }),
            FaultKind::Deploy => {
                let (servers, gap) = rolling(&self.site, servers.clone(), trouble.span);
                for (n, server) in (0..).zip(&servers) {
                    let step = Step::DeployServer {
                        trouble: at,
                        server: *server,
                        phase: 0,
                    };
                    self.wheel.put(now + gap * n, step);
                }
            }
            FaultKind::ListBehind(extra) => self.list(server_model::catalog::Event::Behind(extra)),
            FaultKind::ListDown => self.list(server_model::catalog::Event::Down(true)),
            FaultKind::Surge(times, tenant) => {
                self.clients(clients::Event::Surge { tenant, times })
            }
            FaultKind::Cut { place, back_only } => self.cut(&proxies, place, back_only, true),
            FaultKind::Split(place) => self.site(site::Event::Fault(ServerFault::Partition(place))),
            FaultKind::Loss(part) => self.network.set_extra_loss(part),
            FaultKind::ProxyDies => proxies.iter().for_each(|proxy| self.proxy_dies(*proxy)),
            FaultKind::Apart => self.partitioned(proxies.clone()),
        }
        (
            self.active_faults.servers[at],
            self.active_faults.proxies[at],
        ) = (servers, proxies);
    }

    pub(super) fn end_fault(&mut self, at: usize) {
        let trouble = self.scenario.faults[at].clone();
        let servers = self.active_faults.servers[at].clone();
        let proxies = self.active_faults.proxies[at].clone();
        self.tally
            .mark(self.now, format!("{} is over", trouble.name));
        match trouble.what {
            FaultKind::Die => self.each(&servers, ServerFault::Start),
            FaultKind::Hang => {
                self.each(&servers, |server| ServerFault::Hang { server, on: false })
            }
            FaultKind::Slow(_) => {
                let all: Vec<ServerIndex> = self.site.servers().collect();
                let servers = if trouble.targets.is_empty() {
                    &all
                } else {
                    &servers
                };
                self.each(servers, |server| ServerFault::Slow { server, times: 1.0 });
            }
            FaultKind::Hold | FaultKind::Deploy => {}
            FaultKind::ListBehind(_) => self.list(server_model::catalog::Event::Behind(0)),
            FaultKind::ListDown => self.list(server_model::catalog::Event::Down(false)),
            FaultKind::Surge(_, tenant) => {
                self.clients(clients::Event::Surge { tenant, times: 1.0 })
            }
            FaultKind::Cut { place, back_only } => self.cut(&proxies, place, back_only, false),
            FaultKind::Split(_) => self.site(site::Event::Fault(ServerFault::HealPartition)),
            FaultKind::Loss(_) => self.network.set_extra_loss(0.0),
            FaultKind::Apart => self.partitioned(Vec::new()),
            FaultKind::ProxyDies => {
                for proxy in proxies {
                    self.hosts[proxy].down = false;
                    self.start(proxy);
                    self.clients(clients::Event::Proxy { proxy, up: true });
                }
            }
        }
    }

    fn cut(&mut self, proxies: &[usize], place: u16, back_only: bool, cut: bool) {
        for proxy in proxies {
            let (a, b) = (End::Proxy(*proxy), End::Place(place));
            for (from, to) in [(b, a), (a, b)]
                .into_iter()
                .take(if back_only { 1 } else { 2 })
            {
                if cut {
                    self.network.cut(from, to);
                } else {
                    self.network.heal(from, to);
                }
            }
        }
    }

    /// Drained, then ended and replaced by a new one.
    pub(super) fn deploy(&mut self, trouble: usize, server: ServerIndex, phase: u8) {
        if phase == 0 {
            if self.site.status(server) == Status::Ready {
                self.site(site::Event::Fault(ServerFault::Drain(server)));
                self.wheel.put(
                    self.now + LINGER,
                    Step::DeployServer {
                        trouble,
                        server,
                        phase: 1,
                    },
                );
            }
        } else {
            let (group, place) = (self.site.group(server), self.site.place(server));
            self.site(site::Event::Fault(ServerFault::Retire(server)));
            self.site(site::Event::Fault(ServerFault::Join { group, place }));
        }
    }

    fn proxy_dies(&mut self, proxy: usize) {
        if !self.hosts[proxy].up() {
            return;
        }
        self.save_and_leave(proxy);
        self.hosts[proxy].die(&mut self.site);
        self.list(server_model::catalog::Event::Leave(proxy));
        let mut held: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, o)| o.client_attempt.proxy == proxy)
            .map(|(id, _)| *id)
            .collect();
        held.sort_unstable();
        for id in held {
            self.open.remove(&id);
            self.checker.proxy_dies(id);
            let answer = clients::Answer::ConnectionLost { reached: true };
            self.clients(clients::Event::Answered(id, answer));
        }
        // Only after a while do clients go elsewhere at once.
        let epoch = self.hosts[proxy].epoch;
        self.wheel
            .put(self.now + NOTICE, Step::ProxyDownNoticed { proxy, epoch });
    }
}
