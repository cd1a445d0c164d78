//! The state that the proxy saves to survive a kill or a power loss: its file is read at the start, and written by a thread
//! beside the event loop. What is trusted and when it is saved is decided by [`persistent_state`].

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

const FILE: &str = "memory.state";
const LOCK: &str = "memory.lock";
/// How often the state is checked for changes, and a lock that another process holds is tried again.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Carries the state to the disk.
pub struct Persistence {
    settings: Settings,
    scheduler: SnapshotScheduler,
    lock: Option<DirectoryLock>,
    writer: Option<BackgroundWriter>,
    waker: UnixStream,
    /// The origin of the scheduler's time.
    origin: Instant,
    /// The directory is another proxy's: nothing is written there.
    foreign: bool,
    /// This process started without the saved state.
    unread: bool,
    lock_error_logged: bool,
    /// The index of the list that was last passed to the scheduler.
    scheduled_index: Option<u64>,
    /// The index of the recovered list, until discovery has given one.
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
        let read = initial_state::read(&settings.state.join(FILE), proxy_name, mode);
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

    /// The settings that it was started with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Whether this process may write. During a hot restart the old process has the lock until it ends.
    fn acquire_lock(&mut self) -> bool {
        if self.lock.is_none() && !self.foreign {
            match DirectoryLock::acquire(&self.settings.state, LOCK) {
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

    /// Passes on the present state. `list`: discovery's list with its index, if discovery has given one to this process.
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

    /// Warns if discovery's first list counts less than the saved one.
    fn check_regression(&mut self, given: u64) {
        if let Some(kept) = self.recovered_index.take().filter(|kept| given < *kept) {
            self.index_regressions += 1;
            let error = PersistenceError::WentBack { kept, given };
            log::warn!("{error}. {}", error.advice());
        }
    }

    fn update_list(&mut self, index: u64, list: &dyn Fn() -> EndpointList, now: Instant) {
        let time = now.saturating_duration_since(self.origin);
        if self.scheduled_index == Some(index) || !self.scheduler.accepts_list(time) {
            return;
        }
        // Plain data: this does not fail.
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
                let path = self.settings.state.join(FILE);
                BackgroundWriter::start(path, self.waker.try_clone()?)?
            }
        };
        if !writer.start_save(bytes) {
            // The next save starts a new thread.
            return Err(io::Error::other("the thread that writes has ended"));
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
                    let error = PersistenceError::Write(self.settings.state.join(FILE), error);
                    log::error!("{error}. {}", error.advice());
                }
            }
        }
        self.handle(Event::SaveFinished(succeeded), now);
    }

    /// Responds to an operator's call once its command is on the disk.
    pub fn confirm_when_saved(&mut self, connection: Key, text: &'static str, now: Instant) {
        self.confirmations.add(connection, text, now);
    }

    /// The responses that are due: the command is saved, or was not saved in time.
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

    /// Adds its metrics.
    pub fn write_metrics(&self, figures: &mut Metrics) {
        for (name, help, value) in [
            ("lb_memory_unread", "Whether this process began without what was kept.", u64::from(self.unread)),
            (
                "lb_memory_failing",
                "Whether nothing is kept at present: the disk fails, or the directory is another's.",
                u64::from(self.foreign || self.scheduler.is_failing() || self.lock.is_none()),
            ),
            (
                "lb_memory_waiting",
                "Whether the disk lacks something that is to be remembered.",
                u64::from(!self.scheduler.is_saved()),
            ),
            (
                "lb_memory_list_index",
                "Discovery's count of the list that is kept; 0: none is.",
                self.scheduler.saved_list_index(),
            ),
            ("lb_memory_saves_total", "Times that it was written.", self.saves),
            ("lb_memory_saves_failed_total", "Times that it could not be.", self.failed_saves),
            (
                "lb_memory_list_went_back_total",
                "Whether discovery's first list counted less than the one that was kept.",
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
        "memory: {servers} record servers are known from before, {excluded} are out by hand"
    );
}
