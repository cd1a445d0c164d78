//! What a request is to its tenant's quota.

/// The status, best first: what is later is shed earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QuotaStatus {
    /// Within the quota.
    WithinQuota,
    /// Over it, with a loan.
    Borrowed,
    /// Over it.
    OverQuota,
}
