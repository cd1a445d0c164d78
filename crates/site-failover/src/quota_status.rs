//! Status of a request with respect to its tenant's quota.

/// Quota status, in the order of protection: requests with a later status are shed earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QuotaStatus {
    /// The request is within the quota.
    WithinQuota,
    /// The request is over the quota and covered by a loan.
    Borrowed,
    /// The request is over the quota.
    OverQuota,
}
