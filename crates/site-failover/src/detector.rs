//! One state machine for each site, driven by evidence about its servers.
//!
//! Only an answer proves that a server works; failed connections and resets are evidence against it. A site is lost when enough of
//! its servers are down, none of its servers has answered since the first failure, and servers of other sites have answered. So
//! neither a simultaneous failure of all sites nor a stall of this proxy counts as the loss of a site.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::server::{Failure, Server};
use crate::site::{Evidence, Report, ServerCounts, Site, SiteState, Suspicion};
use crate::{EndpointState, Event, Settings, Time, SERVERS_LIMIT, SITES_LIMIT};

/// Minimum number of servers that must be down for a loss; of a site with fewer servers, all.
const MIN_DOWN_SERVERS: usize = 2;
/// Hard failures of a server are counted separately when they are at least [`Settings::lost_after`] divided by this apart.
const SPREAD_DIVISOR: u32 = 4;
/// Number of answers of a returning site before it is healthy.
const RETURN_ANSWERS: u8 = 3;

/// Decides the state of each site.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SiteDetector {
    settings: Settings,
    now: Time,
    servers: BTreeMap<u32, Server>,
    sites: BTreeMap<u16, Site>,
    list_connected: bool,
    /// Failures before this time are ignored, since a stall of this proxy may have caused them.
    ignore_failures_until: Time,
}

impl SiteDetector {
    /// Creates a detector without sites.
    pub fn new(settings: Settings, now: Time) -> SiteDetector {
        SiteDetector {
            settings,
            now,
            servers: BTreeMap::new(),
            sites: BTreeMap::new(),
            list_connected: true,
            ignore_failures_until: Time::ZERO,
        }
    }

    /// Replaces the settings and keeps the state.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// The state of each site; empty if there is only one site.
    pub fn reports(&self) -> impl Iterator<Item = Report> + '_ {
        let has_several = self.sites.len() > 1;
        self.sites
            .iter()
            .filter(move |_| has_several)
            .map(|(id, site)| {
                let counts = self.counts(*id);
                Report {
                    site: *id,
                    state: site.state,
                    evidence: site.evidence,
                    since: site.since,
                    members: counts.members,
                    down: counts.down,
                    losses: site.losses,
                }
            })
    }

    /// The state of a site.
    pub fn state(&self, site: u16) -> Option<SiteState> {
        self.sites.get(&site).map(|site| site.state)
    }

    /// The site of a server.
    pub fn site_of(&self, server: u32) -> Option<u16> {
        self.servers.get(&server).map(|server| server.site)
    }

    /// Handles an event. Entries of the endpoint list and exclusions by operators apply to single servers at once; the state of the site
    /// is decided from all its servers.
    pub fn handle(&mut self, now: Time, event: Event) {
        let now = now.max(self.now);
        if now - self.now > self.settings.stall {
            self.on_stall(now);
        }
        self.now = now;
        let is_expected =
            matches!(event, Event::Answered { server } if self.is_answer_expected(server));
        self.apply(now, event);
        // With only one site there is no other to take its load or to compare its failures with.
        let has_several = self.sites.len() >= 2;
        if !has_several || is_expected && !self.has_suspicion() {
            return;
        }
        for id in self.sites_to_update(event) {
            self.update_state(id);
        }
    }

    fn apply(&mut self, now: Time, event: Event) {
        match event {
            Event::Endpoint {
                server,
                site,
                state,
            } => self.on_endpoint(server, site, state),
            Event::ListUpdated { connected } => self.list_connected = connected,
            Event::ManualExclusion { server, excluded } => {
                if let Some(server) = self.servers.get_mut(&server) {
                    server.excluded = excluded;
                }
            }
            Event::Answered { server } => self.on_answer(server),
            Event::ConnectFailed { server } | Event::Reset { server } => {
                self.on_failure(server, Failure::Hard);
            }
            Event::TimedOut { server } => self.on_failure(server, Failure::Timeout),
            Event::LinkCut { site, cut } => {
                if let Some(site) = self.sites.get_mut(&site) {
                    site.link_cut = cut;
                }
            }
            Event::LoopLag(lag) if lag > self.settings.stall => self.on_stall(now),
            Event::LoopLag(_) | Event::Tick => {}
        }
    }

    fn sites_to_update(&self, event: Event) -> Vec<u16> {
        match event {
            Event::Answered { server } => self.sites_affected_by_answer(server),
            Event::ConnectFailed { server }
            | Event::Reset { server }
            | Event::TimedOut { server }
            | Event::ManualExclusion { server, .. } => self.site_of(server).into_iter().collect(),
            // Sites are updated at the end of the list update.
            Event::Endpoint { .. } => Vec::new(),
            Event::LinkCut { site, .. } => vec![site],
            Event::ListUpdated { .. } | Event::LoopLag(_) | Event::Tick => {
                self.sites.keys().copied().collect()
            }
        }
    }

    /// The server's own site and all suspected sites: an answer of another site makes their failures site-specific.
    fn sites_affected_by_answer(&self, server: u32) -> Vec<u16> {
        let own = self.site_of(server);
        self.sites
            .iter()
            .filter(|(id, site)| Some(**id) == own || site.suspicion.is_some())
            .map(|(id, _)| *id)
            .collect()
    }

    /// Whether an answer changes no state by itself, because the server has no failures and its site is healthy. This holds for nearly
    /// all answers.
    fn is_answer_expected(&self, server: u32) -> bool {
        self.servers.get(&server).is_some_and(|server| {
            !server.has_failures() && self.state(server.site) == Some(SiteState::Healthy)
        })
    }

    fn has_suspicion(&self) -> bool {
        self.sites.values().any(|site| site.suspicion.is_some())
    }

    /// During a stall no answers were read. Failures before and shortly after it are not counted, since overdue answers would look like
    /// timeouts.
    fn on_stall(&mut self, now: Time) {
        if !self.settings.guards.stall {
            return;
        }
        self.ignore_failures_until = now + self.settings.lost_after;
        self.servers.values_mut().for_each(Server::clear_failures);
        for site in self.sites.values_mut() {
            site.suspicion = None;
        }
    }

    fn on_endpoint(&mut self, id: u32, site: u16, state: EndpointState) {
        if let Some(known) = self.servers.get_mut(&id) {
            known.endpoint_state = state;
            return;
        }
        let has_room = self.sites.contains_key(&site) || self.sites.len() < SITES_LIMIT;
        if state == EndpointState::Removed || !has_room || !self.make_room_for_server() {
            return;
        }
        let now = self.now;
        self.sites.entry(site).or_insert_with(|| Site::new(now));
        self.servers.insert(id, Server::new(site, state, now));
    }

    fn make_room_for_server(&mut self) -> bool {
        if self.servers.len() < SERVERS_LIMIT {
            return true;
        }
        let removed = self
            .servers
            .iter()
            .find(|(_, server)| server.endpoint_state == EndpointState::Removed)
            .map(|(id, _)| *id);
        removed.is_some_and(|id| self.servers.remove(&id).is_some())
    }

    fn on_answer(&mut self, server: u32) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&server) else {
            return;
        };
        server.clear_failures();
        let (is_out_of_service, id) = (server.is_out_of_service(), server.site);
        let Some(site) = self.sites.get_mut(&id) else {
            return;
        };
        site.answered_at = Some(now);
        let suspicion = site.suspicion.take();
        if is_out_of_service {
            return;
        }
        site.answers_since_loss = site.answers_since_loss.saturating_add(1);
        let is_lost = site.is_lost();
        // A suspicion that lasted for `lost_after` without a loss and ends with an answer was shared: all sites failed at once. The
        // failures counted meanwhile against other sites are not site-specific.
        let lost_after = self.settings.lost_after;
        let was_shared = !is_lost && suspicion.is_some_and(|was| now - was.first_at >= lost_after);
        if suspicion.is_some() {
            self.clear_site_specific_failures(id, was_shared);
        }
        if !is_lost {
            self.mark_suspicions_site_specific(id, was_shared);
        }
    }

    /// Clears the site-specific failures of the servers of one site, or of all sites.
    fn clear_site_specific_failures(&mut self, site: u16, of_all: bool) {
        for server in self.servers.values_mut() {
            if of_all || server.site == site {
                server.site_specific_failures = 0;
            }
        }
    }

    /// After an answer of the site `answering`, failures of other suspected sites are site-specific. With `reset` they are so only from
    /// now on, otherwise from the first such answer on.
    fn mark_suspicions_site_specific(&mut self, answering: u16, reset: bool) {
        let now = self.now;
        for (_, site) in self.sites.iter_mut().filter(|(id, _)| **id != answering) {
            if let Some(suspicion) = &mut site.suspicion {
                let previous = suspicion.site_specific_since.filter(|_| !reset);
                suspicion.site_specific_since = previous.or(Some(now));
            }
        }
    }

    fn on_failure(&mut self, server: u32, failure: Failure) {
        let guards = self.settings.guards;
        if guards.stall && self.now < self.ignore_failures_until {
            return;
        }
        let Some(server) = self.servers.get_mut(&server) else {
            return;
        };
        let spread = if guards.span {
            self.settings.lost_after / SPREAD_DIVISOR
        } else {
            Duration::ZERO
        };
        if !server.record_failure(self.now, failure, spread) {
            return;
        }
        if server.is_out_of_service() || failure == Failure::Timeout && guards.timeouts {
            return;
        }
        let Some(site) = self.sites.get_mut(&server.site) else {
            return;
        };
        let suspicion = site.suspicion.get_or_insert(Suspicion {
            site_specific_since: (!guards.site_specific).then_some(self.now),
            first_at: self.now,
            last_at: self.now,
        });
        suspicion.last_at = self.now;
        if suspicion.site_specific_since.is_some() {
            server.record_site_specific_failure();
        }
    }

    fn counts(&self, site: u16) -> ServerCounts {
        let of_site = self.servers.values().filter(|server| server.site == site);
        ServerCounts::of(of_site, self.now, &self.settings.guards)
    }

    /// Whether another site that is not lost has answered since the given time. This also keeps the last site from being lost.
    fn has_answer_elsewhere(&self, id: u16, since: Time) -> bool {
        !self.settings.guards.site_specific
            || self.sites.iter().any(|(other, site)| {
                *other != id && !site.is_lost() && site.answered_at.is_some_and(|at| at >= since)
            })
    }

    /// Evidence that the site is lost, if there is enough.
    fn loss_evidence(&self, id: u16, site: &Site, counts: ServerCounts) -> Option<Evidence> {
        if counts.members == 0 {
            self.loss_without_members(id, site, counts)
        } else {
            self.loss_by_failures(id, site, counts)
        }
    }

    /// Decides the loss of a site whose servers are all out of service, by the list or by operators. Exclusions by operators and a list
    /// that failures confirm are trusted after [`Settings::lost_after`]. Otherwise the list may be older than the site's last answer and
    /// is trusted after [`Settings::list_late`].
    fn loss_without_members(&self, id: u16, site: &Site, counts: ServerCounts) -> Option<Evidence> {
        let guards = self.settings.guards;
        let all_excluded = counts.excluded == counts.out_of_service && counts.excluded > 0;
        let confirmed = site
            .suspicion
            .filter(|_| counts.failing >= MIN_DOWN_SERVERS.min(site.last_members));
        let delay = if guards.list_delay && !all_excluded && confirmed.is_none() {
            self.settings.list_late
        } else {
            self.settings.lost_after
        };
        let last_evidence_at = confirmed
            .map(|suspicion| suspicion.first_at)
            .or(site.answered_at)
            .unwrap_or(site.listed_at);
        let until = last_evidence_at + delay;
        let is_list_trusted = !guards.list_delay || self.list_connected && self.now >= until;
        let evidence = if all_excluded {
            Evidence::ManualExclusion
        } else {
            Evidence::EndpointList
        };
        (is_list_trusted && self.has_answer_elsewhere(id, until)).then_some(evidence)
    }

    /// Decides the loss of a site by failures: enough servers still fail [`Settings::lost_after`] after another site first answered
    /// during the suspicion, and another site has answered since the last failure.
    fn loss_by_failures(&self, id: u16, site: &Site, counts: ServerCounts) -> Option<Evidence> {
        let guards = self.settings.guards;
        let suspicion = site.suspicion?;
        let span = if guards.span {
            self.settings.lost_after
        } else {
            Duration::ZERO
        };
        let until = suspicion.site_specific_since? + span;
        let needed = if guards.min_down_servers {
            MIN_DOWN_SERVERS.min(counts.members)
        } else {
            1
        };
        let is_lost = counts.down_site_specific >= needed
            && suspicion.last_at >= until
            && self.has_answer_elsewhere(id, suspicion.last_at);
        let evidence = if site.link_cut {
            Evidence::LinkCut
        } else {
            Evidence::Failures
        };
        is_lost.then_some(evidence)
    }

    fn update_state(&mut self, id: u16) {
        let now = self.now;
        let counts = self.counts(id);
        let Some(site) = self.sites.get(&id) else {
            return;
        };
        let (state, evidence) = self.next_state(id, site, counts);
        let Some(site) = self.sites.get_mut(&id) else {
            return;
        };
        if counts.members > 0 {
            site.last_members = counts.members;
        }
        if counts.degraded_by().is_some() {
            site.degraded_at = now;
        }
        site.set_state(now, state, evidence);
    }

    fn next_state(&self, id: u16, site: &Site, counts: ServerCounts) -> (SiteState, Evidence) {
        let may_change_loss = !self.settings.guards.dwell
            || site
                .loss_changed_at
                .is_none_or(|at| self.now - at >= self.settings.dwell);
        if site.is_lost() {
            return self.next_state_of_lost(site, counts, may_change_loss);
        }
        let loss = self.loss_evidence(id, site, counts);
        if let Some(evidence) = loss.filter(|_| may_change_loss) {
            return (SiteState::Lost, evidence);
        }
        if site.state == SiteState::Returning && !self.has_returned(site) {
            return (SiteState::Returning, site.evidence);
        }
        if let Some(evidence) = counts.degraded_by() {
            return (SiteState::Degraded, evidence);
        }
        let was_degraded =
            site.state == SiteState::Degraded && self.now - site.degraded_at < self.settings.dwell;
        if was_degraded {
            return (SiteState::Degraded, site.evidence);
        }
        (SiteState::Healthy, Evidence::Answers)
    }

    fn next_state_of_lost(
        &self,
        site: &Site,
        counts: ServerCounts,
        may_change_loss: bool,
    ) -> (SiteState, Evidence) {
        if counts.members > 0 && site.answers_since_loss > 0 && may_change_loss {
            return (SiteState::Returning, Evidence::Answers);
        }
        // Other proxies may show only later that the servers behind the link work.
        let evidence = if site.link_cut && site.evidence == Evidence::Failures {
            Evidence::LinkCut
        } else {
            site.evidence
        };
        (SiteState::Lost, evidence)
    }

    fn has_returned(&self, site: &Site) -> bool {
        let has_proof =
            !self.settings.guards.return_proof || site.answers_since_loss >= RETURN_ANSWERS;
        self.now - site.since >= self.settings.return_after && has_proof
    }
}
