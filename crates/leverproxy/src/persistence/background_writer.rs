//! Saves a state file on a thread, so that the event loop does not wait for the disk.

use super::state_file::{remove_drafts, save};
use crate::event_loop::system_calls::faults;
use std::io::{self, Write};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::thread;

/// Saves one file, one save at a time.
#[derive(Debug)]
pub struct BackgroundWriter {
    jobs: SyncSender<Vec<u8>>,
    results: Receiver<io::Result<()>>,
}

impl BackgroundWriter {
    /// Starts the thread for the file at `path`. It writes a byte to `waker` when a save has ended.
    pub fn start(path: PathBuf, mut waker: UnixStream) -> io::Result<BackgroundWriter> {
        let (jobs, incoming) = sync_channel::<Vec<u8>>(1);
        let (outgoing, results) = sync_channel(1);
        let faults = faults::installed();
        let work = move || {
            if let Some(faults) = faults {
                faults.install();
            }
            remove_drafts(&path);
            for bytes in incoming {
                if outgoing.send(save(&path, &bytes)).is_err() {
                    return;
                }
                // If the socket is full, the loop wakes up without this byte.
                _ = waker.write(&[1]);
            }
        };
        thread::Builder::new().name("kept".into()).spawn(work)?;
        Ok(BackgroundWriter { jobs, results })
    }

    /// Starts a save; false if the thread has ended or is busy. The result must be taken with
    /// [`BackgroundWriter::take_result`] before the next save is started.
    pub fn start_save(&self, bytes: Vec<u8>) -> bool {
        self.jobs.try_send(bytes).is_ok()
    }

    /// Takes the result of the save, once it has ended.
    pub fn take_result(&self) -> Option<io::Result<()>> {
        self.results.try_recv().ok()
    }
}
