//! Settings of a router: what classes of requests need, what servers do and what the platform allows.

use super::ids::ZoneId;
use std::time::Duration;

/// What a class of request needs of the data that answers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Only the primary takes it.
    Write,
    /// Must see everything committed before it arrived.
    Strong,
    /// Must see what its session has written.
    ReadYourWrites,
    /// Data no older than this when the read is sent.
    BoundedStaleness(Duration),
    /// Any member may answer.
    Eventual,
}

/// Where duplicates of a keyed request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// By all servers.
    All,
    /// By the servers of the zone that received the first attempt.
    Zone,
    /// By the servers of the group.
    Group,
}

/// What a repetition of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing: it may be sent any number of times.
    Idempotent,
    /// Servers recognise a repetition by the request's key.
    Keyed {
        /// Which servers recognise it.
        scope: DeduplicationScope,
        /// For how long after the first attempt.
        window: Duration,
    },
    /// It would take effect twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// What it needs of the data.
    pub consistency: Consistency,
    /// What a repetition would do.
    pub idempotency: Idempotency,
    /// Answers within this time earn the full weight.
    pub latency_objective: Duration,
    /// How long a client waits for an answer.
    pub deadline: Duration,
    /// What an answer in time earns.
    pub priority_weight: f64,
    /// Fraction of the weight that a late answer earns.
    pub late_weight_fraction: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second over all routers that count in full.
    pub quota_per_s: f64,
}

/// What a replica does with a read for which its data is too old.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StalenessCheck {
    /// Answers from what it has: the router alone keeps reads fresh.
    #[default]
    None,
    /// Rejects the read unexecuted.
    Reject,
    /// Waits this long to catch up, then rejects the read unexecuted.
    Wait(Duration),
}

/// What a router needs to know of its deployment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of routers in the fleet.
    pub router_count: u32,
    /// This router's number among them, from 0.
    pub router_index: u32,
    /// This router's zone.
    pub zone: ZoneId,
    /// Classes of requests, in the order of [`ClassId`](super::ClassId).
    pub classes: Vec<Class>,
    /// Tenants, in the order of [`TenantId`](super::TenantId).
    pub tenants: Vec<Tenant>,
    /// Weight of a request over its tenant's quota, as a fraction of the usual.
    pub over_quota_weight_fraction: f64,
    /// What replicas do with reads that they are too far behind for.
    pub staleness_check: StalenessCheck,
    /// The session's last write comes with the request; otherwise the router remembers it.
    pub clients_carry_session_position: bool,
    /// The endpoint list has to be polled; otherwise it is pushed.
    pub endpoints_are_polled: bool,
    /// Longest time between polls; a change counts as known after it.
    pub max_poll_interval: Duration,
    /// Servers may be probed.
    pub may_probe: bool,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// A further attempt may be sent while one is in flight.
    pub may_hedge: bool,
    /// Rejections may say when to come back.
    pub may_send_retry_after: bool,
    /// The longest such time.
    pub max_retry_after: Duration,
    /// Attempts allowed for one request; 0: no limit.
    pub attempt_limit: u16,
    /// Sends to a draining or removed server must stop within this time. No rule reads it: a router stops at once.
    pub drain_grace: Duration,
    /// A server that is removed without a drain may still be used.
    pub soft_removal: bool,
    /// Fraction of its capacity that a server has when it starts ...
    pub initial_capacity_fraction: f64,
    /// ... growing to all of it within this time.
    pub warm_up_duration: Duration,
    /// More than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this long, from all routers together, makes a server that warms up collapse.
    pub overload_duration: Duration,
    /// An idle connection is closed after this time. For the host: no rule reads it.
    pub idle_timeout: Duration,
}
