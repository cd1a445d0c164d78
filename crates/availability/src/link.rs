//! Links to sites: a cut link is distinguished from the death of the servers behind it.
//!
//! From one proxy both look alike: nothing comes from the machines. What differs is what others know. A site is **silent** when
//! several of its servers owe answers and there was no contact of any kind; any contact at all (an answer, a rejection, a reset,
//! an established connection) shows that the link works. A silent site is
//! - **cut** once something proves that servers there work although nothing of them reaches this proxy: the log of a group whose
//!   primary is there goes on growing, as members elsewhere report, before another can have taken over; or the endpoint list,
//!   received again after longer than its longest delay, still names them;
//! - **gone** once the list has dropped most of them.
//!
//! Without proof it stays silent, and counts as a shared fault: the error that would cost all proxies their weight at once is ruled
//! out. Slow or hung servers make no site silent, since their machines accept connections: a few are dialled to find that out
//! ([`Links::server_to_dial`]), and none of these dials may have succeeded.

use crate::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// State of the link to a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkState {
    /// There is contact.
    Up,
    /// There is no contact, and the cause is not known.
    Silent,
    /// Its servers work, and nothing of them reaches this proxy.
    Cut,
    /// Its servers are dead.
    Gone,
}

impl LinkState {
    /// The word in health reports.
    pub fn name(self) -> &'static str {
        match self {
            LinkState::Up => "up",
            LinkState::Silent => "silent",
            LinkState::Cut => "cut",
            LinkState::Gone => "gone",
        }
    }
}

/// Most sites; further ones are ignored.
pub const SITES_LIMIT: usize = 64;
/// Most servers; further ones are ignored.
pub const SERVERS_LIMIT: usize = 4_096;

/// Servers of a site that have to be silent: a single one may have lost a link of its own.
const MIN_SILENT_SERVERS: usize = 2;
/// Servers of a cut site that have been dialled without success, or all that it has.
const MIN_FAILED_DIALS: usize = 3;
/// Time constant of the attempts at a site, in seconds.
const TIME_CONSTANT: f64 = 10.0;

/// Times of [`crate::Settings`] that concern links.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkSettings {
    /// A server that owes an answer is silent without contact for longer than this.
    pub silence: Duration,
    /// The longest delay of the endpoint list.
    pub list_late: Duration,
    /// A lost primary is replaced no sooner than this after the last contact.
    pub election: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Server {
    site: u16,
    group: u32,
    /// In the list.
    listed: bool,
    /// The last contact.
    contact_at: Time,
    /// Exchanges in flight, and since when it owes an answer.
    exchanges: u32,
    awaiting_since: Option<Time>,
    /// The start of a dial that has not succeeded.
    dialled_since: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Site {
    state: LinkState,
    /// The last contact with any of its servers.
    contact_at: Time,
    /// Decayed number of attempts, and as of when; it does not change while the site is silent.
    attempts: f64,
    decayed_at: Time,
    /// A member elsewhere has reported a position that only a working primary there can have written.
    proven_alive: bool,
    /// Servers that were silent at the last evaluation.
    silent: usize,
}

/// Counts of a site's servers.
#[derive(Clone, Copy, Debug, Default)]
struct ServerCounts {
    members: usize,
    listed: usize,
    /// They are silent.
    silent: usize,
    /// Listed, and dialled without success.
    unreachable: usize,
}

#[derive(Debug)]
pub(crate) struct Links {
    servers: BTreeMap<u32, Server>,
    sites: BTreeMap<u16, Site>,
    /// By group, the server that last reported to be the primary.
    primaries: BTreeMap<u32, u32>,
    /// When the endpoint list was last received.
    list_received_at: Option<Time>,
}

impl Links {
    pub fn new() -> Links {
        Links {
            servers: BTreeMap::new(),
            sites: BTreeMap::new(),
            primaries: BTreeMap::new(),
            list_received_at: None,
        }
    }

    pub fn states(&self) -> impl Iterator<Item = (u16, LinkState)> + '_ {
        self.sites.iter().map(|(site, state)| (*site, state.state))
    }

    pub fn state(&self, site: u16) -> Option<LinkState> {
        self.sites.get(&site).map(|site| site.state)
    }

    /// The endpoint list names a server, or ceases to.
    pub fn set_endpoint(&mut self, server: u32, site: u16, group: u32, listed: bool, now: Time) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.listed = listed;
            return;
        }
        let has_room = self.sites.contains_key(&site) || self.sites.len() < SITES_LIMIT;
        if !listed || !has_room || self.servers.len() >= SERVERS_LIMIT {
            return;
        }
        self.sites.entry(site).or_insert(Site {
            state: LinkState::Up,
            contact_at: now,
            attempts: 0.0,
            decayed_at: now,
            proven_alive: false,
            silent: 0,
        });
        let new = Server {
            site,
            group,
            listed: true,
            contact_at: now,
            exchanges: 0,
            awaiting_since: None,
            dialled_since: None,
        };
        self.servers.insert(server, new);
    }

    pub fn list_received(&mut self, now: Time) {
        self.list_received_at = Some(now);
    }

    /// An exchange has started.
    pub fn exchange_started(&mut self, server: u32, now: Time) {
        let Some(server) = self.servers.get_mut(&server) else {
            return;
        };
        server.exchanges = server.exchanges.saturating_add(1);
        let Some(site) = self.sites.get_mut(&server.site) else {
            return;
        };
        // An exchange from before the last contact may be on a dead connection.
        server.awaiting_since = server
            .awaiting_since
            .filter(|at| *at > site.contact_at)
            .or(Some(now));
        if site.state == LinkState::Up {
            site.decay(now);
            site.attempts += 1.0;
        }
    }

    /// An exchange has ended; `contact`: something came from the server's machine.
    pub fn exchange_ended(&mut self, server: u32, contact: bool, now: Time) {
        if let Some(server) = self.servers.get_mut(&server) {
            server.exchanges = server.exchanges.saturating_sub(1);
        }
        if contact {
            self.record_contact(server, now);
        }
    }

    pub fn dial_started(&mut self, server: u32, now: Time) {
        if let Some(server) = self.servers.get_mut(&server) {
            let contact_at = self
                .sites
                .get(&server.site)
                .map_or(now, |site| site.contact_at);
            server.dialled_since = server
                .dialled_since
                .filter(|at| *at > contact_at)
                .or(Some(now));
        }
    }

    /// Something came from a server's machine.
    pub fn record_contact(&mut self, server: u32, now: Time) {
        let Some(server) = self.servers.get_mut(&server) else {
            return;
        };
        (
            server.awaiting_since,
            server.dialled_since,
            server.contact_at,
        ) = (None, None, now);
        if let Some(site) = self.sites.get_mut(&server.site) {
            site.contact_at = now;
            site.proven_alive = false;
            site.set_state(LinkState::Up, now);
        }
    }

    /// A server reports its position in the log, and whether it is the primary.
    pub fn role_reported(
        &mut self,
        server: u32,
        position: Option<Time>,
        primary: Option<bool>,
        now: Time,
        settings: LinkSettings,
    ) {
        let Some(&Server {
            group, site: here, ..
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
        let Some(primary) = self.servers.get(at).filter(|server| server.site != here) else {
            return;
        };
        let Some(site) = self.sites.get_mut(&primary.site) else {
            return;
        };
        // The primary owed an answer before that position was written: it went on working, and nothing of it came here. Only soon
        // after its last contact, since later another may have taken over. A position in the future is invalid.
        let awaiting_since = primary.awaiting_since.filter(|at| *at > site.contact_at);
        site.proven_alive |= awaiting_since.is_some_and(|at| position > at + settings.silence)
            && position <= primary.contact_at + settings.election
            && position <= now + settings.silence;
    }

    /// Judges every site.
    pub fn evaluate(&mut self, now: Time, settings: LinkSettings) {
        let mut counts_by_site: BTreeMap<u16, ServerCounts> = BTreeMap::new();
        let Links { servers, sites, .. } = self;
        servers.retain(|_, server| {
            let Some(site) = sites.get(&server.site) else {
                return false;
            };
            if !server.listed && server.exchanges == 0 && site.state == LinkState::Up {
                return false;
            }
            let is_overdue = |since: Option<Time>| {
                since.is_some_and(|at| {
                    at > site.contact_at && now.saturating_sub(at) >= settings.silence
                })
            };
            let counts = counts_by_site.entry(server.site).or_default();
            counts.members += 1;
            counts.listed += usize::from(server.listed);
            counts.silent += usize::from(is_overdue(server.awaiting_since));
            counts.unreachable += usize::from(server.listed && is_overdue(server.dialled_since));
            true
        });
        let list_received_at = self.list_received_at;
        self.primaries.retain(|_, at| servers.contains_key(at));
        for (id, site) in sites.iter_mut() {
            let counts = counts_by_site.remove(id).unwrap_or_default();
            site.silent = counts.silent;
            if site.state == LinkState::Up {
                if counts.silent < MIN_SILENT_SERVERS || counts.unreachable == 0 {
                    site.decay(now);
                    continue;
                }
                site.set_state(LinkState::Silent, now);
            }
            // Received so long after the last contact, the list can't be from before it.
            let is_list_fresh = list_received_at
                .is_some_and(|at| at >= site.contact_at + settings.silence + settings.list_late);
            let found = if counts.listed * 2 <= counts.members {
                LinkState::Gone
            } else if (site.proven_alive || is_list_fresh)
                && counts.unreachable >= counts.listed.min(MIN_FAILED_DIALS)
            {
                LinkState::Cut
            } else {
                LinkState::Silent
            };
            // What was proven needs no new proof: only contact, or the list, ends it.
            if (site.state, found) != (LinkState::Cut, LinkState::Silent) {
                site.set_state(found, now);
            }
        }
    }

    /// A server that should be dialled, to distinguish unreachable machines from slow or hung processes.
    pub fn server_to_dial(&self, may_dial: impl Fn(u32) -> bool) -> Option<u32> {
        let is_suspect = |site: u16| {
            self.sites
                .get(&site)
                .is_some_and(|site| site.silent >= MIN_SILENT_SERVERS)
        };
        let mut candidates = self
            .servers
            .iter()
            .filter(|(_, s)| s.listed && !self.is_dialled(s));
        candidates
            .find(|(server, s)| is_suspect(s.site) && may_dial(**server))
            .map(|(server, _)| *server)
    }

    /// Whether a dial since the last contact with its site is pending or failed.
    fn is_dialled(&self, server: &Server) -> bool {
        let contact_at = self.sites.get(&server.site).map(|site| site.contact_at);
        server
            .dialled_since
            .is_some_and(|at| contact_at.is_some_and(|contact_at| at > contact_at))
    }

    /// The process was suspended: no site was silent meanwhile.
    pub fn on_suspension(&mut self, now: Time) {
        for site in self.sites.values_mut() {
            site.contact_at = now;
            site.proven_alive = false;
        }
    }

    /// The site with the cut link that concerns most attempts, and the part of all attempts that cut links concern.
    pub fn cut(&self, now: Time) -> Option<(u16, f64)> {
        let attempts = |site: &Site| match site.state {
            LinkState::Up => site.attempts * decay_factor(now.saturating_sub(site.decayed_at)),
            _ => site.attempts,
        };
        let all: f64 = self.sites.values().map(attempts).sum();
        let cut: f64 = self
            .sites
            .values()
            .filter(|site| site.state == LinkState::Cut)
            .map(attempts)
            .sum();
        let worst = self
            .sites
            .iter()
            .filter(|(_, site)| site.state == LinkState::Cut);
        let (site, _) = worst.max_by(|a, b| attempts(a.1).total_cmp(&attempts(b.1)))?;
        Some((*site, if all > 0.0 { cut / all } else { 0.0 }))
    }
}

impl Site {
    fn set_state(&mut self, state: LinkState, now: Time) {
        if state != self.state {
            // Attempts did not decay meanwhile.
            self.decayed_at = now;
            self.state = state;
        }
    }

    fn decay(&mut self, now: Time) {
        self.attempts *= decay_factor(now.saturating_sub(self.decayed_at));
        self.decayed_at = now;
    }
}

fn decay_factor(span: Duration) -> f64 {
    (-span.as_secs_f64() / TIME_CONSTANT).exp()
}
