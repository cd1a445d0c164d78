//! Rates: so many in a second, minute or hour.

use super::ParseError;
use std::fmt;
use std::time::Duration;

/// A number of events in a span of time.
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

pub(super) fn parse_rate(word: &str) -> Result<Rate, ParseError> {
    const HELP: &str = "write 100/s, 30/min or 5/h";
    let Some((number, unit)) = word.split_once('/') else {
        let error = match word.parse::<u32>() {
            Ok(_) => ParseError::new(format!("the rate {word} has no unit")),
            Err(_) => ParseError::new(format!("{word:?} is no rate")),
        };
        return Err(error.help(HELP));
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
