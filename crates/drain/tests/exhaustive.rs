//! Model check (stateright) of a drain in every order of operator commands, termination and client requests, with two
//! balancers that have different intervals and every offset between their clocks and the proxy's.

use drain::{Action, Balancer, Drain, Event, Phase, Settings, Time};
use stateright::{Checker, Model, Property};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(100);
/// Length of a run in ticks.
const MAX_TICKS: u8 = 14;
/// For each balancer, the interval between two checks in ticks, and its `fall`.
const BALANCERS: [(u8, u8); 2] = [(2, 2), (3, 1)];
/// Drain timeout in ticks.
const DRAIN_TIMEOUT: u8 = 3;

/// The health check of one balancer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HealthCheck {
    /// Ticks until the next check.
    next: u8,
    /// Number of consecutive failed checks.
    failed: u8,
    in_rotation: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    drain: Drain,
    clock: u8,
    listening: bool,
    announced: bool,
    /// Number of clients in the listener's backlog.
    in_backlog: u8,
    outstanding: u8,
    checks: Vec<HealthCheck>,
    /// Number of operator commands that may still occur.
    commands_left: u8,
    terminated: bool,
    finished: bool,
    aborted: bool,
    /// Whether a connection from a balancer was refused.
    refused_client: bool,
    /// Whether the proxy started listening again after a termination.
    listened_after_termination: bool,
    overdue: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Drain,
    Undrain,
    Terminate,
    /// A client connects through the balancer with this index.
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
        // Every offset of either balancer's clock.
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
                "no connection from a balancer is refused",
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
                "nothing is outstanding after the exit",
                |_, world: &World| !world.finished || world.outstanding + world.in_backlog == 0,
            ),
            Property::always(
                "requests are aborted only at the end",
                |_, world: &World| !world.aborted || world.finished,
            ),
            Property::always("no step is overdue", |_, world: &World| !world.overdue),
            Property::always("the proxy exits by its deadline", |_, world: &World| {
                // The longest case: the termination is announced in full, and then requests are aborted.
                world.clock < MAX_TICKS
                    || !world.terminated
                    || world.finished
                    || world.drain.next_deadline() > Some(time(MAX_TICKS))
            }),
            // These states must be reachable; otherwise the properties above could hold vacuously.
            Property::sometimes("the proxy returns to service", |_, world: &World| {
                world.commands_left == 0 && world.listening && !world.announced && world.clock > 6
            }),
            Property::sometimes("it exits with nothing aborted", |_, world: &World| {
                world.finished && !world.aborted
            }),
            Property::sometimes("it exits with something aborted", |_, world: &World| {
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

/// Verifies that the model can detect refused clients: a proxy that waits for one health check too few must refuse some.
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
