//! Policies under test, behind one trait: the real decision module, baselines, and an oracle.

use mountshift::{
    Action, Arrival, ClassId, Effect, Event, GroupId, Need, Outcome, RequestId, Router, Settings, StoreId,
    Time,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

/// What is true, for those that may look.
pub trait View {
    fn members(&self, group: GroupId) -> Vec<StoreId>;
    fn primary(&mut self, group: GroupId) -> Option<StoreId>;
    /// It would answer.
    fn answers(&self, store: StoreId) -> bool;
    /// Requests that it holds over what it can do.
    fn load(&self, store: StoreId) -> f64;
    /// What a request more would take there, about.
    fn expected(&self, store: StoreId) -> Duration;
    fn position(&mut self, store: StoreId) -> Time;
}

pub trait Policy {
    fn handle(&mut self, now: Time, event: Event, view: &mut dyn View, actions: &mut Vec<Action>);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Name {
    Module,
    PrimaryOnly,
    Random,
    RoundRobin,
    LeastOutstanding,
    TwoChoices,
    PeakEwma,
    Oracle,
}

pub const NAMES: [(&str, Name); 8] = [
    ("module", Name::Module),
    ("primary-only", Name::PrimaryOnly),
    ("random", Name::Random),
    ("round-robin", Name::RoundRobin),
    ("least-outstanding", Name::LeastOutstanding),
    ("two-choices", Name::TwoChoices),
    ("peak-ewma", Name::PeakEwma),
    ("oracle", Name::Oracle),
];

impl Name {
    pub fn make(self, settings: &Settings, seed: u64, now: Time) -> Box<dyn Policy> {
        match self {
            Name::Module => Box::new(Module(Router::new(settings.clone(), seed, now))),
            choice => Box::new(Baseline::new(choice, settings.clone(), seed)),
        }
    }
}

/// The real decision module, unchanged, by its public interface.
struct Module(Router);

impl Policy for Module {
    fn handle(&mut self, now: Time, event: Event, _: &mut dyn View, actions: &mut Vec<Action>) {
        self.0.handle(now, event, actions);
    }
}

struct Open {
    arrival: Arrival,
    came: Time,
    tried: Vec<StoreId>,
    /// It may have run, so what may not run twice is over.
    ran: bool,
}

/// Picks a server by its rule, tries another where that is allowed, and never waits. All baselines are told who is
/// primary, which no real policy is.
struct Baseline {
    choice: Name,
    set: Settings,
    open: BTreeMap<RequestId, Open>,
    out: BTreeMap<StoreId, u32>,
    /// Peak-EWMA's cost, and when it was last told.
    cost: BTreeMap<StoreId, (f64, Time)>,
    turn: usize,
    rng: StdRng,
}

/// Part of the aim that the oracle lets an answer take on average: run times scatter.
const ADMITTED: f64 = 0.7;
/// Peak-EWMA forgets with this time constant, in seconds.
const DECAY: f64 = 10.0;

impl Baseline {
    fn new(choice: Name, set: Settings, seed: u64) -> Baseline {
        Baseline {
            choice,
            set,
            open: BTreeMap::new(),
            out: BTreeMap::new(),
            cost: BTreeMap::new(),
            turn: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn class(&self, class: ClassId) -> &mountshift::Class {
        &self.set.classes[usize::from(class.0)]
    }

    fn outstanding(&self, store: StoreId) -> u32 {
        self.out.get(&store).copied().unwrap_or(0)
    }

    fn pick(&mut self, open: &Open, now: Time, view: &mut dyn View) -> Option<StoreId> {
        let group = open.arrival.group;
        let need = self.class(open.arrival.class).need;
        let primary = view.primary(group);
        if matches!(need, Need::Write | Need::Fresh) || self.choice == Name::PrimaryOnly {
            return primary.filter(|p| self.choice != Name::Oracle || self.in_time(open, *p, now, view));
        }
        let mut members = view.members(group);
        if members.len() > open.tried.len() {
            members.retain(|m| !open.tried.contains(m));
        }
        if members.is_empty() {
            return None;
        }
        if self.choice == Name::Oracle {
            let position = match need {
                Need::Bounded(age) => now.minus(age),
                Need::Session => open.arrival.wrote_ago.map_or(Time::ZERO, |ago| open.came.minus(ago)),
                _ => Time::ZERO,
            };
            members.retain(|m| self.in_time(open, *m, now, view) && view.position(*m) >= position);
            // Of equals any: all proxies see the same.
            let start = self.rng.random_range(0..members.len().max(1));
            members.rotate_left(start);
            return members.into_iter().min_by(|a, b| view.load(*a).total_cmp(&view.load(*b)));
        }
        let number = members.len();
        let (a, b) = (self.rng.random_range(0..number), self.rng.random_range(0..number));
        Some(match self.choice {
            Name::RoundRobin => {
                self.turn += 1;
                members[self.turn % number]
            }
            Name::LeastOutstanding => {
                members.rotate_left(a);
                members.into_iter().min_by_key(|m| self.outstanding(*m))?
            }
            Name::TwoChoices => *[members[a], members[b]].iter().min_by_key(|m| self.outstanding(**m))?,
            Name::PeakEwma => {
                let cost = |m: &StoreId| {
                    let known = self.cost.get(m).map_or(0.05, |(cost, _)| *cost);
                    known * f64::from(self.outstanding(*m) + 1)
                };
                *[members[a], members[b]].iter().min_by(|x, y| cost(x).total_cmp(&cost(y)))?
            }
            _ => members[a],
        })
    }

    /// Who sees everything takes in no more than it can answer in time: what comes too late earns nothing and costs
    /// others their time.
    fn in_time(&self, open: &Open, store: StoreId, now: Time, view: &dyn View) -> bool {
        let left = self.class(open.arrival.class).aim.saturating_sub(now.since(open.came));
        view.answers(store) && view.expected(store) <= left.mul_f64(ADMITTED)
    }

    fn attempt(&mut self, id: RequestId, now: Time, view: &mut dyn View, actions: &mut Vec<Action>) {
        let Some(mut open) = self.open.remove(&id) else { return };
        let left = open.arrival.time_left.saturating_sub(now.since(open.came));
        let allowed = self.set.try_limit == 0 || open.tried.len() < usize::from(self.set.try_limit);
        let again = !open.ran || self.class(open.arrival.class).effect == Effect::Safe;
        let picked = (allowed && again && !left.is_zero()).then(|| self.pick(&open, now, view)).flatten();
        match picked {
            Some(store) => {
                *self.out.entry(store).or_default() += 1;
                open.tried.push(store);
                // A safe read is tried elsewhere before its time is over.
                let safe = self.class(open.arrival.class).effect == Effect::Safe;
                let time_out = if safe && open.tried.len() == 1 { left / 2 } else { left };
                actions.push(Action::Send { id, store, time_out });
                self.open.insert(id, open);
            }
            None if open.ran => actions.push(Action::Fail { id }),
            None => actions.push(Action::Refuse { id, come_back: Some(Duration::from_millis(200)) }),
        }
    }
}

impl Policy for Baseline {
    fn handle(&mut self, now: Time, event: Event, view: &mut dyn View, actions: &mut Vec<Action>) {
        match event {
            Event::Arrived(arrival) => {
                let id = arrival.id;
                self.open.insert(id, Open { arrival, came: now, tried: Vec::new(), ran: false });
                self.attempt(id, now, view, actions);
            }
            Event::Ended(ended) => {
                let store = ended.store;
                if let Some(out) = self.out.get_mut(&store) {
                    *out = out.saturating_sub(1);
                }
                let took = ended.elapsed.as_secs_f64();
                let (known, told) = self.cost.get(&store).copied().unwrap_or((0.05, now));
                let keep = (-now.since(told).as_secs_f64() / DECAY).exp();
                let cost = if took > known { took } else { known * keep + took * (1.0 - keep) };
                self.cost.insert(store, (cost, now));
                if ended.last {
                    self.open.remove(&ended.id);
                    return;
                }
                if let Some(open) = self.open.get_mut(&ended.id) {
                    open.ran |= matches!(ended.outcome, Outcome::Failed | Outcome::TimedOut | Outcome::Reset);
                }
                self.attempt(ended.id, now, view, actions);
            }
            Event::Left(id) => _ = self.open.remove(&id),
            _ => {}
        }
    }
}
