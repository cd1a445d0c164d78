//! Finds the requests that the new routes handle differently.

use super::RouteChange;
use crate::ranges::{merge, minus_all, Region};
use crate::route::{Outcome, Route};
use crate::space::Space;
use std::collections::{HashMap, HashSet};

/// The region and the outcome of each route.
type Routed<'a> = Vec<(Region, &'a Outcome)>;

/// Maximum number of parts of regions that are compared; beyond it the difference is incomplete.
const MAX_PARTS: usize = 100_000;

/// The changes, and whether there are more than were compared.
pub(super) fn changes(old: &[Route], new: &[Route], space: &Space) -> (Vec<RouteChange>, bool) {
    let (old, new) = (routed(old, 0, space), routed(new, 1, space));
    let unrouted = Outcome::default();
    let mut changes = Changes::default();
    let suspects = suspects(&old, &new);
    let (mut incomplete, mut parts) = (false, 0);
    for (at, suspect) in suspects.iter().enumerate() {
        let uncompared = without_earlier(suspect, &suspects[..at]);
        parts += uncompared.len();
        if parts > MAX_PARTS {
            incomplete = true;
            break;
        }
        for (part, was) in split_by_route(uncompared, &old, &unrouted) {
            for (part, is) in split_by_route(vec![part], &new, &unrouted) {
                parts += 1;
                if was != is {
                    changes.add(was, is, part);
                }
            }
        }
    }
    let described = changes.list.into_iter();
    let described = described.map(|((was, is), regions)| describe(was, is, regions, space));
    (described.collect(), incomplete)
}

fn routed<'a>(routes: &'a [Route], side: usize, space: &Space) -> Routed<'a> {
    let regions = routes.iter().map(|r| space.region(side, &r.conditions));
    regions.zip(routes.iter().map(|r| &r.outcome)).collect()
}

/// Changes by old and new outcome, in the order in which they are found.
#[derive(Default)]
struct Changes<'a> {
    list: Vec<((&'a Outcome, &'a Outcome), Vec<Region>)>,
    positions: HashMap<(&'a Outcome, &'a Outcome), usize>,
}

impl<'a> Changes<'a> {
    fn add(&mut self, was: &'a Outcome, is: &'a Outcome, part: Region) {
        let at = *self.positions.entry((was, is)).or_insert_with(|| {
            self.list.push(((was, is), Vec::new()));
            self.list.len() - 1
        });
        self.list[at].1.push(part);
    }
}

fn describe(was: &Outcome, is: &Outcome, regions: Vec<Region>, space: &Space) -> RouteChange {
    let regions = merge(regions);
    RouteChange {
        old: was.clone(),
        new: is.clone(),
        described: regions.iter().map(|r| space.describe(r)).collect(),
        example: regions.first().and_then(|r| space.example(r)),
        regions,
    }
}

/// The regions of routes that are not common to both lists. All other requests are handled as before.
fn suspects(old: &Routed<'_>, new: &Routed<'_>) -> Vec<Region> {
    let common = common(old, new);
    let common_old: HashSet<usize> = common.iter().map(|(a, _)| *a).collect();
    let common_new: HashSet<usize> = common.iter().map(|(_, b)| *b).collect();
    let others = |list: &Routed<'_>, common: &HashSet<usize>| -> Vec<Region> {
        let others = list
            .iter()
            .enumerate()
            .filter(|(at, _)| !common.contains(at));
        others
            .map(|(_, (region, _))| region.clone())
            .filter(|r| !r.is_empty())
            .collect()
    };
    let mut suspects = others(old, &common_old);
    suspects.extend(others(new, &common_new));
    suspects
}

/// The part of a suspect that no earlier suspect contains, so that each request is compared once.
fn without_earlier(suspect: &Region, earlier: &[Region]) -> Vec<Region> {
    let mut left = vec![suspect.clone()];
    for earlier in earlier {
        if left.iter().any(|part| part.intersects(earlier)) {
            left = minus_all(left, earlier);
        }
    }
    left
}

/// Routes that occur in both lists in the same order, as pairs of positions.
fn common(old: &[(Region, &Outcome)], new: &[(Region, &Outcome)]) -> Vec<(usize, usize)> {
    let mut places: HashMap<&(Region, &Outcome), Vec<usize>> = HashMap::new();
    for (at, key) in new.iter().enumerate().rev() {
        places.entry(key).or_default().push(at);
    }
    let pairs: Vec<(usize, usize)> = old
        .iter()
        .enumerate()
        .filter_map(|(at, key)| Some((at, places.get_mut(key)?.pop()?)))
        .collect();
    // The longest subsequence of pairs with increasing positions in both lists, by patience sorting.
    let mut tails: Vec<usize> = Vec::new();
    let mut before: Vec<Option<usize>> = Vec::with_capacity(pairs.len());
    for (at, (_, place)) in pairs.iter().enumerate() {
        let length = tails.partition_point(|&tail| pairs[tail].1 < *place);
        before.push(length.checked_sub(1).map(|l| tails[l]));
        match tails.get_mut(length) {
            Some(tail) => *tail = at,
            None => tails.push(at),
        }
    }
    let mut run = Vec::with_capacity(tails.len());
    let mut at = tails.last().copied();
    while let Some(pair) = at {
        run.push(pairs[pair]);
        at = before[pair];
    }
    run.reverse();
    run
}

/// Splits regions by the first route that matches each part, and gives the outcome of each part.
fn split_by_route<'a>(
    mut left: Vec<Region>,
    routes: &[(Region, &'a Outcome)],
    unrouted: &'a Outcome,
) -> Vec<(Region, &'a Outcome)> {
    let mut out = Vec::new();
    for (region, outcome) in routes {
        if left.is_empty() {
            break;
        }
        if !left.iter().any(|part| part.intersects(region)) {
            continue;
        }
        out.extend(
            left.iter()
                .map(|part| part.and(region))
                .filter(|p| !p.is_empty())
                .map(|p| (p, *outcome)),
        );
        left = minus_all(left, region);
    }
    out.extend(left.into_iter().map(|part| (part, unrouted)));
    out
}
