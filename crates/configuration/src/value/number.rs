//! Whole numbers, numbers with a point, and ranges of numbers.

use super::ParseError;
use std::ops::RangeInclusive;

pub(super) fn parse_count(word: &str) -> Result<u64, ParseError> {
    word.parse().map_err(|_| {
        let error = ParseError::new(format!("{word:?} is no whole number"));
        match word.trim_end_matches(|c: char| c.is_ascii_alphabetic() || c == '%') {
            number if number != word && number.parse::<u64>().is_ok() => {
                error.help("a count is written without a unit")
            }
            _ => error,
        }
    })
}

pub(super) fn parse_number(word: &str) -> Result<f64, ParseError> {
    let plain = word.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    word.parse().ok().filter(|_| plain).ok_or_else(|| {
        ParseError::new(format!("{word:?} is no number")).help("write 2 or 0.35; it has no unit")
    })
}

pub(super) fn parse_groups(word: &str) -> Result<RangeInclusive<u32>, ParseError> {
    let error = || {
        ParseError::new(format!("{word:?} is no group"))
            .help("write a number like 3, or a range like 0-4")
    };
    let number = |text: &str| text.parse::<u32>().map_err(|_| error());
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
