//! Steer: what the operators' routes and classes say of a request, before the module is asked. They bound it,
//! count it against a pool or refuse it; where it goes stays the module's to decide.

use crate::request::{Answer, Request};
use bulkheads::{Admission, Bulkheads, PoolId, Priority, RejectionCause};
use configuration::calendar::Moment;
use configuration::index::{Facts, Index};
use routing::{Arrival, ClassId, Time};
use std::time::{Duration, Instant};

/// What a route says of its requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ruling {
    /// Position in [`Rules::pools`].
    pub pool: Option<usize>,
    pub as_class: Option<ClassId>,
    pub deadline: Option<Duration>,
    pub priority: Priority,
    pub tries: Option<u16>,
    pub refuse: Option<Option<Duration>>,
}

/// The operators' file, compiled: made on any thread, taken over in one step.
#[derive(Debug, Default)]
pub struct Rules {
    pub index: Index,
    /// By route.
    pub rulings: Vec<Ruling>,
    /// By class: the longest that a request is worked on, and its attempts.
    pub caps: Vec<(Option<Duration>, Option<u16>)>,
    pub pools: Vec<bulkheads::Settings>,
    /// The platform's, by class.
    pub deadlines: Vec<Duration>,
    /// Kept back from each client's time.
    pub margin: Duration,
    /// The longest that the refused are told to wait; none: they may not be told.
    pub max_retry_after: Option<Duration>,
    /// The places of the platform's classes, in the order that all else here goes by; none: they are as the file has them.
    pub places: Vec<ClassId>,
    /// Names by the numbers that the index knows.
    pub tenants: Vec<String>,
}

impl Rules {
    /// The number that the file knows a class by.
    fn in_file(&self, class: ClassId) -> ClassId {
        let at = self.places.iter().position(|place| *place == class);
        at.and_then(|at| u16::try_from(at).ok())
            .map_or(class, ClassId)
    }
}

/// What the routes have made of requests, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub routed: u64,
    pub refused: u64,
    pub pool_full: u64,
    pub pool_fast: u64,
}

#[derive(Debug)]
pub struct Steering {
    rules: Rules,
    pools: Bulkheads,
    /// In the order of the rules' pools.
    pool_ids: Vec<PoolId>,
    pub counts: Counts,
}

impl Steering {
    pub fn new(rules: Rules) -> Steering {
        let mut pools = Bulkheads::default();
        let pool_ids = pools.configure(&rules.pools);
        Steering {
            rules,
            pools,
            pool_ids,
            counts: Counts::default(),
        }
    }

    /// From now on by these; what is open stays counted. Returns the former ones, which may take long to drop.
    pub fn replace(&mut self, rules: Rules) -> Rules {
        self.pool_ids = self.pools.configure(&rules.pools);
        std::mem::replace(&mut self.rules, rules)
    }

    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    pub fn pools(&self) -> &Bulkheads {
        &self.pools
    }

    /// Bounds the arrival as the file says; the pool that it counts against, or the refusal.
    pub fn steer(
        &mut self,
        arrival: &mut Arrival,
        request: &Request,
        at: Time,
        now: Instant,
    ) -> Result<Option<PoolId>, Answer> {
        let class = self.rules.in_file(arrival.class);
        let spent = now.saturating_duration_since(request.read_at) + self.rules.margin;
        let Rules {
            index,
            rulings,
            caps,
            deadlines,
            tenants,
            ..
        } = &self.rules;
        let cap = |arrival: &mut Arrival, longest: Option<Duration>| {
            if let Some(longest) = longest {
                arrival.time_left = arrival.time_left.min(longest.saturating_sub(spent));
            }
        };
        let (longest, tries) = caps.get(usize::from(class.0)).copied().unwrap_or_default();
        cap(arrival, longest);
        arrival.attempt_limit = fewer(arrival.attempt_limit, tries);
        if rulings.is_empty() {
            return Ok(None);
        }
        let named = request
            .tenant
            .as_ref()
            .and_then(|name| tenants.iter().position(|t| t == name));
        let facts = Facts {
            class: class.0.into(),
            tenant: named
                .and_then(|at| u32::try_from(at).ok())
                .unwrap_or(UNNAMED),
            group: request.group,
            statement: &request.command.before_wait,
            client: request.client,
            at: Moment::from_unix(at.0),
        };
        let Some(ruling) = index
            .find(&facts)
            .and_then(|route| rulings.get(route))
            .copied()
        else {
            return Ok(None);
        };
        self.counts.routed += 1;
        if let Some(retry_after) = ruling.refuse {
            self.counts.refused += 1;
            return Err(self.refusal(retry_after));
        }
        cap(arrival, ruling.deadline);
        arrival.attempt_limit = fewer(arrival.attempt_limit, ruling.tries);
        if let Some(other) = ruling.as_class {
            cap(arrival, deadlines.get(usize::from(other.0)).copied());
            arrival.class = self
                .rules
                .places
                .get(usize::from(other.0))
                .copied()
                .unwrap_or(other);
        }
        let Some(pool) = ruling.pool.and_then(|at| self.pool_ids.get(at)).copied() else {
            return Ok(None);
        };
        match self.pools.admit(pool, ruling.priority, at.0) {
            Admission::Admitted => Ok(Some(pool)),
            Admission::Rejected { cause, retry_after } => {
                match cause {
                    RejectionCause::Concurrency => self.counts.pool_full += 1,
                    RejectionCause::Rate => self.counts.pool_fast += 1,
                }
                Err(self.refusal(Some(retry_after)))
            }
        }
    }

    /// The request is over after so long.
    pub fn give_back(&mut self, pool: PoolId, held: Duration) {
        self.pools.release(pool, held);
    }

    fn refusal(&self, retry_after: Option<Duration>) -> Answer {
        let most = self.rules.max_retry_after;
        Answer::Refused(retry_after.and_then(|after| most.map(|most| after.min(most))))
    }
}

/// Lines of the report; nothing where there are no routes and never were.
impl std::fmt::Display for Steering {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Counts {
            routed,
            refused,
            pool_full,
            pool_fast,
        } = self.counts;
        if routed > 0 || !self.rules.rulings.is_empty() {
            write!(f, "\nroutes: {routed} requests, refused {refused}; by pools: full {pool_full}, fast {pool_fast}")?;
        }
        for (name, counts) in self.pools.counts() {
            let bulkheads::Counts {
                in_flight: open,
                admitted: taken,
                rejected_concurrency: full,
                rejected_rate: fast,
            } = counts;
            write!(
                f,
                "\npool {name}: open {open}, taken {taken}; refused [full {full}] [fast {fast}]"
            )?;
        }
        Ok(())
    }
}

/// A tenant that no route names, and a class likewise.
const UNNAMED: u32 = u32::MAX - 1;

fn fewer(a: Option<u16>, b: Option<u16>) -> Option<u16> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}
