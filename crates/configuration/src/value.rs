//! The types that values of the language have, and how each is written.

use ipnet::IpNet;
use jiff::civil::Date;
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Why a word is no value of its type.
#[derive(Debug, PartialEq, Eq)]
pub struct ParseError {
    /// What is wrong.
    pub message: String,
    /// What would be right.
    pub help: Option<String>,
}

impl ParseError {
    fn new(message: impl Into<String>) -> ParseError {
        ParseError {
            message: message.into(),
            help: None,
        }
    }

    fn help(self, help: impl Into<String>) -> ParseError {
        ParseError {
            help: Some(help.into()),
            ..self
        }
    }
}

/// A part of a whole, exact.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    /// The numerator.
    pub part: u32,
    /// The denominator.
    pub whole: u32,
}

impl Share {
    /// `part` of `whole`.
    pub const fn new(part: u32, whole: u32) -> Share {
        Share { part, whole }
    }

    /// The part of a number, rounded down.
    pub fn of(self, number: usize) -> usize {
        (number as u128 * u128::from(self.part) / u128::from(self.whole.max(1))) as usize
    }
}

impl PartialEq for Share {
    fn eq(&self, other: &Share) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Share {}

impl PartialOrd for Share {
    fn partial_cmp(&self, other: &Share) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Share {
    fn cmp(&self, other: &Share) -> std::cmp::Ordering {
        let cross = |a: u32, b: u32| u64::from(a) * u64::from(b);
        cross(self.part, other.whole).cmp(&cross(other.part, self.whole))
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let hundredths = u64::from(self.part) * 10_000;
        let whole = u64::from(self.whole.max(1));
        match hundredths % whole {
            0 => {
                let (percent, rest) = (hundredths / whole / 100, hundredths / whole % 100);
                match rest {
                    0 => write!(f, "{percent}%"),
                    _ if rest % 10 == 0 => write!(f, "{percent}.{}%", rest / 10),
                    _ => write!(f, "{percent}.{rest:02}%"),
                }
            }
            _ => write!(f, "{}/{}", self.part, self.whole),
        }
    }
}

/// So many in so long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// How many.
    pub number: u32,
    /// In how long.
    pub per: Duration,
}

impl Rate {
    /// The time that one takes.
    pub fn interval(self) -> Duration {
        self.per / self.number.max(1)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unit = match self.per.as_secs() {
            1 => "s",
            60 => "min",
            _ => "h",
        };
        write!(f, "{}/{unit}", self.number)
    }
}

/// Days from one to another; without a year they come back each year.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dates {
    /// From one date to another, once.
    Once(Date, Date),
    /// Month and day of the first and of the last; the last may lie in the next year.
    Yearly((i8, i8), (i8, i8)),
}

/// Seconds after midnight; an end that is not after the start lies on the next day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hours {
    /// The first second.
    pub from: u32,
    /// The second after the last.
    pub to: u32,
}

/// Seconds of a day.
pub const SECONDS_PER_DAY: u32 = 86_400;

/// A value of a directive.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A span of time.
    Time(Duration),
    /// Bytes.
    Size(u64),
    /// A rate.
    Rate(Rate),
    /// A share.
    Share(Share),
    /// A whole number.
    Count(u64),
    /// A number.
    Number(f64),
    /// An address with its port.
    Address(SocketAddr),
    /// One of a fixed choice.
    Choice(&'static str),
    /// A name.
    Name(String),
    /// Any text.
    Text(String),
    /// A network.
    Network(IpNet),
    /// A range of groups.
    Groups(RangeInclusive<u32>),
    /// Dates.
    Dates(Dates),
    /// A bit for each day, Monday first.
    Weekdays(u8),
    /// Hours of the day.
    Hours(Hours),
    /// Seconds east of UTC.
    Offset(i32),
}

/// What a word has to be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Type {
    /// A span of time.
    Time {
        /// The least.
        least: Duration,
        /// The most.
        most: Duration,
    },
    /// Bytes.
    Size {
        /// The least.
        least: u64,
        /// The most.
        most: u64,
    },
    /// A rate.
    Rate {
        /// The least.
        least: u32,
        /// The most.
        most: u32,
    },
    /// A share.
    Share {
        /// The least.
        least: Share,
        /// The most.
        most: Share,
    },
    /// A whole number.
    Count {
        /// The least.
        least: u64,
        /// The most.
        most: u64,
    },
    /// With a point, if need be.
    Number {
        /// The least.
        least: f64,
        /// The most.
        most: f64,
    },
    /// An address with its port.
    Address,
    /// One of these words.
    Choice(&'static [&'static str]),
    /// The name of a section of this keyword.
    Reference(&'static str),
    /// A name that the platform gives meaning to.
    Name,
    /// Any text of at most so many bytes.
    Text {
        /// Bytes.
        most: usize,
    },
    /// A network in CIDR notation.
    Network,
    /// A range of groups.
    Groups,
    /// Dates, with or without a year.
    Dates,
    /// Days of the week.
    Weekdays,
    /// Hours of the day.
    Hours,
    /// An offset from UTC.
    Offset,
}

impl Type {
    /// As the operators' page calls it.
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

    /// The bounds, as the operators' page tells them.
    pub fn range(&self) -> String {
        match self {
            Type::Time { least, most } => {
                format!("{} to {}", format_time(*least), format_time(*most))
            }
            Type::Size { least, most } => {
                format!("{} to {}", format_size(*least), format_size(*most))
            }
            Type::Rate { least, most } => format!("{least} to {most} a unit"),
            Type::Share { least, most } => format!("{least} to {most}"),
            Type::Count { least, most } => format!("{least} to {most}"),
            Type::Number { least, most } => format!("{least} to {most}"),
            Type::Text { most } => format!("up to {most} bytes"),
            Type::Groups => "0 to 4294967295".into(),
            Type::Offset => "-14:00 to +14:00".into(),
            _ => String::new(),
        }
    }

    /// The value that a word states. Fails if it is none of this type or out of bounds.
    pub fn parse(&self, word: &str) -> Result<Value, ParseError> {
        match *self {
            Type::Time { least, most } => {
                let value = parse_time(word)?;
                bounded(value, least, most, format_time).map(Value::Time)
            }
            Type::Size { least, most } => {
                let value = parse_size(word)?;
                bounded(value, least, most, format_size).map(Value::Size)
            }
            Type::Rate { least, most } => {
                let rate = parse_rate(word)?;
                bounded(rate.number, least, most, |n| n.to_string()).map(|_| Value::Rate(rate))
            }
            Type::Share { least, most } => {
                let share = parse_share(word)?;
                bounded(share, least, most, |s| s.to_string()).map(Value::Share)
            }
            Type::Count { least, most } => {
                let number = parse_count(word)?;
                bounded(number, least, most, |n| n.to_string()).map(Value::Count)
            }
            Type::Number { least, most } => {
                let number = parse_number(word)?;
                bounded(number, least, most, |n| n.to_string()).map(Value::Number)
            }
            Type::Address => word.parse().map(Value::Address).map_err(|_| {
                ParseError::new(format!("{word:?} is no address")).help(
                    "an address is an IP address with a port, like 127.0.0.1:5433 or [::1]:5433",
                )
            }),
            Type::Choice(words) => match words.iter().find(|w| **w == word) {
                Some(found) => Ok(Value::Choice(found)),
                None => {
                    let fault =
                        ParseError::new(format!("{word:?} is not one of {}", words.join(", ")));
                    Err(
                        match crate::diagnostic::nearest(word, words.iter().copied()) {
                            Some(near) => fault.help(format!("did you mean {near}?")),
                            None => fault,
                        },
                    )
                }
            },
            Type::Reference(_) => match crate::load::is_name(word) {
                true => Ok(Value::Name(word.to_owned())),
                false => Err(ParseError::new(format!("{word:?} can't be a name"))
                    .help("a name begins with a letter and holds letters, digits, - and _")),
            },
            Type::Name if word.is_empty() => Err(ParseError::new("a name is empty")),
            Type::Name => Ok(Value::Name(word.to_owned())),
            Type::Text { most } if word.len() > most => Err(ParseError::new(format!(
                "the text has {} bytes; at most {most} are allowed",
                word.len()
            ))),
            Type::Text { .. } if word.is_empty() => Err(ParseError::new("the text is empty")),
            Type::Text { .. } => Ok(Value::Text(word.to_owned())),
            Type::Network => parse_network(word).map(Value::Network),
            Type::Groups => parse_groups(word).map(Value::Groups),
            Type::Dates => parse_dates(word).map(Value::Dates),
            Type::Weekdays => parse_weekdays(word).map(Value::Weekdays),
            Type::Hours => parse_hours(word).map(Value::Hours),
            Type::Offset => parse_offset(word).map(Value::Offset),
        }
    }
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
            Value::Hours(Hours { from, to }) => write!(f, "{}-{}", clock(*from), clock(*to)),
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

fn clock(seconds: u32) -> String {
    match seconds % 60 {
        0 => format!("{:02}:{:02}", seconds / 3_600, seconds / 60 % 60),
        s => format!("{:02}:{:02}:{s:02}", seconds / 3_600, seconds / 60 % 60),
    }
}

fn bounded<T: PartialOrd + Copy>(
    value: T,
    least: T,
    most: T,
    show: impl Fn(T) -> String,
) -> Result<T, ParseError> {
    let range = || format!("the range is {} to {}", show(least), show(most));
    if value < least {
        Err(ParseError::new(format!("{} is too small", show(value))).help(range()))
    } else if value > most {
        Err(ParseError::new(format!("{} is too large", show(value))).help(range()))
    } else {
        Ok(value)
    }
}

const TIME_UNITS: [(&str, u64); 6] = [
    ("d", 86_400_000_000),
    ("h", 3_600_000_000),
    ("min", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];
const SIZE_UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];
/// The days of the week, as they are written.
pub const WEEKDAYS: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];

/// A span in the largest unit that tells it exactly.
pub fn format_time(span: Duration) -> String {
    let micros = span.as_micros();
    let fits = |size: &u64| micros > 0 && micros.is_multiple_of(u128::from(*size));
    // Hours and days only where nothing smaller is needed to read them.
    let (unit, size) = TIME_UNITS
        .iter()
        .find(|(_, size)| fits(size))
        .unwrap_or(&("s", 1_000_000));
    format!("{}{unit}", micros / u128::from(*size))
}

/// A size as it is written.
pub fn format_size(bytes: u64) -> String {
    let (unit, size) = SIZE_UNITS
        .iter()
        .find(|(_, size)| bytes > 0 && bytes.is_multiple_of(*size))
        .unwrap_or(&("B", 1));
    format!("{}{unit}", bytes / size)
}

/// A number and what stands behind it; the number as whole part, digits behind the point and their count.
fn split(word: &str) -> Option<(u64, u64, u32, &str)> {
    let end = word
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(word.len());
    let (number, unit) = word.split_at(end);
    let (whole, rest) = number.split_once('.').unwrap_or((number, ""));
    if whole.is_empty() || number.ends_with('.') || rest.len() > 6 {
        return None;
    }
    let rest_value = if rest.is_empty() {
        0
    } else {
        rest.parse().ok()?
    };
    Some((whole.parse().ok()?, rest_value, rest.len() as u32, unit))
}

fn scaled(word: &str, what: &str, units: &[(&str, u64)], example: &str) -> Result<u64, ParseError> {
    let names = || {
        units
            .iter()
            .rev()
            .map(|(name, _)| *name)
            .collect::<Vec<_>>()
            .join(", ")
    };
    let help = || format!("write {example}; the units are {}", names());
    let Some((whole, rest, digits, unit)) = split(word) else {
        return Err(ParseError::new(format!("{word:?} is no {what}")).help(help()));
    };
    if unit.is_empty() {
        return Err(ParseError::new(format!("the {what} {word} has no unit")).help(help()));
    }
    let Some((_, size)) = units.iter().find(|(name, _)| *name == unit) else {
        let near = units.iter().map(|(name, _)| *name).find(|name| {
            name.eq_ignore_ascii_case(unit) || name.replace('i', "").eq_ignore_ascii_case(unit)
        });
        let fault = ParseError::new(format!("{unit:?} is no unit of a {what}"));
        return Err(match near {
            Some(name) => fault.help(format!("did you mean {name}? the units are {}", names())),
            None => fault.help(help()),
        });
    };
    let part = rest.checked_mul(*size).map(|n| n / 10_u64.pow(digits));
    whole
        .checked_mul(*size)
        .and_then(|n| n.checked_add(part?))
        .ok_or_else(|| ParseError::new(format!("{word} is beyond all bounds")))
}

fn parse_time(word: &str) -> Result<Duration, ParseError> {
    scaled(word, "time", &TIME_UNITS, "200ms, 2s or 5min").map(Duration::from_micros)
}

fn parse_size(word: &str) -> Result<u64, ParseError> {
    scaled(word, "size", &SIZE_UNITS, "512B, 64KiB or 1MiB")
}

fn parse_count(word: &str) -> Result<u64, ParseError> {
    word.parse().map_err(|_| {
        let fault = ParseError::new(format!("{word:?} is no whole number"));
        match word.trim_end_matches(|c: char| c.is_ascii_alphabetic() || c == '%') {
            number if number != word && number.parse::<u64>().is_ok() => {
                fault.help("a count is written without a unit")
            }
            _ => fault,
        }
    })
}

fn parse_number(word: &str) -> Result<f64, ParseError> {
    let plain = word.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    word.parse().ok().filter(|_| plain).ok_or_else(|| {
        ParseError::new(format!("{word:?} is no number")).help("write 2 or 0.35; it has no unit")
    })
}

fn parse_rate(word: &str) -> Result<Rate, ParseError> {
    const HELP: &str = "write 100/s, 30/min or 5/h";
    let Some((number, unit)) = word.split_once('/') else {
        let fault = match word.parse::<u32>() {
            Ok(_) => ParseError::new(format!("the rate {word} has no unit")),
            Err(_) => ParseError::new(format!("{word:?} is no rate")),
        };
        return Err(fault.help(HELP));
    };
    let per = match unit {
        "s" => 1,
        "min" => 60,
        "h" => 3_600,
        _ => return Err(ParseError::new(format!("{unit:?} is no unit of a rate")).help(HELP)),
    };
    let number = number
        .parse()
        .map_err(|_| ParseError::new(format!("{word:?} is no rate")).help(HELP))?;
    Ok(Rate {
        number,
        per: Duration::from_secs(per),
    })
}

fn parse_share(word: &str) -> Result<Share, ParseError> {
    const HELP: &str = "write 33%, 12.5% or 1/6";
    let fault = || ParseError::new(format!("{word:?} is no share")).help(HELP);
    if let Some((part, whole)) = word.split_once('/') {
        let (part, whole) = (
            part.parse().map_err(|_| fault())?,
            whole.parse().map_err(|_| fault())?,
        );
        return if whole == 0 {
            Err(fault())
        } else {
            Ok(Share { part, whole })
        };
    }
    let Some(number) = word.strip_suffix('%') else {
        return Err(match word.parse::<f64>() {
            Ok(_) => ParseError::new(format!("the share {word} has no unit")).help(HELP),
            Err(_) => fault(),
        });
    };
    let Some((whole, rest, digits, "")) = split(number) else {
        return Err(fault());
    };
    let scale = 10_u64.pow(digits.min(4));
    let part = whole
        .checked_mul(scale)
        .and_then(|n| n.checked_add(rest))
        .ok_or_else(fault)?;
    let narrow = |n: u64| u32::try_from(n).map_err(|_| fault());
    if digits > 4 {
        return Err(fault());
    }
    Ok(Share {
        part: narrow(part)?,
        whole: narrow(100 * scale)?,
    })
}

fn parse_network(word: &str) -> Result<IpNet, ParseError> {
    let net: IpNet = match word.parse() {
        Ok(net) => net,
        Err(_) => match word.parse::<std::net::IpAddr>() {
            Ok(address) => address.into(),
            Err(_) => {
                return Err(ParseError::new(format!("{word:?} is no network"))
                    .help("write 10.1.0.0/16, 2001:db8::/32 or a single address"))
            }
        },
    };
    if net.addr() != net.network() {
        return Err(
            ParseError::new(format!("{word} has bits set behind its prefix"))
                .help(format!("did you mean {}?", net.trunc())),
        );
    }
    Ok(net)
}

fn parse_groups(word: &str) -> Result<RangeInclusive<u32>, ParseError> {
    let fault = || {
        ParseError::new(format!("{word:?} is no group"))
            .help("write a number like 3, or a range like 0-4")
    };
    let number = |text: &str| text.parse::<u32>().map_err(|_| fault());
    let (from, to) = match word.split_once('-') {
        Some((from, to)) => (number(from)?, number(to)?),
        None => (number(word)?, number(word)?),
    };
    if from > to {
        return Err(ParseError::new(format!("the range {word} runs backwards"))
            .help(format!("did you mean {to}-{from}?")));
    }
    Ok(from..=to)
}

fn parse_dates(word: &str) -> Result<Dates, ParseError> {
    let fault = |text: &str| {
        ParseError::new(format!("{text:?} is no date"))
            .help("write 2026-10-17..2026-10-31, or 10-17..10-31 for every year")
    };
    let (from, to) = word.split_once("..").unwrap_or((word, word));
    let yearly = |text: &str| -> Option<(i8, i8)> {
        let (month, day) = text.split_once('-')?;
        let whole = month.len() == 2 && day.len() == 2;
        let (month, day) = (month.parse().ok()?, day.parse().ok()?);
        // A leap year: 29 February is a date that some years lack.
        (whole && Date::new(2024, month, day).is_ok()).then_some((month, day))
    };
    let once = |text: &str| -> Option<Date> {
        let date: Date = text.parse().ok()?;
        (text.len() == 10 && (YEAR_RANGE.0..=YEAR_RANGE.1).contains(&date.year())).then_some(date)
    };
    match (once(from), once(to)) {
        (Some(a), Some(b)) if a > b => {
            Err(ParseError::new(format!("the dates {word} run backwards"))
                .help(format!("did you mean {b}..{a}?")))
        }
        (Some(a), Some(b)) => Ok(Dates::Once(a, b)),
        _ => match (yearly(from), yearly(to)) {
            (Some(a), Some(b)) => Ok(Dates::Yearly(a, b)),
            (None, _) if once(from).is_none() => Err(fault(from)),
            _ => Err(fault(to)),
        },
    }
}

/// The first and the last year that a calendar may speak of.
pub const YEAR_RANGE: (i16, i16) = (1970, 2099);

fn parse_weekdays(word: &str) -> Result<u8, ParseError> {
    let day = |text: &str| {
        WEEKDAYS.iter().position(|d| *d == text).ok_or_else(|| {
            ParseError::new(format!("{text:?} is no weekday"))
                .help(format!("the days are {}", WEEKDAYS.join(", ")))
        })
    };
    let (from, to) = word.split_once('-').unwrap_or((word, word));
    let (from, to) = (day(from)?, day(to)?);
    // Over the end of the week where the range runs that way.
    let length = (to + 7 - from) % 7;
    Ok((0..=length).fold(0, |bits, n| bits | 1 << ((from + n) % 7)))
}

fn parse_hours(word: &str) -> Result<Hours, ParseError> {
    const HELP: &str = "write 07:00-09:30, or 22:00-02:00 for a window over midnight";
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
    let fault = || ParseError::new(format!("{word:?} are no hours")).help(HELP);
    let (from, to) = word.split_once('-').ok_or_else(fault)?;
    let (from, to) = (
        moment(from).ok_or_else(fault)?,
        moment(to).ok_or_else(fault)?,
    );
    if from == to || from == SECONDS_PER_DAY || to == 0 {
        return Err(ParseError::new(format!("the hours {word} hold no time")).help(HELP));
    }
    Ok(Hours { from, to })
}

fn parse_offset(word: &str) -> Result<i32, ParseError> {
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
        ParseError::new(format!("{word:?} is no offset from UTC"))
            .help("write +05:45, -03:00 or UTC; named zones are not known")
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn time_of(word: &str) -> Result<Duration, ParseError> {
        parse_time(word)
    }

    #[test]
    fn times_need_a_unit_and_keep_their_value() {
        assert_eq!(time_of("200ms"), Ok(Duration::from_millis(200)));
        assert_eq!(time_of("1.5s"), Ok(Duration::from_millis(1_500)));
        assert_eq!(time_of("5min"), Ok(Duration::from_secs(300)));
        let bare = time_of("200").unwrap_err();
        assert_eq!(bare.message, "the time 200 has no unit");
        assert!(bare.help.unwrap().contains("ms"));
        assert!(time_of("99999999999999999999s").is_err());
        assert!(time_of("18446744073709551615d").is_err());
        for text in ["1us", "250ms", "90s", "36h", "7d"] {
            assert_eq!(
                format_time(time_of(&format_time(time_of(text).unwrap())).unwrap()),
                format_time(time_of(text).unwrap())
            );
        }
    }

    #[test]
    fn shares_are_exact() {
        assert_eq!(parse_share("1/6").unwrap().of(600), 100);
        assert_eq!(parse_share("33%").unwrap().of(1_000), 330);
        assert_eq!(parse_share("12.5%").unwrap(), Share::new(1, 8));
        assert_eq!(Share::new(1, 8).to_string(), "12.5%");
        assert_eq!(Share::new(1, 6).to_string(), "1/6");
        assert!(parse_share("0.5").unwrap_err().message.contains("no unit"));
    }

    #[test]
    fn windows_may_run_over_the_end_of_day_week_and_year() {
        assert_eq!(
            parse_hours("22:00-02:00").unwrap(),
            Hours {
                from: 79_200,
                to: 7_200
            }
        );
        assert_eq!(
            parse_hours("00:00-24:00").unwrap(),
            Hours {
                from: 0,
                to: SECONDS_PER_DAY
            }
        );
        assert!(parse_hours("08:00-08:00").is_err());
        assert_eq!(parse_weekdays("sat-mon").unwrap(), 0b110_0001);
        assert_eq!(
            parse_dates("12-20..01-10").unwrap(),
            Dates::Yearly((12, 20), (1, 10))
        );
        assert!(parse_dates("2026-02-30..2026-03-01").is_err());
        assert!(parse_dates("02-30..03-01").is_err());
        assert!(parse_dates("2026-03-02..2026-03-01").is_err());
    }

    #[test]
    fn networks_hold_no_stray_bits() {
        assert_eq!(
            parse_network("10.1.0.7").unwrap().to_string(),
            "10.1.0.7/32"
        );
        assert!(parse_network("10.1.0.7/16")
            .unwrap_err()
            .help
            .unwrap()
            .contains("10.1.0.0/16"));
        assert!(parse_network("10.1.0.0/33").is_err());
    }
}
