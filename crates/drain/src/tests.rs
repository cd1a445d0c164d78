//! The steps of a drain, one by one.

use super::*;

const S: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn acts(drain: &mut Drain, now: Time, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    drain.handle(now, event, &mut actions);
    actions
}

fn settings() -> Settings {
    let balancer = |interval, fall| Balancer {
        interval,
        fall,
        timeout: 500 * MS,
    };
    Settings {
        balancers: vec![balancer(2 * S, 3), balancer(5 * S, 1)],
        announce_end: true,
        linger: 500 * MS,
        give_up: 3 * S,
    }
}

#[test]
fn the_slowest_balancer_is_waited_for() {
    let mut drain = Drain::new(settings(), Time::ZERO);
    assert_eq!(acts(&mut drain, S, Event::Drain), [Action::Announce]);
    assert_eq!(drain.due(), Some(S + 6_500 * MS));
    assert_eq!(acts(&mut drain, 7 * S, Event::Tick), []);
    assert_eq!(
        acts(&mut drain, 7_500 * MS, Event::Tick),
        [Action::StopListening]
    );
    assert_eq!(drain.phase(), Phase::Drained);
    assert_eq!(
        acts(&mut drain, 9 * S, Event::Undrain),
        [Action::Listen, Action::Retract]
    );
    assert_eq!(drain.phase(), Phase::Serving);
}

/// The platform's way, to the letter: listening goes on for a while, and the end comes when all is answered.
#[test]
fn without_balancers_the_end_is_as_it_was() {
    let set = Settings {
        linger: 500 * MS,
        give_up: 3_600 * MS,
        ..Settings::default()
    };
    let mut drain = Drain::new(set, Time::ZERO);
    let told = acts(&mut drain, S, Event::Terminate);
    assert_eq!(told, [Action::Announce, Action::EndsAt(4_600 * MS)]);
    assert_eq!(acts(&mut drain, S, Event::Settled(false)), []);
    assert_eq!(
        acts(&mut drain, 1_500 * MS, Event::Tick),
        [Action::StopListening]
    );
    assert_eq!(acts(&mut drain, 2 * S, Event::Settled(true)), [Action::End]);
}

#[test]
fn what_is_owed_at_the_end_is_given_up() {
    let mut drain = Drain::new(
        Settings {
            give_up: S,
            ..Settings::default()
        },
        Time::ZERO,
    );
    acts(&mut drain, Time::ZERO, Event::Settled(false));
    acts(&mut drain, Time::ZERO, Event::Terminate);
    assert_eq!(
        acts(&mut drain, S, Event::Tick),
        [Action::GiveUp, Action::End]
    );
    assert_eq!(drain.due(), None);
    assert_eq!(acts(&mut drain, 2 * S, Event::Undrain), []);
}

#[test]
fn an_end_in_the_middle_of_a_drain_keeps_what_was_announced() {
    let mut drain = Drain::new(settings(), Time::ZERO);
    acts(&mut drain, Time::ZERO, Event::Drain);
    assert_eq!(
        acts(&mut drain, 2 * S, Event::Terminate),
        [Action::EndsAt(9_500 * MS)]
    );
    assert_eq!(
        acts(&mut drain, 3 * S, Event::Undrain),
        [],
        "it has been told to end"
    );
    assert_eq!(
        acts(&mut drain, 6_500 * MS, Event::Tick),
        [Action::StopListening]
    );
    assert_eq!(
        acts(&mut drain, 6_500 * MS, Event::Settled(true)),
        [Action::End]
    );
}

/// A connection that waits at the listener is taken with its last word: whether all is settled is told after that.
#[test]
fn what_waits_at_the_listener_is_answered_before_the_end() {
    for linger in [Time::ZERO, 500 * MS] {
        let mut drain = Drain::new(
            Settings {
                linger,
                give_up: 3 * S,
                ..Settings::default()
            },
            Time::ZERO,
        );
        acts(&mut drain, Time::ZERO, Event::Settled(true));
        let mut told = acts(&mut drain, Time::ZERO, Event::Terminate);
        told.extend(acts(&mut drain, linger, Event::Tick));
        assert_eq!(
            told,
            [
                Action::Announce,
                Action::EndsAt(3 * S),
                Action::StopListening
            ]
        );
        assert_eq!(acts(&mut drain, linger, Event::Settled(false)), []);
        assert_eq!(acts(&mut drain, S, Event::Settled(true)), [Action::End]);
    }
}

/// Nobody says that all is settled: it ends in time even so.
#[test]
fn an_end_that_nobody_settles_comes_in_time() {
    let mut drain = Drain::new(
        Settings {
            give_up: S,
            ..Settings::default()
        },
        Time::ZERO,
    );
    acts(&mut drain, Time::ZERO, Event::Terminate);
    assert_eq!(drain.due(), Some(S));
    assert_eq!(
        acts(&mut drain, S, Event::Tick),
        [Action::GiveUp, Action::End]
    );
}

/// Told to linger beyond the end, it stops listening before that: who waits at the listener is not just cut off.
#[test]
fn a_linger_beyond_the_end_is_cut_to_it() {
    let set = Settings {
        linger: 9 * S,
        give_up: S,
        ..Settings::default()
    };
    let mut drain = Drain::new(set, Time::ZERO);
    acts(&mut drain, Time::ZERO, Event::Terminate);
    assert_eq!(
        acts(&mut drain, S, Event::Tick),
        [Action::StopListening, Action::GiveUp, Action::End]
    );
}
