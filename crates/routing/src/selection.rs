//! Replica selection by cost-to-fresh routing (after DTR2).
//!
//! - **Cost** of a member, in seconds: this router's remaining work there (`estimates`), the predicted wait until the
//!   member has the log position that the read requires (`freshness`), and the expected run time there (`estimates`);
//!   plus a recheck interval for a member that has to be probed first; plus half an objective for a member outside the
//!   router's preferred subset in a large fleet, since a router learns more about few members than about all. The
//!   member with the lowest cost is selected.
//! - **Roles.** Writes and strong reads go to the primary. Bounded and eventual reads go there only if no replica is
//!   suitable.
//! - **Skipped members**: those that the request must not go to (`retry`), that are backed off, that rejected or failed
//!   the request, that would catch up too late, or that have no capacity (`concurrency`). If no member is left, the
//!   request is queued, possibly with a probe, or rejected (`expiry`).

use crate::interface::*;
use crate::retry::AttemptRejection;
use crate::state::{Request, Router, Server};
use std::time::Duration;

/// Decision for a request.
enum Selection {
    Send(ServerId),
    /// Queue the request until there is capacity.
    Queue,
    /// Queue the request and probe this member for its position, or any member for the primary.
    Probe(Option<ServerId>),
    Reject,
}

/// Inputs that are the same for all members in one selection.
struct SelectionContext<'a> {
    request: &'a Request,
    class: &'a Class,
    primary: Option<ServerId>,
    needs_primary: bool,
    /// No primary is known and probes are not allowed, so the write is sent to a member that may be the primary.
    seeks_primary: bool,
    /// Time during which an answer still has some weight.
    time_left: Duration,
    /// Number of members, first in this router's order, that have no extra cost.
    preferred_members: usize,
}

/// A member that the request could be sent to.
#[derive(Clone, Copy)]
struct Candidate {
    /// The member is the primary and replicas could answer the read.
    is_fallback: bool,
    cost: Duration,
    server: ServerId,
    /// The request may be sent now; otherwise the member's position has to be probed first.
    is_allowed: bool,
}

/// Suitability of a member for a request.
enum Suitability {
    /// The member must not get the request.
    Forbidden,
    /// The member may become suitable later.
    Unsuitable,
    /// The member has no capacity. `is_persistent`: it will not have any soon either.
    AtCapacity {
        is_persistent: bool,
    },
    Candidate(Candidate),
}

/// Result of evaluating all members of the group.
#[derive(Default)]
struct Evaluation {
    best: Option<Candidate>,
    /// Some member may take the request, now or later.
    any_permitted: bool,
    any_at_capacity: bool,
    any_persistently_full: bool,
}

impl Evaluation {
    fn add(&mut self, suitability: Suitability) {
        match suitability {
            Suitability::Forbidden => return,
            Suitability::Unsuitable => {}
            Suitability::AtCapacity {
                is_persistent: true,
            } => self.any_persistently_full = true,
            Suitability::AtCapacity {
                is_persistent: false,
            } => self.any_at_capacity = true,
            Suitability::Candidate(candidate) => self.consider(candidate),
        }
        self.any_permitted = true;
    }

    /// Of candidates with equal rank, the first in the router's order is kept.
    fn consider(&mut self, candidate: Candidate) {
        let rank = |candidate: &Candidate| (candidate.is_fallback, candidate.cost);
        if self.best.is_none_or(|best| rank(&candidate) < rank(&best)) {
            self.best = Some(candidate);
        }
    }
}

impl Router {
    /// Sends a request that has no attempt in flight, or queues or rejects it.
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
        let evaluation = self.evaluate_members(&self.context(request, class, time_left));
        let may_wait_for_capacity =
            may_wait || request.attempts > 0 || class.late_weight_fraction > 0.0;
        let fits = self.class_work[usize::from(request.arrival.class.0)] < time_left;
        match evaluation.best {
            Some(best) if best.is_allowed => Selection::Send(best.server),
            Some(best) => Selection::Probe(Some(best.server)),
            None if evaluation.any_at_capacity && may_wait_for_capacity && fits => Selection::Queue,
            None if !evaluation.any_at_capacity
                && !evaluation.any_persistently_full
                && evaluation.any_permitted
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
            preferred_members: if self.is_large_fleet() {
                subsetting::subset_size(members)
            } else {
                members
            },
        }
    }

    fn evaluate_members(&self, context: &SelectionContext) -> Evaluation {
        let mut evaluation = Evaluation::default();
        let members = self.members(context.request.arrival.group);
        for (index, &id) in members.iter().enumerate() {
            evaluation.add(self.suitability(context, index, id));
        }
        evaluation
    }

    fn suitability(&self, context: &SelectionContext, index: usize, id: ServerId) -> Suitability {
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
        let Some(cost) = self.cost(context, index, server, is_primary, is_allowed) else {
            return Suitability::Unsuitable;
        };
        let fraction = if is_primary {
            self.primary_fraction(request.arrival.class)
        } else {
            1.0
        };
        if !self.has_capacity(request, id, server, fraction) {
            // In a large fleet the draw stays the same at each dispatch, and the router's own answers rarely change the
            // result.
            let is_persistent = server.in_flight.is_empty() && self.is_large_fleet();
            return Suitability::AtCapacity { is_persistent };
        }
        Suitability::Candidate(Candidate {
            is_fallback: is_primary && is_answered_by_replicas(context.class),
            cost,
            server: id,
            is_allowed,
        })
    }

    /// Cost of a member; none if it would catch up too late.
    fn cost(
        &self,
        context: &SelectionContext,
        index: usize,
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
        let probe_delay = if is_allowed {
            Duration::ZERO
        } else {
            self.recheck_interval()
        };
        let outside_subset_penalty = if index < context.preferred_members {
            Duration::ZERO
        } else {
            self.tightest_objective / 2
        };
        Some(
            self.remaining_work(server)
                + catch_up
                + run_time
                + probe_delay
                + outside_subset_penalty,
        )
    }
}

fn is_answered_by_replicas(class: &Class) -> bool {
    matches!(
        class.consistency,
        Consistency::BoundedStaleness(_) | Consistency::Eventual
    )
}
