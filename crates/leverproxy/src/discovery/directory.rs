//! The record servers by name: their ids in the decision module, where they listen, and which are excluded by operators.

use super::wire::{EndpointList, EndpointStatus, ListedEndpoint, UnreadableEndpoint};
use maintenance::{EffectiveState, Maintenance, ManualExclusion, ServerStatus, UnknownServer};
use platform_settings::Names;
use routing::{
    Endpoint, EndpointState, EndpointUpdate, GroupId, MachineTypeId, ServerId, Time, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Names of former servers that are remembered at most.
const MAX_FORMER_NAMES: usize = 1_000;

/// All record servers that discovery lists.
#[derive(Default)]
pub struct Directory {
    ids: BTreeMap<String, ServerId>,
    /// The listed servers, with address and group filled in.
    listed: BTreeMap<ServerId, ListedEndpoint>,
    maintenance: Maintenance,
    index: u64,
}

/// What a change of the directory means for the decision module and for the connection pools.
#[derive(Debug)]
pub struct DirectoryUpdate {
    /// For the decision module.
    pub endpoints: EndpointUpdate,
    /// For the pools.
    pub servers: Vec<ServerChange>,
}

/// What a change means for the connections to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerChange {
    /// It takes new requests at this address.
    Available(ServerId, SocketAddr),
    /// It is draining or gone.
    Unavailable(ServerId),
}

impl Directory {
    /// Discovery's change counter of the latest list.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// The number of names that are known, those of former servers included.
    pub fn known_names(&self) -> usize {
        self.ids.len()
    }

    /// Applies a list from discovery.
    pub fn apply(&mut self, mut list: EndpointList, names: &Names) -> DirectoryUpdate {
        self.index = list.index;
        let unreadable = std::mem::take(&mut list.unreadable);
        list.endpoints.extend(self.former_entries(&unreadable));
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
        self.forget_former_names();
        let endpoints = if list.snapshot {
            EndpointUpdate::Snapshot(endpoints)
        } else {
            EndpointUpdate::Changes(endpoints)
        };
        DirectoryUpdate { endpoints, servers }
    }

    /// What is known of servers whose entries can't be read: they stay as they are.
    fn former_entries(&self, unreadable: &[UnreadableEndpoint]) -> Vec<ListedEndpoint> {
        unreadable
            .iter()
            .filter_map(|entry| self.ids.get(entry.name.as_ref()?))
            .filter_map(|server| self.listed.get(server))
            .cloned()
            .collect()
    }

    /// Removes the servers that a complete list does not have.
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

    /// A server that comes back keeps its id, as long as not too many former names are remembered.
    fn forget_former_names(&mut self) {
        if self.ids.len() > MAX_FORMER_NAMES + self.listed.len() {
            self.ids.retain(|_, id| self.listed.contains_key(id));
        }
    }

    /// Applies one entry of a list; none if the entry is incomplete.
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
                "discovery: {} has no address or no group: left out",
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

    /// Assigns a hash of the name, so that all proxies give a server the same id. Only of two names with the same hash the
    /// second one gets an id that depends on the order.
    fn assign_id(&mut self, name: &str) -> ServerId {
        let mut id = subsetting::hash_name(name);
        while self.ids.values().any(|known| known.0 == id) {
            id = id.wrapping_add(1);
        }
        self.ids.insert(name.to_owned(), ServerId(id));
        ServerId(id)
    }

    /// Excludes a server for an operator, or includes it again; none if that changes nothing. `now` is Unix time.
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

    /// The complete list, as discovery last reported it.
    pub fn endpoint_list(&self) -> EndpointList {
        EndpointList {
            index: self.index,
            snapshot: true,
            endpoints: self.listed.values().cloned().collect(),
            unreadable: Vec::new(),
        }
    }

    /// Restores the exclusions of the previous process. Its list has to be applied first.
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

/// A server for the decision module and for the pools; none if its address or group is not known.
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

/// The id of a zone or kind. All names that the settings do not have share an id that none of theirs has.
fn index_of(names: &[String], name: &str) -> u16 {
    names
        .iter()
        .position(|known| known == name)
        .and_then(|index| u16::try_from(index).ok())
        .unwrap_or(u16::MAX)
}
