//! Rates: events per second, minute or hour.

use super::ParseError;
use std::fmt;
use std::time::Duration;

/// A number of events per unit of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Number of events.
    pub number: u32,
    /// Unit of time: a second, a minute or an hour.
    pub per: Duration,
}

impl Rate {
    /// Average time between two events.
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
            Err(_) => ParseError::new(format!("{word:?} is not a valid rate")),
        };
        return Err(error.help(HELP));
    };
    let per = match unit {
        "s" => 1,
        "min" => 60,
        "h" => 3_600,
        _ => return Err(ParseError::new(format!("{unit:?} is not a unit of rates")).help(HELP)),
    };
    let number = number
        .parse()
        .map_err(|_| ParseError::new(format!("{word:?} is not a valid rate")).help(HELP))?;
    Ok(Rate {
        number,
        per: Duration::from_secs(per),
    })
}
