//! What a proxy may truthfully tell the balancers in front of it: a state and a weight from 0 to 100.
//!
//! The model hears how attempts and answers ended, of the proxy's own load, and of being drained. It never decides
//! where a request goes. Its first concern is to tell **own trouble** from **shared trouble**: what record servers do
//! is seen by every proxy alike, and if all of them called themselves dead for it the balancers would have nowhere
//! left.
//!
//! **The rule.** While it serves, a proxy's weight is 100 x own x shared, where
//! - `own` falls with signals that only this proxy's own state can cause (how late its loop runs), down to `least`;
//! - `shared` falls with the part of its traffic that record servers do not serve, down to `floor`;
//! - a link to a place that is proven to be cut takes the part of the attempts that went there, down to `cut_floor`
//!   (see [`Link`]);
//! - signals that slow record servers or a crowd at every door can cause as well (open requests, descriptors, memory)
//!   count as own, less the part that slower answers explain, but never below `floor`: they show before the slowness
//!   itself does, so waiting for proof of shared trouble would come too late.
//!
//! So, whatever record servers and clients do, a proxy whose loop is in time (and has been for as long as its weight
//! takes to rise) tells at least 100 x `floor`, or 100 x `cut_floor` while it is proven that servers work which it can't
//! reach; and only a proxy that is drained, stopping or not yet started tells 0.
//! Tests hold the model to it over random events.

mod group;
mod latency;
mod link;

pub use group::{Condition, GroupState};
pub use health_state::State;
pub use link::{Link, PLACES_LIMIT, SERVERS_LIMIT};

use group::Group;
use link::Links;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time since an origin of the caller's, on a clock that does not go back. If it does, it stands.
pub type Time = Duration;

/// Groups that are told apart; requests of further ones count for nothing here.
pub const GROUPS_LIMIT: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Least part that anything but the loop's own lag leaves.
    pub floor: f64,
    /// Least part that own trouble leaves.
    pub least: f64,
    /// Least part that a cut link leaves, together with what is shared.
    pub cut_floor: f64,
    /// The list of servers is late by this at the most.
    pub list_late: Duration,
    /// A lost primary is replaced no sooner than this.
    pub election: Duration,
    /// The loop's lag at which weight begins to fall, and at which it is at its least.
    pub lag: (Duration, Duration),
    /// The same for parts of a limit in use: open requests, descriptors, memory.
    pub use_of_limits: (f64, f64),
    /// Under the first the proxy is overloaded, over the second no longer.
    pub overload: (f64, f64),
    /// A state is kept for this long before one that is better takes its place; doubled for a proxy that flaps.
    pub dwell: Duration,
    /// Points that a weight rises in a second; it falls at once.
    pub rise: f64,
    /// Weights are told in steps of this.
    pub step: u8,
    /// A group is hung if it owes an answer, this many requests or attempts wait for it, and it gave none for longer
    /// than `silence`, or four times what its answers usually take.
    pub owed: u32,
    pub silence: Duration,
    /// Hard failures in a row, with no answer between, after which a group counts as dead.
    pub failures: u32,
    /// Between two events more time than this has not been seen, but slept through.
    pub gap: Duration,
}

impl Settings {
    fn links(&self) -> link::Settings {
        link::Settings {
            silence: self.silence,
            list_late: self.list_late,
            election: self.election,
        }
    }
}

impl Default for Settings {
    fn default() -> Settings {
        let ms = Duration::from_millis;
        Settings {
            floor: 0.5,
            least: 0.05,
            cut_floor: 0.25,
            list_late: ms(10_000),
            election: ms(2_000),
            lag: (ms(10), ms(200)),
            use_of_limits: (0.8, 0.98),
            overload: (0.6, 0.75),
            dwell: ms(2_000),
            rise: 20.0,
            step: 5,
            owed: 4,
            silence: ms(350),
            failures: 4,
            gap: ms(1_500),
        }
    }
}

/// How an attempt at a record server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It answered, whatever it said: it is there.
    Answered,
    /// It would not take the request: full, draining, not the primary.
    TurnedAway,
    /// It broke, could not be reached or said nothing until the attempt's time was over.
    Broken,
    /// The proxy lost interest.
    CalledOff,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The module found no room or no server.
    Servers,
    /// A limit of the proxy's own or the operators' file.
    Own,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// Listening, with a list of record servers or without one.
    Started,
    /// A request has been taken in; its final answer follows, or its client leaves.
    Asked {
        group: u32,
    },
    Left {
        group: u32,
    },
    /// An attempt has left for a group.
    Sent {
        group: u32,
    },
    /// One is over; `elapsed` from its send.
    Ended {
        group: u32,
        how: Ended,
        elapsed: Duration,
    },
    /// A request had its final answer.
    Served {
        group: u32,
    },
    Refused {
        group: u32,
        cause: Cause,
    },
    Failed {
        group: u32,
    },
    /// A write had its final answer, told beside the events above: what only a primary can do shows whether there is
    /// one.
    Wrote {
        group: u32,
        served: bool,
    },
    /// The list's word on a server, and that the list was heard, whatever it said.
    Listed {
        server: u32,
        place: u16,
        group: u32,
        there: bool,
    },
    ListHeard,
    /// Exchanges with a server, for requests or probes: begun, and over. `word`: something came of its machine, if
    /// only a refusal or the end of a connection.
    Asks {
        server: u32,
    },
    Over {
        server: u32,
        word: bool,
    },
    /// A connection to a server is begun; one has come up.
    Dials {
        server: u32,
    },
    Word {
        server: u32,
    },
    /// A server tells how far it has the log, and whether it is the primary.
    Told {
        server: u32,
        position: Option<Time>,
        primary: Option<bool>,
    },
    /// The proxy's own load.
    Load(Load),
    /// Whether discovery can be heard. It does not count: a proxy that serves serves.
    Discovery {
        heard: bool,
    },
    Drain,
    Undrain,
    /// Ends for good.
    Stop,
    /// Time passes.
    Tick,
}

/// Parts of its limits that the proxy uses, and how late its loop was at the most since the last such event.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub lag: Duration,
    pub open: f64,
    pub descriptors: f64,
    pub memory: f64,
}

/// What counts most against the weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    None,
    Lag,
    Open,
    Descriptors,
    Memory,
    /// A group is dead or hung.
    Group(u32),
    /// A group takes no writes.
    Primary(u32),
    /// Servers of a place work, and the link to them is cut.
    Link(u16),
    /// Record servers refuse or fail much of the work.
    Servers,
    /// Record servers are slower than usual.
    Slow,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    pub state: State,
    pub weight: u8,
    pub reason: Reason,
    /// Since when it is in that state.
    pub since: Time,
    /// How much slower record servers answer than usual; 1: as usual.
    pub slowness: f64,
    pub load: Load,
    pub discovery: bool,
}

#[derive(Debug)]
pub struct Availability {
    set: Settings,
    now: Time,
    started: bool,
    draining: bool,
    stopping: bool,
    discovery: bool,
    load: Load,
    groups: BTreeMap<u32, Group>,
    links: Links,
    /// The weight as it is worked out, and as far as it has risen.
    shown: f64,
    shown_at: Time,
    report: Report,
    /// Changes of state within the last minute, oldest first.
    changes: Vec<Time>,
    last_look: Time,
}

/// Within this the changes of state are counted for damping.
const MINUTE: Duration = Duration::from_secs(60);
/// Groups are looked over this often, however many events come.
const LOOK: Duration = Duration::from_millis(50);
/// Doublings of the dwell time at the most.
const DOUBLINGS: u32 = 4;
/// Changes in a minute from which on each doubles the dwell time.
const CALM: usize = 4;
/// Slower than this times the usual is slow.
const SLOW: f64 = 1.5;
/// Of a slow group's traffic, the most that counts as not served for its slowness alone.
const SLOW_SHARE: f64 = 0.5;

impl Availability {
    pub fn new(set: Settings, now: Time) -> Availability {
        let report = Report {
            state: State::Starting,
            weight: 0,
            reason: Reason::None,
            since: now,
            slowness: 1.0,
            load: Load::default(),
            discovery: true,
        };
        Availability {
            set,
            now,
            started: false,
            draining: false,
            stopping: false,
            discovery: true,
            load: Load::default(),
            groups: BTreeMap::new(),
            links: Links::new(),
            shown: 100.0,
            shown_at: now,
            report,
            changes: Vec::new(),
            last_look: now,
        }
    }

    /// What is to be told now.
    pub fn report(&self) -> &Report {
        &self.report
    }

    pub fn group(&self, group: u32) -> Option<GroupState> {
        self.groups.get(&group).map(Group::state)
    }

    pub fn groups(&self) -> impl Iterator<Item = (u32, GroupState)> + '_ {
        self.groups.iter().map(|(id, group)| (*id, group.state()))
    }

    /// The link to each place, as far as it is known.
    pub fn links(&self) -> impl Iterator<Item = (u16, Link)> + '_ {
        self.links.states()
    }

    pub fn link(&self, place: u16) -> Option<Link> {
        self.links.state(place)
    }

    /// A server that should be dialled now, if any: what comes of it tells a lost link from slow servers. The caller
    /// says that it does so by [`Event::Dials`].
    pub fn knock(&self, may: impl Fn(u32) -> bool) -> Option<u32> {
        self.links.knock(may)
    }

    /// Takes an event in; the report follows it at once where it matters, and within `LOOK` elsewhere.
    pub fn handle(&mut self, now: Time, event: Event) {
        let now = now.max(self.now);
        if now - self.now > self.set.gap {
            // Whatever was owed may have been answered while nobody looked.
            self.groups.values_mut().for_each(|g| g.woke(now));
            self.links.woke(now);
        }
        self.now = now;
        let mut urgent = false;
        match event {
            Event::Started => (self.started, urgent) = (true, true),
            Event::Drain => (self.draining, urgent) = (true, true),
            Event::Undrain => (self.draining, urgent) = (false, true),
            Event::Stop => (self.stopping, urgent) = (true, true),
            Event::Discovery { heard } => self.discovery = heard,
            Event::Load(load) => {
                // Parts that are no numbers would poison the weight.
                let part = |n: f64| if n.is_finite() { n.max(0.0) } else { 0.0 };
                self.load = Load {
                    lag: load.lag,
                    open: part(load.open),
                    descriptors: part(load.descriptors),
                    memory: part(load.memory),
                };
                urgent = true;
            }
            Event::Tick => urgent = true,
            Event::Asked { group } => self.with(group, |g, _| g.asked(now)),
            Event::Left { group } => self.with(group, |g, _| g.left()),
            Event::Sent { group } => self.with(group, |g, _| g.sent(now)),
            Event::Ended {
                group,
                how,
                elapsed,
            } => {
                self.with(group, |g, set| g.ended(how, elapsed, now, set));
                urgent = how == Ended::Broken;
            }
            Event::Served { group } => self.with(group, |g, _| g.answered(now, true)),
            Event::Failed { group }
            | Event::Refused {
                group,
                cause: Cause::Servers,
            } => {
                self.with(group, |g, _| g.answered(now, false));
            }
            Event::Refused {
                cause: Cause::Own, ..
            } => {}
            Event::Listed {
                server,
                place,
                group,
                there,
            } => self.links.listed(server, place, group, there, now),
            Event::ListHeard => self.links.list_heard(now),
            Event::Asks { server } => self.links.asks(server, now),
            Event::Over { server, word } => self.links.over(server, word, now),
            Event::Dials { server } => self.links.dials(server, now),
            Event::Word { server } => self.links.word(server, now),
            Event::Told {
                server,
                position,
                primary,
            } => {
                self.links
                    .told(server, position, primary, now, self.set.links());
            }
            Event::Wrote { group, served } => self.with(group, |g, _| g.wrote(served, now)),
        }
        if urgent || now - self.last_look >= LOOK {
            self.look();
        }
    }

    fn with(&mut self, group: u32, act: impl FnOnce(&mut Group, &Settings)) {
        if !self.groups.contains_key(&group) {
            if self.groups.len() >= GROUPS_LIMIT {
                // Whoever was asked for last the longest ago makes place, if that is long enough.
                let now = self.now;
                let Some((&oldest, _)) = self
                    .groups
                    .iter()
                    .filter(|(_, g)| g.idle(now) > MINUTE)
                    .max_by_key(|(_, g)| g.idle(now))
                else {
                    return;
                };
                self.groups.remove(&oldest);
            }
            self.groups.insert(group, Group::new(self.now));
        }
        if let Some(found) = self.groups.get_mut(&group) {
            act(found, &self.set);
        }
    }

    /// Works the report out anew.
    fn look(&mut self) {
        let (now, set) = (self.now, self.set);
        self.last_look = now;
        let damping = self.damping();
        for group in self.groups.values_mut() {
            group.look(now, &set, damping);
        }
        self.links.look(now, set.links());
        let shared = self.shared();
        let (own, own_reason) = self.own(&shared);
        let target = 100.0 * own * shared.factor;
        // Down at once; up as fast as a proxy may be trusted again.
        let risen = self.shown + set.rise * (now - self.shown_at).as_secs_f64();
        self.shown = if target < self.shown {
            target
        } else {
            risen.min(target)
        };
        self.shown_at = now;
        let least = match own_reason {
            Reason::Lag => set.least,
            Reason::Link(_) => set.cut_floor.min(set.floor),
            _ => set.floor,
        };
        let least = (100.0 * least).ceil();
        let step = f64::from(set.step.max(1));
        // Rounded down to a step, but what the rule guarantees is kept.
        let weight = ((self.shown / step).floor() * step)
            .max(least.min(self.shown.ceil()))
            .clamp(1.0, 100.0) as u8;
        let serving = if self.started {
            self.judge(own, &shared)
        } else {
            State::Starting
        };
        let (state, weight) = if self.stopping {
            (State::Stopping, 0)
        } else if self.draining {
            (State::Draining, 0)
        } else if !self.started {
            (State::Starting, 0)
        } else {
            (serving, weight)
        };
        let reason = if own < shared.factor {
            own_reason
        } else {
            shared.reason
        };
        self.tell(state, weight, reason, shared.slowness);
    }

    fn tell(&mut self, state: State, weight: u8, reason: Reason, slowness: f64) {
        let (now, before) = (self.now, self.report.state);
        let kind = |s: State| std::mem::discriminant(&s);
        // What an operator says, and the end of the start, is told at once; a better state waits for its dwell time.
        let ours = state.serves() && before.serves();
        let better = badness(state) < badness(before);
        if ours && better && now - self.report.since < self.set.dwell * self.damping() {
            self.report = Report {
                weight,
                reason,
                slowness,
                load: self.load,
                discovery: self.discovery,
                ..self.report
            };
            return;
        }
        let changed = kind(state) != kind(before);
        if changed {
            self.changes.push(now);
        }
        let since = if changed { now } else { self.report.since };
        let (load, discovery) = (self.load, self.discovery);
        self.report = Report {
            state,
            weight,
            reason,
            since,
            slowness,
            load,
            discovery,
        };
    }

    /// How many times longer than usual states are kept.
    fn damping(&mut self) -> u32 {
        let now = self.now;
        self.changes.retain(|at| now - *at < MINUTE);
        let extra = self.changes.len().saturating_sub(CALM) as u32;
        1 << extra.min(DOUBLINGS)
    }

    fn judge(&self, own: f64, shared: &Shared) -> State {
        let (enter, leave) = self.set.overload;
        let was = self.report.state == State::Overloaded;
        if own < if was { leave } else { enter } {
            State::Overloaded
        } else if shared.unserved >= 0.01 {
            State::Degraded((shared.unserved * 100.0).round().clamp(1.0, 100.0) as u8)
        } else {
            State::Ready
        }
    }

    fn shared(&self) -> Shared {
        let (mut all, mut lost, mut slow) = (0.0, 0.0, 0.0);
        let mut reason = Reason::None;
        let mut worst = 0.0;
        for (id, group) in &self.groups {
            let traffic = group.traffic(self.now);
            let unserved = group.unserved();
            // Slower than usual, but there: part of its work comes late.
            let late = (1.0 - SLOW / group.slowness().max(SLOW)).min(1.0) * SLOW_SHARE;
            all += traffic;
            lost += traffic * unserved.max(late);
            slow += traffic * group.slowness();
            if traffic * unserved.max(late) > worst {
                worst = traffic * unserved.max(late);
                reason = match group.state().condition {
                    Condition::Dead | Condition::Hung => Reason::Group(*id),
                    Condition::NoPrimary => Reason::Primary(*id),
                    _ if late > unserved => Reason::Slow,
                    _ => Reason::Servers,
                };
            }
        }
        let unserved = if all > 0.0 { lost / all } else { 0.0 };
        let slowness = if all > 0.0 { slow / all } else { 1.0 };
        Shared {
            unserved,
            slowness,
            factor: 1.0 - (1.0 - self.set.floor) * unserved,
            reason,
        }
    }

    /// The part that own trouble leaves, and what it is.
    fn own(&self, shared: &Shared) -> (f64, Reason) {
        let Settings {
            least,
            floor,
            lag,
            use_of_limits,
            ..
        } = self.set;
        let ramp = |value: f64, from: f64, to: f64| {
            let part = if to > from {
                (value - from) / (to - from)
            } else {
                f64::from(u8::from(value >= to))
            };
            1.0 - (1.0 - least) * part.clamp(0.0, 1.0)
        };
        let limited = |used: f64| ramp(used, use_of_limits.0, use_of_limits.1);
        let mut worst = (
            ramp(
                self.load.lag.as_secs_f64(),
                lag.0.as_secs_f64(),
                lag.1.as_secs_f64(),
            ),
            Reason::Lag,
        );
        // Requests stay open for longer with slower servers: that much is not of our making.
        let open = self.load.open / shared.slowness.max(1.0);
        for (part, reason) in [
            (limited(open), Reason::Open),
            (limited(self.load.descriptors), Reason::Descriptors),
            (limited(self.load.memory), Reason::Memory),
        ] {
            // Together with the shared part it must not go under the floor.
            let part = part.max(floor / shared.factor).min(1.0);
            if part < worst.0 {
                worst = (part, reason);
            }
        }
        if let Some((place, share)) = self.links.cut(self.now) {
            let cut_floor = self.set.cut_floor.min(floor);
            // What its other servers serve in its place does not show in its answers, but they bear it.
            let part = (1.0 - (1.0 - cut_floor) * share)
                .max(cut_floor / shared.factor)
                .min(1.0);
            if part < worst.0 {
                worst = (part, Reason::Link(place));
            }
        }
        if worst.0 >= 1.0 {
            (1.0, Reason::None)
        } else {
            worst
        }
    }
}

struct Shared {
    /// Part of the traffic that is not served.
    unserved: f64,
    slowness: f64,
    factor: f64,
    reason: Reason,
}

/// Of two states of serving, the higher one is worse.
fn badness(state: State) -> u8 {
    match state {
        State::Ready => 0,
        State::Degraded(_) => 1,
        State::Overloaded => 2,
        State::Starting | State::Draining | State::Stopping => 3,
    }
}
