//! The routes compiled: the first that holds is found without asking all of them.
//!
//! A trie over networks and one over statements tell which prefixes a request lies under; for each pair of these a
//! table tells which shapes of routes there are (class, tenant and group stated or not), and one look-up by a
//! hashed key gives the routes of that shape. Routes that a key can't tell apart (by time, or by lists that would
//! make too many keys) are asked in their order. Whatever can't come before the best route found is passed over.

use crate::calendar::{Moment, Window};
use crate::route::{self, Route};
use rustc_hash::FxHashMap;
use std::collections::HashMap;
use std::net::IpAddr;
use std::ops::RangeInclusive;

/// Stands for any class, tenant, group, and in tries for nothing.
const ANY: u32 = u32::MAX;
const SOLE: u32 = u32::MAX;
/// Keys that one route may take; its longest lists are asked instead once there would be more.
const KEYS_LIMIT: usize = 16_384;
/// A list of groups that names more of them than this is asked.
const GROUPS_LIMIT: u64 = 64;
/// Nested prefixes of one statement: no text has more, by the length that the language allows.
const TEXT_DEPTH: usize = 258;

/// What routes see of a request, its names as numbers.
#[derive(Clone, Copy, Debug)]
pub struct IndexedRequest<'a> {
    /// Position in the names that the index was made with; any other number is a name that no route knows.
    pub class: u32,
    /// Position of the tenant's name.
    pub tenant: u32,
    /// The group of record servers.
    pub group: u32,
    /// The statement as it was sent.
    pub statement: &'a [u8],
    /// The client's address.
    pub client: IpAddr,
    /// When the request came.
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

/// What is known of all routes under one network and one statement's prefix.
#[derive(Clone, Copy, Debug)]
struct Pair {
    /// The first of them.
    least: u32,
    /// A bit for each shape that occurs.
    shapes: u8,
}

const NO_PAIR: Pair = Pair {
    least: ANY,
    shapes: 0,
};

impl Pair {
    fn add(&mut self, at: u32, shape: u8) {
        self.least = self.least.min(at);
        self.shapes |= 1 << shape;
    }
}

/// The number of the empty prefix, which every statement has.
const ANY_TEXT: u32 = 0;

const CLASS: u8 = 1;
const TENANT: u8 = 2;
const GROUP: u8 = 4;

/// What of a route no key tells.
#[derive(Debug, Default)]
struct ResidualConditions {
    classes: Vec<u32>,
    tenants: Vec<u32>,
    groups: Vec<RangeInclusive<u32>>,
    statements: Vec<Box<str>>,
    during: Vec<u32>,
}

impl ResidualConditions {
    fn is_empty(&self) -> bool {
        let ResidualConditions {
            classes,
            tenants,
            groups,
            statements,
            during,
        } = self;
        classes.is_empty()
            && tenants.is_empty()
            && groups.is_empty()
            && statements.is_empty()
            && during.is_empty()
    }
}

/// Classes and tenants by number. Those of the platform come first, in its order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NameTable {
    /// Names of classes.
    pub classes: Vec<String>,
    /// Names of tenants.
    pub tenants: Vec<String>,
}

impl NameTable {
    /// With all names that routes state and that it has not yet.
    pub fn with_routes(mut self, routes: &[Route]) -> NameTable {
        let add = |list: fn(&Route) -> &[String], names: &mut Vec<String>| {
            let mut known: std::collections::HashSet<String> = names.iter().cloned().collect();
            for name in routes.iter().flat_map(list) {
                if known.insert(name.clone()) {
                    names.push(name.clone());
                }
            }
        };
        add(|r| &r.conditions.classes, &mut self.classes);
        add(|r| &r.conditions.tenants, &mut self.tenants);
        self
    }
}

/// An index over the routes: finds the first that holds without asking all.
#[derive(Debug, Default)]
pub struct Index {
    networks: NetTrie,
    statements: TextTrie,
    /// Those of a statement's prefix that says something; the others are kept with their networks.
    pairs: FxHashMap<(u32, u32), Pair>,
    /// The routes of each key: where they stand in `lists` and how many they are; or, with the number [`SOLE`],
    /// the only one, which always holds.
    cells: FxHashMap<Key, (u32, u32)>,
    lists: Vec<u32>,
    asked: Vec<Option<Box<ResidualConditions>>>,
    windows: Vec<Window>,
}

impl Index {
    /// Compiles the routes. Names that no request can have are left out.
    pub fn new(routes: &[Route], windows: &[Window], names: &NameTable) -> Index {
        let numbers =
            |names: &[String]| -> HashMap<String, u32> { names.iter().cloned().zip(0..).collect() };
        let (classes, tenants) = (numbers(&names.classes), numbers(&names.tenants));
        let number_all = |of: &HashMap<String, u32>, list: &[String]| -> Vec<u32> {
            let mut out: Vec<u32> = list
                .iter()
                .filter_map(|name| of.get(name).copied())
                .collect();
            out.sort_unstable();
            out.dedup();
            out
        };
        let mut index = Index {
            windows: windows.to_vec(),
            ..Index::default()
        };
        index.statements.insert(b"");
        let mut cells: FxHashMap<Key, Vec<u32>> = FxHashMap::default();
        for (at, route) in (0_u32..).zip(routes) {
            let conditions = &route.conditions;
            let mut asked = ResidualConditions {
                during: conditions
                    .during
                    .iter()
                    .filter_map(|w| u32::try_from(*w).ok())
                    .collect(),
                ..ResidualConditions::default()
            };
            let mut class = number_all(&classes, &conditions.classes);
            let mut tenant = number_all(&tenants, &conditions.tenants);
            let wide: u64 = conditions
                .groups
                .iter()
                .map(|g| u64::from(g.end() - g.start()) + 1)
                .sum();
            let mut group: Vec<u32> = Vec::new();
            if wide > GROUPS_LIMIT {
                asked.groups.clone_from(&conditions.groups);
            } else {
                group = conditions.groups.iter().cloned().flatten().collect();
                group.sort_unstable();
                group.dedup();
            }
            let mut statement: Vec<&str> =
                conditions.statements.iter().map(String::as_str).collect();
            let networks = conditions.networks.len().max(1);
            let keys = |lists: [usize; 4]| {
                lists
                    .iter()
                    .map(|n| (*n).max(1))
                    .fold(networks, usize::saturating_mul)
            };
            if keys([class.len(), tenant.len(), group.len(), statement.len()]) > KEYS_LIMIT {
                asked.groups = group.drain(..).map(|g| g..=g).collect();
            }
            if keys([class.len(), tenant.len(), 0, statement.len()]) > KEYS_LIMIT {
                asked.statements = statement.drain(..).map(Into::into).collect();
            }
            if keys([class.len(), tenant.len(), 0, 0]) > KEYS_LIMIT {
                asked.tenants = std::mem::take(&mut tenant);
            }
            if keys([class.len(), 0, 0, 0]) > KEYS_LIMIT {
                asked.classes = std::mem::take(&mut class);
            }
            let plain = asked.is_empty();
            index.asked.push((!plain).then(|| Box::new(asked)));
            let any = |list: Vec<u32>| if list.is_empty() { vec![ANY] } else { list };
            let nets: Vec<u32> = match conditions.networks.is_empty() {
                true => vec![index.networks.insert(0, 0)],
                false => conditions
                    .networks
                    .iter()
                    .map(|n| {
                        let (first, length) = route::network_prefix(n);
                        index.networks.insert(first, length)
                    })
                    .collect(),
            };
            let texts: Vec<u32> = match statement.is_empty() {
                true => vec![ANY_TEXT],
                false => statement
                    .iter()
                    .map(|p| index.statements.insert(p.as_bytes()))
                    .collect(),
            };
            let (class, tenant, group) = (any(class), any(tenant), any(group));
            let stated = |list: &[u32], bit: u8| if list == [ANY] { 0 } else { bit };
            let shape = stated(&class, CLASS) | stated(&tenant, TENANT) | stated(&group, GROUP);
            for &network in &nets {
                for &statement in &texts {
                    let node = &mut index.networks.nodes[network as usize];
                    if statement == ANY_TEXT {
                        node.pair.add(at, shape);
                    } else {
                        node.more = true;
                        index
                            .pairs
                            .entry((network, statement))
                            .or_insert(NO_PAIR)
                            .add(at, shape);
                    }
                    for &class in &class {
                        for &tenant in &tenant {
                            for &group in &group {
                                let key = Key {
                                    network,
                                    statement,
                                    class,
                                    tenant,
                                    group,
                                };
                                let list = cells.entry(key).or_default();
                                // Behind one that always holds nothing is ever found.
                                let last = list.last().and_then(|l| index.asked.get(*l as usize));
                                if list.last() != Some(&at) && !matches!(last, Some(None)) {
                                    list.push(at);
                                }
                            }
                        }
                    }
                }
            }
        }
        index.cells.reserve(cells.len());
        for (key, list) in cells {
            if let [one] = list[..] {
                if matches!(index.asked.get(one as usize), Some(None)) {
                    index.cells.insert(key, (one, SOLE));
                    continue;
                }
            }
            let start = index.lists.len() as u32;
            index.cells.insert(key, (start, list.len() as u32));
            index.lists.extend(list);
        }
        index.networks.seal();
        index
    }

    /// The first route that holds, by its position.
    pub fn find(&self, request: &IndexedRequest<'_>) -> Option<usize> {
        let mut best = ANY;
        let mut texts = [0; TEXT_DEPTH];
        let texts = self
            .statements
            .prefixes(request.statement.trim_ascii_start(), &mut texts);
        let mut at = self.networks.find(route::address_number(request.client));
        while let Some(node) = self.networks.nodes.get(at as usize) {
            // What no statement is asked for is looked at first: a prefix is the rarer case.
            if node.pair.least < best {
                best = self.among(at, ANY_TEXT, node.pair.shapes, request, best);
            }
            for &text in texts.iter().filter(|text| node.more && **text != ANY_TEXT) {
                let pair = self.pairs.get(&(at, text)).filter(|pair| pair.least < best);
                if let Some(pair) = pair {
                    best = self.among(at, text, pair.shapes, request, best);
                }
            }
            at = node.up;
        }
        (best != ANY).then_some(best as usize)
    }

    /// The first that holds of those under one network and one statement's prefix, if it comes before `best`.
    fn among(
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
            let Some(&(start, length)) = self.cells.get(&key) else {
                continue;
            };
            if length == SOLE {
                best = best.min(start);
                continue;
            }
            let list = &self.lists[start as usize..(start + length) as usize];
            let first = list
                .iter()
                .take_while(|at| **at < best)
                .find(|at| self.holds(**at, request));
            best = first.copied().unwrap_or(best);
        }
        best
    }

    /// What the keys don't tell of it.
    fn holds(&self, at: u32, request: &IndexedRequest<'_>) -> bool {
        let Some(Some(asked)) = self.asked.get(at as usize) else {
            return true;
        };
        let ResidualConditions {
            classes,
            tenants,
            groups,
            statements,
            during,
        } = &**asked;
        let among =
            |list: &[u32], number: u32| list.is_empty() || list.binary_search(&number).is_ok();
        let held = |window: &u32| {
            self.windows
                .get(*window as usize)
                .is_some_and(|w| w.contains(request.at))
        };
        among(classes, request.class)
            && among(tenants, request.tenant)
            && (groups.is_empty() || groups.iter().any(|g| g.contains(&request.group)))
            && (statements.is_empty()
                || statements
                    .iter()
                    .any(|p| route::starts_with_folded(request.statement, p)))
            && (during.is_empty() || during.iter().any(held))
    }

    /// Bytes that it holds, about.
    pub fn size(&self) -> usize {
        let tables = self.cells.capacity() * size_of::<(Key, (u32, u32))>()
            + self.pairs.capacity() * size_of::<((u32, u32), Pair)>();
        let tries = self.networks.nodes.capacity() * size_of::<NetNode>()
            + self.networks.jump.capacity() * 4
            + self.statements.nodes.capacity() * size_of::<TextNode>();
        tables
            + tries
            + self.lists.capacity() * 4
            + self.asked.capacity() * size_of::<Option<Box<ResidualConditions>>>()
    }
}

/// A path-compressed binary trie over prefixes of addresses.
#[derive(Debug)]
struct NetTrie {
    nodes: Vec<NetNode>,
    /// Where many prefixes are, the node from which on the addresses of each IPv4 /16 have to be looked for.
    jump: Vec<u32>,
}

#[derive(Clone, Copy, Debug)]
struct NetNode {
    first: u128,
    length: u8,
    /// It stands for a prefix, and does not only branch.
    known: bool,
    /// There are routes under it that ask for a statement's prefix.
    more: bool,
    children: [u32; 2],
    /// The nearest node above that stands for a prefix.
    up: u32,
    /// Of the routes under it that ask for no statement.
    pair: Pair,
}

impl NetNode {
    fn new(first: u128, length: u8, children: [u32; 2]) -> NetNode {
        NetNode {
            first,
            length,
            known: false,
            more: false,
            children,
            up: ANY,
            pair: NO_PAIR,
        }
    }
}

/// So many nodes are worth a table of 256 KiB before them.
const JUMP_FROM: usize = 4_096;
/// The bits of a mapped IPv4 address up to the end of its /16.
const JUMP_LENGTH: u8 = 112;

fn bit(number: u128, at: u8) -> usize {
    (number >> (127 - u32::from(at)) & 1) as usize
}

impl Default for NetTrie {
    fn default() -> NetTrie {
        NetTrie {
            nodes: vec![NetNode::new(0, 0, [ANY; 2])],
            jump: Vec::new(),
        }
    }
}

impl NetTrie {
    /// The node of a prefix.
    fn insert(&mut self, first: u128, length: u8) -> u32 {
        let mut at = 0;
        loop {
            let node = self.nodes[at];
            if node.length == length {
                self.nodes[at].known = true;
                return at as u32;
            }
            let side = bit(first, node.length);
            let child = node.children[side];
            if child == ANY {
                self.nodes[at].children[side] = self.nodes.len() as u32;
                at = self.push(first, length, [ANY; 2]);
                continue;
            }
            let below = self.nodes[child as usize];
            let common = ((first ^ below.first).leading_zeros() as u8)
                .min(length)
                .min(below.length);
            if common < below.length {
                // The way to the child forks before it.
                let mut children = [ANY; 2];
                children[bit(below.first, common)] = child;
                self.nodes[at].children[side] = self.nodes.len() as u32;
                at = self.push(first & route::prefix_mask(common), common, children);
            } else {
                at = child as usize;
            }
        }
    }

    fn push(&mut self, first: u128, length: u8, children: [u32; 2]) -> usize {
        self.nodes.push(NetNode::new(first, length, children));
        self.nodes.len() - 1
    }

    /// To be called once all prefixes are in, before any address is looked for.
    fn seal(&mut self) {
        let mut open = vec![0_u32];
        while let Some(at) = open.pop() {
            let node = self.nodes[at as usize];
            let up = if node.known { at } else { node.up };
            for child in node.children.into_iter().filter(|c| *c != ANY) {
                self.nodes[child as usize].up = up;
                open.push(child);
            }
        }
        if self.nodes.len() >= JUMP_FROM {
            let base = route::address_number(IpAddr::from([0, 0, 0, 0]));
            self.jump = (0..1_u128 << 16)
                .map(|net| self.deepest(base | net << 16, 0, JUMP_LENGTH))
                .collect();
        }
    }

    /// The last node on the way to an address, of at most that length.
    fn deepest(&self, address: u128, from: u32, longest: u8) -> u32 {
        let mut at = from;
        loop {
            let node = &self.nodes[at as usize];
            if node.length >= longest {
                return at;
            }
            let child = node.children[bit(address, node.length)];
            let Some(next) = self
                .nodes
                .get(child as usize)
                .filter(|n| n.length <= longest)
            else {
                return at;
            };
            if (address ^ next.first) & route::prefix_mask(next.length) != 0 {
                return at;
            }
            at = child;
        }
    }

    /// The node of the longest prefix of an address; those above it are its other prefixes.
    fn find(&self, address: u128) -> u32 {
        let mapped = address >> 32 == 0xffff;
        let from = self
            .jump
            .get((address >> 16 & 0xffff) as usize)
            .filter(|_| mapped)
            .copied()
            .unwrap_or(0);
        let at = self.deepest(address, from, 128);
        let node = &self.nodes[at as usize];
        if node.known {
            at
        } else {
            node.up
        }
    }
}

/// A path-compressed trie over prefixes of statements.
#[derive(Debug)]
struct TextTrie {
    nodes: Vec<TextNode>,
    values: u32,
}

#[derive(Debug)]
struct TextNode {
    label: Box<[u8]>,
    value: u32,
    /// By their first byte.
    children: Vec<(u8, u32)>,
}

impl Default for TextTrie {
    fn default() -> TextTrie {
        TextTrie {
            nodes: vec![TextNode {
                label: [].into(),
                value: ANY,
                children: Vec::new(),
            }],
            values: 0,
        }
    }
}

impl TextTrie {
    fn insert(&mut self, text: &[u8]) -> u32 {
        let (mut at, mut rest) = (0, text);
        loop {
            let Some(&byte) = rest.first() else {
                if self.nodes[at].value == ANY {
                    self.nodes[at].value = self.values;
                    self.values += 1;
                }
                return self.nodes[at].value;
            };
            match self.nodes[at]
                .children
                .binary_search_by_key(&byte, |(b, _)| *b)
            {
                Err(place) => {
                    let child = self.push(rest, Vec::new());
                    self.nodes[at].children.insert(place, (byte, child));
                    (at, rest) = (child as usize, &[]);
                }
                Ok(place) => {
                    let child = self.nodes[at].children[place].1;
                    let label = &self.nodes[child as usize].label;
                    let common = label.iter().zip(rest).take_while(|(a, b)| a == b).count();
                    if common == label.len() {
                        (at, rest) = (child as usize, &rest[common..]);
                        continue;
                    }
                    let (head, tail) = (
                        Box::from(&label[..common]),
                        Box::<[u8]>::from(&label[common..]),
                    );
                    let fork = self.push(&head, vec![(tail[0], child)]);
                    self.nodes[child as usize].label = tail;
                    self.nodes[at].children[place].1 = fork;
                    (at, rest) = (fork as usize, &rest[common..]);
                }
            }
        }
    }

    fn push(&mut self, label: &[u8], children: Vec<(u8, u32)>) -> u32 {
        self.nodes.push(TextNode {
            label: label.into(),
            value: ANY,
            children,
        });
        self.nodes.len() as u32 - 1
    }

    /// The numbers of all prefixes of a statement, the shortest first.
    fn prefixes<'a>(&self, text: &[u8], out: &'a mut [u32; TEXT_DEPTH]) -> &'a [u32] {
        let (mut at, mut rest, mut found) = (0, text, 0);
        loop {
            let node = &self.nodes[at];
            let label = &node.label;
            let same = rest.len() >= label.len()
                && label
                    .iter()
                    .zip(rest)
                    .all(|(a, b)| *a == b.to_ascii_lowercase());
            if !same {
                break;
            }
            rest = &rest[label.len()..];
            if node.value != ANY && found < out.len() {
                out[found] = node.value;
                found += 1;
            }
            let Some(byte) = rest.first().map(u8::to_ascii_lowercase) else {
                break;
            };
            let Ok(place) = node.children.binary_search_by_key(&byte, |(b, _)| *b) else {
                break;
            };
            at = node.children[place].1 as usize;
        }
        &out[..found]
    }
}
