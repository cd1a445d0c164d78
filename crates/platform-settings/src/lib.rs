//! Start-up settings: from the platform's JSON to the module's `Settings`, and what else every host of
//! routers reads from it: names, limits of sockets and the meaning of load reports. Unknown keys are ignored.
#![forbid(unsafe_code)]

mod shape;
mod succession;

pub use shape::Shape;
pub use succession::{succeed, Succession};

use routing::{
    Class, Consistency, DeduplicationScope, Idempotency, LoadReport, Settings, StalenessCheck,
    Tenant, Time, ZoneId,
};
use serde::Deserialize;
use std::fmt;
use std::time::Duration;

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Conf {
    balancers: u32,
    me: u32,
    my_zone: u16,
    zones: Vec<String>,
    host_types: Vec<String>,
    classes: Vec<ConfClass>,
    realms: Vec<Realm>,
    over_share_worth: Option<f64>,
    registry_mode: String,
    family_info: FamilyInfo,
    load_report: ReportFields,
    policy_limits: Limits,
    rules: Rules,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct ConfClass {
    deadline: u64,
    effect: String,
    goal_time: u64,
    group: String,
    importance: Option<f64>,
    late_value: f64,
    name: String,
    window: u64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Realm {
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct FamilyInfo {
    behind: String,
    counted_from: u64,
    holds_for: u64,
    needs_by_class: Vec<String>,
    staleness_bound: Vec<u64>,
    token_mode: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct ReportFields {
    fields: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Limits {
    may_cancel: bool,
    dial_timeout: u64,
    keepalive: u64,
    max_open: usize,
    max_retry_after: u64,
    probing: bool,
    retry_after: bool,
    second_copies: bool,
    try_limit: u16,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Rules {
    ask_within: Option<u64>,
    overload_factor: Option<f64>,
    start_capacity: Option<f64>,
    stop_sending_within: u64,
    tip_after: u64,
    warm_after: u64,
    soft_removal: bool,
}

/// Stands for the time within which the list has to be asked for, where none is stated.
const LIST_WITHIN: Duration = Duration::from_secs(6);

/// A figure of a load report that the module has a use for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    Position,
    Primary,
    InFlight,
    Queued,
    Unused,
}

/// Names as peers write them, each list in the order of the module's ids.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

/// What a host needs to know, beside the module's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Decoded {
    pub settings: Settings,
    pub names: Names,
    pub fields: Vec<Field>,
    /// Positions count from here.
    pub zero: Time,
    /// A connection not made by then has failed; none is stated as zero.
    pub dial_timeout: Duration,
    /// Requests open at once; 0: no limit.
    pub max_open: usize,
}

/// A setting that can't be read: which, and why.
#[derive(Debug)]
pub struct BadSetting {
    pub key: String,
    pub problem: String,
}

impl fmt::Display for BadSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.problem)
    }
}

impl std::error::Error for BadSetting {}

/// The meaning of a report's field, named in the words of the platform or of the simulator.
pub fn field(name: &str) -> Field {
    match name {
        "x0" => Field::Position,
        "x1" => Field::Primary,
        "outstanding" | "inflight" => Field::InFlight,
        "backlog" | "queue" => Field::Queued,
        _ => Field::Unused,
    }
}

/// A load report from the fields that came, positions in seconds after `zero`.
pub fn report(zero: Time, values: impl IntoIterator<Item = (Field, f64)>) -> LoadReport {
    let mut report = LoadReport::default();
    for (field, value) in values {
        match field {
            Field::Position => report.position = position(zero, value),
            Field::Primary => report.primary = Some(value == 1.0),
            Field::InFlight => report.in_flight = Some(value),
            Field::Queued => report.queued = Some(value),
            Field::Unused => {}
        }
    }
    report
}

fn position(zero: Time, seconds: f64) -> Option<Time> {
    (seconds.is_finite() && seconds > 0.0)
        .then(|| zero.plus(Duration::from_micros((seconds * 1e6) as u64)))
}

pub fn decode(json: &[u8]) -> Result<Decoded, BadSetting> {
    let mut json = serde_json::Deserializer::from_slice(json);
    let conf: Conf = serde_path_to_error::deserialize(&mut json).map_err(|e| BadSetting {
        key: e.path().to_string(),
        problem: e.inner().to_string(),
    })?;
    let info = &conf.family_info;
    let class = |(i, c): (usize, &ConfClass)| Class {
        consistency: match info.needs_by_class.get(i).map_or("", String::as_str) {
            "update" => Consistency::Write,
            "own_writes" => Consistency::ReadYourWrites,
            "recent" => Consistency::BoundedStaleness(Duration::from_micros(
                info.staleness_bound.get(i).copied().unwrap_or(0),
            )),
            "loose" => Consistency::Eventual,
            // "latest", and the safe reading of a word not known.
            _ => Consistency::Strong,
        },
        idempotency: match c.effect.as_str() {
            "safe" => Idempotency::Idempotent,
            "keyed" => Idempotency::Keyed {
                scope: match c.group.as_str() {
                    "all" => DeduplicationScope::All,
                    "zone" => DeduplicationScope::Zone,
                    _ => DeduplicationScope::Group,
                },
                window: Duration::from_micros(c.window),
            },
            _ => Idempotency::NonIdempotent,
        },
        latency_objective: Duration::from_micros(c.goal_time),
        deadline: Duration::from_micros(c.deadline),
        priority_weight: c.importance.unwrap_or(1.0),
        late_weight_fraction: c.late_value,
    };
    let settings = Settings {
        router_count: conf.balancers,
        router_index: conf.me,
        zone: ZoneId(conf.my_zone),
        classes: conf.classes.iter().enumerate().map(class).collect(),
        tenants: conf
            .realms
            .iter()
            .map(|r| Tenant {
                quota_per_s: r.quota_per_s,
            })
            .collect(),
        over_quota_weight_fraction: conf.over_share_worth.unwrap_or(1.0),
        staleness_check: match info.behind.as_str() {
            "reject" => StalenessCheck::Reject,
            "hold" => StalenessCheck::Wait(Duration::from_micros(info.holds_for)),
            _ => StalenessCheck::None,
        },
        clients_carry_session_position: info.token_mode == "client",
        endpoints_are_polled: conf.registry_mode == "on_request",
        max_poll_interval: conf
            .rules
            .ask_within
            .map_or(LIST_WITHIN, Duration::from_micros),
        may_probe: conf.policy_limits.probing,
        may_cancel: conf.policy_limits.may_cancel,
        may_hedge: conf.policy_limits.second_copies,
        may_send_retry_after: conf.policy_limits.retry_after,
        max_retry_after: Duration::from_micros(conf.policy_limits.max_retry_after),
        attempt_limit: conf.policy_limits.try_limit,
        drain_grace: Duration::from_micros(conf.rules.stop_sending_within),
        soft_removal: conf.rules.soft_removal,
        initial_capacity_fraction: conf.rules.start_capacity.unwrap_or(1.0),
        warm_up_duration: Duration::from_micros(conf.rules.warm_after),
        overload_factor: conf.rules.overload_factor.unwrap_or(1.0),
        overload_duration: Duration::from_micros(conf.rules.tip_after),
        idle_timeout: Duration::from_micros(conf.policy_limits.keepalive),
    };
    Ok(Decoded {
        settings,
        fields: conf
            .load_report
            .fields
            .iter()
            .map(|name| field(name))
            .collect(),
        names: Names {
            classes: conf.classes.into_iter().map(|c| c.name).collect(),
            tenants: conf.realms.into_iter().map(|r| r.name).collect(),
            zones: conf.zones,
            kinds: conf.host_types,
        },
        zero: Time::from_micros(info.counted_from),
        dial_timeout: Duration::from_micros(conf.policy_limits.dial_timeout),
        max_open: conf.policy_limits.max_open,
    })
}
