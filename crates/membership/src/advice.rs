//! What an operator can do about each error, longer than its message says it. No match has a wildcard: an error without
//! advice does not compile.

use crate::{Denied, RosterError, TellError};

impl RosterError {
    pub fn advice(&self) -> &'static str {
        match self {
            RosterError::WithoutMe(_) => {
                "Add a section `member` of this name to the operators' file, or set LB_NAME to the name that stands there, and start again."
            }
            RosterError::Twice(_) => "Remove one of the sections `member` of that name, and send SIGHUP.",
            RosterError::SameNumber(..) => {
                "Rename one of the two: its section `member` on all hosts, and LB_NAME on its own. Both can't be of one fleet."
            }
        }
    }
}

impl TellError {
    pub fn advice(&self) -> &'static str {
        match self {
            TellError::Key(_) | TellError::Body(_) => {
                "The others keep what they heard before until it lapses. Shorten names of regions and members; if it stays, report it with the build."
            }
            TellError::Lasts(..) => {
                "The others do not hear it at all. A fault of the program, since what settings may say fits: report it with the build."
            }
            TellError::Full => {
                "Nothing to set: room comes back as facts lapse. If it stays, fewer sections that tell the others something (`credit`), or a smaller roster."
            }
        }
    }
}

impl Denied {
    pub fn advice(&self) -> &'static str {
        match self {
            Denied::TooFew { .. } => {
                "Serving, halting and repaying go on. See who is `down` in `leverproxy status`; if only this proxy hears nobody, look at its key, its `listen` and its firewall. After a cut it comes back by itself within some periods."
            }
            Denied::Doubting => {
                "Wait some periods. If it lasts, or `lb_members_pauses_total` grows, give the host more processor time."
            }
            Denied::RosterDiffers(_) => {
                "Finish bringing the file with one `version` of the roster to all hosts, SIGHUP on each; `lb_members_roster_differs` is then 0."
            }
            Denied::UnknownRegion(_) => {
                "Ask for a region that stands in a section `member`, or give a member that region."
            }
            Denied::Left => "The process has been told to end. Start it again if it is to be of the fleet.",
        }
    }
}
