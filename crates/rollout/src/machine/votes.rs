//! Votes and quorums: the stages that this process votes for, and the stages that a majority has voted for.

use super::{CurrentRollout, StageMachine, StepInput};
use crate::evidence::Verdict;
use crate::guard::guard;
use crate::messages::{Readiness, Vote};
use crate::peer::Peer;
use crate::stages::{entry_stages, quorum_regions, stage_count};
use std::time::Duration;

impl StageMachine {
    /// The number of stages that this process votes for.
    pub(super) fn votes_cast(&self, input: &StepInput<'_>, verdict: Verdict, now: Duration) -> u8 {
        let Some(current) = &self.current else {
            return 0;
        };
        if self.halt_record().is_some() {
            return 0;
        }
        let next = usize::from(current.quorums_seen) + 1;
        let may_advance = match current.quorums_seen {
            0 => self.no_other_version_runs(now, current, input),
            _ if next > stage_count(&current.proposal) => false,
            _ => verdict == Verdict::Clean || !guard!(self, CleanEvidence),
        };
        if may_advance
            && self.is_confirmed_or_first(current)
            && self.members_can_run(current, next, input)
        {
            current.quorums_seen + 1
        } else {
            current.quorums_seen
        }
    }

    pub(super) fn is_confirmed_or_first(&self, current: &CurrentRollout) -> bool {
        self.confirmed || current.quorums_seen == 0
    }

    /// Whether no other new version can still be running: each member follows this proposal, or was unreachable for so long
    /// that it has rolled back on its own.
    pub(super) fn no_other_version_runs(
        &self,
        now: Duration,
        current: &CurrentRollout,
        input: &StepInput<'_>,
    ) -> bool {
        let proposal = &current.proposal;
        let follows_this = |peer: &Peer| {
            peer.name == self.name
                || input
                    .votes
                    .get(&peer.name)
                    .is_some_and(|vote| vote.is_for(proposal))
        };
        let rolled_back = |peer: &Peer| {
            self.unreachable_since
                .get(&peer.name)
                .is_some_and(|since| now.saturating_sub(*since) >= self.unreachable_timeout * 2)
        };
        !guard!(self, SingleNewVersion)
            || input
                .peers
                .iter()
                .all(|peer| follows_this(peer) || rolled_back(peer))
    }

    /// Whether all reachable members that run the version in this stage have reported that they can run it, and no member has
    /// reported that it cannot.
    pub(super) fn members_can_run(
        &self,
        current: &CurrentRollout,
        stage: usize,
        input: &StepInput<'_>,
    ) -> bool {
        let proposal = &current.proposal;
        let entries = entry_stages(proposal, input.peers);
        input.peers.iter().all(|peer| {
            if entries
                .get(peer.name.as_str())
                .is_none_or(|entry| usize::from(*entry) > stage)
            {
                return true;
            }
            if peer.name == self.name {
                return current.readiness == Readiness::Ready;
            }
            match input
                .votes
                .get(&peer.name)
                .filter(|vote| vote.is_for(proposal))
                .map(|vote| &vote.readiness)
            {
                Some(Readiness::Ready) => true,
                Some(_) => false,
                None => !peer.reachable,
            }
        })
    }

    /// This process's vote on the current proposal.
    pub fn vote(&self, peers: &[Peer]) -> Option<Vote> {
        let current = self.current.as_ref()?;
        let proposal = &current.proposal;
        Some(Vote {
            epoch: proposal.epoch,
            hash: proposal.hash,
            proposer: proposal.proposer.clone(),
            votes: if self.halt_record().is_some() {
                0
            } else {
                current.votes
            },
            quorums_seen: current.quorums_seen,
            runs_new: self.runs_new_here(peers),
            readiness: current.readiness.clone(),
        })
    }

    /// Whether a majority of each region that the stage requires has voted for it. The canary also requires a majority of the
    /// whole roster.
    pub(super) fn has_quorum(
        &self,
        current: &CurrentRollout,
        stage: usize,
        input: &StepInput<'_>,
    ) -> bool {
        let regions = quorum_regions(&current.proposal, stage);
        let promotable = regions
            .last()
            .is_some_and(|region| input.promotable_regions.contains(*region));
        if guard!(self, PromotableRegion) && !promotable {
            return false;
        }
        let counts_unreachable = guard!(self, Roster);
        let has_majority = |is_counted: &dyn Fn(&Peer) -> bool| {
            let counted = || {
                input
                    .peers
                    .iter()
                    .filter(|peer| is_counted(peer) && (counts_unreachable || peer.reachable))
            };
            let votes = counted()
                .filter(|peer| self.votes_of(peer, current, input) >= stage)
                .count();
            votes * 2 > counted().count() || !guard!(self, Quorum)
        };
        regions
            .iter()
            .all(|region| has_majority(&|peer| peer.region == **region))
            && (stage > 1 || has_majority(&|_| true))
    }

    /// The number of stages of the current proposal that a member votes for.
    fn votes_of(&self, peer: &Peer, current: &CurrentRollout, input: &StepInput<'_>) -> usize {
        let votes = if peer.name == self.name {
            current.votes
        } else {
            input
                .votes
                .get(&peer.name)
                .filter(|vote| vote.is_for(&current.proposal))
                .map_or(0, |vote| vote.votes)
        };
        usize::from(votes)
    }

    /// Advances through all stages that have a quorum.
    pub(super) fn advance_stages(&mut self, input: &StepInput<'_>) {
        if guard!(self, HaltPrecedence) && self.halt_record().is_some() {
            return;
        }
        let Some(mut current) = self.current.take() else {
            return;
        };
        let stages = stage_count(&current.proposal);
        if !self.confirmed
            && current.quorums_seen > 0
            && self.has_quorum(&current, usize::from(current.quorums_seen), input)
        {
            self.confirmed = true;
        }
        while (self.confirmed || current.quorums_seen == 0)
            && usize::from(current.quorums_seen) < stages
            && self.has_quorum(&current, usize::from(current.quorums_seen) + 1, input)
        {
            current.quorums_seen += 1;
            current.votes = current.votes.max(current.quorums_seen);
            self.confirmed = true;
        }
        self.current = Some(current);
    }
}
