//! Every order of events, by a model checker: operators, termination, clients, two balancers with different intervals
//! and every phase between their clocks and the proxy's.

use drain::{Action, Balancer, Drain, Event, Phase, Settings, Time};
use stateright::{Checker, Model, Property};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(100);
/// Ticks of a run.
const MAX_TICKS: u8 = 14;
/// For each balancer, the ticks between two checks and its `fall`.
const BALANCERS: [(u8, u8); 2] = [(2, 2), (3, 1)];
const DRAIN_TIMEOUT: u8 = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HealthCheck {
    /// Ticks until its next check.
    next: u8,
    /// Failed checks in a row.
    failed: u8,
    in_rotation: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    drain: Drain,
    clock: u8,
    listening: bool,
    announced: bool,
    /// Clients in the listener's backlog.
    in_backlog: u8,
    outstanding: u8,
    checks: Vec<HealthCheck>,
    /// Operator commands that are left.
    commands_left: u8,
    terminated: bool,
    finished: bool,
    aborted: bool,
    /// A client that a balancer sent found the port closed.
    refused_client: bool,
    /// The proxy listened again after a termination.
    listened_after_termination: bool,
    overdue: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Drain,
    Undrain,
    Terminate,
    /// A client comes by a balancer.
    Client(usize),
    Accept,
    Respond,
    Tick,
}

struct DrainModel {
    announce_termination: bool,
}

fn time(ticks: u8) -> Time {
    TICK * u32::from(ticks)
}

impl World {
    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.drain.handle(time(self.clock), event, &mut actions);
        let stopped = actions.contains(&Action::StopListening);
        for action in actions {
            match action {
                Action::AnnounceDrain => self.announced = true,
                Action::RetractDrain => self.announced = false,
                Action::StartListening => {
                    self.listened_after_termination |= self.terminated;
                    self.listening = true;
                }
                Action::StopListening => {
                    self.listening = false;
                    self.outstanding += std::mem::take(&mut self.in_backlog);
                }
                Action::LimitDeadlines(_) => {}
                Action::AbortOutstanding => {
                    self.aborted |= self.outstanding > 0;
                    self.outstanding = 0;
                }
                Action::Exit => self.finished = true,
            }
        }
        if stopped && !self.finished {
            self.handle(Event::IdleChanged(self.outstanding == 0));
        }
    }
}

impl Model for DrainModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let balancers = BALANCERS.iter().map(|(interval, fall)| Balancer {
            interval: time(*interval),
            fall: u32::from(*fall),
            timeout: Duration::ZERO,
        });
        let settings = Settings {
            balancers: balancers.collect(),
            announce_termination: self.announce_termination,
            accept_after_stop: TICK,
            drain_timeout: time(DRAIN_TIMEOUT),
        };
        let world = World {
            drain: Drain::new(settings, Time::ZERO),
            clock: 0,
            listening: true,
            announced: false,
            in_backlog: 0,
            outstanding: 0,
            checks: Vec::new(),
            commands_left: 3,
            terminated: false,
            finished: false,
            aborted: false,
            refused_client: false,
            listened_after_termination: false,
            overdue: false,
        };
        // Any phase of either balancer's clock.
        let mut worlds = Vec::new();
        for a in 1..=BALANCERS[0].0 {
            for b in 1..=BALANCERS[1].0 {
                let check = |next| HealthCheck {
                    next,
                    failed: 0,
                    in_rotation: true,
                };
                worlds.push(World {
                    checks: vec![check(a), check(b)],
                    ..world.clone()
                });
            }
        }
        worlds
    }

    fn actions(&self, world: &World, actions: &mut Vec<Step>) {
        if world.finished || world.clock >= MAX_TICKS {
            return;
        }
        actions.push(Step::Tick);
        if world.commands_left > 0 {
            actions.extend([Step::Drain, Step::Undrain]);
        }
        if !world.terminated {
            actions.push(Step::Terminate);
        }
        for (at, check) in world.checks.iter().enumerate() {
            if check.in_rotation && world.outstanding + world.in_backlog < 2 {
                actions.push(Step::Client(at));
            }
        }
        if world.in_backlog > 0 {
            actions.push(Step::Accept);
        }
        if world.outstanding > 0 {
            actions.push(Step::Respond);
        }
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut world = before.clone();
        match step {
            Step::Drain => {
                world.commands_left -= 1;
                world.handle(Event::Drain);
            }
            Step::Undrain => {
                world.commands_left -= 1;
                world.handle(Event::Undrain);
            }
            Step::Terminate => {
                world.terminated = true;
                world.handle(Event::Terminate);
            }
            Step::Client(_) if !world.listening => world.refused_client = true,
            Step::Client(_) => world.in_backlog += 1,
            Step::Accept => {
                world.in_backlog -= 1;
                world.outstanding += 1;
                world.handle(Event::IdleChanged(false));
            }
            Step::Respond => {
                world.outstanding -= 1;
                let idle = world.outstanding == 0;
                world.handle(Event::IdleChanged(idle));
            }
            Step::Tick => {
                world.clock += 1;
                for (at, (interval, fall)) in BALANCERS.iter().enumerate() {
                    let announced = world.announced;
                    let check = &mut world.checks[at];
                    check.next -= 1;
                    if check.next == 0 {
                        check.next = *interval;
                        check.failed = if announced {
                            (check.failed + 1).min(*fall)
                        } else {
                            0
                        };
                        check.in_rotation = check.failed < *fall;
                    }
                }
                world.handle(Event::Tick);
                let now = time(world.clock);
                world.overdue |= world.drain.next_deadline().is_some_and(|due| due <= now);
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no client that a balancer sends finds the port closed",
                |model: &Self, world: &World| !model.announce_termination || !world.refused_client,
            ),
            Property::always(
                "a drain stays announced until it is undone",
                |_, world: &World| {
                    let phase = world.drain.phase();
                    world.announced == (phase != Phase::Serving)
                },
            ),
            Property::always("the proxy listens while it serves", |_, world: &World| {
                world.listening
                    || !matches!(
                        world.drain.phase(),
                        Phase::Serving | Phase::Announced { .. }
                    )
            }),
            Property::always("a termination is not undone", |_, world: &World| {
                !(world.listened_after_termination
                    || world.terminated && world.drain.phase() == Phase::Serving)
            }),
            Property::always(
                "nothing is outstanding when it has finished",
                |_, world: &World| !world.finished || world.outstanding + world.in_backlog == 0,
            ),
            Property::always(
                "requests are aborted only at the end",
                |_, world: &World| !world.aborted || world.finished,
            ),
            Property::always("no step is late", |_, world: &World| !world.overdue),
            Property::always("it ends by its deadline", |_, world: &World| {
                // The longest way: announced again at the termination, then aborted.
                world.clock < MAX_TICKS
                    || !world.terminated
                    || world.finished
                    || world.drain.next_deadline() > Some(time(MAX_TICKS))
            }),
            // States that must be reachable, or the checks above would prove nothing.
            Property::sometimes("it comes back from a drain", |_, world: &World| {
                world.commands_left == 0 && world.listening && !world.announced && world.clock > 6
            }),
            Property::sometimes("it ends with nothing aborted", |_, world: &World| {
                world.finished && !world.aborted
            }),
            Property::sometimes("it ends with something aborted", |_, world: &World| {
                world.finished && world.aborted
            }),
        ]
    }
}

#[test]
fn termination_announced_to_balancers() {
    let checker = DrainModel {
        announce_termination: true,
    }
    .checker()
    .threads(2)
    .spawn_bfs()
    .join();
    checker.assert_properties();
    assert!(
        checker.unique_state_count() > 10_000,
        "{} states",
        checker.unique_state_count()
    );
}

#[test]
fn termination_without_announcement() {
    DrainModel {
        announce_termination: false,
    }
    .checker()
    .threads(2)
    .spawn_bfs()
    .join()
    .assert_properties();
}

/// The check can fail: a proxy that expects one health check too few refuses clients.
#[test]
fn a_detection_time_too_short_is_found() {
    struct TooShort(DrainModel);
    impl Model for TooShort {
        type State = World;
        type Action = Step;
        fn init_states(&self) -> Vec<World> {
            let mut worlds = self.0.init_states();
            for world in &mut worlds {
                let settings = Settings {
                    balancers: vec![Balancer {
                        interval: TICK,
                        fall: 2,
                        timeout: Duration::ZERO,
                    }],
                    announce_termination: true,
                    accept_after_stop: TICK,
                    drain_timeout: time(DRAIN_TIMEOUT),
                };
                world.drain = Drain::new(settings, Time::ZERO);
            }
            worlds
        }
        fn actions(&self, world: &World, actions: &mut Vec<Step>) {
            self.0.actions(world, actions);
        }
        fn next_state(&self, before: &World, step: Step) -> Option<World> {
            self.0.next_state(before, step)
        }
        fn properties(&self) -> Vec<Property<Self>> {
            vec![Property::always("port", |_, world: &World| {
                !world.refused_client
            })]
        }
    }
    let checker = TooShort(DrainModel {
        announce_termination: true,
    })
    .checker()
    .threads(2)
    .spawn_bfs()
    .join();
    assert!(checker.discovery("port").is_some());
}
