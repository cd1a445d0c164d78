//! From the platform's object to the module's settings: the one place where the platform's names are mapped to ours.

use crate::raw::{RawClass, RawFreshness, RawRules, RawSettings};
use crate::report::{report_field, ReportField};
use crate::SettingsError;
use routing::{
    Class, Consistency, DeduplicationScope, Idempotency, Settings, StalenessCheck, Tenant, Time,
    ZoneId,
};
use std::time::Duration;

/// The longest time between polls of the endpoint list where none is stated.
const DEFAULT_POLL_INTERVAL: Duration = Duration::from_secs(6);

/// Names as clients and servers write them, each list in the order of the module's ids.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Names of classes; empty for one that is out of use.
    pub classes: Vec<String>,
    /// Names of tenants.
    pub tenants: Vec<String>,
    /// Names of zones.
    pub zones: Vec<String>,
    /// Names of machine types.
    pub machine_types: Vec<String>,
}

/// The platform's settings, in the module's terms.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// What the decision module needs.
    pub settings: Settings,
    /// Names by id.
    pub names: Names,
    /// Meaning of the figures in a load report, in the order sent.
    pub report_fields: Vec<ReportField>,
    /// Log positions count from here.
    pub position_origin: Time,
    /// A connection not made within this time has failed; zero: none is stated.
    pub dial_timeout: Duration,
    /// Requests open at once; 0: no limit.
    pub max_open: usize,
}

/// Reads the platform's settings object.
///
/// # Errors
/// If it is no JSON, or a value has the wrong type.
pub fn decode(json: &[u8]) -> Result<PlatformSettings, SettingsError> {
    let mut json = serde_json::Deserializer::from_slice(json);
    let raw: RawSettings =
        serde_path_to_error::deserialize(&mut json).map_err(|e| SettingsError::Unreadable {
            key: e.path().to_string(),
            source: e.into_inner(),
        })?;
    Ok(PlatformSettings {
        settings: settings(&raw),
        report_fields: raw
            .load_report
            .fields
            .iter()
            .map(|name| report_field(name))
            .collect(),
        position_origin: Time::from_micros(raw.family_info.counted_from),
        dial_timeout: Duration::from_micros(raw.policy_limits.dial_timeout),
        max_open: raw.policy_limits.max_open,
        names: names(raw),
    })
}

fn names(raw: RawSettings) -> Names {
    Names {
        classes: raw.classes.into_iter().map(|class| class.name).collect(),
        tenants: raw.realms.into_iter().map(|realm| realm.name).collect(),
        zones: raw.zones,
        machine_types: raw.host_types,
    }
}

fn settings(raw: &RawSettings) -> Settings {
    let limits = &raw.policy_limits;
    let rules = &raw.rules;
    Settings {
        router_count: raw.balancers,
        router_index: raw.me,
        zone: ZoneId(raw.my_zone),
        classes: classes(raw),
        tenants: tenants(raw),
        over_quota_weight_fraction: raw.over_share_worth.unwrap_or(1.0),
        staleness_check: staleness_check(&raw.family_info),
        clients_carry_session_position: raw.family_info.token_mode == "client",
        endpoints_are_polled: raw.registry_mode == "on_request",
        max_poll_interval: max_poll_interval(rules),
        may_probe: limits.probing,
        may_cancel: limits.may_cancel,
        may_hedge: limits.second_copies,
        may_send_retry_after: limits.retry_after,
        max_retry_after: Duration::from_micros(limits.max_retry_after),
        attempt_limit: limits.try_limit,
        drain_grace: Duration::from_micros(rules.stop_sending_within),
        soft_removal: rules.soft_removal,
        initial_capacity_fraction: rules.start_capacity.unwrap_or(1.0),
        warm_up_duration: Duration::from_micros(rules.warm_after),
        overload_factor: rules.overload_factor.unwrap_or(1.0),
        overload_duration: Duration::from_micros(rules.tip_after),
        idle_timeout: Duration::from_micros(limits.keepalive),
    }
}

fn max_poll_interval(rules: &RawRules) -> Duration {
    rules
        .ask_within
        .map_or(DEFAULT_POLL_INTERVAL, Duration::from_micros)
}

fn tenants(raw: &RawSettings) -> Vec<Tenant> {
    let tenants = raw.realms.iter().map(|realm| Tenant {
        quota_per_s: realm.quota_per_s,
    });
    tenants.collect()
}

fn classes(raw: &RawSettings) -> Vec<Class> {
    let classes = raw.classes.iter().enumerate().map(|(place, class)| Class {
        consistency: consistency(&raw.family_info, place),
        idempotency: idempotency(class),
        latency_objective: Duration::from_micros(class.goal_time),
        deadline: Duration::from_micros(class.deadline),
        priority_weight: class.importance.unwrap_or(1.0),
        late_weight_fraction: class.late_value,
    });
    classes.collect()
}

fn consistency(freshness: &RawFreshness, place: usize) -> Consistency {
    let need = freshness.needs_by_class.get(place);
    match need.map_or("", String::as_str) {
        "update" => Consistency::Write,
        "own_writes" => Consistency::ReadYourWrites,
        "recent" => {
            let bound = freshness.staleness_bound.get(place).copied();
            Consistency::BoundedStaleness(Duration::from_micros(bound.unwrap_or(0)))
        }
        "loose" => Consistency::Eventual,
        // "latest", and the safe reading of an unknown word.
        _ => Consistency::Strong,
    }
}

fn idempotency(class: &RawClass) -> Idempotency {
    match class.effect.as_str() {
        "safe" => Idempotency::Idempotent,
        "keyed" => Idempotency::Keyed {
            scope: match class.group.as_str() {
                "all" => DeduplicationScope::All,
                "zone" => DeduplicationScope::Zone,
                _ => DeduplicationScope::Group,
            },
            window: Duration::from_micros(class.window),
        },
        _ => Idempotency::NonIdempotent,
    }
}

fn staleness_check(freshness: &RawFreshness) -> StalenessCheck {
    match freshness.behind.as_str() {
        "reject" => StalenessCheck::Reject,
        "hold" => StalenessCheck::Wait(Duration::from_micros(freshness.holds_for)),
        _ => StalenessCheck::None,
    }
}
