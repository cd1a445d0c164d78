//! Counts of requests and loans by tenant.

use serde::{Deserialize, Serialize};

/// Requests of one tenant so far, in one proxy or in all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantCounts {
    /// Within the quota.
    #[serde(rename = "within")]
    pub within_quota: u64,
    /// Beyond the quota, on credit.
    pub borrowed: u64,
    /// Beyond the quota, not on credit.
    #[serde(rename = "beyond")]
    pub over_quota: u64,
    /// Of those within the quota, those that were rejected before any attempt.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Of those beyond the quota and not on credit, likewise.
    #[serde(rename = "turned")]
    pub over_quota_rejected: u64,
    /// Loans that were returned unused, in thousandths of a request.
    #[serde(rename = "back")]
    pub returned: u64,
    /// Loans that were repaid, in thousandths.
    pub repaid: u64,
    /// Loans that were written off, in thousandths.
    pub written_off: u64,
}

impl TenantCounts {
    /// Adds the counts of another proxy.
    pub fn add(&mut self, peer: &TenantCounts) {
        let TenantCounts {
            within_quota,
            borrowed,
            over_quota,
            rejected,
            over_quota_rejected,
            returned,
            repaid,
            written_off,
        } = peer;
        self.within_quota += within_quota;
        self.borrowed += borrowed;
        self.over_quota += over_quota;
        self.rejected += rejected;
        self.over_quota_rejected += over_quota_rejected;
        self.returned += returned;
        self.repaid += repaid;
        self.written_off += written_off;
    }
}
