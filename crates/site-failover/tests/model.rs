//! Model check of the states of sites: three sites of two servers, each of which lives, is slow or dies, seen by an observer that
//! misses much, and a few lies of the kinds that proxies meet, in every order up to a depth.

use site_failover::{EndpointState, Event, Guards, Settings, SiteDetector, SiteState};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(250);
const LOST_AFTER: Duration = TICK;
const LIST_LATE: Duration = Duration::from_millis(500);
const DWELL: Duration = Duration::from_millis(750);
const PROOF: u8 = 3;
const SERVERS: u32 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Truth {
    Up,
    /// Answers now and then; else time runs out.
    Slow,
    /// Its first server alone is dead.
    Half,
    Dead,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Turn(u16, Truth),
    /// A tick in which signs are seen of these servers alone, a bit for each.
    Seen(u8),
    /// All connections to a site are reset at one instant.
    Burst(u16),
    /// The loop stands still, and then finds that all has run out of time, at this site or at all.
    Late(Option<u16>),
    /// Nothing answers for a tick: servers of all sites refuse what is asked.
    Storm,
    /// The list drops a site that lives.
    Dropped(u16),
    Relisted(u16),
    /// An end of the watch, with a list that is empty for that.
    Deaf(u16),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    core: SiteDetector,
    now: Duration,
    ticks: u8,
    faults: u8,
    turns: u8,
    truth: Vec<Truth>,
    /// By site: whether it has been dead since it last served, when it last answered, whether the list has let all of it go,
    /// and answers since it was lost.
    died: Vec<bool>,
    answered: Vec<Duration>,
    dropped: Vec<bool>,
    heard: bool,
    proof: Vec<u8>,
    /// When it last went into or out of `Lost`.
    crossed: Vec<Option<Duration>>,
    state: Vec<SiteState>,
    broken: Vec<&'static str>,
}

struct Fleet {
    guards: Guards,
    sites: u16,
    ticks: u8,
    /// Nothing else is looked for.
    about: Option<&'static str>,
}

const FALSE_LOSS: &str = "no living site is lost";
const ALL_LOST: &str = "never all lost";
const APART: &str = "crossings are apart";
const PROVEN: &str = "whole by proof";
const SETTLES: &str = "it settles";

fn server(site: u16, n: u32) -> u32 {
    u32::from(site) * SERVERS + n
}

impl World {
    fn tell(&mut self, event: Event) {
        self.core.handle(self.now, event);
        self.watch();
    }

    fn watch(&mut self) {
        for at in 0..self.state.len() {
            let (before, now) = (self.state[at], self.core.state(at as u16).unwrap());
            if before == now {
                continue;
            }
            if (before == SiteState::Lost) != (now == SiteState::Lost) {
                if self.crossed[at].is_some_and(|last| self.now - last < DWELL) {
                    self.broken.push(APART);
                }
                self.crossed[at] = Some(self.now);
            }
            if now == SiteState::Lost {
                self.proof[at] = 0;
                // The list is believed about a site that says nothing.
                let quiet = self.now - self.answered[at] >= LIST_LATE;
                if !(self.died[at] || self.dropped[at] && self.heard && quiet) {
                    self.broken.push(FALSE_LOSS);
                }
            }
            if before == SiteState::Returning && now == SiteState::Healthy && self.proof[at] < PROOF
            {
                self.broken.push(PROVEN);
            }
            self.state[at] = now;
        }
        if self.state.iter().all(|state| *state == SiteState::Lost) {
            self.broken.push(ALL_LOST);
        }
    }

    fn answer(&mut self, site: u16, n: u32) {
        let proof = &mut self.proof[usize::from(site)];
        *proof = proof.saturating_add(1).min(PROOF);
        if self.truth[usize::from(site)] != Truth::Dead {
            self.died[usize::from(site)] = false;
        }
        self.answered[usize::from(site)] = self.now;
        self.tell(Event::Answered {
            server: server(site, n),
        });
    }

    /// Time passes, and what is asked of these servers ends.
    fn tick(&mut self, seen: u8) {
        self.now += TICK;
        self.ticks = self.ticks.saturating_add(1);
        for site in 0..self.truth.len() as u16 {
            for n in 0..SERVERS {
                if seen & 1 << server(site, n) == 0 {
                    continue;
                }
                let id = server(site, n);
                match self.truth[usize::from(site)] {
                    Truth::Slow if (u32::from(self.ticks) + n) % 4 != 0 => {
                        self.tell(Event::TimedOut { server: id });
                        self.tell(Event::TimedOut { server: id });
                    }
                    Truth::Half if n == 0 => {
                        self.tell(Event::ConnectFailed { server: id });
                        self.tell(Event::ConnectFailed { server: id });
                    }
                    Truth::Dead => {
                        self.tell(Event::ConnectFailed { server: id });
                        self.tell(Event::Reset { server: id });
                    }
                    Truth::Up | Truth::Slow | Truth::Half => self.answer(site, n),
                }
            }
        }
        self.tell(Event::Tick);
    }

    /// From here on nothing changes and all is seen: each site's state comes to be what it is.
    fn settles(&self) -> bool {
        let mut calm = self.clone();
        calm.heard = true;
        calm.tell(Event::ListUpdated { connected: true });
        for site in 0..calm.truth.len() as u16 {
            calm.list(site, EndpointState::Ready);
        }
        for _ in 0..16 {
            calm.tick(u8::MAX);
        }
        let alive = calm.truth.iter().any(|truth| *truth != Truth::Dead);
        calm.truth
            .iter()
            .zip(&calm.state)
            .all(|(truth, state)| match truth {
                Truth::Up => *state == SiteState::Healthy,
                Truth::Slow => matches!(state, SiteState::Degraded | SiteState::Healthy),
                Truth::Half => *state == SiteState::Degraded,
                // With nothing alive there is nothing to tell it from.
                Truth::Dead => *state == SiteState::Lost || !alive,
            })
    }

    fn list(&mut self, site: u16, listed: EndpointState) {
        self.dropped[usize::from(site)] = listed != EndpointState::Ready;
        for n in 0..SERVERS {
            self.tell(Event::Endpoint {
                server: server(site, n),
                site,
                state: listed,
            });
        }
        self.tell(Event::ListUpdated {
            connected: self.heard,
        });
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let set = Settings {
            lost_after: LOST_AFTER,
            list_late: LIST_LATE,
            return_after: 2 * TICK,
            dwell: DWELL,
            stall: 2 * TICK,
            guards: self.guards,
        };
        let sites = usize::from(self.sites);
        let mut world = World {
            core: SiteDetector::new(set, Duration::ZERO),
            now: Duration::ZERO,
            ticks: 0,
            faults: 0,
            turns: 0,
            truth: vec![Truth::Up; sites],
            died: vec![false; sites],
            answered: vec![Duration::ZERO; sites],
            dropped: vec![false; sites],
            heard: true,
            proof: vec![0; sites],
            crossed: vec![None; sites],
            state: vec![SiteState::Healthy; sites],
            broken: Vec::new(),
        };
        for site in 0..self.sites {
            for n in 0..SERVERS {
                let listed = EndpointState::Ready;
                world.core.handle(
                    Duration::ZERO,
                    Event::Endpoint {
                        server: server(site, n),
                        site,
                        state: listed,
                    },
                );
            }
        }
        // The same, with the first site lost: deeper than paths from the beginning lead.
        let mut lost = self.next_state(&world, Step::Turn(0, Truth::Dead)).unwrap();
        for _ in 0..4 {
            lost.tick(u8::MAX);
        }
        (lost.ticks, lost.turns) = (0, 0);
        vec![world, lost]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.ticks >= self.ticks
            || world
                .broken
                .iter()
                .any(|b| self.about.is_none_or(|a| a == *b))
        {
            return;
        }
        let all = (1 << (u32::from(self.sites) * SERVERS)) - 1;
        // All is seen; nothing of one server; nothing of one site.
        steps.extend([all, all & !0b10, all & !0b11].map(Step::Seen));
        for site in 0..2 {
            if world.turns < 3 {
                let turns = [Truth::Up, Truth::Dead, Truth::Slow, Truth::Half];
                let turns = &turns[..if site == 0 { 4 } else { 2 }];
                let other = |truth: &&Truth| **truth != world.truth[usize::from(site)];
                steps.extend(
                    turns
                        .iter()
                        .filter(other)
                        .map(|truth| Step::Turn(site, *truth)),
                );
            }
        }
        if world.faults == 0 {
            steps.extend([Step::Late(Some(0)), Step::Late(None), Step::Storm]);
            steps.extend([Step::Burst(0), Step::Dropped(0), Step::Deaf(0)]);
        }
        if world.dropped[0] {
            steps.push(Step::Relisted(0));
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        let sites = 0..self.sites;
        match step {
            Step::Turn(site, truth) => {
                world.turns += 1;
                world.truth[usize::from(site)] = truth;
                // A slow site that was dead is dead to this proxy until it answers.
                world.died[usize::from(site)] |= truth == Truth::Dead;
            }
            Step::Seen(seen) => world.tick(seen),
            Step::Burst(site) => {
                world.faults += 1;
                for n in (0..SERVERS).chain(0..SERVERS) {
                    world.tell(Event::Reset {
                        server: server(site, n),
                    });
                }
                // Others go on as they were.
                world.answer((site + 1) % self.sites, 0);
            }
            Step::Late(of) => {
                world.faults += 1;
                world.now += 4 * TICK;
                world.tell(Event::LoopLag(4 * TICK));
                // What was due meanwhile ends now, over more than one turn of the loop.
                for _ in 0..2 {
                    for site in sites.clone().filter(|site| of.is_none_or(|of| of == *site)) {
                        for n in (0..SERVERS).chain(0..SERVERS) {
                            world.tell(Event::ConnectFailed {
                                server: server(site, n),
                            });
                        }
                    }
                    if of.is_some() && world.truth[1] == Truth::Up {
                        world.answer(1, 0);
                    }
                    world.now += LOST_AFTER - Duration::from_millis(1);
                }
                world.now += Duration::from_millis(2);
                world.tell(Event::Tick);
            }
            Step::Storm => {
                world.faults += 1;
                for _ in 0..3 {
                    world.now += TICK;
                    for id in (0..u32::from(self.sites) * SERVERS)
                        .chain(0..u32::from(self.sites) * SERVERS)
                    {
                        world.tell(Event::ConnectFailed { server: id });
                    }
                }
            }
            Step::Dropped(site) => {
                world.faults += 1;
                world.list(site, EndpointState::Draining);
            }
            Step::Relisted(site) => world.list(site, EndpointState::Ready),
            Step::Deaf(site) => {
                world.faults += 1;
                world.heard = false;
                world.tell(Event::ListUpdated { connected: false });
                world.list(site, EndpointState::Draining);
                world.now += LIST_LATE;
                if world.truth[1] != Truth::Dead {
                    world.answer(1, 0);
                }
                world.tell(Event::Tick);
            }
        }
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let mut all = vec![
            Property::always(FALSE_LOSS, |_, w: &World| !w.broken.contains(&FALSE_LOSS)),
            Property::always(ALL_LOST, |_, w: &World| !w.broken.contains(&ALL_LOST)),
            Property::always(APART, |_, w: &World| !w.broken.contains(&APART)),
            Property::always(PROVEN, |_, w: &World| !w.broken.contains(&PROVEN)),
            Property::always(SETTLES, |_, w: &World| w.settles()),
            Property::sometimes("a site is lost", |_, w: &World| {
                w.state.contains(&SiteState::Lost)
            }),
            Property::sometimes("a site returns", |_, w: &World| {
                w.state.contains(&SiteState::Returning)
            }),
        ];
        all.retain(|property| self.about.is_none_or(|about| property.name == about));
        all
    }
}

fn check(
    guards: Guards,
    sites: u16,
    ticks: u8,
    most: usize,
    about: Option<&'static str>,
) -> Vec<&'static str> {
    let fleet = Fleet {
        guards,
        sites,
        ticks,
        about,
    };
    let checker = fleet.checker().threads(3).target_state_count(most);
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
#[ignore = "a minute"]
fn every_order_deeper() {
    let found = check(Guards::ALL, 2, 12, 5_000_000, None);
    assert_eq!(found, ["a site is lost", "a site returns"]);
}

#[test]
fn each_guard_is_missed() {
    let all = Guards::ALL;
    let without = [
        (
            "contrast",
            Guards {
                contrast: false,
                ..all
            },
            FALSE_LOSS,
        ),
        (
            "contrast",
            Guards {
                contrast: false,
                ..all
            },
            ALL_LOST,
        ),
        (
            "witnesses",
            Guards {
                witnesses: false,
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
            APART,
        ),
        (
            "proof",
            Guards {
                return_proof: false,
                ..all
            },
            PROVEN,
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
    for (name, guards, broken) in without {
        print!("without {name}: ");
        let found = check(guards, 2, 9, 300_000, Some(broken));
        assert!(
            found.contains(&broken),
            "nobody notices that {name} is gone"
        );
    }
}
