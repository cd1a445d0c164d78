//! Why a proxy can't join its fleet.

use membership::RosterError;
use thiserror::Error;

/// Why a proxy can't join its fleet. A retry needs other settings.
#[derive(Debug, Error)]
pub enum MembersError {
    /// The roster is rejected.
    #[error("members: {0}")]
    Roster(#[from] RosterError),
    /// There are members, but no keys.
    #[error("members: a key file was read for no section: this is a fault of the program")]
    NoKeys,
}

impl MembersError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            MembersError::Roster(error) => error.advice(),
            MembersError::NoKeys => "Report it with the build. Without the section `members` the proxy starts, and serves as before.",
        }
    }
}
