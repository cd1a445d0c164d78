//! Settings: odd ones, and new ones while requests are open.

mod common;
use common::*;
use routing::*;
use std::time::Duration;

#[test]
fn odd_settings_answer_every_request_soundly() {
    let none = Settings {
        classes: vec![],
        may_probe: false,
        may_cancel: false,
        may_hedge: false,
        may_send_retry_after: false,
        attempt_limit: 0,
        warm_up_duration: Duration::ZERO,
        overload_duration: Duration::ZERO,
        ..settings()
    };
    let mut bench = Bench::without_reports(none, 1);
    let (id, actions) = bench.request(EVENTUAL);
    assert!(
        rejected(&actions, id),
        "a class that the settings do not name: {actions:?}"
    );
    let mut zero = settings();
    zero.classes[1].consistency = Consistency::BoundedStaleness(Duration::ZERO);
    zero.classes[1].latency_objective = Duration::ZERO;
    let mut bench = Bench::new(zero, 1);
    let (id, mut actions) = bench.request(BOUNDED);
    actions.extend(bench.pass(1_100));
    assert!(rejected(&actions, id) || sends(&actions) == [1]);
    let mut bench = Bench::without_reports(settings(), 0);
    let (id, mut actions) = bench.request(EVENTUAL);
    actions.extend(bench.pass(1_100));
    assert!(rejected(&actions, id), "an empty list: {actions:?}");
}

/// A write under way keeps its class's rights where a stricter class takes the name; new ones have the new rights. Fewer
/// attempts count at once, and what the class takes is known from before.
#[test]
fn new_settings_leave_open_requests_their_rights() {
    let mut bench = Bench::new(settings(), 2);
    let (kept, _) = bench.request(WRITE);
    let mut next = settings();
    let place = next.classes.len() as u16;
    next.classes.push(Class {
        idempotency: Idempotency::NonIdempotent,
        ..next.classes[usize::from(WRITE)].clone()
    });
    let mut heirs = vec![None; usize::from(place)];
    heirs.push(Some(ClassId(WRITE)));
    bench.router.configure(next.clone(), &heirs);
    let (strict, actions) = bench.request(place);
    let mut actions = [actions, bench.end(kept, 0, 1, Outcome::Failed)].concat();
    actions.extend(bench.pass(100));
    assert!(
        sends(&actions).contains(&1) && !failed(&actions, kept),
        "repeated inside its window: {actions:?}"
    );
    bench.end(kept, 1, 1, Outcome::Ok);
    let mut ended = bench.pass(200);
    ended.extend(bench.end(strict, 0, 1, Outcome::Failed));
    ended.extend(bench.pass(1_000));
    assert!(
        failed(&ended, strict) || rejected(&ended, strict),
        "{ended:?}"
    );
    // One attempt in all from now on, under what one under way has used already.
    let (used, _) = bench.request(EVENTUAL);
    let first = bench.end(used, 0, 2, Outcome::Rejected);
    bench.router.configure(
        Settings {
            attempt_limit: 1,
            ..next
        },
        &[],
    );
    let mut rest = bench.end(used, 1, sends(&first)[0], Outcome::Failed);
    rest.extend(bench.pass(1_000));
    assert!(sends(&rest).is_empty(), "{rest:?}");
    let (once, _) = bench.request(EVENTUAL);
    let mut actions = bench.end(once, 0, 2, Outcome::Failed);
    actions.extend(bench.pass(1_000));
    assert!(sends(&actions).is_empty(), "{actions:?}");
}
