//! The quorum state, and whether a guarded operation is allowed.

use std::time::Duration;

use super::Core;
use crate::event::Action;
use crate::policy::{permission, GuardedOperation, OperationDenied, Permission};
use crate::quorum::{QuorumState, QuorumTracker};

impl Core {
    /// Updates the quorums, and reports the state of the fleet if it changed.
    pub(super) fn update_quorum(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let hold = self.config.quorum_hold;
        self.fleet_quorum
            .update(now, self.observations.fleet_counts(), hold);
        for (region, counts) in self.observations.region_counts() {
            if let Some(quorum) = self.region_quorums.get_mut(region) {
                quorum.update(now, *counts, hold);
            }
        }
        let state = self.quorum_state(now);
        if state != self.reported_state {
            self.reported_state = state;
            actions.push(Action::QuorumStateChanged(state));
        }
    }

    /// Whether this process suspects itself. A pause counts even before the next event is handled, because a paused
    /// process may first check an operation.
    pub(super) fn is_self_suspected(&self, now: Duration) -> bool {
        self.self_suspicion.is_some() || self.is_late(now)
    }

    pub(super) fn quorum_state(&self, now: Duration) -> QuorumState {
        if self.is_self_suspected(now) {
            self.fleet_quorum.state.min(QuorumState::Degraded)
        } else {
            self.fleet_quorum.state
        }
    }

    /// Checks whether an operation is allowed at `now`: in the whole fleet, or in one region if it concerns only that
    /// region.
    pub fn check_operation(
        &self,
        now: Duration,
        operation: GuardedOperation,
        region: Option<&str>,
    ) -> Result<(), OperationDenied> {
        let self_suspected = self.is_self_suspected(now);
        for (region, quorum) in self.quorums_for(operation, region)? {
            let permission = permission(operation, quorum.state, self_suspected);
            self.check_permission(permission, self_suspected, region, quorum)?;
        }
        if self.has_left && operation == GuardedOperation::Lend {
            return Err(OperationDenied::Left);
        }
        Ok(())
    }

    /// The quorums that an operation depends on. A promotion in a region also depends on the quorum of the fleet.
    fn quorums_for<'a>(
        &'a self,
        operation: GuardedOperation,
        region: Option<&'a str>,
    ) -> Result<Vec<(Option<&'a str>, &'a QuorumTracker)>, OperationDenied> {
        let fleet = (None, &self.fleet_quorum);
        let Some(name) = region else {
            return Ok(vec![fleet]);
        };
        let Some(quorum) = self.region_quorums.get(name) else {
            return Err(OperationDenied::UnknownRegion(name.to_owned()));
        };
        let regional = (region, quorum);
        if operation == GuardedOperation::Promote {
            Ok(vec![fleet, regional])
        } else {
            Ok(vec![regional])
        }
    }

    fn check_permission(
        &self,
        permission: Permission,
        self_suspected: bool,
        region: Option<&str>,
        quorum: &QuorumTracker,
    ) -> Result<(), OperationDenied> {
        match permission {
            Permission::Allowed | Permission::UntilExpiry => Ok(()),
            Permission::Denied | Permission::IfRosterAgreed if self_suspected => {
                Err(OperationDenied::SelfSuspected)
            }
            Permission::Denied => Err(OperationDenied::NoQuorum {
                state: quorum.state,
                alive: quorum.counts.alive,
                total: quorum.counts.total,
                region: region.map(str::to_owned),
            }),
            Permission::IfRosterAgreed if self.has_left => Err(OperationDenied::Left),
            Permission::IfRosterAgreed => match self.observations.roster_mismatches() {
                0 => Ok(()),
                members => Err(OperationDenied::RosterDiffers(members)),
            },
        }
    }
}
