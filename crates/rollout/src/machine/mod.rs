//! The stage machine decides which proposal a proxy follows, which stage it has reached, and which version it runs. There is
//! no leader: each proxy advances on its own, based on the votes of all members.

mod halting;
mod votes;

use crate::evidence::Verdict;
use crate::guard::guard;
#[cfg(test)]
use crate::guard::Guard;
use crate::messages::{self, HaltReason, HaltRecord, Proposal, Readiness, VersionHash, Vote};
use crate::peer::Peer;
use crate::stages::{entry_stage, stage_count, MAX_REGIONS};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Input of one step: the fleet's state as known to this process.
pub struct StepInput<'a> {
    /// All members of the roster.
    pub peers: &'a [Peer],
    /// Regions to which this process may promote a change now.
    pub promotable_regions: &'a BTreeSet<String>,
    /// The last unexpired vote of each other member. The key is the name of the member.
    pub votes: &'a BTreeMap<String, Vote>,
    /// Proposals received from other members.
    pub proposals: &'a [Proposal],
    /// Halts received from other members.
    pub halts: &'a [HaltRecord],
    /// The verdict on the current stage.
    pub verdict: Verdict,
}

/// The phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// There is no rollout.
    Idle,
    /// The proposal waits for the votes for its canary.
    Proposed,
    /// The canary runs the new version.
    Canary,
    /// The rollout has reached the region at this index of the order, from 0.
    Region(usize),
    /// The whole fleet runs the new version.
    Complete,
    /// The rollout was halted for this reason.
    Halted(HaltReason),
    /// An operator rolled back to the previous version.
    RolledBack,
}

/// The proposal that this process follows.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CurrentRollout {
    /// The proposal that is rolled out.
    pub proposal: Proposal,
    /// Number of stages for which this process has seen a quorum; stage 1 is the canary.
    pub quorums_seen: u8,
    /// Number of stages that this process votes for.
    pub votes: u8,
    /// Whether this process can run the new version.
    pub readiness: Readiness,
}

/// The state machine of a rollout in one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StageMachine {
    name: String,
    unreachable_timeout: Duration,
    base_version: VersionHash,
    current: Option<CurrentRollout>,
    halts: Vec<HaltRecord>,
    /// The time since which this process runs the new version but may not promote a change in its region.
    partitioned_since: Option<Duration>,
    /// The time since which each unreachable member is unreachable. The key is the name of the member.
    unreachable_since: BTreeMap<String, Duration>,
    /// Whether this process has seen a quorum for its stage since it started or adopted the proposal.
    confirmed: bool,
    #[cfg(test)]
    pub(crate) disabled_guard: Option<Guard>,
}

impl StageMachine {
    /// A machine that runs `base_version`. A process that cannot promote for `unreachable_timeout` rolls back.
    pub fn new(name: &str, base_version: VersionHash, unreachable_timeout: Duration) -> Self {
        Self {
            name: name.to_owned(),
            unreachable_timeout,
            base_version,
            current: None,
            halts: Vec::new(),
            partitioned_since: None,
            unreachable_since: BTreeMap::new(),
            confirmed: false,
            #[cfg(test)]
            disabled_guard: None,
        }
    }

    /// Restores the state that an earlier process persisted. The restored stages count as votes only: this process does not
    /// run the new version until it has seen a quorum again, since the rollout may have been halted in the meantime.
    pub(crate) fn restore(&mut self, persisted: messages::PersistedState) {
        if guard!(self, PersistedHalts) {
            self.merge_halts(&persisted.halts);
        }
        self.current = persisted
            .proposal
            .filter(|proposal| proposal.order.len() <= MAX_REGIONS)
            .map(|proposal| {
                // A state file with more stages than the proposal has was modified.
                let quorums_seen = u8::try_from(stage_count(&proposal))
                    .map_or(0, |stages| persisted.quorums_seen.min(stages));
                CurrentRollout {
                    proposal,
                    quorums_seen,
                    votes: quorums_seen,
                    readiness: Readiness::Unchecked,
                }
            });
        self.confirmed = false;
    }

    pub(crate) fn persisted_state(&self) -> messages::PersistedState {
        messages::PersistedState {
            base: self.base_version,
            proposal: self.current.as_ref().map(|c| c.proposal.clone()),
            quorums_seen: self.current.as_ref().map_or(0, |c| c.quorums_seen),
            halts: self.halts.clone(),
        }
    }

    /// The rollout that this process follows, if any.
    pub fn current(&self) -> Option<&CurrentRollout> {
        self.current.as_ref()
    }

    /// All halts that are kept, the latest first.
    pub fn halts(&self) -> &[HaltRecord] {
        &self.halts
    }

    /// The version that runs where the new version does not.
    pub fn base_version(&self) -> VersionHash {
        self.base_version
    }

    /// The greatest epoch of the current proposal and all kept halts; 0 if there are none.
    pub fn epoch(&self) -> u64 {
        let halted = self.halts.iter().map(|h| h.epoch).max();
        self.current
            .as_ref()
            .map(|c| c.proposal.epoch)
            .max(halted)
            .unwrap_or_default()
    }

    /// The phase of the current rollout.
    pub fn phase(&self) -> Phase {
        let Some(current) = &self.current else {
            return Phase::Idle;
        };
        match (self.halt_record(), current.quorums_seen) {
            (
                Some(HaltRecord {
                    reason: HaltReason::Rollback,
                    ..
                }),
                _,
            ) => Phase::RolledBack,
            (Some(halted), _) => Phase::Halted(halted.reason),
            (None, 0) => Phase::Proposed,
            (None, 1) => Phase::Canary,
            (None, n) if usize::from(n) == stage_count(&current.proposal) => Phase::Complete,
            (None, n) => Phase::Region(usize::from(n) - 2),
        }
    }

    /// Whether a rollout is neither complete nor halted.
    pub fn is_in_progress(&self) -> bool {
        matches!(
            self.phase(),
            Phase::Proposed | Phase::Canary | Phase::Region(_)
        )
    }

    /// Whether this process may run the new version.
    pub fn runs_new_here(&self, peers: &[Peer]) -> bool {
        let Some(current) = &self.current else {
            return false;
        };
        let not_halted = self.halt_record().is_none() || !guard!(self, HaltPrecedence);
        not_halted
            && self.confirmed
            && current.readiness == Readiness::Ready
            && entry_stage(&current.proposal, peers, &self.name)
                .is_some_and(|stage| current.quorums_seen >= stage)
    }

    /// The version that this process has to run.
    pub fn running_version(&self, peers: &[Peer]) -> VersionHash {
        match &self.current {
            Some(current) if self.runs_new_here(peers) => current.proposal.hash,
            _ => self.base_version,
        }
    }

    /// Sets the result of checking a version. Results for other versions than the proposed one are ignored.
    pub fn set_readiness(&mut self, hash: VersionHash, readiness: Readiness) {
        if let Some(current) = self.current.as_mut().filter(|c| c.proposal.hash == hash) {
            current.readiness = readiness;
        }
    }

    /// Follows a proposal if its rank is higher than that of the current one.
    pub fn adopt(&mut self, proposal: &Proposal) {
        let previous = self.current.as_ref();
        if previous.is_some_and(|c| c.proposal.rank() >= proposal.rank())
            || proposal.order.len() > MAX_REGIONS
        {
            return;
        }
        if self.phase() == Phase::Complete && self.confirmed {
            self.base_version = previous.map_or(self.base_version, |c| c.proposal.hash);
        }
        self.current = Some(CurrentRollout {
            proposal: proposal.clone(),
            quorums_seen: 0,
            votes: 0,
            readiness: Readiness::Unchecked,
        });
        (self.partitioned_since, self.confirmed) = (None, false);
    }

    /// Processes the input: merges halts and proposals, halts on harm, advances through the stages and votes.
    pub fn step(&mut self, now: Duration, input: &StepInput<'_>) {
        self.merge_halts(input.halts);
        for proposal in input.proposals {
            self.adopt(proposal);
        }
        if self.is_in_progress() {
            if let Verdict::Harm(reason) = input.verdict {
                self.halt(reason);
            }
        }
        self.track_unreachable(now, input);
        let quorums_before = self.current.as_ref().map(|c| c.quorums_seen);
        self.advance_stages(input);
        self.halt_if_partitioned(now, input);
        // The verdict is about the stage before this step. A stage that has just begun has no evidence yet.
        let same_stage = quorums_before == self.current.as_ref().map(|c| c.quorums_seen);
        let votes = self.votes_cast(
            input,
            if same_stage {
                input.verdict
            } else {
                Verdict::InsufficientTraffic
            },
            now,
        );
        if let Some(current) = &mut self.current {
            current.votes = votes;
        }
    }
}
