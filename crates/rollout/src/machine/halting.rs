//! Halts: merging of halt records, and the automatic halt by a process that is partitioned from the fleet.

use super::{StageMachine, StepInput};
use crate::guard::guard;
use crate::messages::{self, HaltReason, HaltRecord, Proposal, MAX_HALTS};
use std::time::Duration;

impl StageMachine {
    /// The halt that applies to a proposal. An operator may propose the same version again under a later epoch; halts of
    /// earlier epochs do not apply to it.
    pub fn halt_of(&self, p: &Proposal) -> Option<&HaltRecord> {
        self.halts
            .iter()
            .find(|h| h.epoch == p.epoch || (h.hash == p.hash && h.epoch > p.epoch))
    }

    /// The halt of the current proposal.
    pub fn halt_record(&self) -> Option<&HaltRecord> {
        self.current
            .as_ref()
            .and_then(|c| self.halt_of(&c.proposal))
    }

    /// Halts the current rollout. Any member may do this at any time. Returns `false` if there is no rollout or it is
    /// already halted.
    pub fn halt(&mut self, reason: HaltReason) -> bool {
        let Some(current) = &self.current else {
            return false;
        };
        if self.halt_record().is_some() {
            return false;
        }
        let Proposal { epoch, hash, .. } = current.proposal;
        let halted_by = messages::bounded_name(&self.name);
        self.merge_halts(&[HaltRecord {
            epoch,
            hash,
            halted_by,
            reason,
        }]);
        true
    }

    pub(super) fn merge_halts(&mut self, received: &[HaltRecord]) {
        for halted in received {
            if !self
                .halts
                .iter()
                .any(|h| h.epoch == halted.epoch && h.hash == halted.hash)
            {
                // All records must fit into one fact, whatever the length of the name in a received record.
                self.halts.push(HaltRecord {
                    halted_by: messages::bounded_name(&halted.halted_by),
                    ..halted.clone()
                });
            }
        }
        self.halts.sort_by(|a, b| b.cmp(a));
        self.halts.truncate(MAX_HALTS);
    }

    pub(super) fn track_unreachable(&mut self, now: Duration, input: &StepInput<'_>) {
        self.unreachable_since
            .retain(|name, _| input.peers.iter().any(|p| p.name == *name && !p.reachable));
        for peer in input.peers.iter().filter(|peer| !peer.reachable) {
            self.unreachable_since
                .entry(peer.name.clone())
                .or_insert(now);
        }
    }

    /// Halts the rollout if this process runs the new version and could not promote for `unreachable_timeout`: a process
    /// that is partitioned from the fleet would not receive a halt, so it rolls back on its own.
    pub(super) fn halt_if_partitioned(&mut self, now: Duration, input: &StepInput<'_>) {
        let partitioned = self.is_in_progress()
            && self.runs_new_here(input.peers)
            && input
                .peers
                .iter()
                .find(|peer| peer.name == self.name)
                .is_some_and(|peer| !input.promotable_regions.contains(&peer.region));
        self.partitioned_since = if partitioned {
            self.partitioned_since.or(Some(now))
        } else {
            None
        };
        let timed_out = self
            .partitioned_since
            .is_some_and(|since| now.saturating_sub(since) >= self.unreachable_timeout);
        if timed_out && guard!(self, SingleNewVersion) {
            self.halt(HaltReason::Partitioned);
        }
    }
}
