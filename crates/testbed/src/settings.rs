//! Platform settings of a proxy on the testbed.

use crate::discovery::zone;
use serde_json::{json, Value};
use server_model::clients::{self, Consistency, Idempotency};
use server_model::platform::Platform;
use server_model::site;

/// The platform settings of proxy `number` at `place`, as JSON; times in microseconds.
pub fn settings(
    site: &site::Settings,
    clients: &clients::Settings,
    platform: &Platform,
    number: usize,
    place: u16,
) -> Value {
    let class = |kind: &clients::RequestClass| {
        let (effect, window) = match kind.idempotency {
            Idempotency::Idempotent => ("safe", 0),
            Idempotency::Keyed(window) => ("keyed", window),
            Idempotency::NonIdempotent => ("unsafe", 0),
        };
        json!({"Name": kind.name, "Effect": effect, "Group": "cell", "Window": window, "Deadline": kind.deadline,
               "GoalTime": kind.latency_objective, "Importance": kind.priority_weight, "LateValue": kind.late_weight_fraction})
    };
    let needs = clients.classes.iter().map(|kind| match kind.consistency {
        Consistency::Write => "update",
        Consistency::Strong => "latest",
        Consistency::ReadYourWrites => "own_writes",
        Consistency::BoundedStaleness(_) => "recent",
        Consistency::Eventual => "loose",
    });
    let ages = clients.classes.iter().map(|kind| {
        if let Consistency::BoundedStaleness(age) = kind.consistency {
            age
        } else {
            0
        }
    });
    let realm = |tenant: &clients::Tenant| json!({"Name": tenant.name, "QuotaPerS": tenant.quota});
    json!({
        "Balancers": clients.proxies,
        "Me": number,
        "MyZone": place,
        "Zones": (0..site.places.max(1)).map(|place| zone(place as u16)).collect::<Vec<_>>(),
        "HostTypes": ["std"],
        "Classes": clients.classes.iter().map(class).collect::<Vec<_>>(),
        "Realms": clients.tenants.iter().map(realm).collect::<Vec<_>>(),
        "OverShareWorth": clients.over_quota_weight_fraction,
        "RegistryMode": "on_request",
        "FamilyInfo": {
            "Behind": if platform.checks { "reject" } else { "off" },
            "CountedFrom": 0,
            "NeedsByClass": needs.collect::<Vec<_>>(),
            "StalenessBound": ages.collect::<Vec<_>>(),
            "TokenMode": "client",
        },
        "LoadReport": {"Fields": ["x0", "x1", "backlog", "outstanding"], "How": "on_probe"},
        "PolicyLimits": {
            "DialTimeout": platform.dial_wait, "Keepalive": platform.keepalive, "MayCancel": true,
            "MaxRetryAfter": platform.max_retry_after, "RetryAfter": platform.max_retry_after > 0,
            "Probing": platform.probes, "SecondCopies": platform.second_copies, "TryLimit": platform.tries,
        },
        "Rules": {
            "OverloadFactor": site.server.tip, "StartCapacity": site.server.cold, "TipAfter": site.server.tip_after,
            "WarmAfter": site.server.warm_after, "StopSendingWithin": platform.drain_grace,
        },
    })
}
