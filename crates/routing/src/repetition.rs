//! Rule for repetitions of a request, which `retry` and `expiry` apply.
//!
//! - **Inputs**: the idempotency of the class as which the request is handled and of the class that its client gave,
//!   and the deduplication windows of the classes that replaced them in later settings.
//! - **Rule**: the strictest of these. The class that the client gave tells how long servers recognise a key, whatever
//!   the class as which a proxy handles the request allows. Servers apply a shortened window to open requests too.
//!   Otherwise an open request keeps the idempotency of its class over new settings.

use crate::interface::*;
use crate::state::{Request, Router};

/// What newer versions of a class change for open requests of the class.
#[derive(Clone, Copy, Default)]
pub(crate) struct ClassHistory {
    /// The version of the class before this one.
    predecessor: Option<ClassId>,
    /// The strictest deduplication rule of the versions after this one.
    later_rule: Option<Idempotency>,
}

impl Router {
    /// When and where the request may be repeated.
    pub(crate) fn repetition_rule(&self, request: &Request) -> Idempotency {
        let rule = self.class_repetition_rule(request.arrival.class);
        match request.arrival.client_class {
            Some(class) => rule.stricter(self.class_repetition_rule(class)),
            None => rule,
        }
    }

    /// An unknown class allows no repetition.
    fn class_repetition_rule(&self, class: ClassId) -> Idempotency {
        let index = usize::from(class.0);
        let Some(class) = self.settings.classes.get(index) else {
            return Idempotency::NonIdempotent;
        };
        let later_rule = self.class_histories[index].later_rule;
        later_rule.map_or(class.idempotency, |rule| narrow(class.idempotency, rule))
    }

    /// Adds a class, and applies its deduplication window to open requests of its predecessors.
    pub(crate) fn add_class_history(&mut self, class: &Class, predecessor: Option<ClassId>) {
        self.class_histories.push(ClassHistory {
            predecessor,
            later_rule: None,
        });
        if !matches!(class.idempotency, Idempotency::Keyed { .. }) {
            return;
        }
        let mut earlier = predecessor;
        while let Some(index) = earlier.map(|id| usize::from(id.0)) {
            let history = &mut self.class_histories[index];
            let rule = history.later_rule.unwrap_or(class.idempotency);
            history.later_rule = Some(rule.stricter(class.idempotency));
            earlier = history.predecessor;
        }
    }

    /// Rules of all open requests that have been repeated and may be in flight.
    pub(crate) fn repeated_requests(&self) -> Vec<(RequestId, Idempotency)> {
        let is_repeated = |request: &Request| request.attempts > 1 && !request.in_flight.is_empty();
        self.requests
            .iter()
            .filter(|(_, request)| is_repeated(request))
            .map(|(id, request)| (*id, self.repetition_rule(request)))
            .collect()
    }

    /// Those of the requests whose rule has become stricter.
    pub(crate) fn restricted_requests(
        &self,
        former_rules: Vec<(RequestId, Idempotency)>,
    ) -> Vec<RequestId> {
        let is_restricted = |(id, rule): (RequestId, Idempotency)| {
            let request = self.requests.get(&id)?;
            (self.repetition_rule(request) != rule).then_some(id)
        };
        former_rules.into_iter().filter_map(is_restricted).collect()
    }
}

/// Narrows a deduplication rule to that of a later version of the class. Other rules stay.
fn narrow(rule: Idempotency, later: Idempotency) -> Idempotency {
    match rule {
        Idempotency::Keyed { .. } => rule.stricter(later),
        Idempotency::Idempotent | Idempotency::NonIdempotent => rule,
    }
}
