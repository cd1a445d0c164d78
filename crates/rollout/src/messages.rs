//! Messages between proxies about a rollout, and the persisted state. Serialised by position (postcard): the order of fields and
//! variants is the format. Each body begins with the version of the format; another version is of a later build and is not
//! decoded.

use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::cmp::Reverse;

/// A version of the operators' file: its SHA-256.
pub type VersionHash = [u8; 32];

/// Bytes of a body, at most.
pub const BODY_BYTES: usize = 512;
/// Halts that are remembered. Epochs only grow, so a halt older than all of these concerns no proposal that can come.
pub const MAX_HALTS: usize = 6;
/// Bytes of the name of a member that halted.
const NAME_BYTES: usize = 24;
/// Bytes of the reason why a version can't run.
const REASON_BYTES: usize = 160;
/// Classes in one message of traffic counts.
pub const MAX_CLASSES: usize = 8;
/// The first byte of each body.
const FORMAT_VERSION: u8 = 1;

/// A version that is to reach the fleet, and in which order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// Greater than that of all proposals and halts that the proposer knew.
    pub epoch: u64,
    /// The version.
    pub hash: VersionHash,
    /// Name of the member that proposed it.
    pub proposer: String,
    /// All regions of the roster, in the order in which they take the version.
    pub order: Vec<String>,
    /// Proxies of the first region that go before all others.
    pub canary: u16,
}

impl Proposal {
    /// Total order of proposals: all members follow the greatest, whichever they hear first.
    pub fn rank(&self) -> (u64, Reverse<&VersionHash>, Reverse<&str>) {
        (self.epoch, Reverse(&self.hash), Reverse(&self.proposer))
    }
}

/// Why a version was halted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum HaltReason {
    /// An operator halted it.
    Operator,
    /// The operator asked for the former version.
    Rollback,
    /// It loses more in total than the former version beside it.
    Loss,
    /// It loses more of one class than the former version beside it.
    ClassLoss,
    /// A proxy that was to run it restarted unplanned more than once.
    Crash,
    /// A proxy that was to run it was unreachable for too long.
    Unreachable,
    /// The proxy that halted it ran it and was cut off from the fleet.
    Partitioned,
}

impl HaltReason {
    /// The reason in words, for operators.
    pub fn text(self) -> &'static str {
        match self {
            HaltReason::Operator => "an operator said so",
            HaltReason::Rollback => "an operator asked for the former version",
            HaltReason::Loss => "it loses more than the former version beside it",
            HaltReason::ClassLoss => "it loses more of one class than the former version beside it",
            HaltReason::Crash => {
                "a proxy that was to run it started anew more than once, and not in order"
            }
            HaltReason::Unreachable => "a proxy that was to run it has not been heard for too long",
            HaltReason::Partitioned => {
                "the proxy that ran it was cut off from the fleet for too long"
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
    /// Name of the member that halted it.
    pub halted_by: String,
    /// Why.
    pub reason: HaltReason,
}

/// Whether a proxy has the version's file and can run it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Readiness {
    /// It has not looked yet.
    Unchecked,
    /// It can run it.
    Ready,
    /// It can't, for this reason.
    Unable(String),
}

/// A proxy's vote on the proposal that it follows, and what it runs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// Epoch of the proposal.
    pub epoch: u64,
    /// Version of the proposal.
    pub hash: VersionHash,
    /// Who proposed it.
    pub proposer: String,
    /// Stages that it votes for; 1 is the canary.
    pub votes: u8,
    /// Stages for which it has seen a quorum.
    pub quorums_seen: u8,
    /// Whether it runs the new version, or is about to.
    pub runs_new: bool,
    /// Whether it can run the new version.
    pub readiness: Readiness,
}

impl Vote {
    /// Whether it is a vote on this proposal.
    pub fn is_for(&self, proposal: &Proposal) -> bool {
        self.epoch == proposal.epoch
            && self.hash == proposal.hash
            && self.proposer == proposal.proposer
    }
}

/// A process that ends or starts in order, by its incarnation: its change is no crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PlannedRestart {
    /// It was told to end.
    Leaving(u64),
    /// It took over from the former process (hot restart).
    TookOver(u64),
}

/// Weight of requests offered and lost since the running version began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClassCounts {
    /// A hash of the class's name.
    pub class: u32,
    /// Weight of the requests that came.
    pub offered: u64,
    /// Weight of those that were lost.
    pub lost: u64,
}

impl ClassCounts {
    /// The difference to an earlier count. Counts only grow; one that falls is of another process, or forged, and gives 0.
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

/// What a proxy counted since its running version began.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TrafficCounts {
    /// Epoch of the rollout.
    pub epoch: u64,
    /// Whether the new version runs.
    pub runs_new: bool,
    /// Raised when counting begins anew.
    pub generation: u32,
    /// All classes together.
    pub total: ClassCounts,
    /// The classes with the most offered weight.
    pub classes: Vec<ClassCounts>,
}

/// What a process persists for the next one.
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
    // Plain data into growing memory: it can't fail. If it did, an empty body is published, which nobody decodes.
    postcard::to_extend(value, vec![FORMAT_VERSION]).unwrap_or_default()
}

/// `None` if it is of another format, torn, or longer than its content.
pub(crate) fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    match body.split_first() {
        Some((&FORMAT_VERSION, rest)) => match postcard::take_from_bytes(rest) {
            Ok((value, [])) => Some(value),
            _ => None,
        },
        _ => None,
    }
}
