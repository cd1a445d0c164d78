//! Failures and state of one server, as evidence about its site.

use std::time::Duration;

use crate::settings::Guards;
use crate::{EndpointState, Time};

/// Number of successive hard failures after which a server is down, and of successive timeouts after which it is silent.
pub(crate) const FAILURE_THRESHOLD: u8 = 2;
/// Failures count as evidence for this long after the last one.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(20);

/// Kind of failure of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The server was not reached, or reset a connection.
    Hard,
    /// A request timed out.
    Timeout,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Server {
    pub site: u16,
    pub endpoint_state: EndpointState,
    pub excluded: bool,
    /// Number of successive hard failures without an answer in between; at most [`FAILURE_THRESHOLD`].
    pub hard_failures: u8,
    /// Number of timeouts since the last answer; at most [`FAILURE_THRESHOLD`].
    pub timeouts: u8,
    /// Time of the last hard failure that was counted: connections reset at one instant count as one failure.
    pub hard_failure_at: Option<Time>,
    /// Time of the last failure, whether or not it was counted.
    pub last_failure_at: Time,
    /// Number of failures while the site was suspected and another site had answered; at most [`FAILURE_THRESHOLD`].
    pub site_specific_failures: u8,
}

impl Server {
    pub fn new(site: u16, endpoint_state: EndpointState, now: Time) -> Server {
        Server {
            site,
            endpoint_state,
            excluded: false,
            hard_failures: 0,
            timeouts: 0,
            hard_failure_at: None,
            last_failure_at: now,
            site_specific_failures: 0,
        }
    }

    pub fn clear_failures(&mut self) {
        self.hard_failures = 0;
        self.timeouts = 0;
        self.hard_failure_at = None;
        self.site_specific_failures = 0;
    }

    pub fn has_failures(&self) -> bool {
        (self.hard_failures, self.timeouts) != (0, 0)
    }

    /// Whether the server gets no requests because it is excluded, draining or removed.
    pub fn is_out_of_service(&self) -> bool {
        self.excluded || self.endpoint_state != EndpointState::Ready
    }

    pub fn is_down(&self, guards: &Guards) -> bool {
        self.hard_failures >= FAILURE_THRESHOLD
            || !guards.timeouts && self.timeouts >= FAILURE_THRESHOLD
    }

    pub fn is_evidence_recent(&self, now: Time) -> bool {
        now.saturating_sub(self.last_failure_at) < FORGOTTEN_AFTER
    }

    /// Counts a failure. Returns false if it counts as one with the last hard failure, which is less than `spread` ago.
    pub fn record_failure(&mut self, now: Time, failure: Failure, spread: Duration) -> bool {
        self.last_failure_at = now;
        match failure {
            Failure::Hard => {
                if self.hard_failure_at.is_some_and(|at| now - at < spread) {
                    return false;
                }
                self.hard_failure_at = Some(now);
                self.hard_failures = increment(self.hard_failures);
            }
            Failure::Timeout => self.timeouts = increment(self.timeouts),
        }
        true
    }

    pub fn record_site_specific_failure(&mut self) {
        self.site_specific_failures = increment(self.site_specific_failures);
    }
}

fn increment(failures: u8) -> u8 {
    failures.saturating_add(1).min(FAILURE_THRESHOLD)
}
