//! The record servers by name: which id the module knows them by, and where they listen.

use super::wire::{ListedEndpoint, Listing, Status};
use maintenance::{EffectiveState, Maintenance, ManualExclusion, ServerStatus, UnknownServer};
use platform_settings::Names;
use routing::{Endpoint, EndpointState, EndpointUpdate, GroupId, KindId, ServerId, Time, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Names of former servers that are remembered at most.
const NAMES_KEPT: usize = 1_000;

#[derive(Default)]
pub struct Directory {
    ids: BTreeMap<String, ServerId>,
    /// As discovery last told of them, with address and group filled in.
    members: BTreeMap<ServerId, ListedEndpoint>,
    /// The operators' word beside discovery's.
    hands: Maintenance,
    index: u64,
}

/// What a listing means for connections: where a server is, and whether it takes anything new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Serves(ServerId, SocketAddr),
    /// Told to drain, or gone from the list.
    Leaves(ServerId),
}

impl Directory {
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Names that are known, of former servers too.
    pub fn names(&self) -> usize {
        self.ids.len()
    }

    /// Takes a listing in; what it tells the module and the pools.
    pub fn learn(&mut self, listing: Listing, names: &Names) -> (EndpointUpdate, Vec<Change>) {
        self.index = listing.index;
        let mut changes = Vec::new();
        let mut entries = Vec::new();
        if listing.snapshot {
            self.hands
                .retain_listed(&listing.endpoints.iter().map(|e| e.name.as_str()).collect());
        }
        for endpoint in listing.endpoints {
            if let Some((entry, change)) = self.entry(endpoint, names) {
                entries.push(entry);
                changes.push(change);
            }
        }
        if listing.snapshot {
            let listed: BTreeSet<ServerId> = entries.iter().map(|e| e.server).collect();
            for (&server, _) in self
                .members
                .iter()
                .filter(|(server, _)| !listed.contains(server))
            {
                changes.push(Change::Leaves(server));
            }
            self.members.retain(|server, _| listed.contains(server));
        }
        self.members.retain(|server, _| {
            !entries
                .iter()
                .any(|e| e.server == *server && e.state == EndpointState::Removed)
        });
        // A server that comes back keeps its id; only so many names of former ones are remembered.
        if self.ids.len() > NAMES_KEPT + self.members.len() {
            self.ids.retain(|_, id| self.members.contains_key(id));
        }
        let news = if listing.snapshot {
            EndpointUpdate::Snapshot(entries)
        } else {
            EndpointUpdate::Changes(entries)
        };
        (news, changes)
    }

    fn entry(&mut self, mut endpoint: ListedEndpoint, names: &Names) -> Option<(Endpoint, Change)> {
        let known = self.ids.get(&endpoint.name).copied();
        let member = known.and_then(|id| self.members.get(&id));
        endpoint.address = endpoint.address.or(member.and_then(|m| m.address));
        endpoint.group = endpoint.group.or(member.and_then(|m| m.group));
        let word = match endpoint.status {
            Status::Ready => ServerStatus::Ready,
            Status::Terminating | Status::Other => ServerStatus::Draining,
            Status::Gone => ServerStatus::Removed,
        };
        let whole = endpoint.address.is_some() && endpoint.group.is_some();
        if !whole && word != ServerStatus::Removed {
            log::warn!(
                "discovery: {} has no address or no group: left out",
                endpoint.name
            );
            return None;
        }
        let joined = self.hands.apply_status(
            &endpoint.name,
            word,
            Duration::from_millis(endpoint.since_ms),
        );
        if !whole {
            return None;
        }
        let server = known.unwrap_or_else(|| self.name(&endpoint.name));
        let told = told(server, &endpoint, joined, names)?;
        self.members.insert(server, endpoint);
        Some(told)
    }

    /// An id that all proxies give it alike, whenever they heard of it; but for two names with one hash.
    fn name(&mut self, name: &str) -> ServerId {
        let mut id = subsetting::key(name);
        while self.ids.values().any(|known| known.0 == id) {
            id = id.wrapping_add(1);
        }
        self.ids.insert(name.to_owned(), ServerId(id));
        ServerId(id)
    }

    /// What operators say of a server; what it means for the module and the pools, if that is anything new.
    pub fn hand(
        &mut self,
        name: &str,
        out: bool,
        now: Time,
        names: &Names,
    ) -> Result<Option<(EndpointUpdate, Vec<Change>)>, UnknownServer> {
        let said = if out {
            self.hands.exclude(name, now.0)
        } else {
            self.hands.include(name, now.0)
        };
        Ok(said?.and_then(|joined| self.joined(name, joined, names)))
    }

    fn joined(
        &self,
        name: &str,
        joined: EffectiveState,
        names: &Names,
    ) -> Option<(EndpointUpdate, Vec<Change>)> {
        let server = *self.ids.get(name)?;
        let (entry, change) = told(server, self.members.get(&server)?, joined, names)?;
        Some((EndpointUpdate::Changes(vec![entry]), vec![change]))
    }

    /// The whole list, as discovery last told of it.
    pub fn listing(&self) -> Listing {
        let endpoints = self.members.values().cloned().collect();
        Listing {
            index: self.index,
            snapshot: true,
            endpoints,
        }
    }

    /// The operators' word as the process before this one had it, beside the list that it had.
    pub fn take_over(
        &mut self,
        hands: Vec<ManualExclusion>,
        names: &Names,
    ) -> Vec<(EndpointUpdate, Vec<Change>)> {
        let changed = self.hands.restore(hands);
        changed
            .iter()
            .filter_map(|(name, joined)| self.joined(name, *joined, names))
            .collect()
    }

    pub fn hands(&self) -> &Maintenance {
        &self.hands
    }
}

fn told(
    server: ServerId,
    endpoint: &ListedEndpoint,
    joined: EffectiveState,
    names: &Names,
) -> Option<(Endpoint, Change)> {
    let (listed, change) = match joined.status {
        ServerStatus::Ready => (
            EndpointState::Ready,
            Change::Serves(server, endpoint.address?),
        ),
        ServerStatus::Draining => (EndpointState::Draining, Change::Leaves(server)),
        ServerStatus::Removed => (EndpointState::Removed, Change::Leaves(server)),
    };
    let entry = Endpoint {
        server,
        group: GroupId(endpoint.group?),
        zone: ZoneId(place(&names.zones, &endpoint.zone)),
        kind: KindId(place(&names.kinds, &endpoint.kind)),
        state: listed,
        primary: false,
        started: Time(joined.started),
    };
    Some((entry, change))
}

/// The id of a name; names that the settings do not hold share one that none of theirs has.
fn place(names: &[String], name: &str) -> u16 {
    names
        .iter()
        .position(|n| n == name)
        .and_then(|i| u16::try_from(i).ok())
        .unwrap_or(u16::MAX)
}
