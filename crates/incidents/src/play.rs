//! Plays an incident: requests by the balancers' shares, record servers by the script, the real model in each proxy.

use crate::balancer::Balancer;
use crate::outcome::{Outcome, Sample, StateChange};
use crate::proxy::Proxy;
use crate::script::{Change, Incident};
use crate::world::World;
use crate::Time;
use availability::{Availability, Condition, Event, Link, State};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use wire_health::Status;

/// Steps of virtual time.
const STEP: Duration = Duration::from_millis(5);

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
        least_weight_sum: 100 * incident.proxies as u32,
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
                    Event::Listed {
                        server,
                        place,
                        group,
                        there,
                    },
                );
            }
        }
        // Requests come by each balancer in turn, and by its shares.
        owed += incident.requests_per_s * demand * STEP.as_secs_f64();
        while owed >= 1.0 {
            owed -= 1.0;
            number += 1;
            outcome.requests += 1;
            let balancer = &balancers[number as usize % balancers.len()];
            let mut left = rng.random::<f64>();
            let group = rng.random_range(0..incident.groups);
            let place = balancer.shares().iter().position(|share| {
                left -= share;
                left < 0.0
            });
            match place {
                None => outcome.no_proxy_available += 1,
                Some(at) if !proxies[at].listening => outcome.not_listening += 1,
                Some(at) => proxies[at].send_request(at, group, number, &world, now, &mut rng),
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
                outcome.state_changes.push(StateChange {
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
                || proxy.links.iter().any(|link| *link != Link::Up);
            if now >= incident.fault_window.0 && !told_by[at] && (state != State::Ready || sick) {
                told_by[at] = true;
                let delay = now - incident.fault_window.0;
                outcome.first_report_delay.get_or_insert(delay);
                outcome.last_report_delay = Some(delay);
            }
            let worst = proxy.model.groups().map(|(_, g)| g.condition).max();
            if now < incident.fault_window.1 {
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
        outcome.least_weight_sum = outcome.least_weight_sum.min(sum);
        if now.as_millis().is_multiple_of(100) {
            let beliefs = balancers
                .iter()
                .map(|b| (0..proxies.len()).map(|at| b.belief(at)).collect());
            outcome.samples.push(Sample {
                at: now,
                states: states.clone(),
                weights,
                beliefs: beliefs.collect(),
                no_proxy_available: outcome.no_proxy_available,
            });
        }
    }
    outcome.flaps = flaps(&outcome.state_changes, incident.proxies);
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
        Change::Descriptors(at, part) => proxies[at].extra_descriptors = part,
        Change::Demand(times) => *demand = times,
        Change::Drain(at) => proxies[at].drain(drain::Event::Drain, now),
        Change::Undrain(at) => proxies[at].drain(drain::Event::Undrain, now),
        Change::Discovery(at, heard) => proxies[at].model.handle(now, Event::Discovery { heard }),
        Change::Stall(at, span) => proxies[at].stalled_until = now + span,
    }
}

fn flaps(told: &[StateChange], proxies: usize) -> usize {
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
