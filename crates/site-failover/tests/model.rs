//! Model check of the site detector: two or three sites of two servers, which change their conditions, observed by a proxy that
//! misses some answers and meets misleading evidence (bursts of resets, stalls, failures of all sites, wrong endpoint lists), in
//! every order up to a depth.

use site_failover::{EndpointState, Event, Guards, Settings, SiteDetector, SiteState};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(250);
const LOST_AFTER: Duration = TICK;
const LIST_LATE: Duration = Duration::from_millis(500);
const DWELL: Duration = Duration::from_millis(750);
const RETURN_ANSWERS: u8 = 3;
const SERVERS_PER_SITE: u32 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Condition {
    Up,
    /// Some requests are answered, the others time out.
    Slow,
    /// Only the first server is dead.
    PartlyDown,
    Dead,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    ChangeCondition(u16, Condition),
    /// A tick in which only the servers of the given bits are observed.
    Tick(u8),
    /// All connections to a site are reset at the same time.
    ResetBurst(u16),
    /// The event loop stalls, and afterwards all connections of the given site, or of all sites, have failed.
    Stall(Option<u16>),
    /// Connections to the servers of all sites fail for three ticks.
    FailAllSites,
    /// The endpoint list marks all servers of a site as draining, whatever their condition.
    Unlist(u16),
    Relist(u16),
    /// The watch on the endpoint list is lost, with a last list that marks all servers of a site as draining.
    LoseWatch(u16),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    detector: SiteDetector,
    now: Duration,
    ticks: u8,
    faults: u8,
    condition_changes: u8,
    conditions: Vec<Condition>,
    /// By site: whether it has been dead since it last answered.
    dead_since_answer: Vec<bool>,
    /// By site: when it last answered.
    answered_at: Vec<Duration>,
    /// By site: whether the endpoint list marks all of its servers as draining.
    unlisted: Vec<bool>,
    list_connected: bool,
    /// By site: answers since it was lost, at most [`RETURN_ANSWERS`].
    answers_since_loss: Vec<u8>,
    /// By site: when its state last changed to or from `Lost`.
    loss_changed_at: Vec<Option<Duration>>,
    states: Vec<SiteState>,
    violations: Vec<&'static str>,
}

struct SitesModel {
    guards: Guards,
    sites: u16,
    ticks: u8,
    /// The only property to check; none: all properties.
    property: Option<&'static str>,
}

const FALSE_LOSS: &str = "no living site is lost";
const ALL_LOST: &str = "not all sites are lost";
const DWELL_KEPT: &str = "changes to and from the lost state are apart by the dwell time";
const RETURN_PROVEN: &str = "a returning site is healthy only after enough answers";
const CONVERGES: &str = "states converge to the conditions";

fn server(site: u16, n: u32) -> u32 {
    u32::from(site) * SERVERS_PER_SITE + n
}

impl World {
    fn handle(&mut self, event: Event) {
        self.detector.handle(self.now, event);
        self.check_transitions();
    }

    fn check_transitions(&mut self) {
        for at in 0..self.states.len() {
            let (before, now) = (self.states[at], self.detector.state(at as u16).unwrap());
            if before == now {
                continue;
            }
            if (before == SiteState::Lost) != (now == SiteState::Lost) {
                if self.loss_changed_at[at].is_some_and(|last| self.now - last < DWELL) {
                    self.violations.push(DWELL_KEPT);
                }
                self.loss_changed_at[at] = Some(self.now);
            }
            if now == SiteState::Lost {
                self.answers_since_loss[at] = 0;
                // The list alone may make a site lost that has not answered for its longest delay.
                let is_silent = self.now - self.answered_at[at] >= LIST_LATE;
                if !(self.dead_since_answer[at]
                    || self.unlisted[at] && self.list_connected && is_silent)
                {
                    self.violations.push(FALSE_LOSS);
                }
            }
            if before == SiteState::Returning
                && now == SiteState::Healthy
                && self.answers_since_loss[at] < RETURN_ANSWERS
            {
                self.violations.push(RETURN_PROVEN);
            }
            self.states[at] = now;
        }
        if self.states.iter().all(|state| *state == SiteState::Lost) {
            self.violations.push(ALL_LOST);
        }
    }

    fn answer(&mut self, site: u16, n: u32) {
        let answers = &mut self.answers_since_loss[usize::from(site)];
        *answers = answers.saturating_add(1).min(RETURN_ANSWERS);
        if self.conditions[usize::from(site)] != Condition::Dead {
            self.dead_since_answer[usize::from(site)] = false;
        }
        self.answered_at[usize::from(site)] = self.now;
        self.handle(Event::Answered {
            server: server(site, n),
        });
    }

    /// Advances the time by a tick; requests to the observed servers end according to the conditions of their sites.
    fn tick(&mut self, observed: u8) {
        self.now += TICK;
        self.ticks = self.ticks.saturating_add(1);
        for site in 0..self.conditions.len() as u16 {
            for n in 0..SERVERS_PER_SITE {
                if observed & 1 << server(site, n) == 0 {
                    continue;
                }
                let id = server(site, n);
                match self.conditions[usize::from(site)] {
                    Condition::Slow if (u32::from(self.ticks) + n) % 4 != 0 => {
                        self.handle(Event::TimedOut { server: id });
                        self.handle(Event::TimedOut { server: id });
                    }
                    Condition::PartlyDown if n == 0 => {
                        self.handle(Event::ConnectFailed { server: id });
                        self.handle(Event::ConnectFailed { server: id });
                    }
                    Condition::Dead => {
                        self.handle(Event::ConnectFailed { server: id });
                        self.handle(Event::Reset { server: id });
                    }
                    Condition::Up | Condition::Slow | Condition::PartlyDown => self.answer(site, n),
                }
            }
        }
        self.handle(Event::Tick);
    }

    /// Whether the state of each site comes to match its condition when no condition changes any more and all servers are observed.
    fn converges(&self) -> bool {
        let mut world = self.clone();
        world.list_connected = true;
        world.handle(Event::ListUpdated { connected: true });
        for site in 0..world.conditions.len() as u16 {
            world.set_listed(site, EndpointState::Ready);
        }
        for _ in 0..16 {
            world.tick(u8::MAX);
        }
        let any_alive = world
            .conditions
            .iter()
            .any(|condition| *condition != Condition::Dead);
        world
            .conditions
            .iter()
            .zip(&world.states)
            .all(|(condition, state)| match condition {
                Condition::Up => *state == SiteState::Healthy,
                Condition::Slow => matches!(state, SiteState::Degraded | SiteState::Healthy),
                Condition::PartlyDown => *state == SiteState::Degraded,
                // Without a living site there is no other site whose answers would show the loss.
                Condition::Dead => *state == SiteState::Lost || !any_alive,
            })
    }

    fn set_listed(&mut self, site: u16, endpoint_state: EndpointState) {
        self.unlisted[usize::from(site)] = endpoint_state != EndpointState::Ready;
        for n in 0..SERVERS_PER_SITE {
            self.handle(Event::Endpoint {
                server: server(site, n),
                site,
                state: endpoint_state,
            });
        }
        self.handle(Event::ListUpdated {
            connected: self.list_connected,
        });
    }
}

impl Model for SitesModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let settings = Settings {
            lost_after: LOST_AFTER,
            list_late: LIST_LATE,
            return_after: 2 * TICK,
            dwell: DWELL,
            stall: 2 * TICK,
            guards: self.guards,
        };
        let sites = usize::from(self.sites);
        let mut world = World {
            detector: SiteDetector::new(settings, Duration::ZERO),
            now: Duration::ZERO,
            ticks: 0,
            faults: 0,
            condition_changes: 0,
            conditions: vec![Condition::Up; sites],
            dead_since_answer: vec![false; sites],
            answered_at: vec![Duration::ZERO; sites],
            unlisted: vec![false; sites],
            list_connected: true,
            answers_since_loss: vec![0; sites],
            loss_changed_at: vec![None; sites],
            states: vec![SiteState::Healthy; sites],
            violations: Vec::new(),
        };
        for site in 0..self.sites {
            for n in 0..SERVERS_PER_SITE {
                let endpoint_state = EndpointState::Ready;
                world.detector.handle(
                    Duration::ZERO,
                    Event::Endpoint {
                        server: server(site, n),
                        site,
                        state: endpoint_state,
                    },
                );
            }
        }
        // A second initial state, with the first site lost, reaches states beyond the depth of paths from the first one.
        let mut lost = self
            .next_state(&world, Step::ChangeCondition(0, Condition::Dead))
            .unwrap();
        for _ in 0..4 {
            lost.tick(u8::MAX);
        }
        (lost.ticks, lost.condition_changes) = (0, 0);
        vec![world, lost]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.ticks >= self.ticks
            || world
                .violations
                .iter()
                .any(|v| self.property.is_none_or(|only| only == *v))
        {
            return;
        }
        let all = (1 << (u32::from(self.sites) * SERVERS_PER_SITE)) - 1;
        // All servers are observed; all but one server; all but one site.
        steps.extend([all, all & !0b10, all & !0b11].map(Step::Tick));
        for site in 0..2 {
            if world.condition_changes < 3 {
                let targets = [
                    Condition::Up,
                    Condition::Dead,
                    Condition::Slow,
                    Condition::PartlyDown,
                ];
                let targets = &targets[..if site == 0 { 4 } else { 2 }];
                let other =
                    |condition: &&Condition| **condition != world.conditions[usize::from(site)];
                steps.extend(
                    targets
                        .iter()
                        .filter(other)
                        .map(|condition| Step::ChangeCondition(site, *condition)),
                );
            }
        }
        if world.faults == 0 {
            steps.extend([Step::Stall(Some(0)), Step::Stall(None), Step::FailAllSites]);
            steps.extend([Step::ResetBurst(0), Step::Unlist(0), Step::LoseWatch(0)]);
        }
        if world.unlisted[0] {
            steps.push(Step::Relist(0));
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        let sites = 0..self.sites;
        match step {
            Step::ChangeCondition(site, condition) => {
                world.condition_changes += 1;
                world.conditions[usize::from(site)] = condition;
                // A slow site that was dead counts as dead until it answers this proxy.
                world.dead_since_answer[usize::from(site)] |= condition == Condition::Dead;
            }
            Step::Tick(observed) => world.tick(observed),
            Step::ResetBurst(site) => {
                world.faults += 1;
                for n in (0..SERVERS_PER_SITE).chain(0..SERVERS_PER_SITE) {
                    world.handle(Event::Reset {
                        server: server(site, n),
                    });
                }
                // The next site still answers.
                world.answer((site + 1) % self.sites, 0);
            }
            Step::Stall(of) => {
                world.faults += 1;
                world.now += 4 * TICK;
                world.handle(Event::LoopLag(4 * TICK));
                // Requests that were due during the stall end now, over two iterations of the event loop.
                for _ in 0..2 {
                    for site in sites.clone().filter(|site| of.is_none_or(|of| of == *site)) {
                        for n in (0..SERVERS_PER_SITE).chain(0..SERVERS_PER_SITE) {
                            world.handle(Event::ConnectFailed {
                                server: server(site, n),
                            });
                        }
                    }
                    if of.is_some() && world.conditions[1] == Condition::Up {
                        world.answer(1, 0);
                    }
                    world.now += LOST_AFTER - Duration::from_millis(1);
                }
                world.now += Duration::from_millis(2);
                world.handle(Event::Tick);
            }
            Step::FailAllSites => {
                world.faults += 1;
                for _ in 0..3 {
                    world.now += TICK;
                    for id in (0..u32::from(self.sites) * SERVERS_PER_SITE)
                        .chain(0..u32::from(self.sites) * SERVERS_PER_SITE)
                    {
                        world.handle(Event::ConnectFailed { server: id });
                    }
                }
            }
            Step::Unlist(site) => {
                world.faults += 1;
                world.set_listed(site, EndpointState::Draining);
            }
            Step::Relist(site) => world.set_listed(site, EndpointState::Ready),
            Step::LoseWatch(site) => {
                world.faults += 1;
                world.list_connected = false;
                world.handle(Event::ListUpdated { connected: false });
                world.set_listed(site, EndpointState::Draining);
                world.now += LIST_LATE;
                if world.conditions[1] != Condition::Dead {
                    world.answer(1, 0);
                }
                world.handle(Event::Tick);
            }
        }
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let mut all = vec![
            Property::always(FALSE_LOSS, |_, w: &World| {
                !w.violations.contains(&FALSE_LOSS)
            }),
            Property::always(ALL_LOST, |_, w: &World| !w.violations.contains(&ALL_LOST)),
            Property::always(DWELL_KEPT, |_, w: &World| {
                !w.violations.contains(&DWELL_KEPT)
            }),
            Property::always(RETURN_PROVEN, |_, w: &World| {
                !w.violations.contains(&RETURN_PROVEN)
            }),
            Property::always(CONVERGES, |_, w: &World| w.converges()),
            Property::sometimes("a site is lost", |_, w: &World| {
                w.states.contains(&SiteState::Lost)
            }),
            Property::sometimes("a site returns", |_, w: &World| {
                w.states.contains(&SiteState::Returning)
            }),
        ];
        all.retain(|property| self.property.is_none_or(|only| property.name == only));
        all
    }
}

fn check(
    guards: Guards,
    sites: u16,
    ticks: u8,
    max_states: usize,
    property: Option<&'static str>,
) -> Vec<&'static str> {
    let model = SitesModel {
        guards,
        sites,
        ticks,
        property,
    };
    let checker = model.checker().threads(3).target_state_count(max_states);
    let checker = checker
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let mut found = Vec::new();
    for (name, path) in checker.discoveries() {
        println!("{name}: {:?}", path.into_actions());
        found.push(name);
    }
    found.sort_unstable();
    println!(
        "{} states, depth {}: {found:?}",
        checker.unique_state_count(),
        checker.max_depth()
    );
    found
}

#[test]
fn every_order() {
    for sites in [2, 3] {
        let found = check(Guards::ALL, sites, 9, 300_000, None);
        assert_eq!(found, ["a site is lost", "a site returns"], "{sites} sites");
    }
}

#[test]
#[ignore = "takes a minute"]
fn every_order_deeper() {
    let found = check(Guards::ALL, 2, 12, 5_000_000, None);
    assert_eq!(found, ["a site is lost", "a site returns"]);
}

#[test]
fn removing_a_guard_is_detected() {
    let all = Guards::ALL;
    let without = [
        (
            "contrast",
            Guards {
                site_specific: false,
                ..all
            },
            FALSE_LOSS,
        ),
        (
            "contrast",
            Guards {
                site_specific: false,
                ..all
            },
            ALL_LOST,
        ),
        (
            "witnesses",
            Guards {
                min_down_servers: false,
                ..all
            },
            FALSE_LOSS,
        ),
        ("span", Guards { span: false, ..all }, FALSE_LOSS),
        (
            "late",
            Guards {
                stall: false,
                ..all
            },
            FALSE_LOSS,
        ),
        (
            "dwell",
            Guards {
                dwell: false,
                ..all
            },
            DWELL_KEPT,
        ),
        (
            "proof",
            Guards {
                return_proof: false,
                ..all
            },
            RETURN_PROVEN,
        ),
        (
            "list",
            Guards {
                list_delay: false,
                ..all
            },
            FALSE_LOSS,
        ),
        (
            "soft",
            Guards {
                timeouts: false,
                ..all
            },
            FALSE_LOSS,
        ),
    ];
    for (name, guards, violation) in without {
        print!("without {name}: ");
        let found = check(guards, 2, 9, 300_000, Some(violation));
        assert!(
            found.contains(&violation),
            "the model check does not detect that the guard {name} is disabled"
        );
    }
}
