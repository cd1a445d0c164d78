//! One state machine for each site, fed with what is proven of its servers.
//!
//! An answer proves that a server serves, and nothing else does; what could not be reached or reset speaks against it. A site
//! is lost when enough of its servers are down, none of the others has answered since the first bad sign, and servers
//! elsewhere have. So what all servers do at once, and what this proxy does to itself, is no loss of a site.

use crate::{Time, SERVERS_LIMIT, SITES_LIMIT};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Bad signs over this long, with no answer between, make a site lost.
    pub lost_after: Duration,
    /// The list is late by this at the most: what it says of a site that has answered since may be old.
    pub list_late: Duration,
    /// A site returns for this long at least.
    pub return_after: Duration,
    /// Between two moves into or out of `Lost`, and before `Weakened` is over.
    pub dwell: Duration,
    /// Its own loop stood still if it is later than this.
    pub late: Duration,
    pub guards: Guards,
}

impl Default for Settings {
    fn default() -> Settings {
        let ms = Duration::from_millis;
        Settings {
            lost_after: ms(500),
            list_late: ms(10_000),
            return_after: ms(5_000),
            dwell: ms(2_000),
            late: ms(500),
            guards: Guards::ALL,
        }
    }
}

/// What keeps a site from being called lost, or whole, for nothing. All are in force but in the model check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    pub contrast: bool,
    pub witnesses: bool,
    pub span: bool,
    pub late: bool,
    pub dwell: bool,
    pub proof: bool,
    pub list: bool,
    pub soft: bool,
}

impl Guards {
    pub const ALL: Guards = Guards {
        contrast: true,
        witnesses: true,
        span: true,
        late: true,
        dwell: true,
        proof: true,
        list: true,
        soft: true,
    };
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum State {
    Whole,
    /// Some of its servers are down, silent or away.
    Weakened,
    /// Nothing can be asked of it from here.
    Lost,
    /// It answers again.
    Returning,
}

impl State {
    pub const ALL: [State; 4] = [State::Whole, State::Weakened, State::Lost, State::Returning];

    pub fn name(self) -> &'static str {
        match self {
            State::Whole => "whole",
            State::Weakened => "weakened",
            State::Lost => "lost",
            State::Returning => "returning",
        }
    }
}

/// What a state was made of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// Its servers answer.
    Answers,
    /// Its servers can't be reached, reset or are silent.
    Servers,
    /// The same, and others know that they work: the link from here is cut.
    Link,
    /// The list lets its servers go.
    List,
    /// They are out by hand.
    Operators,
}

impl Source {
    pub fn name(self) -> &'static str {
        match self {
            Source::Answers => "answers",
            Source::Servers => "servers",
            Source::Link => "link",
            Source::List => "list",
            Source::Operators => "operators",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Listed {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    Listed {
        server: u32,
        site: u16,
        listed: Listed,
    },
    /// The watch on the list stands, or is lost.
    List { heard: bool },
    /// An operator's word on a server.
    Hand { server: u32, out: bool },
    /// It gave a whole answer, whatever it said.
    Answered { server: u32 },
    /// No connection to it came up: refused, reset or not in time.
    Unreached { server: u32 },
    /// A connection broke with a request on it.
    Reset { server: u32 },
    /// A request on a connection ran out of time.
    Silent { server: u32 },
    /// Whether it is proven that a site's servers work though nothing of them comes here.
    Cut { site: u16, on: bool },
    /// The caller's loop was so late.
    Late(Duration),
    /// Time passes.
    Tick,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    pub site: u16,
    pub state: State,
    pub source: Source,
    pub since: Time,
    /// Servers that are not away, and those of them that are down.
    pub members: usize,
    pub down: usize,
    /// Moves into `Lost` so far.
    pub losses: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Server {
    site: u16,
    listed: Listed,
    out: bool,
    /// In a row, with no answer between: what was not reached or reset, and what ran out of time.
    hard: u8,
    soft: u8,
    /// When the last of these came that counts: connections reset at one instant are one sign.
    signed: Option<Time>,
    /// When the last came, whether or not it counts.
    last: Time,
    /// So many of these came while its site was suspected and others were known to answer.
    sure: u8,
}

/// That a site is lost, since a bad sign with no answer behind it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Suspicion {
    /// Since when another site has answered meanwhile.
    since: Option<Time>,
    first: Time,
    last: Time,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Site {
    state: State,
    source: Source,
    since: Time,
    /// How many members it had when it last had any.
    size: usize,
    /// When the list first named it.
    known: Time,
    /// When it was last lost or ceased to be.
    crossed: Option<Time>,
    /// The last answer of any of its servers, also of those that are away.
    answered: Option<Time>,
    suspicion: Option<Suspicion>,
    /// Answers of members since it was lost.
    proof: u8,
    /// When it was last seen with trouble.
    troubled: Time,
    cut: bool,
    losses: u64,
}

/// Bad signs in a row that make a server down, or silent.
const FAILURES: u8 = 2;
/// Servers that are down, of those that a lost site has.
const WITNESSES: usize = 2;
/// Signs against a server are apart by this part of the span that a loss takes.
const APART: u32 = 4;
/// A server that nobody has asked for this long is no longer known to be down.
const FORGOTTEN: Duration = Duration::from_secs(20);
/// Answers that a site gives before it is no longer returning.
const PROOF: u8 = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Sites {
    set: Settings,
    now: Time,
    servers: BTreeMap<u32, Server>,
    sites: BTreeMap<u16, Site>,
    list_heard: bool,
    /// Until then bad signs may be of a time in which this proxy stood still.
    deaf_until: Time,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    members: usize,
    down: usize,
    /// Of these, as others answered.
    sure: usize,
    /// Servers with a bad sign since their last answer, also those that are away.
    struck: usize,
    silent: usize,
    away: usize,
    out: usize,
}

impl Server {
    fn clear(&mut self) {
        (self.hard, self.soft, self.signed, self.sure) = (0, 0, None, 0);
    }

    fn away(&self) -> bool {
        self.out || self.listed != Listed::Ready
    }

    fn down(&self, guards: &Guards) -> bool {
        self.hard >= FAILURES || !guards.soft && self.soft >= FAILURES
    }
}

impl Sites {
    pub fn new(set: Settings, now: Time) -> Sites {
        Sites {
            set,
            now,
            servers: BTreeMap::new(),
            sites: BTreeMap::new(),
            list_heard: true,
            deaf_until: Time::ZERO,
        }
    }

    /// Other times; what is known stays.
    pub fn configure(&mut self, set: Settings) {
        self.set = set;
    }

    /// Each site's state. With one site, or none, there is nothing to tell.
    pub fn reports(&self) -> impl Iterator<Item = Report> + '_ {
        let several = self.sites.len() > 1;
        self.sites
            .iter()
            .filter(move |_| several)
            .map(|(id, site)| {
                let tally = self.tally(*id);
                Report {
                    site: *id,
                    state: site.state,
                    source: site.source,
                    since: site.since,
                    members: tally.members,
                    down: tally.down,
                    losses: site.losses,
                }
            })
    }

    pub fn state(&self, site: u16) -> Option<State> {
        self.sites.get(&site).map(|site| site.state)
    }

    pub fn site_of(&self, server: u32) -> Option<u16> {
        self.servers.get(&server).map(|server| server.site)
    }

    /// The list and the hands are taken at their word about single servers; what they come to is judged.
    pub fn handle(&mut self, now: Time, event: Event) {
        let now = now.max(self.now);
        if now - self.now > self.set.late {
            self.woke(now);
        }
        self.now = now;
        let calm = matches!(event, Event::Answered { server } if self.calm(server));
        match event {
            Event::Listed {
                server,
                site,
                listed,
            } => self.listed(server, site, listed),
            Event::List { heard } => self.list_heard = heard,
            Event::Hand { server, out } => {
                if let Some(server) = self.servers.get_mut(&server) {
                    server.out = out;
                }
            }
            Event::Answered { server } => self.answered(server),
            Event::Unreached { server } | Event::Reset { server } => self.bad(server, true),
            Event::Silent { server } => self.bad(server, false),
            Event::Cut { site, on } => {
                if let Some(site) = self.sites.get_mut(&site) {
                    site.cut = on;
                }
            }
            Event::Late(by) if by > self.set.late => self.woke(now),
            Event::Late(_) | Event::Tick => {}
        }
        // One site: there is nowhere to lead its load, and nothing to tell it from.
        if self.sites.len() < 2 || calm && self.sites.values().all(|site| site.suspicion.is_none())
        {
            return;
        }
        let ids: Vec<u16> = match event {
            // An answer tells of the others too, where there is something to tell.
            Event::Answered { server } => {
                let here = self.site_of(server);
                let concerns =
                    |(id, site): &(&u16, &Site)| Some(**id) == here || site.suspicion.is_some();
                self.sites
                    .iter()
                    .filter(concerns)
                    .map(|(id, _)| *id)
                    .collect()
            }
            Event::Unreached { server }
            | Event::Reset { server }
            | Event::Silent { server }
            | Event::Hand { server, .. } => self.site_of(server).into_iter().collect(),
            // A list is judged when all of it has been told.
            Event::Listed { .. } => Vec::new(),
            Event::Cut { site, .. } => vec![site],
            Event::List { .. } | Event::Late(_) | Event::Tick => {
                self.sites.keys().copied().collect()
            }
        };
        for id in ids {
            self.judge(id);
        }
    }

    /// Whether one more answer changes nothing: nearly all are such.
    fn calm(&self, server: u32) -> bool {
        self.servers.get(&server).is_some_and(|server| {
            (server.hard, server.soft) == (0, 0) && self.state(server.site) == Some(State::Whole)
        })
    }

    /// While the loop stood still nothing was heard, and what was due then is overdue now.
    fn woke(&mut self, now: Time) {
        if !self.set.guards.late {
            return;
        }
        self.deaf_until = now + self.set.lost_after;
        self.servers.values_mut().for_each(Server::clear);
        for site in self.sites.values_mut() {
            site.suspicion = None;
        }
    }

    fn listed(&mut self, server: u32, site: u16, listed: Listed) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.listed = listed;
            return;
        }
        let room = self.sites.contains_key(&site) || self.sites.len() < SITES_LIMIT;
        if listed == Listed::Gone || !room {
            return;
        }
        if self.servers.len() >= SERVERS_LIMIT {
            // Those that are gone make place.
            let Some(old) = self
                .servers
                .iter()
                .find(|(_, s)| s.listed == Listed::Gone)
                .map(|(id, _)| *id)
            else {
                return;
            };
            self.servers.remove(&old);
        }
        let now = self.now;
        self.sites.entry(site).or_insert(Site {
            state: State::Whole,
            source: Source::Answers,
            since: now,
            size: 0,
            known: now,
            crossed: None,
            answered: None,
            suspicion: None,
            proof: 0,
            troubled: now,
            cut: false,
            losses: 0,
        });
        self.servers.insert(
            server,
            Server {
                site,
                listed,
                out: false,
                hard: 0,
                soft: 0,
                signed: None,
                last: self.now,
                sure: 0,
            },
        );
    }

    fn answered(&mut self, server: u32) {
        let Some(server) = self.servers.get_mut(&server) else {
            return;
        };
        server.clear();
        let (away, id, now) = (server.away(), server.site, self.now);
        let Some(site) = self.sites.get_mut(&id) else {
            return;
        };
        site.answered = Some(now);
        let was = site.suspicion.take();
        if away {
            return;
        }
        let lost = site.state == State::Lost;
        site.proof = site.proof.saturating_add(1);
        // What was bad everywhere is over: what it left behind proves nothing.
        let shared = !lost && was.is_some_and(|was| now - was.first >= self.set.lost_after);
        if was.is_some() {
            let over = self
                .servers
                .values_mut()
                .filter(|server| shared || server.site == id);
            over.for_each(|server| server.sure = 0);
        }
        if lost {
            return;
        }
        for (_, other) in self.sites.iter_mut().filter(|(other, _)| **other != id) {
            if let Some(suspicion) = &mut other.suspicion {
                suspicion.since = suspicion.since.filter(|_| !shared).or(Some(now));
            }
        }
    }

    fn bad(&mut self, server: u32, hard: bool) {
        let Settings { guards, .. } = self.set;
        if guards.late && self.now < self.deaf_until {
            return;
        }
        let Some(server) = self.servers.get_mut(&server) else {
            return;
        };
        server.last = self.now;
        let apart = self.set.lost_after / APART;
        if guards.span && hard && server.signed.is_some_and(|at| self.now - at < apart) {
            return;
        }
        if hard {
            server.signed = Some(self.now);
        }
        let signs = if hard {
            &mut server.hard
        } else {
            &mut server.soft
        };
        *signs = signs.saturating_add(1).min(FAILURES);
        if server.away() || !hard && guards.soft {
            return;
        }
        let Some(site) = self.sites.get_mut(&server.site) else {
            return;
        };
        let since = (!guards.contrast).then_some(self.now);
        let suspicion = site.suspicion.get_or_insert(Suspicion {
            since,
            first: self.now,
            last: self.now,
        });
        suspicion.last = self.now;
        server.sure = server
            .sure
            .saturating_add(u8::from(suspicion.since.is_some()))
            .min(FAILURES);
    }

    fn tally(&self, site: u16) -> Tally {
        let mut tally = Tally::default();
        for server in self.servers.values().filter(|s| s.site == site) {
            let known = self.now.saturating_sub(server.last) < FORGOTTEN;
            tally.struck += usize::from(known && server.hard > 0);
            if server.listed == Listed::Gone && !server.out {
                continue;
            }
            if server.away() {
                tally.away += 1;
                tally.out += usize::from(server.out);
            } else {
                tally.members += 1;
                let down = known && server.down(&self.set.guards);
                tally.down += usize::from(down);
                tally.sure += usize::from(server.sure >= FAILURES);
                tally.silent += usize::from(known && server.soft >= FAILURES);
            }
        }
        tally
    }

    /// Whether another site that is not lost has answered since then. So the last one is never lost.
    fn answers_elsewhere(&self, id: u16, since: Time) -> bool {
        !self.set.guards.contrast
            || self.sites.iter().any(|(other, site)| {
                *other != id
                    && site.state != State::Lost
                    && site.answered.is_some_and(|at| at >= since)
            })
    }

    /// Why a site is lost, if it is.
    fn lost(&self, id: u16, site: &Site, tally: Tally) -> Option<Source> {
        let Settings {
            lost_after,
            list_late,
            guards,
            ..
        } = self.set;
        if tally.members == 0 {
            // Operators are never late, nor is a list that says what the servers' own signs say.
            let by_hand = tally.out == tally.away && tally.out > 0;
            let struck = site
                .suspicion
                .filter(|_| tally.struck >= WITNESSES.min(site.size));
            let source = if by_hand {
                Source::Operators
            } else {
                Source::List
            };
            let late = if guards.list && !by_hand && struck.is_none() {
                list_late
            } else {
                lost_after
            };
            let spoke = struck
                .map(|s| s.first)
                .or(site.answered)
                .unwrap_or(site.known);
            let until = spoke + late;
            let sure = !guards.list || self.list_heard && self.now >= until;
            return (sure && self.answers_elsewhere(id, until)).then_some(source);
        }
        let Suspicion { since, last, .. } = site.suspicion?;
        // So long after others were first known to answer, signs are still bad here, and they answer after that.
        let until = since?
            + if guards.span {
                lost_after
            } else {
                Duration::ZERO
            };
        let need = if guards.witnesses {
            WITNESSES.min(tally.members)
        } else {
            1
        };
        let lost = tally.sure >= need && last >= until && self.answers_elsewhere(id, last);
        let source = if site.cut {
            Source::Link
        } else {
            Source::Servers
        };
        lost.then_some(source)
    }

    fn judge(&mut self, id: u16) {
        let Some(site) = self.sites.get(&id) else {
            return;
        };
        let Settings {
            dwell,
            return_after,
            guards,
            ..
        } = self.set;
        let (now, tally) = (self.now, self.tally(id));
        let trouble = if tally.down + tally.silent > 0 {
            Some(Source::Servers)
        } else if tally.out > 0 {
            Some(Source::Operators)
        } else {
            (tally.away > 0).then_some(Source::List)
        };
        let may_cross = !guards.dwell || site.crossed.is_none_or(|at| now - at >= dwell);
        let held = now - site.since;
        let (state, source) = match site.state {
            State::Lost => {
                let back = tally.members > 0 && site.proof > 0;
                if back && may_cross {
                    (State::Returning, Source::Answers)
                } else {
                    // Others may find out later that the servers behind a link work.
                    let link = site.cut && site.source == Source::Servers;
                    (State::Lost, if link { Source::Link } else { site.source })
                }
            }
            now_state => match (self.lost(id, site, tally), now_state) {
                (Some(source), _) if may_cross => (State::Lost, source),
                (_, State::Returning)
                    if held < return_after || guards.proof && site.proof < PROOF =>
                {
                    (State::Returning, site.source)
                }
                (..) => match trouble {
                    Some(source) => (State::Weakened, source),
                    None if now_state == State::Weakened && now - site.troubled < dwell => {
                        (State::Weakened, site.source)
                    }
                    None => (State::Whole, Source::Answers),
                },
            },
        };
        let Some(site) = self.sites.get_mut(&id) else {
            return;
        };
        if tally.members > 0 {
            site.size = tally.members;
        }
        if trouble.is_some() {
            site.troubled = now;
        }
        if state == site.state {
            site.source = source;
            return;
        }
        if (state == State::Lost) != (site.state == State::Lost) {
            site.crossed = Some(now);
            site.proof = if state == State::Lost { 0 } else { site.proof };
            site.losses += u64::from(state == State::Lost);
        }
        (site.state, site.source, site.since) = (state, source, now);
    }
}
