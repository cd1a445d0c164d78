//! The rules, watched from outside: what policies ask for and what clients get is all that counts here.

use mountshift::{Effect, Outcome, RequestId};
use std::collections::BTreeMap;
use world::Micros;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One final answer, before the client gives up.
    Unanswered,
    AnsweredTwice,
    /// What may have run is not sent again beyond what its class allows.
    Repeated,
    TooManyAttempts,
    /// A cold server was pushed over.
    Collapsed,
    /// A read was answered from data older than its class allows.
    Stale,
    /// Requests that ended in no way, or in two.
    Lost,
}

#[derive(Debug)]
struct Request {
    effect: Effect,
    deadline: Micros,
    attempts: u16,
    out: u16,
    may_have_run: bool,
    answered: bool,
}

#[derive(Debug, Default)]
pub struct Checker {
    try_limit: u16,
    open: BTreeMap<RequestId, Request>,
    pub broken: BTreeMap<Rule, u64>,
    pub asked: u64,
    pub answered: u64,
    pub left: u64,
}

/// Beyond the client's time, in which an answer still counts.
const GRACE: Micros = 20_000;

impl Checker {
    pub fn new(try_limit: u16) -> Checker {
        Checker { try_limit, ..Checker::default() }
    }

    pub fn breaks(&mut self, rule: Rule) {
        *self.broken.entry(rule).or_default() += 1;
    }

    pub fn asks(&mut self, id: RequestId, effect: Effect, deadline: Micros) {
        self.asked += 1;
        let request = Request { effect, deadline, attempts: 0, out: 0, may_have_run: false, answered: false };
        self.open.insert(id, request);
    }

    pub fn sends(&mut self, id: RequestId) {
        let Some(request) = self.open.get_mut(&id) else { return };
        let repeats = (request.may_have_run || request.out > 0) && request.effect == Effect::Unsafe;
        request.attempts += 1;
        request.out += 1;
        let beyond = self.try_limit > 0 && request.attempts > self.try_limit;
        if repeats {
            self.breaks(Rule::Repeated);
        }
        if beyond {
            self.breaks(Rule::TooManyAttempts);
        }
    }

    pub fn ends(&mut self, id: RequestId, outcome: Outcome) {
        let Some(request) = self.open.get_mut(&id) else { return };
        request.out = request.out.saturating_sub(1);
        request.may_have_run |= matches!(
            outcome,
            Outcome::Ok | Outcome::Failed | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        );
    }

    pub fn answers(&mut self, id: RequestId, now: Micros) {
        let Some(request) = self.open.get_mut(&id) else { return self.breaks(Rule::Lost) };
        if std::mem::replace(&mut request.answered, true) {
            return self.breaks(Rule::AnsweredTwice);
        }
        let late = now > request.deadline + GRACE;
        self.answered += 1;
        if late {
            self.breaks(Rule::Unanswered);
        }
    }

    /// The client has waited for as long as it would.
    pub fn gives_up(&mut self, id: RequestId) {
        if self.open.remove(&id).is_some_and(|request| !request.answered) {
            self.left += 1;
            self.breaks(Rule::Unanswered);
        }
    }

    /// Every request is accounted for once.
    pub fn close(&mut self) {
        if self.asked != self.answered + self.left {
            self.breaks(Rule::Lost);
        }
    }
}
