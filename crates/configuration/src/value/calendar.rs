//! Dates, days of the week, hours of the day and offsets from UTC, for windows of time.

use super::ParseError;
use jiff::civil::Date;

/// A range of days, both ends included; without a year it recurs every year.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dates {
    /// First and last date, with a year.
    Once(Date, Date),
    /// Month and day of the first and of the last day; the last may lie in the next year.
    Yearly((i8, i8), (i8, i8)),
}

/// A range of hours in seconds after midnight; an end that is not after the start lies on the next day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hours {
    /// The first second.
    pub from: u32,
    /// The second after the last.
    pub to: u32,
}

/// Seconds per day.
pub const SECONDS_PER_DAY: u32 = 86_400;

/// The first and the last year that dates may have.
pub const YEAR_RANGE: (i16, i16) = (1970, 2099);

/// The days of the week as written in the file, Monday first.
pub const WEEKDAYS: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];

pub(super) fn parse_dates(word: &str) -> Result<Dates, ParseError> {
    let error = |text: &str| {
        ParseError::new(format!("{text:?} is not a valid date"))
            .help("write 2026-10-17..2026-10-31, or 10-17..10-31 for every year")
    };
    let (from, to) = word.split_once("..").unwrap_or((word, word));
    let yearly = |text: &str| -> Option<(i8, i8)> {
        let (month, day) = text.split_once('-')?;
        let whole = month.len() == 2 && day.len() == 2;
        let (month, day) = (month.parse().ok()?, day.parse().ok()?);
        // Checked in a leap year, since 29 February is a valid date.
        (whole && Date::new(2024, month, day).is_ok()).then_some((month, day))
    };
    let once = |text: &str| -> Option<Date> {
        let date: Date = text.parse().ok()?;
        (text.len() == 10 && (YEAR_RANGE.0..=YEAR_RANGE.1).contains(&date.year())).then_some(date)
    };
    match (once(from), once(to)) {
        (Some(a), Some(b)) if a > b => Err(ParseError::new(format!(
            "the range of dates {word} ends before it begins"
        ))
        .help(format!("did you mean {b}..{a}?"))),
        (Some(a), Some(b)) => Ok(Dates::Once(a, b)),
        _ => match (yearly(from), yearly(to)) {
            (Some(a), Some(b)) => Ok(Dates::Yearly(a, b)),
            (None, _) if once(from).is_none() => Err(error(from)),
            _ => Err(error(to)),
        },
    }
}

pub(super) fn parse_weekdays(word: &str) -> Result<u8, ParseError> {
    let day = |text: &str| {
        WEEKDAYS.iter().position(|d| *d == text).ok_or_else(|| {
            ParseError::new(format!("{text:?} is not a weekday"))
                .help(format!("the weekdays are {}", WEEKDAYS.join(", ")))
        })
    };
    let (from, to) = word.split_once('-').unwrap_or((word, word));
    let (from, to) = (day(from)?, day(to)?);
    // The range may cross the end of the week.
    let length = (to + 7 - from) % 7;
    Ok((0..=length).fold(0, |bits, n| bits | 1 << ((from + n) % 7)))
}

pub(super) fn parse_hours(word: &str) -> Result<Hours, ParseError> {
    const HELP: &str = "write 07:00-09:30, or 22:00-02:00 for a window that crosses midnight";
    let moment = |text: &str| -> Option<u32> {
        let mut parts = text.split(':');
        let mut number = |most: u32| {
            let part = parts.next()?;
            part.parse()
                .ok()
                .filter(|n: &u32| part.len() == 2 && *n <= most)
        };
        let (hour, minute) = (number(24)?, number(59)?);
        let second = if text.len() > 5 { number(59)? } else { 0 };
        let whole = hour * 3_600 + minute * 60 + second;
        (parts.next().is_none() && whole <= SECONDS_PER_DAY).then_some(whole)
    };
    let error = || ParseError::new(format!("{word:?} is not a valid range of hours")).help(HELP);
    let (from, to) = word.split_once('-').ok_or_else(error)?;
    let (from, to) = (
        moment(from).ok_or_else(error)?,
        moment(to).ok_or_else(error)?,
    );
    if from == to || from == SECONDS_PER_DAY || to == 0 {
        return Err(ParseError::new(format!("the range of hours {word} is empty")).help(HELP));
    }
    Ok(Hours { from, to })
}

pub(super) fn parse_offset(word: &str) -> Result<i32, ParseError> {
    let parse = || {
        if word == "UTC" {
            return Some(0);
        }
        let (sign, rest) = match word.split_at_checked(1)? {
            ("+", rest) => (1, rest),
            ("-", rest) => (-1, rest),
            _ => return None,
        };
        let (hours, minutes) = rest.split_once(':')?;
        let (hours, minutes) = (hours.parse::<i32>().ok()?, minutes.parse::<i32>().ok()?);
        (rest.len() == 5 && (0..=14).contains(&hours) && (0..60).contains(&minutes))
            .then_some(sign * (hours * 3_600 + minutes * 60))
    };
    parse().ok_or_else(|| {
        ParseError::new(format!("{word:?} is not a valid offset from UTC"))
            .help("write +05:45, -03:00 or UTC; named time zones are not supported")
    })
}
