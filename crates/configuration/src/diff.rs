//! What behaves otherwise between two configurations, not which lines differ.

use crate::calendar::Window;
use crate::model::{entries, Entry, Model};
use crate::ranges::{merge, minus_all, Ranges, Region};
use crate::reading::Reading;
use crate::route::{Outcome, Route};
use crate::schema;
use crate::space::{Example, Side, Space};
use crate::value::{Type, Value};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// A value that counts otherwise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Section and directive.
    pub what: String,
    /// The former value; none: the default.
    pub old: Option<String>,
    /// The new value; none: the default.
    pub new: Option<String>,
    /// Tighter or looser, where that can be said.
    pub sense: Option<&'static str>,
}

/// Requests that fare otherwise.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteChange {
    /// What became of these requests before.
    pub old: Outcome,
    /// What becomes of them now.
    pub new: Outcome,
    /// Exactly the requests, in parts that do not overlap.
    pub regions: Vec<Region>,
    /// The regions in words.
    pub described: Vec<String>,
    /// One such request.
    pub example: Option<Example>,
}

/// What two configurations do differently.
#[derive(Debug)]
pub struct Difference {
    /// Values that differ.
    pub changes: Vec<Change>,
    /// Requests that are routed differently.
    pub routes: Vec<RouteChange>,
    /// The routes differ in more ways than could be told; those told are right.
    pub incomplete: bool,
    /// The space of requests in which the regions lie.
    pub space: Space,
}

impl std::fmt::Debug for Space {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Space")
    }
}

impl Difference {
    /// Whether the two do the same.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty() && self.routes.is_empty() && !self.incomplete
    }
}

/// Parts of regions that are worked on at most.
const PARTS_LIMIT: usize = 100_000;

/// `classes`: all that the platform has, if it is known.
pub fn diff(old: &Reading, new: &Reading, classes: Option<&[String]>) -> Difference {
    let changes = changes(old, new);
    let (old, new) = (&old.model, &new.model);
    let names = |model: &Model| -> Vec<String> {
        model.named_windows.iter().map(|w| w.name.clone()).collect()
    };
    let (old_names, new_names) = (names(old), names(new));
    let side = |model, window_names| {
        let Model {
            routes,
            windows,
            offset,
            ..
        }: &Model = model;
        Side {
            routes,
            windows,
            window_names,
            offset: *offset,
        }
    };
    let space = Space::new(&[side(old, &old_names), side(new, &new_names)], classes);
    let (routes, incomplete) = routes(&old.routes, &new.routes, &space);
    Difference {
        changes,
        routes,
        incomplete,
        space,
    }
}

/// Routes, and windows as far as routes go by them, show in what becomes of requests; so do pools that no route
/// leads to, which do nothing. `windows`: those that differ and that credits go by.
fn counts(entry: &Entry, pools: &HashSet<&str>, windows: &HashSet<&str>) -> bool {
    let (section, name) = entry
        .section
        .split_once(' ')
        .unwrap_or((&entry.section, ""));
    match section {
        "route" => false,
        "window" => windows.contains(name),
        "calendar" => !windows.is_empty(),
        "pool" => pools.contains(name),
        _ => true,
    }
}

/// The windows that a credit goes by, and in which other times lie now.
fn lent_by<'a>(old: &'a Model, new: &'a Model) -> HashSet<&'a str> {
    let of = |model: &'a Model| -> HashMap<&'a str, &'a Window> {
        let credits = model.quota_lending.iter().flat_map(|l| &l.credits);
        let places = credits.flat_map(|c| c.not_during.iter().copied());
        places
            .map(|at| (model.named_windows[at].name.as_str(), &model.windows[at]))
            .collect()
    };
    let (before, after) = (of(old), of(new));
    let both = before
        .keys()
        .filter(|name| after.get(*name).is_some_and(|w| *w != before[*name]));
    both.copied().collect()
}

/// A list says the same in any order.
fn canonical(entry: &Entry) -> String {
    let spec = schema::section(entry.section.split(' ').next().unwrap_or_default())
        .and_then(|s| s.directive(entry.directive));
    match spec.map(|s| s.args) {
        Some(schema::Args::Many(Type::Groups)) => {
            let ranges = entry
                .value
                .split(' ')
                .filter_map(|word| match Type::Groups.parse(word) {
                    Ok(Value::Groups(range)) => {
                        Some((u128::from(*range.start()), u128::from(*range.end())))
                    }
                    _ => None,
                });
            let words = Ranges::from_list(ranges);
            let words: Vec<String> = words
                .list()
                .iter()
                .map(|(a, b)| {
                    if a == b {
                        a.to_string()
                    } else {
                        format!("{a}-{b}")
                    }
                })
                .collect();
            words.join(" ")
        }
        Some(schema::Args::Many(_)) if entry.section.starts_with("credit ") => entry
            .value
            .split(' ')
            .collect::<BTreeSet<_>>()
            .into_iter()
            .collect::<Vec<_>>()
            .join(" "),
        _ => entry.value.clone(),
    }
}

fn changes(old: &Reading, new: &Reading) -> Vec<Change> {
    let outcomes = old
        .model
        .routes
        .iter()
        .chain(&new.model.routes)
        .map(|r| &r.outcome);
    let pools: HashSet<&str> = outcomes.filter_map(|o| o.pool.as_deref()).collect();
    let windows = lent_by(&old.model, &new.model);
    let table = |reading: &Reading| -> BTreeMap<(String, &'static str), String> {
        let entries = entries(&reading.sections)
            .into_iter()
            .filter(|e| counts(e, &pools, &windows));
        entries
            .map(|e| ((e.section.clone(), e.directive), canonical(&e)))
            .collect()
    };
    let (before, after) = (table(old), table(new));
    let keys: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    keys.into_iter()
        .filter(|key| before.get(key) != after.get(key))
        .map(|key| {
            let (old, new) = (before.get(key).cloned(), after.get(key).cloned());
            let sense = sense(&key.0, key.1, old.as_deref(), new.as_deref());
            Change {
                what: format!("{} {}", key.0, key.1),
                old,
                new,
                sense,
            }
        })
        .collect()
}

/// Of these more leaves less to clients.
const MORE_IS_TIGHTER: [&str; 2] = ["answer-margin", "reserve"];
/// Of these neither more nor less is tighter.
const NEITHER: [&str; 3] = ["address", "level", "form"];
/// Of these sections' values none is tighter or looser for clients' requests.
const OF_OTHERS: [&str; 8] = [
    "members", "member", "rollout", "memory", "lending", "credit", "window", "sites",
];

fn sense(
    section: &str,
    directive: &str,
    old: Option<&str>,
    new: Option<&str>,
) -> Option<&'static str> {
    let keyword = section.split(' ').next()?;
    if NEITHER.contains(&directive) || OF_OTHERS.contains(&keyword) {
        return None;
    }
    let order = match (old, new) {
        // A bound that was not stated was none.
        (None, Some(_)) => Ordering::Greater,
        (Some(_), None) => Ordering::Less,
        (Some(old), Some(new)) => {
            let spec = schema::section(keyword)?.directive(directive)?;
            let (schema::Args::One(kind) | schema::Args::Optional(kind)) = spec.args else {
                return None;
            };
            compare(&kind.parse(old).ok()?, &kind.parse(new).ok()?)?
        }
        (None, None) => return None,
    };
    let tighter = if MORE_IS_TIGHTER.contains(&directive) {
        Ordering::Less
    } else {
        Ordering::Greater
    };
    match order {
        Ordering::Equal => None,
        order if order == tighter => Some("tighter"),
        _ => Some("looser"),
    }
}

fn compare(old: &Value, new: &Value) -> Option<Ordering> {
    Some(match (old, new) {
        (Value::Time(a), Value::Time(b)) => a.cmp(b),
        (Value::Size(a), Value::Size(b)) | (Value::Count(a), Value::Count(b)) => a.cmp(b),
        (Value::Share(a), Value::Share(b)) => a.cmp(b),
        (Value::Rate(a), Value::Rate(b)) => b.interval().cmp(&a.interval()),
        // Once is tighter than any, and no than yes.
        (Value::Choice(a), Value::Choice(b)) => match (*a, *b) {
            ("any", "once") | ("yes", "no") => Ordering::Greater,
            ("once", "any") | ("no", "yes") => Ordering::Less,
            _ => return None,
        },
        _ => return None,
    })
}

/// Routes that stand in both lists in the same order, as pairs of positions. Requests that meet none of the
/// others fare as before.
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
    // The longest run of them that rises in both: patience sorting.
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

fn routes(old: &[Route], new: &[Route], space: &Space) -> (Vec<RouteChange>, bool) {
    let keyed = |side: usize, routes: &'_ [Route]| -> Vec<(Region, Outcome)> {
        routes
            .iter()
            .map(|r| (space.region(side, &r.conditions), r.outcome.clone()))
            .collect()
    };
    let (old, new) = (keyed(0, old), keyed(1, new));
    let old: Vec<(Region, &Outcome)> = old.iter().map(|(r, o)| (r.clone(), o)).collect();
    let new: Vec<(Region, &Outcome)> = new.iter().map(|(r, o)| (r.clone(), o)).collect();
    let kept = common(&old, &new);
    let kept_old: HashSet<usize> = kept.iter().map(|(a, _)| *a).collect();
    let kept_new: HashSet<usize> = kept.iter().map(|(_, b)| *b).collect();
    let moved = |list: &[(Region, &Outcome)], kept: &HashSet<usize>| -> Vec<Region> {
        let others = list.iter().enumerate().filter(|(at, _)| !kept.contains(at));
        others
            .map(|(_, (region, _))| region.clone())
            .filter(|r| !r.is_empty())
            .collect()
    };
    let mut suspects = moved(&old, &kept_old);
    suspects.extend(moved(&new, &kept_new));
    let unrouted = Outcome::default();
    let mut found: Vec<((&Outcome, &Outcome), Vec<Region>)> = Vec::new();
    let mut place: HashMap<(&Outcome, &Outcome), usize> = HashMap::new();
    let (mut incomplete, mut parts) = (false, 0);
    for (at, suspect) in suspects.iter().enumerate() {
        // Each request is looked at once, with the first suspect that holds it.
        let mut fresh = vec![suspect.clone()];
        for earlier in &suspects[..at] {
            if fresh.iter().any(|part| part.meets(earlier)) {
                fresh = minus_all(fresh, earlier);
            }
        }
        parts += fresh.len();
        if parts > PARTS_LIMIT {
            incomplete = true;
            break;
        }
        for (part, was) in firsts(fresh, &old, &unrouted) {
            for (part, is) in firsts(vec![part], &new, &unrouted) {
                parts += 1;
                if was != is {
                    let at = *place.entry((was, is)).or_insert_with(|| {
                        found.push(((was, is), Vec::new()));
                        found.len() - 1
                    });
                    found[at].1.push(part);
                }
            }
        }
    }
    let changes = found.into_iter().map(|((was, is), regions)| {
        let regions = merge(regions);
        let described = regions.iter().map(|r| space.describe(r)).collect();
        let example = regions.first().and_then(|r| space.example(r));
        RouteChange {
            old: was.clone(),
            new: is.clone(),
            regions,
            described,
            example,
        }
    });
    (changes.collect(), incomplete)
}

/// Regions cut up by the first route that takes each part.
fn firsts<'a>(
    mut left: Vec<Region>,
    routes: &[(Region, &'a Outcome)],
    unrouted: &'a Outcome,
) -> Vec<(Region, &'a Outcome)> {
    let mut out = Vec::new();
    for (region, outcome) in routes {
        if left.is_empty() {
            break;
        }
        if !left.iter().any(|part| part.meets(region)) {
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

/// Lines of a change's regions that are printed.
const REGIONS_SHOWN: usize = 12;

impl std::fmt::Display for Difference {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.is_empty() {
            return writeln!(f, "no difference in behaviour");
        }
        for change in &self.changes {
            let word =
                |value: &Option<String>| value.clone().unwrap_or_else(|| "not stated".to_owned());
            write!(
                f,
                "{}: {} -> {}",
                change.what,
                word(&change.old),
                word(&change.new)
            )?;
            match change.sense {
                Some(sense) => writeln!(f, " ({sense})")?,
                None => writeln!(f)?,
            }
        }
        for change in &self.routes {
            writeln!(f, "routes: now {} (were: {})", change.new, change.old)?;
            for text in change.described.iter().take(REGIONS_SHOWN) {
                writeln!(f, "    {text}")?;
            }
            if change.described.len() > REGIONS_SHOWN {
                writeln!(
                    f,
                    "    and {} regions more",
                    change.described.len() - REGIONS_SHOWN
                )?;
            }
            if let Some(example) = &change.example {
                writeln!(f, "    for example: {example}")?;
            }
        }
        if self.incomplete {
            f.write_str("the routes differ in further ways, too many to tell\n")?;
        }
        Ok(())
    }
}
