//! Halts: who halted which version and why, and the halt of a process that is cut off.

use super::{StageMachine, StepInput};
use crate::guard::guard;
use crate::messages::{self, HaltReason, HaltRecord, Proposal, MAX_HALTS};
use std::time::Duration;

impl StageMachine {
    /// The halt of a proposal. An operator may propose the same file again under a later epoch: halts before that do not count.
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

    /// Halts the current rollout; any member may, at any time. `false` if there is none, or it is halted already.
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
                // All records have to fit into one fact, however long a name another member sent.
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
        self.unreachable_since.retain(|name, _| {
            input
                .peers
                .iter()
                .any(|peer| peer.name == *name && !peer.reachable)
        });
        for peer in input.peers.iter().filter(|peer| !peer.reachable) {
            self.unreachable_since
                .entry(peer.name.clone())
                .or_insert(now);
        }
    }

    /// A process that runs the new version and is cut off from the fleet would not hear of a halt: it rolls back by itself.
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
