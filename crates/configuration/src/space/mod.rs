//! Represents requests as points of a space, in which the conditions of a route are a region. Used by the search for
//! unreachable routes and by the behavioural difference.

mod describe;
mod example;

pub use example::Example;

use crate::calendar::{TimePieces, Window};
use crate::index::NameTable;
use crate::ranges::{Point, Ranges, Region};
use crate::route::{self, Conditions, Request, Route};
use std::collections::HashMap;

/// The routes and windows of one configuration.
#[derive(Clone, Copy)]
pub struct Side<'a> {
    /// The routes, in their order.
    pub routes: &'a [Route],
    /// The windows to which the routes refer.
    pub windows: &'a [Window],
    /// Names of the windows, in the order of `windows`.
    pub window_names: &'a [String],
    /// Offset from UTC of the times that are shown, in seconds, positive to the east.
    pub offset: i32,
}

/// All requests that the routes of one or two configurations distinguish.
pub struct Space {
    names: NameTable,
    class_number: HashMap<String, u128>,
    tenant_number: HashMap<String, u128>,
    /// There are no classes other than the known ones.
    classes_are_complete: bool,
    /// Bounds of the statements with each prefix, sorted; routes do not distinguish statements between two bounds.
    bounds: Vec<Vec<u8>>,
    prefixes: Vec<String>,
    pieces: TimePieces,
    /// For each side, the pieces of time of each window.
    windows: Vec<Vec<Ranges>>,
    /// Names of windows with their pieces of time; a window that differs between the sides occurs twice.
    named_windows: Vec<(String, Ranges)>,
    offset: i32,
}

/// The range of all addresses as numbers, with IPv4 mapped into IPv6.
const ALL_ADDRESSES: (u128, u128) = (0, u128::MAX);
/// The range of the mapped IPv4 addresses.
const V4: (u128, u128) = (0xffff_0000_0000, 0xffff_ffff_ffff);

/// The smallest text that is greater than all texts with this prefix; `None` if there is none.
fn upper_bound_of_prefix(prefix: &[u8]) -> Option<Vec<u8>> {
    let mut text = prefix.to_vec();
    while let Some(last) = text.pop() {
        if last < u8::MAX {
            text.push(last + 1);
            return Some(text);
        }
    }
    None
}

/// The prefixes of statements in all routes, sorted.
fn prefixes(sides: &[Side<'_>]) -> Vec<String> {
    let routes = sides.iter().flat_map(|s| s.routes);
    let mut prefixes: Vec<String> = routes
        .flat_map(|r| r.conditions.statements.clone())
        .collect();
    prefixes.sort();
    prefixes.dedup();
    prefixes
}

/// The bounds of the statements with each prefix, sorted.
fn bounds(prefixes: &[String]) -> Vec<Vec<u8>> {
    let mut bounds: Vec<Vec<u8>> = prefixes.iter().map(|p| p.clone().into_bytes()).collect();
    bounds.extend(
        prefixes
            .iter()
            .filter_map(|p| upper_bound_of_prefix(p.as_bytes())),
    );
    bounds.push(Vec::new());
    bounds.sort();
    bounds.dedup();
    bounds
}

/// The pieces of time of all windows by name; a window that differs between the sides occurs twice.
fn named_windows(sides: &[Side<'_>], windows: &[Vec<Ranges>]) -> Vec<(String, Ranges)> {
    let mut named: Vec<(String, Ranges)> = Vec::new();
    for (side, sets) in sides.iter().zip(windows) {
        for (name, set) in side.window_names.iter().zip(sets) {
            match named.iter().find(|(known, _)| known == name) {
                Some((_, known)) if known == set => {}
                Some(_) => named.push((format!("{name} (new definition)"), set.clone())),
                None => named.push((name.clone(), set.clone())),
            }
        }
    }
    named
}

impl Space {
    /// The space of the requests that the routes of these sides distinguish. `classes`: all classes of the platform, if
    /// they are known.
    pub fn new(sides: &[Side<'_>], classes: Option<&[String]>) -> Space {
        let mut names = NameTable {
            classes: classes.unwrap_or_default().to_vec(),
            tenants: Vec::new(),
        };
        for side in sides {
            names = names.with_routes(side.routes);
        }
        let numbers = |names: &[String]| names.iter().cloned().zip(0..).collect();
        let prefixes = prefixes(sides);
        let pieces = TimePieces::of(sides.iter().flat_map(|s| s.windows));
        let windows: Vec<Vec<Ranges>> = sides
            .iter()
            .map(|s| s.windows.iter().map(|w| pieces.of_window(w)).collect())
            .collect();
        Space {
            class_number: numbers(&names.classes),
            tenant_number: numbers(&names.tenants),
            classes_are_complete: classes.is_some_and(|known| known.len() == names.classes.len()),
            names,
            bounds: bounds(&prefixes),
            prefixes,
            pieces,
            named_windows: named_windows(sides, &windows),
            windows,
            offset: sides.last().map_or(0, |s| s.offset),
        }
    }

    fn all_classes(&self) -> Ranges {
        let number = self.names.classes.len() as u128;
        match self.classes_are_complete && number > 0 {
            true => Ranges::one(0, number - 1),
            false => Ranges::one(0, number),
        }
    }

    /// The region of all requests.
    pub fn whole(&self) -> Region {
        Region([
            self.all_classes(),
            Ranges::one(0, self.names.tenants.len() as u128),
            Ranges::one(0, u128::from(u32::MAX)),
            Ranges::one(0, self.bounds.len() as u128 - 1),
            Ranges::one(ALL_ADDRESSES.0, ALL_ADDRESSES.1),
            self.pieces.all(),
        ])
    }

    fn prefix(&self, text: &str) -> (u128, u128) {
        let at = |text: &[u8]| self.bounds.partition_point(|b| b.as_slice() < text) as u128;
        let end = upper_bound_of_prefix(text.as_bytes())
            .map_or(self.bounds.len() as u128, |end| at(&end));
        (at(text.as_bytes()), end - 1)
    }

    /// The requests for which the conditions of a route of that side hold.
    pub fn region(&self, side: usize, conditions: &Conditions) -> Region {
        let mut region = self.whole();
        let Region([class, tenant, group, statement, network, time]) = &mut region;
        let numbers = |of: &HashMap<String, u128>, list: &[String]| {
            Ranges::from_list(list.iter().filter_map(|n| of.get(n)).map(|n| (*n, *n)))
        };
        if !conditions.classes.is_empty() {
            *class = numbers(&self.class_number, &conditions.classes);
        }
        if !conditions.tenants.is_empty() {
            *tenant = numbers(&self.tenant_number, &conditions.tenants);
        }
        if !conditions.groups.is_empty() {
            let ranges = conditions
                .groups
                .iter()
                .map(|g| (u128::from(*g.start()), u128::from(*g.end())));
            *group = Ranges::from_list(ranges);
        }
        if !conditions.statements.is_empty() {
            *statement = Ranges::from_list(conditions.statements.iter().map(|p| self.prefix(p)));
        }
        if !conditions.networks.is_empty() {
            *network = Ranges::from_list(conditions.networks.iter().map(|net| {
                let (first, length) = route::network_prefix(net);
                (first, first | !route::prefix_mask(length))
            }));
        }
        if !conditions.during.is_empty() {
            let sets = self.windows.get(side).map_or(&[][..], Vec::as_slice);
            let held = conditions.during.iter().filter_map(|w| sets.get(*w));
            *time = held.fold(Ranges::none(), |all, set| all.or(set));
        }
        region
    }

    /// The point of a request.
    pub fn point(&self, request: &Request<'_>) -> Point {
        let other = |of: &HashMap<String, u128>, name: &str| {
            of.get(name).copied().unwrap_or(of.len() as u128)
        };
        let text = request.statement.trim_ascii_start().to_ascii_lowercase();
        [
            other(&self.class_number, request.class),
            other(&self.tenant_number, request.tenant),
            u128::from(request.group),
            self.bounds.partition_point(|b| *b <= text) as u128 - 1,
            route::address_number(request.client),
            self.pieces.of_moment(request.at),
        ]
    }
}

impl std::fmt::Debug for Space {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Space")
    }
}
