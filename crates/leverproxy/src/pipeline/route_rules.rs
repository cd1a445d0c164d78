//! Route rules: applies the operators' routes and class limits to a request before it reaches the decision module. A
//! rule limits a request, counts it against a bulkhead pool or rejects it; the decision module still chooses the server.

use crate::request::{Answer, Request};
use bulkheads::{Admission, Bulkheads, PoolId, Priority, RejectionCause};
use configuration::calendar::Moment;
use configuration::index::{Index, IndexedRequest};
use routing::{Arrival, ClassId, Time};
use std::time::{Duration, Instant};

/// Action of a route on its requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteAction {
    /// Index of the bulkhead pool in [`Rules::pools`].
    pub pool: Option<usize>,
    /// Class for the decision module, in place of the client's class.
    pub as_class: Option<ClassId>,
    /// Maximum time of a request.
    pub deadline: Option<Duration>,
    /// Priority of the requests in the pool.
    pub priority: Priority,
    /// Maximum number of attempts per request.
    pub attempt_limit: Option<u16>,
    /// Rejects the requests; the inner value is the retry-after time sent to clients, if any.
    pub reject: Option<Option<Duration>>,
}

/// Compiled route rules of the operators' file. They can be built on any thread, and are applied in one step.
#[derive(Debug, Default)]
pub struct Rules {
    /// Finds the route of a request.
    pub index: Index,
    /// Actions by route number of the index.
    pub actions: Vec<RouteAction>,
    /// Maximum time and maximum number of attempts of a request, by class number of the file.
    pub class_limits: Vec<(Option<Duration>, Option<u16>)>,
    /// The bulkhead pools.
    pub pools: Vec<bulkheads::Settings>,
    /// Deadlines of the platform, by class number of the file.
    pub deadlines: Vec<Duration>,
    /// Subtracted from each client's timeout, for the network delay of the request and of its answer.
    pub margin: Duration,
    /// Maximum retry-after time sent to rejected clients; none: no retry-after time is sent.
    pub max_retry_after: Option<Duration>,
    /// Class ids of the platform by class number of the file; all other fields use the file's class numbers. Empty: both
    /// are the same.
    pub class_ids: Vec<ClassId>,
    /// Names of tenants, by tenant number of the index.
    pub tenants: Vec<String>,
}

impl Rules {
    /// Converts a class id of the platform into the class number of the file.
    fn file_class(&self, class: ClassId) -> ClassId {
        let index = self.class_ids.iter().position(|id| *id == class);
        index
            .and_then(|index| u16::try_from(index).ok())
            .map_or(class, ClassId)
    }

    /// Converts a class number of the file into the class id of the platform.
    fn platform_class(&self, class: ClassId) -> ClassId {
        let id = self.class_ids.get(usize::from(class.0));
        id.copied().unwrap_or(class)
    }

    /// Action of the route that matches a request; none if no route matches.
    fn find_action(
        &self,
        class: ClassId,
        request: &Request,
        unix_time: Time,
    ) -> Option<RouteAction> {
        if self.actions.is_empty() {
            return None;
        }
        let route = self.index.find(&IndexedRequest {
            class: class.0.into(),
            tenant: self.find_tenant(request.tenant.as_deref()),
            group: request.group,
            statement: &request.command.before_time_left,
            client: request.client,
            at: Moment::from_unix(unix_time.0),
        })?;
        self.actions.get(route).copied()
    }

    fn find_tenant(&self, name: Option<&str>) -> u32 {
        name.and_then(|name| self.tenants.iter().position(|tenant| tenant == name))
            .and_then(|index| u32::try_from(index).ok())
            .unwrap_or(UNNAMED_TENANT)
    }
}

/// Number of requests by the result of the routes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that matched a route.
    pub routed: u64,
    /// Requests rejected by their route.
    pub rejected: u64,
    /// Requests rejected because the pool was at its concurrency limit.
    pub rejected_concurrency: u64,
    /// Requests rejected because the pool was at its rate limit.
    pub rejected_rate: u64,
}

/// Route rules stage: the current rules and their bulkhead pools.
#[derive(Debug)]
pub struct RouteRules {
    rules: Rules,
    bulkheads: Bulkheads,
    /// Ids of the pools, in the order of [`Rules::pools`].
    bulkhead_ids: Vec<PoolId>,
    /// Number of requests by the result of the routes.
    pub counts: Counts,
}

impl RouteRules {
    /// Creates the stage with empty pools.
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

    /// Applies new rules. Open requests stay counted in their pools. Returns the previous rules, which may take long to
    /// drop.
    pub fn replace(&mut self, rules: Rules) -> Rules {
        self.bulkhead_ids = self.bulkheads.configure(&rules.pools);
        std::mem::replace(&mut self.rules, rules)
    }

    /// The current rules.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// The bulkhead pools.
    pub fn pools(&self) -> &Bulkheads {
        &self.bulkheads
    }

    /// Applies the limits of the rules to the arrival. Returns the pool that it counts against.
    ///
    /// # Errors
    /// The answer that rejects the request.
    pub fn apply_route_rules(
        &mut self,
        arrival: &mut Arrival,
        request: &Request,
        unix_time: Time,
        now: Instant,
    ) -> Result<Option<PoolId>, Answer> {
        let class = self.rules.file_class(arrival.class);
        let spent = now.saturating_duration_since(request.read_at) + self.rules.margin;
        let limits = self.rules.class_limits.get(usize::from(class.0));
        let (time_limit, attempt_limit) = limits.copied().unwrap_or_default();
        limit_time(arrival, time_limit, spent);
        arrival.attempt_limit = min_limit(arrival.attempt_limit, attempt_limit);
        let Some(action) = self.rules.find_action(class, request, unix_time) else {
            return Ok(None);
        };
        self.counts.routed += 1;
        if let Some(retry_after) = action.reject {
            self.counts.rejected += 1;
            return Err(self.rejection(retry_after));
        }
        limit_time(arrival, action.deadline, spent);
        arrival.attempt_limit = min_limit(arrival.attempt_limit, action.attempt_limit);
        if let Some(class) = action.as_class {
            let deadline = self.rules.deadlines.get(usize::from(class.0)).copied();
            limit_time(arrival, deadline, spent);
            arrival.client_class = Some(arrival.class);
            arrival.class = self.rules.platform_class(class);
        }
        self.enter_bulkhead(&action, unix_time)
    }

    fn enter_bulkhead(
        &mut self,
        action: &RouteAction,
        unix_time: Time,
    ) -> Result<Option<PoolId>, Answer> {
        let pool = action.pool.and_then(|index| self.bulkhead_ids.get(index));
        let Some(pool) = pool.copied() else {
            return Ok(None);
        };
        match self.bulkheads.admit(pool, action.priority, unix_time.0) {
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

    /// Releases a request's place in its pool. `held`: the time for which the request was open.
    pub fn release_bulkhead(&mut self, pool: PoolId, held: Duration) {
        self.bulkheads.release(pool, held);
    }

    fn rejection(&self, retry_after: Option<Duration>) -> Answer {
        let limit = self.rules.max_retry_after;
        Answer::Rejected(retry_after.and_then(|after| limit.map(|limit| after.min(limit))))
    }
}

/// Lines of the report on standard error; empty if routes were never configured.
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

/// Tenant number for the index if no route names the tenant.
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
