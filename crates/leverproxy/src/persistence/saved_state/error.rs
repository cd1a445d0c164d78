//! Why state is not recovered or not saved.

use crate::persistence::directory_lock::LockError;
use persistent_state::SnapshotError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why state is not recovered or not saved. The proxy serves without it.
#[derive(Debug, Error)]
pub enum PersistenceError {
    /// The directory cannot be locked.
    #[error("memory: {0}")]
    Lock(#[from] LockError),
    /// The file cannot be read.
    #[error("memory: {0} can't be read: {1}")]
    Read(PathBuf, #[source] io::Error),
    /// The file has been read, and is not used.
    #[error("memory: {0}: {1}")]
    Unusable(PathBuf, #[source] SnapshotError),
    /// The file cannot be written.
    #[error("memory: {0} can't be written: {1}")]
    Write(PathBuf, #[source] io::Error),
    /// The endpoint list of so many bytes is not saved.
    #[error("memory: the list has {0} bytes: it is too long to be kept")]
    TooLong(usize),
    /// Discovery's change counter is lower than the saved one.
    #[error("memory: discovery counts {received}, and had counted {saved} before this start")]
    IndexRegressed {
        /// The saved counter.
        saved: u64,
        /// Discovery's counter now.
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

    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            PersistenceError::Lock(error) => error.advice(),
            PersistenceError::Read(..) => {
                "Make the directory of `memory` readable for the proxy's user. The proxy has started without what was kept: take out again by hand what was out."
            }
            PersistenceError::Unusable(_, fault) => fault.advice(),
            PersistenceError::Write(..) => {
                "Make room on the disk, and let the proxy's user write in the directory of `memory`. Until then calls are answered with `not kept`: what is out by hand serves again after a kill. It is tried again, at last once a minute."
            }
            PersistenceError::TooLong(_) => {
                "The servers that are out by hand are kept all the same. After a power loss this proxy begins with the platform's list or waits for discovery's."
            }
            PersistenceError::IndexRegressed { .. } => {
                "Discovery has lost changes that it had told, or is another one. Its list counts; see that it has all servers, and that those are drained that should be."
            }
        }
    }
}
