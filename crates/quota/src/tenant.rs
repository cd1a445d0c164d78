//! What is known of one tenant.

use crate::bucket::Bucket;
use crate::Time;

/// Requests of a tenant so far, retries included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Within quota.
    pub within: u64,
    /// Over quota, or withheld.
    pub beyond: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tenant {
    /// Requests a second over all proxies.
    pub quota: f64,
    /// Requests that count for the rate: those before the last estimate decayed, those since in full.
    pub recent: f64,
    pub bucket: Bucket,
    /// Requests a second here, as last estimated.
    pub rate: f64,
    /// Requests a second at other proxies.
    pub rate_elsewhere: f64,
    /// The part of its quota that is withheld.
    pub withheld: f64,
    /// When what was withheld was last counted.
    pub withheld_counted_at: Time,
    pub counts: Counts,
}
