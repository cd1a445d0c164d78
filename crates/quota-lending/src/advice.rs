//! What an operator can do about each error and notice. No match has a wildcard: an error without advice does not compile.

use crate::{BadFile, IgnoreReason, Notice, RulesError, StoreError};

impl StoreError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            StoreError::Write(_) => {
                "Requests within quota are served as before. Look at room and rights of the folder that the section `lending` names."
            }
            StoreError::Read(_) => {
                "Look at the rights of the folder that the section `lending` names before other proxies start anew: each that starts without memory counts as a founder no more."
            }
        }
    }
}

impl BadFile {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            BadFile::Version => {
                "The others give it shares, by themselves. Change builds one proxy at a time, since gifts end when half of the founders have forgotten."
            }
            BadFile::Checksum => {
                "The others give it shares, by themselves. Do not put an older copy back: it would lend again what was lent since. Give each proxy a folder of its own, and look at the disk."
            }
            BadFile::Malformed => "The others give it shares, by themselves. Report it with the build: this is a fault of the program.",
        }
    }
}

impl RulesError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            RulesError::TooLong(..) => {
                "Shorten term or write-off in its section `credit`. The longest of the section `lending` may be raised instead, the same on all proxies."
            }
            RulesError::NoTerm(_) => "State a term in its section `credit`.",
            RulesError::FloorTooHigh(..) => {
                "Lower the floor in its section `credit`: what is above it is what the stand repays with."
            }
            RulesError::CreditLimitTooHigh(_) => "Lower the seconds of the line in its section `credit`.",
            RulesError::NameCollision(..) => {
                "Leave the section `credit` of one of the two out: names are the platform's, and both can't borrow."
            }
        }
    }
}

impl Notice {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            Notice::BadFile(bad) => bad.advice(),
            Notice::Bootstrapped(_) => "Nothing: all is well.",
            Notice::RosterTooLong(_) => {
                "Let the sections `member` name fewer proxies, or do without loans. Quotas are kept as before."
            }
            Notice::NameCollision => "Rename one of the two: its section `member` on all hosts, and LB_NAME on its own.",
            Notice::AccountTakenOver(_) => {
                "Nothing: its owner had not been heard for long enough that all it lent is over. If the owner is up, look why the others do not hear it."
            }
            Notice::AccountLost => {
                "Look why the others did not hear it (`lb_member`, `lb_members_state`). It lends again when they give it shares, which they do by themselves."
            }
            Notice::WrittenOff { .. } => {
                "The stand borrowed more than it could repay in its term. If it comes often, lower its line or its floor, or lengthen its term."
            }
            Notice::Ignored(IgnoreReason::UnknownSender, _) => {
                "Loans go on. Look which proxy has that name, and whether the sections `member` here name all of the fleet."
            }
            Notice::Ignored(IgnoreReason::TooManyIncarnations, _) => {
                "Loans go on without its newest lane. It starts again and again without its file: look at the folder that its section `lending` names."
            }
            Notice::Ignored(IgnoreReason::TooManyAccounts, _) => {
                "Loans go on without the newest lanes. If no proxy starts again and again without its file, report it with the build."
            }
            Notice::MessageTooLong(_) => {
                "Others do not hear it and may lend less, never more. Give fewer stands a section `credit`; if it stays, report it with the build."
            }
        }
    }
}
