//! Who is heard, as operators and other rooms see it.

use std::net::SocketAddr;
use std::time::Duration;

use crate::standing::{Heads, State};

/// What is known of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Status {
    NeverHeard,
    Alive,
    /// Did not answer somebody's probes, and has not yet said that it lives.
    Suspect,
    Down,
    Left,
}

/// A member of the roster as this proxy sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sight {
    pub name: String,
    pub address: SocketAddr,
    pub region: String,
    pub status: Status,
    /// When the status became that.
    pub since: Duration,
    /// The start of its process, if it was heard of.
    pub start: Option<u64>,
    /// The version of the roster that it says.
    pub roster: Option<u64>,
    /// Whether a datagram of its own came within two rounds of probes; else it is alive by the word of others.
    pub direct: bool,
}

/// The whole view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    pub state: State,
    pub doubting: bool,
    pub heads: Heads,
    pub roster: u64,
    /// Members heard that say another version of the roster.
    pub roster_differs: usize,
    pub regions: Vec<(String, State)>,
    /// In the order of their numbers.
    pub members: Vec<Sight>,
    pub facts: usize,
    pub fact_bytes: usize,
    pub counts: Counts,
}

/// What happened since the start. All only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams from, and words of, members that are not in the roster.
    pub strangers: u64,
    /// Datagrams of an earlier process of a member.
    pub earlier: u64,
    /// Datagrams whose contents name another sender than the envelope.
    pub imposters: u64,
    pub malformed: u64,
    /// Times that a member began to say another version of the roster.
    pub roster_differs: u64,
    /// Rosters that were not taken.
    pub rosters_refused: u64,
    /// Facts that are to be ours and are not.
    pub invented: u64,
    /// Times that this process went on under a later start, since others knew its name by one; and words of such a one that
    /// it did not follow: too soon after the last time, or beyond all clocks.
    pub renewals: u64,
    pub renewals_held: u64,
    pub renewals_spent: u64,
    /// Facts of others there was no room for, or of members not in the roster.
    pub facts_refused: u64,
    /// Times that this process was late enough to doubt itself.
    pub pauses: u64,
    /// Calls that the membership crate found wrong.
    pub errors: u64,
}
