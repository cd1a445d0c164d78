//! Advice for operators about each error and notice. No match has a wildcard arm, so that an error without advice does not
//! compile.

use crate::{BadFile, IgnoreReason, Notice, RulesError, StoreError};

impl StoreError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            StoreError::Write(_) => {
                "Requests within quota are served as before. Check free space and permissions of the directory that the section `lending` names."
            }
            StoreError::Read(_) => {
                "Check the permissions of the directory that the section `lending` names before other proxies restart: a proxy that starts without stored state no longer counts as a bootstrap member."
            }
        }
    }
}

impl BadFile {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            BadFile::Version => {
                "The other proxies transfer shares to it automatically. Change versions one proxy at a time, since transfers stop when half of the bootstrap members have lost their stored state."
            }
            BadFile::Checksum => {
                "The other proxies transfer shares to it automatically. Do not restore an older copy: the proxy would lend again what it has lent since. Give each proxy its own directory, and check the disk."
            }
            BadFile::Malformed => "The other proxies transfer shares to it automatically. This is a fault of the program: report it with the version.",
        }
    }
}

impl RulesError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            RulesError::TooLong(..) => {
                "Shorten `term` or `write-off` in the tenant's section `credit`, or raise `longest` in the section `lending` to the same value on all proxies."
            }
            RulesError::NoTerm(_) => "Set a `term` in the tenant's section `credit`.",
            RulesError::FloorTooHigh(..) => {
                "Lower `floor` in the tenant's section `credit`: loans are repaid from the part of the quota above the floor."
            }
            RulesError::CreditLimitTooHigh(_) => "Lower the time of `line` in the tenant's section `credit`.",
            RulesError::NameCollision(..) => {
                "Remove the section `credit` of one of the two tenants: their names are defined by the platform, and only one of the two can borrow."
            }
        }
    }
}

impl Notice {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            Notice::BadFile(bad) => bad.advice(),
            Notice::Bootstrapped(_) => "No action is needed.",
            Notice::RosterTooLong(_) => {
                "Name fewer proxies in the sections `member`, or run without loans. Quotas are enforced as before."
            }
            Notice::NameCollision => "Rename one of the two: in its section `member` on all hosts, and in LB_NAME on its own host.",
            Notice::AccountTakenOver(_) => {
                "No action is needed: no heartbeats of its owner arrived for so long that all its loans are over. If the owner is running, check why its messages do not reach the others."
            }
            Notice::AccountLost => {
                "Check why its messages did not reach the others (`lb_member`, `lb_members_state`). It lends again once the others have transferred shares to it, which they do automatically."
            }
            Notice::WrittenOff { .. } => {
                "The tenant borrowed more than it could repay within its term. If this happens often, lower its `line` or its `floor`, or lengthen its `term`."
            }
            Notice::Ignored(IgnoreReason::UnknownSender, _) => {
                "Lending continues. Check which proxy has that name, and whether the sections `member` on this host name all proxies of the fleet."
            }
            Notice::Ignored(IgnoreReason::TooManyIncarnations, _) => {
                "Lending continues without its newest account. The sender restarts repeatedly without its state file: check the directory that its section `lending` names."
            }
            Notice::Ignored(IgnoreReason::TooManyAccounts, _) => {
                "Lending continues without the newest accounts. If no proxy restarts repeatedly without its state file, report this with the version."
            }
            Notice::MessageTooLong(_) => {
                "The other proxies do not receive the message and may lend less, never more. Give fewer tenants a section `credit`; if the notice persists, report it with the version."
            }
        }
    }
}
