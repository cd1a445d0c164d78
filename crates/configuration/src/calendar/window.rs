//! Windows of time: their conditions, and their compiled form.

use super::days::{Days, DAYS};
use super::Moment;
use crate::value::{Dates, Hours, SECONDS_PER_DAY, YEAR_RANGE};
use jiff::civil::Date;
use std::sync::OnceLock;

/// The conditions of a section `window`, all of which must hold; an empty list always holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WindowConditions {
    /// Dates on which it holds.
    pub dates: Vec<Dates>,
    /// A bit for each day of the week, Monday in the lowest bit; 0: every day.
    pub weekdays: u8,
    /// Hours of the day in which it holds.
    pub hours: Vec<Hours>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Part {
    pub days: Days,
    /// First second of the UTC day.
    pub from: u32,
    /// The second after the last one of the UTC day.
    pub to: u32,
}

/// A compiled window of time: sets of UTC days, each with a range of seconds of the day.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Window {
    pub(super) parts: Vec<Part>,
}

/// Month, day of the month and weekday (Monday is 0) of every day of the calendar.
pub struct CalendarTable(Vec<(i8, i8, u8)>);

impl Default for CalendarTable {
    fn default() -> CalendarTable {
        let first = Date::constant(YEAR_RANGE.0, 1, 1);
        let days = first.series(jiff::Span::new().days(1)).take(DAYS);
        CalendarTable(
            days.map(|d| {
                (
                    d.month(),
                    d.day(),
                    d.weekday().to_monday_zero_offset() as u8,
                )
            })
            .collect(),
        )
    }
}

impl CalendarTable {
    /// The shared table, created with the first window; it takes 140 KiB.
    pub fn shared() -> &'static CalendarTable {
        static SHARED: OnceLock<CalendarTable> = OnceLock::new();
        SHARED.get_or_init(CalendarTable::default)
    }

    /// Compiles conditions in local time at an offset from UTC in seconds.
    pub fn window(&self, stated: &WindowConditions, offset: i32) -> Window {
        let days = self.days(stated);
        let all_day = [Hours {
            from: 0,
            to: SECONDS_PER_DAY,
        }];
        let hours = match stated.hours.as_slice() {
            [] => &all_day,
            hours => hours,
        };
        let parts = hours.iter().flat_map(|h| parts_of(*h, &days, offset));
        Window {
            parts: parts.collect(),
        }
    }

    /// The local days on which the conditions for dates and weekdays hold.
    fn days(&self, stated: &WindowConditions) -> Days {
        let mut days = Days::empty();
        let once: Vec<(usize, usize)> = stated
            .dates
            .iter()
            .filter_map(|dates| match dates {
                Dates::Once(from, to) => Some((day_number(*from), day_number(*to))),
                Dates::Yearly(..) => None,
            })
            .collect();
        for (day, (month, date, weekday)) in self.0.iter().enumerate() {
            let in_year = |dates: &Dates| is_in_year(dates, (*month, *date));
            let on_date = stated.dates.is_empty()
                || once.iter().any(|(from, to)| (*from..=*to).contains(&day))
                || stated.dates.iter().any(in_year);
            if on_date && (stated.weekdays == 0 || stated.weekdays >> weekday & 1 == 1) {
                days.add(day);
            }
        }
        days
    }
}

/// Whether dates that recur every year contain this month and day.
fn is_in_year(dates: &Dates, day: (i8, i8)) -> bool {
    match dates {
        Dates::Once(..) => false,
        Dates::Yearly(from, to) if from <= to => (*from..=*to).contains(&day),
        Dates::Yearly(from, to) => day >= *from || day <= *to,
    }
}

/// Converts hours of local days to UTC, split at the end of each UTC day; at most three UTC days are involved.
fn parts_of(hours: Hours, days: &Days, offset: i32) -> Vec<Part> {
    let Hours { from, to } = hours;
    let end = if to <= from { to + SECONDS_PER_DAY } else { to };
    let from = i64::from(from) - i64::from(offset);
    let end = i64::from(end) - i64::from(offset);
    let mut parts = Vec::new();
    for shift in -2..=2 {
        let start = shift * i64::from(SECONDS_PER_DAY);
        let first = (from - start).max(0);
        let last = (end - start).min(i64::from(SECONDS_PER_DAY));
        if first >= last {
            continue;
        }
        let days = days.shifted(shift);
        if !days.is_empty() {
            parts.push(Part {
                days,
                from: first as u32,
                to: last as u32,
            });
        }
    }
    parts
}

fn day_number(date: Date) -> usize {
    let days = Date::constant(1970, 1, 1)
        .until(date)
        .map_or(-1, |span| span.get_days());
    usize::try_from(days).unwrap_or(0)
}

impl Window {
    /// Whether a moment lies in the window.
    pub fn contains(&self, at: Moment) -> bool {
        self.parts
            .iter()
            .any(|p| p.from <= at.second && at.second < p.to && p.days.contains(at.day))
    }

    /// Whether no moment lies in the window.
    pub fn never_occurs(&self) -> bool {
        self.parts.is_empty()
    }
}
