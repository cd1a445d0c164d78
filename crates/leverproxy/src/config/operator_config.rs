//! Converts the model of the operators' file to the settings of the proxy's components. A value that the platform sets too
//! takes effect only if it is tighter than the platform's.

use crate::health::{ListenerSettings, Protocol};
use crate::pipeline::route_rules::{RouteAction, Rules};
use bulkheads::{Priority, Rate, Settings as Pool};
use configuration::index::{Index, NameTable};
use configuration::model::Model;
use configuration::platform::{self, Platform};
use configuration::route::{self, Outcome};
use platform_settings::PlatformSettings;
use routing::{ClassId, Consistency, Idempotency};
use std::time::Duration;
use wire_health::http::Statuses;

/// Event loop lag at which the weight reaches its minimum, as a multiple of the lag at which it begins to fall.
const WORST_LAG_FACTOR: u32 = 20;

/// The platform's bounds against which an operators' file is checked.
pub fn platform(
    decoded: &PlatformSettings,
    sockets: Option<usize>,
    memory_mb: Option<usize>,
) -> Platform {
    let PlatformSettings {
        settings, names, ..
    } = decoded;
    let classes = settings
        .classes
        .iter()
        .zip(&names.classes)
        .map(|(class, name)| platform::Class {
            name: name.clone(),
            consistency: match class.consistency {
                Consistency::Write => platform::Consistency::Write,
                Consistency::Strong => platform::Consistency::Strong,
                Consistency::ReadYourWrites => platform::Consistency::ReadYourWrites,
                Consistency::BoundedStaleness(age) => platform::Consistency::BoundedStaleness(age),
                Consistency::Eventual => platform::Consistency::Eventual,
            },
            idempotency: match class.idempotency {
                Idempotency::Idempotent => platform::Idempotency::Idempotent,
                Idempotency::Keyed { .. } => platform::Idempotency::Keyed,
                Idempotency::NonIdempotent => platform::Idempotency::NonIdempotent,
            },
            deadline: class.deadline,
        });
    Platform {
        classes: classes.collect(),
        tenants: names.tenants.clone(),
        attempt_limit: settings.attempt_limit,
        sockets,
        memory: memory_mb.map(|mb| (mb as u64) << 20),
        max_retry_after: settings
            .may_send_retry_after
            .then_some(settings.max_retry_after),
    }
}

/// Applies the operators' file to the settings of the decision module; only values tighter than the platform's take
/// effect.
pub fn tighten(platform: &mut PlatformSettings, model: &Model) {
    let settings = &mut platform.settings;
    if let Some(attempts) = model.policy.attempt_limit {
        settings.attempt_limit = if settings.attempt_limit == 0 {
            attempts
        } else {
            settings.attempt_limit.min(attempts)
        };
    }
    settings.may_hedge &= model.policy.hedging;
    settings.may_probe &= model.policy.probes;
    if let Some(most) = model.policy.max_retry_after {
        settings.max_retry_after = settings.max_retry_after.min(most);
    }
    for class in model.classes.iter().filter(|c| c.runs_once) {
        if let Some(at) = platform
            .names
            .classes
            .iter()
            .position(|name| *name == class.name)
        {
            settings.classes[at].idempotency = Idempotency::NonIdempotent;
        }
    }
}

/// Compiles the routes, classes and pools. Classes and tenants that the platform names keep their indices.
pub fn rules(model: &Model, platform: &PlatformSettings) -> Rules {
    let names = NameTable {
        classes: platform.names.classes.clone(),
        tenants: platform.names.tenants.clone(),
    };
    let names = names.with_routes(&model.routes);
    let pool_at = |name: &String| model.pools.iter().position(|p| p.name == *name);
    let class_at = |name: &String| {
        let at = platform.names.classes.iter().position(|n| n == name)?;
        u16::try_from(at).ok().map(ClassId)
    };
    let action = |outcome: &Outcome| RouteAction {
        pool: outcome.pool.as_ref().and_then(pool_at),
        as_class: outcome.as_class.as_ref().and_then(class_at),
        deadline: outcome.deadline,
        priority: match outcome.priority {
            route::Priority::Low => Priority::Low,
            route::Priority::Normal => Priority::Normal,
            route::Priority::High => Priority::High,
        },
        attempt_limit: outcome.attempt_limit,
        reject: outcome.reject,
    };
    let class_limits = platform.names.classes.iter().map(|name| {
        let stated = model.classes.iter().find(|c| c.name == *name);
        (
            stated.and_then(|c| c.deadline),
            stated.and_then(|c| c.attempt_limit),
        )
    });
    Rules {
        class_ids: Vec::new(),
        index: Index::new(&model.routes, &model.windows, &names),
        actions: model.routes.iter().map(|r| action(&r.outcome)).collect(),
        class_limits: class_limits.collect(),
        pools: model.pools.iter().map(pool).collect(),
        deadlines: platform
            .settings
            .classes
            .iter()
            .map(|c| c.deadline)
            .collect(),
        margin: model.limits.answer_margin,
        max_retry_after: Some(platform.settings.max_retry_after)
            .filter(|_| platform.settings.may_send_retry_after),
        tenants: names.tenants,
    }
}

/// Settings of the health listeners.
pub fn health(model: &Model) -> Vec<ListenerSettings> {
    let listen = |h: &configuration::model::Health| ListenerSettings {
        name: h.name.clone(),
        address: h.address,
        protocol: match h.protocol {
            "grpc" => Protocol::Grpc,
            "agent" => Protocol::Agent {
                expects_text: h.expects_text,
                maxconn: h.maxconn,
            },
            _ => Protocol::Http(match h.statuses {
                "drain-is-404" => Statuses::DrainIs404,
                "overload-is-429" => Statuses::OverloadIs429,
                _ => Statuses::Plain,
            }),
        },
        connections: h.connections,
        check_timeout: h.check_timeout,
        idle_timeout: h.idle_timeout,
    };
    model.health.iter().map(listen).collect()
}

/// The balancers that a drain waits for.
pub fn balancers(model: &Model) -> Vec<drain::Balancer> {
    let balancer = |b: &configuration::model::Balancer| drain::Balancer {
        interval: b.interval,
        fall: b.fall,
        timeout: b.timeout,
    };
    model.balancers.iter().map(balancer).collect()
}

/// Thresholds at which the proxy counts as degraded or down.
pub fn availability(model: &Model) -> availability::Settings {
    let stated = &model.availability;
    let fraction =
        |share: configuration::value::Share| f64::from(share.part) / f64::from(share.whole.max(1));
    availability::Settings {
        floor: fraction(stated.floor),
        cut_floor: fraction(stated.cut_floor),
        list_late: stated.list_late,
        election: stated.election,
        dwell: stated.dwell,
        silence: stated.silence,
        lag: (stated.lag, stated.lag * WORST_LAG_FACTOR),
        ..availability::Settings::default()
    }
}

/// When a site counts as lost; none without the section `sites`.
pub fn sites(model: &Model) -> Option<site_failover::Settings> {
    let stated = model.sites.as_ref()?;
    Some(site_failover::Settings {
        lost_after: stated.lost_after,
        return_after: stated.return_after,
        dwell: stated.dwell,
        list_late: model.availability.list_late,
        ..site_failover::Settings::default()
    })
}

fn pool(pool: &configuration::model::Pool) -> Pool {
    Pool {
        name: pool.name.clone(),
        max_in_flight: pool.requests,
        rate: pool.rate.map(|rate| Rate {
            // Rates above one request per nanosecond are treated as that rate, which does not limit anything.
            interval: rate.interval().max(Duration::from_nanos(1)),
            burst: pool.burst,
        }),
        reserve: f64::from(pool.reserve.part) / f64::from(pool.reserve.whole.max(1)),
        retry_after: pool.retry_after,
    }
}
