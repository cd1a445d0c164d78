//! Manual exclusions of record servers by operators, joined with the status that discovery gives.
//!
//! A server is out of service while either of the two says so, and neither undoes the other's decision. The package
//! holds state only: it does no I/O and reads no clock. Instants are Unix times.
#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Whether a server takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStatus {
    /// It takes new requests.
    Ready,
    /// It finishes the requests that it has, and takes no new ones.
    Draining,
    /// It is not in discovery's list.
    Removed,
}

/// The state of a server that results from discovery's status and the operators' exclusion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EffectiveState {
    /// Whether the server takes new requests.
    pub status: ServerStatus,
    /// The latest start of the server that slow start has to consider; zero if it is long ago.
    pub started: Duration,
}

/// Neither discovery nor an operator's exclusion knows a server of that name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownServer;

/// An operator's exclusion of one server, as it is handed to the next process.
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
    /// Discovery's status; none if the server is not in the list.
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

/// Operators restart the servers that they exclude, and discovery may report the restart seconds late. Until it
/// reports a start within or after the exclusion, the server counts as started when it was included again. A server
/// that was not restarted only goes through slow start once more.
fn effective_start(listed: Duration, previous: Option<(Duration, Duration)>) -> Duration {
    match previous {
        Some((from, to)) if listed < from => to,
        _ => listed,
    }
}

/// The servers that discovery lists or operators have excluded.
#[derive(Debug, Default)]
pub struct Maintenance {
    servers: BTreeMap<String, Server>,
}

impl Maintenance {
    /// Applies discovery's status of a server; returns the resulting state. `started` is Unix time.
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

    /// Applies a complete list: servers whose names are not in it are no longer listed.
    pub fn retain_listed(&mut self, listed: &BTreeSet<&str>) {
        for (name, server) in &mut self.servers {
            if !listed.contains(name.as_str()) {
                server.listed = None;
            }
        }
        self.remove_unreferenced(|_| true);
    }

    /// Removes those of the selected servers that are neither listed nor excluded.
    fn remove_unreferenced(&mut self, selected: impl Fn(&str) -> bool) {
        self.servers
            .retain(|name, server| server.is_listed() || server.is_excluded() || !selected(name));
    }

    /// Excludes a server; returns the resulting state, or none if it was excluded already.
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

    /// Includes a server again, however often it was excluded; returns the resulting state, or none if it was not
    /// excluded.
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

    /// All exclusions that still have an effect, current and previous.
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

    /// Restores the exclusions of the previous process; returns the resulting states. Its endpoint list has to be
    /// applied first.
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
