//! Sections `pool` and `class`.

use crate::check::Section;
use crate::diagnostic::Diagnostic;
use crate::source::Span;
use crate::value::{Rate, Share, Value};
use crate::values::{groups_of, sections_of, Values};
use std::ops::RangeInclusive;
use std::time::Duration;

/// A section `pool`: limits for a part of the requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Maximum number of open requests.
    pub requests: Option<u32>,
    /// Maximum rate of accepted requests.
    pub rate: Option<Rate>,
    /// Number of requests that may arrive at once within the rate.
    pub burst: u32,
    /// Share of `requests` and `burst` that low priority leaves to normal, and normal to high.
    pub reserve: Share,
    /// Retry-After of requests that are rejected because the pool is full.
    pub retry_after: Option<Duration>,
    /// Groups that the pool serves; empty: all.
    pub groups: Vec<RangeInclusive<u32>>,
}

/// A section `class`: stricter limits for a class of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// The class's name.
    pub name: String,
    /// Place of the section.
    pub span: Span,
    /// A shorter deadline.
    pub deadline: Option<Duration>,
    /// A lower attempt limit.
    pub attempt_limit: Option<u16>,
    /// A request that may have run is never sent again.
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
        let fault = Diagnostic::error("missing", section.span, "the pool has no limit");
        faults.push(fault.label("set requests, rate or both"));
    }
    if let (Some(burst), None) = (section.setting("burst"), rate) {
        let message = "burst has no effect without rate";
        let fault = Diagnostic::error("cross-check", burst.span, message).label("rate is missing");
        faults.push(fault.help("add rate, or use requests to limit the number of open requests"));
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
