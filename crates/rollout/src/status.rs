//! The state of a rollout that is shown to operators.

use crate::evidence::{EvidenceSummary, Verdict};
use crate::machine::Phase;
use crate::member_evidence::MemberFigures;
use crate::messages::{HaltRecord, Proposal, VersionHash, Vote};

/// The state of a rollout as one process sees it.
#[derive(Clone, Debug)]
pub struct Status {
    /// The phase of the rollout.
    pub phase: Phase,
    /// The proposal that this process follows.
    pub proposal: Option<Proposal>,
    /// The halt of that proposal.
    pub halt: Option<HaltRecord>,
    /// The version that runs here.
    pub running_version: VersionHash,
    /// The verdict from the evidence and the monitored members.
    pub verdict: Verdict,
    /// Figures of the canary analysis.
    pub evidence: EvidenceSummary,
    /// Name and figures of each member that ran the new version in this stage.
    pub stage_evidence: Vec<(String, MemberFigures)>,
    /// Name and last vote of each member.
    pub members: Vec<(String, Vote)>,
    /// Number of proposals that were replaced by one of higher rank before their rollout had ended.
    pub superseded_proposals: u64,
    /// Number of facts that could not be decoded.
    pub malformed_facts: u64,
    /// Whether the state that an earlier process persisted could not be decoded.
    pub state_unreadable: bool,
    /// Name and number of planned restarts of each member that had any during this rollout.
    pub planned_restarts: Vec<(String, u32)>,
    /// Whether the last attempt to persist failed. The vote of this process stays unchanged until an attempt succeeds.
    pub persisting_fails: bool,
}
