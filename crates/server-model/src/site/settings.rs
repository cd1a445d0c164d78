//! The size and the costs of a deployment of record servers.

use crate::{group, server, Micros};

/// All record servers of a deployment. Times are microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of groups.
    pub groups: usize,
    /// Members of each group, where they are not all of one size.
    pub sizes: Vec<usize>,
    /// Buildings; members of a group stand in each of them in turn.
    pub places: usize,
    /// Each server's capacity.
    pub server: server::Settings,
    /// Each group's replication.
    pub group: group::Settings,
    /// Reports that probes bring are made anew this often at the most.
    pub report_every: Micros,
    /// Work of a core that a probe costs, and that a new connection does.
    pub probe_work: Micros,
    /// Work of a core that a new connection costs.
    pub dial_work: Micros,
    /// Connections that a server holds; further ones are rejected.
    pub connections: usize,
    /// A server that is new starts from a copy of this age.
    pub copy_age: Micros,
    /// Reads that a server is too far behind for are rejected; else it answers from what it has.
    pub checks: bool,
}

impl Settings {
    /// Members of a group at the start.
    pub fn size(&self, group: usize) -> usize {
        self.sizes.get(group).copied().unwrap_or(self.group.members)
    }

    /// Servers at the start.
    pub fn servers(&self) -> usize {
        (0..self.groups).map(|group| self.size(group)).sum()
    }
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            groups: 3,
            sizes: Vec::new(),
            places: 2,
            server: server::Settings::default(),
            group: group::Settings::default(),
            report_every: 100_000,
            probe_work: 300,
            dial_work: 1_000,
            connections: 400,
            copy_age: 5_000_000,
            checks: true,
        }
    }
}
