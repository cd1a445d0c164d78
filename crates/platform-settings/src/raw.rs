//! The platform's settings object as in its JSON. Durations are in microseconds. Unknown keys are ignored; absent keys
//! have their default.

use serde::Deserialize;

/// The settings object. Fields have the platform's names.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct RawSettings {
    pub(crate) balancers: u32,
    pub(crate) me: u32,
    pub(crate) my_zone: u16,
    pub(crate) zones: Vec<String>,
    pub(crate) host_types: Vec<String>,
    pub(crate) classes: Vec<RawClass>,
    pub(crate) realms: Vec<RawTenant>,
    pub(crate) over_share_worth: Option<f64>,
    pub(crate) registry_mode: String,
    pub(crate) family_info: RawFreshness,
    pub(crate) load_report: RawLoadReport,
    pub(crate) policy_limits: RawLimits,
    pub(crate) rules: RawRules,
}

/// A class of requests.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct RawClass {
    pub(crate) deadline: u64,
    pub(crate) effect: String,
    pub(crate) goal_time: u64,
    pub(crate) group: String,
    pub(crate) importance: Option<f64>,
    pub(crate) late_value: f64,
    pub(crate) name: String,
    pub(crate) window: u64,
}

/// A tenant ("realm" on the platform).
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct RawTenant {
    pub(crate) name: String,
    pub(crate) quota_per_s: f64,
}

/// Consistency required by classes, and behaviour of replicas with stale data.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct RawFreshness {
    pub(crate) behind: String,
    pub(crate) counted_from: u64,
    pub(crate) holds_for: u64,
    pub(crate) needs_by_class: Vec<String>,
    pub(crate) staleness_bound: Vec<u64>,
    pub(crate) token_mode: String,
}

/// Names of the figures in a load report, in the order sent.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct RawLoadReport {
    pub(crate) fields: Vec<String>,
}

/// Limits and permissions of routers.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct RawLimits {
    pub(crate) may_cancel: bool,
    pub(crate) dial_timeout: u64,
    pub(crate) keepalive: u64,
    pub(crate) max_open: usize,
    pub(crate) max_retry_after: u64,
    pub(crate) probing: bool,
    pub(crate) retry_after: bool,
    pub(crate) second_copies: bool,
    pub(crate) try_limit: u16,
}

/// Rules on drains, starts and polls.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct RawRules {
    pub(crate) ask_within: Option<u64>,
    pub(crate) overload_factor: Option<f64>,
    pub(crate) start_capacity: Option<f64>,
    pub(crate) stop_sending_within: u64,
    pub(crate) tip_after: u64,
    pub(crate) warm_after: u64,
    pub(crate) soft_removal: bool,
}
