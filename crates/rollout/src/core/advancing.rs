//! Processing of an observation: decodes the facts, evaluates the evidence, steps the stage machine, and carries out its
//! decisions.

use super::{Core, COUNTS, HALTS, PLANNED_RESTART, PROPOSAL, VOTE};
use crate::event::{Action, PeerFact};
use crate::evidence::{Evidence, ReportedCounts, Verdict};
use crate::machine::StepInput;
use crate::messages::{
    self, HaltRecord, PlannedRestart, Proposal, Readiness, TrafficCounts, VersionHash, Vote,
};
use crate::monitor::{MonitorVerdict, ReceivedVote};
use crate::stages::comparable_entrants;
use std::collections::BTreeMap;
use std::time::Duration;

/// Decoded facts of other members, except votes, which the core keeps.
#[derive(Default)]
struct DecodedFacts {
    proposals: Vec<Proposal>,
    halts: Vec<HaltRecord>,
    /// Name, incarnation and counts of each source.
    counts: Vec<(String, u64, TrafficCounts)>,
    planned_restarts: BTreeMap<String, PlannedRestart>,
}

impl Core {
    pub(super) fn advance(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let facts = self.decode_facts();
        self.evaluate_evidence(now, &facts);
        let was_in_progress = self.machine.is_in_progress();
        self.step_machine(now, &facts);
        let rollout_of =
            |subject: Option<(u64, VersionHash, u8)>| subject.map(|(epoch, hash, _)| (epoch, hash));
        let before = rollout_of(self.evidence_subject);
        self.reset_evidence_on_change(now);
        let after = rollout_of(self.evidence_subject);
        self.monitor_new_members();
        let superseded = was_in_progress && before.is_some() && before != after;
        self.superseded_proposals += u64::from(superseded);
        let persisted = self.apply(now, actions);
        self.publish(now, persisted, actions);
    }

    fn decode_facts(&mut self) -> DecodedFacts {
        let mut decoded = DecodedFacts::default();
        self.votes.clear();
        for fact in &self.observation.facts {
            if decode_fact(fact, &mut decoded, &mut self.votes).is_none() {
                self.malformed_facts += 1;
            }
        }
        // Other members may send back a vote of an earlier incarnation of this member. The current vote is in the machine.
        self.votes.remove(&self.config.name);
        decoded
    }

    fn evaluate_evidence(&mut self, now: Duration, facts: &DecodedFacts) {
        let own_name = self.config.name.as_str();
        let own_counts = self.own_counts();
        let others = facts
            .counts
            .iter()
            .filter(|(name, _, counts)| name != own_name && counts.epoch == own_counts.epoch)
            .map(|(name, incarnation, counts)| (name.as_str(), *incarnation, counts.clone()));
        let all_counts = others.chain([(own_name, self.config.incarnation, own_counts.clone())]);
        let regions: BTreeMap<&str, &str> = self
            .observation
            .peers
            .iter()
            .map(|peer| (peer.name.as_str(), peer.region.as_str()))
            .collect();
        let reports = all_counts.filter_map(|(name, incarnation, counts)| {
            Some(ReportedCounts {
                name,
                region: regions.get(name).copied()?,
                incarnation,
                counts,
            })
        });
        self.evidence.observe(now, reports);
        let monitored = self.monitor_members(now, &facts.planned_restarts);
        let entrants = self.machine.current().map_or_else(Vec::new, |current| {
            comparable_entrants(
                &current.proposal,
                &self.observation.peers,
                current.quorums_seen,
            )
        });
        self.verdict = match (monitored, self.evidence.verdict(now, &entrants)) {
            (MonitorVerdict::Harm(reason), _) => Verdict::Harm(reason),
            (MonitorVerdict::Waiting, Verdict::Clean) => Verdict::MembersMissing,
            (_, verdict) => verdict,
        };
    }

    fn step_machine(&mut self, now: Duration, facts: &DecodedFacts) {
        let verdict = if self.evidence_is_current() {
            self.verdict
        } else {
            Verdict::InsufficientTraffic
        };
        let votes = self
            .votes
            .iter()
            .map(|(name, received)| (name.clone(), received.vote.clone()))
            .collect();
        let input = StepInput {
            peers: &self.observation.peers,
            promotable_regions: &self.observation.promotable_regions,
            votes: &votes,
            proposals: &facts.proposals,
            halts: &facts.halts,
            verdict,
        };
        self.machine.step(now, &input);
    }

    fn monitor_new_members(&mut self) {
        if !self.machine.is_in_progress() {
            return;
        }
        if let Some(current) = self.machine.current() {
            self.monitor.add_members(
                &current.proposal,
                current.quorums_seen,
                &self.observation.peers,
                &self.votes,
            );
        }
    }

    /// Subject of the evidence: epoch and version of the current proposal, and its stage.
    fn current_subject(&self) -> Option<(u64, VersionHash, u8)> {
        self.machine
            .current()
            .map(|c| (c.proposal.epoch, c.proposal.hash, c.quorums_seen))
    }

    fn evidence_is_current(&self) -> bool {
        self.evidence_subject == self.current_subject()
    }

    /// Resets the evidence for a new rollout. A new stage of the same rollout only restarts the soak time and the evidence of
    /// the stage.
    fn reset_evidence_on_change(&mut self, now: Duration) {
        let subject = self.current_subject();
        if self.evidence_subject == subject {
            return;
        }
        let rollout_of =
            |subject: Option<(u64, VersionHash, u8)>| subject.map(|(epoch, hash, _)| (epoch, hash));
        if rollout_of(self.evidence_subject) == rollout_of(subject) {
            self.evidence.start_stage(now);
        } else {
            self.evidence = Evidence::new(self.config.evidence_limits, now);
            self.monitor.clear();
        }
        self.evidence_subject = subject;
    }

    fn monitor_members(
        &mut self,
        now: Duration,
        planned_restarts: &BTreeMap<String, PlannedRestart>,
    ) -> MonitorVerdict {
        match self
            .machine
            .current()
            .filter(|_| self.machine.is_in_progress())
        {
            Some(current) => self.monitor.observe(
                now,
                &current.proposal,
                &self.observation.peers,
                &self.votes,
                planned_restarts,
            ),
            None => {
                self.monitor.clear();
                MonitorVerdict::Healthy
            }
        }
    }

    /// Carries out the decisions of the machine. Returns whether the current state is on the disk.
    fn apply(&mut self, now: Duration, actions: &mut Vec<Action>) -> bool {
        let phase = self.machine.phase();
        if phase != self.phase {
            self.phase = phase;
            actions.push(Action::PhaseChanged(phase));
        }
        self.check_version(now, actions);
        let persisted = self.persist(now, actions);
        self.run_version(now, persisted, actions);
        persisted
    }

    fn check_version(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(current) = self.machine.current() else {
            return;
        };
        let (epoch, hash) = (current.proposal.epoch, current.proposal.hash);
        let unable = matches!(current.readiness, Readiness::Unable(_));
        let already_checked = self.last_check.is_some_and(|(last_epoch, last_hash, at)| {
            // A file that was missing or invalid may have been replaced since then.
            let must_repeat = unable && now.saturating_sub(at) >= self.config.message_ttl;
            (last_epoch, last_hash) == (epoch, hash) && !must_repeat
        });
        if !already_checked {
            self.last_check = Some((epoch, hash, now));
            actions.push(Action::CheckVersion(hash));
        }
    }

    fn persist(&mut self, now: Duration, actions: &mut Vec<Action>) -> bool {
        let state = messages::encode(&self.machine.persisted_state());
        let persisted = state == self.persisted;
        let may_start =
            self.persisting.is_none() && self.persist_retry_at.is_none_or(|at| now >= at);
        if !persisted && may_start {
            self.persisting = Some(state.clone());
            actions.push(Action::Persist(state));
        }
        persisted
    }

    /// Requests the version that the machine has selected. A rollback is immediate. The new version runs only after the state
    /// is on the disk and this process's vote has been published for at least one observation: if the new version crashes the
    /// process, the other members must know that it ran that version.
    fn run_version(&mut self, now: Duration, persisted: bool, actions: &mut Vec<Action>) {
        let version = self.machine.running_version(&self.observation.peers);
        let announced = persisted && self.runs_new_since.is_some_and(|at| at < now);
        let may_run = version == self.machine.base_version() || announced;
        if version != self.running_version && may_run {
            self.running_version = version;
            actions.push(Action::RunVersion(version));
        }
    }
}

/// `None` if the fact has an unknown kind or cannot be decoded.
fn decode_fact(
    fact: &PeerFact,
    decoded: &mut DecodedFacts,
    votes: &mut BTreeMap<String, ReceivedVote>,
) -> Option<()> {
    let source = || fact.source.clone();
    match fact.kind {
        PROPOSAL => decoded.proposals.push(messages::decode(&fact.body)?),
        VOTE => {
            let vote: Vote = messages::decode(&fact.body)?;
            let incarnation = fact.incarnation;
            votes.insert(source(), ReceivedVote { incarnation, vote });
        }
        HALTS => {
            let halts: Vec<HaltRecord> = messages::decode(&fact.body)?;
            decoded.halts.extend(halts);
        }
        COUNTS => {
            let counts = messages::decode(&fact.body)?;
            decoded.counts.push((source(), fact.incarnation, counts));
        }
        PLANNED_RESTART => {
            let restart = messages::decode(&fact.body)?;
            decoded.planned_restarts.insert(source(), restart);
        }
        _ => return None,
    }
    Some(())
}
