//! The policy table: which operations each quorum state allows.

use std::fmt;

use crate::quorum::QuorumState;

/// An operation of another component of the proxy that depends on the state of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GuardedOperation {
    /// Lend quota to another proxy.
    Lend,
    /// Use quota that this proxy holds.
    SpendOwn,
    /// Return borrowed quota.
    Repay,
    /// Extend a rollout to more of the fleet.
    Promote,
    /// Stop a rollout, or roll it back.
    Halt,
    /// Act on a fact that another member published.
    TrustRemoteFact,
}

/// Permission for an operation in a quorum state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// The operation is always allowed.
    Allowed,
    /// The operation is never allowed.
    Denied,
    /// Allowed only while every reachable member has the same version of the roster.
    IfRosterAgreed,
    /// Allowed until the fact expires; `Core::facts` returns no expired facts.
    UntilExpiry,
}

/// Permissions of each operation in the quorum states complete, degraded, minority and alone, and while the process
/// suspects itself. `docs/design/members.md` has the same table; a test compares the two.
pub const POLICY_TABLE: [(GuardedOperation, [Permission; 5]); 6] = {
    const ALLOWED: Permission = Permission::Allowed;
    const DENIED: Permission = Permission::Denied;
    const AGREED: Permission = Permission::IfRosterAgreed;
    const UNTIL_EXPIRY: Permission = Permission::UntilExpiry;
    [
        (
            GuardedOperation::Lend,
            [ALLOWED, ALLOWED, DENIED, DENIED, DENIED],
        ),
        (GuardedOperation::SpendOwn, [ALLOWED; 5]),
        (GuardedOperation::Repay, [ALLOWED; 5]),
        (
            GuardedOperation::Promote,
            [AGREED, AGREED, DENIED, DENIED, DENIED],
        ),
        (GuardedOperation::Halt, [ALLOWED; 5]),
        (GuardedOperation::TrustRemoteFact, [UNTIL_EXPIRY; 5]),
    ]
};

/// Looks up the permission for an operation. The column of a process that suspects itself applies in every quorum state.
pub fn permission(
    operation: GuardedOperation,
    state: QuorumState,
    self_suspected: bool,
) -> Permission {
    let column = match state {
        _ if self_suspected => 4,
        QuorumState::Complete => 0,
        QuorumState::Degraded => 1,
        QuorumState::Minority => 2,
        QuorumState::Alone => 3,
    };
    POLICY_TABLE
        .iter()
        .find(|(of, _)| *of == operation)
        .map_or(Permission::Denied, |(_, permissions)| permissions[column])
}

/// Why an operation is not allowed now. All causes but `Left` can pass without intervention.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OperationDenied {
    #[error("no quorum ({state}): {alive} of {total} members{} are alive, or a better state has not held for \
             long enough: check the network between the proxies, or wait", InRegion(.region))]
    /// Too few members of the fleet or the region are alive.
    NoQuorum {
        /// The quorum state.
        state: QuorumState,
        /// Number of members that are alive, including this process.
        alive: usize,
        /// Number of members of the roster.
        total: usize,
        /// The region, if only its members were counted.
        region: Option<String>,
    },
    /// This process was paused, or no member acknowledges its probes.
    #[error(
        "this proxy was paused or late, or too few members acknowledge its probes: wait a few probe periods; if it \
             lasts, the host is overloaded"
    )]
    SelfSuspected,
    /// The given number of reachable members has another version of the roster.
    #[error(
        "{0} reachable members have another version of the roster: give all proxies the same roster first"
    )]
    RosterDiffers(usize),
    /// The roster has no member in the given region.
    #[error("the roster has no member in region {0:?}: name a region that occurs in the roster")]
    UnknownRegion(String),
    /// This process has left the fleet.
    #[error("this proxy has left the fleet: restart it to rejoin")]
    Left,
}

struct InRegion<'a>(&'a Option<String>);

impl fmt::Display for InRegion<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .as_ref()
            .map_or(Ok(()), |region| write!(f, " of region {region:?}"))
    }
}
