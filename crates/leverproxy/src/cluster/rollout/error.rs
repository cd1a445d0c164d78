//! Errors of versions and of the persisted state.

use configuration::load::FILE_LIMIT;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// An error in the file of a version, or in the persisted state.
#[derive(Debug, Error)]
pub enum RolloutError {
    /// The file of a version can't be read.
    #[error("{} can't be read: {}", .0.display(), .1)]
    Unreadable(PathBuf, String),
    /// The file is larger than the limit of operators' files.
    #[error("{} has more than {FILE_LIMIT} bytes", .0.display())]
    TooLarge(PathBuf),
    /// The text is neither a hash nor a readable file.
    #[error("{0} is not a version hash, and reading it as a file failed: {1}")]
    NotAVersion(String, #[source] Box<RolloutError>),
    /// The directory of candidates has no file with this hash.
    #[error("{} has no file of the hash {}: copy the file there", .0.display(), .1)]
    VersionMissing(PathBuf, String),
    /// The persisted state can't be read.
    #[error("{} can't be read: {}; this proxy starts without it", .0.display(), .1)]
    StateUnreadable(PathBuf, #[source] io::Error),
    /// The persisted state is damaged, or was written by a later build.
    #[error("{} is damaged, or written by a later build: this proxy starts without it, and replaces it", .0.display())]
    StateMalformed(PathBuf),
    /// The state can't be written. The write is retried.
    #[error("{} can't be written: {}; this proxy casts no new votes until it is", .0.display(), .1)]
    PersistFailed(PathBuf, #[source] io::Error),
}

impl RolloutError {
    /// Advice for operators.
    pub fn advice(&self) -> &'static str {
        match self {
            RolloutError::Unreadable(..) => "Give the proxy's user (for a command: the user that runs it) the right to read the file.",
            RolloutError::TooLarge(_) => "A version is an operators' file: name such a file, and move its large sections into files that it includes with `include`.",
            RolloutError::NotAVersion(..) => {
                "Give a file that can be read here, or the 64 hex digits of its SHA-256 (`sha256sum FILE`)."
            }
            RolloutError::VersionMissing(..) => {
                "Copy the file there on this host, byte for byte (check it with `sha256sum`). The directory is searched again every few seconds; only the first 256 files by name are read."
            }
            RolloutError::StateUnreadable(..) => {
                "Check the access rights of the directory `state`, and let nothing else write there. The proxy gets the rollout from the other proxies; it is lost only if all proxies restart at once."
            }
            RolloutError::StateMalformed(_) => {
                "After a return to an earlier build, do nothing: the proxy gets the rollout from the other proxies. Otherwise check the disk, and set `state` to a directory that nothing else writes to. Repeat halts that all proxies have lost."
            }
            RolloutError::PersistFailed(..) => {
                "The rollout waits for this proxy's vote; a halt is published anyway. Check the free space and access rights of the directory `state`; the write is retried every few seconds."
            }
        }
    }
}

/// Logs an error with its advice.
pub(super) fn log_error(error: &RolloutError) {
    log::error!("rollout: {error}. {}", error.advice());
}
