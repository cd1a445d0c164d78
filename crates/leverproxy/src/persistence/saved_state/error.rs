//! Errors of recovering and saving state.

use crate::persistence::directory_lock::LockError;
use persistent_state::SnapshotError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why state was not recovered or not saved. The proxy serves without it.
#[derive(Debug, Error)]
pub enum PersistenceError {
    /// The directory cannot be locked.
    #[error("memory: {0}")]
    Lock(#[from] LockError),
    /// The file cannot be read.
    #[error("memory: {0} cannot be read: {1}")]
    Read(PathBuf, #[source] io::Error),
    /// The file can be read, but its content is rejected.
    #[error("memory: {0}: {1}")]
    Unusable(PathBuf, #[source] SnapshotError),
    /// The file cannot be written.
    #[error("memory: {0} cannot be written: {1}")]
    Write(PathBuf, #[source] io::Error),
    /// The endpoint list, of this many bytes, is too long to be saved.
    #[error("memory: the endpoint list of {0} bytes is too long to be saved")]
    TooLong(usize),
    /// The index of discovery's list is lower than that of the saved list.
    #[error("memory: discovery's list has index {received}, lower than the index {saved} saved before this start")]
    IndexRegressed {
        /// Index of the saved list.
        saved: u64,
        /// Index of the list received from discovery.
        received: u64,
    },
}

impl PersistenceError {
    /// Whether the directory is another proxy's.
    pub(super) fn is_foreign(&self) -> bool {
        matches!(
            self,
            PersistenceError::Unusable(_, SnapshotError::WrongProxy(_))
        )
    }

    /// Advice for operators.
    pub fn advice(&self) -> &'static str {
        match self {
            PersistenceError::Lock(error) => error.advice(),
            PersistenceError::Read(..) => {
                "Make the directory of `memory` readable for the proxy's user. The proxy has started without the saved state: exclude again the servers that operators had excluded."
            }
            PersistenceError::Unusable(_, fault) => fault.advice(),
            PersistenceError::Write(..) => {
                "Free space on the disk, and make the directory of `memory` writable for the proxy's user. Until then calls are answered with `not kept`, and servers that operators have excluded serve again after a kill. The save is retried, eventually once a minute."
            }
            PersistenceError::TooLong(_) => {
                "Servers that operators have excluded are saved nevertheless. After a power loss this proxy starts with the platform's list or waits for discovery's."
            }
            PersistenceError::IndexRegressed { .. } => {
                "Discovery has lost changes that it had sent, or was replaced by another instance. Its list is used; check that it contains all servers, and that the servers to be drained are drained."
            }
        }
    }
}
