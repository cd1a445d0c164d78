//! The section `calendar` and sections `window`.

use crate::calendar::{CalendarTable, Window, WindowConditions};
use crate::check::Section;
use crate::diagnostic::Diagnostic;
use crate::schema::WINDOWS_LIMIT;
use crate::value::{Dates, Value};
use crate::values::{referenced_names, sections_of, Values};
use std::collections::HashSet;

/// A section `window`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedWindow {
    /// Its name.
    pub name: String,
    /// The conditions under which it holds.
    pub stated: WindowConditions,
}

/// Offset of local time from UTC in seconds, positive to the east.
pub(super) fn offset(sections: &[Section]) -> i32 {
    match Values::of_single(sections, "calendar").value("offset") {
        Some(Value::Offset(seconds)) => seconds,
        _ => 0,
    }
}

/// The windows with their names, and the compiled windows in the same order.
pub(super) fn windows(
    sections: &[Section],
    offset: i32,
    faults: &mut Vec<Diagnostic>,
) -> (Vec<NamedWindow>, Vec<Window>) {
    if sections_of(sections, "window").next().is_none() {
        return Default::default();
    }
    if let Some(first) = sections_of(sections, "window").nth(WINDOWS_LIMIT) {
        let message = format!("there are more than {WINDOWS_LIMIT} sections window, the maximum");
        faults.push(
            Diagnostic::error("many-windows", first.span, message).label("limit exceeded here"),
        );
        return Default::default();
    }
    let calendar = CalendarTable::shared();
    let (mut named, mut windows) = (Vec::new(), Vec::new());
    for section in sections_of(sections, "window") {
        let stated = conditions(section);
        let window = calendar.window(&stated, offset);
        if !section.partial {
            check_window(section, &stated, &window, faults);
        }
        named.push(NamedWindow {
            name: section.name.clone(),
            stated,
        });
        windows.push(window);
    }
    warn_of_unused(sections, faults);
    (named, windows)
}

fn conditions(section: &Section) -> WindowConditions {
    let v = Values::of(section);
    let weekdays = v.collect("weekdays", |value| match value {
        Value::Weekdays(bits) => Some(*bits),
        _ => None,
    });
    WindowConditions {
        dates: v.collect("dates", |value| match value {
            Value::Dates(dates) => Some(*dates),
            _ => None,
        }),
        weekdays: weekdays.iter().fold(0, |all, bits| all | bits),
        hours: v.collect("hours", |value| match value {
            Value::Hours(hours) => Some(*hours),
            _ => None,
        }),
    }
}

fn check_window(
    section: &Section,
    stated: &WindowConditions,
    window: &Window,
    faults: &mut Vec<Diagnostic>,
) {
    if *stated == WindowConditions::default() {
        let fault = Diagnostic::error("missing", section.span, "the window has no conditions");
        faults.push(fault.label("set dates, weekdays or hours"));
    } else if window.never_occurs() {
        let message = "the conditions of the window never hold together";
        let fault = Diagnostic::warning("never-occurs", section.span, message)
            .label("no day matches all conditions");
        let has_year = stated.dates.iter().any(|d| matches!(d, Dates::Once(..)));
        faults.push(match has_year && stated.weekdays != 0 {
            true => fault.help("none of the dates falls on one of the weekdays"),
            false => fault,
        });
    }
}

fn warn_of_unused(sections: &[Section], faults: &mut Vec<Diagnostic>) {
    let used: HashSet<&str> = referenced_names(sections, "route", "during")
        .chain(referenced_names(sections, "credit", "not-during"))
        .collect();
    for section in sections_of(sections, "window").filter(|s| !used.contains(s.name.as_str())) {
        let message = format!("no route and no credit uses the window {}", section.name);
        let fault = Diagnostic::warning("unused-window", section.span, message);
        faults.push(fault.label("never used"));
    }
}
