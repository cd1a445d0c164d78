use super::*;

/// The keys are written in files of experiments and in stored results, so they must not change with the names in the
/// code.
#[test]
fn every_key_of_the_experiments_sets_its_constant() {
    let keys = "run_weight work_rise ask_again hold_share rest_first rest_max recheck cold_caution cold_slice cold_light \
        trust_rise trust_late trust_aim trust_most trust_cut room_start forget few room_late room_easy door door_fall \
        spare_fall door_fade door_least room_weight room_cut reads_at_primary less_time";
    assert_eq!(Tuning::NAMES, keys.split_whitespace().collect::<Vec<_>>());
    for (index, key) in Tuning::NAMES.iter().enumerate() {
        let mut tuning = Tuning::default();
        let value = 100.0 + index as f64;
        assert!(tuning.set(key, value));
        assert_eq!(tuning.get(key), Some(value), "{key}");
        let changed = Tuning::NAMES
            .iter()
            .filter(|other| tuning.get(other) != Tuning::default().get(other));
        assert_eq!(
            changed.collect::<Vec<_>>(),
            [key],
            "only this constant changes"
        );
    }
    let mut tuning = Tuning::default();
    assert!(
        !tuning.set("sample_weight", 1.0),
        "the name of the field is not a key"
    );
    assert_eq!(tuning.get("sample_weight"), None);
    tuning.set("room_late", 0.25);
    assert_eq!(tuning.limit_high_latency, 0.25);
}
