//! Tests of the individual steps of a drain.

use super::*;

const S: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn handle(drain: &mut Drain, now: Time, event: Event) -> Vec<Action> {
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
        announce_termination: true,
        accept_after_stop: 500 * MS,
        drain_timeout: 3 * S,
    }
}

#[test]
fn the_slowest_balancer_is_waited_for() {
    let mut drain = Drain::new(settings(), Time::ZERO);
    assert_eq!(handle(&mut drain, S, Event::Drain), [Action::AnnounceDrain]);
    assert_eq!(drain.next_deadline(), Some(S + 6_500 * MS));
    assert_eq!(handle(&mut drain, 7 * S, Event::Tick), []);
    assert_eq!(
        handle(&mut drain, 7_500 * MS, Event::Tick),
        [Action::StopListening]
    );
    assert_eq!(drain.phase(), Phase::Drained);
    assert_eq!(
        handle(&mut drain, 9 * S, Event::Undrain),
        [Action::StartListening, Action::RetractDrain]
    );
    assert_eq!(drain.phase(), Phase::Serving);
}

/// The termination that the platform specifies for a proxy without balancers: the proxy keeps listening for a while, and
/// exits when every request has its response.
#[test]
fn termination_without_balancers_accepts_for_a_while_and_then_closes() {
    let settings = Settings {
        accept_after_stop: 500 * MS,
        drain_timeout: 3_600 * MS,
        ..Settings::default()
    };
    let mut drain = Drain::new(settings, Time::ZERO);
    let actions = handle(&mut drain, S, Event::Terminate);
    assert_eq!(
        actions,
        [Action::AnnounceDrain, Action::LimitDeadlines(4_600 * MS)]
    );
    assert_eq!(handle(&mut drain, S, Event::IdleChanged(false)), []);
    assert_eq!(
        handle(&mut drain, 1_500 * MS, Event::Tick),
        [Action::StopListening]
    );
    assert_eq!(
        handle(&mut drain, 2 * S, Event::IdleChanged(true)),
        [Action::Exit]
    );
}

#[test]
fn outstanding_requests_are_aborted_at_the_deadline() {
    let mut drain = Drain::new(
        Settings {
            drain_timeout: S,
            ..Settings::default()
        },
        Time::ZERO,
    );
    handle(&mut drain, Time::ZERO, Event::IdleChanged(false));
    handle(&mut drain, Time::ZERO, Event::Terminate);
    assert_eq!(
        handle(&mut drain, S, Event::Tick),
        [Action::AbortOutstanding, Action::Exit]
    );
    assert_eq!(drain.next_deadline(), None);
    assert_eq!(handle(&mut drain, 2 * S, Event::Undrain), []);
}

#[test]
fn termination_during_a_drain_keeps_the_announcement() {
    let mut drain = Drain::new(settings(), Time::ZERO);
    handle(&mut drain, Time::ZERO, Event::Drain);
    assert_eq!(
        handle(&mut drain, 2 * S, Event::Terminate),
        [Action::LimitDeadlines(9_500 * MS)]
    );
    assert_eq!(
        handle(&mut drain, 3 * S, Event::Undrain),
        [],
        "a termination cannot be undone"
    );
    assert_eq!(
        handle(&mut drain, 6_500 * MS, Event::Tick),
        [Action::StopListening]
    );
    assert_eq!(
        handle(&mut drain, 6_500 * MS, Event::IdleChanged(true)),
        [Action::Exit]
    );
}

/// Guards against an exit while a client waits in the backlog: when the proxy stops listening, an earlier report that it is
/// idle must not count. It accepts the client, and exits once it is reported idle again.
#[test]
fn clients_in_the_backlog_are_answered_before_the_end() {
    for accept_after_stop in [Time::ZERO, 500 * MS] {
        let mut drain = Drain::new(
            Settings {
                accept_after_stop,
                drain_timeout: 3 * S,
                ..Settings::default()
            },
            Time::ZERO,
        );
        handle(&mut drain, Time::ZERO, Event::IdleChanged(true));
        let mut actions = handle(&mut drain, Time::ZERO, Event::Terminate);
        actions.extend(handle(&mut drain, accept_after_stop, Event::Tick));
        assert_eq!(
            actions,
            [
                Action::AnnounceDrain,
                Action::LimitDeadlines(3 * S),
                Action::StopListening
            ]
        );
        assert_eq!(
            handle(&mut drain, accept_after_stop, Event::IdleChanged(false)),
            []
        );
        assert_eq!(
            handle(&mut drain, S, Event::IdleChanged(true)),
            [Action::Exit]
        );
    }
}

/// A proxy that is never reported idle still exits at its deadline.
#[test]
fn a_proxy_that_is_never_idle_ends_at_the_deadline() {
    let mut drain = Drain::new(
        Settings {
            drain_timeout: S,
            ..Settings::default()
        },
        Time::ZERO,
    );
    handle(&mut drain, Time::ZERO, Event::Terminate);
    assert_eq!(drain.next_deadline(), Some(S));
    assert_eq!(
        handle(&mut drain, S, Event::Tick),
        [Action::AbortOutstanding, Action::Exit]
    );
}

/// An `accept_after_stop` above the drain timeout is reduced to it, so that the proxy stops listening before it exits and
/// the connections in its backlog are not reset without a response.
#[test]
fn accept_after_stop_is_limited_to_the_drain_timeout() {
    let settings = Settings {
        accept_after_stop: 9 * S,
        drain_timeout: S,
        ..Settings::default()
    };
    let mut drain = Drain::new(settings, Time::ZERO);
    handle(&mut drain, Time::ZERO, Event::Terminate);
    assert_eq!(
        handle(&mut drain, S, Event::Tick),
        [
            Action::StopListening,
            Action::AbortOutstanding,
            Action::Exit
        ]
    );
}
