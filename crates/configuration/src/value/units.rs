//! Durations and sizes, written with a unit.

use super::ParseError;
use std::time::Duration;

/// Units of time with their length in microseconds, the largest first.
const TIME_UNITS: [(&str, u64); 6] = [
    ("d", 86_400_000_000),
    ("h", 3_600_000_000),
    ("min", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];
/// Units of size with their number of bytes, the largest first.
const SIZE_UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// Formats a duration in the largest unit that represents it exactly.
pub fn format_time(span: Duration) -> String {
    let micros = span.as_micros();
    let fits = |size: &u64| micros > 0 && micros.is_multiple_of(u128::from(*size));
    let (unit, size) = TIME_UNITS
        .iter()
        .find(|(_, size)| fits(size))
        .unwrap_or(&("s", 1_000_000));
    format!("{}{unit}", micros / u128::from(*size))
}

/// Formats a size in the largest unit that represents it exactly.
pub fn format_size(bytes: u64) -> String {
    let (unit, size) = SIZE_UNITS
        .iter()
        .find(|(_, size)| bytes > 0 && bytes.is_multiple_of(*size))
        .unwrap_or(&("B", 1));
    format!("{}{unit}", bytes / size)
}

/// A decimal number as written, followed by a unit.
pub(super) struct Decimal<'a> {
    /// The part before the decimal point.
    pub whole: u64,
    /// The digits after the decimal point, as a number.
    pub fraction: u64,
    /// Number of digits after the decimal point.
    pub fraction_digits: u32,
    /// The text after the number; empty if there is none.
    pub unit: &'a str,
}

impl Decimal<'_> {
    /// Maximum number of digits after the decimal point.
    const MAX_FRACTION_DIGITS: usize = 6;

    /// Parses a word; `None` if it does not begin with a valid decimal number.
    pub fn parse(word: &str) -> Option<Decimal<'_>> {
        let end = word
            .find(|c: char| !c.is_ascii_digit() && c != '.')
            .unwrap_or(word.len());
        let (number, unit) = word.split_at(end);
        let (whole, fraction) = number.split_once('.').unwrap_or((number, ""));
        if whole.is_empty() || number.ends_with('.') || fraction.len() > Self::MAX_FRACTION_DIGITS {
            return None;
        }
        Some(Decimal {
            whole: whole.parse().ok()?,
            fraction: match fraction {
                "" => 0,
                digits => digits.parse().ok()?,
            },
            fraction_digits: fraction.len() as u32,
            unit,
        })
    }

    /// The number multiplied by `size`, rounded down; `None` on overflow.
    fn scaled(&self, size: u64) -> Option<u64> {
        let fraction = self.fraction.checked_mul(size)? / 10_u64.pow(self.fraction_digits);
        self.whole.checked_mul(size)?.checked_add(fraction)
    }
}

/// Parses a number with one of `units`; the result is in the smallest unit.
fn parse_scaled(
    word: &str,
    quantity: &str,
    units: &[(&str, u64)],
    example: &str,
) -> Result<u64, ParseError> {
    let help = || format!("write {example}; the units are {}", unit_names(units));
    let Some(number) = Decimal::parse(word) else {
        return Err(ParseError::new(format!("{word:?} is not a valid {quantity}")).help(help()));
    };
    if number.unit.is_empty() {
        return Err(ParseError::new(format!("the {quantity} {word} has no unit")).help(help()));
    }
    let Some((_, size)) = units.iter().find(|(name, _)| *name == number.unit) else {
        let error = ParseError::new(format!("{:?} is not a unit of {quantity}", number.unit));
        return Err(match similar_unit(number.unit, units) {
            Some(name) => error.help(format!(
                "did you mean {name}? the units are {}",
                unit_names(units)
            )),
            None => error.help(help()),
        });
    };
    number
        .scaled(*size)
        .ok_or_else(|| ParseError::new(format!("{word} is too large to be represented")))
}

/// The names of the units as a list, the smallest first.
fn unit_names(units: &[(&str, u64)]) -> String {
    let names: Vec<&str> = units.iter().rev().map(|(name, _)| *name).collect();
    names.join(", ")
}

/// The unit that differs only in case or in the `i` of binary units.
fn similar_unit<'a>(unit: &str, units: &[(&'a str, u64)]) -> Option<&'a str> {
    units.iter().map(|(name, _)| *name).find(|name| {
        name.eq_ignore_ascii_case(unit) || name.replace('i', "").eq_ignore_ascii_case(unit)
    })
}

pub(super) fn parse_time(word: &str) -> Result<Duration, ParseError> {
    parse_scaled(word, "time", &TIME_UNITS, "200ms, 2s or 5min").map(Duration::from_micros)
}

pub(super) fn parse_size(word: &str) -> Result<u64, ParseError> {
    parse_scaled(word, "size", &SIZE_UNITS, "512B, 64KiB or 1MiB")
}
