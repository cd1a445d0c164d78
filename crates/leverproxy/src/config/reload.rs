//! Rereads the configuration beside the event loop: files are read, routes compiled and replaced rules dropped on a thread
//! of its own, and the loop applies a finished configuration in one step.
//!
//! One thread serves all reloads, from the first one on, so that memory that one reload needed serves the next.

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

/// Reads the configuration again, wherever it came from; with a path, with that as the operators' file.
pub type ReadConfig = Box<dyn FnMut(Option<&Path>) -> ReadResult + Send>;

enum Job {
    Read(ReloadRequest),
    /// Dropping large rules takes long.
    Drop(Box<Rules>),
}

/// Reloads at work or waiting: one more than the running one sees whatever has changed meanwhile, any further would see
/// the same.
const MAX_PENDING_RELOADS: usize = 2;

/// The reload thread as the event loop sees it.
pub struct Reloader {
    /// Taken by the thread when it starts.
    reread: Option<(ReadConfig, UnixStream)>,
    jobs: Option<Sender<Job>>,
    results: Option<Receiver<(ReloadRequest, ReadResult)>>,
    pending_reloads: usize,
}

impl Reloader {
    /// `waker`: a byte written to it wakes the event loop.
    pub fn new(reread: ReadConfig, waker: UnixStream) -> Reloader {
        Reloader {
            reread: Some((reread, waker)),
            jobs: None,
            results: None,
            pending_reloads: 0,
        }
    }

    /// Requests a reload of the files in force, unless a pending one will see the same.
    pub fn request_reload(&mut self) {
        if self.pending_reloads < MAX_PENDING_RELOADS && self.request(ReloadRequest::CurrentFiles) {
            self.pending_reloads += 1;
        }
    }

    /// Requests any read; false if the thread can't be started. Versions of a rollout are few: a check and a run for each
    /// proposal.
    pub fn request(&mut self, request: ReloadRequest) -> bool {
        if let Err(error) = self.start() {
            log::error!("the configuration can't be reread: {error}");
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

    /// The next finished read.
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

/// The thread's side.
struct Worker {
    reread: ReadConfig,
    waker: UnixStream,
    results: Sender<(ReloadRequest, ReadResult)>,
    /// The candidate that runs in place of the operators' own file.
    running: Option<PathBuf>,
}

impl Worker {
    /// Works until the event loop's side is gone.
    fn run(mut self, queue: Receiver<Job>) {
        for job in queue {
            match job {
                Job::Drop(rules) => drop(rules),
                Job::Read(request) => {
                    let result = self.read(&request);
                    if self.results.send((request, result)).is_err() {
                        return;
                    }
                    // A full socket wakes the loop as well as one more byte would.
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
