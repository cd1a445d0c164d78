//! Who is primary, and how much of it reads may use.
//!
//! **Inputs**: roles reported by probes and answers, each with the time at which it was true, and discovery's belief.
//! The member with the newest evidence of being primary is; discovery's belief counts only for a member that has
//! reported nothing. Where nobody may be probed, a write finds the primary itself: a server that is none rejects it
//! unexecuted and reports its role.
//! **Reads.** Writes can't go elsewhere, so a read that replicas could answer gets a fraction of the primary's
//! concurrency limit: its weight per second of work over that of the best write, within limits.

use crate::interface::*;
use crate::state::{RoleEvidence, Router, Server};

impl Server {
    /// Takes a report on its role unless there is newer evidence.
    pub(crate) fn report_role(&mut self, is_primary: bool, as_of: Time) {
        if self.role.is_none_or(|known| known.as_of <= as_of) {
            self.role = Some(RoleEvidence { is_primary, as_of });
        }
    }
}

impl Router {
    /// The group's primary, if one is known.
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

    /// Whether it has not lately reported that it is none.
    pub(crate) fn may_be_primary(&self, server: &Server) -> bool {
        let lifetime = self.tightest_staleness_bound.max(self.tightest_objective);
        server
            .role
            .is_none_or(|role| self.now.since(role.as_of) >= lifetime)
    }

    /// The fraction of the primary's concurrency limit that is open to this class.
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
