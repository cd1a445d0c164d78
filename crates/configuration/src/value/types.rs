//! The types of values in a table: their names, their bounds, and parsing a word to a value.

use super::calendar::{parse_dates, parse_hours, parse_offset, parse_weekdays};
use super::network::parse_network;
use super::number::{parse_count, parse_groups, parse_number};
use super::rate::parse_rate;
use super::share::parse_share;
use super::units::{format_size, format_time, parse_size, parse_time};
use super::{ParseError, Share, Value};
use crate::diagnostic::nearest;
use crate::syntax::is_name;
use std::net::SocketAddr;
use std::time::Duration;

/// The type of a value, with its bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Type {
    /// A duration.
    Time {
        /// Minimum.
        least: Duration,
        /// Maximum.
        most: Duration,
    },
    /// A size in bytes.
    Size {
        /// Minimum.
        least: u64,
        /// Maximum.
        most: u64,
    },
    /// A number of events per unit of time.
    Rate {
        /// Minimum.
        least: u32,
        /// Maximum.
        most: u32,
    },
    /// A part of a whole.
    Share {
        /// Minimum.
        least: Share,
        /// Maximum.
        most: Share,
    },
    /// A whole number.
    Count {
        /// Minimum.
        least: u64,
        /// Maximum.
        most: u64,
    },
    /// A decimal number without a unit.
    Number {
        /// Minimum.
        least: f64,
        /// Maximum.
        most: f64,
    },
    /// An address with its port.
    Address,
    /// One of these words.
    Choice(&'static [&'static str]),
    /// The name of a section with this keyword.
    Reference(&'static str),
    /// A name that is defined outside of the file; any text that is not empty.
    Name,
    /// A text that is not empty.
    Text {
        /// Maximum length in bytes.
        most: usize,
    },
    /// A network in CIDR notation.
    Network,
    /// A group or a range of groups.
    Groups,
    /// A date or a range of dates, with or without a year.
    Dates,
    /// A day of the week or a range of them.
    Weekdays,
    /// A range of hours of the day.
    Hours,
    /// An offset from UTC.
    Offset,
}

impl Type {
    /// Name of the type, for messages and the operators' page.
    pub fn name(&self) -> String {
        match self {
            Type::Time { .. } => "time".into(),
            Type::Size { .. } => "size".into(),
            Type::Rate { .. } => "rate".into(),
            Type::Share { .. } => "share".into(),
            Type::Count { .. } => "count".into(),
            Type::Number { .. } => "number".into(),
            Type::Address => "address".into(),
            Type::Choice(words) => words.join(" or "),
            Type::Reference(section) => format!("name of a {section}"),
            Type::Name => "name".into(),
            Type::Text { .. } => "text".into(),
            Type::Network => "network".into(),
            Type::Groups => "groups".into(),
            Type::Dates => "dates".into(),
            Type::Weekdays => "weekdays".into(),
            Type::Hours => "hours".into(),
            Type::Offset => "offset".into(),
        }
    }

    /// The bounds as text for the operators' page; empty if there are none.
    pub fn range(&self) -> String {
        match self {
            Type::Time { least, most } => {
                format!("{} to {}", format_time(*least), format_time(*most))
            }
            Type::Size { least, most } => {
                format!("{} to {}", format_size(*least), format_size(*most))
            }
            Type::Rate { least, most } => format!("{least} to {most} per unit of time"),
            Type::Share { least, most } => format!("{least} to {most}"),
            Type::Count { least, most } => format!("{least} to {most}"),
            Type::Number { least, most } => format!("{least} to {most}"),
            Type::Text { most } => format!("up to {most} bytes"),
            Type::Groups => "0 to 4294967295".into(),
            Type::Offset => "-14:00 to +14:00".into(),
            _ => String::new(),
        }
    }

    /// Parses a word. Fails if it is not a value of this type or out of bounds.
    pub fn parse(&self, word: &str) -> Result<Value, ParseError> {
        match *self {
            Type::Time { least, most } => {
                check_bounds(parse_time(word)?, least, most, format_time).map(Value::Time)
            }
            Type::Size { least, most } => {
                check_bounds(parse_size(word)?, least, most, format_size).map(Value::Size)
            }
            Type::Rate { least, most } => {
                let rate = parse_rate(word)?;
                check_bounds(rate.number, least, most, |n| n.to_string())?;
                Ok(Value::Rate(rate))
            }
            Type::Share { least, most } => {
                check_bounds(parse_share(word)?, least, most, |s| s.to_string()).map(Value::Share)
            }
            Type::Count { least, most } => {
                check_bounds(parse_count(word)?, least, most, |n| n.to_string()).map(Value::Count)
            }
            Type::Number { least, most } => {
                check_bounds(parse_number(word)?, least, most, |n| n.to_string()).map(Value::Number)
            }
            Type::Address => parse_address(word).map(Value::Address),
            Type::Choice(words) => parse_choice(word, words).map(Value::Choice),
            Type::Reference(_) => parse_reference(word).map(Value::Name),
            Type::Name if word.is_empty() => Err(ParseError::new("the name is empty")),
            Type::Name => Ok(Value::Name(word.to_owned())),
            Type::Text { most } => parse_text(word, most).map(Value::Text),
            Type::Network => parse_network(word).map(Value::Network),
            Type::Groups => parse_groups(word).map(Value::Groups),
            Type::Dates => parse_dates(word).map(Value::Dates),
            Type::Weekdays => parse_weekdays(word).map(Value::Weekdays),
            Type::Hours => parse_hours(word).map(Value::Hours),
            Type::Offset => parse_offset(word).map(Value::Offset),
        }
    }
}

fn parse_address(word: &str) -> Result<SocketAddr, ParseError> {
    word.parse().map_err(|_| {
        ParseError::new(format!("{word:?} is not a valid address"))
            .help("write an IP address with a port, like 127.0.0.1:5433 or [::1]:5433")
    })
}

fn parse_choice(word: &str, words: &[&'static str]) -> Result<&'static str, ParseError> {
    if let Some(found) = words.iter().find(|w| **w == word) {
        return Ok(found);
    }
    let error = ParseError::new(format!(
        "{word:?} is not one of the allowed values {}",
        words.join(", ")
    ));
    Err(match nearest(word, words.iter().copied()) {
        Some(near) => error.help(format!("did you mean {near}?")),
        None => error,
    })
}

fn parse_reference(word: &str) -> Result<String, ParseError> {
    if is_name(word) {
        return Ok(word.to_owned());
    }
    Err(ParseError::new(format!("{word:?} is not a valid name"))
        .help("a name begins with a letter and contains only letters, digits, - and _"))
}

/// `most`: maximum length in bytes.
fn parse_text(word: &str, most: usize) -> Result<String, ParseError> {
    if word.len() > most {
        return Err(ParseError::new(format!(
            "the text has {} bytes; the maximum is {most}",
            word.len()
        )));
    }
    if word.is_empty() {
        return Err(ParseError::new("the text is empty"));
    }
    Ok(word.to_owned())
}

fn check_bounds<T: PartialOrd + Copy>(
    value: T,
    least: T,
    most: T,
    show: impl Fn(T) -> String,
) -> Result<T, ParseError> {
    let range = || format!("the allowed range is {} to {}", show(least), show(most));
    if value < least {
        Err(ParseError::new(format!("{} is too small", show(value))).help(range()))
    } else if value > most {
        Err(ParseError::new(format!("{} is too large", show(value))).help(range()))
    } else {
        Ok(value)
    }
}
