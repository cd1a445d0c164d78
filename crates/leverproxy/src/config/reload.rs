//! Rereads the configuration without blocking the event loop: a separate thread reads files, compiles routes and drops
//! replaced rules, and the loop applies a finished configuration in one step.
//!
//! One thread, started by the first reload, serves all reloads, so that the allocator reuses the memory of earlier reloads.

use crate::cluster::rollout;
use crate::config::reload_request::ReloadRequest;
use crate::config::{Config, ConfigError};
use crate::pipeline::route_rules::Rules;
use std::io::{self, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;

type ReadResult = Result<Config, ConfigError>;

/// Reads the configuration again from its source. A path replaces the path of the operators' file.
pub type ReadConfig = Box<dyn FnMut(Option<&Path>) -> ReadResult + Send>;

enum Job {
    Read(ReloadRequest),
    /// Drops rules on the thread, since dropping large rules would block the event loop.
    Drop(Box<Rules>),
}

/// Maximum reloads that run or wait. One waiting reload sees every change made while another one runs; any further would
/// read the same files.
const MAX_PENDING_RELOADS: usize = 2;

/// The event loop's handle to the reload thread.
pub struct Reloader {
    /// Taken by the thread when it starts.
    reread: Option<(ReadConfig, UnixStream)>,
    jobs: Option<Sender<Job>>,
    results: Option<Receiver<(ReloadRequest, ReadResult)>>,
    pending_reloads: usize,
}

impl Reloader {
    /// Creates the handle; the thread starts with the first request. `waker`: a byte written to it wakes the event loop.
    pub fn new(reread: ReadConfig, waker: UnixStream) -> Reloader {
        Reloader {
            reread: Some((reread, waker)),
            jobs: None,
            results: None,
            pending_reloads: 0,
        }
    }

    /// Requests a reload of the files in force, unless a pending reload will read the same state.
    pub fn request_reload(&mut self) {
        if self.pending_reloads < MAX_PENDING_RELOADS && self.request(ReloadRequest::CurrentFiles) {
            self.pending_reloads += 1;
        }
    }

    /// Requests a read; false if the thread cannot be started. Reads for a rollout need no bound: there are only a check
    /// and a run for each proposal.
    pub fn request(&mut self, request: ReloadRequest) -> bool {
        if let Err(error) = self.start() {
            log::error!(
                "the configuration can't be reread: the reload thread did not start: {error}"
            );
            return false;
        }
        self.jobs
            .as_ref()
            .is_some_and(|jobs| jobs.send(Job::Read(request)).is_ok())
    }

    fn start(&mut self) -> io::Result<()> {
        let Some((reread, waker)) = self.reread.take() else {
            return Ok(());
        };
        let (jobs, queue) = channel();
        let (sender, results) = channel();
        let worker = Worker {
            reread,
            waker,
            results: sender,
            running: None,
        };
        thread::Builder::new()
            .name("reload".into())
            .spawn(move || worker.run(queue))?;
        (self.jobs, self.results) = (Some(jobs), Some(results));
        Ok(())
    }

    /// The result of the next finished read, with its request.
    pub fn next_result(&mut self) -> Option<(ReloadRequest, ReadResult)> {
        let finished = self.results.as_ref()?.try_recv().ok()?;
        let is_reload = finished.0 == ReloadRequest::CurrentFiles;
        self.pending_reloads -= usize::from(is_reload && self.pending_reloads > 0);
        Some(finished)
    }

    /// Drops replaced rules on the thread.
    pub fn discard(&self, rules: Rules) {
        if let Some(jobs) = &self.jobs {
            _ = jobs.send(Job::Drop(Box::new(rules)));
        }
    }
}

/// The state of the reload thread.
struct Worker {
    reread: ReadConfig,
    waker: UnixStream,
    results: Sender<(ReloadRequest, ReadResult)>,
    /// The candidate that runs in place of the operators' own file.
    running: Option<PathBuf>,
}

impl Worker {
    /// Handles jobs until the event loop drops its handle.
    fn run(mut self, queue: Receiver<Job>) {
        for job in queue {
            match job {
                Job::Drop(rules) => drop(rules),
                Job::Read(request) => {
                    let result = self.read(&request);
                    if self.results.send((request, result)).is_err() {
                        return;
                    }
                    // If the socket is full, the loop wakes up without this byte.
                    _ = self.waker.write(&[1]);
                }
            }
        }
    }

    fn read(&mut self, request: &ReloadRequest) -> ReadResult {
        match request {
            ReloadRequest::CurrentFiles => (self.reread)(self.running.as_deref()),
            ReloadRequest::Check(hash, folder) => {
                let path = rollout::find_candidate(folder, hash)?;
                (self.reread)(Some(&path))
            }
            ReloadRequest::Run(_, None) => {
                let config = (self.reread)(None)?;
                self.running = None;
                Ok(config)
            }
            ReloadRequest::Run(hash, Some(folder)) => {
                let path = rollout::find_candidate(folder, hash)?;
                let config = (self.reread)(Some(&path))?;
                self.running = Some(path);
                Ok(config)
            }
        }
    }
}
