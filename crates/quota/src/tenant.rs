//! State of one tenant at this proxy.

use crate::bucket::Bucket;
use crate::Time;

/// Requests of a tenant so far, retries included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Number of requests within quota.
    pub within: u64,
    /// Number of requests over quota or in the withheld part.
    pub beyond: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tenant {
    /// Quota, in requests per second over all proxies.
    pub quota: f64,
    /// Requests that count for the rate: those before the last estimate with decay, later ones in full.
    pub recent: f64,
    pub bucket: Bucket,
    /// Local rate at the last estimate, in requests per second.
    pub rate: f64,
    /// Rate at other proxies, in requests per second.
    pub rate_elsewhere: f64,
    /// Part of the quota that is withheld, 0 to 1.
    pub withheld: f64,
    /// Time up to which withheld requests have been counted.
    pub withheld_counted_at: Time,
    pub counts: Counts,
}
