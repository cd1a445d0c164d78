//! Sections `route`, and the checks of their values against one another.

use super::pool::{Class, Pool};
use super::window::NamedWindow;
use crate::check::{unknown_name, Section};
use crate::diagnostic::Diagnostic;
use crate::ranges::Ranges;
use crate::route::{fold_case, Conditions, Outcome, Priority, Route};
use crate::source::Span;
use crate::value::Value;
use crate::values::{groups_of, name_of, network_of, referenced_names, sections_of, Values};
use std::collections::{HashMap, HashSet};
use std::ops::RangeInclusive;

/// The sections to which routes refer, by name.
struct Names<'a> {
    windows: HashMap<&'a str, usize>,
    pools: HashMap<&'a str, &'a Pool>,
    /// Names of classes whose requests are never sent again once they may have run.
    classes_run_once: HashSet<&'a str>,
    /// Some of the files could not be read, so a missing name may be defined there.
    partial: bool,
}

impl Names<'_> {
    fn report_unknown(&self, keyword: &str, name: &str, span: Span, faults: &mut Vec<Diagnostic>) {
        if self.partial {
            return;
        }
        let known: Vec<&str> = match keyword {
            "window" => self.windows.keys().copied().collect(),
            _ => self.pools.keys().copied().collect(),
        };
        faults.push(unknown_name(keyword, name, span, &known));
    }
}

pub(super) fn routes(
    sections: &[Section],
    windows: &[NamedWindow],
    pools: &[Pool],
    classes: &[Class],
    partial: bool,
    faults: &mut Vec<Diagnostic>,
) -> Vec<Route> {
    let names = Names {
        windows: windows.iter().map(|w| w.name.as_str()).zip(0..).collect(),
        pools: pools.iter().map(|p| (p.name.as_str(), p)).collect(),
        classes_run_once: classes
            .iter()
            .filter(|c| c.runs_once)
            .map(|c| c.name.as_str())
            .collect(),
        partial,
    };
    let mut routes = Vec::new();
    let mut cross_checks = Vec::new();
    for section in sections_of(sections, "route") {
        let during = during(section, &names, faults);
        let pool = pool(section, &names, faults);
        // A route with an invalid condition would match requests for which it is not meant.
        let complete = !section.partial && during.is_some();
        let route = Route {
            name: section.name.clone(),
            span: section.span,
            conditions: conditions(section, during.unwrap_or_default()),
            outcome: outcome(section, pool),
        };
        check_route(section, &route, pool, &names, &mut cross_checks);
        if complete {
            routes.push(route);
        }
    }
    faults.extend(cross_checks);
    warn_of_unused_pools(sections, faults);
    routes
}

/// Positions of the route's windows; `None` if one of them is not defined.
fn during(
    section: &Section,
    names: &Names<'_>,
    faults: &mut Vec<Diagnostic>,
) -> Option<Vec<usize>> {
    let mut positions = Some(Vec::new());
    for (value, span) in section.values("during") {
        let Value::Name(name) = value else { continue };
        match (names.windows.get(name.as_str()), &mut positions) {
            (Some(at), Some(positions)) => positions.push(*at),
            (Some(_), None) => {}
            (None, _) => {
                positions = None;
                names.report_unknown("window", name, *span, faults);
            }
        }
    }
    positions
}

fn pool<'a>(
    section: &Section,
    names: &Names<'a>,
    faults: &mut Vec<Diagnostic>,
) -> Option<&'a Pool> {
    let Some((Value::Name(name), span)) = section.values("pool").first() else {
        return None;
    };
    let found = names.pools.get(name.as_str()).copied();
    if found.is_none() {
        names.report_unknown("pool", name, *span, faults);
    }
    found
}

fn conditions(section: &Section, during: Vec<usize>) -> Conditions {
    let v = Values::of(section);
    Conditions {
        classes: v.collect("class", name_of),
        tenants: v.collect("tenant", name_of),
        groups: v.collect("group", groups_of),
        statements: v.collect("statement", |value| match value {
            Value::Text(text) => Some(fold_case(text)),
            _ => None,
        }),
        networks: v.collect("network", network_of),
        during,
    }
}

fn outcome(section: &Section, pool: Option<&Pool>) -> Outcome {
    let v = Values::of(section);
    Outcome {
        pool: pool.map(|p| p.name.clone()),
        as_class: v.name("as-class"),
        deadline: v.time("deadline"),
        priority: match v.choice("priority") {
            "low" => Priority::Low,
            "high" => Priority::High,
            _ => Priority::Normal,
        },
        attempt_limit: v.bounded_count("tries"),
        reject: section.setting("refuse").map(|_| v.time("refuse")),
    }
}

fn warn_of_unused_pools(sections: &[Section], faults: &mut Vec<Diagnostic>) {
    let used: HashSet<&str> = referenced_names(sections, "route", "pool").collect();
    for section in sections_of(sections, "pool").filter(|s| !used.contains(s.name.as_str())) {
        let message = format!("no route uses the pool {}", section.name);
        let fault = Diagnostic::warning("unused-pool", section.span, message);
        faults.push(fault.label("never used"));
    }
}

/// Reports values of a route that contradict one another.
fn check_route(
    section: &Section,
    route: &Route,
    pool: Option<&Pool>,
    names: &Names<'_>,
    faults: &mut Vec<Diagnostic>,
) {
    check_rejecting(section, faults);
    if let (Some(priority), None) = (section.setting("priority"), section.setting("pool")) {
        let message = "priority has no effect without pool";
        let fault = Diagnostic::error("cross-check", priority.span, message);
        faults.push(fault.label("priority applies only within a pool"));
    }
    if let Some(pool) = pool.filter(|p| !p.groups.is_empty()) {
        check_groups(section, route, pool, faults);
    }
    check_as_class(section, route, names, faults);
}

fn check_rejecting(section: &Section, faults: &mut Vec<Diagnostic>) {
    let Some(refuse) = section.setting("refuse") else {
        return;
    };
    let others = ["pool", "as-class", "deadline", "priority", "tries"];
    if let Some(other) = others.iter().find_map(|keyword| section.setting(keyword)) {
        let message = format!("{} has no effect on a refused request", other.spec.keyword);
        let fault = Diagnostic::error("cross-check", other.span, message).label("has no effect");
        faults.push(fault.related(refuse.span, "requests are refused here"));
    }
}

/// Reports a pool that does not serve all groups of the route.
fn check_groups(section: &Section, route: &Route, pool: &Pool, faults: &mut Vec<Diagnostic>) {
    let all_groups = [0..=u32::MAX];
    let groups = match route.conditions.groups.as_slice() {
        [] => &all_groups,
        stated => stated,
    };
    let not_served = group_set(groups).minus(&group_set(&pool.groups)).first();
    if let (Some(group), Some(setting)) = (not_served, section.setting("pool")) {
        let message = format!(
            "the pool {} does not serve all groups of the route",
            pool.name
        );
        let fault = Diagnostic::error("cross-check", setting.span, message)
            .label(format!("does not serve group {group}, for example"));
        faults.push(fault.help("restrict the route with the directive group, or add the group to the directive groups of the pool"));
    }
}

fn group_set(groups: &[RangeInclusive<u32>]) -> Ranges {
    Ranges::from_list(
        groups
            .iter()
            .map(|r| (u128::from(*r.start()), u128::from(*r.end()))),
    )
}

/// Reports a route that handles requests of a class that runs once as a class that may run again.
fn check_as_class(
    section: &Section,
    route: &Route,
    names: &Names<'_>,
    faults: &mut Vec<Diagnostic>,
) {
    let classes = &route.conditions.classes;
    let (Some(target), Some(setting)) = (&route.outcome.as_class, section.setting("as-class"))
    else {
        return;
    };
    let runs_once = |class: &str| names.classes_run_once.contains(class);
    let loosened = classes.iter().find(|c| runs_once(c) && !runs_once(target));
    if let Some(class) = loosened {
        let message =
            format!("requests of class {class} run once and can't be treated as class {target}");
        let fault =
            Diagnostic::error("loosens", setting.span, message).label("would allow a second run");
        faults.push(fault.help(format!("add `runs once` to the section class {target}")));
    } else if classes.as_slice() == std::slice::from_ref(target) {
        let message = format!("all requests of the route are of class {target} already");
        let fault = Diagnostic::warning("no-effect", setting.span, message);
        faults.push(fault.label("changes nothing"));
    }
}
