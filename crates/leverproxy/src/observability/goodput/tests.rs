//! Weights of requests, and the fractions that their answers earn.

use super::*;
use routing::{Class, Consistency, Idempotency};

#[test]
fn goodput_follows_priority_weights_and_late_fractions() {
    let (objective, deadline) = (Duration::from_millis(100), Duration::from_secs(1));
    let class = |weight, late_fraction| Class {
        consistency: Consistency::Write,
        idempotency: Idempotency::NonIdempotent,
        latency_objective: objective,
        deadline,
        priority_weight: weight,
        late_weight_fraction: late_fraction,
    };
    let settings = Settings {
        classes: vec![class(4.0, 0.25), class(1.0, 0.0)],
        over_quota_weight_fraction: 0.5,
        ..Settings::default()
    };
    let mut goodput = Goodput::default();
    goodput.configure(&settings);
    let served = || Answer::Served(Vec::new());
    goodput.record_answer(ClassId(0), QuotaStatus::WithinQuota, &served(), objective);
    goodput.record_answer(
        ClassId(0),
        QuotaStatus::WithinQuota,
        &served(),
        objective * 2,
    );
    goodput.record_answer(
        ClassId(1),
        QuotaStatus::OverQuota,
        &Answer::Rejected(None),
        objective,
    );
    goodput.record_answer(
        ClassId(9),
        QuotaStatus::WithinQuota,
        &Answer::Failed,
        objective,
    );
    let classes: Vec<Totals> = goodput.classes().map(|(_, totals)| totals).collect();
    assert_eq!(
        classes,
        [
            Totals {
                requested: 2.0,
                lost: 0.75
            },
            Totals {
                requested: 0.5,
                lost: 0.5
            }
        ]
    );
    assert_eq!(
        goodput.total(),
        Totals {
            requested: 2.125,
            lost: 0.875
        }
    );
}
