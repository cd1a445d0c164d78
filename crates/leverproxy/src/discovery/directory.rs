//! The record servers by name: which id the module knows them by, and where they listen.

use super::wire::{Endpoint, Listing, Status};
use mountshift::{Entry, GroupId, KindId, ListNews, Listed, StoreId, Time, ZoneId};
use mountshift_settings::Names;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Names of former servers that are remembered at most.
const NAMES_KEPT: usize = 1_000;

#[derive(Default)]
pub struct Directory {
    ids: BTreeMap<String, StoreId>,
    named: u32,
    members: BTreeMap<StoreId, Member>,
    index: u64,
}

#[derive(Clone, Copy)]
struct Member {
    address: SocketAddr,
    group: GroupId,
}

/// What a listing means for connections: where a server is, and whether it takes anything new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Serves(StoreId, SocketAddr),
    /// Told to drain, or gone from the list.
    Leaves(StoreId),
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
    pub fn learn(&mut self, listing: Listing, names: &Names) -> (ListNews, Vec<Change>) {
        self.index = listing.index;
        let mut changes = Vec::new();
        let mut entries = Vec::new();
        for endpoint in &listing.endpoints {
            if let Some((entry, change)) = self.entry(endpoint, names) {
                entries.push(entry);
                changes.push(change);
            }
        }
        if listing.snapshot {
            let listed: BTreeSet<StoreId> = entries.iter().map(|e| e.store).collect();
            for (&store, _) in self.members.iter().filter(|(store, _)| !listed.contains(store)) {
                changes.push(Change::Leaves(store));
            }
            self.members.retain(|store, _| listed.contains(store));
        }
        self.members
            .retain(|store, _| !entries.iter().any(|e| e.store == *store && e.listed == Listed::Gone));
        // A server that comes back keeps its id; only so many names of former ones are remembered.
        if self.ids.len() > NAMES_KEPT + self.members.len() {
            self.ids.retain(|_, id| self.members.contains_key(id));
        }
        let news = if listing.snapshot { ListNews::Complete(entries) } else { ListNews::Changes(entries) };
        (news, changes)
    }

    fn entry(&mut self, endpoint: &Endpoint, names: &Names) -> Option<(Entry, Change)> {
        let known = self.ids.get(&endpoint.name).copied();
        let member = known.and_then(|id| self.members.get(&id)).copied();
        let (Some(address), Some(group)) = (
            endpoint.address.or(member.map(|m| m.address)),
            endpoint.group.map(GroupId).or(member.map(|m| m.group)),
        ) else {
            if endpoint.status != Status::Gone {
                log::warn!("discovery: {} has no address or no group: left out", endpoint.name);
            }
            return None;
        };
        let store = known.unwrap_or_else(|| {
            self.named += 1;
            self.ids.insert(endpoint.name.clone(), StoreId(self.named));
            StoreId(self.named)
        });
        self.members.insert(store, Member { address, group });
        let listed = match endpoint.status {
            Status::Ready => Listed::Ready,
            Status::Terminating | Status::Other => Listed::Draining,
            Status::Gone => Listed::Gone,
        };
        let change = match listed {
            Listed::Ready => Change::Serves(store, address),
            Listed::Draining | Listed::Gone => Change::Leaves(store),
        };
        let entry = Entry {
            store,
            group,
            zone: ZoneId(place(&names.zones, &endpoint.zone)),
            kind: KindId(place(&names.kinds, &endpoint.kind)),
            listed,
            primary: false,
            started: started(endpoint.since_ms),
        };
        Some((entry, change))
    }
}

fn started(since_ms: u64) -> Time {
    Time(Duration::from_millis(since_ms))
}

/// The id of a name; names that the settings do not hold share one that none of theirs has.
fn place(names: &[String], name: &str) -> u16 {
    names.iter().position(|n| n == name).and_then(|i| u16::try_from(i).ok()).unwrap_or(u16::MAX)
}
