//! The load that clients bring: classes, tenants, rates.

use crate::account::Credit;
use crate::law::Work;
use crate::Micros;

/// What a request needs of the data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// The primary has to take it.
    Write,
    /// All that was written before it came.
    Strong,
    /// What its session has written.
    ReadYourWrites,
    /// Data no older than this.
    BoundedStaleness(Micros),
    /// Any member may answer, however old its data.
    Eventual,
}

/// What a retry of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Idempotent: any number of attempts may run.
    Idempotent,
    /// Duplicates are dropped by its group for this long.
    Keyed(Micros),
    /// Not idempotent: it may run once.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The class's name.
    pub name: String,
    /// The data that it needs.
    pub consistency: Consistency,
    /// Whether it may run again.
    pub idempotency: Idempotency,
    /// Part of the requests, in proportion to the others'.
    pub share: f64,
    /// The work of a request, in microseconds of a core.
    pub work: Work,
    /// Latency objective: an answer within it earns the full weight.
    pub latency_objective: Micros,
    /// After this the client gives up.
    pub deadline: Micros,
    /// Priority weight.
    pub priority_weight: f64,
    /// Part of the weight that a late answer earns.
    pub late_weight_fraction: f64,
}

/// A customer, of whom a part of the requests are.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The tenant's name.
    pub name: String,
    /// Its part of the requests, in proportion to the others'.
    pub share: f64,
    /// Requests a second that count in full; 0: all.
    pub quota: f64,
    /// What it may borrow; none: nothing.
    pub credit: Option<Credit>,
}

/// The load that clients bring.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// Part of the weight that is left to what is beyond a tenant's quota.
    pub over_quota_weight_fraction: f64,
    /// Requests a second, and how many times that at which time: straight lines between the points.
    pub requests_per_s: f64,
    /// Time, and the multiple of `requests_per_s` at that time.
    pub profile: Vec<(Micros, f64)>,
    /// How long requests come.
    pub length: Micros,
    /// Number of proxies.
    pub proxies: usize,
    /// Number of groups of servers.
    pub groups: u32,
    /// How unequal the proxies' shares are: the n-th gets in proportion to n to the power of minus this.
    pub proxy_skew: f64,
    /// So many of the first proxies carry this part of the requests together; 0: no more than by `proxy_skew`.
    pub busy_proxies: usize,
    /// The part of all requests that the `busy_proxies` proxies carry.
    pub busy_proxies_share: f64,
    /// The same of the groups.
    pub group_skew: f64,
    /// Sessions at each proxy; the part of their reads that come soon after one of their writes, and how soon.
    pub sessions: u64,
    /// The part of session reads that follow a write of their session.
    pub read_after_write_share: f64,
    /// How soon they follow it.
    pub read_after_write_span: Micros,
    /// Retries at the most.
    pub max_retries: u32,
    /// The wait before a retry, unless the proxy asks for another and [`Settings::obeys_retry_after`] is set.
    pub retry_wait: Micros,
    /// Clients wait as long as the proxy tells them to.
    pub obeys_retry_after: bool,
    /// Retries carry a mark.
    pub marks_retries: bool,
    /// Of the deadline, the part that an attempt is given: from, to.
    pub patience: (f64, f64),
}
