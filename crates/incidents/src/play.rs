//! Plays an incident: requests by the balancers' shares, record servers by the script, the real model in each proxy.

use crate::balancer::{Balancer, Belief};
use crate::script::{Change, Incident, Servers, PLACES};
use crate::world::{Reach, World};
use crate::Time;
use availability::{
    AttemptOutcome, Availability, Condition, Event, LinkState, Load, RejectionCause, State,
};
use drain::{Action, Drain};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use wire_health::Status;

/// Steps of virtual time.
const STEP: Duration = Duration::from_millis(5);
/// What an answer takes as a rule, and how long an attempt is waited for.
const USUAL: Duration = Duration::from_millis(55);
const WAIT: Duration = Duration::from_millis(1_000);
/// A member that broke is left alone for this long.
const REST: Duration = Duration::from_secs(1);
/// Discovery says this often that nothing has changed.
const LIST: Duration = Duration::from_secs(2);
/// Part of the requests that are writes.
const WRITES: f64 = 0.06;
/// Requests open at a proxy that use up all its descriptors, when nothing else does.
const DESCRIPTORS: f64 = 120.0;

/// What was told and believed, sampled.
#[derive(Clone, Debug)]
pub struct Sample {
    /// When it was sampled.
    pub at: Time,
    /// By proxy.
    pub states: Vec<State>,
    /// By proxy, in percent.
    pub weights: Vec<u8>,
    /// By balancer, by proxy.
    pub beliefs: Vec<Vec<Belief>>,
    /// Requests that found no proxy at all.
    pub nowhere: u64,
}

/// A proxy's change of state.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    /// When.
    pub at: Time,
    /// Which proxy.
    pub proxy: usize,
    /// Its state from then on.
    pub state: State,
}

/// What came of an incident.
#[derive(Debug, Default)]
pub struct Outcome {
    /// States and beliefs over time.
    pub samples: Vec<Sample>,
    /// Every change of a proxy's state.
    pub told: Vec<Told>,
    /// Requests that clients sent.
    pub asked: u64,
    /// Requests that were answered.
    pub served: u64,
    /// Requests that came while every proxy was out for their balancer.
    pub nowhere: u64,
    /// Requests that a balancer sent to a proxy whose door was closed.
    pub closed_door: u64,
    /// From the start of the trouble to the first proxy, and the last, that tells of it.
    pub first_told: Option<Duration>,
    /// From the start of the fault to the last proxy that reports it.
    pub last_told: Option<Duration>,
    /// Balancers that held a proxy for down or drained that may not be.
    pub false_downs: u64,
    /// The least sum of the weights that proxies told, out of 100 each.
    pub least_sum: u32,
    /// Changes of state in the worst minute of any proxy.
    pub flaps: usize,
    /// Groups' conditions at the worst, by proxy, for the group that the script touches.
    pub worst_condition: Option<Condition>,
    /// Every change in how a proxy sees the link to a building.
    pub links: Vec<(Time, usize, u16, LinkState)>,
}

struct Proxy {
    model: Availability,
    drain: Drain,
    listening: bool,
    lag: Duration,
    crowd: f64,
    open: u32,
    stalled_until: Time,
    out: BinaryHeap<Reverse<Out>>,
    /// By server, until when it is left alone.
    rests: Vec<Time>,
    links: Vec<LinkState>,
}

/// An attempt that is out: when it is over, its number, its server, how it ends and what it takes.
type Out = (Time, u64, u32, End, Duration);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    Answered,
    /// A write that was served, and one that found no primary.
    Wrote,
    Away,
    /// With a word of the machine, and without any.
    Refused,
    Silent,
}

impl Proxy {
    fn new(incident: &Incident, world: &World) -> Proxy {
        let mut model = Availability::new(availability::Settings::default(), Time::ZERO);
        for server in 0..world.servers() {
            let (place, group) = (world.place(server), world.group(server));
            model.handle(
                Time::ZERO,
                Event::Endpoint {
                    server,
                    site: place,
                    group,
                    listed: true,
                },
            );
        }
        model.handle(Time::ZERO, Event::Started);
        let balancers = incident.balancers.iter().map(|b| drain::Balancer {
            interval: b.interval,
            fall: b.fall,
            timeout: Duration::from_millis(200),
        });
        let settings = drain::Settings {
            balancers: balancers.collect(),
            announce_termination: true,
            ..drain::Settings::default()
        };
        Proxy {
            model,
            drain: Drain::new(settings, Time::ZERO),
            listening: true,
            lag: Duration::ZERO,
            crowd: 0.0,
            open: 0,
            stalled_until: Time::ZERO,
            out: BinaryHeap::new(),
            rests: vec![Time::ZERO; world.servers() as usize],
            links: vec![LinkState::Up; usize::from(PLACES)],
        }
    }

    fn drain(&mut self, event: drain::Event, now: Time) {
        let mut actions = Vec::new();
        self.drain.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::AnnounceDrain => self.model.handle(now, Event::Drain),
                Action::RetractDrain => self.model.handle(now, Event::Undrain),
                Action::StopListening => self.listening = false,
                Action::StartListening => self.listening = true,
                Action::LimitDeadlines(_) | Action::AbortOutstanding | Action::Exit => {}
            }
        }
    }

    /// A request, sent once: a write to the primary, a read to a member that does not rest.
    fn ask(
        &mut self,
        own: usize,
        group: u32,
        number: u64,
        world: &World,
        now: Time,
        rng: &mut StdRng,
    ) {
        self.open += 1;
        self.model.handle(now, Event::RequestArrived { group });
        let write = rng.random_bool(WRITES);
        let members = world.members(group);
        let rested: Vec<u32> = members
            .clone()
            .filter(|m| self.rests[*m as usize] <= now)
            .collect();
        let picked = rng.random_range(0..1_000_usize);
        let any = if rested.is_empty() {
            members.start + picked as u32 % (members.end - members.start)
        } else {
            rested[picked % rested.len()]
        };
        let server = if write {
            world.primary(group).unwrap_or(any)
        } else {
            any
        };
        // Run times scatter: the sum of two uniform parts.
        let scatter = 0.4 + 0.6 * (rng.random::<f64>() + rng.random::<f64>());
        let (end, took) = match world.reach(own, server) {
            Reach::Nothing => (End::Silent, WAIT),
            Reach::Servers(Servers::Silent) => (End::Silent, WAIT),
            Reach::Servers(Servers::Dead) => (End::Refused, Duration::from_millis(2)),
            Reach::Servers(Servers::NoPrimary) if write => (End::Away, USUAL / 8),
            Reach::Servers(_) if write && world.primary(group).is_none() => (End::Away, USUAL / 8),
            Reach::Servers(Servers::Answer(slower)) if write => {
                (End::Wrote, USUAL.mul_f64(slower * scatter * 2.0))
            }
            Reach::Servers(Servers::Answer(slower)) => {
                (End::Answered, USUAL.mul_f64(slower * scatter))
            }
            Reach::Servers(Servers::NoPrimary) => (End::Answered, USUAL.mul_f64(scatter)),
        };
        self.model.handle(now, Event::AttemptSent { group });
        self.model.handle(now, Event::ExchangeStarted { server });
        self.out
            .push(Reverse((now + took, number, server, end, took)));
    }

    /// Answers and time; how many were served.
    fn step(&mut self, own: usize, world: &World, now: Time) -> u64 {
        let mut served = 0;
        while let Some(&Reverse((at, _, server, end, elapsed))) = self.out.peek() {
            if at > now {
                break;
            }
            self.out.pop();
            self.open -= 1;
            let group = world.group(server);
            let late = now.saturating_sub(at);
            if matches!(end, End::Wrote | End::Away) {
                self.model.handle(
                    now,
                    Event::WriteEnded {
                        group,
                        served: end == End::Wrote,
                    },
                );
            }
            let (how, answer) = match end {
                End::Answered | End::Wrote => {
                    (AttemptOutcome::Answered, Event::RequestServed { group })
                }
                End::Away => (
                    AttemptOutcome::Rejected,
                    Event::RequestRejected {
                        group,
                        cause: RejectionCause::Servers,
                    },
                ),
                End::Refused | End::Silent => {
                    (AttemptOutcome::Failed, Event::RequestFailed { group })
                }
            };
            served += u64::from(how == AttemptOutcome::Answered);
            if how == AttemptOutcome::Failed {
                self.rests[server as usize] = now + REST;
            } else {
                let position = Some(world.position(server, now));
                let primary = Some(world.primary(group) == Some(server));
                self.model.handle(
                    now,
                    Event::RoleReported {
                        server,
                        position,
                        primary,
                    },
                );
            }
            self.model.handle(
                now,
                Event::ExchangeEnded {
                    server,
                    contact: end != End::Silent,
                },
            );
            self.model.handle(
                now,
                Event::AttemptEnded {
                    group,
                    outcome: how,
                    elapsed: elapsed + late,
                },
            );
            self.model.handle(now, answer);
        }
        if now.as_nanos().is_multiple_of(LIST.as_nanos()) {
            self.model.handle(now, Event::ListReceived);
        }
        if now.as_millis().is_multiple_of(100) {
            if let Some(server) = self.model.server_to_dial(|_| true) {
                self.model.handle(now, Event::DialStarted { server });
                if world.reach(own, server) != Reach::Nothing {
                    self.model.handle(now, Event::Contact { server });
                }
            }
        }
        if now.as_millis().is_multiple_of(100) {
            let descriptors = (f64::from(self.open) / DESCRIPTORS + self.crowd).min(1.0);
            let open = f64::from(self.open) / DESCRIPTORS;
            self.model.handle(
                now,
                Event::Load(Load {
                    lag: self.lag,
                    open,
                    descriptors,
                    memory: 0.2,
                }),
            );
            self.drain(drain::Event::Tick, now);
        }
        served
    }
}

/// The same incident and seed, the same outcome.
pub fn play(incident: &Incident, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = World::new(incident.groups, incident.proxies);
    let mut proxies: Vec<Proxy> = (0..incident.proxies)
        .map(|_| Proxy::new(incident, &world))
        .collect();
    let mut balancers: Vec<Balancer> = incident
        .balancers
        .iter()
        .map(|set| Balancer::new(*set, incident.proxies))
        .collect();
    let mut demand = 1.0;
    let mut outcome = Outcome {
        least_sum: 100 * incident.proxies as u32,
        ..Outcome::default()
    };
    let mut states: Vec<State> = proxies.iter().map(|p| p.model.report().state).collect();
    let mut told_by = vec![false; incident.proxies];
    let (mut now, mut next_change, mut owed, mut number) = (Time::ZERO, 0, 0.0, 0);
    let mut changes = incident.changes.clone();
    changes.sort_by_key(|(at, _)| *at);
    while now < incident.length {
        now += STEP;
        while let Some((_, change)) = changes.get(next_change).filter(|(at, _)| *at <= now) {
            apply(*change, &mut world, &mut demand, &mut proxies, now);
            next_change += 1;
        }
        for (server, there) in world.step(now) {
            let (place, group) = (world.place(server), world.group(server));
            for proxy in &mut proxies {
                proxy.model.handle(
                    now,
                    Event::Endpoint {
                        server,
                        site: place,
                        group,
                        listed: there,
                    },
                );
            }
        }
        // Requests come by each balancer in turn, and by its shares.
        owed += incident.per_s * demand * STEP.as_secs_f64();
        while owed >= 1.0 {
            owed -= 1.0;
            number += 1;
            outcome.asked += 1;
            let balancer = &balancers[number as usize % balancers.len()];
            let mut left = rng.random::<f64>();
            let group = rng.random_range(0..incident.groups);
            let place = balancer.shares().iter().position(|share| {
                left -= share;
                left < 0.0
            });
            match place {
                None => outcome.nowhere += 1,
                Some(at) if !proxies[at].listening => outcome.closed_door += 1,
                Some(at) => proxies[at].ask(at, group, number, &world, now, &mut rng),
            }
        }
        for (at, proxy) in proxies.iter_mut().enumerate() {
            if now < proxy.stalled_until {
                continue;
            }
            outcome.served += proxy.step(at, &world, now);
            for (place, link) in proxy.model.links() {
                let known = &mut proxy.links[usize::from(place)];
                if std::mem::replace(known, link) != link {
                    outcome.links.push((now, at, place, link));
                }
            }
            let state = proxy.model.report().state;
            if std::mem::discriminant(&state) != std::mem::discriminant(&states[at]) {
                outcome.told.push(Told {
                    at: now,
                    proxy: at,
                    state,
                });
            }
            states[at] = state;
            // The trouble is told by another state, by a group's condition, or by how a link stands.
            let sick = proxy
                .model
                .groups()
                .any(|(_, g)| g.condition != Condition::Serving)
                || proxy.links.iter().any(|link| *link != LinkState::Up);
            if now >= incident.trouble.0 && !told_by[at] && (state != State::Ready || sick) {
                told_by[at] = true;
                let delay = now - incident.trouble.0;
                outcome.first_told.get_or_insert(delay);
                outcome.last_told = Some(delay);
            }
            let worst = proxy.model.groups().map(|(_, g)| g.condition).max();
            if now < incident.trouble.1 {
                outcome.worst_condition = outcome.worst_condition.max(worst);
            }
        }
        for balancer in &mut balancers {
            for (at, proxy) in proxies.iter().enumerate() {
                if balancer.due(at, now) {
                    let status = (now >= proxy.stalled_until).then(|| status(&proxy.model));
                    balancer.check(at, status.as_ref(), now);
                    let belief = balancer.belief(at);
                    let out = !belief.up || belief.drained || belief.weight == 0;
                    outcome.false_downs += u64::from(out && !incident.may_be_out.contains(&at));
                }
            }
        }
        let weights: Vec<u8> = proxies.iter().map(|p| p.model.report().weight).collect();
        let kept = weights
            .iter()
            .enumerate()
            .filter(|(at, _)| !incident.may_be_out.contains(at));
        let sum: u32 = kept.map(|(_, w)| u32::from(*w)).sum();
        outcome.least_sum = outcome.least_sum.min(sum);
        if now.as_millis().is_multiple_of(100) {
            let beliefs = balancers
                .iter()
                .map(|b| (0..proxies.len()).map(|at| b.belief(at)).collect());
            outcome.samples.push(Sample {
                at: now,
                states: states.clone(),
                weights,
                beliefs: beliefs.collect(),
                nowhere: outcome.nowhere,
            });
        }
    }
    outcome.flaps = flaps(&outcome.told, incident.proxies);
    outcome
}

fn apply(change: Change, world: &mut World, demand: &mut f64, proxies: &mut [Proxy], now: Time) {
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
        Change::Descriptors(at, part) => proxies[at].crowd = part,
        Change::Demand(times) => *demand = times,
        Change::Drain(at) => proxies[at].drain(drain::Event::Drain, now),
        Change::Undrain(at) => proxies[at].drain(drain::Event::Undrain, now),
        Change::Discovery(at, heard) => proxies[at]
            .model
            .handle(now, Event::Discovery { connected: heard }),
        Change::Stall(at, span) => proxies[at].stalled_until = now + span,
    }
}

fn flaps(told: &[Told], proxies: usize) -> usize {
    let minute = Duration::from_secs(60);
    let of = |proxy: usize| -> Vec<Time> {
        told.iter()
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

/// As the proxy puts the model into the codecs' words.
fn status(model: &Availability) -> Status {
    let report = model.report();
    Status {
        state: report.state,
        weight: report.weight,
        reason: String::new(),
        room: None,
        retry_after: Duration::from_secs(1),
        load: wire_health::Load::default(),
        groups: Vec::new(),
        links: Vec::new(),
    }
}
