//! The difference in behaviour, not in text, between two configurations.

mod routes;
mod settings;

use crate::model::Model;
use crate::ranges::Region;
use crate::reading::Reading;
use crate::route::Outcome;
use crate::space::{Example, Side, Space};
use std::fmt;

/// A value that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Section and directive of the value.
    pub setting: String,
    /// The old value; `None` if it was not set.
    pub old: Option<String>,
    /// The new value; `None` if it is not set.
    pub new: Option<String>,
    /// Whether the new value is `tighter` or `looser`, if that can be determined.
    pub strictness: Option<&'static str>,
}

/// Requests that are handled differently.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteChange {
    /// Handling of these requests by the old configuration.
    pub old: Outcome,
    /// Handling of these requests by the new configuration.
    pub new: Outcome,
    /// Exactly these requests, in disjoint regions.
    pub regions: Vec<Region>,
    /// Descriptions of the regions, in the same order.
    pub described: Vec<String>,
    /// An example of these requests.
    pub example: Option<Example>,
}

/// The difference in behaviour between two configurations.
#[derive(Debug)]
pub struct Difference {
    /// Values that differ.
    pub changes: Vec<Change>,
    /// Requests that are routed differently.
    pub routes: Vec<RouteChange>,
    /// The routes differ in more ways than are listed; the listed ones are correct.
    pub incomplete: bool,
    /// The space of requests of the regions.
    pub space: Space,
}

impl Difference {
    /// Whether the two configurations behave the same.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty() && self.routes.is_empty() && !self.incomplete
    }
}

/// The difference between two configurations. `classes`: all classes of the platform, if they are known.
pub fn diff(old: &Reading, new: &Reading, classes: Option<&[String]>) -> Difference {
    let changes = settings::changes(old, new);
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
    let (routes, incomplete) = routes::changes(&old.routes, &new.routes, &space);
    Difference {
        changes,
        routes,
        incomplete,
        space,
    }
}

/// Maximum number of regions of a change that are printed.
const REGIONS_SHOWN: usize = 12;

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return writeln!(f, "no difference in behaviour");
        }
        self.changes.iter().try_for_each(|c| writeln!(f, "{c}"))?;
        self.routes.iter().try_for_each(|c| c.fmt(f))?;
        if self.incomplete {
            f.write_str("the routes differ in further ways, too many to list\n")?;
        }
        Ok(())
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = |value: &Option<String>| value.clone().unwrap_or_else(|| "not set".into());
        let (old, new) = (value(&self.old), value(&self.new));
        write!(f, "{}: {old} -> {new}", self.setting)?;
        match self.strictness {
            Some(strictness) => write!(f, " ({strictness})"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for RouteChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "routes: now {} (before: {})", self.new, self.old)?;
        for text in self.described.iter().take(REGIONS_SHOWN) {
            writeln!(f, "    {text}")?;
        }
        if self.described.len() > REGIONS_SHOWN {
            let more = self.described.len() - REGIONS_SHOWN;
            writeln!(f, "    and {more} more regions")?;
        }
        match &self.example {
            Some(example) => writeln!(f, "    for example: {example}"),
            None => Ok(()),
        }
    }
}
