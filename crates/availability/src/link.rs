//! State of the link to each site: distinguishes a cut link from the death of the servers behind it.
//!
//! A single proxy observes the same in both cases: nothing is received from the machines. The difference lies in evidence from
//! others. A site is **silent** when several of its servers owe answers and there was no contact of any kind; any contact (an
//! answer, a rejection, a reset, an established connection) shows that the link works. A silent site is
//! - **cut** once there is proof that its servers work although nothing from them reaches this proxy: members elsewhere report that
//!   the log of a group whose primary is at the site still grows, before another server can have taken over; or the endpoint list
//!   still names the servers when it is received after more than its longest delay;
//! - **gone** once the endpoint list has dropped most of its servers.
//!
//! Without proof the site stays silent and counts as a shared fault, so that all proxies can't lower their weights at once by
//! mistake. Slow or hung servers do not make a site silent, since their machines accept connections: a few servers are dialled to
//! find out ([`Links::server_to_dial`]), and the site is silent only if none of these dials succeeds.

use crate::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// State of the link to a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkState {
    /// There is contact with the site's servers.
    Up,
    /// There is no contact with the site's servers, and the cause is not known.
    Silent,
    /// The site's servers work, but nothing from them reaches this proxy.
    Cut,
    /// The site's servers are dead.
    Gone,
}

impl LinkState {
    /// The state's name in health reports.
    pub fn name(self) -> &'static str {
        match self {
            LinkState::Up => "up",
            LinkState::Silent => "silent",
            LinkState::Cut => "cut",
            LinkState::Gone => "gone",
        }
    }
}

/// Maximum number of sites; further ones are ignored.
pub const SITES_LIMIT: usize = 64;
/// Maximum number of servers; further ones are ignored.
pub const SERVERS_LIMIT: usize = 4_096;

/// Minimum number of silent servers of a silent site: a single server may have lost its own link.
const MIN_SILENT_SERVERS: usize = 2;
/// Minimum number of listed servers of a cut site that were dialled without success; of a site with fewer servers, all.
const MIN_FAILED_DIALS: usize = 3;
/// Time constant of the decay of the attempts at a site, in seconds.
const TIME_CONSTANT: f64 = 10.0;

/// The durations of [`crate::Settings`] that concern links.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkSettings {
    /// A server that owes an answer is silent after this time without contact.
    pub silence: Duration,
    /// Longest delay of the endpoint list.
    pub list_late: Duration,
    /// Minimum time after the last contact with a lost primary before another server takes over.
    pub election: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Server {
    site: u16,
    group: u32,
    /// Whether the endpoint list names the server.
    listed: bool,
    /// Time of the last contact with the server.
    contact_at: Time,
    /// Number of exchanges in flight.
    exchanges: u32,
    /// Since when the server owes an answer.
    awaiting_since: Option<Time>,
    /// Start of the first dial that has not succeeded.
    dialled_since: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Site {
    state: LinkState,
    /// Time of the last contact with any of the site's servers.
    contact_at: Time,
    /// Decaying number of attempts; constant while the site is not up.
    attempts: f64,
    /// Time up to which `attempts` has decayed.
    decayed_at: Time,
    /// Whether a member at another site has reported a position that only a working primary at this site can have written.
    proven_alive: bool,
    /// Number of servers that were silent at the last evaluation.
    silent: usize,
}

/// Counts of a site's servers.
#[derive(Clone, Copy, Debug, Default)]
struct ServerCounts {
    members: usize,
    listed: usize,
    /// Servers that owe an answer for longer than [`LinkSettings::silence`].
    silent: usize,
    /// Listed servers that were dialled without success.
    unreachable: usize,
}

#[derive(Debug)]
pub(crate) struct Links {
    servers: BTreeMap<u32, Server>,
    sites: BTreeMap<u16, Site>,
    /// The server that last reported to be the primary, by group.
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

    /// Records that the endpoint list names a server, or no longer names it.
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

    /// Records the start of an exchange.
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

    /// Records the end of an exchange. `contact`: something was received from the server's machine.
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

    /// Records that something was received from a server's machine.
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

    /// Records the position that a server has reported, and whether it is the primary.
    pub fn role_reported(
        &mut self,
        server: u32,
        position: Option<Time>,
        primary: Option<bool>,
        now: Time,
        settings: LinkSettings,
    ) {
        let Some(&Server {
            group,
            site: reporting_site,
            ..
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
        let Some(primary) = self
            .servers
            .get(at)
            .filter(|server| server.site != reporting_site)
        else {
            return;
        };
        let Some(site) = self.sites.get_mut(&primary.site) else {
            return;
        };
        // The primary already owed an answer when the position was written, so it was working while nothing from it was received. This
        // holds only until `election` after the last contact, since later another server may have taken over. A position in the future
        // is invalid.
        let awaiting_since = primary.awaiting_since.filter(|at| *at > site.contact_at);
        site.proven_alive |= awaiting_since.is_some_and(|at| position > at + settings.silence)
            && position <= primary.contact_at + settings.election
            && position <= now + settings.silence;
    }

    /// Updates the link state of every site.
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
            // A list that was received this long after the last contact can't be older than that contact.
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
            // A proven cut needs no further proof: only contact or the endpoint list ends it.
            if (site.state, found) != (LinkState::Cut, LinkState::Silent) {
                site.set_state(found, now);
            }
        }
    }

    /// A server that should be dialled to distinguish unreachable machines from slow or hung processes, if any.
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

    /// Whether the server was dialled without success since the last contact with its site; the dial may still be pending.
    fn is_dialled(&self, server: &Server) -> bool {
        let contact_at = self.sites.get(&server.site).map(|site| site.contact_at);
        server
            .dialled_since
            .is_some_and(|at| contact_at.is_some_and(|contact_at| at > contact_at))
    }

    /// Discards the silence during a suspension of the process.
    pub fn on_suspension(&mut self, now: Time) {
        for site in self.sites.values_mut() {
            site.contact_at = now;
            site.proven_alive = false;
        }
    }

    /// The site whose cut link affects most attempts, and the part of all attempts that cut links affect.
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
            // Attempts are constant while the site is not up.
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
