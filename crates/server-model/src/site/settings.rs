//! Size and costs of a deployment of record servers.

use crate::{group, server, Micros};

/// All record servers of a deployment. Times are microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of groups.
    pub groups: usize,
    /// Number of members per group; groups without an entry have `group.members`.
    pub sizes: Vec<usize>,
    /// Number of buildings; the members of a group are assigned to them round-robin.
    pub places: usize,
    /// Capacity of each server.
    pub server: server::Settings,
    /// Replication within each group.
    pub group: group::Settings,
    /// Minimum interval at which a server recomputes its load report.
    pub report_every: Micros,
    /// Work of a probe, in microseconds of a core.
    pub probe_work: Micros,
    /// Work of a new connection, in microseconds of a core.
    pub dial_work: Micros,
    /// Maximum number of connections per server; further ones are rejected.
    pub connections: usize,
    /// Age of the copy from which a new server starts.
    pub copy_age: Micros,
    /// Whether a server rejects reads that require a later position than its own; otherwise it answers with stale data.
    pub checks: bool,
}

impl Settings {
    /// Number of members of a group at the start.
    pub fn size(&self, group: usize) -> usize {
        self.sizes.get(group).copied().unwrap_or(self.group.members)
    }

    /// Number of servers at the start.
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
