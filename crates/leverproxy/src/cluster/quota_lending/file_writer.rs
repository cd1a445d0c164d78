//! Writes the lender's state file on a separate thread, so that the event loop never waits for the disk.

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
/// Maximum size of the state file, far above the size that the lender's limits allow.
const MAX_FILE_BYTES: u64 = 16 << 20;

/// Reason why the lender can't start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The state directory can't be locked.
    #[error("loans: {0}; nothing is lent here until the lock is free")]
    Lock(#[from] LockError),
    /// The thread can't be started.
    #[error("loans: can't start the thread that writes the state file: {0}; nothing is lent here until it starts")]
    Thread(#[source] std::io::Error),
}

impl StartError {
    /// Advice for operators.
    pub fn advice(&self) -> &'static str {
        match self {
            StartError::Lock(error) => error.advice(),
            StartError::Thread(_) => {
                "raise the limit of the proxy's threads or memory; the start is retried twice a second"
            }
        }
    }
}

/// The state file of the lender.
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

/// Content of the state file to write, and its sequence number.
pub(super) struct WriteJob {
    pub sequence: u64,
    pub bytes: Vec<u8>,
}

/// A finished write job and its result.
pub(super) struct FinishedWrite {
    pub job: WriteJob,
    pub result: Result<(), StoreError>,
}

/// Writes the state file, job by job in order. Holds the lock of the directory for its lifetime.
pub(super) struct FileWriter {
    _lock: DirectoryLock,
    jobs: Sender<WriteJob>,
    finished: Receiver<FinishedWrite>,
}

impl FileWriter {
    /// Starts the thread. Also returns the content of the existing state file, if any. A byte is written to the waker
    /// after each job.
    pub fn start(
        folder: &Path,
        waker: UnixStream,
    ) -> Result<(FileWriter, Option<Vec<u8>>), StartError> {
        let lock = DirectoryLock::acquire(folder, LOCK_NAME)?;
        let mut file = StateFile {
            path: folder.join(FILE_NAME),
        };
        // An unreadable file is passed to the lender as an empty, hence invalid, file. If the lender took it for a missing
        // file, it would act as a bootstrap member, having lost its loans and votes.
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
        // If the thread has ended, the job never finishes, and nothing more is lent.
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
        // A failed write means a full socket, which wakes the event loop too.
        _ = waker.write(&[1]);
    }
}
