//! The rules, watched from outside: what policies ask for, what clients get and what takes effect is all that counts
//! here.

pub mod cold;
pub mod loans;
pub mod versions;

use routing::Outcome;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use server_model::clients::{Repeat, TryId};
use server_model::site::ServerIndex;
use server_model::Micros;
use std::collections::BTreeMap;

/// A safety rule that a run may break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Rule {
    /// One final answer, before the client gives up.
    Unanswered,
    /// A second final answer came.
    AnsweredTwice,
    /// What may have run is not sent again beyond what its class allows.
    Repeated,
    /// More attempts than the settings allow.
    TooManyAttempts,
    /// A cold server was pushed over.
    Collapsed,
    /// A read was answered from data older than its class allows.
    Stale,
    /// Something new went to a server long after the proxy was told that it drains or is gone.
    Drained,
    /// A write that may run once took effect twice.
    Doubled,
    /// A write was served and never took effect.
    Phantom,
    /// Refused, which says that a repeat is harmless, though it took effect.
    FalseRefusal,
    /// Requests that ended in no way, or in two.
    Lost,
}

/// All rules, in the order of reports.
pub const RULES: [Rule; 11] = [
    Rule::Unanswered,
    Rule::AnsweredTwice,
    Rule::Repeated,
    Rule::TooManyAttempts,
    Rule::Collapsed,
    Rule::Stale,
    Rule::Drained,
    Rule::Doubled,
    Rule::Phantom,
    Rule::FalseRefusal,
    Rule::Lost,
];

/// The final answer to a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// With the value that the record server gave.
    Served,
    /// Rejected: nothing ran that a retry could double.
    Refused,
    /// Failed: it may have run.
    Failed,
}

#[derive(Debug)]
struct Try {
    request: u64,
    repeat: Repeat,
    proxy: usize,
    deadline: Micros,
    attempts: u16,
    out: u16,
    may_have_run: bool,
    /// When the earliest attempt left that may have run or is out.
    since: Option<Micros>,
    answered: bool,
}

/// A try of a write: what was said of it, and whether it took effect.
#[derive(Clone, Copy, Debug)]
struct Write {
    request: u64,
    once: bool,
    refused: bool,
    applied: bool,
}

/// A write, whichever of its tries it was.
#[derive(Clone, Copy, Debug, Default)]
struct Effect {
    applied: u32,
    served: bool,
}

/// Checks the safety rules over the recorded history of one run: feed it each event in the order in which it happened.
#[derive(Debug, Default)]
pub struct Checker {
    try_limit: u16,
    drain_grace: Micros,
    open: FxHashMap<TryId, Try>,
    /// The highest that was asked.
    last: TryId,
    writes: FxHashMap<TryId, Write>,
    /// By request.
    effects: FxHashMap<u64, Effect>,
    /// By proxy and server, when it was told to send nothing more.
    leaving: FxHashMap<(usize, ServerIndex), Micros>,
    /// How often each rule was broken.
    pub broken: BTreeMap<Rule, u64>,
    /// The first that each was found by, for whoever follows one.
    pub found: Vec<(Rule, TryId, Micros)>,
    /// Requests that clients sent.
    pub asked: u64,
    /// Requests that got a final answer.
    pub answered: u64,
    /// Requests whose client left before the answer.
    pub left: u64,
    /// Tries that died with their proxy: nobody owes them an answer.
    pub gone: u64,
}

/// Of breaches, those that are kept one by one.
const FOUND: usize = 20;

/// Breaches of what several proxies do together: how many, and the first of them.
#[derive(Clone, Debug)]
pub struct Breaches<B> {
    /// How many there were.
    pub count: u64,
    /// The first of them.
    pub first: Vec<B>,
}

impl<B> Default for Breaches<B> {
    fn default() -> Breaches<B> {
        Breaches {
            count: 0,
            first: Vec::new(),
        }
    }
}

impl<B> Breaches<B> {
    fn add(&mut self, breach: B) {
        self.count += 1;
        if self.first.len() < FOUND {
            self.first.push(breach);
        }
    }
}

/// Beyond the client's time, in which an answer still counts.
const GRACE: Micros = 20_000;

impl Checker {
    /// `try_limit`: attempts allowed for a request, 0: any number; `drain_grace`: microseconds after a drain was notified in which a server may still get requests.
    pub fn new(try_limit: u16, drain_grace: Micros) -> Checker {
        Checker {
            try_limit,
            drain_grace,
            ..Checker::default()
        }
    }

    /// Counts a broken rule that was found elsewhere.
    pub fn breaks(&mut self, rule: Rule) {
        *self.broken.entry(rule).or_default() += 1;
    }

    fn found(&mut self, rule: Rule, id: TryId, now: Micros) {
        self.breaks(rule);
        if self.found.len() < FOUND {
            self.found.push((rule, id, now));
        }
    }

    /// A client has sent a request to a proxy; `deadline` is when the client gives up.
    pub fn asks(
        &mut self,
        id: TryId,
        request: u64,
        repeat: Repeat,
        write: bool,
        proxy: usize,
        deadline: Micros,
    ) {
        self.asked += 1;
        self.last = self.last.max(id);
        let (attempts, out) = (0, 0);
        let (may_have_run, since, answered) = (false, None, false);
        let new = Try {
            request,
            repeat,
            proxy,
            deadline,
            attempts,
            out,
            may_have_run,
            since,
            answered,
        };
        self.open.insert(id, new);
        if write {
            let once = repeat == Repeat::Never;
            self.writes.insert(
                id,
                Write {
                    request,
                    once,
                    refused: false,
                    applied: false,
                },
            );
        }
    }

    /// A proxy has been told by the list that it may send to a server, or that it may not.
    pub fn told(&mut self, proxy: usize, server: ServerIndex, leaving: bool, now: Micros) {
        if leaving {
            self.leaving.entry((proxy, server)).or_insert(now);
        } else {
            self.leaving.remove(&(proxy, server));
        }
    }

    /// Whether a proxy has been told to send nothing more to a server.
    pub fn leaves(&self, proxy: usize, server: ServerIndex) -> bool {
        self.leaving.contains_key(&(proxy, server))
    }

    /// A proxy has sent an attempt to a server.
    pub fn sends(&mut self, id: TryId, server: ServerIndex, now: Micros) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let again = open.may_have_run || open.out > 0;
        let repeats = again
            && match open.repeat {
                Repeat::Safe => false,
                Repeat::Never => true,
                Repeat::Keyed(window) => open.since.is_some_and(|at| now >= at + window),
            };
        open.attempts += 1;
        open.out += 1;
        open.since.get_or_insert(now);
        let beyond = self.try_limit > 0 && open.attempts > self.try_limit;
        let late = self
            .leaving
            .get(&(open.proxy, server))
            .is_some_and(|at| now > at + self.drain_grace);
        for (broken, rule) in [
            (repeats, Rule::Repeated),
            (beyond, Rule::TooManyAttempts),
            (late, Rule::Drained),
        ] {
            if broken {
                self.found(rule, id, now);
            }
        }
    }

    /// An attempt has ended, as the proxy was told.
    pub fn ends(&mut self, id: TryId, outcome: Outcome) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.out = open.out.saturating_sub(1);
        open.may_have_run |= matches!(
            outcome,
            Outcome::Ok | Outcome::Failed | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        );
        if open.out == 0 && !open.may_have_run {
            open.since = None;
        }
    }

    /// A client has received a final answer.
    pub fn answers(&mut self, id: TryId, answer: Final, now: Micros) {
        let Some(open) = self.open.get_mut(&id) else {
            // Its numbers rise: what was asked and is no longer open has been answered, or its client has left.
            let known = (1..=self.last).contains(&id);
            return self.found(
                if known {
                    Rule::AnsweredTwice
                } else {
                    Rule::Lost
                },
                id,
                now,
            );
        };
        open.answered = true;
        let late = now > open.deadline + GRACE;
        let request = open.request;
        if let Some(write) = self.writes.get_mut(&id) {
            write.refused = answer == Final::Refused;
            let harmful = write.refused && write.applied && write.once;
            if answer == Final::Served {
                self.effects.entry(request).or_default().served = true;
            }
            if harmful {
                self.found(Rule::FalseRefusal, id, now);
            }
        }
        self.answered += 1;
        if late {
            self.found(Rule::Unanswered, id, now);
        }
    }

    /// A try of a write took effect.
    pub fn applied(&mut self, id: TryId) {
        let Some(write) = self.writes.get_mut(&id) else {
            return;
        };
        write.applied = true;
        let Write {
            request,
            once,
            refused,
            ..
        } = *write;
        let effect = self.effects.entry(request).or_default();
        effect.applied += 1;
        if once && effect.applied > 1 {
            self.breaks(Rule::Doubled);
        }
        if once && refused {
            self.breaks(Rule::FalseRefusal);
        }
    }

    /// The client has waited for as long as it would.
    pub fn gives_up(&mut self, id: TryId, now: Micros) {
        if self.open.remove(&id).is_some_and(|open| !open.answered) {
            self.left += 1;
            self.found(Rule::Unanswered, id, now);
        }
    }

    /// The client is done with a try that was answered.
    pub fn over(&mut self, id: TryId) {
        self.open.remove(&id);
    }

    /// It died with its proxy.
    pub fn dies(&mut self, id: TryId) {
        if self.open.remove(&id).is_some_and(|open| !open.answered) {
            self.gone += 1;
        }
    }

    /// Every try is accounted for once, and what was served took effect.
    pub fn close(&mut self) {
        let open = self.open.values().filter(|t| !t.answered).count() as u64;
        if self.asked != self.answered + self.left + self.gone + open {
            self.breaks(Rule::Lost);
        }
        let phantoms = self
            .effects
            .values()
            .filter(|e| e.served && e.applied == 0)
            .count() as u64;
        if phantoms > 0 {
            *self.broken.entry(Rule::Phantom).or_default() += phantoms;
        }
    }
}
