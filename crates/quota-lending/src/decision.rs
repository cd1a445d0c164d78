//! The answer to a request that is beyond its tenant's quota.

/// Why nothing was lent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DenialReason {
    /// The tenant has no rule.
    NoRule,
    /// The rule does not name the request's class.
    Class,
    /// The tenant may not borrow at this time.
    WindowClosed,
    /// Tenants within their quota lack capacity.
    Shortage,
    /// The membership's state does not permit lending.
    Membership,
    /// Not bootstrapped, or no lease from a majority.
    NoLease,
    /// The tenant owes something whose term is over.
    InDefault,
    /// The rule's rate of loans is reached.
    Rate,
    /// This proxy's part of the credit limit is used up.
    CreditLimit,
    /// The stored state has to reserve more first.
    NotReserved,
    /// Too many tenants have balances.
    TooManyTenants,
}

impl DenialReason {
    /// The label of the metric.
    pub fn name(self) -> &'static str {
        match self {
            DenialReason::NoRule => "no-rule",
            DenialReason::Class => "class",
            DenialReason::WindowClosed => "closed",
            DenialReason::Shortage => "short",
            DenialReason::Membership => "view",
            DenialReason::NoLease => "alone",
            DenialReason::InDefault => "default",
            DenialReason::Rate => "rate",
            DenialReason::CreditLimit => "line",
            DenialReason::NotReserved => "unsaved",
            DenialReason::TooManyTenants => "crowded",
        }
    }
}

/// Whether a request beyond quota is lent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is: its cost is owed from now on.
    Borrowed,
    /// It is not.
    Denied(DenialReason),
}
