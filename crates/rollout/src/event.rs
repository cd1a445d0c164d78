//! Settings, inputs and outputs of the core: events from the host and actions for the host.

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
    /// The name of this member in the roster.
    pub name: String,
    /// The incarnation of this process, as assigned by the membership.
    pub incarnation: u64,
    /// Whether this process took over from a running process of the same name (hot restart).
    pub took_over: bool,
    /// The version that runs when the process starts.
    pub base_version: VersionHash,
    /// Bounds of the canary analysis.
    pub evidence_limits: EvidenceLimits,
    /// How long a member that has to run the new version may be unreachable, or this process may be partitioned from the
    /// fleet, before the rollout is halted.
    pub unreachable_timeout: Duration,
    /// The TTL of published votes and traffic counts, and the delay before a failed write or version check is repeated.
    pub message_ttl: Duration,
    /// The state that an earlier process persisted, if any.
    pub persisted: Option<Vec<u8>>,
}

/// An unexpired fact that a member published.
#[derive(Clone, Debug)]
pub struct PeerFact {
    /// Name of the member that published it.
    pub source: String,
    /// The incarnation of that member when it published the fact.
    pub incarnation: u64,
    /// The kind of the fact, from 0 to `FACT_KINDS` - 1.
    pub kind: u8,
    /// The encoded message.
    pub body: Vec<u8>,
}

/// The host's view of the fleet at one moment. Sent once per window and whenever a new fact has arrived.
#[derive(Clone, Debug, Default)]
pub struct Observation {
    /// All members of the roster.
    pub peers: Vec<Peer>,
    /// Regions to which this process may promote a change now.
    pub promotable_regions: BTreeSet<String>,
    /// Unexpired facts of all members.
    pub facts: Vec<PeerFact>,
    /// Requests offered and lost per class since the start of the process, weighted in requests of that class.
    pub class_counts: Vec<ClassCounts>,
    /// Requests offered and lost in all classes since the start of the process, weighted in requests of the class with the
    /// greatest weight.
    pub total_counts: ClassCounts,
}

/// An event that the host sends to the core.
#[derive(Clone, Debug)]
pub enum Event {
    /// The current state of the fleet.
    Observe(Observation),
    /// An operator proposes a version.
    Propose {
        /// The version.
        hash: VersionHash,
        /// All regions, in the order in which they receive the version.
        order: Vec<String>,
        /// Number of proxies of the first region that run the version before all others.
        canary_size: u16,
        /// Whether to propose the version even if it was halted before.
        resume: bool,
    },
    /// An operator halts the rollout.
    Halt,
    /// An operator rolls back to the previous version.
    Rollback,
    /// This process has to terminate.
    Leave,
    /// The last `Action::Persist` has finished. The value is whether the data are on the disk.
    Persisted(bool),
    /// The result of `Action::CheckVersion`, or the error of an `Action::RunVersion` that failed.
    VersionChecked(VersionHash, Result<(), String>),
    /// `Action::RunVersion` has been carried out: requests are served by this version from now on. Sent after an `Observe`
    /// that has the counts of that moment.
    VersionApplied(VersionHash),
}

/// A request of the core to its host, or a notification.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Publish a fact with this kind, body and TTL.
    Publish(u8, Vec<u8>, Duration),
    /// Check whether the file of this version exists and is valid.
    CheckVersion(VersionHash),
    /// Run the version, then send `Event::VersionApplied`. If its file cannot be read, keep running the previous version.
    RunVersion(VersionHash),
    /// Persist these data for the next process, then send `Event::Persisted`. The core does not send another `Persist`
    /// before it has received that event.
    Persist(Vec<u8>),
    /// The rollout has entered this phase.
    PhaseChanged(Phase),
    /// An operator's command was rejected.
    Rejected(CommandRejected),
    /// The state that an earlier process persisted cannot be decoded. This process starts with the base version and without
    /// a rollout, and receives a current rollout from the other members. The next state that it persists replaces the
    /// unreadable one.
    StateUnreadable,
}
