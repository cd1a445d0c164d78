//! A site: its state, the evidence for it, and the counts of its servers.

use crate::server::{Server, FAILURE_THRESHOLD};
use crate::settings::Guards;
use crate::{EndpointState, Time};

/// State of a site, as observed by this proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum SiteState {
    /// All servers of the site answer.
    Healthy,
    /// Some of the site's servers are down, silent or out of service.
    Degraded,
    /// The site can't serve requests of this proxy.
    Lost,
    /// The site answers again after a loss, but is not yet considered healthy.
    Returning,
}

impl SiteState {
    /// All states.
    pub const ALL: [SiteState; 4] = [
        SiteState::Healthy,
        SiteState::Degraded,
        SiteState::Lost,
        SiteState::Returning,
    ];

    /// The state's name in reports for operators.
    pub fn name(self) -> &'static str {
        match self {
            SiteState::Healthy => "whole",
            SiteState::Degraded => "weakened",
            SiteState::Lost => "lost",
            SiteState::Returning => "returning",
        }
    }
}

/// Evidence on which the state of a site is based.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Evidence {
    /// The site's servers answer.
    Answers,
    /// The site's servers can't be reached, reset connections or time out.
    Failures,
    /// As [`Evidence::Failures`], but other proxies have shown that the servers work: the link from this proxy is cut.
    LinkCut,
    /// The endpoint list does not name the site's servers as ready.
    EndpointList,
    /// Operators have excluded the site's servers.
    ManualExclusion,
}

impl Evidence {
    /// The evidence's name in reports for operators.
    pub fn name(self) -> &'static str {
        match self {
            Evidence::Answers => "answers",
            Evidence::Failures => "servers",
            Evidence::LinkCut => "link",
            Evidence::EndpointList => "list",
            Evidence::ManualExclusion => "operators",
        }
    }
}

/// State of a site with its evidence and counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The site.
    pub site: u16,
    /// Its state.
    pub state: SiteState,
    /// Evidence for the state.
    pub evidence: Evidence,
    /// When the state began.
    pub since: Time,
    /// Number of servers in service.
    pub members: usize,
    /// Number of members that are down.
    pub down: usize,
    /// Number of changes to [`SiteState::Lost`] so far.
    pub losses: u64,
}

/// Suspicion that a site is lost: it begins with a failure and ends with the next answer of the site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Suspicion {
    /// When another site first answered during the suspicion; from then on failures count as specific to this site.
    pub site_specific_since: Option<Time>,
    pub first_at: Time,
    pub last_at: Time,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Site {
    pub state: SiteState,
    pub evidence: Evidence,
    pub since: Time,
    /// Number of members when the site last had any.
    pub last_members: usize,
    /// When the endpoint list first named the site.
    pub listed_at: Time,
    /// When the state last changed to or from [`SiteState::Lost`].
    pub loss_changed_at: Option<Time>,
    /// Time of the last answer of any of the site's servers, including those out of service.
    pub answered_at: Option<Time>,
    pub suspicion: Option<Suspicion>,
    /// Number of answers of members since the site was lost.
    pub answers_since_loss: u8,
    /// When the counts of the site's servers last showed it as degraded.
    pub degraded_at: Time,
    pub link_cut: bool,
    pub losses: u64,
}

impl Site {
    pub fn new(now: Time) -> Site {
        Site {
            state: SiteState::Healthy,
            evidence: Evidence::Answers,
            since: now,
            last_members: 0,
            listed_at: now,
            loss_changed_at: None,
            answered_at: None,
            suspicion: None,
            answers_since_loss: 0,
            degraded_at: now,
            link_cut: false,
            losses: 0,
        }
    }

    pub fn is_lost(&self) -> bool {
        self.state == SiteState::Lost
    }

    pub fn set_state(&mut self, now: Time, state: SiteState, evidence: Evidence) {
        self.evidence = evidence;
        if state == self.state {
            return;
        }
        let is_loss = state == SiteState::Lost;
        if is_loss != self.is_lost() {
            self.loss_changed_at = Some(now);
            self.losses += u64::from(is_loss);
            if is_loss {
                self.answers_since_loss = 0;
            }
        }
        self.state = state;
        self.since = now;
    }
}

/// Counts of a site's servers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerCounts {
    /// Servers in service.
    pub members: usize,
    /// Members that are down.
    pub down: usize,
    /// Members that failed while other sites answered.
    pub down_site_specific: usize,
    /// Members with successive timeouts.
    pub silent: usize,
    /// Servers with a hard failure since their last answer, including those out of service.
    pub failing: usize,
    /// Servers out of service: excluded or draining.
    pub out_of_service: usize,
    /// Servers out of service that operators have excluded.
    pub excluded: usize,
}

impl ServerCounts {
    pub fn of<'a>(
        servers: impl Iterator<Item = &'a Server>,
        now: Time,
        guards: &Guards,
    ) -> ServerCounts {
        let mut counts = ServerCounts::default();
        servers.for_each(|server| counts.add(server, now, guards));
        counts
    }

    fn add(&mut self, server: &Server, now: Time, guards: &Guards) {
        let recent = server.is_evidence_recent(now);
        self.failing += usize::from(recent && server.hard_failures > 0);
        if server.endpoint_state == EndpointState::Removed && !server.excluded {
            return;
        }
        if server.is_out_of_service() {
            self.out_of_service += 1;
            self.excluded += usize::from(server.excluded);
            return;
        }
        self.members += 1;
        self.down += usize::from(recent && server.is_down(guards));
        self.down_site_specific += usize::from(server.site_specific_failures >= FAILURE_THRESHOLD);
        self.silent += usize::from(recent && server.timeouts >= FAILURE_THRESHOLD);
    }

    /// Evidence that the site is degraded, if there is any.
    pub fn degraded_by(&self) -> Option<Evidence> {
        if self.down + self.silent > 0 {
            Some(Evidence::Failures)
        } else if self.excluded > 0 {
            Some(Evidence::ManualExclusion)
        } else {
            (self.out_of_service > 0).then_some(Evidence::EndpointList)
        }
    }
}
