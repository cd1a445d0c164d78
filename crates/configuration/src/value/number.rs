//! Whole numbers, decimal numbers and ranges of groups.

use super::ParseError;
use std::ops::RangeInclusive;

pub(super) fn parse_count(word: &str) -> Result<u64, ParseError> {
    word.parse().map_err(|_| {
        let error = ParseError::new(format!("{word:?} is not a whole number"));
        match word.trim_end_matches(|c: char| c.is_ascii_alphabetic() || c == '%') {
            number if number != word && number.parse::<u64>().is_ok() => {
                error.help("write the number without a unit")
            }
            _ => error,
        }
    })
}

pub(super) fn parse_number(word: &str) -> Result<f64, ParseError> {
    let plain = word.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    word.parse().ok().filter(|_| plain).ok_or_else(|| {
        ParseError::new(format!("{word:?} is not a number"))
            .help("write a number without a unit, like 2 or 0.35")
    })
}

pub(super) fn parse_groups(word: &str) -> Result<RangeInclusive<u32>, ParseError> {
    let error = || {
        ParseError::new(format!("{word:?} is not a group or a range of groups"))
            .help("write a number like 3, or a range like 0-4")
    };
    let number = |text: &str| text.parse::<u32>().map_err(|_| error());
    let (from, to) = match word.split_once('-') {
        Some((from, to)) => (number(from)?, number(to)?),
        None => (number(word)?, number(word)?),
    };
    if from > to {
        return Err(
            ParseError::new(format!("the range {word} ends before it begins"))
                .help(format!("did you mean {to}-{from}?")),
        );
    }
    Ok(from..=to)
}
