//! A fleet whose proxies talk: who hears whom and when, and books of all loans that no proxy keeps.

use super::{time, Play, Step};
use crate::member::{Place, Said, Stand, Word, LOOK};
use crate::scenario::{Scenario, Talk, ORIGIN, SECOND};
use quota_lending::{Rule, Rules};
use rand::Rng;
use routing::Time;
use serde::{Deserialize, Serialize};
use server_model::account::Credit;
use server_model::Micros;
use simulation_engine::streams::{Stream, Streams};
use std::sync::Arc;

const LOOK_MICROS: Micros = LOOK.as_micros() as Micros;
/// Of the most that a word is late, the least.
const SOONEST: f64 = 0.3;

/// What all proxies together have lent one tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Loans {
    /// The most that may be owed, and the most that was, in thousandths.
    pub line: u64,
    /// The most that was owed.
    pub owed_most: u64,
    /// Looks that found the line passed, and books of proxies that did not say what was lent.
    pub passed: u64,
    /// Accounts of proxies that did not say what was lent.
    pub unbalanced: u64,
    /// At the end: owed still, and all of it.
    pub owed: u64,
    /// The requests of the tenant, over all proxies.
    pub all: Stand,
    /// As of each second.
    pub seconds: Vec<Stand>,
}

/// What a dead proxy left.
struct Left {
    at: Micros,
    owed: Vec<u64>,
}

pub(super) struct Fleet {
    talk: Talk,
    place: Place,
    draws: Stream,
    /// Proxies that the others do not hear.
    apart: Vec<usize>,
    /// By proxy.
    files: Vec<Option<Vec<u8>>>,
    left: Vec<Option<Left>>,
    /// Of lives that are over, by tenant.
    former: Vec<Stand>,
    loans: Vec<Loans>,
}

fn rule(credit: &Credit, quota: f64, classes: &[String]) -> Rule {
    Rule {
        line_time: super::span(credit.line),
        quota: (quota * 1000.0) as u64,
        term: super::span(credit.term),
        write_off: super::span(credit.write_off),
        floor: credit.floor,
        classes: credit
            .kinds
            .iter()
            .filter_map(|at| classes.get(*at).cloned())
            .collect(),
        rate_most: credit.rate * 1000,
    }
}

impl Fleet {
    /// None: its proxies do not talk.
    pub fn new(scenario: &Scenario, streams: &Streams) -> Option<Fleet> {
        let (talk, clients) = (scenario.talk?, &scenario.clients);
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
                .map_or(0, |(_, rule)| rule.line())
        };
        let loans = clients
            .tenants
            .iter()
            .map(|t| Loans {
                line: line(&t.name),
                ..Loans::default()
            })
            .collect();
        let place = Place {
            number: 0,
            start: 0,
            names: (0..scenario.proxies())
                .map(|n| format!("proxy-{n}"))
                .collect(),
            tenants: clients.tenants.iter().map(|t| t.name.clone()).collect(),
            classes,
            // What the core does not take nobody borrows by.
            rules: Rules::new(rules, longest).unwrap_or_default(),
            longest,
            lease: super::span(talk.lease),
            every: super::span(talk.every),
            dead: super::span(talk.dead),
            short_least: talk.short_least,
            short_part: talk.short_part,
        };
        Some(Fleet {
            talk,
            place,
            draws: streams.stream("talk", 0),
            apart: Vec::new(),
            files: vec![None; scenario.proxies()],
            left: (0..scenario.proxies()).map(|_| None).collect(),
            former: vec![Stand::default(); clients.tenants.len()],
            loans,
        })
    }

    fn hears(&self, a: usize, b: usize) -> bool {
        self.apart.contains(&a) == self.apart.contains(&b)
    }

    /// How late a word is; none: it never comes.
    fn way(&mut self) -> Option<Micros> {
        let (lost, late) = (self.draws.random::<f64>(), self.draws.random::<f64>());
        let part = SOONEST + (1.0 - SOONEST) * late;
        (lost >= self.talk.loss).then_some((self.talk.late as f64 * part) as Micros)
    }
}

impl Play<'_> {
    /// A proxy that has started is one of the fleet.
    pub(super) fn join(&mut self, proxy: usize) {
        let (Some(fleet), host) = (&mut self.fleet, &mut self.hosts[proxy]) else {
            return;
        };
        let Some(member) = host.policy.as_mut().and_then(|policy| policy.member()) else {
            return;
        };
        let start = ORIGIN + self.now + 1;
        let place = Place {
            number: proxy,
            start,
            ..fleet.place.clone()
        };
        member.join(time(self.now), place, fleet.files[proxy].clone());
        fleet.left[proxy] = None;
        // Not all at the same instant.
        let first = self.now + 1 + (fleet.draws.random::<f64>() * LOOK_MICROS as f64) as Micros;
        self.wheel.put(
            first,
            Step::Look {
                proxy,
                epoch: host.epoch,
            },
        );
    }

    /// What it knew goes, but for its file.
    pub(super) fn leaves(&mut self, proxy: usize) {
        let now = time(self.now);
        let (Some(fleet), host) = (&mut self.fleet, &mut self.hosts[proxy]) else {
            return;
        };
        let Some(member) = host.policy.as_mut().and_then(|policy| policy.member()) else {
            return;
        };
        fleet.files[proxy] = member.file();
        let stands = member.stands();
        fleet
            .former
            .iter_mut()
            .zip(stands)
            .for_each(|(sum, stand)| sum.add(stand));
        let owed = (0..stands.len())
            .map(|tenant| member.owes(now, tenant))
            .collect();
        fleet.left[proxy] = Some(Left { at: self.now, owed });
    }

    pub(super) fn look(&mut self, proxy: usize) {
        let at = time(self.now);
        let (Some(fleet), host) = (&mut self.fleet, &mut self.hosts[proxy]) else {
            return;
        };
        let Some(member) = host.policy.as_mut().and_then(|policy| policy.member()) else {
            return;
        };
        let mut said: Vec<Said> = Vec::new();
        member.look(at, &mut said);
        let start = member.start();
        let proxies = fleet.files.len();
        for said in said {
            let word = Arc::new(Word {
                from: proxy,
                start,
                at,
                said,
            });
            for to in (0..proxies).filter(|to| *to != proxy) {
                if let Some(way) = fleet.hears(proxy, to).then(|| fleet.way()).flatten() {
                    self.wheel.put(
                        self.now + way.max(1),
                        Step::Hear {
                            proxy: to,
                            word: word.clone(),
                        },
                    );
                }
            }
        }
        self.wheel.put(
            self.now + LOOK_MICROS,
            Step::Look {
                proxy,
                epoch: self.hosts[proxy].epoch,
            },
        );
    }

    pub(super) fn hear(&mut self, proxy: usize, word: &Word) {
        let member = self.hosts[proxy]
            .policy
            .as_mut()
            .and_then(|policy| policy.member());
        member
            .into_iter()
            .for_each(|member| member.hear(time(self.now), word));
    }

    pub(super) fn apart(&mut self, proxies: Vec<usize>) {
        self.fleet
            .iter_mut()
            .for_each(|fleet| fleet.apart.clone_from(&proxies));
    }

    /// Is the line kept, at this instant, and at the end: does each book add up?
    pub(super) fn books(&mut self, last: bool) {
        let (Some(fleet), now) = (&mut self.fleet, self.now) else {
            return;
        };
        let at: Time = time(now);
        let longest = fleet.place.longest.as_micros() as Micros;
        for (tenant, loans) in fleet.loans.iter_mut().enumerate() {
            let left = fleet
                .left
                .iter()
                .flatten()
                .filter(|left| now < left.at + longest);
            let mut owed: u64 = left.filter_map(|left| left.owed.get(tenant)).sum();
            let mut all = fleet.former[tenant];
            for host in &mut self.hosts {
                let Some(member) = host.policy.as_mut().and_then(|policy| policy.member()) else {
                    continue;
                };
                owed += member.owes(at, tenant);
                all.add(&member.stands()[tenant]);
                loans.unbalanced += u64::from(last && !member.balances(at, tenant));
            }
            loans.owed_most = loans.owed_most.max(owed);
            loans.passed += u64::from(owed > loans.line);
            (loans.owed, loans.all) = (owed, all);
            if loans.seconds.len() as Micros * SECOND <= now {
                loans.seconds.push(all);
            }
        }
        self.wheel.put(now + LOOK_MICROS, Step::Books);
    }

    pub(super) fn loans(&mut self) -> Vec<Loans> {
        self.books(true);
        self.fleet.take().map_or_else(Vec::new, |fleet| fleet.loans)
    }
}
