//! Decision about a request that is beyond its tenant's quota.

/// Why a loan was denied.
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
    /// The state of the membership does not permit lending.
    Membership,
    /// The fleet is not bootstrapped, or this proxy has no lease from a majority.
    NoLease,
    /// The tenant has an open loan whose term is over.
    InDefault,
    /// This proxy's part of the rule's rate of loans is used up.
    Rate,
    /// This proxy's part of the credit limit is used up.
    CreditLimit,
    /// The durable state has to reserve more before more is lent.
    NotReserved,
    /// The maximum number of tenants with balances is reached.
    TooManyTenants,
}

impl DenialReason {
    /// Label value of the metric.
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

/// Whether a request beyond quota may borrow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request borrows: its cost is owed from now on.
    Borrowed,
    /// The request does not borrow.
    Denied(DenialReason),
}
