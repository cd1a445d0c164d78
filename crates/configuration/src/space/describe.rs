//! Describes regions with the directives of routes.

use super::{Space, ALL_ADDRESSES};
use crate::ranges::{Dimension, Ranges, Region};
use std::net::Ipv6Addr;

impl Space {
    /// Describes a region with the directives of routes; dimensions that it does not restrict are left out.
    pub fn describe(&self, region: &Region) -> String {
        let whole = self.whole();
        let mut words = Vec::new();
        for (dimension, keyword, names) in [
            (Dimension::Class, "class", &self.names.classes),
            (Dimension::Tenant, "tenant", &self.names.tenants),
        ] {
            let set = region.dimension(dimension);
            if set != whole.dimension(dimension) {
                words.push(name_list(keyword, set, whole.dimension(dimension), names));
            }
        }
        let group = region.dimension(Dimension::Group);
        if group != whole.dimension(Dimension::Group) {
            words.push(format!(
                "group {}",
                shortened(group.list().iter().map(|(a, b)| format_range(*a, *b)))
            ));
        }
        let statement = region.dimension(Dimension::Statement);
        if statement != whole.dimension(Dimension::Statement) {
            let sets = self.prefixes.iter().map(|p| {
                let (from, to) = self.prefix(p);
                (format!("{p:?}"), Ranges::one(from, to))
            });
            words.push(self.describe_set(statement, sets, "statement", "no statement"));
        }
        let network = region.dimension(Dimension::Network);
        if network != whole.dimension(Dimension::Network) {
            words.push(networks(network));
        }
        let time = region.dimension(Dimension::Time);
        if time != whole.dimension(Dimension::Time) {
            let sets = self.named_windows.iter().cloned();
            words.push(self.describe_set(time, sets, "during", "outside of"));
        }
        if words.is_empty() {
            "all requests".to_owned()
        } else {
            words.join(", ")
        }
    }

    /// Describes a set by the named sets that contain it and those that are disjoint from it.
    fn describe_set(
        &self,
        set: &Ranges,
        named: impl Iterator<Item = (String, Ranges)>,
        inside: &str,
        outside: &str,
    ) -> String {
        let (mut containing, mut disjoint) = (Vec::new(), Vec::new());
        let mut rest: Option<Ranges> = None;
        for (name, known) in named {
            let narrowed = match &rest {
                Some(rest) => rest.and(&known),
                None => known.clone(),
            };
            if set.minus(&known).is_empty() && rest.as_ref() != Some(&narrowed) {
                // Sets that contain this one are redundant.
                containing.retain(|(_, other): &(String, Ranges)| !known.minus(other).is_empty());
                containing.push((name, known));
                rest = Some(narrowed);
            } else if !set.intersects(&known) {
                disjoint.push((name, known));
            }
        }
        // A disjoint set is mentioned only if it removes something that is left.
        let mut left = rest;
        disjoint.retain(|(_, known)| match &mut left {
            Some(left) if left.intersects(known) => {
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
        let mut words: Vec<String> = containing
            .iter()
            .map(|(name, _)| format!("{inside} {name}"))
            .collect();
        words.extend(disjoint.iter().map(|(name, _)| format!("{outside} {name}")));
        if !exact || words.is_empty() {
            words.push("only partly".to_owned());
        }
        words.join(", ")
    }
}

fn format_range(from: u128, to: u128) -> String {
    if from == to {
        from.to_string()
    } else {
        format!("{from}-{to}")
    }
}

/// Maximum number of items of a list that are shown.
const MAX_SHOWN: usize = 6;

fn shortened(words: impl Iterator<Item = String>) -> String {
    let words: Vec<String> = words.collect();
    match words.len() {
        0..=MAX_SHOWN => words.join(" "),
        n => format!(
            "{} and {} more",
            words[..MAX_SHOWN].join(" "),
            n - MAX_SHOWN
        ),
    }
}

fn name_list(keyword: &str, set: &Ranges, whole: &Ranges, names: &[String]) -> String {
    let named = |set: &Ranges| -> Vec<String> {
        let numbers = set.list().iter().flat_map(|(a, b)| *a..=*b);
        numbers
            .filter_map(|n| names.get(n as usize).cloned())
            .collect()
    };
    let rest = whole.minus(set);
    // A set that contains the names that no route has can be described only by the names that it does not contain.
    if set.contains(names.len() as u128) {
        format!(
            "{keyword} other than {}",
            shortened(named(&rest).into_iter())
        )
    } else {
        format!("{keyword} {}", shortened(named(set).into_iter()))
    }
}

/// Ranges of addresses as networks, or as all except some networks if these are fewer.
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
            // The largest block that begins at `at` and does not exceed the range.
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
