//! Errors that prevent a proxy from joining its fleet.

use membership::RosterError;
use thiserror::Error;

/// Reason why a proxy can't join its fleet. A retry needs other settings.
#[derive(Debug, Error)]
pub enum MembersError {
    /// The roster is rejected.
    #[error("members: {0}")]
    Roster(#[from] RosterError),
    /// The settings have a section `members`, but no keys were read.
    #[error("members: the section members has no keys, as its key file was not read: this is a fault of the program")]
    NoKeys,
}

impl MembersError {
    /// Advice for operators.
    pub fn advice(&self) -> &'static str {
        match self {
            MembersError::Roster(error) => error.advice(),
            MembersError::NoKeys => "Report this fault with the build. Without the section `members` the proxy starts, and serves as before.",
        }
    }
}
