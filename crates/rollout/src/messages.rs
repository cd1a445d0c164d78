//! Messages between proxies about a rollout, and the persisted state.
//!
//! They are serialised by position (postcard), so the order of fields and variants defines the format. Each body begins with
//! the version of the format. A body with another version comes from a later build and is not decoded.

use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::cmp::Reverse;

/// Identifies a version of the operators' file: the SHA-256 of its content.
pub type VersionHash = [u8; 32];

/// Maximum length of a body in bytes.
pub const BODY_BYTES: usize = 512;
/// Maximum number of halts to keep. Epochs only grow, so a halt that is older than all of these cannot apply to a future
/// proposal.
pub const MAX_HALTS: usize = 6;
/// Maximum length in bytes of the member name in a halt record.
const NAME_BYTES: usize = 24;
/// Maximum length in bytes of the reason why a proxy cannot run a version.
const REASON_BYTES: usize = 160;
/// Maximum number of classes in one message of traffic counts.
pub const MAX_CLASSES: usize = 8;
/// Version of the format: the first byte of each body.
const FORMAT_VERSION: u8 = 1;

/// A proposal to roll out a version to the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// Greater than the epochs of all proposals, votes and halts that the proposer had received.
    pub epoch: u64,
    /// The proposed version.
    pub hash: VersionHash,
    /// Name of the member that proposed the version.
    pub proposer: String,
    /// All regions of the roster, in the order in which they receive the version.
    pub order: Vec<String>,
    /// Number of proxies of the first region that run the version before all others; 0 counts as 1.
    pub canary: u16,
}

impl Proposal {
    /// Total order of proposals: all members follow the greatest one, independent of the order in which they receive them.
    pub fn rank(&self) -> (u64, Reverse<&VersionHash>, Reverse<&str>) {
        (self.epoch, Reverse(&self.hash), Reverse(&self.proposer))
    }
}

/// The reason for a halt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum HaltReason {
    /// An operator halted the rollout.
    Operator,
    /// An operator rolled back to the previous version.
    Rollback,
    /// The loss rate of the new version in total was higher than that of the previous version in the same windows.
    Loss,
    /// The loss rate of the new version in one class was higher than that of the previous version in the same windows.
    ClassLoss,
    /// A proxy that had to run the new version restarted more than once without a planned restart.
    Crash,
    /// A proxy that had to run the new version was unreachable, or sent no vote, for too long.
    Unreachable,
    /// The proxy that halted the rollout ran the new version and was partitioned from the fleet for too long.
    Partitioned,
}

impl HaltReason {
    /// The text of the reason for operators.
    pub fn text(self) -> &'static str {
        match self {
            HaltReason::Operator => "requested by an operator",
            HaltReason::Rollback => "an operator requested the previous version",
            HaltReason::Loss => "its loss rate exceeds the previous version's",
            HaltReason::ClassLoss => "its loss rate in one class exceeds the previous version's",
            HaltReason::Crash => {
                "a proxy that had to run it restarted more than once without a planned restart"
            }
            HaltReason::Unreachable => "a proxy that had to run it was unreachable for too long",
            HaltReason::Partitioned => {
                "the proxy that halted it ran it and was partitioned from the fleet for too long"
            }
        }
    }
}

/// The halt of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HaltRecord {
    /// Epoch of the proposal.
    pub epoch: u64,
    /// The version that was halted.
    pub hash: VersionHash,
    /// Name of the member that halted the rollout.
    pub halted_by: String,
    /// The reason for the halt.
    pub reason: HaltReason,
}

/// Whether a proxy has the version's file and can run it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Readiness {
    /// The proxy has not checked the file yet.
    Unchecked,
    /// The proxy can run the version.
    Ready,
    /// The proxy cannot run the version, for this reason.
    Unable(String),
}

/// A proxy's vote on the proposal that it follows, and the version that it runs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// Epoch of the proposal.
    pub epoch: u64,
    /// The proposed version.
    pub hash: VersionHash,
    /// Name of the member that proposed the version.
    pub proposer: String,
    /// Number of stages that the proxy votes for; stage 1 is the canary.
    pub votes: u8,
    /// Number of stages for which the proxy has seen a quorum.
    pub quorums_seen: u8,
    /// Whether the proxy runs the new version, or is about to run it.
    pub runs_new: bool,
    /// Whether the proxy can run the new version.
    pub readiness: Readiness,
}

impl Vote {
    /// Whether this is a vote on the given proposal.
    pub fn is_for(&self, proposal: &Proposal) -> bool {
        self.epoch == proposal.epoch
            && self.hash == proposal.hash
            && self.proposer == proposal.proposer
    }
}

/// A planned end or start of a process, so that the change of incarnation does not count as a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PlannedRestart {
    /// The process with this incarnation was asked to terminate.
    Leaving(u64),
    /// The process with this incarnation took over from the previous process (hot restart).
    TookOver(u64),
}

/// Weight of the requests of one class that were offered and lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClassCounts {
    /// Hash of the name of the class.
    pub class: u32,
    /// Weight of the requests that arrived.
    pub offered: u64,
    /// Weight of the requests that were lost.
    pub lost: u64,
}

impl ClassCounts {
    /// The increase since an earlier count. Counts only grow; a count that has decreased belongs to another process or is
    /// forged, and its increase is 0.
    pub(crate) fn since(self, earlier: ClassCounts) -> ClassCounts {
        let (offered, lost) = (
            self.offered.saturating_sub(earlier.offered),
            self.lost.saturating_sub(earlier.lost),
        );
        ClassCounts {
            class: self.class,
            offered,
            lost,
        }
    }
}

/// Requests that a proxy has counted since its current version began to run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TrafficCounts {
    /// Epoch of the rollout.
    pub epoch: u64,
    /// Whether the proxy runs the new version.
    pub runs_new: bool,
    /// Incremented when the counters restart.
    pub generation: u32,
    /// Counts of all classes together.
    pub total: ClassCounts,
    /// Counts of the classes with the greatest offered weight, at most `MAX_CLASSES`.
    pub classes: Vec<ClassCounts>,
}

/// State that a process persists for the next process of the same name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PersistedState {
    pub base: VersionHash,
    pub proposal: Option<Proposal>,
    pub quorums_seen: u8,
    pub halts: Vec<HaltRecord>,
}

pub(crate) fn truncate(text: &str, max_bytes: usize) -> String {
    let end = (0..=max_bytes.min(text.len()))
        .rev()
        .find(|&at| text.is_char_boundary(at))
        .unwrap_or(0);
    text[..end].to_owned()
}

pub(crate) fn bounded_name(text: &str) -> String {
    truncate(text, NAME_BYTES)
}

pub(crate) fn bounded_reason(text: &str) -> String {
    truncate(text, REASON_BYTES)
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Serialising plain data into a growing buffer does not fail. If it did, the body would be empty, and receivers would not
    // decode it.
    postcard::to_extend(value, vec![FORMAT_VERSION]).unwrap_or_default()
}

/// `None` if the body has another format version, is truncated, or has trailing bytes.
pub(crate) fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    match body.split_first() {
        Some((&FORMAT_VERSION, rest)) => match postcard::take_from_bytes(rest) {
            Ok((value, [])) => Some(value),
            _ => None,
        },
        _ => None,
    }
}
