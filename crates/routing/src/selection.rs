//! Cost-to-fresh routing (after DTR2): which server gets a request.
//!
//! **Cost** of a member, in seconds: this router's own remaining work there (`estimates`), the predicted wait until the
//! member has the log position that the read needs (`freshness`), and the expected run time there (`estimates`); plus a
//! recheck interval for a member that has to be probed first, and half an objective for a member that one of many
//! routers uses only when the first few fail: it learns more of few members than of all. The least cost wins.
//! **Roles.** Writes and strong reads go to the primary; bounded and eventual reads go there only when no replica will
//! do.
//! **Passed over**: members that the request must not go to (`retry`), that are backed off, that rejected or failed it,
//! that would catch up too late, or that have no capacity (`concurrency`). What no member takes is queued, and probed
//! for, or rejected (`expiry`).

use crate::interface::*;
use crate::retry::AttemptRejection;
use crate::state::{Request, Router, Server};
use std::time::Duration;

/// What to do with a request now.
enum Selection {
    Send(ServerId),
    /// Wait for capacity.
    Queue,
    /// Wait for a position or a role: of this member, or of any.
    Probe(Option<ServerId>),
    Reject,
}

/// What is the same for all members in one selection.
struct SelectionContext<'a> {
    request: &'a Request,
    class: &'a Class,
    primary: Option<ServerId>,
    needs_primary: bool,
    /// No primary is known and nobody may be probed: the write finds it.
    seeks_primary: bool,
    /// Until when an answer earns anything, from now.
    time_left: Duration,
    /// How many members, the first in this router's order, it prefers.
    preferred: usize,
}

/// A member that the request could go to.
#[derive(Clone, Copy)]
struct Candidate {
    /// The primary, for a read that replicas could answer.
    is_fallback: bool,
    cost: Duration,
    server: ServerId,
    /// It may be sent now; otherwise its position has to be probed first.
    is_allowed: bool,
}

/// What a member is to a request.
enum Suitability {
    /// It must not get the request.
    Forbidden,
    /// It might later.
    Unsuitable,
    /// It has no capacity. `is_lasting`: nor will it have any soon.
    AtCapacity {
        is_lasting: bool,
    },
    Candidate(Candidate),
}

/// The members of the group taken together.
#[derive(Default)]
struct Survey {
    best: Option<Candidate>,
    /// Some member might take the request, now or later.
    some_permitted: bool,
    some_at_capacity: bool,
    some_lastingly_full: bool,
}

impl Survey {
    fn add(&mut self, suitability: Suitability) {
        match suitability {
            Suitability::Forbidden => return,
            Suitability::Unsuitable => {}
            Suitability::AtCapacity { is_lasting: true } => self.some_lastingly_full = true,
            Suitability::AtCapacity { is_lasting: false } => self.some_at_capacity = true,
            Suitability::Candidate(candidate) => self.offer(candidate),
        }
        self.some_permitted = true;
    }

    /// Of equal candidates the first in the router's order wins.
    fn offer(&mut self, candidate: Candidate) {
        let rank = |candidate: &Candidate| (candidate.is_fallback, candidate.cost);
        if self.best.is_none_or(|best| rank(&candidate) < rank(&best)) {
            self.best = Some(candidate);
        }
    }
}

impl Router {
    /// Sends a request without an attempt in flight, or queues or rejects it.
    pub(crate) fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self
            .requests
            .get(&id)
            .filter(|request| request.in_flight.is_empty())
        else {
            return;
        };
        match self.select(request) {
            Selection::Send(server) => self.send_attempt(id, server, actions),
            Selection::Reject => self.reject(id, actions),
            Selection::Queue => self.queue_request(id),
            Selection::Probe(member) => {
                self.probe(request.arrival.group, member, actions);
                self.queue_request(id);
            }
        }
    }

    fn select(&self, request: &Request) -> Selection {
        let class = self.class(request.arrival.class);
        let useful_until = if class.late_weight_fraction > 0.0 {
            request.deadline
        } else {
            request.objective_deadline
        };
        if self.now >= useful_until || self.now >= request.deadline {
            return Selection::Reject;
        }
        let may_wait = self.now < self.queue_deadline(request);
        if self.endpoints_are_outdated() {
            return if may_wait {
                Selection::Queue
            } else {
                Selection::Reject
            };
        }
        let time_left = useful_until.since(self.now);
        let survey = self.survey(&self.context(request, class, time_left));
        let may_wait_for_capacity =
            may_wait || request.attempts > 0 || class.late_weight_fraction > 0.0;
        let fits = self.class_work[usize::from(request.arrival.class.0)] < time_left;
        match survey.best {
            Some(best) if best.is_allowed => Selection::Send(best.server),
            Some(best) => Selection::Probe(Some(best.server)),
            None if survey.some_at_capacity && may_wait_for_capacity && fits => Selection::Queue,
            None if !survey.some_at_capacity
                && !survey.some_lastingly_full
                && survey.some_permitted
                && may_wait =>
            {
                Selection::Probe(None)
            }
            None => Selection::Reject,
        }
    }

    fn context<'a>(
        &self,
        request: &'a Request,
        class: &'a Class,
        time_left: Duration,
    ) -> SelectionContext<'a> {
        let group = request.arrival.group;
        let primary = self.primary(group);
        let is_write = class.consistency == Consistency::Write;
        let members = self.members(group).len();
        SelectionContext {
            request,
            class,
            primary,
            needs_primary: self.needs_primary(request.arrival.class),
            seeks_primary: is_write && primary.is_none() && !self.settings.may_probe,
            time_left,
            preferred: if self.is_large_fleet() {
                subsetting::subset_size(members)
            } else {
                members
            },
        }
    }

    fn survey(&self, context: &SelectionContext) -> Survey {
        let mut survey = Survey::default();
        let members = self.members(context.request.arrival.group);
        for (place, &id) in members.iter().enumerate() {
            survey.add(self.suitability(context, place, id));
        }
        survey
    }

    fn suitability(&self, context: &SelectionContext, place: usize, id: ServerId) -> Suitability {
        let request = context.request;
        let rejection = self.check_attempt(request, id).err();
        if rejection == Some(AttemptRejection::Forbidden) {
            return Suitability::Forbidden;
        }
        let server = &self.servers[&id];
        let is_primary = context.primary == Some(id);
        let has_role = is_primary
            || !context.needs_primary
            || context.seeks_primary && self.may_be_primary(server);
        let is_avoided = request.avoided_servers.contains(&id);
        if !has_role || server.is_backed_off(self.now) || is_avoided {
            return Suitability::Unsuitable;
        }
        let is_allowed = rejection.is_none();
        let Some(cost) = self.cost(context, place, server, is_primary, is_allowed) else {
            return Suitability::Unsuitable;
        };
        let fraction = if is_primary {
            self.primary_fraction(request.arrival.class)
        } else {
            1.0
        };
        if !self.has_capacity(request, id, server, fraction) {
            // The draw of one of many routers is the same at each look, and its own answers rarely change it.
            let is_lasting = server.in_flight.is_empty() && self.is_large_fleet();
            return Suitability::AtCapacity { is_lasting };
        }
        Suitability::Candidate(Candidate {
            is_fallback: is_primary && is_answered_by_replicas(context.class),
            cost,
            server: id,
            is_allowed,
        })
    }

    /// None if the member would catch up too late.
    fn cost(
        &self,
        context: &SelectionContext,
        place: usize,
        server: &Server,
        is_primary: bool,
        is_allowed: bool,
    ) -> Option<Duration> {
        let catch_up = if is_primary {
            Duration::ZERO
        } else {
            self.catch_up_wait(context.request, server)
        };
        let run_time = self.expected_run_time(server, context.request.arrival.class);
        if !catch_up.is_zero() && catch_up + run_time > context.time_left {
            return None;
        }
        let probing = if is_allowed {
            Duration::ZERO
        } else {
            self.recheck_interval()
        };
        let unfamiliarity = if place < context.preferred {
            Duration::ZERO
        } else {
            self.tightest_objective / 2
        };
        Some(self.remaining_work(server) + catch_up + run_time + probing + unfamiliarity)
    }
}

fn is_answered_by_replicas(class: &Class) -> bool {
    matches!(
        class.consistency,
        Consistency::BoundedStaleness(_) | Consistency::Eventual
    )
}
