//! The policy table: which operations are allowed in which quorum state.

use std::fmt;

use crate::quorum::QuorumState;

/// An operation of another part of the proxy that the state of the fleet may forbid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GuardedOperation {
    /// Lend quota to another proxy.
    Lend,
    /// Use quota that this proxy holds.
    SpendOwn,
    /// Give borrowed quota back.
    Repay,
    /// Take a rollout to more of the fleet.
    Promote,
    /// Stop a rollout, or roll it back.
    Halt,
    /// Act on a fact that another member published.
    TrustRemoteFact,
}

/// What the policy table says of an operation in a quorum state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// Always.
    Allowed,
    /// Never.
    Denied,
    /// Only while every reachable member has the same version of the roster.
    IfRosterAgreed,
    /// While the fact has not expired; `Core::facts` returns no others.
    UntilExpiry,
}

/// Permissions of each operation in the states complete, degraded, minority, alone, and while the process suspects itself.
/// `docs/design/members.md` shows the same table; a test compares the two.
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

/// Looks an operation up. A process that suspects itself has a column of its own, whatever its last quorum state was.
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

/// Why an operation may not be done now. All but `Left` can pass by themselves.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OperationDenied {
    #[error("{alive} of {total} members{} are heard, or not for long enough ({state}): look at the network between \
             proxies, or wait", InRegion(.region))]
    /// Too few members of the fleet or the region are alive.
    NoQuorum {
        /// The quorum state.
        state: QuorumState,
        /// Members that are alive, this one included.
        alive: usize,
        /// Members of the roster.
        total: usize,
        /// The region, if its members alone were counted.
        region: Option<String>,
    },
    /// This process was paused, or nobody answers its probes.
    #[error(
        "this process was paused or late, and has not heard enough others again: wait a few periods; if it \
             lasts, the host is overloaded"
    )]
    SelfSuspected,
    /// So many members have another version of the roster.
    #[error(
        "{0} members say another version of the roster: bring all proxies to one roster first"
    )]
    RosterDiffers(usize),
    /// No member of the roster is in that region.
    #[error("no member of the roster is in region {0:?}: ask for one that the roster has")]
    UnknownRegion(String),
    /// This process has left the fleet.
    #[error("this proxy has left the fleet: start it again to come back")]
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
