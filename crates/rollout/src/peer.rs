//! Members of the fleet, as the membership of the host sees them.

/// A member of the roster; this process is one of them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Its region.
    pub region: String,
    /// The incarnation of its process, if it is known.
    pub incarnation: Option<u64>,
    /// Whether it is alive or only suspected.
    pub reachable: bool,
    /// Whether it left on its own.
    pub left: bool,
}
