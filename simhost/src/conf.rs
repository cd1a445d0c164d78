//! Start-up settings: from the wire's JSON to the module's `Settings`. Unknown keys are ignored.

use mountshift::{Checks, Class, Effect, Need, Scope, Settings, Span, Tenant, Time, ZoneId};
use serde::Deserialize;

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Conf {
    balancers: u32,
    my_zone: u16,
    classes: Vec<ConfClass>,
    realms: Vec<Realm>,
    over_share_worth: Option<f64>,
    registry_mode: String,
    family_info: FamilyInfo,
    load_report: LoadReport,
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
    window: u64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Realm {
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
struct LoadReport {
    fields: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Limits {
    may_cancel: bool,
    keepalive: u64,
    max_retry_after: u64,
    probing: bool,
    retry_after: bool,
    second_copies: bool,
    try_limit: u16,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Rules {
    overload_factor: Option<f64>,
    start_capacity: Option<f64>,
    stop_sending_within: u64,
    tip_after: u64,
    warm_after: u64,
    soft_removal: bool,
}

/// A figure of a load report that the module has a use for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    Position,
    Primary,
    InFlight,
    Queued,
    Unused,
}

/// What reading the wire needs to know, beside the module's settings.
#[derive(Debug)]
pub struct Decoded {
    pub settings: Settings,
    pub fields: Vec<Field>,
    /// Positions count from here.
    pub zero: Time,
}

pub fn decode(json: &[u8]) -> Result<Decoded, serde_json::Error> {
    let conf: Conf = serde_json::from_slice(json)?;
    let info = &conf.family_info;
    let class = |(i, c): (usize, &ConfClass)| Class {
        need: match info.needs_by_class.get(i).map_or("", String::as_str) {
            "update" => Need::Write,
            "own_writes" => Need::Session,
            "recent" => Need::Bounded(Span(info.staleness_bound.get(i).copied().unwrap_or(0))),
            "loose" => Need::Any,
            // "latest", and the safe reading of a word not known.
            _ => Need::Fresh,
        },
        effect: match c.effect.as_str() {
            "safe" => Effect::Safe,
            "keyed" => Effect::Keyed {
                scope: match c.group.as_str() {
                    "all" => Scope::All,
                    "zone" => Scope::Zone,
                    _ => Scope::Group,
                },
                window: Span(c.window),
            },
            _ => Effect::Unsafe,
        },
        aim: Span(c.goal_time),
        deadline: Span(c.deadline),
        worth: c.importance.unwrap_or(1.0),
        late_worth: c.late_value,
    };
    let settings = Settings {
        routers: conf.balancers,
        zone: ZoneId(conf.my_zone),
        classes: conf.classes.iter().enumerate().map(class).collect(),
        tenants: conf.realms.iter().map(|r| Tenant { quota_per_s: r.quota_per_s }).collect(),
        over_share_worth: conf.over_share_worth.unwrap_or(1.0),
        checks: match info.behind.as_str() {
            "reject" => Checks::Refuse,
            "hold" => Checks::Wait(Span(info.holds_for)),
            _ => Checks::None,
        },
        tokens_carried: info.token_mode == "client",
        list_on_request: conf.registry_mode == "on_request",
        may_probe: conf.policy_limits.probing,
        may_cancel: conf.policy_limits.may_cancel,
        second_copies: conf.policy_limits.second_copies,
        retry_after: conf.policy_limits.retry_after,
        max_retry_after: Span(conf.policy_limits.max_retry_after),
        try_limit: conf.policy_limits.try_limit,
        drain_grace: Span(conf.rules.stop_sending_within),
        soft_removal: conf.rules.soft_removal,
        cold_share: conf.rules.start_capacity.unwrap_or(1.0),
        warm_after: Span(conf.rules.warm_after),
        overload_factor: conf.rules.overload_factor.unwrap_or(1.0),
        tip_after: Span(conf.rules.tip_after),
        keepalive: Span(conf.policy_limits.keepalive),
    };
    let field = |name: &String| match name.as_str() {
        "x0" => Field::Position,
        "x1" => Field::Primary,
        "outstanding" => Field::InFlight,
        "backlog" => Field::Queued,
        _ => Field::Unused,
    };
    let fields = conf.load_report.fields.iter().map(field).collect();
    Ok(Decoded { settings, fields, zero: Time(info.counted_from) })
}
