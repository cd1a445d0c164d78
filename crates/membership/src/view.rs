//! The state of the fleet as this process observes it, for operators and other components of the proxy.

use std::net::SocketAddr;
use std::time::Duration;

use crate::quorum::{MemberCounts, QuorumState};

/// The status of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Status {
    /// No datagram or update about it was received since this process started.
    NeverHeard,
    /// It acknowledges probes of this process or of other members.
    Alive,
    /// It did not acknowledge a probe, and has not yet refuted the suspicion.
    Suspect,
    /// It did not refute a suspicion in time.
    Down,
    /// It announced that it leaves.
    Left,
}

/// A member of the roster as observed by this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberObservation {
    /// Name of the member.
    pub name: String,
    /// Address of the member in this process's roster.
    pub address: SocketAddr,
    /// Region of the member.
    pub region: String,
    /// Status of the member.
    pub status: Status,
    /// When its status or its incarnation last changed, by this process's clock.
    pub since: Duration,
    /// The latest known incarnation, if any is known.
    pub incarnation: Option<u64>,
    /// The version of its roster, if known.
    pub roster_version: Option<u64>,
    /// Whether a datagram of the member itself was received within the last two rounds of probes. If not, only other
    /// members report it alive.
    pub direct: bool,
}

/// The fleet as observed by this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Quorum state of the fleet.
    pub state: QuorumState,
    /// Whether this process does not trust its view, because it was paused or its probes are not acknowledged.
    pub self_suspected: bool,
    /// Number of members of the fleet by status.
    pub member_counts: MemberCounts,
    /// Version of this process's roster.
    pub roster_version: u64,
    /// Number of reachable members that have another version of the roster.
    pub roster_mismatches: usize,
    /// Quorum state of each region.
    pub regions: Vec<(String, QuorumState)>,
    /// The other members, sorted by id.
    pub members: Vec<MemberObservation>,
    /// Number of facts held, including expired ones that are still remembered.
    pub facts: usize,
    /// Size of these facts in bytes.
    pub fact_bytes: usize,
    /// Events since the start of the process.
    pub counters: Counters,
}

/// Events since the start of the process. Counters never decrease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams from members that are not in the roster, and updates about such members.
    pub unknown_members: u64,
    /// Datagrams of an earlier incarnation of a member.
    pub earlier_incarnations: u64,
    /// Datagrams whose content names a different sender than the envelope.
    pub sender_mismatches: u64,
    /// Datagrams that could not be decoded.
    pub malformed: u64,
    /// Changes of a member to a roster version that differs from this process's.
    pub roster_mismatches: u64,
    /// Rosters that were rejected.
    pub rosters_rejected: u64,
    /// Facts that name this process as their source but were never published by it.
    pub forged_facts: u64,
    /// Renewals of this process's incarnation because other members knew a later one of its name.
    pub renewals: u64,
    /// Later incarnations of this name that were not adopted because the last renewal was too recent.
    pub renewals_rate_limited: u64,
    /// Later incarnations of this name that were not adopted because they lie beyond what a clock can give.
    pub renewals_out_of_range: u64,
    /// Facts of other members that exceeded a limit, or whose source is not in the roster.
    pub facts_rejected: u64,
    /// Pauses of this process that were detected.
    pub pauses: u64,
    /// Calls that `foca` rejected, and messages that could not be encoded.
    pub errors: u64,
}
