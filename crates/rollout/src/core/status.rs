//! The state of the rollout for operators.

use super::Core;
use crate::evidence::Verdict;
use crate::machine::{Phase, StageMachine};
use crate::messages::Vote;
use crate::status::Status;

impl Core {
    /// The state of the rollout, for operators.
    pub fn status(&self) -> Status {
        let mut members: Vec<(String, Vote)> = self
            .votes
            .iter()
            .map(|(name, received)| (name.clone(), received.vote.clone()))
            .collect();
        members.extend(
            self.machine
                .vote(&self.observation.peers)
                .map(|vote| (self.config.name.clone(), vote)),
        );
        members.sort_by(|a, b| a.0.cmp(&b.0));
        Status {
            phase: self.machine.phase(),
            proposal: self.machine.current().map(|c| c.proposal.clone()),
            halt: self.machine.halt_record().cloned(),
            running_version: self.running_version,
            verdict: self.verdict,
            evidence: self.evidence.summary(),
            stage_evidence: self
                .evidence
                .stage_members()
                .map(|(name, figures)| (name.to_owned(), figures))
                .collect(),
            members,
            superseded_proposals: self.superseded_proposals,
            malformed_facts: self.malformed_facts,
            state_unreadable: self.state_unreadable,
            persisting_fails: self.persist_retry_at.is_some(),
            planned_restarts: self
                .monitor
                .planned_restarts()
                .map(|(name, times)| (name.to_owned(), times))
                .collect(),
        }
    }

    /// The phase of the rollout and the verdict on its stage; `None` without a proposal.
    pub fn progress(&self) -> Option<(Phase, Verdict)> {
        self.machine
            .current()
            .map(|_| (self.machine.phase(), self.verdict))
    }

    /// The stage machine, for tests.
    pub fn machine(&self) -> &StageMachine {
        &self.machine
    }
}
