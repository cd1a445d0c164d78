//! What an operator can do about each error. No match has a wildcard, so an error without advice does not compile.

use crate::{OperationDenied, PublishError, RosterError};

impl RosterError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            RosterError::MissingSelf(_) => {
                "Add a section `member` of this name to the operators' file, or set LB_NAME to the name that stands there, and start again."
            }
            RosterError::DuplicateName(_) => "Remove one of the sections `member` of that name, and send SIGHUP.",
            RosterError::IdCollision(..) => {
                "Rename one of the two: its section `member` on all hosts, and LB_NAME on its own. Both can't be of one fleet."
            }
        }
    }
}

impl PublishError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            PublishError::KeyTooLong(_) | PublishError::BodyTooLong(_) => {
                "The others keep what they heard before until it lapses. Shorten names of regions and members; if it stays, report it with the build."
            }
            PublishError::TtlTooLong(..) => {
                "The others do not hear it at all. A fault of the program, since what settings may say fits: report it with the build."
            }
            PublishError::CapacityExceeded => {
                "Nothing to set: room comes back as facts lapse. If it stays, fewer sections that tell the others something (`credit`), or a smaller roster."
            }
        }
    }
}

impl OperationDenied {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            OperationDenied::NoQuorum { .. } => {
                "Serving, halting and repaying go on. See who is `down` in `leverproxy status`; if only this proxy hears nobody, look at its key, its `listen` and its firewall. After a cut it comes back by itself within some periods."
            }
            OperationDenied::SelfSuspected => {
                "Wait some periods. If it lasts, or `lb_members_pauses_total` grows, give the host more processor time."
            }
            OperationDenied::RosterDiffers(_) => {
                "Finish bringing the file with one `version` of the roster to all hosts, SIGHUP on each; `lb_members_roster_differs` is then 0."
            }
            OperationDenied::UnknownRegion(_) => {
                "Ask for a region that stands in a section `member`, or give a member that region."
            }
            OperationDenied::Left => "The process has been told to end. Start it again if it is to be of the fleet.",
        }
    }
}
