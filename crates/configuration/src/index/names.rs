//! Numbers for the names of classes and tenants.

use crate::route::Route;
use std::collections::HashSet;

/// Names of classes and tenants; the number of a name is its position. Those of the platform come first, in its order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NameTable {
    /// Names of classes.
    pub classes: Vec<String>,
    /// Names of tenants.
    pub tenants: Vec<String>,
}

impl NameTable {
    /// Adds the names that routes state and that are not in the table yet.
    pub fn with_routes(mut self, routes: &[Route]) -> NameTable {
        let add = |list: fn(&Route) -> &[String], names: &mut Vec<String>| {
            let mut known: HashSet<String> = names.iter().cloned().collect();
            for name in routes.iter().flat_map(list) {
                if known.insert(name.clone()) {
                    names.push(name.clone());
                }
            }
        };
        add(|r| &r.conditions.classes, &mut self.classes);
        add(|r| &r.conditions.tenants, &mut self.tenants);
        self
    }
}
