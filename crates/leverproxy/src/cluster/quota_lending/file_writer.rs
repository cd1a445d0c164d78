//! Writes the lender's file on a thread of its own, so that the event loop never waits for the disk.

use std::io::Write as _;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;

use quota_lending::{Store, StoreError};
use thiserror::Error;

use crate::persistence::directory_lock::{DirectoryLock, LockError};
use crate::persistence::state_file;

const FILE_NAME: &str = "loans.state";
const LOCK_NAME: &str = "loans.lock";
/// Far more than the lender's bounds permit.
const MAX_FILE_BYTES: u64 = 16 << 20;

/// Why there are no loans.
#[derive(Debug, Error)]
pub enum StartError {
    /// The folder can't be locked.
    #[error("loans: {0}; nothing is lent here until then")]
    Lock(#[from] LockError),
    /// The thread can't be started.
    #[error("loans: no thread for their file: {0}; nothing is lent here until there is one")]
    Thread(#[source] std::io::Error),
}

impl StartError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            StartError::Lock(error) => error.advice(),
            StartError::Thread(_) => {
                "raise the limit of the proxy's threads or memory; it is tried again twice a second"
            }
        }
    }
}

/// The file in its folder.
struct StateFile {
    path: PathBuf,
}

impl Store for StateFile {
    fn save(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        state_file::save(&self.path, bytes)
            .map_err(|error| StoreError::Write(format!("{}: {error}", self.path.display())))
    }

    fn load(&mut self) -> Result<Option<Vec<u8>>, StoreError> {
        state_file::load(&self.path, MAX_FILE_BYTES)
            .map_err(|error| StoreError::Read(format!("{}: {error}", self.path.display())))
    }
}

/// A file to write.
pub(super) struct WriteJob {
    pub sequence: u64,
    pub bytes: Vec<u8>,
}

/// A job that has ended.
pub(super) struct FinishedWrite {
    pub job: WriteJob,
    pub result: Result<(), StoreError>,
}

/// Writes files in their order. Holds the folder's lock as long as it lives.
pub(super) struct FileWriter {
    _lock: DirectoryLock,
    jobs: Sender<WriteJob>,
    finished: Receiver<FinishedWrite>,
}

impl FileWriter {
    /// Also returns the content of the last file, if there is one. The waker gets a byte whenever a job has ended.
    pub fn start(
        folder: &Path,
        waker: UnixStream,
    ) -> Result<(FileWriter, Option<Vec<u8>>), StartError> {
        let lock = DirectoryLock::acquire(folder, LOCK_NAME)?;
        let mut file = StateFile {
            path: folder.join(FILE_NAME),
        };
        // To the lender an empty file is a bad one. It must not take an unreadable file for a missing one: then it would be a
        // bootstrap member that has forgotten its loans and votes.
        let content = file.load().unwrap_or_else(|error| {
            log::error!("loans: {error}");
            Some(Vec::new())
        });
        let (jobs, queued_jobs) = channel();
        let (finished_sender, finished_receiver) = channel();
        thread::Builder::new()
            .name("loans".into())
            .spawn(move || run(file, queued_jobs, &finished_sender, waker))
            .map_err(StartError::Thread)?;
        let writer = FileWriter {
            _lock: lock,
            jobs,
            finished: finished_receiver,
        };
        Ok((writer, content))
    }

    pub fn write(&self, job: WriteJob) {
        // If the thread is gone the job never ends, and nothing more is lent.
        _ = self.jobs.send(job);
    }

    pub fn finished_writes(&self) -> impl Iterator<Item = FinishedWrite> + '_ {
        self.finished.try_iter()
    }
}

fn run(
    mut file: StateFile,
    jobs: Receiver<WriteJob>,
    finished_sender: &Sender<FinishedWrite>,
    mut waker: UnixStream,
) {
    state_file::remove_drafts(&file.path);
    for job in jobs {
        let result = file.save(&job.bytes);
        if finished_sender.send(FinishedWrite { job, result }).is_err() {
            return;
        }
        // A full socket wakes the loop as well as one more byte would.
        _ = waker.write(&[1]);
    }
}
