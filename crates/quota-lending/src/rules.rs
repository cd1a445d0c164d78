//! Lending rules: how much a tenant may borrow, in which classes, and in which time it repays.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::identity::name_number;

/// An amount in thousandths of a request.
pub type MilliRequests = u64;

/// Largest floor, in thousandths of the quota: some quota must remain to be withheld for repayment.
const MAX_FLOOR: u32 = 990;
/// Exclusive upper bound of credit limits, so that sums of them don't overflow.
const CREDIT_LIMIT_END: MilliRequests = 1 << 60;

/// Lending rule of one tenant.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Rule {
    /// Credit limit of the whole fleet, as the time in which the quota amounts to it.
    pub limit_time: Duration,
    /// Quota of the whole fleet, per second.
    pub quota: MilliRequests,
    /// Time in which a loan has to be repaid.
    pub term: Duration,
    /// Time from the end of the term until the unpaid rest is written off.
    pub write_off: Duration,
    /// Part of its quota that the tenant always keeps, in thousandths.
    pub floor: u32,
    /// Classes of requests that may borrow.
    pub classes: Vec<String>,
    /// Maximum that all proxies together lend per second.
    pub max_rate: MilliRequests,
}

impl Rule {
    /// Credit limit of the whole fleet.
    pub fn credit_limit(&self) -> MilliRequests {
        let amount = self.limit_time.as_millis() * u128::from(self.quota) / 1000;
        MilliRequests::try_from(amount).unwrap_or(MilliRequests::MAX)
    }

    /// Maximum part of the quota that is withheld, in thousandths.
    pub(crate) fn max_withheld(&self) -> u32 {
        1000_u32.saturating_sub(self.floor)
    }
}

/// Why rules are rejected; the previous rules stay in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RulesError {
    /// Term and write-off time of the tenant together exceed the configured maximum.
    #[error(
        "tenant {0}: term and write-off together exceed {1:?}, the maximum loan time of this fleet"
    )]
    TooLong(String, Duration),
    /// The tenant's term is zero.
    #[error("tenant {0}: the term is zero; set the time in which a loan is repaid")]
    NoTerm(String),
    /// The tenant's floor, in thousandths, is too high.
    #[error("tenant {0}: a floor of {1} thousandths of the quota leaves too little to repay with; at most 990 are allowed")]
    FloorTooHigh(String, u32),
    /// The tenant's credit limit is too high.
    #[error("tenant {0}: the credit limit (`line`) is too large to be represented; lower its time or the quota")]
    CreditLimitTooHigh(String),
    /// Two tenants' names have the same [`name_number`].
    #[error("tenants {0} and {1}: their names have the same hash; rename one of them")]
    NameCollision(String, String),
}

/// Rules of all tenants that may borrow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Rules {
    /// Key: number of the tenant's name. Value: the name and its rule.
    pub(crate) by_tenant: BTreeMap<u32, (String, Rule)>,
}

impl Rules {
    /// Checks the rules, given as pairs of a tenant's name and its rule. Term and write-off time together must not exceed
    /// `max_loan_time`.
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
    let loan_time = rule.term.checked_add(rule.write_off);
    if loan_time.is_none_or(|loan_time| loan_time > max_loan_time) {
        return Err(RulesError::TooLong(name.to_owned(), max_loan_time));
    }
    if rule.floor > MAX_FLOOR {
        return Err(RulesError::FloorTooHigh(name.to_owned(), rule.floor));
    }
    if rule.credit_limit() >= CREDIT_LIMIT_END {
        return Err(RulesError::CreditLimitTooHigh(name.to_owned()));
    }
    Ok(())
}
