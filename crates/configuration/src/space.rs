//! All requests as the points of one space, in which conditions are boxes: the common ground of the search for
//! unreachable routes and of the behavioural difference.

use crate::calendar::{Moment, TimePieces, Window};
use crate::index::NameTable;
use crate::ranges::{Dimension, Point, Ranges, Region};
use crate::route::{self, Conditions, Request, Route};
use std::collections::HashMap;
use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// The routes and windows of one configuration.
#[derive(Clone, Copy)]
pub struct Side<'a> {
    /// The routes, in their order.
    pub routes: &'a [Route],
    /// The windows that they name.
    pub windows: &'a [Window],
    /// In the order of `windows`.
    pub window_names: &'a [String],
    /// Seconds east of UTC, in which times are shown.
    pub offset: i32,
}

/// All requests that the routes of one or two configurations can tell apart.
pub struct Space {
    names: NameTable,
    class_number: HashMap<String, u128>,
    tenant_number: HashMap<String, u128>,
    /// No other class than the known ones exists.
    closed: bool,
    /// Where the statements' prefixes begin and end, in order; the statements between two are all alike.
    bounds: Vec<Vec<u8>>,
    prefixes: Vec<String>,
    pieces: TimePieces,
    /// For each side, the set of each window.
    windows: Vec<Vec<Ranges>>,
    /// Names of windows, each with its set; of both sides where they differ.
    named_windows: Vec<(String, Ranges)>,
    offset: i32,
}

const ALL_ADDRESSES: (u128, u128) = (0, u128::MAX);
const V4: (u128, u128) = (0xffff_0000_0000, 0xffff_ffff_ffff);

/// The least text that is above all that begin with this one; none if there is none.
fn behind(prefix: &[u8]) -> Option<Vec<u8>> {
    let mut text = prefix.to_vec();
    while let Some(last) = text.pop() {
        if last < u8::MAX {
            text.push(last + 1);
            return Some(text);
        }
    }
    None
}

impl Space {
    /// `classes`: all that the platform has, if it is known.
    pub fn new(sides: &[Side<'_>], classes: Option<&[String]>) -> Space {
        let mut names = NameTable {
            classes: classes.unwrap_or_default().to_vec(),
            tenants: Vec::new(),
        };
        for side in sides {
            names = names.with_routes(side.routes);
        }
        let closed = classes.is_some_and(|known| known.len() == names.classes.len());
        let numbers = |names: &[String]| names.iter().cloned().zip(0..).collect();
        let conditions = || sides.iter().flat_map(|s| s.routes).map(|r| &r.conditions);
        let mut prefixes: Vec<String> = conditions().flat_map(|c| c.statements.clone()).collect();
        prefixes.sort();
        prefixes.dedup();
        let mut bounds: Vec<Vec<u8>> = prefixes.iter().map(|p| p.clone().into_bytes()).collect();
        bounds.extend(prefixes.iter().filter_map(|p| behind(p.as_bytes())));
        bounds.push(Vec::new());
        bounds.sort();
        bounds.dedup();
        let pieces = TimePieces::of(sides.iter().flat_map(|s| s.windows));
        let windows: Vec<Vec<Ranges>> = sides
            .iter()
            .map(|s| s.windows.iter().map(|w| pieces.of_window(w)).collect())
            .collect();
        let mut named_windows: Vec<(String, Ranges)> = Vec::new();
        for (side, sets) in sides.iter().zip(&windows) {
            for (name, set) in side.window_names.iter().zip(sets) {
                match named_windows.iter().find(|(known, _)| known == name) {
                    Some((_, known)) if known == set => {}
                    Some(_) => named_windows.push((format!("{name} as it is new"), set.clone())),
                    None => named_windows.push((name.clone(), set.clone())),
                }
            }
        }
        Space {
            class_number: numbers(&names.classes),
            tenant_number: numbers(&names.tenants),
            names,
            closed,
            bounds,
            prefixes,
            pieces,
            windows,
            named_windows,
            offset: sides.last().map_or(0, |s| s.offset),
        }
    }

    fn all_classes(&self) -> Ranges {
        let number = self.names.classes.len() as u128;
        match self.closed && number > 0 {
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
        let end = behind(text.as_bytes()).map_or(self.bounds.len() as u128, |end| at(&end));
        (at(text.as_bytes()), end - 1)
    }

    /// The requests for which the conditions hold, of a route of that side.
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

    /// Some request of a region.
    pub fn example(&self, region: &Region) -> Option<Example> {
        let point = region.example()?;
        let named =
            |names: &[String], at: u128| names.get(at as usize).cloned().unwrap_or_default();
        // An everyday address where the region has one.
        let network = region.dimension(Dimension::Network);
        let v4 = network.and(&Ranges::one(V4.0, V4.1));
        let local = route::address_number(IpAddr::V4(Ipv4Addr::LOCALHOST));
        let client = match (network.contains(local), v4.first()) {
            (true, _) => local,
            (false, Some(first)) => first,
            (false, None) => point[Dimension::Network as usize],
        };
        let client = match Ipv6Addr::from(client).to_ipv4_mapped() {
            Some(v4) => IpAddr::V4(v4),
            None => IpAddr::V6(client.into()),
        };
        let class = match self.names.classes.get(point[0] as usize) {
            Some(name) => name.clone(),
            None => self.unused("another"),
        };
        Some(Example {
            class,
            tenant: named(&self.names.tenants, point[1]),
            group: u32::try_from(point[2]).unwrap_or_default(),
            statement: self
                .bounds
                .get(point[3] as usize)
                .cloned()
                .unwrap_or_default(),
            client,
            at: self.pieces.example(region.dimension(Dimension::Time))?,
            offset: self.offset,
        })
    }

    /// A name that no class bears.
    fn unused(&self, name: &str) -> String {
        let mut name = name.to_owned();
        while self.class_number.contains_key(&name) {
            name.push('-');
        }
        name
    }

    /// A region in the words of the language; what it does not bound is left out.
    pub fn describe(&self, region: &Region) -> String {
        let whole = self.whole();
        let mut words = Vec::new();
        for (dimension, what, names) in [
            (Dimension::Class, "class", &self.names.classes),
            (Dimension::Tenant, "tenant", &self.names.tenants),
        ] {
            let set = region.dimension(dimension);
            if set != whole.dimension(dimension) {
                words.push(name_list(what, set, whole.dimension(dimension), names));
            }
        }
        let group = region.dimension(Dimension::Group);
        if group != whole.dimension(Dimension::Group) {
            words.push(format!(
                "group {}",
                shortened(group.list().iter().map(|(a, b)| span(*a, *b)))
            ));
        }
        let statement = region.dimension(Dimension::Statement);
        if statement != whole.dimension(Dimension::Statement) {
            let sets = self.prefixes.iter().map(|p| {
                let (from, to) = self.prefix(p);
                (format!("{p:?}"), Ranges::one(from, to))
            });
            words.push(self.terms(statement, sets, "statement", "no statement"));
        }
        let network = region.dimension(Dimension::Network);
        if network != whole.dimension(Dimension::Network) {
            words.push(networks(network));
        }
        let time = region.dimension(Dimension::Time);
        if time != whole.dimension(Dimension::Time) {
            let sets = self.named_windows.iter().cloned();
            words.push(self.terms(time, sets, "during", "outside of"));
        }
        if words.is_empty() {
            "all requests".to_owned()
        } else {
            words.join(", ")
        }
    }

    /// A set by the named sets that it lies in and those that it has nothing of.
    fn terms(
        &self,
        set: &Ranges,
        named: impl Iterator<Item = (String, Ranges)>,
        inside: &str,
        outside: &str,
    ) -> String {
        let (mut held, mut barred) = (Vec::new(), Vec::new());
        let mut rest: Option<Ranges> = None;
        for (name, known) in named {
            let narrowed = match &rest {
                Some(rest) => rest.and(&known),
                None => known.clone(),
            };
            if set.minus(&known).is_empty() && rest.as_ref() != Some(&narrowed) {
                // A name that says more makes those before it needless only if it lies in them; keep it simple.
                held.retain(|(_, other): &(String, Ranges)| !known.minus(other).is_empty());
                held.push((name, known));
                rest = Some(narrowed);
            } else if !set.meets(&known) {
                barred.push((name, known));
            }
        }
        // What is barred counts only where it cuts something off.
        let mut left = rest;
        barred.retain(|(_, known)| match &mut left {
            Some(left) if left.meets(known) => {
                *left = left.minus(known);
                true
            }
            Some(_) => false,
            None => true,
        });
        let exact = match &left {
            Some(left) => left == set,
            None => true,
        };
        let mut words: Vec<String> = held
            .iter()
            .map(|(name, _)| format!("{inside} {name}"))
            .collect();
        words.extend(barred.iter().map(|(name, _)| format!("{outside} {name}")));
        if !exact || words.is_empty() {
            words.push("in part".to_owned());
        }
        words.join(", ")
    }
}

fn span(from: u128, to: u128) -> String {
    if from == to {
        from.to_string()
    } else {
        format!("{from}-{to}")
    }
}

const SHOWN: usize = 6;

fn shortened(words: impl Iterator<Item = String>) -> String {
    let words: Vec<String> = words.collect();
    match words.len() {
        0..=SHOWN => words.join(" "),
        n => format!("{} and {} more", words[..SHOWN].join(" "), n - SHOWN),
    }
}

fn name_list(what: &str, set: &Ranges, whole: &Ranges, names: &[String]) -> String {
    let named = |set: &Ranges| -> Vec<String> {
        let numbers = set.list().iter().flat_map(|(a, b)| *a..=*b);
        numbers
            .filter_map(|n| names.get(n as usize).cloned())
            .collect()
    };
    let rest = whole.minus(set);
    // A set that holds the unnamed rest can only be told by what is not in it.
    if set.contains(names.len() as u128) {
        format!("{what} other than {}", shortened(named(&rest).into_iter()))
    } else {
        format!("{what} {}", shortened(named(set).into_iter()))
    }
}

/// Ranges of addresses as networks, or as all but those that are left out where these are fewer.
fn networks(set: &Ranges) -> String {
    let all = Ranges::one(ALL_ADDRESSES.0, ALL_ADDRESSES.1);
    let (inside, outside) = (cidrs(set), cidrs(&all.minus(set)));
    if inside.len() <= outside.len() {
        format!("network {}", shortened(inside.into_iter()))
    } else {
        format!("network other than {}", shortened(outside.into_iter()))
    }
}

fn cidrs(set: &Ranges) -> Vec<String> {
    let mut out = Vec::new();
    for &(from, to) in set.list() {
        let mut at = from;
        loop {
            // The largest block that begins here and ends in the range.
            let mut bits = at.trailing_zeros();
            let last = |bits: u32| at | 1_u128.checked_shl(bits).map_or(u128::MAX, |size| size - 1);
            while last(bits) > to {
                bits -= 1;
            }
            out.push(cidr(at, 128 - bits as u8));
            if out.len() > 4_096 || last(bits) >= to {
                break;
            }
            at = last(bits) + 1;
        }
    }
    out
}

fn cidr(first: u128, length: u8) -> String {
    match Ipv6Addr::from(first).to_ipv4_mapped() {
        Some(v4) if length >= 96 => match length - 96 {
            32 => v4.to_string(),
            bits => format!("{v4}/{bits}"),
        },
        _ => format!("{}/{length}", Ipv6Addr::from(first)),
    }
}

/// A request in full, as `explain` takes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Example {
    /// The class's name.
    pub class: String,
    /// The tenant's name.
    pub tenant: String,
    /// The group.
    pub group: u32,
    /// The statement.
    pub statement: Vec<u8>,
    /// The client's address.
    pub client: IpAddr,
    /// When it comes.
    pub at: Moment,
    /// Seconds east of UTC in which the time is shown.
    pub offset: i32,
}

impl Example {
    /// The request as routes see it.
    pub fn request(&self) -> Request<'_> {
        Request {
            class: &self.class,
            tenant: &self.tenant,
            group: self.group,
            statement: &self.statement,
            client: self.client,
            at: self.at,
        }
    }
}

impl fmt::Display for Example {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "class={}", self.class)?;
        if !self.tenant.is_empty() {
            write!(f, ",tenant={}", self.tenant)?;
        }
        write!(f, ",group={},network={}", self.group, self.client)?;
        write!(f, ",at={}", self.at.local(self.offset))?;
        if !self.statement.is_empty() {
            write!(f, ",statement={}", String::from_utf8_lossy(&self.statement))?;
        }
        Ok(())
    }
}
