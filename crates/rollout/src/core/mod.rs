//! The rollout core of one proxy: `Core::handle` dispatches an event to the submodules, one for each concern.

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

// Kinds of facts. The numbers are part of the wire format.
const PROPOSAL: u8 = 0;
const VOTE: u8 = 1;
const HALTS: u8 = 2;
const COUNTS: u8 = 3;
const PLANNED_RESTART: u8 = 4;
/// Number of kinds of facts. The host maps them to its own numbering.
pub const FACT_KINDS: u8 = 5;

/// The state of one proxy that takes part in rollouts.
#[derive(Clone, Debug)]
pub struct Core {
    config: Config,
    machine: StageMachine,
    evidence: Evidence,
    observation: Observation,
    /// The last vote of each other member. The key is the name of the member.
    votes: BTreeMap<String, ReceivedVote>,
    monitor: CanaryMonitor,
    planned_restart: Option<PlannedRestart>,
    verdict: Verdict,
    /// Incremented with each change of the running version, when the counters restart.
    generation: u32,
    /// Counts by class and in total when the current version began to run.
    counts_at_start: (Vec<ClassCounts>, ClassCounts),
    /// The version that the host was last requested to run.
    running_version: VersionHash,
    /// The version that serves requests on the host. The traffic counts are about this version.
    applied_version: VersionHash,
    phase: Phase,
    /// Epoch, version and time of the last check.
    last_check: Option<(u64, VersionHash, Duration)>,
    /// Epoch, version and stage of the evidence.
    evidence_subject: Option<(u64, VersionHash, u8)>,
    /// The encoded state that is on the disk.
    persisted: Vec<u8>,
    /// The encoded state that is being written.
    persisting: Option<Vec<u8>>,
    /// After a failed write, the time of the next attempt.
    persist_retry_at: Option<Duration>,
    /// The last vote that was published with its state on the disk.
    last_durable_vote: Option<Vote>,
    /// The time since which the published vote reports that this process runs the new version.
    runs_new_since: Option<Duration>,
    /// Time and body of the last publication of each kind of fact. The key is the kind.
    published: BTreeMap<u8, (Duration, Vec<u8>)>,
    superseded_proposals: u64,
    malformed_facts: u64,
    state_unreadable: bool,
    unreadable_reported: bool,
}

impl Core {
    /// A core that restores the state of an earlier process, if `config` has one.
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

    /// Handles an event at `now`, the time since an origin that never changes, and appends the resulting actions.
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

    /// Restarts the counters, since the earlier requests were served by another version.
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
