//! What can be wrong with versions and with the persisted state.

use configuration::load::FILE_LIMIT;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// What is wrong with the file of a version, or with the persisted state.
#[derive(Debug, Error)]
pub enum RolloutError {
    /// The file of a version can't be read.
    #[error("{} can't be read: {}", .0.display(), .1)]
    Unreadable(PathBuf, String),
    /// The file is larger than an operators' file may be.
    #[error("{} has more than {FILE_LIMIT} bytes", .0.display())]
    TooLarge(PathBuf),
    /// It is neither a hash nor a file that can be read.
    #[error("{0} is no hash, and as a file: {1}")]
    NotAVersion(String, #[source] Box<RolloutError>),
    /// The directory of candidates has no file of this hash.
    #[error("{} has no file of the hash {}: place it there", .0.display(), .1)]
    VersionMissing(PathBuf, String),
    /// The persisted state can't be read.
    #[error("{} can't be read: {}; this proxy starts without it", .0.display(), .1)]
    StateUnreadable(PathBuf, #[source] io::Error),
    /// The persisted state is torn, or of a later build.
    #[error("{} is torn, or of a later build: this proxy starts without it, and replaces it", .0.display())]
    StateMalformed(PathBuf),
    /// The state can't be written. It is tried again.
    #[error("{} can't be written: {}; this proxy votes for nothing new until it can", .0.display(), .1)]
    PersistFailed(PathBuf, #[source] io::Error),
}

impl RolloutError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            RolloutError::Unreadable(..) => "Give the proxy's user (for a command: the one that runs it) the right to read it.",
            RolloutError::TooLarge(_) => "A version is an operators' file: name that, and let it `include` what makes it large.",
            RolloutError::NotAVersion(..) => {
                "Name a file that can be read here, or the 64 hex digits of its SHA-256 (`sha256sum FILE`)."
            }
            RolloutError::VersionMissing(..) => {
                "Place the file there on this host, unchanged to the byte (`sha256sum` tells). It is looked for again every few seconds; only the first 256 files by name are looked at."
            }
            RolloutError::StateUnreadable(..) => {
                "Look at the rights of `state`, and let nothing else write there. The rollout is heard from the others; only if all start anew at once it is forgotten."
            }
            RolloutError::StateMalformed(_) => {
                "After a return to a former build: nothing, the rollout is heard from the others. Else look at the disk, and give `state` a directory that nothing else writes to. Halts that all proxies have forgotten have to be told again."
            }
            RolloutError::PersistFailed(..) => {
                "The rollout waits for this proxy's vote, and a halt is told all the same. Look at room and rights of `state`; it is tried again every few seconds."
            }
        }
    }
}

/// Logs an error with its advice.
pub(super) fn log_error(error: &RolloutError) {
    log::error!("rollout: {error}. {}", error.advice());
}
