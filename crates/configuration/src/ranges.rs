//! Sets of numbers as ranges, and regions, which are products of such sets: the requests that a route's conditions match.

#[cfg(test)]
mod tests;

/// A set of numbers: ranges with both ends included, in order, neither overlapping nor adjacent.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ranges(Vec<(u128, u128)>);

impl Ranges {
    /// The empty set.
    pub fn none() -> Ranges {
        Ranges(Vec::new())
    }

    /// The numbers in one range, both ends included.
    pub fn one(from: u128, to: u128) -> Ranges {
        Ranges(vec![(from, to)])
    }

    /// Builds a set of ranges in any order, which may overlap.
    pub fn from_list(list: impl IntoIterator<Item = (u128, u128)>) -> Ranges {
        let mut list: Vec<_> = list.into_iter().filter(|(from, to)| from <= to).collect();
        list.sort_unstable();
        let mut out: Vec<(u128, u128)> = Vec::with_capacity(list.len());
        for (from, to) in list {
            match out.last_mut() {
                // Adjacent ranges are joined.
                Some((_, end)) if *end == u128::MAX || from <= *end + 1 => *end = to.max(*end),
                _ => out.push((from, to)),
            }
        }
        Ranges(out)
    }

    /// The ranges.
    pub fn list(&self) -> &[(u128, u128)] {
        &self.0
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The smallest number.
    pub fn first(&self) -> Option<u128> {
        self.0.first().map(|(from, _)| *from)
    }

    /// The smallest and the largest number.
    pub fn hull(&self) -> Option<(u128, u128)> {
        Some((self.0.first()?.0, self.0.last()?.1))
    }

    /// Whether a number is in the set.
    pub fn contains(&self, number: u128) -> bool {
        let at = self.0.partition_point(|(_, to)| *to < number);
        self.0.get(at).is_some_and(|(from, _)| *from <= number)
    }

    /// Whether the sets have a number in common.
    pub fn intersects(&self, other: &Ranges) -> bool {
        let (mut a, mut b) = (0, 0);
        while let (Some(x), Some(y)) = (self.0.get(a), other.0.get(b)) {
            if x.0.max(y.0) <= x.1.min(y.1) {
                return true;
            }
            if x.1 < y.1 {
                a += 1;
            } else {
                b += 1;
            }
        }
        false
    }

    /// The intersection.
    pub fn and(&self, other: &Ranges) -> Ranges {
        let mut out = Vec::new();
        let (mut a, mut b) = (0, 0);
        while let (Some(x), Some(y)) = (self.0.get(a), other.0.get(b)) {
            let (from, to) = (x.0.max(y.0), x.1.min(y.1));
            if from <= to {
                out.push((from, to));
            }
            if x.1 < y.1 {
                a += 1;
            } else {
                b += 1;
            }
        }
        Ranges(out)
    }

    /// The union.
    pub fn or(&self, other: &Ranges) -> Ranges {
        Ranges::from_list(self.0.iter().chain(&other.0).copied())
    }

    /// The difference.
    pub fn minus(&self, other: &Ranges) -> Ranges {
        let mut out = Vec::new();
        let mut cuts = other.0.iter().peekable();
        for &(mut from, to) in &self.0 {
            let mut whole = true;
            while let Some(&&(cut_from, cut_to)) = cuts.peek() {
                if cut_to < from {
                    cuts.next();
                    continue;
                }
                if cut_from > to {
                    break;
                }
                if cut_from > from {
                    out.push((from, cut_from - 1));
                }
                if cut_to >= to {
                    // The cut may extend into the next range, so it is not consumed.
                    whole = false;
                    break;
                }
                from = cut_to + 1;
                cuts.next();
            }
            if whole {
                out.push((from, to));
            }
        }
        Ranges(out)
    }
}

/// Number of dimensions in which requests differ.
pub const DIMENSIONS: usize = 6;

/// A dimension in which requests differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Dimension {
    /// The class.
    Class,
    /// The tenant.
    Tenant,
    /// The group.
    Group,
    /// The statement.
    Statement,
    /// The client's network.
    Network,
    /// The time.
    Time,
}

/// A set of requests: the product of one set per dimension.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Region(pub [Ranges; DIMENSIONS]);

/// A request as a point: its number in each dimension.
pub type Point = [u128; DIMENSIONS];

impl Region {
    /// The set in one dimension.
    pub fn dimension(&self, which: Dimension) -> &Ranges {
        &self.0[which as usize]
    }

    /// Whether no request is in the region.
    pub fn is_empty(&self) -> bool {
        self.0.iter().any(Ranges::is_empty)
    }

    /// Whether a request is in the region.
    pub fn contains(&self, point: &Point) -> bool {
        self.0.iter().zip(point).all(|(set, at)| set.contains(*at))
    }

    /// Whether the regions have a request in common.
    pub fn intersects(&self, other: &Region) -> bool {
        self.0.iter().zip(&other.0).all(|(a, b)| a.intersects(b))
    }

    /// The intersection.
    pub fn and(&self, other: &Region) -> Region {
        Region(std::array::from_fn(|d| self.0[d].and(&other.0[d])))
    }

    /// Adds the difference to `out`, in disjoint parts: for each dimension, the part that lies outside of `other`.
    pub fn minus(&self, other: &Region, out: &mut Vec<Region>) {
        if !self.intersects(other) {
            out.push(self.clone());
            return;
        }
        let mut core = self.clone();
        for d in 0..DIMENSIONS {
            let outside = core.0[d].minus(&other.0[d]);
            if !outside.is_empty() {
                let mut part = core.clone();
                part.0[d] = outside;
                out.push(part);
            }
            core.0[d] = core.0[d].and(&other.0[d]);
        }
    }

    /// A request in the region; `None` if it is empty.
    pub fn example(&self) -> Option<Point> {
        let mut point = [0; DIMENSIONS];
        for (at, set) in point.iter_mut().zip(&self.0) {
            *at = set.first()?;
        }
        Some(point)
    }
}

/// The difference of all parts and `cut`, in disjoint parts if the parts are disjoint.
pub fn minus_all(parts: Vec<Region>, cut: &Region) -> Vec<Region> {
    let mut left = Vec::with_capacity(parts.len());
    for part in parts {
        part.minus(cut, &mut left);
    }
    left
}

/// Merges regions that differ in only one dimension, which gives fewer regions with the same requests.
pub fn merge(mut parts: Vec<Region>) -> Vec<Region> {
    parts.sort();
    parts.dedup();
    let mut again = true;
    while again && parts.len() <= MERGE_LIMIT {
        again = false;
        'search: for a in 0..parts.len() {
            for b in a + 1..parts.len() {
                let mut differing = (0..DIMENSIONS).filter(|&d| parts[a].0[d] != parts[b].0[d]);
                if let (Some(d), None) = (differing.next(), differing.next()) {
                    parts[a].0[d] = parts[a].0[d].or(&parts[b].0[d]);
                    parts.swap_remove(b);
                    again = true;
                    break 'search;
                }
            }
        }
    }
    parts
}

/// Maximum number of regions that are merged; merging more takes too long.
const MERGE_LIMIT: usize = 512;
