//! The directory of record servers by name: their ids in the decision module, their addresses, and operators'
//! exclusions.

use super::wire::{EndpointList, EndpointStatus, ListedEndpoint, UnreadableEndpoint};
use maintenance::{EffectiveState, Maintenance, ManualExclusion, ServerStatus, UnknownServer};
use platform_settings::Names;
use routing::{
    Endpoint, EndpointState, EndpointUpdate, GroupId, MachineTypeId, ServerId, Time, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of names of former servers that are kept.
const MAX_FORMER_NAMES: usize = 1_000;

/// All record servers that discovery lists.
#[derive(Default)]
pub struct Directory {
    /// The ids of listed and former servers, by name.
    ids: BTreeMap<String, ServerId>,
    /// The listed servers by id, with address and group completed from earlier lists.
    listed: BTreeMap<ServerId, ListedEndpoint>,
    maintenance: Maintenance,
    index: u64,
}

/// The updates for the decision module and the connection pools that follow from a change of the directory.
#[derive(Debug)]
pub struct DirectoryUpdate {
    /// The update for the decision module.
    pub endpoints: EndpointUpdate,
    /// The changes for the connection pools.
    pub servers: Vec<ServerChange>,
}

/// The change in the availability of a server, for its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerChange {
    /// The server takes new requests at this address.
    Available(ServerId, SocketAddr),
    /// The server is draining or gone.
    Unavailable(ServerId),
}

impl Directory {
    /// Discovery's change counter of the latest list.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// The number of known names, including those of former servers.
    pub fn known_names(&self) -> usize {
        self.ids.len()
    }

    /// Applies a list from discovery.
    pub fn apply(&mut self, mut list: EndpointList, names: &Names) -> DirectoryUpdate {
        self.index = list.index;
        let unreadable = std::mem::take(&mut list.unreadable);
        list.endpoints.extend(self.current_entries(&unreadable));
        if list.snapshot {
            let listed = list.endpoints.iter().map(|e| e.name.as_str()).collect();
            self.maintenance.retain_listed(&listed);
        }
        let (endpoints, mut servers): (Vec<Endpoint>, Vec<ServerChange>) = list
            .endpoints
            .into_iter()
            .filter_map(|endpoint| self.apply_endpoint(endpoint, names))
            .unzip();
        if list.snapshot {
            servers.extend(self.remove_unlisted(&endpoints));
        }
        self.remove_gone(&endpoints);
        self.prune_former_names();
        let endpoints = if list.snapshot {
            EndpointUpdate::Snapshot(endpoints)
        } else {
            EndpointUpdate::Changes(endpoints)
        };
        DirectoryUpdate { endpoints, servers }
    }

    /// The present entries of servers whose new entries are unreadable: these servers stay unchanged.
    fn current_entries(&self, unreadable: &[UnreadableEndpoint]) -> Vec<ListedEndpoint> {
        unreadable
            .iter()
            .filter_map(|entry| self.ids.get(entry.name.as_ref()?))
            .filter_map(|server| self.listed.get(server))
            .cloned()
            .collect()
    }

    /// Removes the servers that are missing from a complete list.
    fn remove_unlisted(&mut self, endpoints: &[Endpoint]) -> Vec<ServerChange> {
        let listed: BTreeSet<ServerId> = endpoints.iter().map(|e| e.server).collect();
        let removed = self
            .listed
            .keys()
            .filter(|server| !listed.contains(server))
            .map(|server| ServerChange::Unavailable(*server))
            .collect();
        self.listed.retain(|server, _| listed.contains(server));
        removed
    }

    /// Removes the servers that a list reports as gone.
    fn remove_gone(&mut self, endpoints: &[Endpoint]) {
        let is_gone = |server: &ServerId| {
            endpoints
                .iter()
                .any(|e| e.server == *server && e.state == EndpointState::Removed)
        };
        self.listed.retain(|server, _| !is_gone(server));
    }

    /// Removes the names of former servers if there are more than [`MAX_FORMER_NAMES`]. Until then a server that is
    /// listed again keeps its id.
    fn prune_former_names(&mut self) {
        if self.ids.len() > MAX_FORMER_NAMES + self.listed.len() {
            self.ids.retain(|_, id| self.listed.contains_key(id));
        }
    }

    /// Applies one entry of a list. Returns `None` if the entry is incomplete.
    fn apply_endpoint(
        &mut self,
        mut endpoint: ListedEndpoint,
        names: &Names,
    ) -> Option<(Endpoint, ServerChange)> {
        let known_id = self.ids.get(&endpoint.name).copied();
        let before = known_id.and_then(|id| self.listed.get(&id));
        endpoint.address = endpoint.address.or(before.and_then(|b| b.address));
        endpoint.group = endpoint.group.or(before.and_then(|b| b.group));
        let status = server_status(endpoint.status);
        let complete = endpoint.address.is_some() && endpoint.group.is_some();
        if !complete && status != ServerStatus::Removed {
            log::warn!(
                "discovery: ignoring the entry of {} because its address or group is missing",
                endpoint.name
            );
            return None;
        }
        let started = Duration::from_millis(endpoint.started_ms);
        let state = self
            .maintenance
            .apply_status(&endpoint.name, status, started);
        if !complete {
            return None;
        }
        let server = known_id.unwrap_or_else(|| self.assign_id(&endpoint.name));
        let changed = describe(server, &endpoint, state, names)?;
        self.listed.insert(server, endpoint);
        Some(changed)
    }

    /// Assigns an id that is a hash of the name, so that all proxies use the same id for a server. Only if two names
    /// have the same hash, the id of the second one depends on the order.
    fn assign_id(&mut self, name: &str) -> ServerId {
        let mut id = subsetting::hash_name(name);
        while self.ids.values().any(|known| known.0 == id) {
            id = id.wrapping_add(1);
        }
        self.ids.insert(name.to_owned(), ServerId(id));
        ServerId(id)
    }

    /// Excludes a server on behalf of an operator, or includes it again. Returns `None` if this changes nothing. `now`
    /// is Unix time.
    pub fn set_excluded(
        &mut self,
        name: &str,
        excluded: bool,
        now: Time,
        names: &Names,
    ) -> Result<Option<DirectoryUpdate>, UnknownServer> {
        let changed = if excluded {
            self.maintenance.exclude(name, now.0)?
        } else {
            self.maintenance.include(name, now.0)?
        };
        Ok(changed.and_then(|state| self.update_of(name, state, names)))
    }

    fn update_of(
        &self,
        name: &str,
        state: EffectiveState,
        names: &Names,
    ) -> Option<DirectoryUpdate> {
        let server = *self.ids.get(name)?;
        let (endpoint, change) = describe(server, self.listed.get(&server)?, state, names)?;
        Some(DirectoryUpdate {
            endpoints: EndpointUpdate::Changes(vec![endpoint]),
            servers: vec![change],
        })
    }

    /// The complete endpoint list, as last reported by discovery.
    pub fn endpoint_list(&self) -> EndpointList {
        EndpointList {
            index: self.index,
            snapshot: true,
            endpoints: self.listed.values().cloned().collect(),
            unreadable: Vec::new(),
        }
    }

    /// Restores the exclusions of the previous process. The endpoint list of that process has to be applied first.
    pub fn restore_exclusions(
        &mut self,
        exclusions: Vec<ManualExclusion>,
        names: &Names,
    ) -> Vec<DirectoryUpdate> {
        let changed = self.maintenance.restore(exclusions);
        changed
            .iter()
            .filter_map(|(name, state)| self.update_of(name, *state, names))
            .collect()
    }

    /// The exclusions by operators.
    pub fn maintenance(&self) -> &Maintenance {
        &self.maintenance
    }
}

fn server_status(status: EndpointStatus) -> ServerStatus {
    match status {
        EndpointStatus::Ready => ServerStatus::Ready,
        EndpointStatus::Terminating | EndpointStatus::Other => ServerStatus::Draining,
        EndpointStatus::Gone => ServerStatus::Removed,
    }
}

/// The endpoint for the decision module and the change for the pools; `None` if the address or group is not known.
fn describe(
    server: ServerId,
    listed: &ListedEndpoint,
    effective: EffectiveState,
    names: &Names,
) -> Option<(Endpoint, ServerChange)> {
    let (state, change) = match effective.status {
        ServerStatus::Ready => (
            EndpointState::Ready,
            ServerChange::Available(server, listed.address?),
        ),
        ServerStatus::Draining => (EndpointState::Draining, ServerChange::Unavailable(server)),
        ServerStatus::Removed => (EndpointState::Removed, ServerChange::Unavailable(server)),
    };
    let endpoint = Endpoint {
        server,
        group: GroupId(listed.group?),
        zone: ZoneId(index_of(&names.zones, &listed.zone)),
        machine_type: MachineTypeId(index_of(&names.machine_types, &listed.kind)),
        state,
        primary: false,
        started: Time(effective.started),
    };
    Some((endpoint, change))
}

/// The id of a zone or machine type. All names that are not in the settings share one id that no name in the settings
/// has.
fn index_of(names: &[String], name: &str) -> u16 {
    names
        .iter()
        .position(|known| known == name)
        .and_then(|index| u16::try_from(index).ok())
        .unwrap_or(u16::MAX)
}
