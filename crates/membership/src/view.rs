//! What operators and other parts of the proxy see of the fleet.

use std::net::SocketAddr;
use std::time::Duration;

use crate::quorum::{MemberCounts, QuorumState};

/// The status of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Status {
    /// Nothing was heard of it since this process started.
    NeverHeard,
    /// It answers probes, of this process or of others.
    Alive,
    /// It did not answer a probe, and has not refuted the suspicion yet.
    Suspect,
    /// It did not refute the suspicion in time.
    Down,
    /// It left on its own.
    Left,
}

/// A member of the roster as this process sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberObservation {
    /// Its name.
    pub name: String,
    /// Its address in this process's roster.
    pub address: SocketAddr,
    /// Its region.
    pub region: String,
    /// Its status.
    pub status: Status,
    /// When the status, or its process, last changed.
    pub since: Duration,
    /// The incarnation of its process, if it was ever heard of.
    pub incarnation: Option<u64>,
    /// The version of the roster that it has.
    pub roster_version: Option<u64>,
    /// Whether a datagram of its own came within two rounds of probes; else only others say that it is alive.
    pub direct: bool,
}

/// All that this process sees of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Quorum state of the fleet.
    pub state: QuorumState,
    /// Whether this process was paused, or gets no answers, and does not trust its view.
    pub self_suspected: bool,
    /// Members of the fleet by status.
    pub member_counts: MemberCounts,
    /// Version of this process's roster.
    pub roster_version: u64,
    /// Reachable members that have another version of the roster.
    pub roster_mismatches: usize,
    /// Quorum state of each region.
    pub regions: Vec<(String, QuorumState)>,
    /// The other members, in the order of their ids.
    pub members: Vec<MemberObservation>,
    /// Facts held, expired ones that are still remembered included.
    pub facts: usize,
    /// Bytes that they take.
    pub fact_bytes: usize,
    /// What happened since the start.
    pub counters: Counters,
}

/// Events since the start of the process. All counters only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams from members that are not in the roster, and updates about such.
    pub unknown_members: u64,
    /// Datagrams of an earlier incarnation of a member.
    pub earlier_incarnations: u64,
    /// Datagrams whose content names another sender than the envelope.
    pub sender_mismatches: u64,
    /// Datagrams that could not be decoded.
    pub malformed: u64,
    /// Times that a member changed to another version of the roster than this process has.
    pub roster_mismatches: u64,
    /// Rosters that were rejected.
    pub rosters_rejected: u64,
    /// Facts under this process's name that it never published.
    pub forged_facts: u64,
    /// Times that this process took a later incarnation, because others knew its name by one.
    pub renewals: u64,
    /// Later incarnations that were not taken, because the last renewal was too recent.
    pub renewals_rate_limited: u64,
    /// Later incarnations that were not taken, because no clock can have given them.
    pub renewals_out_of_range: u64,
    /// Facts of others that exceeded a limit, or whose source is not in the roster.
    pub facts_rejected: u64,
    /// Pauses of this process that were detected.
    pub pauses: u64,
    /// Calls that `foca` rejected, and messages that could not be encoded.
    pub errors: u64,
}
