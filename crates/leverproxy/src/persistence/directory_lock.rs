//! The lock that makes a directory one process's alone.

use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a directory cannot be locked.
#[derive(Debug, Error)]
pub enum LockError {
    /// Another process has the lock. During a hot restart it is the old process until that ends.
    #[error("{0} is held by another process")]
    Held(PathBuf),
    /// The lock file cannot be opened or locked.
    #[error("{0} can't be locked: {1}")]
    Io(PathBuf, #[source] io::Error),
}

impl LockError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            LockError::Held(_) => {
                "in an upgrade, wait until the former process has ended: it is tried again twice a second; else see \
                 who runs under that name, or give each proxy a directory of its own"
            }
            LockError::Io(..) => "make the directory, and let the proxy's user write there",
        }
    }
}

/// The lock on a directory, held until it is dropped.
#[derive(Debug)]
pub struct DirectoryLock {
    _file: File,
}

impl DirectoryLock {
    /// Locks `directory` by the file `name` in it. It does not wait.
    pub fn acquire(directory: &Path, name: &str) -> Result<DirectoryLock, LockError> {
        let path = directory.join(name);
        let io_error = |error| LockError::Io(path.clone(), error);
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&path)
            .map_err(io_error)?;
        match file.try_lock() {
            Ok(()) => Ok(DirectoryLock { _file: file }),
            Err(TryLockError::WouldBlock) => Err(LockError::Held(path)),
            Err(TryLockError::Error(error)) => Err(io_error(error)),
        }
    }
}
