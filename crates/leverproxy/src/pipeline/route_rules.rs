//! Route rules: what the operators' routes and classes state of a request, before the decision module sees it. They
//! bound it, count it against a pool or reject it; which server gets it stays the decision module's choice.

use crate::request::{Answer, Request};
use bulkheads::{Admission, Bulkheads, PoolId, Priority, RejectionCause};
use configuration::calendar::Moment;
use configuration::index::{Index, IndexedRequest};
use routing::{Arrival, ClassId, Time};
use std::time::{Duration, Instant};

/// What a route does with its requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteAction {
    /// Position in [`Rules::pools`].
    pub pool: Option<usize>,
    /// The class that the decision module sees in place of the client's.
    pub as_class: Option<ClassId>,
    /// Longest time of a request.
    pub deadline: Option<Duration>,
    /// Priority in the pool.
    pub priority: Priority,
    /// Most attempts of a request.
    pub attempt_limit: Option<u16>,
    /// Requests are rejected, with this time to retry after.
    pub reject: Option<Option<Duration>>,
}

/// The route rules of the operators' file, compiled: built on any thread, applied in one step.
#[derive(Debug, Default)]
pub struct Rules {
    /// Finds the route of a request.
    pub index: Index,
    /// What each route does, by the index's route numbers.
    pub actions: Vec<RouteAction>,
    /// Longest time and most attempts of a request, by class.
    pub class_limits: Vec<(Option<Duration>, Option<u16>)>,
    /// The bulkhead pools.
    pub pools: Vec<bulkheads::Settings>,
    /// The platform's deadlines, by class.
    pub deadlines: Vec<Duration>,
    /// Subtracted from each client's time, for the ways of the request and of its answer.
    pub margin: Duration,
    /// Longest time to retry after that a rejected client is given; none: it gets no time.
    pub max_retry_after: Option<Duration>,
    /// Ids of the platform's classes, in the file's order, which all else here goes by; empty: the file's order is that
    /// of the ids.
    pub class_ids: Vec<ClassId>,
    /// Names of tenants, by the index's numbers.
    pub tenants: Vec<String>,
}

impl Rules {
    /// The class's number in the file's order.
    fn file_class(&self, class: ClassId) -> ClassId {
        let index = self.class_ids.iter().position(|id| *id == class);
        index
            .and_then(|index| u16::try_from(index).ok())
            .map_or(class, ClassId)
    }

    /// The class's id, of its number in the file's order.
    fn platform_class(&self, class: ClassId) -> ClassId {
        let id = self.class_ids.get(usize::from(class.0));
        id.copied().unwrap_or(class)
    }

    /// What the route of a request does; none: no route is for it.
    fn find_action(&self, class: ClassId, request: &Request, at: Time) -> Option<RouteAction> {
        if self.actions.is_empty() {
            return None;
        }
        let route = self.index.find(&IndexedRequest {
            class: class.0.into(),
            tenant: self.find_tenant(request.tenant.as_deref()),
            group: request.group,
            statement: &request.command.before_time_left,
            client: request.client,
            at: Moment::from_unix(at.0),
        })?;
        self.actions.get(route).copied()
    }

    fn find_tenant(&self, name: Option<&str>) -> u32 {
        name.and_then(|name| self.tenants.iter().position(|tenant| tenant == name))
            .and_then(|index| u32::try_from(index).ok())
            .unwrap_or(UNNAMED_TENANT)
    }
}

/// Requests by what the routes did with them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// A route applied.
    pub routed: u64,
    /// The route rejects its requests.
    pub rejected: u64,
    /// The pool was full.
    pub rejected_concurrency: u64,
    /// The pool's rate was used up.
    pub rejected_rate: u64,
}

/// The route rules stage: the rules in force, and the pools that they fill.
#[derive(Debug)]
pub struct RouteRules {
    rules: Rules,
    bulkheads: Bulkheads,
    /// In the order of the rules' pools.
    bulkhead_ids: Vec<PoolId>,
    /// Requests by what was done with them.
    pub counts: Counts,
}

impl RouteRules {
    /// A stage with empty pools.
    pub fn new(rules: Rules) -> RouteRules {
        let mut bulkheads = Bulkheads::default();
        let bulkhead_ids = bulkheads.configure(&rules.pools);
        RouteRules {
            rules,
            bulkheads,
            bulkhead_ids,
            counts: Counts::default(),
        }
    }

    /// Applies new rules; open requests stay counted in their pools. Returns the former rules, which may take long to drop.
    pub fn replace(&mut self, rules: Rules) -> Rules {
        self.bulkhead_ids = self.bulkheads.configure(&rules.pools);
        std::mem::replace(&mut self.rules, rules)
    }

    /// The rules in force.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// The bulkhead pools.
    pub fn pools(&self) -> &Bulkheads {
        &self.bulkheads
    }

    /// Bounds the arrival as the rules state. Returns the pool that it counts against.
    ///
    /// # Errors
    /// The answer that rejects the request.
    pub fn apply_route_rules(
        &mut self,
        arrival: &mut Arrival,
        request: &Request,
        at: Time,
        now: Instant,
    ) -> Result<Option<PoolId>, Answer> {
        let class = self.rules.file_class(arrival.class);
        let spent = now.saturating_duration_since(request.read_at) + self.rules.margin;
        let limits = self.rules.class_limits.get(usize::from(class.0));
        let (time_limit, attempt_limit) = limits.copied().unwrap_or_default();
        limit_time(arrival, time_limit, spent);
        arrival.attempt_limit = min_limit(arrival.attempt_limit, attempt_limit);
        let Some(action) = self.rules.find_action(class, request, at) else {
            return Ok(None);
        };
        self.counts.routed += 1;
        if let Some(retry_after) = action.reject {
            self.counts.rejected += 1;
            return Err(self.rejection(retry_after));
        }
        limit_time(arrival, action.deadline, spent);
        arrival.attempt_limit = min_limit(arrival.attempt_limit, action.attempt_limit);
        if let Some(other) = action.as_class {
            let deadline = self.rules.deadlines.get(usize::from(other.0)).copied();
            limit_time(arrival, deadline, spent);
            arrival.class = self.rules.platform_class(other);
        }
        self.enter_bulkhead(&action, at)
    }

    fn enter_bulkhead(&mut self, action: &RouteAction, at: Time) -> Result<Option<PoolId>, Answer> {
        let pool = action.pool.and_then(|index| self.bulkhead_ids.get(index));
        let Some(pool) = pool.copied() else {
            return Ok(None);
        };
        match self.bulkheads.admit(pool, action.priority, at.0) {
            Admission::Admitted => Ok(Some(pool)),
            Admission::Rejected { cause, retry_after } => {
                match cause {
                    RejectionCause::Concurrency => self.counts.rejected_concurrency += 1,
                    RejectionCause::Rate => self.counts.rejected_rate += 1,
                }
                Err(self.rejection(Some(retry_after)))
            }
        }
    }

    /// Frees a request's place in its pool. `held`: how long the request was open.
    pub fn release_bulkhead(&mut self, pool: PoolId, held: Duration) {
        self.bulkheads.release(pool, held);
    }

    fn rejection(&self, retry_after: Option<Duration>) -> Answer {
        let limit = self.rules.max_retry_after;
        Answer::Rejected(retry_after.and_then(|after| limit.map(|limit| after.min(limit))))
    }
}

/// Lines of the report; empty where there are no routes and never were.
impl std::fmt::Display for RouteRules {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Counts {
            routed,
            rejected,
            rejected_concurrency,
            rejected_rate,
        } = self.counts;
        if routed > 0 || !self.rules.actions.is_empty() {
            write!(f, "\nroutes: {routed} requests, refused {rejected}; by pools: full {rejected_concurrency}, fast {rejected_rate}")?;
        }
        for (name, counts) in self.bulkheads.counts() {
            let bulkheads::Counts {
                in_flight,
                admitted,
                rejected_concurrency,
                rejected_rate,
            } = counts;
            write!(
                f,
                "\npool {name}: open {in_flight}, taken {admitted}; refused [full {rejected_concurrency}] [fast {rejected_rate}]"
            )?;
        }
        Ok(())
    }
}

/// The index's number of a tenant that no route names.
const UNNAMED_TENANT: u32 = u32::MAX - 1;

fn limit_time(arrival: &mut Arrival, time_limit: Option<Duration>, spent: Duration) {
    if let Some(time_limit) = time_limit {
        arrival.time_left = arrival.time_left.min(time_limit.saturating_sub(spent));
    }
}

fn min_limit(a: Option<u16>, b: Option<u16>) -> Option<u16> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}
