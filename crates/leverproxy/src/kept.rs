//! Small files that outlive the process, in a directory that the operators' file names. Each is written whole to a new name,
//! synced, and put in the place of the former one: what is found is one or the other, never half of each.

use atomic_write_file::AtomicWriteFile;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
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
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(&path).map_err(fault)?;
        match file.try_lock() {
            Ok(()) => Ok(Lock { _file: file }),
            Err(TryLockError::WouldBlock) => Err(LockError::Held(path)),
            Err(TryLockError::Error(error)) => Err(fault(error)),
        }
    }
}

/// It has reached the disk when this returns.
pub fn save(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = AtomicWriteFile::open(path)?;
    file.write_all(bytes)?;
    file.commit()
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
        let work = move || {
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

/// None: there is none. One longer than `limit` was not written by this program.
pub fn load(path: &Path, limit: u64) -> io::Result<Option<Vec<u8>>> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let mut bytes = Vec::new();
    file.take(limit + 1).read_to_end(&mut bytes)?;
    if bytes.len() as u64 > limit {
        return Err(io::Error::new(io::ErrorKind::InvalidData, format!("it has more than {limit} bytes")));
    }
    Ok(Some(bytes))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_saved_is_found_whole_and_one_holds_the_lock() {
        let folder = std::env::temp_dir().join(format!("kept-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let path = folder.join("state");
        assert_eq!(load(&path, 9).unwrap(), None);
        save(&path, b"former one").unwrap();
        save(&path, b"later").unwrap();
        assert_eq!(load(&path, 9).unwrap().as_deref(), Some(&b"later"[..]));
        assert_eq!(load(&path, 4).unwrap_err().kind(), io::ErrorKind::InvalidData);
        let lock = Lock::take(&folder, "lock").unwrap();
        assert!(matches!(Lock::take(&folder, "lock"), Err(LockError::Held(_))));
        drop(lock);
        assert!(Lock::take(&folder, "lock").is_ok());
        assert!(matches!(Lock::take(&folder.join("none"), "lock"), Err(LockError::Io(..))));
        std::fs::remove_dir_all(&folder).unwrap();
    }

    #[test]
    #[ignore = "a figure of the results: what a save costs on this disk"]
    fn saves_take() {
        let folder = std::env::current_dir().unwrap().join(format!("kept-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut took: Vec<u128> = (0..1_000_u32)
            .map(|n| {
                let begun = std::time::Instant::now();
                save(&folder.join("state"), &[n.to_le_bytes(); 64].concat()).unwrap();
                begun.elapsed().as_micros()
            })
            .collect();
        std::fs::remove_dir_all(&folder).unwrap();
        took.sort_unstable();
        println!(
            "1,000 saves of 256 bytes: p50 {} us, p99 {} us, most {} us",
            took[500], took[990], took[999]
        );
    }
}
