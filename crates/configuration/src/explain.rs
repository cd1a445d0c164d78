//! Why a request is routed as it is: the chain of routes that are asked.

use crate::model::Model;
use crate::route::{self, Request};
use crate::source::Sources;

/// A route that was asked, and the condition that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The route's position.
    pub route: usize,
    /// The condition that does not hold; none: all hold.
    pub fails: Option<&'static str>,
}

/// The routes in their order, up to the first that holds.
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

/// Routes that are listed one by one; of more, the last.
const SHOWN: usize = 200;

/// The steps in words, as `config explain` prints them.
pub fn text(model: &Model, sources: &Sources, request: &Request<'_>) -> String {
    let steps = steps(model, request);
    let mut out = String::new();
    if steps.len() > SHOWN {
        out.push_str(&format!("{} routes do not hold\n", steps.len() - SHOWN));
    }
    for step in &steps[steps.len().saturating_sub(SHOWN)..] {
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
        None => out.push_str("no route holds; outcome: as without routes\n"),
    }
    out
}
