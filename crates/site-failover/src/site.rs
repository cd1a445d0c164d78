//! A site: its state, the evidence for it, and the counts of its servers.

use crate::server::{Server, FAILURE_THRESHOLD};
use crate::settings::Guards;
use crate::{EndpointState, Time};

/// State of a site, as this proxy sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum SiteState {
    /// All servers answer.
    Healthy,
    /// Some of its servers are down, silent or away.
    Degraded,
    /// Nothing can be requested of it from here.
    Lost,
    /// It answers again.
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

    /// The operators' word.
    pub fn name(self) -> &'static str {
        match self {
            SiteState::Healthy => "whole",
            SiteState::Degraded => "weakened",
            SiteState::Lost => "lost",
            SiteState::Returning => "returning",
        }
    }
}

/// What a state is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Evidence {
    /// Its servers answer.
    Answers,
    /// Its servers can't be reached, reset connections or time out.
    Failures,
    /// The same, and other proxies know that they work: the link from here is cut.
    LinkCut,
    /// The endpoint list does not name its servers as ready.
    EndpointList,
    /// Operators have excluded its servers.
    ManualExclusion,
}

impl Evidence {
    /// The operators' word.
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

/// What is known of a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The site.
    pub site: u16,
    /// Its state.
    pub state: SiteState,
    /// What the state is based on.
    pub evidence: Evidence,
    /// When the state began.
    pub since: Time,
    /// Servers that are not away.
    pub members: usize,
    /// Members that are down.
    pub down: usize,
    /// Changes to [`SiteState::Lost`] so far.
    pub losses: u64,
}

/// Suspicion that a site is lost, from a failure with no answer after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Suspicion {
    /// Since when another site is known to have answered meanwhile.
    pub site_specific_since: Option<Time>,
    pub first_at: Time,
    pub last_at: Time,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Site {
    pub state: SiteState,
    pub evidence: Evidence,
    pub since: Time,
    /// Members when it last had any.
    pub last_members: usize,
    /// When the list first named it.
    pub listed_at: Time,
    /// When it last changed to or from [`SiteState::Lost`].
    pub loss_changed_at: Option<Time>,
    /// The last answer of any of its servers, also of those that are away.
    pub answered_at: Option<Time>,
    pub suspicion: Option<Suspicion>,
    /// Answers of members since it was lost.
    pub answers_since_loss: u8,
    /// When it was last seen degraded.
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

    /// Changes the state.
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
    /// Servers that are not away.
    pub members: usize,
    /// Members that are down.
    pub down: usize,
    /// Members that failed while other sites answered.
    pub down_site_specific: usize,
    /// Members with timeouts only.
    pub silent: usize,
    /// Servers with a hard failure since their last answer, also those that are away.
    pub failing: usize,
    /// Servers that are away.
    pub out_of_service: usize,
    /// Those of them that operators have excluded.
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

    /// Why a site is degraded, if it is.
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
