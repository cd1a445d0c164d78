//! Explains the routing of one request: lists the routes that are checked, up to the first that holds.

use crate::model::Model;
use crate::route::{self, Request};
use crate::source::Sources;

/// A route that was checked, and its first condition that does not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Position of the route in the model.
    pub route: usize,
    /// Keyword of the condition that does not hold; `None` if all hold.
    pub fails: Option<&'static str>,
}

/// The routes checked for a request, in order, up to the first that holds.
pub fn steps(model: &Model, request: &Request<'_>) -> Vec<Step> {
    let mut steps = Vec::new();
    for (at, route) in model.routes.iter().enumerate() {
        let fails = route::first_unmet_condition(&route.conditions, &model.windows, request);
        steps.push(Step { route: at, fails });
        if fails.is_none() {
            break;
        }
    }
    steps
}

/// Maximum number of routes listed one by one; of a longer list only the last ones are.
const STEPS_SHOWN: usize = 200;

/// The steps as text, printed by `config explain`.
pub fn text(model: &Model, sources: &Sources, request: &Request<'_>) -> String {
    let steps = steps(model, request);
    let mut out = String::new();
    if steps.len() > STEPS_SHOWN {
        out.push_str(&format!(
            "{} earlier routes do not hold\n",
            steps.len() - STEPS_SHOWN
        ));
    }
    for step in &steps[steps.len().saturating_sub(STEPS_SHOWN)..] {
        let route = &model.routes[step.route];
        let place = sources.place(route.span);
        let word = match step.fails {
            Some(condition) => format!("does not hold: {condition}"),
            None => "holds".to_owned(),
        };
        out.push_str(&format!("route {} ({place}): {word}\n", route.name));
    }
    match steps.last().filter(|s| s.fails.is_none()) {
        Some(step) => out.push_str(&format!("outcome: {}\n", model.routes[step.route].outcome)),
        None => out.push_str("no route holds; outcome: default handling\n"),
    }
    out
}
