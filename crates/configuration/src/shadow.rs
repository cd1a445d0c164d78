//! Finds routes that no request reaches because earlier routes match all of their requests. The result is exact: the
//! regions of earlier routes are subtracted from the region of each route.

use crate::diagnostic::Diagnostic;
use crate::model::Model;
use crate::ranges::{minus_all, Region, DIMENSIONS};
use crate::space::{Side, Space};

/// Maximum number of pairs of routes that are compared; further routes are reported as not examined.
const PAIRS_LIMIT: usize = 30_000_000;
/// Maximum number of parts of a route's region while earlier ones are subtracted from it.
const PARTS_LIMIT: usize = 4_096;
/// Maximum number of covering routes that a warning names.
const COVERS_SHOWN: usize = 3;

/// Result of the search.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Unreached {
    /// Positions of the routes that no request reaches, each with those of the earlier routes that cover it.
    pub routes: Vec<(usize, Vec<usize>)>,
    /// Number of routes for which the search would take too long.
    pub unexamined: usize,
}

/// Interval tree of the routes' hulls in one dimension: finds the routes that may intersect a given one without checking
/// all of them.
struct HullTree {
    dimension: usize,
    /// Start and end of each hull and the position of its route, sorted by start.
    hulls: Vec<(u128, u128, usize)>,
    /// Largest end in each subtree of the implicit balanced tree over `hulls`.
    largest: Vec<u128>,
}

impl HullTree {
    fn new(regions: &[Region]) -> HullTree {
        // The dimension with the most distinct hulls separates most routes.
        let distinct = |d: usize| {
            let mut hulls: Vec<_> = regions.iter().filter_map(|r| r.0[d].hull()).collect();
            hulls.sort_unstable();
            hulls.dedup();
            hulls.len()
        };
        let dimension = (0..DIMENSIONS).max_by_key(|d| distinct(*d)).unwrap_or(0);
        let hulls = regions.iter().enumerate();
        let mut hulls: Vec<_> = hulls
            .filter_map(|(at, r)| r.0[dimension].hull().map(|(a, b)| (a, b, at)))
            .collect();
        hulls.sort_unstable();
        let mut largest = vec![0; hulls.len()];
        fill_largest_ends(&hulls, &mut largest, 0, hulls.len());
        HullTree {
            dimension,
            hulls,
            largest,
        }
    }

    /// Replaces `out` by the positions of the routes whose hulls intersect that of `region`, in any order.
    fn find_intersecting(&self, region: &Region, out: &mut Vec<usize>) {
        out.clear();
        if let Some((from, to)) = region.0[self.dimension].hull() {
            self.collect(0, self.hulls.len(), from, to, out);
        }
    }

    fn collect(&self, low: usize, high: usize, from: u128, to: u128, out: &mut Vec<usize>) {
        if low >= high {
            return;
        }
        let middle = (low + high) / 2;
        if self.largest[middle] < from {
            return;
        }
        self.collect(low, middle, from, to, out);
        let (start, end, at) = self.hulls[middle];
        if start <= to {
            if end >= from {
                out.push(at);
            }
            self.collect(middle + 1, high, from, to, out);
        }
    }
}

fn fill_largest_ends(
    hulls: &[(u128, u128, usize)],
    largest: &mut [u128],
    low: usize,
    high: usize,
) -> u128 {
    if low >= high {
        return 0;
    }
    let middle = (low + high) / 2;
    let below = fill_largest_ends(hulls, largest, low, middle).max(fill_largest_ends(
        hulls,
        largest,
        middle + 1,
        high,
    ));
    largest[middle] = below.max(hulls[middle].1);
    largest[middle]
}

/// Whether one region is a subset of another.
fn is_subset(inner: &Region, outer: &Region) -> bool {
    inner
        .0
        .iter()
        .zip(&outer.0)
        .all(|(a, b)| a == b || a.minus(b).is_empty())
}

/// Finds the regions that are covered by earlier ones.
pub fn unreached(regions: &[Region]) -> Unreached {
    let hull_tree = HullTree::new(regions);
    let mut found = Unreached::default();
    let mut hidden = vec![false; regions.len()];
    let mut candidates = Vec::new();
    let mut pairs = 0;
    for (at, region) in regions.iter().enumerate() {
        // A region without requests has a diagnostic of its own.
        if region.is_empty() {
            continue;
        }
        if pairs > PAIRS_LIMIT {
            found.unexamined += 1;
            continue;
        }
        hull_tree.find_intersecting(region, &mut candidates);
        pairs += candidates.len();
        // Earlier routes that are covered can be left out: the routes that cover them match the same requests.
        candidates
            .retain(|&other| other < at && !hidden[other] && regions[other].intersects(region));
        candidates.sort_unstable();
        if let Some(&cover) = candidates
            .iter()
            .find(|&&other| is_subset(region, &regions[other]))
        {
            hidden[at] = true;
            found.routes.push((at, vec![cover]));
            continue;
        }
        let mut left = vec![region.clone()];
        let mut covers = Vec::new();
        for &other in &candidates {
            let before = left.len();
            let met = left.iter().any(|part| part.intersects(&regions[other]));
            if met {
                covers.push(other);
                left = minus_all(left, &regions[other]);
            }
            pairs += before;
            if left.is_empty() || left.len() > PARTS_LIMIT {
                break;
            }
        }
        if left.is_empty() {
            hidden[at] = true;
            found.routes.push((at, covers));
        } else if left.len() > PARTS_LIMIT {
            found.unexamined += 1;
        }
    }
    found
}

/// Warnings about routes that no request reaches. `classes`: all classes of the platform, if they are known.
pub fn check(model: &Model, classes: Option<&[String]>) -> Vec<Diagnostic> {
    let window_names: Vec<String> = model.named_windows.iter().map(|w| w.name.clone()).collect();
    let side = Side {
        routes: &model.routes,
        windows: &model.windows,
        window_names: &window_names,
        offset: model.offset,
    };
    let space = Space::new(&[side], classes);
    let regions: Vec<Region> = model
        .routes
        .iter()
        .map(|r| space.region(0, &r.conditions))
        .collect();
    let found = unreached(&regions);
    let mut warnings: Vec<Diagnostic> = found
        .routes
        .iter()
        .map(|(at, covers)| {
            let route = &model.routes[*at];
            let message = format!("no request reaches the route {}", route.name);
            let mut warning = Diagnostic::warning("unreachable-route", route.span, message);
            warning = warning.label(match covers.len() {
                1 => "an earlier route matches all of its requests".to_owned(),
                n => format!("{n} earlier routes together match all of its requests"),
            });
            for cover in covers.iter().take(COVERS_SHOWN) {
                let cover = &model.routes[*cover];
                warning =
                    warning.related(cover.span, format!("the route {} comes first", cover.name));
            }
            warning
        })
        .collect();
    if let (1.., Some(last)) = (found.unexamined, model.routes.last()) {
        let message = format!(
            "{} routes were not checked for reachability: the routes overlap too much",
            found.unexamined
        );
        warnings.push(Diagnostic::warning("unexamined-routes", last.span, message));
    }
    warnings
}
