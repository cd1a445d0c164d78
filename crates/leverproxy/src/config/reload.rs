//! Rereading the configuration beside the loop: files are read, routes compiled and former rules taken apart on one
//! thread of its own, and the loop takes over what is ready in one step.
//!
//! One thread for all of it, which lasts from the first reload on: memory that one reload needed serves the next.

use crate::cluster::rollout;
use crate::config::{Config, ConfigError};
use crate::pipeline::route_rules::Rules;
use ::rollout::VersionHash;
use std::io::{self, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;

type Read = Result<Config, ConfigError>;
/// Reads the configuration again, wherever it came from; with a path, with that as the operators' file.
pub type Reread = Box<dyn FnMut(Option<&Path>) -> Read + Send>;

/// What is to be read, and what for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    /// What runs now may have changed.
    Again,
    /// Whether a candidate could run.
    Check(VersionHash, PathBuf),
    /// A candidate, or the operators' own file, is to run.
    Run(VersionHash, Option<PathBuf>),
}

enum Job {
    Read(Ask),
    /// Taking apart what is large takes long.
    Drop(Box<Rules>),
}

/// One is at work, and one more will see what has changed meanwhile; any further would see the same.
const UNDER_WAY: usize = 2;

pub struct Reloads {
    /// Until the thread has it.
    reread: Option<(Reread, UnixStream)>,
    jobs: Option<Sender<Job>>,
    ended: Option<Receiver<(Ask, Read)>>,
    under_way: usize,
}

impl Reloads {
    /// `waker`: wakes the loop when something is written to it.
    pub fn new(reread: Reread, waker: UnixStream) -> Reloads {
        Reloads {
            reread: Some((reread, waker)),
            jobs: None,
            ended: None,
            under_way: 0,
        }
    }

    pub fn begin(&mut self) {
        if self.under_way < UNDER_WAY && self.ask(Ask::Again) {
            self.under_way += 1;
        }
    }

    /// A version of a rollout. There are few: a check and a run for each proposal.
    pub fn ask(&mut self, ask: Ask) -> bool {
        if let Err(error) = self.start() {
            log::error!("the configuration can't be reread: {error}");
            return false;
        }
        self.jobs
            .as_ref()
            .is_some_and(|jobs| jobs.send(Job::Read(ask)).is_ok())
    }

    fn start(&mut self) -> io::Result<()> {
        let Some((mut reread, mut waker)) = self.reread.take() else {
            return Ok(());
        };
        let (send, jobs) = channel();
        let (done, ended) = channel();
        let mut running = None;
        let work = move || {
            for job in jobs {
                match job {
                    Job::Drop(rules) => drop(rules),
                    Job::Read(ask) => {
                        let read = match &ask {
                            Ask::Again => reread(running.as_deref()),
                            Ask::Check(hash, folder) => rollout::find_candidate(folder, hash)
                                .and_then(|path| reread(Some(&path))),
                            Ask::Run(_, None) => reread(None).inspect(|_| running = None),
                            Ask::Run(hash, Some(folder)) => rollout::find_candidate(folder, hash)
                                .and_then(|path| {
                                    reread(Some(&path)).inspect(|_| running = Some(path))
                                }),
                        };
                        if done.send((ask, read)).is_err() {
                            return;
                        }
                        // A full socket wakes the loop as well as one more byte would.
                        _ = waker.write(&[1]);
                    }
                }
            }
        };
        thread::Builder::new().name("reload".into()).spawn(work)?;
        (self.jobs, self.ended) = (Some(send), Some(ended));
        Ok(())
    }

    /// What was read, once it is there.
    pub fn ended(&mut self) -> Option<(Ask, Read)> {
        let read = self.ended.as_ref()?.try_recv().ok()?;
        self.under_way -= usize::from(read.0 == Ask::Again && self.under_way > 0);
        Some(read)
    }

    /// Former rules, to be taken apart elsewhere.
    pub fn discard(&self, rules: Rules) {
        if let Some(jobs) = &self.jobs {
            _ = jobs.send(Job::Drop(Box::new(rules)));
        }
    }
}
