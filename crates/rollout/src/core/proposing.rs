//! Proposals of this process, and updates of its incarnation.

use super::Core;
use crate::command::CommandRejected;
use crate::messages::{self, PlannedRestart, Proposal, VersionHash, BODY_BYTES};
use crate::stages::MAX_REGIONS;
use std::collections::BTreeSet;

impl Core {
    /// Takes over a later incarnation that the membership has assigned to this process, also for an announced planned restart.
    pub(super) fn update_incarnation(&mut self) {
        let me = self
            .observation
            .peers
            .iter()
            .find(|peer| peer.name == self.config.name);
        let Some(incarnation) = me
            .and_then(|me| me.incarnation)
            .filter(|incarnation| *incarnation != self.config.incarnation)
        else {
            return;
        };
        self.config.incarnation = incarnation;
        self.planned_restart = self.planned_restart.map(|restart| match restart {
            PlannedRestart::Leaving(_) => PlannedRestart::Leaving(incarnation),
            PlannedRestart::TookOver(_) => PlannedRestart::TookOver(incarnation),
        });
    }

    /// Proposes a version with an epoch greater than all epochs that this process has received, and follows the proposal.
    pub(super) fn propose(
        &mut self,
        hash: VersionHash,
        order: Vec<String>,
        canary_size: u16,
        resume: bool,
    ) -> Result<(), CommandRejected> {
        self.check_proposable(hash, resume)?;
        if !self.names_each_region_once(&order) {
            return Err(CommandRejected::InvalidOrder(order));
        }
        let epoch = self.next_epoch();
        let proposal = Proposal {
            epoch,
            hash,
            proposer: self.config.name.clone(),
            order,
            canary: canary_size,
        };
        let length = messages::encode(&proposal).len();
        if length > BODY_BYTES {
            return Err(CommandRejected::OrderTooLong(length));
        }
        self.machine.adopt(&proposal);
        Ok(())
    }

    fn check_proposable(&self, hash: VersionHash, resume: bool) -> Result<(), CommandRejected> {
        if self.machine.is_in_progress() {
            return Err(CommandRejected::InProgress(self.machine.epoch()));
        }
        if hash == self.running_version {
            return Err(CommandRejected::AlreadyRunning);
        }
        let halted = self.machine.halts().iter().find(|h| h.hash == hash);
        match halted {
            Some(halted) if !resume => Err(CommandRejected::HaltedBefore(halted.epoch)),
            _ => Ok(()),
        }
    }

    fn names_each_region_once(&self, order: &[String]) -> bool {
        let peers = &self.observation.peers;
        let regions: BTreeSet<&String> = peers.iter().map(|peer| &peer.region).collect();
        order.len() <= MAX_REGIONS
            && order.len() == regions.len()
            && order.iter().all(|region| regions.contains(region))
    }

    /// An epoch greater than all that this process has received, including those of halts and votes.
    fn next_epoch(&self) -> u64 {
        let voted_epochs = self.votes.values().map(|received| received.vote.epoch);
        let greatest = self.machine.epoch().max(voted_epochs.max().unwrap_or(0));
        greatest.saturating_add(1)
    }
}
