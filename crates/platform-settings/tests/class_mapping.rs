//! Reloads: class ids that last, and files that are incomplete.

use platform_settings::{decode, map_classes, PlatformSettings, Shape};
use routing::{ClassId, Idempotency, ZoneId};
use serde_json::{json, Value};

fn settings(classes: &[(&str, &str, u64)], zones: &[&str]) -> PlatformSettings {
    let classes: Vec<Value> = classes
        .iter()
        .map(|(name, effect, deadline)| json!({"Name": name, "Effect": effect, "Deadline": deadline, "GoalTime": 1}))
        .collect();
    let needs = vec!["loose"; classes.len()];
    let text = json!({"Classes": classes, "Zones": zones, "MyZone": zones.len() - 1, "FamilyInfo": {"NeedsByClass": needs}});
    decode(text.to_string().as_bytes()).unwrap()
}

#[test]
fn a_class_keeps_its_id_for_as_long_as_it_is_the_same() {
    let first = settings(&[("a", "safe", 5), ("b", "safe", 5)], &["x", "y"]);
    // Another order, one that changes, one that is new, one that is gone.
    let file = settings(&[("c", "safe", 5), ("b", "unsafe", 5)], &["y", "z"]);
    let next = map_classes(&first, file.clone()).unwrap();
    assert_eq!(next.class_ids, [ClassId(2), ClassId(3)]);
    assert_eq!(next.platform.names.classes, ["", "", "c", "b"]);
    assert_eq!(next.predecessors, [None, None, None, Some(ClassId(1))]);
    // Open requests keep their rights under the former ids.
    let effects: Vec<Idempotency> = next
        .platform
        .settings
        .classes
        .iter()
        .map(|c| c.idempotency)
        .collect();
    assert_eq!(
        effects,
        [
            Idempotency::Idempotent,
            Idempotency::Idempotent,
            Idempotency::Idempotent,
            Idempotency::NonIdempotent
        ]
    );
    assert_eq!(next.platform.names.zones, ["x", "y", "z"]);
    assert_eq!(next.platform.settings.zone, ZoneId(2));
    // The same file again changes nothing; a class that comes back is a new one.
    let again = map_classes(&next.platform, file).unwrap();
    assert_eq!(again.platform, next.platform);
    let back = map_classes(&again.platform, settings(&[("a", "safe", 5)], &["x", "y"])).unwrap();
    assert_eq!(back.class_ids, [ClassId(4)]);
}

#[test]
fn class_ids_are_bounded() {
    let mut now = settings(&[("a", "safe", 1)], &["x"]);
    let rejected = (2..5_000).find_map(|deadline| {
        let next = map_classes(&now, settings(&[("a", "safe", deadline)], &["x"]));
        next.map(|s| now = s.platform).err()
    });
    assert_eq!(rejected.unwrap().key(), "Classes");
    assert_eq!(now.settings.classes.len(), 1_024);
}

#[test]
fn a_later_file_must_have_what_the_first_had() {
    let first = json!({"a": 1, "b": {"c": [{"d": 1, "e": 2}, {"d": 3}]}, "f": []});
    let shape = Shape::of(&first);
    assert_eq!(shape.missing(&first), None);
    assert_eq!(
        shape.missing(&json!({"a": "x", "b": {"c": [{"d": 9}], "more": 1}, "f": [7]})),
        None
    );
    for (later, key) in [
        (json!({"b": {"c": []}, "f": []}), "a"),
        (json!({"a": null, "b": {"c": []}, "f": []}), "a"),
        (json!({"a": 1, "b": {}, "f": []}), "b.c"),
        (
            json!({"a": 1, "b": {"c": [{"d": 1}, {"e": 1}]}, "f": []}),
            "b.c[1].d",
        ),
        (json!({"a": 1, "b": 2, "f": []}), "b"),
        (json!([]), ""),
    ] {
        assert_eq!(shape.missing(&later).as_deref(), Some(key), "{later}");
    }
}
