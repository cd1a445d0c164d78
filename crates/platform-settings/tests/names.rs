//! Names are labels: whatever they are, the module's settings come out the same, and the names as they were written.

use platform_settings::{decode, PlatformSettings};
use proptest::prelude::*;
use serde_json::json;

fn settings(
    classes: &[String],
    tenants: &[String],
    zones: &[String],
    machine_types: &[String],
) -> PlatformSettings {
    let needs = ["update", "own_writes", "recent", "loose"];
    let effects = ["unsafe", "safe", "keyed", "safe"];
    let classes: Vec<_> = classes
        .iter()
        .enumerate()
        .map(|(at, name)| {
            json!({"Name": name, "Effect": effects[at % 4], "Deadline": 1000 + at, "GoalTime": 10 + at,
                "Importance": at, "LateValue": 0.5, "Group": "zone", "Window": 7})
        })
        .collect();
    let realms: Vec<_> = tenants
        .iter()
        .enumerate()
        .map(|(at, name)| json!({"Name": name, "QuotaPerS": at}))
        .collect();
    let text = json!({"Classes": classes, "Realms": realms, "Zones": zones, "HostTypes": machine_types, "MyZone": 1,
        "Balancers": 3, "FamilyInfo": {"NeedsByClass": needs, "StalenessBound": [1, 2, 3, 4]}});
    decode(text.to_string().as_bytes()).unwrap()
}

fn own(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn any_names(count: usize) -> impl Strategy<Value = Vec<String>> {
    // Words that the settings give a meaning elsewhere, prefixes of each other, blanks, quotes, any text.
    let words: &'static [&'static str] = &[
        "update",
        "safe",
        "all",
        "zone",
        "x0",
        "ride",
        "ride-2",
        "",
        " ",
        "'; DROP TABLE items; --",
        "\"\\",
    ];
    let word = prop::sample::select(words).prop_map(str::to_owned);
    prop::collection::vec(prop_oneof![word, any::<String>()], count)
}

proptest! {
    #[test]
    fn any_names_decode_to_the_same_settings(
        classes in any_names(4), tenants in any_names(3), zones in any_names(2), machine_types in any_names(2),
    ) {
        let plain =
            settings(&own(&["a", "b", "c", "d"]), &own(&["t", "u", "v"]), &own(&["x", "y"]), &own(&["k", "l"]));
        let other = settings(&classes, &tenants, &zones, &machine_types);
        prop_assert_eq!(&other.settings, &plain.settings);
        let names = other.names;
        prop_assert_eq!((names.classes, names.tenants, names.zones, names.machine_types), (classes, tenants, zones, machine_types));
    }
}

#[test]
fn tenants_in_another_order_are_the_same_tenants() {
    let quotas = |tenants: &[(&str, f64)]| {
        let realms: Vec<_> = tenants
            .iter()
            .map(|(n, q)| json!({"Name": n, "QuotaPerS": q}))
            .collect();
        let decoded = decode(json!({ "Realms": realms }).to_string().as_bytes()).unwrap();
        let quotas = decoded
            .settings
            .tenants
            .iter()
            .map(|t| t.quota_per_s.to_string());
        decoded
            .names
            .tenants
            .into_iter()
            .zip(quotas)
            .collect::<std::collections::BTreeMap<_, _>>()
    };
    assert_eq!(
        quotas(&[("t", 1.0), ("u", 2.0), ("", 3.0)]),
        quotas(&[("", 3.0), ("t", 1.0), ("u", 2.0)])
    );
    assert!(quotas(&[]).is_empty());
}
