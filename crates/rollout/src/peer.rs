//! Members of the fleet, as reported by the host's membership.

/// A member of the roster. The roster includes this process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Name of the member.
    pub name: String,
    /// Region of the member.
    pub region: String,
    /// The incarnation of the member's process, if known.
    pub incarnation: Option<u64>,
    /// Whether the member is alive or suspected, but not declared failed.
    pub reachable: bool,
    /// Whether the member announced that it leaves.
    pub left: bool,
}
