//! Every order of events, by a model checker: operators, the end, clients, two balancers with intervals of their own
//! and any phase between their clocks and the proxy's.

use drain::{Action, Balancer, Drain, Event, Phase, Settings, Time};
use stateright::{Checker, Model, Property};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(100);
/// Ticks that a run lasts, and those of each balancer between two checks, with its fall.
const CLOCK: u8 = 14;
const BALANCERS: [(u8, u8); 2] = [(2, 2), (3, 1)];
const GIVE_UP: u8 = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Watcher {
    /// Ticks until its next check.
    next: u8,
    /// Checks in a row that told of a drain.
    down: u8,
    sends: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    drain: Drain,
    clock: u8,
    listening: bool,
    told: bool,
    /// Clients at the listener that are not accepted yet.
    waiting: u8,
    owed: u8,
    watchers: Vec<Watcher>,
    /// Words of operators that are left.
    words: u8,
    terminated: bool,
    over: bool,
    given_up: bool,
    /// A client that a balancer sent found the door closed.
    closed_door: bool,
    /// Clients after the end of the announcement.
    undrained_after_end: bool,
    late: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Drain,
    Undrain,
    Terminate,
    /// A client comes by a balancer.
    Client(usize),
    Accept,
    Answer,
    Tick,
}

struct Choreography {
    announce_end: bool,
}

fn time(ticks: u8) -> Time {
    TICK * u32::from(ticks)
}

impl World {
    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.drain.handle(time(self.clock), event, &mut actions);
        let stopped = actions.contains(&Action::StopListening);
        for action in actions {
            match action {
                Action::Announce => self.told = true,
                Action::Retract => self.told = false,
                Action::Listen => {
                    self.undrained_after_end |= self.terminated;
                    self.listening = true;
                }
                Action::StopListening => {
                    self.listening = false;
                    self.owed += std::mem::take(&mut self.waiting);
                }
                Action::EndsAt(_) => {}
                Action::GiveUp => {
                    self.given_up |= self.owed > 0;
                    self.owed = 0;
                }
                Action::End => self.over = true,
            }
        }
        if stopped && !self.over {
            self.tell(Event::Settled(self.owed == 0));
        }
    }
}

impl Model for Choreography {
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
            announce_end: self.announce_end,
            linger: TICK,
            give_up: time(GIVE_UP),
        };
        let world = World {
            drain: Drain::new(settings, Time::ZERO),
            clock: 0,
            listening: true,
            told: false,
            waiting: 0,
            owed: 0,
            watchers: Vec::new(),
            words: 3,
            terminated: false,
            over: false,
            given_up: false,
            closed_door: false,
            undrained_after_end: false,
            late: false,
        };
        // Any phase of either balancer's clock.
        let mut all = Vec::new();
        for a in 1..=BALANCERS[0].0 {
            for b in 1..=BALANCERS[1].0 {
                let watcher = |next| Watcher {
                    next,
                    down: 0,
                    sends: true,
                };
                all.push(World {
                    watchers: vec![watcher(a), watcher(b)],
                    ..world.clone()
                });
            }
        }
        all
    }

    fn actions(&self, world: &World, actions: &mut Vec<Step>) {
        if world.over || world.clock >= CLOCK {
            return;
        }
        actions.push(Step::Tick);
        if world.words > 0 {
            actions.extend([Step::Drain, Step::Undrain]);
        }
        if !world.terminated {
            actions.push(Step::Terminate);
        }
        for (at, watcher) in world.watchers.iter().enumerate() {
            if watcher.sends && world.owed + world.waiting < 2 {
                actions.push(Step::Client(at));
            }
        }
        if world.waiting > 0 {
            actions.push(Step::Accept);
        }
        if world.owed > 0 {
            actions.push(Step::Answer);
        }
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut world = before.clone();
        match step {
            Step::Drain => {
                world.words -= 1;
                world.tell(Event::Drain);
            }
            Step::Undrain => {
                world.words -= 1;
                world.tell(Event::Undrain);
            }
            Step::Terminate => {
                world.terminated = true;
                world.tell(Event::Terminate);
            }
            Step::Client(_) if !world.listening => world.closed_door = true,
            Step::Client(_) => world.waiting += 1,
            Step::Accept => {
                world.waiting -= 1;
                world.owed += 1;
                world.tell(Event::Settled(false));
            }
            Step::Answer => {
                world.owed -= 1;
                let settled = world.owed == 0;
                world.tell(Event::Settled(settled));
            }
            Step::Tick => {
                world.clock += 1;
                for (at, (interval, fall)) in BALANCERS.iter().enumerate() {
                    let told = world.told;
                    let watcher = &mut world.watchers[at];
                    watcher.next -= 1;
                    if watcher.next == 0 {
                        watcher.next = *interval;
                        watcher.down = if told {
                            (watcher.down + 1).min(*fall)
                        } else {
                            0
                        };
                        watcher.sends = watcher.down < *fall;
                    }
                }
                world.tell(Event::Tick);
                let end = time(world.clock);
                world.late |= world.drain.due().is_some_and(|due| due <= end);
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no client that a balancer sends finds the door closed",
                |model: &Self, world: &World| !model.announce_end || !world.closed_door,
            ),
            Property::always(
                "a drain stays told until it is undone",
                |_, world: &World| {
                    let phase = world.drain.phase();
                    world.told == (phase != Phase::Serving)
                },
            ),
            Property::always("the door is open while it serves", |_, world: &World| {
                world.listening
                    || !matches!(
                        world.drain.phase(),
                        Phase::Serving | Phase::Announced { .. }
                    )
            }),
            Property::always(
                "what has been told to end does not come back",
                |_, world: &World| {
                    !(world.undrained_after_end
                        || world.terminated && world.drain.phase() == Phase::Serving)
                },
            ),
            Property::always("nothing is owed when it is over", |_, world: &World| {
                !world.over || world.owed + world.waiting == 0
            }),
            Property::always("nothing is given up but at the end", |_, world: &World| {
                !world.given_up || world.over
            }),
            Property::always("no step is late", |_, world: &World| !world.late),
            Property::always("it ends when it is due", |_, world: &World| {
                // The longest way: announced anew at the end, then given up.
                world.clock < CLOCK
                    || !world.terminated
                    || world.over
                    || world.drain.due() > Some(time(CLOCK))
            }),
            // That these can be reached at all shows that the checks above see something.
            Property::sometimes("it comes back from a drain", |_, world: &World| {
                world.words == 0 && world.listening && !world.told && world.clock > 6
            }),
            Property::sometimes("it ends with nothing given up", |_, world: &World| {
                world.over && !world.given_up
            }),
            Property::sometimes("it ends with something given up", |_, world: &World| {
                world.over && world.given_up
            }),
        ]
    }
}

#[test]
fn with_balancers_told_first() {
    let checker = Choreography { announce_end: true }
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
fn as_the_platform_has_it() {
    Choreography {
        announce_end: false,
    }
    .checker()
    .threads(2)
    .spawn_bfs()
    .join()
    .assert_properties();
}

/// The check can fail: a proxy that waits for one check too few closes the door on clients.
#[test]
fn a_wait_too_short_is_found() {
    struct Hasty(Choreography);
    impl Model for Hasty {
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
                    announce_end: true,
                    linger: TICK,
                    give_up: time(GIVE_UP),
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
            vec![Property::always("door", |_, world: &World| {
                !world.closed_door
            })]
        }
    }
    let checker = Hasty(Choreography { announce_end: true })
        .checker()
        .threads(2)
        .spawn_bfs()
        .join();
    assert!(checker.discovery("door").is_some());
}
