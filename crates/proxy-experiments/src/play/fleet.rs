//! A fleet whose proxies talk: who hears whom and when, and accounts of all loans that no proxy keeps.

use super::{time, Simulation, Step};
use crate::member::{Envelope, FleetSettings, Message, TenantCounts, TICK};
use crate::scenario::{FleetMessaging, Scenario, ORIGIN, SECOND};
use quota_lending::{Rule, Rules};
use rand::Rng;
use routing::Time;
use serde::{Deserialize, Serialize};
use server_model::account::Credit;
use server_model::Micros;
use simulation_engine::streams::{Stream, Streams};
use std::sync::Arc;

const TICK_MICROS: Micros = TICK.as_micros() as Micros;
/// Of the most that a message is late, the least.
const LEAST_DELAY_FRACTION: f64 = 0.3;

/// What all proxies together have lent one tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Loans {
    /// The most that may be owed, and the most that was, in thousandths.
    pub line: u64,
    /// The most that was owed.
    pub owed_most: u64,
    /// Looks that found the line passed, and accounts of proxies that did not say what was lent.
    pub passed: u64,
    /// Accounts of proxies that did not say what was lent.
    pub unbalanced: u64,
    /// At the end: owed still, and all of it.
    pub owed: u64,
    /// The requests of the tenant, over all proxies.
    pub all: TenantCounts,
    /// As of each second.
    pub seconds: Vec<TenantCounts>,
}

/// What a dead proxy left.
struct DeadProxy {
    at: Micros,
    owed: Vec<u64>,
}

pub(super) struct Fleet {
    messaging: FleetMessaging,
    settings: FleetSettings,
    draws: Stream,
    /// Proxies that the others do not hear.
    partitioned: Vec<usize>,
    /// By proxy.
    files: Vec<Option<Vec<u8>>>,
    dead: Vec<Option<DeadProxy>>,
    /// Of incarnations that are over, by tenant.
    ended_incarnations: Vec<TenantCounts>,
    loans: Vec<Loans>,
}

fn rule(credit: &Credit, quota: f64, classes: &[String]) -> Rule {
    Rule {
        limit_time: super::span(credit.line),
        quota: (quota * 1000.0) as u64,
        term: super::span(credit.term),
        write_off: super::span(credit.write_off),
        floor: credit.floor,
        classes: credit
            .kinds
            .iter()
            .filter_map(|at| classes.get(*at).cloned())
            .collect(),
        max_rate: credit.rate * 1000,
    }
}

impl Fleet {
    /// None: its proxies do not talk.
    pub fn new(scenario: &Scenario, streams: &Streams) -> Option<Fleet> {
        let (messaging, clients) = (scenario.talk?, &scenario.clients);
        let classes: Arc<[String]> = clients
            .classes
            .iter()
            .map(|kind| kind.name.clone())
            .collect();
        let lent = clients
            .tenants
            .iter()
            .filter_map(|t| Some((t.name.clone(), t.credit.as_ref()?, t.quota)));
        let rules: Vec<(String, Rule)> = lent
            .map(|(name, c, quota)| (name, rule(c, quota, &classes)))
            .collect();
        let longest = rules
            .iter()
            .map(|(_, rule)| rule.term + rule.write_off)
            .max()
            .unwrap_or_default();
        let line = |name: &str| {
            rules
                .iter()
                .find(|(n, _)| n == name)
                .map_or(0, |(_, rule)| rule.credit_limit())
        };
        let loans = clients
            .tenants
            .iter()
            .map(|t| Loans {
                line: line(&t.name),
                ..Loans::default()
            })
            .collect();
        let settings = FleetSettings {
            proxy: 0,
            start: 0,
            names: (0..scenario.proxies())
                .map(|n| format!("proxy-{n}"))
                .collect(),
            tenants: clients.tenants.iter().map(|t| t.name.clone()).collect(),
            classes,
            // What the core does not take nobody borrows by.
            rules: Rules::new(rules, longest).unwrap_or_default(),
            longest,
            lease: super::span(messaging.lease),
            announce_every: super::span(messaging.every),
            dead_after: super::span(messaging.dead),
            short_least: messaging.short_least,
            short_part: messaging.short_part,
        };
        Some(Fleet {
            messaging,
            settings,
            draws: streams.stream("talk", 0),
            partitioned: Vec::new(),
            files: vec![None; scenario.proxies()],
            dead: (0..scenario.proxies()).map(|_| None).collect(),
            ended_incarnations: vec![TenantCounts::default(); clients.tenants.len()],
            loans,
        })
    }

    fn hears(&self, a: usize, b: usize) -> bool {
        self.partitioned.contains(&a) == self.partitioned.contains(&b)
    }

    /// How late a message is; none: it never comes.
    fn delay(&mut self) -> Option<Micros> {
        let (lost, late) = (self.draws.random::<f64>(), self.draws.random::<f64>());
        let part = LEAST_DELAY_FRACTION + (1.0 - LEAST_DELAY_FRACTION) * late;
        (lost >= self.messaging.loss).then_some((self.messaging.late as f64 * part) as Micros)
    }
}

impl Simulation<'_> {
    /// A proxy that has started is one of the fleet.
    pub(super) fn join(&mut self, proxy: usize) {
        let (Some(fleet), host) = (&mut self.fleet, &mut self.hosts[proxy]) else {
            return;
        };
        let Some(member) = host.policy.as_mut().and_then(|policy| policy.member()) else {
            return;
        };
        let start = ORIGIN + self.now + 1;
        let settings = FleetSettings {
            proxy,
            start,
            ..fleet.settings.clone()
        };
        member.join(time(self.now), settings, fleet.files[proxy].clone());
        fleet.dead[proxy] = None;
        // Not all at the same instant.
        let first = self.now + 1 + (fleet.draws.random::<f64>() * TICK_MICROS as f64) as Micros;
        self.wheel.put(
            first,
            Step::FleetTick {
                proxy,
                epoch: host.epoch,
            },
        );
    }

    /// What it knew goes, but for its file.
    pub(super) fn save_and_leave(&mut self, proxy: usize) {
        let now = time(self.now);
        let (Some(fleet), host) = (&mut self.fleet, &mut self.hosts[proxy]) else {
            return;
        };
        let Some(member) = host.policy.as_mut().and_then(|policy| policy.member()) else {
            return;
        };
        fleet.files[proxy] = member.file();
        let counts = member.counts();
        fleet
            .ended_incarnations
            .iter_mut()
            .zip(counts)
            .for_each(|(sum, count)| sum.add(count));
        let owed = (0..counts.len())
            .map(|tenant| member.owes(now, tenant))
            .collect();
        fleet.dead[proxy] = Some(DeadProxy { at: self.now, owed });
    }

    pub(super) fn fleet_tick(&mut self, proxy: usize) {
        let at = time(self.now);
        let (Some(fleet), host) = (&mut self.fleet, &mut self.hosts[proxy]) else {
            return;
        };
        let Some(member) = host.policy.as_mut().and_then(|policy| policy.member()) else {
            return;
        };
        let mut messages: Vec<Message> = Vec::new();
        member.tick(at, &mut messages);
        let start = member.start();
        let proxies = fleet.files.len();
        for message in messages {
            let envelope = Arc::new(Envelope {
                sender: proxy,
                start,
                sent_at: at,
                message,
            });
            for to in (0..proxies).filter(|to| *to != proxy) {
                if let Some(way) = fleet.hears(proxy, to).then(|| fleet.delay()).flatten() {
                    self.wheel.put(
                        self.now + way.max(1),
                        Step::FleetMessage {
                            proxy: to,
                            envelope: envelope.clone(),
                        },
                    );
                }
            }
        }
        self.wheel.put(
            self.now + TICK_MICROS,
            Step::FleetTick {
                proxy,
                epoch: self.hosts[proxy].epoch,
            },
        );
    }

    pub(super) fn fleet_message(&mut self, proxy: usize, envelope: &Envelope) {
        let member = self.hosts[proxy]
            .policy
            .as_mut()
            .and_then(|policy| policy.member());
        member
            .into_iter()
            .for_each(|member| member.receive(time(self.now), envelope));
    }

    pub(super) fn partitioned(&mut self, proxies: Vec<usize>) {
        self.fleet
            .iter_mut()
            .for_each(|fleet| fleet.partitioned.clone_from(&proxies));
    }

    /// Is the line kept, at this instant, and at the end: does each book add up?
    pub(super) fn check_loans(&mut self, last: bool) {
        let (Some(fleet), now) = (&mut self.fleet, self.now) else {
            return;
        };
        let at: Time = time(now);
        let longest = fleet.settings.longest.as_micros() as Micros;
        for (tenant, loans) in fleet.loans.iter_mut().enumerate() {
            let dead = fleet
                .dead
                .iter()
                .flatten()
                .filter(|dead| now < dead.at + longest);
            let mut owed: u64 = dead.filter_map(|dead| dead.owed.get(tenant)).sum();
            let mut all = fleet.ended_incarnations[tenant];
            for host in &mut self.hosts {
                let Some(member) = host.policy.as_mut().and_then(|policy| policy.member()) else {
                    continue;
                };
                owed += member.owes(at, tenant);
                all.add(&member.counts()[tenant]);
                loans.unbalanced += u64::from(last && !member.balances(at, tenant));
            }
            loans.owed_most = loans.owed_most.max(owed);
            loans.passed += u64::from(owed > loans.line);
            (loans.owed, loans.all) = (owed, all);
            if loans.seconds.len() as Micros * SECOND <= now {
                loans.seconds.push(all);
            }
        }
        self.wheel.put(now + TICK_MICROS, Step::LoanCheck);
    }

    pub(super) fn loans(&mut self) -> Vec<Loans> {
        self.check_loans(true);
        self.fleet.take().map_or_else(Vec::new, |fleet| fleet.loans)
    }
}
