//! A lock that gives one process exclusive use of a directory.

use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a directory cannot be locked.
#[derive(Debug, Error)]
pub enum LockError {
    /// Another process holds the lock. During a hot restart this is the old process, until it ends.
    #[error("{0} is held by another process")]
    Held(PathBuf),
    /// The lock file cannot be opened or locked.
    #[error("{0} cannot be locked: {1}")]
    Io(PathBuf, #[source] io::Error),
}

impl LockError {
    /// Advice for operators.
    pub fn advice(&self) -> &'static str {
        match self {
            LockError::Held(_) => {
                "During an upgrade, wait until the old process has ended: the lock is retried twice a second; otherwise find \
                 the other process that uses this directory, and give each proxy a directory of its own"
            }
            LockError::Io(..) => "Create the directory, and make it writable for the proxy's user",
        }
    }
}

/// A lock on a directory, released when dropped.
#[derive(Debug)]
pub struct DirectoryLock {
    _file: File,
}

impl DirectoryLock {
    /// Locks `directory` by the file `name` in it, without waiting.
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
