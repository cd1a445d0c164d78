//! What a stand may borrow.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::said::number;

/// Amounts are thousandths of a request.
pub type Milli = u64;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Rule {
    /// The line, as a time of the quota of the whole fleet.
    pub line_time: Duration,
    /// The quota of the whole fleet, in thousandths of a request a second.
    pub quota: Milli,
    /// In which a loan is repaid.
    pub term: Duration,
    /// After the term, how long until what is owed still is written off.
    pub write_off: Duration,
    /// The part of its quota that always stays, in thousandths.
    pub floor: u32,
    /// Classes of requests that loans are made for.
    pub classes: Vec<String>,
    /// The most that all proxies lend in a second.
    pub rate_most: Milli,
}

impl Rule {
    pub fn line(&self) -> Milli {
        let milli = self.line_time.as_millis() * u128::from(self.quota) / 1000;
        Milli::try_from(milli).unwrap_or(Milli::MAX)
    }
}

/// Why rules were not taken; the former stay.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RulesError {
    #[error(
        "stand {0}: term and write-off together are longer than {1:?}, the longest that this fleet lends for"
    )]
    Long(String, Duration),
    #[error("stand {0}: the term is zero: say in which time a loan is repaid")]
    NoTerm(String),
    #[error("stand {0}: a floor of {1} thousandths of the quota leaves nothing to repay with, at most 990")]
    Floor(String, u32),
    #[error("stand {0}: the line is more than can be counted: lower its seconds or the quota")]
    Line(String),
    #[error("stands {0} and {1} have the same number: rename one")]
    Alike(String, String),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Rules {
    pub(crate) by: BTreeMap<u32, (String, Rule)>,
}

impl Rules {
    pub fn new(rules: Vec<(String, Rule)>, longest: Duration) -> Result<Self, RulesError> {
        let mut by: BTreeMap<u32, (String, Rule)> = BTreeMap::new();
        for (name, rule) in rules {
            if rule.term.is_zero() {
                return Err(RulesError::NoTerm(name));
            }
            if rule
                .term
                .checked_add(rule.write_off)
                .is_none_or(|all| all > longest)
            {
                return Err(RulesError::Long(name, longest));
            }
            if rule.floor > 990 {
                return Err(RulesError::Floor(name, rule.floor));
            }
            if rule.line() >= 1 << 60 {
                return Err(RulesError::Line(name));
            }
            if let Some((other, _)) = by.insert(number(&name), (name.clone(), rule)) {
                return Err(RulesError::Alike(other, name));
            }
        }
        Ok(Self { by })
    }
}
