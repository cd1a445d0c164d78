//! Sections `pool` and `class`.

use crate::check::Section;
use crate::diagnostic::Diagnostic;
use crate::source::Span;
use crate::value::{Rate, Share, Value};
use crate::values::{groups_of, sections_of, Values};
use std::ops::RangeInclusive;
use std::time::Duration;

/// A section `pool`: a bound on part of the requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Open requests at once.
    pub requests: Option<u32>,
    /// Requests in a span of time.
    pub rate: Option<Rate>,
    /// Requests that may come at once within the rate.
    pub burst: u32,
    /// Share that low priority leaves to normal, and normal to high.
    pub reserve: Share,
    /// Retry-After of requests that find it full.
    pub retry_after: Option<Duration>,
    /// Groups whose requests it bounds.
    pub groups: Vec<RangeInclusive<u32>>,
}

/// A section `class`: tighter bounds on a class of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// The class's name.
    pub name: String,
    /// Where the section stands.
    pub span: Span,
    /// A shorter deadline.
    pub deadline: Option<Duration>,
    /// A lower attempt limit.
    pub attempt_limit: Option<u16>,
    /// Never sent again once it may have run.
    pub runs_once: bool,
}

pub(super) fn pools(sections: &[Section], faults: &mut Vec<Diagnostic>) -> Vec<Pool> {
    for section in sections_of(sections, "pool").filter(|s| !s.partial) {
        check_pool(section, faults);
    }
    sections_of(sections, "pool")
        .map(|section| {
            let v = Values::of(section);
            Pool {
                name: section.name.clone(),
                requests: v.bounded_count("requests"),
                rate: match v.value("rate") {
                    Some(Value::Rate(rate)) => Some(rate),
                    _ => None,
                },
                burst: v.bounded_count("burst").unwrap_or(1),
                reserve: v.share("reserve"),
                retry_after: v.time("come-back"),
                groups: v.collect("groups", groups_of),
            }
        })
        .collect()
}

fn check_pool(section: &Section, faults: &mut Vec<Diagnostic>) {
    let rate = section.setting("rate");
    if section.setting("requests").is_none() && rate.is_none() {
        let fault = Diagnostic::error("missing", section.span, "the pool bounds nothing");
        faults.push(fault.label("requests or rate is missing here"));
    }
    if let (Some(burst), None) = (section.setting("burst"), rate) {
        let message = "a burst is stated without a rate";
        let fault = Diagnostic::error("cross-check", burst.span, message).label("bounds nothing");
        faults.push(fault.help("requests bounds those that are open at once"));
    }
}

pub(super) fn classes(sections: &[Section]) -> Vec<Class> {
    sections_of(sections, "class")
        .map(|section| {
            let v = Values::of(section);
            Class {
                name: section.name.clone(),
                span: section.span,
                deadline: v.time("deadline"),
                attempt_limit: v.bounded_count("tries"),
                runs_once: v.choice("runs") == "once",
            }
        })
        .collect()
}
