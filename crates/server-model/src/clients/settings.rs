//! Load of the clients: classes, tenants and rates.

use crate::account::Credit;
use crate::law::Work;
use crate::Micros;

/// Consistency that a request requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// A write, which only the primary accepts.
    Write,
    /// Reads all commits before the arrival of the request.
    Strong,
    /// Reads all writes of its session.
    ReadYourWrites,
    /// Reads data that is no older than this.
    BoundedStaleness(Micros),
    /// Any member may answer, however old its data.
    Eventual,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of attempts may run.
    Idempotent,
    /// The group drops duplicates for this long.
    Keyed(Micros),
    /// At most one attempt may run.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The class's name.
    pub name: String,
    /// Consistency that its requests require.
    pub consistency: Consistency,
    /// Whether its requests may run more than once.
    pub idempotency: Idempotency,
    /// Relative share of the requests.
    pub share: f64,
    /// Work per request, in microseconds of a core.
    pub work: Work,
    /// Latency objective: a response within it earns the full weight.
    pub latency_objective: Micros,
    /// Time after which the client abandons the request.
    pub deadline: Micros,
    /// Priority weight.
    pub priority_weight: f64,
    /// Fraction of the weight that a response after the latency objective earns.
    pub late_weight_fraction: f64,
}

/// A tenant and its share of the requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The tenant's name.
    pub name: String,
    /// Relative share of the requests.
    pub share: f64,
    /// Requests per second that count with full weight; 0: all.
    pub quota: f64,
    /// Limits on borrowing; `None`: the tenant can't borrow.
    pub credit: Option<Credit>,
}

/// Load of the clients, with times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// Fraction of the weight for requests beyond a tenant's quota.
    pub over_quota_weight_fraction: f64,
    /// Base rate in requests per second.
    pub requests_per_s: f64,
    /// Points of (time, factor on `requests_per_s`), with linear interpolation between them.
    pub profile: Vec<(Micros, f64)>,
    /// Duration of the load.
    pub length: Micros,
    /// Number of proxies.
    pub proxies: usize,
    /// Number of groups of servers.
    pub groups: u32,
    /// Skew of the proxies' shares: the n-th proxy has the share n to the power of minus this.
    pub proxy_skew: f64,
    /// Number of proxies, from the first, that carry `busy_proxies_share` together; 0: `proxy_skew` alone applies.
    pub busy_proxies: usize,
    /// Fraction of all requests that the `busy_proxies` proxies carry.
    pub busy_proxies_share: f64,
    /// Skew of the groups' shares, defined like `proxy_skew`.
    pub group_skew: f64,
    /// Number of sessions per proxy and group.
    pub sessions: u64,
    /// Fraction of the read-your-writes reads that follow a recent write of their session.
    pub read_after_write_share: f64,
    /// A write counts as recent up to three times this age.
    pub read_after_write_span: Micros,
    /// Maximum number of retries per request.
    pub max_retries: u32,
    /// Wait before a retry, unless the proxy requests another one and [`Settings::obeys_retry_after`] is set.
    pub retry_wait: Micros,
    /// Whether clients wait as long as the proxy requests.
    pub obeys_retry_after: bool,
    /// Whether clients mark retries as such.
    pub marks_retries: bool,
    /// Attempt timeout as a fraction of the deadline, as (minimum, maximum).
    pub patience: (f64, f64),
}
