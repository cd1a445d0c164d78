//! Settings of a router: requirements of request classes, behaviour of servers, and limits of the platform.

use super::ids::ZoneId;
use std::time::Duration;

/// Consistency that a class of requests requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// A write; only the primary accepts it.
    Write,
    /// A read that must see all commits before its arrival.
    Strong,
    /// A read that must see the writes of its session.
    ReadYourWrites,
    /// A read whose data must not be older than this when the read is sent.
    BoundedStaleness(Duration),
    /// A read that any member may answer.
    Eventual,
}

/// Servers that recognise duplicates of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// The servers in the zone that received the first attempt.
    Zone,
    /// The servers of the group.
    Group,
}

/// Effect of repeating a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// None: the request may be sent any number of times.
    Idempotent,
    /// Servers recognise a repetition by the request's key and drop it.
    Keyed {
        /// Servers that recognise a repetition.
        scope: DeduplicationScope,
        /// Deduplication window, counted from the first attempt.
        window: Duration,
    },
    /// A repetition would take effect again.
    NonIdempotent,
}

impl DeduplicationScope {
    /// The scope with fewer servers.
    fn narrower(self, other: DeduplicationScope) -> DeduplicationScope {
        use DeduplicationScope::{All, Group, Zone};
        match (self, other) {
            (Zone, _) | (_, Zone) => Zone,
            (Group, _) | (_, Group) => Group,
            (All, All) => All,
        }
    }
}

impl Idempotency {
    /// The rule that allows a repetition only where both rules allow it.
    pub fn stricter(self, other: Idempotency) -> Idempotency {
        use Idempotency::{Idempotent, Keyed, NonIdempotent};
        match (self, other) {
            (NonIdempotent, _) | (_, NonIdempotent) => NonIdempotent,
            (Idempotent, rule) | (rule, Idempotent) => rule,
            (
                Keyed { scope, window },
                Keyed {
                    scope: other_scope,
                    window: other_window,
                },
            ) => Keyed {
                scope: scope.narrower(other_scope),
                window: window.min(other_window),
            },
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Required consistency.
    pub consistency: Consistency,
    /// Effect of a repetition.
    pub idempotency: Idempotency,
    /// Answers within this time count with the full weight.
    pub latency_objective: Duration,
    /// Time that a client waits for an answer.
    pub deadline: Duration,
    /// Weight of an answer within the objective.
    pub priority_weight: f64,
    /// Fraction of the weight that a late answer has, from 0 to 1.
    pub late_weight_fraction: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second, over all routers, that count with their full weight.
    pub quota_per_s: f64,
}

/// Behaviour of a replica on a read for which its data is too old.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StalenessCheck {
    /// Answers with the data that it has: only the router ensures freshness.
    #[default]
    None,
    /// Rejects the read without executing it.
    Reject,
    /// Waits at most this long to catch up, then rejects the read without executing it.
    Wait(Duration),
}

/// Settings of a router and its deployment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of routers in the fleet.
    pub router_count: u32,
    /// Index of this router in the fleet, from 0.
    pub router_index: u32,
    /// This router's zone.
    pub zone: ZoneId,
    /// Request classes, indexed by [`ClassId`](super::ClassId).
    pub classes: Vec<Class>,
    /// Tenants, indexed by [`TenantId`](super::TenantId).
    pub tenants: Vec<Tenant>,
    /// Weight of a request over its tenant's quota, as a fraction of its class's weight.
    pub over_quota_weight_fraction: f64,
    /// Behaviour of replicas on reads for which their data is too old.
    pub staleness_check: StalenessCheck,
    /// Requests carry the position of their session's last write; otherwise the router stores it.
    pub clients_carry_session_position: bool,
    /// The endpoint list has to be polled; otherwise it is pushed.
    pub endpoints_are_polled: bool,
    /// Longest time between polls; after it, a router is expected to have seen a change.
    pub max_poll_interval: Duration,
    /// Servers may be probed.
    pub may_probe: bool,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// A further attempt may be sent while another is in flight (hedging).
    pub may_hedge: bool,
    /// Rejections may carry a delay after which the client may retry.
    pub may_send_retry_after: bool,
    /// Longest delay that a rejection may carry.
    pub max_retry_after: Duration,
    /// Most attempts for one request; 0: no limit.
    pub attempt_limit: u16,
    /// Time within which sends to a draining or removed server must stop. No rule reads it: a router stops at once.
    pub drain_grace: Duration,
    /// A server that is removed without a drain may still be used.
    pub soft_removal: bool,
    /// Fraction of its full capacity that a server has when it starts, from 0 to 1.
    pub initial_capacity_fraction: f64,
    /// Time in which the capacity of a started server grows to its full value.
    pub warm_up_duration: Duration,
    /// Load, as a multiple of its present capacity, above which a server that warms up is overloaded.
    pub overload_factor: f64,
    /// Overload by all routers together for this long makes a server that warms up collapse.
    pub overload_duration: Duration,
    /// An idle connection is closed after this time. For the host; no rule reads it.
    pub idle_timeout: Duration,
}
