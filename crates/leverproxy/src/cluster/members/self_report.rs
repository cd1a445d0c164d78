//! The report that each proxy publishes of itself: its build, and whether it serves.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The kind of fact of a self-report.
pub(super) const SELF_REPORT_KIND: u8 = 1;
/// A self-report is published again when half of this is over.
pub(super) const SELF_REPORT_TTL: Duration = Duration::from_secs(60);
/// The first byte of a self-report.
const SELF_REPORT_VERSION: u8 = 1;

/// What a proxy publishes of itself. Serialised by position (postcard).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SelfReport {
    pub build: String,
    /// `false` once it was told to end.
    pub serving: bool,
}

/// `None` if it can't be serialised.
pub(super) fn encode_self_report(report: &SelfReport) -> Option<Vec<u8>> {
    postcard::to_extend(report, vec![SELF_REPORT_VERSION]).ok()
}

/// `None` if it is of another version, or torn.
pub(super) fn decode_self_report(body: &[u8]) -> Option<SelfReport> {
    match body.split_first() {
        Some((&SELF_REPORT_VERSION, rest)) => postcard::from_bytes(rest).ok(),
        _ => None,
    }
}
