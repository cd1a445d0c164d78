//! The model on virtual time: its reports for each kind of fault, how soon they follow, and reports that must not occur.

use availability::{
    AttemptOutcome, Availability, Condition, Event, Load, Reason, RejectionCause, Settings, State,
    Time,
};
use proptest::prelude::*;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

/// A proxy that sends `requests_per_s` requests per second to each of its groups, and the behaviour of each group.
struct World {
    model: Availability,
    now: Time,
    groups: Vec<Behaviour>,
    requests_per_s: u32,
    load: Load,
    /// Attempts in flight: time of the end, group, outcome and duration.
    in_flight: Vec<(Time, u32, AttemptOutcome, Duration)>,
    /// Reported states and weights, each with its time; only changes.
    reports: Vec<(Time, State, u8)>,
}

#[derive(Clone, Copy, PartialEq)]
enum Behaviour {
    /// Attempts are answered after about this many milliseconds.
    Answers(u32),
    /// Attempts time out after 1.5 s.
    Silent,
    /// Attempts fail after 2 ms.
    Fails,
    /// Requests are rejected without an attempt.
    Rejects,
}

impl World {
    fn new(groups: usize, requests_per_s: u32) -> World {
        let mut model = Availability::new(Settings::default(), Time::ZERO);
        model.handle(Time::ZERO, Event::Started);
        World {
            model,
            now: Time::ZERO,
            groups: vec![Behaviour::Answers(50); groups],
            requests_per_s,
            load: Load::default(),
            in_flight: Vec::new(),
            reports: Vec::new(),
        }
    }

    /// Advances the time by `span` with requests, answers and load reports, in steps of 5 ms.
    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += 5 * MS;
            let millis = self.now.as_millis() as u32;
            for (at, behaviour) in self.groups.clone().into_iter().enumerate() {
                let group = at as u32;
                let arrivals = (millis * self.requests_per_s / 1_000)
                    - ((millis - 5) * self.requests_per_s / 1_000);
                for n in 0..arrivals {
                    self.model.handle(self.now, Event::RequestArrived { group });
                    if behaviour == Behaviour::Rejects {
                        self.model.handle(
                            self.now,
                            Event::RequestRejected {
                                group,
                                cause: RejectionCause::Servers,
                            },
                        );
                        continue;
                    }
                    self.model.handle(self.now, Event::AttemptSent { group });
                    // Response times vary from 75% to 120%.
                    let scatter = (millis / 5 * 7 + n * 13 + group * 3) % 10;
                    let (outcome, elapsed) = match behaviour {
                        Behaviour::Answers(ms) => (
                            AttemptOutcome::Answered,
                            MS * (ms * (75 + scatter * 5) / 100),
                        ),
                        Behaviour::Silent => (AttemptOutcome::Failed, 1_500 * MS),
                        _ => (AttemptOutcome::Failed, 2 * MS),
                    };
                    self.in_flight
                        .push((self.now + elapsed, group, outcome, elapsed));
                }
            }
            let (ended, in_flight): (Vec<_>, Vec<_>) = self
                .in_flight
                .drain(..)
                .partition(|(at, ..)| *at <= self.now);
            self.in_flight = in_flight;
            for (at, group, outcome, elapsed) in ended {
                self.model.handle(
                    at,
                    Event::AttemptEnded {
                        group,
                        outcome,
                        elapsed,
                    },
                );
                let request_end = match outcome {
                    AttemptOutcome::Answered => Event::RequestServed { group },
                    _ => Event::RequestFailed { group },
                };
                self.model.handle(at, request_end);
            }
            if millis.is_multiple_of(100) {
                self.model.handle(self.now, Event::Load(self.load));
            }
            let report = self.model.report();
            if self
                .reports
                .last()
                .map(|(_, state, weight)| (*state, *weight))
                != Some((report.state, report.weight))
            {
                self.reports.push((self.now, report.state, report.weight));
            }
        }
    }

    fn condition(&self, group: u32) -> Condition {
        self.model.group(group).unwrap().condition
    }

    /// Runs until `holds` is true, and returns the time that this took; panics after `limit`.
    fn run_until(&mut self, limit: Duration, holds: impl Fn(&World) -> bool) -> Duration {
        let start = self.now;
        while !holds(self) {
            assert!(
                self.now - start < limit,
                "the condition does not hold within {limit:?}"
            );
            self.run(5 * MS);
        }
        self.now - start
    }
}

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_hung_and_a_dead_group_show_within_a_second_at_twenty_a_second() {
    for (behaviour, expected) in [
        (Behaviour::Silent, Condition::Hung),
        (Behaviour::Fails, Condition::Dead),
    ] {
        let mut world = World::new(4, 20);
        world.run(30 * SECOND);
        assert_eq!(
            (world.model.report().state, world.model.report().weight),
            (State::Ready, 100)
        );
        world.groups[2] = behaviour;
        let elapsed = world.run_until(SECOND, |w| w.condition(2) == expected);
        world.run(500 * MS);
        let report = *world.model.report();
        assert!(
            matches!(report.state, State::Degraded(15..=35)),
            "{report:?} after {elapsed:?}"
        );
        assert_eq!(report.reason, Reason::Group(2));
        assert!(
            (80..=95).contains(&report.weight),
            "only a quarter of the traffic is lost: {report:?}"
        );
        // The report follows when the group answers again.
        world.groups[2] = Behaviour::Answers(50);
        world.run_until(6 * SECOND, |w| w.condition(2) == Condition::Serving);
        world.run_until(10 * SECOND, |w| {
            w.model.report().state == State::Ready && w.model.report().weight == 100
        });
    }
}

#[test]
fn a_group_without_a_primary_is_detected_by_its_writes() {
    let mut world = World::new(2, 20);
    world.run(10 * SECOND);
    for _ in 0..2 {
        world
            .model
            .handle(world.now, Event::RequestArrived { group: 1 });
        world.model.handle(
            world.now,
            Event::WriteEnded {
                group: 1,
                served: false,
            },
        );
        world.model.handle(
            world.now,
            Event::RequestRejected {
                group: 1,
                cause: RejectionCause::Servers,
            },
        );
    }
    world.run(100 * MS);
    assert_eq!(world.condition(1), Condition::NoPrimary);
    let report = world.model.report();
    assert!(
        matches!(report.state, State::Degraded(1..=5)) && report.weight >= 90,
        "{report:?}"
    );
    assert_eq!(report.reason, Reason::Primary(1));
    world.model.handle(
        world.now,
        Event::WriteEnded {
            group: 1,
            served: true,
        },
    );
    world.run_until(5 * SECOND, |w| w.condition(1) == Condition::Serving);
}

#[test]
fn slowness_of_all_groups_is_a_shared_fault_and_leaves_the_floor() {
    let mut world = World::new(4, 50);
    world.run(60 * SECOND);
    world.reports.clear();
    world.groups = vec![Behaviour::Answers(150); 4];
    // Requests and their descriptors stay open three times as long, which is noticed before the slowness.
    world.load = Load {
        open: 0.95,
        descriptors: 0.99,
        memory: 0.9,
        ..Load::default()
    };
    world.run(20 * SECOND);
    let report = *world.model.report();
    assert!(report.slowness > 2.5, "{report:?}");
    assert!(
        world
            .reports
            .iter()
            .all(|(_, state, weight)| state.serves() && *weight >= 50),
        "{:?}",
        world.reports
    );
    world.groups = vec![Behaviour::Answers(50); 4];
    world.load = Load::default();
    world.run_until(20 * SECOND, |w| {
        w.model.report().state == State::Ready && w.model.report().weight == 100
    });
}

#[test]
fn unavailable_groups_leave_the_floor() {
    for behaviour in [Behaviour::Silent, Behaviour::Fails, Behaviour::Rejects] {
        let mut world = World::new(3, 40);
        world.run(20 * SECOND);
        world.groups = vec![behaviour; 3];
        world.run(20 * SECOND);
        assert!(
            world
                .reports
                .iter()
                .all(|(_, state, weight)| state.serves() && *weight >= 50),
            "{:?}",
            world.reports
        );
        assert!(
            matches!(world.model.report().state, State::Degraded(60..)),
            "{:?}",
            world.model.report()
        );
    }
}

#[test]
fn event_loop_lag_is_an_own_fault() {
    let mut world = World::new(2, 50);
    world.run(10 * SECOND);
    world.load.lag = 300 * MS;
    world.run_until(SECOND, |w| {
        w.model.report().state == State::Overloaded && w.model.report().weight <= 10
    });
    assert_eq!(world.model.report().reason, Reason::Lag);
    world.load.lag = Duration::ZERO;
    let start = world.now;
    world.run_until(20 * SECOND, |w| w.model.report().weight == 100);
    assert!(
        world.now - start >= 4 * SECOND,
        "the weight must take at least 4 s to rise to 100"
    );
}

#[test]
fn one_hung_member_does_not_make_its_group_hung() {
    let mut world = World::new(1, 50);
    world.run(10 * SECOND);
    for n in 0..40_u32 {
        // About every fifth attempt goes to a member that does not answer.
        let at = world.now;
        world.model.handle(at, Event::AttemptSent { group: 0 });
        world
            .in_flight
            .push((at + 1_500 * MS, 0, AttemptOutcome::Failed, 1_500 * MS));
        world.run(100 * MS);
        assert_eq!(
            world.condition(0),
            Condition::Serving,
            "after {n} unanswered attempts"
        );
    }
}

/// Eight requests arrive every two seconds and take three seconds each, so the group is silent for longer than the usual limit.
#[test]
fn a_group_whose_answers_take_seconds_is_not_hung_between_two_of_them() {
    let mut world = World::new(1, 0);
    let send_burst = |world: &mut World, answered: bool| {
        for _ in 0..8 {
            world
                .model
                .handle(world.now, Event::RequestArrived { group: 0 });
            world
                .model
                .handle(world.now, Event::AttemptSent { group: 0 });
            if answered {
                world.in_flight.push((
                    world.now + 3 * SECOND,
                    0,
                    AttemptOutcome::Answered,
                    3 * SECOND,
                ));
            }
        }
    };
    for burst in 0..60 {
        send_burst(&mut world, true);
        for _ in 0..20 {
            world.run(100 * MS);
            // The baseline is learned first.
            assert!(
                burst < 20 || world.condition(0) == Condition::Serving,
                "after {burst} bursts"
            );
        }
    }
    world.run(3 * SECOND);
    // A hang is still detected, after a silence as long as an answer takes.
    send_burst(&mut world, false);
    let detected_after = world.run_until(4 * SECOND, |w| w.condition(0) == Condition::Hung);
    assert!(
        detected_after >= 3 * SECOND - 200 * MS,
        "{detected_after:?}"
    );
}

#[test]
fn a_drain_is_reported_at_once_and_until_undrain() {
    let mut world = World::new(2, 20);
    world.run(5 * SECOND);
    world.model.handle(world.now, Event::Drain);
    assert_eq!(
        (world.model.report().state, world.model.report().weight),
        (State::Draining, 0)
    );
    world.groups[0] = Behaviour::Silent;
    world.run(5 * SECOND);
    world.groups[0] = Behaviour::Answers(50);
    world.load.lag = SECOND;
    world.run(5 * SECOND);
    assert!(world
        .reports
        .iter()
        .skip(1)
        .all(|(_, state, weight)| (*state, *weight) == (State::Draining, 0)));
    world.load.lag = Duration::ZERO;
    world.model.handle(world.now, Event::Undrain);
    assert!(world.model.report().state.serves() && world.model.report().weight > 0);
}

#[test]
fn flapping_servers_change_the_state_a_bounded_number_of_times() {
    let mut world = World::new(1, 40);
    world.run(10 * SECOND);
    world.reports.clear();
    // For a minute the group fails and answers alternately, a second each.
    for n in 0..60 {
        world.groups[0] = if n % 2 == 0 {
            Behaviour::Fails
        } else {
            Behaviour::Answers(50)
        };
        world.run(SECOND);
    }
    let states: Vec<_> = world
        .reports
        .iter()
        .map(|(_, state, _)| std::mem::discriminant(state))
        .collect();
    let changes = states.windows(2).filter(|w| w[0] != w[1]).count();
    assert!(changes <= 14, "{changes} changes of state in a minute");
}

#[test]
fn a_stall_of_the_proxy_itself_makes_no_group_hung() {
    let mut world = World::new(2, 40);
    world.run(10 * SECOND);
    // The model handles no events for five seconds; then all pending attempts end at once.
    let at = world.now + 5 * SECOND;
    for (_, group, outcome, _) in std::mem::take(&mut world.in_flight) {
        world.model.handle(
            at,
            Event::AttemptEnded {
                group,
                outcome,
                elapsed: 5 * SECOND,
            },
        );
    }
    world.now = at;
    world.run(2 * SECOND);
    assert!(
        world
            .reports
            .iter()
            .all(|(_, state, _)| !matches!(state, State::Degraded(60..))),
        "{:?}",
        world.reports
    );
    // A step back of the clock is ignored.
    let before = *world.model.report();
    world.model.handle(SECOND, Event::Tick);
    assert_eq!(world.model.report().since, before.since);
}

#[test]
fn a_lost_discovery_connection_does_not_lower_the_weight() {
    let mut world = World::new(2, 40);
    world.run(5 * SECOND);
    world
        .model
        .handle(world.now, Event::Discovery { connected: false });
    world.run(10 * SECOND);
    let report = world.model.report();
    assert_eq!(
        (report.state, report.weight, report.discovery),
        (State::Ready, 100, false)
    );
}

fn event() -> impl Strategy<Value = (u64, Event)> {
    let group = 0..6_u32;
    let outcome = prop_oneof![
        Just(AttemptOutcome::Answered),
        Just(AttemptOutcome::Rejected),
        Just(AttemptOutcome::Failed),
        Just(AttemptOutcome::Cancelled)
    ];
    let load =
        (0.0..2.0_f64, 0.0..2.0_f64, 0.0..2.0_f64).prop_map(|(open, descriptors, memory)| {
            Event::Load(Load {
                lag: Duration::ZERO,
                open,
                descriptors,
                memory,
            })
        });
    let event = prop_oneof![
        4 => group.clone().prop_map(|group| Event::AttemptSent { group }),
        4 => group.clone().prop_map(|group| Event::RequestArrived { group }),
        1 => group.clone().prop_map(|group| Event::ClientLeft { group }),
        4 => (group.clone(), outcome, 0..3_000_u64).prop_map(|(group, outcome, ms)| Event::AttemptEnded { group, outcome, elapsed: MS * ms as u32 }),
        2 => group.clone().prop_map(|group| Event::RequestServed { group }),
        2 => group.clone().prop_map(|group| Event::RequestFailed { group }),
        2 => group.prop_map(|group| Event::RequestRejected { group, cause: RejectionCause::Servers }),
        1 => Just(Event::Tick),
        1 => any::<bool>().prop_map(|connected| Event::Discovery { connected }),
        1 => load,
    ];
    (0..400_u64, event)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever record servers do, and whatever load slow servers cause: a proxy whose event loop is in time reports at least the floor,
    /// and never a state in which it does not serve.
    #[test]
    fn shared_faults_alone_leave_the_floor(events in proptest::collection::vec(event(), 0..400)) {
        let mut model = Availability::new(Settings::default(), Time::ZERO);
        model.handle(Time::ZERO, Event::Started);
        let mut now = Time::ZERO;
        for (ms, event) in events {
            now += MS * ms as u32;
            model.handle(now, event);
            let report = model.report();
            prop_assert!(report.state.serves() && report.weight >= 50, "{:?}", report);
        }
    }

    /// The proxy serves until it drains, whatever else happens; the weight is never 0 before the drain, and always 0 after it.
    #[test]
    fn only_a_drain_takes_the_proxy_out(events in proptest::collection::vec(event(), 0..300), drained in 0..300_usize) {
        let mut model = Availability::new(Settings::default(), Time::ZERO);
        model.handle(Time::ZERO, Event::Started);
        let mut now = Time::ZERO;
        for (at, (ms, event)) in events.into_iter().enumerate() {
            now += MS * ms as u32;
            if at == drained {
                model.handle(now, Event::Drain);
            }
            model.handle(now, event);
            let report = model.report();
            prop_assert_eq!(report.state.serves(), at < drained);
            prop_assert_eq!(report.weight > 0, at < drained);
        }
    }

    /// More own load never increases the weight.
    #[test]
    fn weight_falls_with_own_load(
        a in (0..400_u64, 0.0..1.2_f64, 0.0..1.2_f64, 0.0..1.2_f64),
        more in (0..400_u64, 0.0..1.0_f64, 0.0..1.0_f64, 0.0..1.0_f64),
    ) {
        let weight = |load: Load| {
            let mut model = Availability::new(Settings::default(), Time::ZERO);
            model.handle(Time::ZERO, Event::Started);
            model.handle(SECOND, Event::Load(load));
            model.report().weight
        };
        let load = Load { lag: MS * a.0 as u32, open: a.1, descriptors: a.2, memory: a.3 };
        let heavier = Load {
            lag: load.lag + MS * more.0 as u32,
            open: load.open + more.1,
            descriptors: load.descriptors + more.2,
            memory: load.memory + more.3,
        };
        prop_assert!(weight(heavier) <= weight(load));
    }

    /// The state changes at most 20 times a minute, whatever happens.
    #[test]
    fn changes_are_bounded(events in proptest::collection::vec(event(), 400..800)) {
        let mut model = Availability::new(Settings::default(), Time::ZERO);
        model.handle(Time::ZERO, Event::Started);
        let (mut now, mut changes) = (Time::ZERO, Vec::new());
        let mut state = std::mem::discriminant(&model.report().state);
        for (ms, event) in events {
            now += MS * (ms / 2) as u32;
            model.handle(now, event);
            let next = std::mem::discriminant(&model.report().state);
            if next != state {
                changes.push(now);
                state = next;
            }
        }
        for (at, start) in changes.iter().enumerate() {
            let inside = changes[at..].iter().take_while(|t| **t - *start < 60 * SECOND).count();
            prop_assert!(inside <= 20, "{} changes of state in a minute", inside);
        }
    }
}
