//! Divides a route's conditions into those that become keys of the index and residual ones, which are checked for each
//! request.

use super::names::NameTable;
use super::IndexedRequest;
use crate::calendar::Window;
use crate::route::{self, Conditions};
use std::collections::HashMap;
use std::ops::RangeInclusive;

/// Maximum number of keys of one route; beyond it, lists are checked for each request instead.
const MAX_KEYS: usize = 16_384;
/// Maximum number of groups of a route that become keys; more groups are checked for each request.
const MAX_KEYED_GROUPS: u64 = 64;

/// Conditions that are checked for each request that matches a key of the route.
#[derive(Debug, Default)]
pub(super) struct ResidualConditions {
    classes: Vec<u32>,
    tenants: Vec<u32>,
    groups: Vec<RangeInclusive<u32>>,
    statements: Vec<Box<str>>,
    during: Vec<u32>,
}

impl ResidualConditions {
    pub fn is_empty(&self) -> bool {
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

    pub fn hold(&self, request: &IndexedRequest<'_>, windows: &[Window]) -> bool {
        let ResidualConditions {
            classes,
            tenants,
            groups,
            statements,
            during,
        } = self;
        let among =
            |list: &[u32], number: u32| list.is_empty() || list.binary_search(&number).is_ok();
        let in_window = |window: &u32| {
            windows
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
            && (during.is_empty() || during.iter().any(in_window))
    }
}

/// Numbers of classes and tenants by name.
pub(super) struct NameNumbers {
    classes: HashMap<String, u32>,
    tenants: HashMap<String, u32>,
}

impl NameNumbers {
    pub fn new(names: &NameTable) -> NameNumbers {
        let number = |names: &[String]| names.iter().cloned().zip(0..).collect();
        NameNumbers {
            classes: number(&names.classes),
            tenants: number(&names.tenants),
        }
    }
}

/// The lists of a route that become keys; an empty list matches any value.
pub(super) struct KeyedLists<'r> {
    pub classes: Vec<u32>,
    pub tenants: Vec<u32>,
    pub groups: Vec<u32>,
    pub statements: Vec<&'r str>,
}

/// Divides a route's conditions into keys and residual conditions. If there are too many keys, lists become residual in the
/// order of the number of keys that they usually give: groups, then statements, tenants and classes.
pub(super) fn divide<'r>(
    conditions: &'r Conditions,
    numbers: &NameNumbers,
) -> (KeyedLists<'r>, ResidualConditions) {
    let mut keyed = KeyedLists {
        classes: number_all(&numbers.classes, &conditions.classes),
        tenants: number_all(&numbers.tenants, &conditions.tenants),
        groups: Vec::new(),
        statements: conditions.statements.iter().map(String::as_str).collect(),
    };
    let mut residual = ResidualConditions {
        during: conditions
            .during
            .iter()
            .filter_map(|w| u32::try_from(*w).ok())
            .collect(),
        ..ResidualConditions::default()
    };
    match single_groups(&conditions.groups) {
        Some(groups) => keyed.groups = groups,
        None => residual.groups.clone_from(&conditions.groups),
    }
    let networks = conditions.networks.len();
    let keys = |lists: &[usize]| {
        lists
            .iter()
            .map(|length| (*length).max(1))
            .fold(networks.max(1), usize::saturating_mul)
    };
    let (classes, tenants) = (keyed.classes.len(), keyed.tenants.len());
    let (groups, statements) = (keyed.groups.len(), keyed.statements.len());
    if keys(&[classes, tenants, groups, statements]) > MAX_KEYS {
        // The groups are residual already if they are too many for keys.
        residual
            .groups
            .extend(keyed.groups.drain(..).map(|g| g..=g));
    }
    if keys(&[classes, tenants, statements]) > MAX_KEYS {
        residual.statements = keyed.statements.drain(..).map(Into::into).collect();
    }
    if keys(&[classes, tenants]) > MAX_KEYS {
        residual.tenants = std::mem::take(&mut keyed.tenants);
    }
    if keys(&[classes]) > MAX_KEYS {
        residual.classes = std::mem::take(&mut keyed.classes);
    }
    (keyed, residual)
}

/// The numbers of the names that have one, in increasing order.
fn number_all(numbers: &HashMap<String, u32>, names: &[String]) -> Vec<u32> {
    let found = names.iter().filter_map(|name| numbers.get(name).copied());
    sorted(found.collect())
}

/// The single groups of ranges; `None` if they are too many.
fn single_groups(ranges: &[RangeInclusive<u32>]) -> Option<Vec<u32>> {
    let length: u64 = ranges
        .iter()
        .map(|g| u64::from(g.end() - g.start()) + 1)
        .sum();
    (length <= MAX_KEYED_GROUPS).then(|| sorted(ranges.iter().cloned().flatten().collect()))
}

fn sorted(mut numbers: Vec<u32>) -> Vec<u32> {
    numbers.sort_unstable();
    numbers.dedup();
    numbers
}
