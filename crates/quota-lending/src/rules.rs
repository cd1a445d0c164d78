//! What a tenant may borrow.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::identity::name_number;

/// Amounts in thousandths of a request.
pub type MilliRequests = u64;

/// The largest floor, in thousandths: some quota must be left to repay with.
const FLOOR_MOST: u32 = 990;
/// Credit limits are below this, so that sums of them don't overflow.
const CREDIT_LIMIT_END: MilliRequests = 1 << 60;

/// The rule of one tenant.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Rule {
    /// The credit limit, as a time of the quota of the whole fleet.
    pub limit_time: Duration,
    /// The quota of the whole fleet, a second.
    pub quota: MilliRequests,
    /// Time in which a loan is repaid.
    pub term: Duration,
    /// Time after the term until the rest is written off.
    pub write_off: Duration,
    /// The part of its quota that the tenant always keeps, in thousandths.
    pub floor: u32,
    /// Classes of requests that are lent to.
    pub classes: Vec<String>,
    /// The most that all proxies together lend in a second.
    pub max_rate: MilliRequests,
}

impl Rule {
    /// The credit limit of the whole fleet.
    pub fn credit_limit(&self) -> MilliRequests {
        let amount = self.limit_time.as_millis() * u128::from(self.quota) / 1000;
        MilliRequests::try_from(amount).unwrap_or(MilliRequests::MAX)
    }

    /// The most thousandths of the quota that are withheld.
    pub(crate) fn most_withheld(&self) -> u32 {
        1000_u32.saturating_sub(self.floor)
    }
}

/// Why rules are rejected; the former stay.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RulesError {
    /// The tenant's loans last longer than permitted.
    #[error(
        "stand {0}: term and write-off together are longer than {1:?}, the longest that this fleet lends for"
    )]
    TooLong(String, Duration),
    /// The tenant's term is zero.
    #[error("stand {0}: the term is zero: say in which time a loan is repaid")]
    NoTerm(String),
    /// The tenant's floor, in thousandths, is too high.
    #[error("stand {0}: a floor of {1} thousandths of the quota leaves nothing to repay with, at most 990")]
    FloorTooHigh(String, u32),
    /// The tenant's credit limit is too high.
    #[error("stand {0}: the line is more than can be counted: lower its seconds or the quota")]
    CreditLimitTooHigh(String),
    /// Two names have the same [`name_number`].
    #[error("stands {0} and {1} have the same number: rename one")]
    NameCollision(String, String),
}

/// The rules of all tenants that may borrow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Rules {
    /// Name and rule, by the name's number.
    pub(crate) by_tenant: BTreeMap<u32, (String, Rule)>,
}

impl Rules {
    /// Checks the rules of tenants, by name; no loan may last longer than `max_loan_time`.
    pub fn new(rules: Vec<(String, Rule)>, max_loan_time: Duration) -> Result<Self, RulesError> {
        let mut by_tenant: BTreeMap<u32, (String, Rule)> = BTreeMap::new();
        for (name, rule) in rules {
            check(&name, &rule, max_loan_time)?;
            if let Some((other, _)) = by_tenant.insert(name_number(&name), (name.clone(), rule)) {
                return Err(RulesError::NameCollision(other, name));
            }
        }
        Ok(Self { by_tenant })
    }
}

fn check(name: &str, rule: &Rule, max_loan_time: Duration) -> Result<(), RulesError> {
    if rule.term.is_zero() {
        return Err(RulesError::NoTerm(name.to_owned()));
    }
    let lasts = rule.term.checked_add(rule.write_off);
    if lasts.is_none_or(|lasts| lasts > max_loan_time) {
        return Err(RulesError::TooLong(name.to_owned(), max_loan_time));
    }
    if rule.floor > FLOOR_MOST {
        return Err(RulesError::FloorTooHigh(name.to_owned(), rule.floor));
    }
    if rule.credit_limit() >= CREDIT_LIMIT_END {
        return Err(RulesError::CreditLimitTooHigh(name.to_owned()));
    }
    Ok(())
}
