//! Small files that outlive the process, in a directory that the operators' file names. Each is written whole to a new name,
//! synced, and put in the place of the former one: what is found is one or the other, never half of each.

use crate::event_loop::system_calls::faults::{self, injected, limited};
use crate::event_loop::system_calls::Call;
use std::collections::hash_map::RandomState;
use std::ffi::OsString;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::hash::BuildHasher;
use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::thread;
use thiserror::Error;

/// Why a directory can't be this process's.
#[derive(Debug, Error)]
pub enum LockError {
    /// In an upgrade the elder has it until it ends.
    #[error("{0} is held by another process")]
    Held(PathBuf),
    #[error("{0} can't be locked: {1}")]
    Io(PathBuf, #[source] io::Error),
}

impl LockError {
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

/// A directory is this process's alone for as long as this lives.
#[derive(Debug)]
pub struct Lock {
    _file: File,
}

impl Lock {
    pub fn take(folder: &Path, name: &str) -> Result<Lock, LockError> {
        let path = folder.join(name);
        let fault = |error| LockError::Io(path.clone(), error);
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&path)
            .map_err(fault)?;
        match file.try_lock() {
            Ok(()) => Ok(Lock { _file: file }),
            Err(TryLockError::WouldBlock) => Err(LockError::Held(path)),
            Err(TryLockError::Error(error)) => Err(fault(error)),
        }
    }
}

/// Names of files that are being written end like this.
const DRAFT: &str = ".draft";

/// It has reached the disk when this returns. After an error the file is whole all the same, the former one or this;
/// the next save writes a new file: what a failed sync has left in the system's cache is not to be trusted.
pub fn save(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let draft = draft(path)?;
    let placed = write(&draft, path, bytes).and_then(|()| rename(&draft, path));
    if placed.is_err() {
        // Its room may be what the next one lacks.
        _ = fs::remove_file(&draft);
    }
    placed?;
    sync_folder(path)
}

/// A name that no other process writes to: in an upgrade two may save.
fn draft(path: &Path) -> io::Result<PathBuf> {
    let mut name = path
        .file_name()
        .ok_or(ErrorKind::IsADirectory)?
        .to_os_string();
    name.push(format!(".{:016x}{DRAFT}", RandomState::new().hash_one(())));
    Ok(path.with_file_name(name))
}

fn write(draft: &Path, path: &Path, bytes: &[u8]) -> io::Result<()> {
    injected(Call::FileCreate, || None)?;
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .open(draft)?;
    if let Ok(former) = fs::metadata(path) {
        // Who may read it stays as an operator has set it.
        _ = file.set_permissions(former.permissions());
    }
    let mut left = bytes;
    while !left.is_empty() {
        let most = limited(Call::FileWrite, left.len(), || None)?;
        match file.write(&left[..most]) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(written) => left = &left[written..],
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    injected(Call::FileSync, || None)?;
    file.sync_all()
}

fn rename(draft: &Path, path: &Path) -> io::Result<()> {
    injected(Call::FileRename, || None)?;
    fs::rename(draft, path)
}

/// Without that a loss of power may bring the former file back.
fn sync_folder(path: &Path) -> io::Result<()> {
    injected(Call::FolderSync, || None)?;
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}

/// Removes what a process that was killed has left half written, and nobody else writes now.
pub fn remove_drafts(path: &Path) {
    let (Some(folder), Some(name)) = (path.parent(), path.file_name()) else {
        return;
    };
    let mut start = OsString::from(name);
    start.push(".");
    for entry in fs::read_dir(folder).into_iter().flatten().flatten() {
        let (name, start) = (entry.file_name(), start.as_encoded_bytes());
        let bytes = name.as_encoded_bytes();
        if bytes.starts_with(start) && bytes.ends_with(DRAFT.as_bytes()) {
            _ = fs::remove_file(entry.path());
        }
    }
}

/// Saves on a thread of its own, so that nobody waits for the disk. One at a time.
#[derive(Debug)]
pub struct Writer {
    jobs: SyncSender<Vec<u8>>,
    done: Receiver<io::Result<()>>,
}

impl Writer {
    /// `waker`: wakes the loop when something is written to it.
    pub fn start(path: PathBuf, mut waker: UnixStream) -> io::Result<Writer> {
        let (jobs, wanted) = sync_channel::<Vec<u8>>(1);
        let (tell, done) = sync_channel(1);
        let faults = faults::installed();
        let work = move || {
            if let Some(faults) = faults {
                faults.install();
            }
            remove_drafts(&path);
            for bytes in wanted {
                if tell.send(save(&path, &bytes)).is_err() {
                    return;
                }
                // A full socket wakes the loop as well as one more byte would.
                _ = waker.write(&[1]);
            }
        };
        thread::Builder::new().name("kept".into()).spawn(work)?;
        Ok(Writer { jobs, done })
    }

    /// Whether it is under way: what came of it is said by `ended`, which has to be asked before the next.
    pub fn save(&self, bytes: Vec<u8>) -> bool {
        self.jobs.try_send(bytes).is_ok()
    }

    pub fn ended(&self) -> Option<io::Result<()>> {
        self.done.try_recv().ok()
    }
}

/// What a former process has saved, at a start. None: there is none. One longer than `limit` was not written by this
/// program.
pub fn load(path: &Path, limit: u64) -> io::Result<Option<Vec<u8>>> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let mut bytes = Vec::new();
    file.take(limit + 1).read_to_end(&mut bytes)?;
    if bytes.len() as u64 > limit {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("it has more than {limit} bytes"),
        ));
    }
    Ok(Some(bytes))
}

#[cfg(test)]
mod tests;
