//! The values of the language: their types, parsers and written forms.

mod calendar;
mod error;
mod network;
mod number;
mod rate;
mod share;
#[cfg(test)]
mod tests;
mod types;
mod units;

pub use calendar::{Dates, Hours, SECONDS_PER_DAY, WEEKDAYS, YEAR_RANGE};
pub use error::ParseError;
pub use rate::Rate;
pub use share::Share;
pub use types::Type;
pub use units::{format_size, format_time};

use ipnet::IpNet;
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

/// A value of a directive.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A duration.
    Time(Duration),
    /// A size in bytes.
    Size(u64),
    /// A number of events per unit of time.
    Rate(Rate),
    /// A part of a whole.
    Share(Share),
    /// A whole number.
    Count(u64),
    /// A decimal number without a unit.
    Number(f64),
    /// An address with its port.
    Address(SocketAddr),
    /// One of a fixed set of words.
    Choice(&'static str),
    /// A name.
    Name(String),
    /// Any text.
    Text(String),
    /// A network.
    Network(IpNet),
    /// A range of groups.
    Groups(RangeInclusive<u32>),
    /// A range of dates.
    Dates(Dates),
    /// Days of the week: a bit for each day, Monday in the lowest bit.
    Weekdays(u8),
    /// A range of hours of the day.
    Hours(Hours),
    /// Offset from UTC in seconds, positive to the east.
    Offset(i32),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Time(value) => f.write_str(&format_time(*value)),
            Value::Size(value) => f.write_str(&format_size(*value)),
            Value::Rate(value) => value.fmt(f),
            Value::Share(value) => value.fmt(f),
            Value::Count(value) => value.fmt(f),
            Value::Number(value) => value.fmt(f),
            Value::Address(value) => value.fmt(f),
            Value::Choice(value) => f.write_str(value),
            Value::Name(value) => f.write_str(value),
            Value::Text(value) => write!(f, "{value:?}"),
            Value::Network(value) => value.fmt(f),
            Value::Groups(value) if value.start() == value.end() => value.start().fmt(f),
            Value::Groups(value) => write!(f, "{}-{}", value.start(), value.end()),
            Value::Dates(Dates::Once(from, to)) => write!(f, "{from}..{to}"),
            Value::Dates(Dates::Yearly(from, to)) => {
                write!(f, "{:02}-{:02}..{:02}-{:02}", from.0, from.1, to.0, to.1)
            }
            Value::Weekdays(bits) => {
                let names = WEEKDAYS
                    .iter()
                    .enumerate()
                    .filter(|(at, _)| bits >> at & 1 == 1);
                f.write_str(&names.map(|(_, name)| *name).collect::<Vec<_>>().join(","))
            }
            Value::Hours(Hours { from, to }) => {
                write!(f, "{}-{}", format_clock(*from), format_clock(*to))
            }
            Value::Offset(seconds) => {
                let (sign, minutes) = (
                    if *seconds < 0 { '-' } else { '+' },
                    seconds.unsigned_abs() / 60,
                );
                write!(f, "{sign}{:02}:{:02}", minutes / 60, minutes % 60)
            }
        }
    }
}

fn format_clock(seconds: u32) -> String {
    match seconds % 60 {
        0 => format!("{:02}:{:02}", seconds / 3_600, seconds / 60 % 60),
        s => format!("{:02}:{:02}:{s:02}", seconds / 3_600, seconds / 60 % 60),
    }
}
