//! Shares of a whole, written as percentages or fractions.

use super::units::Decimal;
use super::ParseError;
use std::fmt;

/// A part of a whole, as an exact fraction.
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

    /// This share of a number, rounded down.
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

const HELP: &str = "write 33%, 12.5% or 1/6";
/// Maximum number of digits after the decimal point of a percentage.
const MAX_PERCENT_DIGITS: u32 = 4;

pub(super) fn parse_share(word: &str) -> Result<Share, ParseError> {
    if let Some((part, whole)) = word.split_once('/') {
        return parse_fraction(part, whole).ok_or_else(|| invalid_share(word));
    }
    if let Some(percent) = word.strip_suffix('%') {
        return parse_percent(percent).ok_or_else(|| invalid_share(word));
    }
    Err(match word.parse::<f64>() {
        Ok(_) => ParseError::new(format!("the share {word} has no unit")).help(HELP),
        Err(_) => invalid_share(word),
    })
}

fn invalid_share(word: &str) -> ParseError {
    ParseError::new(format!("{word:?} is not a valid share")).help(HELP)
}

fn parse_fraction(part: &str, whole: &str) -> Option<Share> {
    let (part, whole) = (part.parse().ok()?, whole.parse().ok()?);
    (whole != 0).then_some(Share { part, whole })
}

fn parse_percent(percent: &str) -> Option<Share> {
    let number = Decimal::parse(percent).filter(|n| n.unit.is_empty())?;
    if number.fraction_digits > MAX_PERCENT_DIGITS {
        return None;
    }
    let scale = 10_u64.pow(number.fraction_digits);
    let part = number
        .whole
        .checked_mul(scale)?
        .checked_add(number.fraction)?;
    Some(Share {
        part: u32::try_from(part).ok()?,
        whole: u32::try_from(100 * scale).ok()?,
    })
}
