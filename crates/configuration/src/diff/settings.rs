//! Finds the values that differ, and whether the new one is tighter for clients' requests.

use super::Change;
use crate::calendar::Window;
use crate::model::{entries, Entry, Model};
use crate::ranges::Ranges;
use crate::reading::Reading;
use crate::schema::{self, Args};
use crate::value::{Type, Value};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// Values as text, by section and directive.
type Table = BTreeMap<(String, &'static str), String>;

/// All values that differ, in the order of their sections.
pub(super) fn changes(old: &Reading, new: &Reading) -> Vec<Change> {
    let routes = old.model.routes.iter().chain(&new.model.routes);
    let pools: HashSet<&str> = routes.filter_map(|r| r.outcome.pool.as_deref()).collect();
    let windows = changed_credit_windows(&old.model, &new.model);
    let table = |reading: &Reading| -> Table {
        let entries = entries(&reading.sections).into_iter();
        entries
            .filter(|e| is_compared(e, &pools, &windows))
            .map(|e| ((e.section.clone(), e.directive), canonical(&e)))
            .collect()
    };
    let (before, after) = (table(old), table(new));
    let keys: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    keys.into_iter()
        .filter(|key| before.get(key) != after.get(key))
        .map(|key| {
            let (old, new) = (before.get(key).cloned(), after.get(key).cloned());
            let strictness = strictness(&key.0, key.1, old.as_deref(), new.as_deref());
            Change {
                setting: format!("{} {}", key.0, key.1),
                old,
                new,
                strictness,
            }
        })
        .collect()
}

/// Whether a value is compared by itself. Differences in routes and windows appear in the handling of requests, and only
/// pools that routes use are compared. `windows`: names of the windows that differ and that credits use.
fn is_compared(entry: &Entry, pools: &HashSet<&str>, windows: &HashSet<&str>) -> bool {
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

/// Names of the windows that a credit uses and that now hold at other times.
fn changed_credit_windows<'a>(old: &'a Model, new: &'a Model) -> HashSet<&'a str> {
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

/// The value in a form that does not depend on the order of a list.
fn canonical(entry: &Entry) -> String {
    let keyword = entry.section.split(' ').next().unwrap_or_default();
    let spec = schema::section(keyword).and_then(|s| s.directive(entry.directive));
    match spec.map(|s| s.args) {
        Some(Args::Many(Type::Groups)) => canonical_groups(&entry.value),
        Some(Args::Many(_)) if entry.section.starts_with("credit ") => {
            let words: BTreeSet<&str> = entry.value.split(' ').collect();
            words.into_iter().collect::<Vec<_>>().join(" ")
        }
        _ => entry.value.clone(),
    }
}

fn canonical_groups(value: &str) -> String {
    let ranges = value
        .split(' ')
        .filter_map(|word| match Type::Groups.parse(word) {
            Ok(Value::Groups(range)) => {
                Some((u128::from(*range.start()), u128::from(*range.end())))
            }
            _ => None,
        });
    let ranges = Ranges::from_list(ranges);
    let words = ranges.list().iter().map(|(from, to)| match from == to {
        true => from.to_string(),
        false => format!("{from}-{to}"),
    });
    words.collect::<Vec<_>>().join(" ")
}

/// Directives whose higher values leave less to clients.
const MORE_IS_TIGHTER: [&str; 2] = ["answer-margin", "reserve"];
/// Directives whose values are neither tighter nor looser than one another.
const WITHOUT_STRICTNESS: [&str; 3] = ["address", "level", "form"];
/// Sections whose values are neither tighter nor looser for clients' requests.
const SECTIONS_WITHOUT_STRICTNESS: [&str; 8] = [
    "members", "member", "rollout", "memory", "lending", "credit", "window", "sites",
];

/// Whether the new value is tighter or looser; `None` if neither can be determined.
fn strictness(
    section: &str,
    directive: &str,
    old: Option<&str>,
    new: Option<&str>,
) -> Option<&'static str> {
    let keyword = section.split(' ').next()?;
    if WITHOUT_STRICTNESS.contains(&directive) || SECTIONS_WITHOUT_STRICTNESS.contains(&keyword) {
        return None;
    }
    let order = match (old, new) {
        // A limit that is not set does not apply.
        (None, Some(_)) => Ordering::Greater,
        (Some(_), None) => Ordering::Less,
        (Some(old), Some(new)) => {
            let spec = schema::section(keyword)?.directive(directive)?;
            let (Args::One(kind) | Args::Optional(kind)) = spec.args else {
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

/// Compares how much two values allow; `Greater`: the old value allows more.
fn compare(old: &Value, new: &Value) -> Option<Ordering> {
    Some(match (old, new) {
        (Value::Time(a), Value::Time(b)) => a.cmp(b),
        (Value::Size(a), Value::Size(b)) | (Value::Count(a), Value::Count(b)) => a.cmp(b),
        (Value::Share(a), Value::Share(b)) => a.cmp(b),
        (Value::Rate(a), Value::Rate(b)) => b.interval().cmp(&a.interval()),
        // `once` is tighter than `any`, and `no` tighter than `yes`.
        (Value::Choice(a), Value::Choice(b)) => match (*a, *b) {
            ("any", "once") | ("yes", "no") => Ordering::Greater,
            ("once", "any") | ("no", "yes") => Ordering::Less,
            _ => return None,
        },
        _ => return None,
    })
}
