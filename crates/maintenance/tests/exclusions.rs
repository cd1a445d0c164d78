//! Tests of discovery's status and an operator's exclusion of the same server, applied in different orders.

use maintenance::{EffectiveState, Maintenance, ManualExclusion, ServerStatus, UnknownServer};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;

const LONG_AGO: Duration = Duration::ZERO;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn one_ready_server() -> Maintenance {
    let mut maintenance = Maintenance::default();
    assert_eq!(
        maintenance
            .apply_status("a", ServerStatus::Ready, LONG_AGO)
            .status,
        ServerStatus::Ready
    );
    maintenance
}

#[test]
fn a_server_drains_while_discovery_or_an_operator_drains_it() {
    let mut maintenance = one_ready_server();
    assert_eq!(
        maintenance.exclude("a", at(10)).unwrap().unwrap().status,
        ServerStatus::Draining
    );
    assert_eq!(
        maintenance
            .apply_status("a", ServerStatus::Draining, LONG_AGO)
            .status,
        ServerStatus::Draining
    );
    // The operator ends the exclusion first, then discovery the drain.
    assert_eq!(
        maintenance.include("a", at(20)).unwrap().unwrap().status,
        ServerStatus::Draining
    );
    assert_eq!(
        maintenance
            .apply_status("a", ServerStatus::Ready, LONG_AGO)
            .status,
        ServerStatus::Ready
    );
    // Discovery ends the drain first, then the operator the exclusion.
    maintenance.apply_status("a", ServerStatus::Draining, LONG_AGO);
    assert_eq!(
        maintenance.exclude("a", at(30)).unwrap().unwrap().status,
        ServerStatus::Draining
    );
    assert_eq!(
        maintenance
            .apply_status("a", ServerStatus::Ready, LONG_AGO)
            .status,
        ServerStatus::Draining
    );
    assert_eq!(
        maintenance.include("a", at(40)).unwrap().unwrap().status,
        ServerStatus::Ready
    );
}

#[test]
fn one_include_undoes_two_excludes() {
    let mut maintenance = one_ready_server();
    assert!(maintenance.exclude("a", at(1)).unwrap().is_some());
    assert_eq!(maintenance.exclude("a", at(2)), Ok(None));
    assert_eq!(
        maintenance.include("a", at(3)).unwrap().unwrap().status,
        ServerStatus::Ready
    );
    assert_eq!(
        maintenance.include("a", at(4)),
        Ok(None),
        "already included"
    );
    assert_eq!(maintenance.exclude("b", at(5)), Err(UnknownServer));
    assert_eq!(maintenance.include("b", at(5)), Err(UnknownServer));
}

#[test]
fn an_exclusion_survives_absence_from_the_list() {
    let mut maintenance = one_ready_server();
    maintenance.exclude("a", at(1)).unwrap();
    maintenance.retain_listed(&BTreeSet::new());
    assert_eq!(maintenance.listed_count(), 0);
    assert_eq!(maintenance.exclude("a", at(2)), Ok(None), "still excluded");
    assert_eq!(
        maintenance
            .apply_status("a", ServerStatus::Ready, at(3))
            .status,
        ServerStatus::Draining,
        "listed again, still excluded"
    );
    assert_eq!(
        maintenance.include("a", at(4)).unwrap(),
        Some(EffectiveState {
            status: ServerStatus::Ready,
            started: at(3)
        })
    );
    assert_eq!(
        maintenance
            .apply_status("a", ServerStatus::Removed, at(3))
            .status,
        ServerStatus::Removed
    );
    assert_eq!(
        maintenance.include("a", at(5)),
        Err(UnknownServer),
        "neither listed nor excluded"
    );
}

#[test]
fn an_included_server_counts_as_restarted_until_discovery_reports_a_start() {
    let mut maintenance = one_ready_server();
    maintenance.exclude("a", at(10)).unwrap();
    assert_eq!(
        maintenance.include("a", at(20)).unwrap().unwrap().started,
        at(20)
    );
    assert_eq!(
        maintenance
            .apply_status("a", ServerStatus::Ready, LONG_AGO)
            .started,
        at(20),
        "the list is outdated"
    );
    assert_eq!(
        maintenance
            .apply_status("a", ServerStatus::Ready, at(15))
            .started,
        at(15),
        "the list reports a restart during the exclusion"
    );
    assert_eq!(
        maintenance
            .apply_status("a", ServerStatus::Ready, at(60))
            .started,
        at(60),
        "a later restart"
    );
}

#[test]
fn exclusions_pass_to_the_next_process() {
    let mut old = one_ready_server();
    old.apply_status("b", ServerStatus::Ready, LONG_AGO);
    old.exclude("a", at(10)).unwrap();
    old.exclude("b", at(10)).unwrap();
    old.include("b", at(12)).unwrap();
    let mut new = Maintenance::default();
    new.apply_status("a", ServerStatus::Ready, LONG_AGO);
    new.apply_status("b", ServerStatus::Ready, LONG_AGO);
    let changed = new.restore(old.exclusions());
    assert_eq!(
        changed[0],
        (
            "a".into(),
            EffectiveState {
                status: ServerStatus::Draining,
                started: LONG_AGO
            }
        )
    );
    assert_eq!(
        new.apply_status("b", ServerStatus::Ready, LONG_AGO).started,
        at(12)
    );
    assert_eq!(
        new.exclusions(),
        vec![
            ManualExclusion {
                name: "a".into(),
                excluded_since: Some(at(10)),
                previous: None
            },
            ManualExclusion {
                name: "b".into(),
                excluded_since: None,
                previous: Some((at(10), at(12)))
            },
        ]
    );
}

proptest! {
    /// Compares with a model that has two flags per server. A server that is neither listed nor excluded must be unknown.
    #[test]
    fn any_order_agrees_with_two_flags(steps in prop::collection::vec((0u8..5, 0usize..3), 1..60)) {
        let names = ["a", "b", "c"];
        let mut maintenance = Maintenance::default();
        let mut flags = [(None, false); 3];
        for (time, (step, server)) in (1..).zip(steps) {
            let (name, flag) = (names[server], &mut flags[server]);
            let known = flag.0.is_some() || flag.1;
            let result_agrees = match step {
                0 | 1 => {
                    let status = if step == 0 { ServerStatus::Ready } else { ServerStatus::Draining };
                    flag.0 = Some(status);
                    maintenance.apply_status(name, status, LONG_AGO);
                    true
                }
                2 => {
                    flag.0 = None;
                    maintenance.apply_status(name, ServerStatus::Removed, LONG_AGO);
                    true
                }
                3 => {
                    flag.1 |= known;
                    maintenance.exclude(name, at(time)).is_ok() == known
                }
                _ => {
                    flag.1 = false;
                    maintenance.include(name, at(time)).is_ok() == known
                }
            };
            prop_assert!(result_agrees);
            prop_assert_eq!(maintenance.listed_count(), flags.iter().filter(|f| f.0.is_some()).count());
            let excluded = maintenance.exclusions().iter().filter(|exclusion| exclusion.excluded_since.is_some()).count();
            prop_assert_eq!(excluded, flags.iter().filter(|f| f.1).count());
        }
    }
}
