//! A proxy's part in a rollout: `Core::handle` matches an event and delegates; each concern has a file here.

mod advancing;
mod proposing;
mod publishing;
mod status;

use crate::command::CommandRejected;
use crate::event::{Action, Config, Event, Observation};
use crate::evidence::{Evidence, Verdict};
use crate::machine::{Phase, StageMachine};
use crate::messages::{
    self, ClassCounts, HaltReason, PersistedState, PlannedRestart, Readiness, VersionHash, Vote,
};
use crate::monitor::{CanaryMonitor, ReceivedVote};
use std::collections::BTreeMap;
use std::time::Duration;

// Kinds of facts: numbers on the wire.
const PROPOSAL: u8 = 0;
const VOTE: u8 = 1;
const HALTS: u8 = 2;
const COUNTS: u8 = 3;
const PLANNED_RESTART: u8 = 4;
/// Number of kinds of facts; the host maps them into its own numbering.
pub const FACT_KINDS: u8 = 5;

/// A proxy's part in a rollout.
#[derive(Clone, Debug)]
pub struct Core {
    config: Config,
    machine: StageMachine,
    evidence: Evidence,
    observation: Observation,
    /// The last vote of each other member.
    votes: BTreeMap<String, ReceivedVote>,
    monitor: CanaryMonitor,
    planned_restart: Option<PlannedRestart>,
    verdict: Verdict,
    /// Raised with each change of the running version: counting begins anew.
    generation: u32,
    /// Class and total counts when the running version began.
    counts_at_start: (Vec<ClassCounts>, ClassCounts),
    /// The version that the host was last asked to run.
    running_version: VersionHash,
    /// The version by which the host serves: counts are of this one.
    applied_version: VersionHash,
    phase: Phase,
    /// Epoch and version that were last checked, and when.
    last_check: Option<(u64, VersionHash, Duration)>,
    /// Epoch, version and stage that the evidence is about.
    evidence_subject: Option<(u64, VersionHash, u8)>,
    /// What the disk has.
    persisted: Vec<u8>,
    /// What is being written.
    persisting: Option<Vec<u8>>,
    /// After a failure nothing is written before this time.
    persist_retry_at: Option<Duration>,
    /// The last vote that rests on what is on the disk.
    last_durable_vote: Option<Vote>,
    /// Since when the published vote says that this process runs the new version.
    runs_new_since: Option<Duration>,
    /// When each kind of fact was last published, and its body.
    published: BTreeMap<u8, (Duration, Vec<u8>)>,
    superseded_proposals: u64,
    malformed_facts: u64,
    state_unreadable: bool,
    unreadable_reported: bool,
}

impl Core {
    /// A core with what an earlier process persisted.
    pub fn new(config: Config, now: Duration) -> Self {
        let mut machine = StageMachine::new(
            &config.name,
            config.base_version,
            config.unreachable_timeout,
        );
        let persisted: Option<Option<PersistedState>> =
            config.persisted.as_deref().map(messages::decode);
        let state_unreadable = matches!(persisted, Some(None));
        if let Some(state) = persisted.flatten() {
            machine.restore(state);
        }
        Self {
            evidence: Evidence::new(config.evidence_limits, now),
            running_version: config.base_version,
            applied_version: config.base_version,
            machine,
            observation: Observation::default(),
            votes: BTreeMap::new(),
            monitor: CanaryMonitor::new(&config.name, config.unreachable_timeout),
            planned_restart: config
                .took_over
                .then_some(PlannedRestart::TookOver(config.incarnation)),
            verdict: Verdict::InsufficientTraffic,
            generation: 0,
            counts_at_start: Default::default(),
            phase: Phase::Idle,
            last_check: None,
            evidence_subject: None,
            persisted: config.persisted.clone().unwrap_or_default(),
            persisting: None,
            persist_retry_at: None,
            last_durable_vote: None,
            runs_new_since: None,
            published: BTreeMap::new(),
            superseded_proposals: 0,
            malformed_facts: 0,
            state_unreadable,
            unreadable_reported: false,
            config,
        }
    }

    /// Handles an event at `now`, the time since an origin that never changes.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        if self.state_unreadable && !std::mem::replace(&mut self.unreadable_reported, true) {
            actions.push(Action::StateUnreadable);
        }
        let result = match event {
            Event::Observe(observation) => {
                self.observation = observation;
                self.update_incarnation();
                Ok(())
            }
            Event::Propose {
                hash,
                order,
                canary_size,
                resume,
            } => self.propose(hash, order, canary_size, resume),
            Event::Halt => self.halt(HaltReason::Operator),
            Event::Rollback => self.halt(HaltReason::Rollback),
            Event::Leave => {
                self.planned_restart = Some(PlannedRestart::Leaving(self.config.incarnation));
                Ok(())
            }
            Event::Persisted(done) => {
                self.persist_finished(now, done);
                Ok(())
            }
            Event::VersionChecked(hash, result) => {
                self.version_checked(hash, result);
                Ok(())
            }
            Event::VersionApplied(hash) => {
                self.version_applied(hash);
                Ok(())
            }
        };
        match result {
            Ok(()) => self.advance(now, actions),
            Err(rejected) => actions.push(Action::Rejected(rejected)),
        }
    }

    fn halt(&mut self, reason: HaltReason) -> Result<(), CommandRejected> {
        if self.machine.halt(reason) {
            Ok(())
        } else {
            Err(CommandRejected::NoRollout)
        }
    }

    fn persist_finished(&mut self, now: Duration, done: bool) {
        let written = self.persisting.take();
        if done {
            self.persist_retry_at = None;
            if let Some(written) = written {
                self.persisted = written;
            }
        } else {
            self.persist_retry_at = Some(now + self.config.message_ttl);
        }
    }

    /// Counting begins anew: what was served before was served by another version.
    fn version_applied(&mut self, hash: VersionHash) {
        self.applied_version = hash;
        self.generation += 1;
        self.counts_at_start = (
            self.observation.class_counts.clone(),
            self.observation.total_counts,
        );
    }

    fn version_checked(&mut self, hash: VersionHash, result: Result<(), String>) {
        let readiness = match result {
            Ok(()) => Readiness::Ready,
            Err(reason) => Readiness::Unable(messages::bounded_reason(&reason)),
        };
        self.machine.set_readiness(hash, readiness);
    }
}
