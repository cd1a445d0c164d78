//! What a proxy on the testbed is told of its platform.

use crate::discovery::zone;
use serde_json::{json, Value};
use server_model::clients::{self, Need, Repeat};
use server_model::platform::Platform;
use server_model::site;

/// The settings object of proxy `number`, which stands in `place`; times in microseconds, as the platform has them.
pub fn settings(
    site: &site::Settings,
    clients: &clients::Settings,
    platform: &Platform,
    number: usize,
    place: u16,
) -> Value {
    let class = |kind: &clients::Kind| {
        let (effect, window) = match kind.repeat {
            Repeat::Safe => ("safe", 0),
            Repeat::Keyed(window) => ("keyed", window),
            Repeat::Never => ("unsafe", 0),
        };
        json!({"Name": kind.name, "Effect": effect, "Group": "cell", "Window": window, "Deadline": kind.deadline,
               "GoalTime": kind.aim, "Importance": kind.worth, "LateValue": kind.late_worth})
    };
    let needs = clients.kinds.iter().map(|kind| match kind.need {
        Need::Write => "update",
        Need::Fresh => "latest",
        Need::Session => "own_writes",
        Need::Bounded(_) => "recent",
        Need::Any => "loose",
    });
    let ages = clients.kinds.iter().map(|kind| {
        if let Need::Bounded(age) = kind.need {
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
        "Classes": clients.kinds.iter().map(class).collect::<Vec<_>>(),
        "Realms": clients.tenants.iter().map(realm).collect::<Vec<_>>(),
        "OverShareWorth": clients.over_worth,
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
