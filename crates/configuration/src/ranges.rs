//! Sets of numbers as ranges, and boxes of them: what a route's conditions leave of all requests.

#[cfg(test)]
mod tests;

/// A set of numbers: ranges with both ends included, in order, apart from each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ranges(Vec<(u128, u128)>);

impl Ranges {
    /// The empty set.
    pub fn none() -> Ranges {
        Ranges(Vec::new())
    }

    /// The numbers from one to another, both included.
    pub fn one(from: u128, to: u128) -> Ranges {
        Ranges(vec![(from, to)])
    }

    /// From ranges in any order, which may overlap.
    pub fn from_list(list: impl IntoIterator<Item = (u128, u128)>) -> Ranges {
        let mut list: Vec<_> = list.into_iter().filter(|(from, to)| from <= to).collect();
        list.sort_unstable();
        let mut out: Vec<(u128, u128)> = Vec::with_capacity(list.len());
        for (from, to) in list {
            match out.last_mut() {
                // Ranges that touch are one.
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

    /// The least number.
    pub fn first(&self) -> Option<u128> {
        self.0.first().map(|(from, _)| *from)
    }

    /// The least and the largest of its numbers.
    pub fn hull(&self) -> Option<(u128, u128)> {
        Some((self.0.first()?.0, self.0.last()?.1))
    }

    /// Whether a number is in the set.
    pub fn contains(&self, number: u128) -> bool {
        let at = self.0.partition_point(|(_, to)| *to < number);
        self.0.get(at).is_some_and(|(from, _)| *from <= number)
    }

    /// Whether the sets have a number in common.
    pub fn meets(&self, other: &Ranges) -> bool {
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
                    // The cut may reach into the next range, so it stays.
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

/// The dimensions in which requests differ.
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

/// The requests whose every part lies in one set: a product of sets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Region(pub [Ranges; DIMENSIONS]);

/// A request as a point.
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
    pub fn meets(&self, other: &Region) -> bool {
        self.0.iter().zip(&other.0).all(|(a, b)| a.meets(b))
    }

    /// The intersection.
    pub fn and(&self, other: &Region) -> Region {
        Region(std::array::from_fn(|d| self.0[d].and(&other.0[d])))
    }

    /// What is left of it, in disjoint parts: dimension by dimension, what sticks out is cut off.
    pub fn minus(&self, other: &Region, out: &mut Vec<Region>) {
        if !self.meets(other) {
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

    /// Some request in it.
    pub fn example(&self) -> Option<Point> {
        let mut point = [0; DIMENSIONS];
        for (at, set) in point.iter_mut().zip(&self.0) {
            *at = set.first()?;
        }
        Some(point)
    }
}

/// What is left of all of them.
pub fn minus_all(parts: Vec<Region>, cut: &Region) -> Vec<Region> {
    let mut left = Vec::with_capacity(parts.len());
    for part in parts {
        part.minus(cut, &mut left);
    }
    left
}

/// Fewer regions that hold the same: two that differ in one dimension only become one.
pub fn merge(mut parts: Vec<Region>) -> Vec<Region> {
    parts.sort();
    parts.dedup();
    let mut again = true;
    while again && parts.len() <= MERGED {
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

/// More regions than this are not worth the time that merging takes.
const MERGED: usize = 512;
