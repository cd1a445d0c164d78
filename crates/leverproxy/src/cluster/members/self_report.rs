//! Self-report that each proxy publishes: its build, and whether it serves.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Fact kind of self-reports.
pub(super) const SELF_REPORT_KIND: u8 = 1;
/// Lifetime of a self-report. It is published again when half of this time has passed.
pub(super) const SELF_REPORT_TTL: Duration = Duration::from_secs(60);
/// Version of the encoding: the first byte of a self-report.
const SELF_REPORT_VERSION: u8 = 1;

/// Self-report of a proxy. Serialized by position (postcard).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SelfReport {
    pub build: String,
    /// `false` once the proxy is ending.
    pub serving: bool,
}

/// `None` if the report can't be serialized.
pub(super) fn encode_self_report(report: &SelfReport) -> Option<Vec<u8>> {
    postcard::to_extend(report, vec![SELF_REPORT_VERSION]).ok()
}

/// `None` if the report has another version or is malformed.
pub(super) fn decode_self_report(body: &[u8]) -> Option<SelfReport> {
    match body.split_first() {
        Some((&SELF_REPORT_VERSION, rest)) => postcard::from_bytes(rest).ok(),
        _ => None,
    }
}
