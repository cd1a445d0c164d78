//! Simulates an incident: balancers distribute requests by weight, record servers follow the script, and each proxy
//! runs the real availability model.

use crate::balancer::Balancer;
use crate::outcome::{Outcome, Sample, StateChange};
use crate::proxy::Proxy;
use crate::script::{Change, Incident};
use crate::world::World;
use crate::Time;
use availability::{Availability, Condition, Event, LinkState, State};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use wire_health::Status;

/// Step of virtual time.
const STEP: Duration = Duration::from_millis(5);

/// Interval between samples of states and views, in milliseconds.
const SAMPLE_INTERVAL_MS: u128 = 100;

/// Simulates an incident; the outcome is determined by the incident and the seed.
pub fn play(incident: &Incident, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(incident, seed);
    while simulation.now < incident.length {
        simulation.step();
    }
    let mut outcome = simulation.outcome;
    outcome.flaps = max_changes_per_minute(&outcome.state_changes, incident.proxies);
    outcome
}

struct Simulation<'a> {
    incident: &'a Incident,
    rng: StdRng,
    world: World,
    proxies: Vec<Proxy>,
    balancers: Vec<Balancer>,
    /// Scripted changes in order of time.
    changes: Vec<(Time, Change)>,
    next_change: usize,
    /// Factor on the usual request rate.
    demand: f64,
    /// Number of requests that are due and not sent, including the fraction of the next one.
    due_requests: f64,
    last_request: u64,
    now: Time,
    /// State of each proxy after its last step.
    states: Vec<State>,
    /// Whether each proxy has reported the fault.
    reported: Vec<bool>,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    fn new(incident: &'a Incident, seed: u64) -> Simulation<'a> {
        let world = World::new(incident.groups, incident.proxies);
        let proxies: Vec<Proxy> = (0..incident.proxies)
            .map(|_| Proxy::new(incident, &world))
            .collect();
        let balancers = incident.balancers.iter();
        let mut changes = incident.changes.clone();
        changes.sort_by_key(|(at, _)| *at);
        Simulation {
            rng: StdRng::seed_from_u64(seed),
            world,
            balancers: balancers
                .map(|settings| Balancer::new(*settings, incident.proxies))
                .collect(),
            changes,
            next_change: 0,
            demand: 1.0,
            due_requests: 0.0,
            last_request: 0,
            now: Time::ZERO,
            states: proxies.iter().map(|p| p.model.report().state).collect(),
            reported: vec![false; incident.proxies],
            outcome: Outcome {
                least_weight_sum: 100 * incident.proxies as u32,
                ..Outcome::default()
            },
            proxies,
            incident,
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.apply_changes();
        self.update_lists();
        self.send_requests();
        for proxy in 0..self.proxies.len() {
            self.step_proxy(proxy);
        }
        self.run_health_checks();
        self.sample();
    }

    fn apply_changes(&mut self) {
        while let Some((_, change)) = self
            .changes
            .get(self.next_change)
            .copied()
            .filter(|(at, _)| *at <= self.now)
        {
            self.apply(change);
            self.next_change += 1;
        }
    }

    fn apply(&mut self, change: Change) {
        let (now, world, proxies) = (self.now, &mut self.world, &mut self.proxies);
        match change {
            Change::Group(group, servers) => world.set_group(group, servers, now),
            Change::AllGroups(servers) => {
                (0..world.groups()).for_each(|group| world.set_group(group, servers, now));
            }
            Change::Link(proxy, place, up) => world.link(proxy, place, up),
            Change::Apart(apart) => world.apart(apart, now),
            Change::Power(place, on) => world.power(place, on, now),
            Change::HungBuilding(place, hung) => world.hang(place, hung),
            Change::Lag(at, lag) => proxies[at].lag = lag,
            Change::Descriptors(at, part) => proxies[at].extra_descriptors = part,
            Change::Demand(times) => self.demand = times,
            Change::Drain(at) => proxies[at].drain(drain::Event::Drain, now),
            Change::Undrain(at) => proxies[at].drain(drain::Event::Undrain, now),
            Change::Discovery(at, connected) => {
                proxies[at]
                    .model
                    .handle(now, Event::Discovery { connected });
            }
            Change::Stall(at, span) => proxies[at].stalled_until = now + span,
        }
    }

    fn update_lists(&mut self) {
        for (server, listed) in self.world.step(self.now) {
            let (place, group) = (self.world.place(server), self.world.group(server));
            for proxy in &mut self.proxies {
                let listed = Event::Endpoint {
                    server,
                    site: place,
                    group,
                    listed,
                };
                proxy.model.handle(self.now, listed);
            }
        }
    }

    /// Sends the due requests through the balancers in turn, each of which picks proxies by its shares.
    fn send_requests(&mut self) {
        self.due_requests += self.incident.requests_per_s * self.demand * STEP.as_secs_f64();
        while self.due_requests >= 1.0 {
            self.due_requests -= 1.0;
            self.send_request();
        }
    }

    fn send_request(&mut self) {
        self.last_request += 1;
        self.outcome.requests += 1;
        let number = self.last_request;
        let balancer = &self.balancers[number as usize % self.balancers.len()];
        let mut left = self.rng.random::<f64>();
        let group = self.rng.random_range(0..self.incident.groups);
        let proxy = balancer.shares().iter().position(|share| {
            left -= share;
            left < 0.0
        });
        match proxy {
            None => self.outcome.no_proxy_available += 1,
            Some(at) if !self.proxies[at].listening => self.outcome.not_listening += 1,
            Some(at) => {
                let proxy = &mut self.proxies[at];
                proxy.send_request(at, group, number, &self.world, self.now, &mut self.rng);
            }
        }
    }

    fn step_proxy(&mut self, at: usize) {
        let now = self.now;
        let proxy = &mut self.proxies[at];
        if now < proxy.stalled_until {
            return;
        }
        self.outcome.served += proxy.step(at, &self.world, now);
        for (place, link) in proxy.model.links() {
            let known = &mut proxy.links[usize::from(place)];
            if std::mem::replace(known, link) != link {
                self.outcome.links.push((now, at, place, link));
            }
        }
        let state = proxy.model.report().state;
        let before = std::mem::replace(&mut self.states[at], state);
        if std::mem::discriminant(&state) != std::mem::discriminant(&before) {
            self.outcome.state_changes.push(StateChange {
                at: now,
                proxy: at,
                state,
            });
        }
        self.record_report(at, state);
    }

    /// Records the first report of the fault by a proxy: a state other than ready, a group that is not serving, or a
    /// link that is not up.
    fn record_report(&mut self, at: usize, state: State) {
        let proxy = &self.proxies[at];
        let (begins, ends) = self.incident.fault_window;
        let mut conditions = proxy.model.groups().map(|(_, g)| g.condition);
        let degraded = conditions.any(|condition| condition != Condition::Serving)
            || proxy.links.iter().any(|link| *link != LinkState::Up);
        if self.now >= begins && !self.reported[at] && (state != State::Ready || degraded) {
            self.reported[at] = true;
            let delay = self.now - begins;
            self.outcome.first_report_delay.get_or_insert(delay);
            self.outcome.last_report_delay = Some(delay);
        }
        if self.now < ends {
            let worst = proxy.model.groups().map(|(_, g)| g.condition).max();
            self.outcome.worst_condition = self.outcome.worst_condition.max(worst);
        }
    }

    fn run_health_checks(&mut self) {
        for balancer in &mut self.balancers {
            for (at, proxy) in self.proxies.iter().enumerate() {
                if !balancer.due(at, self.now) {
                    continue;
                }
                let status = (self.now >= proxy.stalled_until).then(|| status(&proxy.model));
                balancer.check(at, status.as_ref(), self.now);
                let view = balancer.view(at);
                let out = !view.up || view.drained || view.weight == 0;
                let false_down = out && !self.incident.may_be_out.contains(&at);
                self.outcome.false_downs += u64::from(false_down);
            }
        }
    }

    fn sample(&mut self) {
        let proxies = self.proxies.iter();
        let weights: Vec<u8> = proxies.map(|p| p.model.report().weight).collect();
        let counted = weights
            .iter()
            .enumerate()
            .filter(|(at, _)| !self.incident.may_be_out.contains(at));
        let sum: u32 = counted.map(|(_, w)| u32::from(*w)).sum();
        self.outcome.least_weight_sum = self.outcome.least_weight_sum.min(sum);
        if !self.now.as_millis().is_multiple_of(SAMPLE_INTERVAL_MS) {
            return;
        }
        let views = self
            .balancers
            .iter()
            .map(|b| (0..self.proxies.len()).map(|at| b.view(at)).collect());
        self.outcome.samples.push(Sample {
            at: self.now,
            states: self.states.clone(),
            weights,
            views: views.collect(),
            no_proxy_available: self.outcome.no_proxy_available,
        });
    }
}

fn max_changes_per_minute(changes: &[StateChange], proxies: usize) -> usize {
    let minute = Duration::from_secs(60);
    let of = |proxy: usize| -> Vec<Time> {
        changes
            .iter()
            .filter(|t| t.proxy == proxy)
            .map(|t| t.at)
            .collect()
    };
    let worst = |times: &[Time]| {
        (0..times.len())
            .map(|at| {
                times[at..]
                    .iter()
                    .take_while(|t| **t - times[at] < minute)
                    .count()
            })
            .max()
    };
    (0..proxies)
        .filter_map(|proxy| worst(&of(proxy)))
        .max()
        .unwrap_or(0)
}

/// Status of the model as input of the health codecs.
fn status(model: &Availability) -> Status {
    let report = model.report();
    Status {
        state: report.state,
        weight: report.weight,
        reason: String::new(),
        max_clients: None,
        retry_after: Duration::from_secs(1),
        load: wire_health::Load::default(),
        groups: Vec::new(),
        links: Vec::new(),
    }
}
