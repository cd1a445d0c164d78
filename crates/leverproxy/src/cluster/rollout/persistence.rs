//! Saves the state of a rollout to disk.

use super::error::{log_error, RolloutError};
use super::stored_state::state_path;
use super::Rollout;
use crate::cluster::members::Members;
use crate::config::reload_request::ReloadRequest;
use crate::persistence::background_writer::BackgroundWriter;
use ::rollout::Event;
use std::io;
use std::time::Instant;

impl Rollout {
    /// Starts a write of the state. Returns `None` if the write has started, `Some(true)` if no state directory is
    /// configured, `Some(false)` if the state can't be written now.
    pub(super) fn persist(&mut self, bytes: Vec<u8>) -> Option<bool> {
        let Some(folder) = &self.settings.state else {
            return Some(true);
        };
        if self.handed_over {
            return Some(false);
        }
        let path = state_path(Some(folder));
        let start = |waker| BackgroundWriter::start(path, waker);
        let started = self
            .writer
            .take()
            .map_or_else(|| self.waker.try_clone().and_then(start), Ok);
        self.writer = started
            .map_err(|error| self.log_persist_failure(error))
            .ok();
        let is_queued = self
            .writer
            .as_ref()
            .is_some_and(|writer| writer.start_save(bytes));
        if !is_queued {
            // The writer's thread has ended; the next write starts a new one.
            self.writer = None;
        }
        (!is_queued).then_some(false)
    }

    fn log_persist_failure(&self, error: io::Error) {
        log_error(&RolloutError::PersistFailed(
            state_path(self.settings.state.as_deref()),
            error,
        ));
    }

    /// Handles finished writes of the state. Returns requests to check or run versions.
    pub fn persist_finished(&mut self, members: &mut Members, now: Instant) -> Vec<ReloadRequest> {
        let mut requests = Vec::new();
        while let Some(saved) = self.writer.as_ref().and_then(BackgroundWriter::take_result) {
            let done = saved
                .map_err(|error| self.log_persist_failure(error))
                .is_ok();
            requests.extend(self.handle(Event::Persisted(done), members, now));
        }
        requests
    }
}
