//! Manual exclusions of record servers by operators, combined with the status that discovery reports.
//!
//! A server is out of service while discovery or an operator's exclusion takes it out, and neither overrides the other. The
//! crate only holds state: it does no I/O and reads no clock. All times are Unix times.
#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Whether a server takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStatus {
    /// The server takes new requests.
    Ready,
    /// The server completes its outstanding requests and takes no new ones.
    Draining,
    /// The server is not in discovery's list.
    Removed,
}

/// The state of a server that results from discovery's status and the operators' exclusion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EffectiveState {
    /// Whether the server takes new requests.
    pub status: ServerStatus,
    /// The latest start of the server for slow start; zero if it is long ago.
    pub started: Duration,
}

/// Error for a server that is neither in discovery's list nor excluded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownServer;

/// An operator's exclusion of one server, in the form that is passed to the next process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManualExclusion {
    /// The server's name in discovery's list.
    pub name: String,
    /// When the current exclusion began, if there is one.
    #[serde(rename = "out")]
    pub excluded_since: Option<Duration>,
    /// Begin and end of the previous exclusion.
    #[serde(rename = "before")]
    pub previous: Option<(Duration, Duration)>,
}

#[derive(Debug, Default)]
struct Server {
    /// The status in discovery's list; `None` if the server is not in it.
    listed: Option<ServerStatus>,
    started: Duration,
    excluded_since: Option<Duration>,
    previous: Option<(Duration, Duration)>,
}

impl Server {
    fn effective_state(&self) -> EffectiveState {
        EffectiveState {
            status: effective_status(self.listed, self.excluded_since.is_some()),
            started: effective_start(self.started, self.previous),
        }
    }

    fn is_listed(&self) -> bool {
        self.listed.is_some()
    }

    fn is_excluded(&self) -> bool {
        self.excluded_since.is_some()
    }
}

fn effective_status(listed: Option<ServerStatus>, excluded: bool) -> ServerStatus {
    match listed {
        None | Some(ServerStatus::Removed) => ServerStatus::Removed,
        Some(ServerStatus::Ready) if !excluded => ServerStatus::Ready,
        Some(ServerStatus::Ready | ServerStatus::Draining) => ServerStatus::Draining,
    }
}

/// The start time for slow start. Operators restart the servers that they exclude, and discovery may report the restart
/// seconds late. Until it reports a start during or after the exclusion, the server counts as started when it was included
/// again. If the server was not restarted, the only effect is one more slow start.
fn effective_start(listed: Duration, previous: Option<(Duration, Duration)>) -> Duration {
    match previous {
        Some((from, to)) if listed < from => to,
        _ => listed,
    }
}

/// The servers that are in discovery's list or excluded by operators.
#[derive(Debug, Default)]
pub struct Maintenance {
    servers: BTreeMap<String, Server>,
}

impl Maintenance {
    /// Applies discovery's status of a server and returns the resulting state. `started` is a Unix time.
    pub fn apply_status(
        &mut self,
        name: &str,
        status: ServerStatus,
        started: Duration,
    ) -> EffectiveState {
        let server = match self.servers.get_mut(name) {
            Some(server) => server,
            None => self.servers.entry(name.to_owned()).or_default(),
        };
        server.listed = Some(status).filter(|status| *status != ServerStatus::Removed);
        server.started = server.started.max(started);
        let state = server.effective_state();
        self.remove_unreferenced(|candidate| candidate == name);
        state
    }

    /// Applies a complete list from discovery: servers that are not in it are no longer listed.
    pub fn retain_listed(&mut self, listed: &BTreeSet<&str>) {
        for (name, server) in &mut self.servers {
            if !listed.contains(name.as_str()) {
                server.listed = None;
            }
        }
        self.remove_unreferenced(|_| true);
    }

    /// Removes the selected servers that are neither listed nor excluded.
    fn remove_unreferenced(&mut self, selected: impl Fn(&str) -> bool) {
        self.servers
            .retain(|name, server| server.is_listed() || server.is_excluded() || !selected(name));
    }

    /// Excludes a server. Returns the resulting state, or `None` if the server was already excluded.
    pub fn exclude(
        &mut self,
        name: &str,
        now: Duration,
    ) -> Result<Option<EffectiveState>, UnknownServer> {
        let server = self.servers.get_mut(name).ok_or(UnknownServer)?;
        if server.is_excluded() {
            return Ok(None);
        }
        server.excluded_since = Some(now);
        Ok(Some(server.effective_state()))
    }

    /// Includes a server again, regardless of how often it was excluded. Returns the resulting state, or `None` if the
    /// server was not excluded.
    pub fn include(
        &mut self,
        name: &str,
        now: Duration,
    ) -> Result<Option<EffectiveState>, UnknownServer> {
        let server = self.servers.get_mut(name).ok_or(UnknownServer)?;
        let Some(since) = server.excluded_since.take() else {
            return Ok(None);
        };
        server.previous = Some((since, now.max(since)));
        let state = server.effective_state();
        self.remove_unreferenced(|candidate| candidate == name);
        Ok(Some(state))
    }

    /// The number of servers in discovery's list.
    pub fn listed_count(&self) -> usize {
        self.servers
            .values()
            .filter(|server| server.is_listed())
            .count()
    }

    /// All current exclusions, and the previous ones that may still affect slow start.
    pub fn exclusions(&self) -> Vec<ManualExclusion> {
        self.servers
            .iter()
            .filter(|(_, server)| server.is_excluded() || server.previous.is_some())
            .map(|(name, server)| ManualExclusion {
                name: name.clone(),
                excluded_since: server.excluded_since,
                previous: server.previous,
            })
            .collect()
    }

    /// Restores the exclusions of the previous process and returns the resulting states. The endpoint list of that process
    /// must be applied first.
    pub fn restore(&mut self, exclusions: Vec<ManualExclusion>) -> Vec<(String, EffectiveState)> {
        let mut changed = Vec::new();
        for exclusion in exclusions {
            let server = self.servers.entry(exclusion.name.clone()).or_default();
            server.excluded_since = exclusion.excluded_since;
            server.previous = exclusion.previous;
            changed.push((exclusion.name, server.effective_state()));
        }
        self.remove_unreferenced(|_| true);
        changed
    }
}

#[cfg(test)]
mod tests;
