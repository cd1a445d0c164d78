//! Links to places (buildings): one that is lost is told apart from the death of the servers behind it.
//!
//! From one proxy the two look alike, for a machine that is cut off says as little as one that is gone. What differs is
//! what others know. A place is **silent** when several of its servers owe answers and no word of any kind has come from
//! there; any word at all (an answer, a refusal, a reset, a connection that comes up) says that the link stands. A silent
//! place is
//! - **cut** once something proves that servers there work although nothing of them reaches this proxy: the log of a
//!   group whose primary stands there goes on growing, as members elsewhere tell, before another can have taken over;
//!   or the list, heard anew since for longer than it may be late, still holds them;
//! - **gone** once the list has dropped most of them.
//!
//! Without proof it stays silent, and counts as shared trouble: the error that would cost all proxies their weight at
//! once is the one that is ruled out. Slow or hung servers make no place silent, since their machines accept
//! connections: a few are dialled for that ([`Links::knock`]), and none of these may have come up.

use crate::Time;
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Link {
    Up,
    /// No word comes from there, and why is not known.
    Silent,
    /// Its servers work, and nothing of them reaches this proxy.
    Cut,
    /// Its servers are dead.
    Gone,
}

impl Link {
    pub fn name(self) -> &'static str {
        match self {
            Link::Up => "up",
            Link::Silent => "silent",
            Link::Cut => "cut",
            Link::Gone => "gone",
        }
    }
}

/// Places and servers that are told apart; what comes beyond counts for nothing here.
pub const PLACES_LIMIT: usize = 64;
pub const SERVERS_LIMIT: usize = 4_096;

/// Servers of a place that have to be silent: one may have lost a link of its own.
const WITNESSES: usize = 2;
/// Of a place that is cut so many have been dialled in vain, or all that it has.
const KNOCKS: usize = 3;
/// Attempts at a place are forgotten with this time constant, in seconds.
const FORGET: f64 = 10.0;

#[derive(Clone, Copy, Debug)]
pub(crate) struct Settings {
    /// Servers that owe answers say nothing for longer than this.
    pub silence: Duration,
    /// Beyond this the list is not late.
    pub list_late: Duration,
    /// No primary is replaced sooner than this after its last word.
    pub election: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Server {
    place: u16,
    group: u32,
    /// In the list.
    listed: bool,
    /// When its last word came.
    heard: Time,
    /// Exchanges that are out, and since when it owes a word.
    out: u32,
    owes_since: Option<Time>,
    /// Since when a dial to it has not come up.
    dialled_since: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Place {
    state: Link,
    /// When any word last came from there.
    heard: Time,
    /// Decayed number of attempts at it, and when that was worked out; it stands still while the place is silent.
    attempts: f64,
    decayed: Time,
    /// A member elsewhere has told a position that only a working primary there can have made.
    proven: bool,
    /// Servers that owed a word for long at the last look.
    owing: usize,
}

/// What the servers of a place come to.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    members: usize,
    listed: usize,
    /// They have owed a word for long.
    owing: usize,
    /// Listed, and not come up for long.
    undialled: usize,
}

#[derive(Debug)]
pub(crate) struct Links {
    servers: BTreeMap<u32, Server>,
    places: BTreeMap<u16, Place>,
    /// By group, who last told that it is the primary.
    primaries: BTreeMap<u32, u32>,
    /// When the list was last heard, whatever it said.
    list_heard: Option<Time>,
}

impl Links {
    pub fn new() -> Links {
        Links {
            servers: BTreeMap::new(),
            places: BTreeMap::new(),
            primaries: BTreeMap::new(),
            list_heard: None,
        }
    }

    pub fn states(&self) -> impl Iterator<Item = (u16, Link)> + '_ {
        self.places
            .iter()
            .map(|(place, state)| (*place, state.state))
    }

    pub fn state(&self, place: u16) -> Option<Link> {
        self.places.get(&place).map(|p| p.state)
    }

    /// The list's word on a server.
    pub fn listed(&mut self, server: u32, place: u16, group: u32, there: bool, now: Time) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.listed = there;
            return;
        }
        let room = self.places.contains_key(&place) || self.places.len() < PLACES_LIMIT;
        if !there || !room || self.servers.len() >= SERVERS_LIMIT {
            return;
        }
        self.places.entry(place).or_insert(Place {
            state: Link::Up,
            heard: now,
            attempts: 0.0,
            decayed: now,
            proven: false,
            owing: 0,
        });
        let (owes_since, dialled_since) = (None, None);
        let new = Server {
            place,
            group,
            listed: true,
            heard: now,
            out: 0,
            owes_since,
            dialled_since,
        };
        self.servers.insert(server, new);
    }

    pub fn list_heard(&mut self, now: Time) {
        self.list_heard = Some(now);
    }

    /// An exchange with it has begun.
    pub fn asks(&mut self, server: u32, now: Time) {
        let Some(server) = self.servers.get_mut(&server) else {
            return;
        };
        server.out = server.out.saturating_add(1);
        let Some(place) = self.places.get_mut(&server.place) else {
            return;
        };
        // What was asked before the last word from there may be on a connection that is dead.
        server.owes_since = server
            .owes_since
            .filter(|at| *at > place.heard)
            .or(Some(now));
        if place.state == Link::Up {
            place.decay(now);
            place.attempts += 1.0;
        }
    }

    /// An exchange is over; `word`: something came of its machine, if only a refusal or the end of a connection.
    pub fn over(&mut self, server: u32, word: bool, now: Time) {
        if let Some(server) = self.servers.get_mut(&server) {
            server.out = server.out.saturating_sub(1);
        }
        if word {
            self.word(server, now);
        }
    }

    pub fn dials(&mut self, server: u32, now: Time) {
        if let Some(server) = self.servers.get_mut(&server) {
            let heard = self.places.get(&server.place).map_or(now, |p| p.heard);
            server.dialled_since = server.dialled_since.filter(|at| *at > heard).or(Some(now));
        }
    }

    /// Its machine has said something.
    pub fn word(&mut self, server: u32, now: Time) {
        let Some(server) = self.servers.get_mut(&server) else {
            return;
        };
        (server.owes_since, server.dialled_since, server.heard) = (None, None, now);
        if let Some(place) = self.places.get_mut(&server.place) {
            place.heard = now;
            place.proven = false;
            place.turn(Link::Up, now);
        }
    }

    /// A server tells how far it has the log, and whether it is the primary.
    pub fn told(
        &mut self,
        server: u32,
        position: Option<Time>,
        primary: Option<bool>,
        now: Time,
        set: Settings,
    ) {
        let Some(&Server {
            group, place: here, ..
        }) = self.servers.get(&server)
        else {
            return;
        };
        match primary {
            Some(true) => _ = self.primaries.insert(group, server),
            Some(false) if self.primaries.get(&group) == Some(&server) => {
                _ = self.primaries.remove(&group)
            }
            _ => {}
        }
        let (Some(position), Some(at)) = (position, self.primaries.get(&group)) else {
            return;
        };
        let Some(primary) = self.servers.get(at).filter(|p| p.place != here) else {
            return;
        };
        let Some(place) = self.places.get_mut(&primary.place) else {
            return;
        };
        // It has owed a word since before that position was made: it worked on, and nothing of it came here. Soon
        // after its last word, that is: later another may have taken over. What is said to lie ahead is no position.
        let owed = primary.owes_since.filter(|at| *at > place.heard);
        place.proven |= owed.is_some_and(|at| position > at + set.silence)
            && position <= primary.heard + set.election
            && position <= now + set.silence;
    }

    /// Judges every place.
    pub fn look(&mut self, now: Time, set: Settings) {
        let mut tallies: BTreeMap<u16, Tally> = BTreeMap::new();
        let Links {
            servers, places, ..
        } = self;
        servers.retain(|_, server| {
            let Some(place) = places.get(&server.place) else {
                return false;
            };
            if !server.listed && server.out == 0 && place.state == Link::Up {
                return false;
            }
            let long = |since: Option<Time>| {
                since.is_some_and(|at| at > place.heard && now.saturating_sub(at) >= set.silence)
            };
            let tally = tallies.entry(server.place).or_default();
            tally.members += 1;
            tally.listed += usize::from(server.listed);
            tally.owing += usize::from(long(server.owes_since));
            tally.undialled += usize::from(server.listed && long(server.dialled_since));
            true
        });
        let heard = self.list_heard;
        self.primaries.retain(|_, at| servers.contains_key(at));
        for (id, place) in places.iter_mut() {
            let tally = tallies.remove(id).unwrap_or_default();
            place.owing = tally.owing;
            if place.state == Link::Up {
                if tally.owing < WITNESSES || tally.undialled == 0 {
                    place.decay(now);
                    continue;
                }
                place.turn(Link::Silent, now);
            }
            // Heard so long after the last word, the list can't be old news.
            let fresh = heard.is_some_and(|at| at >= place.heard + set.silence + set.list_late);
            let found = if tally.listed * 2 <= tally.members {
                Link::Gone
            } else if (place.proven || fresh) && tally.undialled >= tally.listed.min(KNOCKS) {
                Link::Cut
            } else {
                Link::Silent
            };
            // What is proven once needs no proof again: only a word, or the list, undoes it.
            if (place.state, found) != (Link::Cut, Link::Silent) {
                place.turn(found, now);
            }
        }
    }

    /// A server that should be dialled, to tell machines out of reach from processes that are slow or hang.
    pub fn knock(&self, may: impl Fn(u32) -> bool) -> Option<u32> {
        let suspect = |place: u16| {
            self.places
                .get(&place)
                .is_some_and(|p| p.owing >= WITNESSES)
        };
        let mut fitting = self
            .servers
            .iter()
            .filter(|(_, s)| s.listed && !self.dialled(s));
        fitting
            .find(|(server, s)| suspect(s.place) && may(**server))
            .map(|(server, _)| *server)
    }

    /// Whether a dial since the last word from its place is under way or in vain.
    fn dialled(&self, server: &Server) -> bool {
        let heard = self.places.get(&server.place).map(|p| p.heard);
        server
            .dialled_since
            .is_some_and(|at| heard.is_some_and(|heard| at > heard))
    }

    /// While the proxy itself did not run nobody was silent.
    pub fn woke(&mut self, now: Time) {
        for place in self.places.values_mut() {
            place.heard = now;
            place.proven = false;
        }
    }

    /// The place whose cut link concerns most of the proxy's attempts, and which part of them that is.
    pub fn cut(&self, now: Time) -> Option<(u16, f64)> {
        let weigh = |place: &Place| match place.state {
            Link::Up => place.attempts * keep(now.saturating_sub(place.decayed)),
            _ => place.attempts,
        };
        let all: f64 = self.places.values().map(weigh).sum();
        let cut: f64 = self
            .places
            .values()
            .filter(|p| p.state == Link::Cut)
            .map(weigh)
            .sum();
        let worst = self.places.iter().filter(|(_, p)| p.state == Link::Cut);
        let (place, _) = worst.max_by(|a, b| weigh(a.1).total_cmp(&weigh(b.1)))?;
        Some((*place, if all > 0.0 { cut / all } else { 0.0 }))
    }
}

impl Place {
    fn turn(&mut self, state: Link, now: Time) {
        if state != self.state {
            // Attempts stood still meanwhile.
            self.decayed = now;
            self.state = state;
        }
    }

    fn decay(&mut self, now: Time) {
        self.attempts *= keep(now.saturating_sub(self.decayed));
        self.decayed = now;
    }
}

fn keep(span: Duration) -> f64 {
    (-span.as_secs_f64() / FORGET).exp()
}
