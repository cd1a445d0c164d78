//! The state of a rollout on the disk.

use super::{log_error, Rollout, RolloutError};
use crate::cluster::members::Members;
use crate::config::reload::Ask;
use crate::persistence::state_file::{self, Writer};
use ::rollout::Event;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Instant;

const STATE_FILE: &str = "rollout.state";
/// A state file is far smaller.
const MAX_STATE_BYTES: u64 = 16 << 10;

impl Rollout {
    /// `None` if the write has begun; else whether there is nothing to write.
    pub(super) fn persist(&mut self, bytes: Vec<u8>) -> Option<bool> {
        let Some(folder) = &self.settings.state else {
            return Some(true);
        };
        if self.handed_over {
            return Some(false);
        }
        let path = folder.join(STATE_FILE);
        let start = |waker| Writer::start(path, waker);
        let started = self
            .writer
            .take()
            .map_or_else(|| self.waker.try_clone().and_then(start), Ok);
        self.writer = started
            .map_err(|error| self.log_persist_failure(error))
            .ok();
        let under_way = self
            .writer
            .as_ref()
            .is_some_and(|writer| writer.save(bytes));
        if !under_way {
            // Its thread has ended; the next write starts another.
            self.writer = None;
        }
        (!under_way).then_some(false)
    }

    fn log_persist_failure(&self, error: io::Error) {
        log_error(&RolloutError::PersistFailed(self.state_path(), error));
    }

    /// Writes of the state may have ended.
    pub fn persist_finished(&mut self, members: &mut Members, now: Instant) -> Vec<Ask> {
        let mut asks = Vec::new();
        while let Some(saved) = self.writer.as_ref().and_then(Writer::ended) {
            let done = saved
                .map_err(|error| self.log_persist_failure(error))
                .is_ok();
            asks.extend(self.handle(Event::Persisted(done), members, now));
        }
        asks
    }

    pub(super) fn state_path(&self) -> PathBuf {
        let folder = self.settings.state.as_deref();
        folder.unwrap_or(Path::new("")).join(STATE_FILE)
    }
}

/// The persisted state; `None` at the first start with this directory.
pub(super) fn load(folder: &Path) -> Result<Option<Vec<u8>>, RolloutError> {
    let path = folder.join(STATE_FILE);
    state_file::load(&path, MAX_STATE_BYTES)
        .map_err(|error| RolloutError::StateUnreadable(path, error))
}
