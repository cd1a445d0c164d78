//! A proxy that violates each rule on purpose must be detected by its checker; a correct fleet violates none.

mod common;
use common::{assert_sound, setup, start, wait_for_answers, SECOND};
use invariant_checkers::Rule;
use server_model::site::ServerFault;

/// Asserts that the checker detects a fleet whose proxies violate `rule`.
fn assert_detected(rule: Rule) {
    let mut setup = setup(2, 60.0, 30 * SECOND);
    setup.planted_violation = Some(rule);
    // The platform's checks would hide stale reads.
    setup.platform.checks = rule != Rule::Stale;
    match rule {
        // A missing answer is detected when the client's deadline has passed.
        Rule::Unanswered => setup
            .clients
            .classes
            .iter_mut()
            .for_each(|k| k.deadline = SECOND / 2),
        Rule::Collapsed => {
            setup
                .clients
                .classes
                .iter_mut()
                .for_each(|k| k.work.mean = 100_000.0);
        }
        Rule::Stale => setup.site.group.ship = 5 * SECOND,
        _ => {}
    }
    let testbed = start(setup);
    let last = *testbed.history.lock().site.members(0).last().unwrap();
    match rule {
        Rule::Drained => testbed.history.inject_fault(ServerFault::Drain(last)),
        Rule::Collapsed => {
            testbed.history.inject_fault(ServerFault::Crash(last));
            testbed.history.inject_fault(ServerFault::Start(last));
        }
        _ => {}
    }
    let found = testbed.until("the checker detects the planted violation", |inner| {
        inner.checker.broken.contains_key(&rule)
    });
    found.unwrap_or_else(|fault| panic!("{rule:?}: {fault}"));
}

macro_rules! planted {
    ($($name:ident $rule:ident)*) => { $(
        #[test]
        fn $name() {
            assert_detected(Rule::$rule);
        }
    )*
        const PLANTED: &[Rule] = &[$(Rule::$rule),*];
    };
}

planted! {
    no_answer_is_found_out Unanswered
    two_answers_are_found_out AnsweredTwice
    a_repeated_write_is_found_out Repeated
    a_write_that_ran_twice_is_found_out Doubled
    too_many_attempts_are_found_out TooManyAttempts
    a_cold_server_pushed_over_is_found_out Collapsed
    old_data_is_found_out Stale
    a_drain_not_heeded_is_found_out Drained
    a_value_of_nobody_is_found_out Phantom
    a_refusal_of_what_ran_is_found_out FalseRefusal
    a_request_dropped_is_found_out Lost
}

#[test]
fn a_sound_fleet_breaks_no_rule() {
    let testbed = start(setup(3, 100.0, 2 * SECOND));
    wait_for_answers(&testbed, 50);
    let out = assert_sound(testbed);
    assert_eq!(out.gone, 0);
}

#[test]
fn every_rule_has_its_planted_fault() {
    for rule in invariant_checkers::RULES {
        assert!(
            PLANTED.contains(&rule),
            "{rule:?} has no test with a planted violation"
        );
    }
}
