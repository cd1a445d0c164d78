//! Advice for operators on each error. No match has a wildcard, so an error without advice does not compile.

use crate::{OperationDenied, PublishError, RosterError};

impl RosterError {
    /// Advice for operators on this error.
    pub fn advice(&self) -> &'static str {
        match self {
            RosterError::MissingSelf(_) => {
                "Add a section `member` with this name to the operators' file, or set LB_NAME to a name that occurs there, and restart the proxy."
            }
            RosterError::DuplicateName(_) => "Remove one of the sections `member` with that name, and send SIGHUP.",
            RosterError::IdCollision(..) => {
                "Two members with the same id can't be in one fleet. Rename one of them: its section `member` on all hosts, and LB_NAME on its own host."
            }
        }
    }
}

impl PublishError {
    /// Advice for operators on this error.
    pub fn advice(&self) -> &'static str {
        match self {
            PublishError::KeyTooLong(_) | PublishError::BodyTooLong(_) => {
                "The other members keep the previous fact until it expires. Shorten the names of regions and members; if the error remains, report it with the build."
            }
            PublishError::TtlTooLong(..) => {
                "The other members do not receive the fact. This is a fault of the program, since all allowed settings give valid TTLs: report it with the build."
            }
            PublishError::CapacityExceeded => {
                "Wait: space is freed as facts expire. If the error remains, reduce the number of sections that publish facts (`credit`), or the roster."
            }
        }
    }
}

impl OperationDenied {
    /// Advice for operators on this error.
    pub fn advice(&self) -> &'static str {
        match self {
            OperationDenied::NoQuorum { .. } => {
                "Requests are still served, and halting and repaying still work. Look for members that are `down` in `leverproxy status`; if this proxy alone receives nothing from the others, check its key, its `listen` and its firewall. After a network partition heals, the quorum returns by itself within a few probe periods."
            }
            OperationDenied::SelfSuspected => {
                "Wait a few probe periods. If the error remains, or `lb_members_pauses_total` grows, give the host more processor time."
            }
            OperationDenied::RosterDiffers(_) => {
                "Distribute the file with the same `version` of the roster to all hosts, and send SIGHUP on each; `lb_members_roster_differs` is then 0."
            }
            OperationDenied::UnknownRegion(_) => {
                "Name a region that occurs in a section `member`, or assign that region to a member."
            }
            OperationDenied::Left => "The process was requested to end. Start it again if it should belong to the fleet.",
        }
    }
}
