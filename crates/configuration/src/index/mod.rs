//! An index of the routes: finds the first route whose conditions hold without checking all of them.
//!
//! A trie of networks and a trie of statements give the prefixes that match a request. For each pair of prefixes a summary
//! lists the shapes of its routes (which of class, tenant and group they state), and one look-up by a hashed key gives the
//! routes of a shape. Conditions that are not part of the keys (times, and lists that would give too many keys) are checked
//! for each of these routes in order. Routes after the best one found so far are skipped.

mod names;
mod network_trie;
mod residual;
mod statement_trie;
mod summary;

pub use names::NameTable;

use crate::calendar::{Moment, Window};
use crate::route::{self, Conditions, Route};
use network_trie::NetworkTrie;
use residual::{divide, KeyedLists, NameNumbers, ResidualConditions};
use rustc_hash::FxHashMap;
use statement_trie::{StatementTrie, MAX_PREFIXES};
use std::net::IpAddr;
use summary::{Summary, CLASS, GROUP, TENANT};

/// In a key: any class, tenant or group. As a position: no route.
const ANY: u32 = u32::MAX;
/// In place of a list's length: the key has a single route without residual conditions, and the start of the list is its
/// position.
const SINGLE_ROUTE: u32 = u32::MAX;
/// The number of the empty prefix, which matches every statement.
const ANY_STATEMENT: u32 = 0;

/// The properties of a request that routes check, with names as numbers.
#[derive(Clone, Copy, Debug)]
pub struct IndexedRequest<'a> {
    /// Position of the class in the [`NameTable`] of the index; any other number is a name that no route has.
    pub class: u32,
    /// Position of the tenant in the [`NameTable`] of the index.
    pub tenant: u32,
    /// The group of record servers.
    pub group: u32,
    /// The statement as it was sent.
    pub statement: &'a [u8],
    /// The client's address.
    pub client: IpAddr,
    /// Time of arrival.
    pub at: Moment,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Key {
    network: u32,
    statement: u32,
    class: u32,
    tenant: u32,
    group: u32,
}

/// An index of the routes: finds the first route whose conditions hold without checking all of them.
#[derive(Debug, Default)]
pub struct Index {
    networks: NetworkTrie,
    statements: StatementTrie,
    /// Summaries by network and prefix of statements. Those of routes without a statement are in the network's node.
    summaries: FxHashMap<(u32, u32), Summary>,
    /// The routes of each key: the start of their list in `lists` and its length; or, with the length [`SINGLE_ROUTE`], the
    /// position of the only route.
    routes_by_key: FxHashMap<Key, (u32, u32)>,
    lists: Vec<u32>,
    /// Residual conditions of each route; `None`: its keys alone decide.
    residuals: Vec<Option<Box<ResidualConditions>>>,
    windows: Vec<Window>,
}

/// The routes of each key, while the index is built.
type RoutesByKey = FxHashMap<Key, Vec<u32>>;

impl Index {
    /// Compiles the routes. Names that are not in `names` are left out, since no request has them.
    pub fn new(routes: &[Route], windows: &[Window], names: &NameTable) -> Index {
        let numbers = NameNumbers::new(names);
        let mut index = Index {
            windows: windows.to_vec(),
            ..Index::default()
        };
        // The first inserted prefix gets the number ANY_STATEMENT.
        index.statements.insert(b"");
        let mut routes_by_key = RoutesByKey::default();
        for (at, route) in (0_u32..).zip(routes) {
            let (keyed, residual) = divide(&route.conditions, &numbers);
            let residual = (!residual.is_empty()).then(|| Box::new(residual));
            index.residuals.push(residual);
            index.add_route(at, &route.conditions, keyed, &mut routes_by_key);
        }
        index.pack(routes_by_key);
        index.networks.link_parents();
        index
    }

    fn add_route(
        &mut self,
        at: u32,
        conditions: &Conditions,
        keyed: KeyedLists<'_>,
        routes_by_key: &mut RoutesByKey,
    ) {
        let networks = self.number_networks(conditions);
        let statements = self.number_statements(&keyed.statements);
        let shape = shape_of(&keyed);
        let (classes, tenants) = (or_any(keyed.classes), or_any(keyed.tenants));
        let groups = or_any(keyed.groups);
        for &network in &networks {
            for &statement in &statements {
                self.summarise(network, statement, at, shape);
                for &class in &classes {
                    for &tenant in &tenants {
                        for &group in &groups {
                            let key = Key {
                                network,
                                statement,
                                class,
                                tenant,
                                group,
                            };
                            self.append(routes_by_key.entry(key).or_default(), at);
                        }
                    }
                }
            }
        }
    }

    fn number_networks(&mut self, conditions: &Conditions) -> Vec<u32> {
        if conditions.networks.is_empty() {
            return vec![self.networks.insert(0, 0)];
        }
        let prefixes = conditions.networks.iter().map(route::network_prefix);
        prefixes
            .map(|(first, length)| self.networks.insert(first, length))
            .collect()
    }

    fn number_statements(&mut self, prefixes: &[&str]) -> Vec<u32> {
        if prefixes.is_empty() {
            return vec![ANY_STATEMENT];
        }
        prefixes
            .iter()
            .map(|p| self.statements.insert(p.as_bytes()))
            .collect()
    }

    fn summarise(&mut self, network: u32, statement: u32, at: u32, shape: u8) {
        let node = &mut self.networks.nodes[network as usize];
        if statement == ANY_STATEMENT {
            node.summary.add(at, shape);
            return;
        }
        node.has_statements = true;
        self.summaries
            .entry((network, statement))
            .or_insert(Summary::EMPTY)
            .add(at, shape);
    }

    /// Adds a route to the list of a key, unless a route without residual conditions comes before it, which always holds.
    fn append(&self, list: &mut Vec<u32>, at: u32) {
        let last = list.last().copied();
        let ends = last.is_some_and(|last| self.is_decided_by_keys(last));
        if last != Some(at) && !ends {
            list.push(at);
        }
    }

    fn is_decided_by_keys(&self, at: u32) -> bool {
        matches!(self.residuals.get(at as usize), Some(None))
    }

    fn pack(&mut self, routes_by_key: RoutesByKey) {
        self.routes_by_key.reserve(routes_by_key.len());
        for (key, list) in routes_by_key {
            if let [one] = list[..] {
                if self.is_decided_by_keys(one) {
                    self.routes_by_key.insert(key, (one, SINGLE_ROUTE));
                    continue;
                }
            }
            let start = self.lists.len() as u32;
            self.routes_by_key.insert(key, (start, list.len() as u32));
            self.lists.extend(list);
        }
    }

    /// The position of the first route whose conditions hold.
    pub fn find(&self, request: &IndexedRequest<'_>) -> Option<usize> {
        let mut best = ANY;
        let mut prefixes = [0; MAX_PREFIXES];
        let prefixes = self
            .statements
            .prefixes(request.statement.trim_ascii_start(), &mut prefixes);
        let mut network = self.networks.find(route::address_number(request.client));
        while let Some(node) = self.networks.nodes.get(network as usize) {
            // Routes without a statement are checked first, since they are more frequent.
            if node.summary.first < best {
                best = self.first_among(network, ANY_STATEMENT, node.summary.shapes, request, best);
            }
            let stated = prefixes.iter().filter(|p| **p != ANY_STATEMENT);
            for &statement in stated.filter(|_| node.has_statements) {
                let summary = self.summaries.get(&(network, statement));
                if let Some(summary) = summary.filter(|summary| summary.first < best) {
                    best = self.first_among(network, statement, summary.shapes, request, best);
                }
            }
            network = node.parent;
        }
        (best != ANY).then_some(best as usize)
    }

    /// The first route that holds among those of one network and one prefix of statements, if it comes before `best`;
    /// else `best`.
    fn first_among(
        &self,
        network: u32,
        statement: u32,
        shapes: u8,
        request: &IndexedRequest<'_>,
        best: u32,
    ) -> u32 {
        let (mut shapes, mut best) = (shapes, best);
        while shapes != 0 {
            let shape = shapes.trailing_zeros() as u8;
            shapes &= shapes - 1;
            let or_any = |bit: u8, number: u32| if shape & bit != 0 { number } else { ANY };
            let key = Key {
                network,
                statement,
                class: or_any(CLASS, request.class),
                tenant: or_any(TENANT, request.tenant),
                group: or_any(GROUP, request.group),
            };
            let Some(&(start, length)) = self.routes_by_key.get(&key) else {
                continue;
            };
            if length == SINGLE_ROUTE {
                best = best.min(start);
                continue;
            }
            let list = &self.lists[start as usize..(start + length) as usize];
            let first = list
                .iter()
                .take_while(|at| **at < best)
                .find(|at| self.residual_holds(**at, request));
            best = first.copied().unwrap_or(best);
        }
        best
    }

    fn residual_holds(&self, at: u32, request: &IndexedRequest<'_>) -> bool {
        match self.residuals.get(at as usize) {
            Some(Some(residual)) => residual.hold(request, &self.windows),
            _ => true,
        }
    }

    /// Approximate size in bytes.
    pub fn size(&self) -> usize {
        self.routes_by_key.capacity() * size_of::<(Key, (u32, u32))>()
            + self.summaries.capacity() * size_of::<((u32, u32), Summary)>()
            + self.networks.size()
            + self.statements.size()
            + self.lists.capacity() * size_of::<u32>()
            + self.residuals.capacity() * size_of::<Option<Box<ResidualConditions>>>()
    }
}

fn shape_of(keyed: &KeyedLists<'_>) -> u8 {
    let stated = |list: &[u32], bit: u8| if list.is_empty() { 0 } else { bit };
    stated(&keyed.classes, CLASS) | stated(&keyed.tenants, TENANT) | stated(&keyed.groups, GROUP)
}

fn or_any(list: Vec<u32>) -> Vec<u32> {
    if list.is_empty() {
        vec![ANY]
    } else {
        list
    }
}
