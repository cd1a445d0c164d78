//! The group's primary, and the part of its capacity that is open to reads.
//!
//! - **Inputs**: roles reported by probes and answers, each with the time at which it was true, and the role in the
//!   endpoint list. The member with the newest evidence of being primary is the primary; the endpoint list counts only
//!   for a member that has reported nothing. Where probes are not allowed, a write finds the primary by itself: any
//!   other member rejects it without executing it and reports its role.
//! - **Reads.** Writes cannot go elsewhere, so a read that replicas could answer gets only a fraction of the primary's
//!   concurrency limit: its weight per second of work divided by that of the best write, within limits.

use crate::interface::*;
use crate::state::{RoleEvidence, Router, Server};

impl Server {
    /// Records a reported role unless there is newer evidence.
    pub(crate) fn report_role(&mut self, is_primary: bool, as_of: Time) {
        if self.role.is_none_or(|known| known.as_of <= as_of) {
            self.role = Some(RoleEvidence { is_primary, as_of });
        }
    }
}

impl Router {
    /// The group's primary, if known.
    pub(crate) fn primary(&self, group: GroupId) -> Option<ServerId> {
        let evidence = |id: &&ServerId| {
            let server = &self.servers[*id];
            match server.role {
                _ if server.is_draining() => None,
                Some(role) => role.is_primary.then_some((true, role.as_of)),
                None => server.listed_primary.then_some((false, Time::ZERO)),
            }
        };
        self.members(group)
            .iter()
            .filter(|id| evidence(id).is_some())
            .max_by_key(evidence)
            .copied()
    }

    /// Whether the server has not recently reported that it is not the primary.
    pub(crate) fn may_be_primary(&self, server: &Server) -> bool {
        let lifetime = self.tightest_staleness_bound.max(self.tightest_objective);
        server
            .role
            .is_none_or(|role| self.now.since(role.as_of) >= lifetime)
    }

    /// Fraction of the primary's concurrency limit that is open to this class.
    pub(crate) fn primary_fraction(&self, class: ClassId) -> f64 {
        if self.needs_primary(class) {
            return 1.0;
        }
        let best_write_priority = self
            .settings
            .classes
            .iter()
            .zip(&self.class_work)
            .filter(|(class, _)| class.consistency == Consistency::Write)
            .map(|(class, work)| class.priority_weight / work.as_secs_f64())
            .fold(0.0, f64::max);
        let work = self.class_work[usize::from(class.0)];
        let read_priority = self.class(class).priority_weight / work.as_secs_f64();
        (read_priority / best_write_priority).clamp(self.tuning.primary_read_fraction_min, 1.0)
    }
}
