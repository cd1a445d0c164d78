//! Plays an incident: requests by the balancers' shares, record servers by the script, the real model in each proxy.

use crate::balancer::{Balancer, Belief};
use crate::script::{Change, Incident, Servers};
use crate::Time;
use availability::{Availability, Cause, Condition, Ended, Event, Load, State};
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
/// Part of the requests that are writes.
const WRITES: f64 = 0.06;
/// Requests open at a proxy that use up all its descriptors, when nothing else does.
const DESCRIPTORS: f64 = 120.0;

/// What was told and believed, sampled.
#[derive(Clone, Debug)]
pub struct Sample {
    pub at: Time,
    /// By proxy.
    pub states: Vec<State>,
    pub weights: Vec<u8>,
    /// By balancer, by proxy.
    pub beliefs: Vec<Vec<Belief>>,
    /// Requests that found no proxy at all.
    pub nowhere: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    pub at: Time,
    pub proxy: usize,
    pub state: State,
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub samples: Vec<Sample>,
    /// Every change of a proxy's state.
    pub told: Vec<Told>,
    pub asked: u64,
    pub served: u64,
    /// Requests that came while every proxy was out for their balancer.
    pub nowhere: u64,
    /// Requests that a balancer sent to a proxy whose door was closed.
    pub closed_door: u64,
    /// From the start of the trouble to the first proxy, and the last, that tells of it.
    pub first_told: Option<Duration>,
    pub last_told: Option<Duration>,
    /// Balancers that held a proxy for down or drained that may not be.
    pub false_downs: u64,
    /// The least sum of the weights that proxies told, out of 100 each.
    pub least_sum: u32,
    /// Changes of state in the worst minute of any proxy.
    pub flaps: usize,
    /// Groups' conditions at the worst, by proxy, for the group that the script touches.
    pub worst_condition: Option<Condition>,
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
}

/// An attempt that is out: when it is over, its request, its group, how it ends and what it takes.
type Out = (Time, u64, u32, u8, Duration);

const ANSWERED: u8 = 0;
const BROKEN: u8 = 1;
const AWAY: u8 = 2;
const WROTE: u8 = 3;

impl Proxy {
    fn new(incident: &Incident) -> Proxy {
        let mut model = Availability::new(availability::Settings::default(), Time::ZERO);
        model.handle(Time::ZERO, Event::Started);
        let balancers = incident.balancers.iter().map(|b| drain::Balancer {
            interval: b.interval,
            fall: b.fall,
            timeout: Duration::from_millis(200),
        });
        let settings = drain::Settings {
            balancers: balancers.collect(),
            announce_end: true,
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
        }
    }

    fn drain(&mut self, event: drain::Event, now: Time) {
        let mut actions = Vec::new();
        self.drain.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Announce => self.model.handle(now, Event::Drain),
                Action::Retract => self.model.handle(now, Event::Undrain),
                Action::StopListening => self.listening = false,
                Action::Listen => self.listening = true,
                Action::EndsAt(_) | Action::GiveUp | Action::End => {}
            }
        }
    }

    fn ask(&mut self, group: u32, servers: Servers, number: u64, now: Time, rng: &mut StdRng) {
        self.open += 1;
        self.model.handle(now, Event::Asked { group });
        let write = rng.random_bool(WRITES);
        // Run times scatter: the sum of two uniform parts.
        let scatter = 0.4 + 0.6 * (rng.random::<f64>() + rng.random::<f64>());
        let (how, took) = match servers {
            Servers::NoPrimary if write => (AWAY, USUAL / 8),
            Servers::Answer(slower) if write => (WROTE, USUAL.mul_f64(slower * scatter * 2.0)),
            Servers::Answer(slower) => (ANSWERED, USUAL.mul_f64(slower * scatter)),
            Servers::NoPrimary => (ANSWERED, USUAL.mul_f64(scatter)),
            Servers::Silent => (BROKEN, WAIT),
            Servers::Dead => (BROKEN, Duration::from_millis(2)),
        };
        self.model.handle(now, Event::Sent { group });
        self.out.push(Reverse((now + took, number, group, how, took)));
    }

    /// Answers and time; how many were served.
    fn step(&mut self, now: Time) -> u64 {
        let mut served = 0;
        while let Some(&Reverse((at, _, group, how, elapsed))) = self.out.peek() {
            if at > now {
                break;
            }
            self.out.pop();
            self.open -= 1;
            let late = now.saturating_sub(at);
            if matches!(how, WROTE | AWAY) {
                self.model.handle(now, Event::Wrote { group, served: how == WROTE });
            }
            let (how, answer) = match how {
                ANSWERED | WROTE => (Ended::Answered, Event::Served { group }),
                AWAY => (Ended::TurnedAway, Event::Refused { group, cause: Cause::Servers }),
                _ => (Ended::Broken, Event::Failed { group }),
            };
            served += u64::from(how == Ended::Answered);
            self.model.handle(now, Event::Ended { group, how, elapsed: elapsed + late });
            self.model.handle(now, answer);
        }
        if now.as_millis().is_multiple_of(100) {
            let descriptors = (f64::from(self.open) / DESCRIPTORS + self.crowd).min(1.0);
            let open = f64::from(self.open) / DESCRIPTORS;
            self.model.handle(now, Event::Load(Load { lag: self.lag, open, descriptors, memory: 0.2 }));
            self.drain(drain::Event::Tick, now);
        }
        served
    }
}

/// The same incident and seed, the same outcome.
pub fn play(incident: &Incident, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut proxies: Vec<Proxy> = (0..incident.proxies).map(|_| Proxy::new(incident)).collect();
    let mut balancers: Vec<Balancer> =
        incident.balancers.iter().map(|set| Balancer::new(*set, incident.proxies)).collect();
    let mut groups = vec![Servers::Answer(1.0); incident.groups as usize];
    let mut demand = 1.0;
    let mut outcome = Outcome { least_sum: 100 * incident.proxies as u32, ..Outcome::default() };
    let mut states: Vec<State> = proxies.iter().map(|p| p.model.report().state).collect();
    let mut told_by = vec![false; incident.proxies];
    let (mut now, mut next_change, mut owed, mut number) = (Time::ZERO, 0, 0.0, 0);
    let mut changes = incident.changes.clone();
    changes.sort_by_key(|(at, _)| *at);
    while now < incident.length {
        now += STEP;
        while let Some((_, change)) = changes.get(next_change).filter(|(at, _)| *at <= now) {
            apply(*change, &mut groups, &mut demand, &mut proxies, now);
            next_change += 1;
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
                Some(at) => proxies[at].ask(group, groups[group as usize], number, now, &mut rng),
            }
        }
        for (at, proxy) in proxies.iter_mut().enumerate() {
            if now < proxy.stalled_until {
                continue;
            }
            outcome.served += proxy.step(now);
            let state = proxy.model.report().state;
            if std::mem::discriminant(&state) != std::mem::discriminant(&states[at]) {
                outcome.told.push(Told { at: now, proxy: at, state });
            }
            states[at] = state;
            // The trouble is told by another state, or by a group's condition.
            let sick = proxy.model.groups().any(|(_, g)| g.condition != Condition::Serving);
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
        let kept = weights.iter().enumerate().filter(|(at, _)| !incident.may_be_out.contains(at));
        let sum: u32 = kept.map(|(_, w)| u32::from(*w)).sum();
        outcome.least_sum = outcome.least_sum.min(sum);
        if now.as_millis().is_multiple_of(100) {
            let beliefs = balancers.iter().map(|b| (0..proxies.len()).map(|at| b.belief(at)).collect());
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

fn apply(change: Change, groups: &mut [Servers], demand: &mut f64, proxies: &mut [Proxy], now: Time) {
    match change {
        Change::Group(group, servers) => groups[group as usize] = servers,
        Change::AllGroups(servers) => groups.fill(servers),
        Change::Lag(at, lag) => proxies[at].lag = lag,
        Change::Descriptors(at, part) => proxies[at].crowd = part,
        Change::Demand(times) => *demand = times,
        Change::Drain(at) => proxies[at].drain(drain::Event::Drain, now),
        Change::Undrain(at) => proxies[at].drain(drain::Event::Undrain, now),
        Change::Discovery(at, heard) => proxies[at].model.handle(now, Event::Discovery { heard }),
        Change::Stall(at, span) => proxies[at].stalled_until = now + span,
    }
}

fn flaps(told: &[Told], proxies: usize) -> usize {
    let minute = Duration::from_secs(60);
    let of = |proxy: usize| -> Vec<Time> { told.iter().filter(|t| t.proxy == proxy).map(|t| t.at).collect() };
    let worst = |times: &[Time]| {
        (0..times.len()).map(|at| times[at..].iter().take_while(|t| **t - times[at] < minute).count()).max()
    };
    (0..proxies).filter_map(|proxy| worst(&of(proxy))).max().unwrap_or(0)
}

/// As the proxy puts the model into the codecs' words.
fn status(model: &Availability) -> Status {
    let report = model.report();
    Status {
        state: report.state,
        weight: report.weight,
        reason: String::new(),
        room: None,
        come_back: Duration::from_secs(1),
        load: wire_health::Load::default(),
        groups: Vec::new(),
    }
}
