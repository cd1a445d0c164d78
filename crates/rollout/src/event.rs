//! What the core is told, and what it asks its host to do.

use crate::command::CommandRejected;
use crate::evidence::EvidenceLimits;
use crate::machine::Phase;
use crate::messages::{ClassCounts, VersionHash};
use crate::peer::Peer;
use std::collections::BTreeSet;
use std::time::Duration;

/// Settings of the core.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of this process in the roster.
    pub name: String,
    /// The incarnation of this process, as the membership gives it.
    pub incarnation: u64,
    /// It took over from a process of its name that was still running (hot restart).
    pub took_over: bool,
    /// The version that runs at the start.
    pub base_version: VersionHash,
    /// Bounds of the canary analysis.
    pub evidence_limits: EvidenceLimits,
    /// How long a member that is to run the new version may be unreachable, or this process cut off, before a halt.
    pub unreachable_timeout: Duration,
    /// How long a published fact is valid.
    pub message_ttl: Duration,
    /// What an earlier process persisted.
    pub persisted: Option<Vec<u8>>,
}

/// A fact of another member that has not expired.
#[derive(Clone, Debug)]
pub struct PeerFact {
    /// Name of the member that published it.
    pub source: String,
    /// Its incarnation at that time.
    pub incarnation: u64,
    /// From 0, below `FACT_KINDS`.
    pub kind: u8,
    /// The encoded message.
    pub body: Vec<u8>,
}

/// All that the host knows at one moment. Given once a window, and whenever a new fact came.
#[derive(Clone, Debug, Default)]
pub struct Observation {
    /// The roster.
    pub peers: Vec<Peer>,
    /// Regions to which a change may be promoted now.
    pub promotable_regions: BTreeSet<String>,
    /// Facts of all members.
    pub facts: Vec<PeerFact>,
    /// Weight of requests offered and lost since the start of the process, by class, in requests of that class.
    pub class_counts: Vec<ClassCounts>,
    /// The same of all classes together, in requests of the class with the greatest weight.
    pub total_counts: ClassCounts,
}

/// What the host tells the core.
#[derive(Clone, Debug)]
pub enum Event {
    /// The state of the fleet now.
    Observe(Observation),
    /// An operator proposes a version.
    Propose {
        /// The version.
        hash: VersionHash,
        /// All regions, in the order in which they take it.
        order: Vec<String>,
        /// Proxies of the first region that take it before all others.
        canary_size: u16,
        /// Proposes it even if it was halted before.
        resume: bool,
    },
    /// An operator halts the rollout.
    Halt,
    /// An operator wants the former version back.
    Rollback,
    /// This process was told to end.
    Leave,
    /// The last `Action::Persist` is done: whether the data are on the disk.
    Persisted(bool),
    /// The result of `Action::CheckVersion`, or of `Action::RunVersion` if that failed.
    VersionChecked(VersionHash, Result<(), String>),
    /// `Action::RunVersion` is carried out: from now on requests are served by this version. Sent behind an `Observe` with the
    /// counts of that moment.
    VersionApplied(VersionHash),
}

/// What the core asks its host to do, or reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Publish a fact: kind, body, TTL.
    Publish(u8, Vec<u8>, Duration),
    /// Find out whether the version is there and valid.
    CheckVersion(VersionHash),
    /// Run the version, then send `Event::VersionApplied`; if it can't be read, keep running the former one.
    RunVersion(VersionHash),
    /// Persist these data for the next process, then send `Event::Persisted`. There is no second one before that.
    Persist(Vec<u8>),
    /// The rollout has come to this phase.
    PhaseChanged(Phase),
    /// An operator's command was rejected.
    Rejected(CommandRejected),
    /// What an earlier process persisted can't be read. This process starts with the base version and no rollout, and hears of
    /// one from the others. What it persists from now on replaces it.
    StateUnreadable,
}
