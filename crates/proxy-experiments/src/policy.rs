//! Policies under test, behind one trait: the real decision module, baselines, and an oracle.

use crate::member::Member;
use crate::planned::Planned;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use routing::{
    Action, Arrival, ClassId, Consistency, EndpointUpdate, Event, GroupId, Idempotency, Outcome,
    RequestId, Router, ServerId, SessionPosition, Settings, Time, TimerToken, Tuning,
};
use server_model::account::Account;
use std::collections::BTreeMap;
use std::time::Duration;

/// What is true, for those that may look.
pub trait View {
    /// The members of a group.
    fn members(&self, group: GroupId) -> Vec<ServerId>;
    /// The primary of a group.
    fn primary(&mut self, group: GroupId) -> Option<ServerId>;
    /// It would answer.
    fn answers(&self, store: ServerId) -> bool;
    /// Requests that it holds over what it can do.
    fn load(&self, store: ServerId) -> f64;
    /// A request more would have to share a core there.
    fn crowded(&self, store: ServerId) -> bool;
    /// What a request more would take there, about.
    fn expected(&self, store: ServerId) -> Duration;
    /// Up to when a server has all commits.
    fn position(&mut self, store: ServerId) -> Time;
    /// The request is within its tenant's quota, by the fleet's one account.
    fn within(&self, id: RequestId) -> bool;
    /// The mark of another request of its tenant, drawn at random: as many are within, but not the same.
    fn drawn(&self, id: RequestId) -> bool;
    /// It is not cold, or not near to what tips it over.
    fn bears(&self, store: ServerId) -> bool;
    /// A request more would leave this many cores there that nothing is on.
    fn spare(&self, store: ServerId) -> f64;
}

/// Who decides in one proxy.
pub trait Decider: Send {
    /// Takes an event and appends what is to be done.
    fn handle(&mut self, now: Time, event: Event, view: &mut dyn View, actions: &mut Vec<Action>);

    /// What it has of a fleet whose proxies talk; none: it knows of no others.
    fn member(&mut self) -> Option<&mut Member> {
        None
    }
}

/// The policies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Name {
    /// The decision module of the proxy.
    #[default]
    Module,
    /// The module, with the plan for the loss of a site before it.
    Planned,
    /// Everything to the primary.
    PrimaryOnly,
    /// A member at random.
    Random,
    /// The members in turn.
    RoundRobin,
    /// The member with the fewest requests of this proxy in flight.
    LeastOutstanding,
    /// The better of two members drawn at random.
    TwoChoices,
    /// The member with the least product of latency (peak-sensitive average) and requests in flight.
    PeakEwma,
    /// Peak-EWMA behind a plain limiter: each proxy has an even share of each tenant's quota, and refuses the rest.
    LocalQuota,
    /// Sees the true state of all servers.
    Oracle,
    /// The oracle, told how many of each tenant's requests are within its quota, but not which.
    BlindOracle,
}

/// The policies by the names that files use.
pub const NAMES: [(&str, Name); 11] = [
    ("module", Name::Module),
    ("planned", Name::Planned),
    ("primary-only", Name::PrimaryOnly),
    ("random", Name::Random),
    ("round-robin", Name::RoundRobin),
    ("least-outstanding", Name::LeastOutstanding),
    ("two-choices", Name::TwoChoices),
    ("peak-ewma", Name::PeakEwma),
    ("local-quota", Name::LocalQuota),
    ("oracle", Name::Oracle),
    ("blind-oracle", Name::BlindOracle),
];

/// A policy under test, and the constants that the module goes by if it is the one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Which policy.
    pub kind: Name,
    /// The constants of the decision module.
    pub tuning: Tuning,
}

impl Policy {
    /// A policy with the usual constants.
    pub fn of(kind: Name) -> Policy {
        Policy {
            kind,
            tuning: Tuning::default(),
        }
    }

    /// A decider for one proxy.
    pub fn make(&self, settings: &Settings, seed: u64, now: Time) -> Box<dyn Decider> {
        match self.kind {
            Name::Module | Name::Planned => {
                let member = Member::new(settings);
                let module: Box<dyn Decider> = Box::new(Module(
                    Router::with_tuning(settings.clone(), self.tuning, seed, now),
                    member,
                ));
                match self.kind {
                    Name::Planned => Box::new(Planned::new(module, settings, now)),
                    _ => module,
                }
            }
            choice => Box::new(Baseline::new(choice, settings.clone(), seed)),
        }
    }
}

/// The real decision module, unchanged, by its public interface.
struct Module(Router, Member);

impl Decider for Module {
    fn handle(&mut self, now: Time, mut event: Event, _: &mut dyn View, actions: &mut Vec<Action>) {
        let Module(router, member) = self;
        let before = actions.len();
        match &mut event {
            Event::RequestArrived(arrival) => arrival.quota_status = member.arrived(now, arrival),
            Event::ClientLeft(id) => member.ended(now, *id, false),
            _ => {}
        }
        router.handle(now, event, actions);
        actions[before..]
            .iter()
            .for_each(|action| member.action_taken(now, action));
    }

    fn member(&mut self) -> Option<&mut Member> {
        Some(&mut self.1)
    }
}

struct Open {
    arrival: Arrival,
    came: Time,
    tried: Vec<ServerId>,
    /// It may have run, so what may not run twice is over.
    ran: bool,
}

/// Picks a server by its rule, tries another where that is allowed, and never waits; the oracle does, for a server that
/// may yet serve in time. All baselines are told who is primary, which no real policy is.
struct Baseline {
    choice: Name,
    set: Settings,
    open: BTreeMap<RequestId, Open>,
    out: BTreeMap<ServerId, u32>,
    /// Peak-EWMA's cost, and when it was last told.
    cost: BTreeMap<ServerId, (f64, Time)>,
    turn: usize,
    rng: StdRng,
    /// Requests that the oracle holds.
    held: Vec<RequestId>,
    /// Of tenants, in this proxy alone.
    shares: Vec<Account>,
}

/// Part of a request's time for which the oracle holds it.
const HELD: f64 = 0.8;
/// Part of the aim that the oracle lets an answer take on average: run times scatter.
const ADMITTED: f64 = 0.7;
/// Cores of a server that the oracle keeps free of what is beyond a quota, for what is within and comes next.
const KEPT: f64 = 1.0;
/// The oracle looks again this often at what it holds.
const LOOK_AGAIN: Duration = Duration::from_millis(10);
/// What baselines and the oracle tell those whom they refuse.
const COME_BACK: Duration = Duration::from_millis(200);
/// A list that could not be had is asked for again after this.
const ASK_AGAIN: Duration = Duration::from_secs(1);
const LIST_TIMER: TimerToken = TimerToken(1);
/// Peak-EWMA forgets with this time constant, in seconds.
const DECAY: f64 = 10.0;

impl Baseline {
    fn new(choice: Name, set: Settings, seed: u64) -> Baseline {
        let proxies = f64::from(set.router_count.max(1));
        Baseline {
            shares: set
                .tenants
                .iter()
                .map(|t| Account::new(t.quota_per_s / proxies))
                .collect(),
            choice,
            set,
            open: BTreeMap::new(),
            out: BTreeMap::new(),
            cost: BTreeMap::new(),
            turn: 0,
            rng: StdRng::seed_from_u64(seed),
            held: Vec::new(),
        }
    }

    fn class(&self, class: ClassId) -> &routing::Class {
        &self.set.classes[usize::from(class.0)]
    }

    fn sees_all(&self) -> bool {
        matches!(self.choice, Name::Oracle | Name::BlindOracle)
    }

    /// What an oracle takes to be within its tenant's quota.
    fn within(&self, id: RequestId, view: &dyn View) -> bool {
        if self.choice == Name::BlindOracle {
            view.drawn(id)
        } else {
            view.within(id)
        }
    }

    fn outstanding(&self, store: ServerId) -> u32 {
        self.out.get(&store).copied().unwrap_or(0)
    }

    fn pick(&mut self, open: &Open, now: Time, view: &mut dyn View) -> Option<ServerId> {
        let group = open.arrival.group;
        let need = self.class(open.arrival.class).consistency;
        let primary = view.primary(group);
        if matches!(need, Consistency::Write | Consistency::Strong)
            || self.choice == Name::PrimaryOnly
        {
            return primary.filter(|p| !self.sees_all() || self.in_time(open, *p, now, view));
        }
        let mut members = view.members(group);
        if members.len() > open.tried.len() {
            members.retain(|m| !open.tried.contains(m));
        }
        if members.is_empty() {
            return None;
        }
        if self.sees_all() {
            let position = match need {
                Consistency::BoundedStaleness(age) => now.minus(age),
                Consistency::ReadYourWrites => match open.arrival.session_position {
                    Some(SessionPosition::Ago(ago)) => open.came.minus(ago),
                    Some(SessionPosition::At(position)) => position,
                    None => Time::ZERO,
                },
                _ => Time::ZERO,
            };
            members.retain(|m| self.in_time(open, *m, now, view) && view.position(*m) >= position);
            // Of equals any: all proxies see the same.
            let start = self.rng.random_range(0..members.len().max(1));
            members.rotate_left(start);
            return members
                .into_iter()
                .min_by(|a, b| view.load(*a).total_cmp(&view.load(*b)));
        }
        let number = members.len();
        let (a, b) = (
            self.rng.random_range(0..number),
            self.rng.random_range(0..number),
        );
        Some(match self.choice {
            Name::RoundRobin => {
                self.turn += 1;
                members[self.turn % number]
            }
            Name::LeastOutstanding => {
                members.rotate_left(a);
                members.into_iter().min_by_key(|m| self.outstanding(*m))?
            }
            Name::TwoChoices => *[members[a], members[b]]
                .iter()
                .min_by_key(|m| self.outstanding(**m))?,
            Name::PeakEwma | Name::LocalQuota => {
                let cost = |m: &ServerId| {
                    let known = self.cost.get(m).map_or(0.05, |(cost, _)| *cost);
                    known * f64::from(self.outstanding(*m) + 1)
                };
                *[members[a], members[b]]
                    .iter()
                    .min_by(|x, y| cost(x).total_cmp(&cost(y)))?
            }
            _ => members[a],
        })
    }

    /// Who sees everything takes in no more than it can answer in time: what comes too late earns nothing and costs
    /// others their time.
    fn in_time(&self, open: &Open, store: ServerId, now: Time, view: &dyn View) -> bool {
        let class = self.class(open.arrival.class);
        let worth_for = if class.late_weight_fraction > 0.0 {
            class.deadline
        } else {
            class.latency_objective
        };
        let left = worth_for.saturating_sub(now.since(open.came));
        // What is beyond its tenant's quota is served only from room that is left when those within have theirs.
        if !self.within(open.arrival.id, view) && view.spare(store) < KEPT {
            return false;
        }
        // What is worth less gives way before a server is full.
        let best = self
            .set
            .classes
            .iter()
            .map(|c| c.priority_weight)
            .fold(0.0, f64::max)
            .max(1e-9);
        let part = if view.crowded(store) {
            (class.priority_weight / best).sqrt()
        } else {
            1.0
        };
        view.answers(store)
            && view.bears(store)
            && view.expected(store) <= left.mul_f64(ADMITTED * part)
    }

    /// Whether the oracle waits for a server that may come to serve it in time: a primary, a free one, a fresh one.
    fn waits(&self, open: &Open, now: Time) -> bool {
        let class = self.class(open.arrival.class);
        let worth_for = if class.late_weight_fraction > 0.0 {
            class.deadline
        } else {
            class.latency_objective
        };
        let most = worth_for.min(open.arrival.time_left).mul_f64(HELD);
        self.sees_all() && !open.ran && now.since(open.came) + LOOK_AGAIN < most
    }

    fn attempt(
        &mut self,
        id: RequestId,
        now: Time,
        view: &mut dyn View,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut open) = self.open.remove(&id) else {
            return;
        };
        let left = open.arrival.time_left.saturating_sub(now.since(open.came));
        let allowed =
            self.set.attempt_limit == 0 || open.tried.len() < usize::from(self.set.attempt_limit);
        let again =
            !open.ran || self.class(open.arrival.class).idempotency == Idempotency::Idempotent;
        let picked = (allowed && again && !left.is_zero())
            .then(|| self.pick(&open, now, view))
            .flatten();
        match picked {
            Some(store) => {
                *self.out.entry(store).or_default() += 1;
                open.tried.push(store);
                // A safe read is tried elsewhere before its time is over, if there is time for that; who sees
                // everything has no need of it.
                let class = self.class(open.arrival.class);
                let twice = class.idempotency == Idempotency::Idempotent
                    && open.tried.len() == 1
                    && left / 2 >= class.latency_objective;
                let time_out = if twice && !self.sees_all() {
                    left / 2
                } else {
                    left
                };
                actions.push(Action::Send {
                    id,
                    server: store,
                    timeout: time_out,
                    begin_within: left,
                });
                self.open.insert(id, open);
            }
            None if self.waits(&open, now) => {
                if self.held.is_empty() {
                    actions.push(Action::Timer {
                        after: LOOK_AGAIN,
                        token: TimerToken(0),
                    });
                }
                self.held.push(id);
                self.open.insert(id, open);
            }
            None if open.ran => actions.push(Action::Fail { id }),
            None => actions.push(Action::Reject {
                id,
                retry_after: Some(COME_BACK),
            }),
        }
    }
}

impl Decider for Baseline {
    fn handle(&mut self, now: Time, event: Event, view: &mut dyn View, actions: &mut Vec<Action>) {
        match event {
            Event::RequestArrived(arrival) => {
                let id = arrival.id;
                let share = self.shares.get_mut(usize::from(arrival.tenant.0));
                let limited = self.choice == Name::LocalQuota;
                if limited && share.is_some_and(|share| !share.draw(now.0.as_micros() as u64)) {
                    actions.push(Action::Reject {
                        id,
                        retry_after: Some(COME_BACK),
                    });
                    return;
                }
                self.open.insert(
                    id,
                    Open {
                        arrival,
                        came: now,
                        tried: Vec::new(),
                        ran: false,
                    },
                );
                self.attempt(id, now, view, actions);
            }
            Event::AttemptEnded(ended) => {
                let store = ended.server;
                if let Some(out) = self.out.get_mut(&store) {
                    *out = out.saturating_sub(1);
                }
                let took = ended.elapsed.as_secs_f64();
                let (known, told) = self.cost.get(&store).copied().unwrap_or((0.05, now));
                let keep = (-now.since(told).as_secs_f64() / DECAY).exp();
                let cost = if took > known {
                    took
                } else {
                    known * keep + took * (1.0 - keep)
                };
                self.cost.insert(store, (cost, now));
                if ended.request_finished {
                    self.open.remove(&ended.id);
                    return;
                }
                if let Some(open) = self.open.get_mut(&ended.id) {
                    open.ran |= matches!(
                        ended.outcome,
                        Outcome::Failed | Outcome::TimedOut | Outcome::Reset
                    );
                }
                self.attempt(ended.id, now, view, actions);
            }
            Event::ClientLeft(id) => _ = self.open.remove(&id),
            Event::Endpoints(EndpointUpdate::Cached(_)) => actions.push(Action::PollEndpoints),
            Event::Endpoints(EndpointUpdate::Failed) => {
                actions.push(Action::Timer {
                    after: ASK_AGAIN,
                    token: LIST_TIMER,
                });
            }
            Event::Timer(token) if token == LIST_TIMER => actions.push(Action::PollEndpoints),
            Event::Timer(_) => {
                let mut held = std::mem::take(&mut self.held);
                // Those within their quota first.
                held.sort_by_key(|id| !self.within(*id, view));
                for id in held {
                    self.attempt(id, now, view, actions);
                }
            }
            _ => {}
        }
    }
}
