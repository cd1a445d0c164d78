//! The state that the proxy saves to survive a kill or a power loss. Its file is read at the start, and written by a thread
//! apart from the event loop. [`persistent_state`] decides what is trusted and when the state is saved.

mod confirmations;
mod error;
mod initial_state;

pub use error::PersistenceError;
pub use initial_state::InitialState;

use crate::discovery::wire::EndpointList;
use crate::event_loop::slab::Key;
use crate::persistence::background_writer::BackgroundWriter;
use crate::persistence::directory_lock::DirectoryLock;
use configuration::model::Persistence as Settings;
use confirmations::{PendingConfirmations, SaveStatus};
use maintenance::ManualExclusion;
use persistent_state::{Action, Event, SavedList, SnapshotScheduler};
use std::io;
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};
use wire_admin::{Answer, Metrics};

const FILE_NAME: &str = "memory.state";
const LOCK_NAME: &str = "memory.lock";
/// Interval at which the state is checked for changes, and a lock that another process holds is retried.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Saves the state to the disk.
pub struct Persistence {
    settings: Settings,
    scheduler: SnapshotScheduler,
    lock: Option<DirectoryLock>,
    writer: Option<BackgroundWriter>,
    waker: UnixStream,
    /// Time zero of the scheduler.
    origin: Instant,
    /// Whether the directory belongs to another proxy: then nothing is written there.
    foreign: bool,
    /// Whether the process started without the saved state because the file was unreadable or rejected.
    unread: bool,
    lock_error_logged: bool,
    /// The index of the list that was last passed to the scheduler.
    scheduled_index: Option<u64>,
    /// The index of the recovered list, until discovery has sent a list.
    recovered_index: Option<u64>,
    confirmations: PendingConfirmations,
    saves: u64,
    failed_saves: u64,
    index_regressions: u64,
}

impl Persistence {
    /// Recovers the saved state. `hot_restart`: an old process has handed over its state; `platform_list`: the platform's
    /// list; `waker` wakes the event loop when a save has ended.
    pub fn recover(
        settings: Settings,
        proxy_name: &str,
        hot_restart: bool,
        platform_list: &EndpointList,
        waker: UnixStream,
        now: Instant,
    ) -> (Persistence, InitialState) {
        let mode = initial_state::start_mode(hot_restart, platform_list);
        let read = initial_state::read(&settings.state.join(FILE_NAME), proxy_name, mode);
        let foreign = read.as_ref().is_err_and(PersistenceError::is_foreign);
        let unread = read.is_err();
        let (recovered, snapshot) = read.unwrap_or_else(|error| {
            log::error!("{error}. {}", error.advice());
            Default::default()
        });
        let recovered_index = recovered.list.as_ref().map(|list| list.index);
        let initial = InitialState::from(recovered);
        if snapshot.is_some() {
            log_recovery(&initial);
        }
        let persistence = Persistence {
            scheduler: SnapshotScheduler::new(proxy_name, settings.every, snapshot),
            settings,
            lock: None,
            writer: None,
            waker,
            origin: now,
            foreign,
            unread,
            lock_error_logged: false,
            scheduled_index: None,
            recovered_index,
            confirmations: PendingConfirmations::default(),
            saves: 0,
            failed_saves: 0,
            index_regressions: 0,
        };
        (persistence, initial)
    }

    /// The settings at the start of the process.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Acquires the lock if needed; returns whether this process may write. During a hot restart the old process holds the
    /// lock until it ends.
    fn acquire_lock(&mut self) -> bool {
        if self.lock.is_none() && !self.foreign {
            match DirectoryLock::acquire(&self.settings.state, LOCK_NAME) {
                Ok(lock) => self.lock = Some(lock),
                Err(error) if !std::mem::replace(&mut self.lock_error_logged, true) => {
                    let error = PersistenceError::Lock(error);
                    log::warn!("{error}. {}", error.advice());
                }
                Err(_) => {}
            }
        }
        self.lock.is_some()
    }

    /// Passes the current state to the scheduler. `list`: discovery's list with its index, if this process has received one.
    pub fn update(
        &mut self,
        incarnation: u64,
        exclusions: Vec<ManualExclusion>,
        list: Option<(u64, &dyn Fn() -> EndpointList)>,
        now: Instant,
    ) {
        if !self.acquire_lock() {
            return;
        }
        if let Some((index, list)) = list {
            self.check_regression(index);
            self.update_list(index, list, now);
        }
        self.handle(Event::Incarnation(incarnation), now);
        let exclusions = exclusions.into_iter().map(initial_state::to_saved);
        self.handle(Event::Exclusions(exclusions.collect()), now);
    }

    /// Warns if discovery's first list has a lower index than the saved list.
    fn check_regression(&mut self, received: u64) {
        if let Some(saved) = self
            .recovered_index
            .take()
            .filter(|saved| received < *saved)
        {
            self.index_regressions += 1;
            let error = PersistenceError::IndexRegressed { saved, received };
            log::warn!("{error}. {}", error.advice());
        }
    }

    fn update_list(&mut self, index: u64, list: &dyn Fn() -> EndpointList, now: Instant) {
        let time = now.saturating_duration_since(self.origin);
        if self.scheduled_index == Some(index) || !self.scheduler.accepts_list(time) {
            return;
        }
        // Serializing plain data does not fail.
        if let Ok(bytes) = serde_json::to_vec(&list()) {
            self.scheduled_index = Some(index);
            self.handle(Event::EndpointList(SavedList { index, bytes }), now);
        }
    }

    fn handle(&mut self, event: Event, now: Instant) {
        let time = now.saturating_duration_since(self.origin);
        let mut actions = Vec::new();
        self.scheduler.handle(time, event, &mut actions);
        for action in actions {
            match action {
                Action::Save(bytes) => {
                    if let Err(error) = self.start_save(bytes) {
                        self.finish_save(Err(error), now);
                    }
                }
                Action::ListTooLong(bytes) => {
                    let error = PersistenceError::TooLong(bytes);
                    log::warn!("{error}. {}", error.advice());
                }
            }
        }
    }

    fn start_save(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        let writer = match self.writer.take() {
            Some(writer) => writer,
            None => {
                let path = self.settings.state.join(FILE_NAME);
                BackgroundWriter::start(path, self.waker.try_clone()?)?
            }
        };
        if !writer.start_save(bytes) {
            // The next save starts a new thread.
            return Err(io::Error::other("the writer thread has ended"));
        }
        self.writer = Some(writer);
        Ok(())
    }

    /// Handles the saves that have ended.
    pub fn handle_finished_saves(&mut self, now: Instant) {
        while let Some(result) = self.writer.as_ref().and_then(BackgroundWriter::take_result) {
            self.finish_save(result, now);
        }
    }

    fn finish_save(&mut self, result: io::Result<()>, now: Instant) {
        let succeeded = result.is_ok();
        match result {
            Ok(()) => self.saves += 1,
            Err(error) => {
                self.failed_saves += 1;
                if !self.scheduler.is_failing() {
                    let error = PersistenceError::Write(self.settings.state.join(FILE_NAME), error);
                    log::error!("{error}. {}", error.advice());
                }
            }
        }
        self.handle(Event::SaveFinished(succeeded), now);
    }

    /// Defers the response to an operator's call until its command is on the disk.
    pub fn confirm_when_saved(&mut self, connection: Key, text: &'static str, now: Instant) {
        self.confirmations.add(connection, text, now);
    }

    /// Takes the responses that are due because the command is saved, cannot be saved, or was not saved in time.
    pub fn take_confirmations(&mut self, now: Instant) -> Vec<(Key, Answer)> {
        let status = if self.lock.is_some() && self.scheduler.has_saved_exclusions() {
            SaveStatus::Saved
        } else if self.foreign || self.scheduler.is_failing() {
            SaveStatus::Failing
        } else {
            SaveStatus::Pending
        };
        self.confirmations.take_due(status, now)
    }

    /// Adds the metrics of the saved state.
    pub fn write_metrics(&self, figures: &mut Metrics) {
        for (name, help, value) in [
            ("lb_memory_unread", "Whether this process started without the saved state because the file was unreadable or rejected.", u64::from(self.unread)),
            (
                "lb_memory_failing",
                "Whether state cannot be saved at present: the disk fails, or the directory belongs to another proxy or process.",
                u64::from(self.foreign || self.scheduler.is_failing() || self.lock.is_none()),
            ),
            (
                "lb_memory_waiting",
                "Whether there are changes that have not been saved yet.",
                u64::from(!self.scheduler.is_saved()),
            ),
            (
                "lb_memory_list_index",
                "Discovery's index of the saved endpoint list; 0: no list is saved.",
                self.scheduler.saved_list_index(),
            ),
            ("lb_memory_saves_total", "Successful saves of the state.", self.saves),
            ("lb_memory_saves_failed_total", "Failed saves of the state.", self.failed_saves),
            (
                "lb_memory_list_went_back_total",
                "Whether discovery's first list had a lower index than the saved list.",
                self.index_regressions,
            ),
        ] {
            figures.add(name, help, value);
        }
    }
}

fn log_recovery(initial: &InitialState) {
    let list = initial.endpoint_list.as_ref();
    let servers = list.map_or(0, |list| list.endpoints.len());
    let excluded = initial
        .exclusions
        .iter()
        .filter(|exclusion| exclusion.excluded_since.is_some())
        .count();
    log::info!(
        "memory: recovered {servers} record servers and {excluded} manual exclusions from the saved state"
    );
}
