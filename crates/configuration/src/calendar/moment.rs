//! Points in time with a resolution of a second, and the written form of local times.

use crate::value::{Type, Value, SECONDS_PER_DAY};
use jiff::civil::Date;
use std::time::Duration;

/// A second of UTC, as the number of days since 1970 and the second of the day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment {
    /// Days since 1970-01-01.
    pub day: u32,
    /// Second of the day, from 0.
    pub second: u32,
}

impl Moment {
    /// Converts a Unix time, rounded down to seconds.
    pub fn from_unix(since_1970: Duration) -> Moment {
        let seconds = since_1970.as_secs();
        let day = u32::try_from(seconds / u64::from(SECONDS_PER_DAY)).unwrap_or(u32::MAX);
        Moment {
            day,
            second: (seconds % u64::from(SECONDS_PER_DAY)) as u32,
        }
    }

    /// Formats the moment as local time at an offset from UTC in seconds.
    pub fn local(self, offset: i32) -> String {
        let seconds = i64::from(self.day) * i64::from(SECONDS_PER_DAY)
            + i64::from(self.second)
            + i64::from(offset);
        let days =
            i32::try_from(seconds.div_euclid(i64::from(SECONDS_PER_DAY))).unwrap_or(i32::MAX);
        let second = seconds.rem_euclid(i64::from(SECONDS_PER_DAY));
        let date = Date::constant(1970, 1, 1).checked_add(jiff::Span::new().days(days));
        let date = date.map_or_else(|_| format!("day {days}"), |d| d.to_string());
        let clock = format!(
            "{:02}:{:02}:{:02}",
            second / 3_600,
            second / 60 % 60,
            second % 60
        );
        format!("{date}T{clock}{}", Value::Offset(offset))
    }

    /// Parses local time in the format of [`Moment::local`]; `offset` applies if the text has none.
    pub fn parse(text: &str, offset: i32) -> Option<Moment> {
        let (date, rest) = text.split_once('T')?;
        let date: Date = date.parse().ok()?;
        let (clock, offset) = match rest.find(['+', '-', 'Z', 'U']) {
            None => (rest, offset),
            Some(at) if matches!(&rest[at..], "Z" | "UTC") => (&rest[..at], 0),
            Some(at) => match Type::Offset.parse(&rest[at..]) {
                Ok(Value::Offset(stated)) => (&rest[..at], stated),
                _ => return None,
            },
        };
        let mut parts = clock.split(':').map(|p| p.parse::<i64>().ok());
        let (hour, minute) = (parts.next()??, parts.next()??);
        let second = parts.next().unwrap_or(Some(0))?;
        let is_valid =
            (0..24).contains(&hour) && (0..60).contains(&minute) && (0..60).contains(&second);
        if !is_valid || parts.next().is_some() {
            return None;
        }
        let days = Date::constant(1970, 1, 1).until(date).ok()?.get_days();
        let seconds =
            i64::from(days) * i64::from(SECONDS_PER_DAY) + hour * 3_600 + minute * 60 + second
                - i64::from(offset);
        Some(Moment::from_unix(Duration::from_secs(
            u64::try_from(seconds).ok()?,
        )))
    }
}
