//! Decides when the state is saved: exclusions and the incarnation at once, endpoint lists at a limited rate, and only
//! one save at a time.

use crate::file_format::{
    self, ManualExclusion, SavedList, Snapshot, MAX_EXCLUSIONS, MAX_LIST_BYTES,
};
use std::time::Duration;

/// Delay after the first failed save; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum delay between two saves while they fail.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// A change of the state, the result of a save, or the passing of time.
#[derive(Clone, Debug)]
pub enum Event {
    /// The incarnation of this process, as known to the other proxies.
    Incarnation(u64),
    /// All exclusions that are in effect.
    Exclusions(Vec<ManualExclusion>),
    /// Discovery's endpoint list.
    EndpointList(SavedList),
    /// The last [`Action::Save`] has ended; the value is whether it succeeded.
    SaveFinished(bool),
    /// Time has passed.
    Tick,
}

/// A request or a report to the host of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Replace the file by these bytes, then report [`Event::SaveFinished`]. No other save is requested before that.
    Save(Vec<u8>),
    /// The endpoint list is too long to be saved; the value is its size in bytes.
    ListTooLong(usize),
}

/// Decides when a snapshot is saved.
#[derive(Clone, Debug)]
pub struct SnapshotScheduler {
    proxy_name: String,
    list_interval: Duration,
    current: Snapshot,
    /// The snapshot on disk, as confirmed by a save or by the recovery.
    saved: Option<Snapshot>,
    /// Whether a save has failed since the last successful one: the disk may contain the snapshot of the failed save.
    uncertain: bool,
    in_flight: Option<Snapshot>,
    /// Earliest time of a save for a changed list alone.
    next_list_save: Duration,
    /// Earliest time of the next save after a failure.
    retry_at: Option<Duration>,
    backoff: Duration,
    list_too_long: bool,
}

impl SnapshotScheduler {
    /// `list_interval` is the minimum time between two saves for a changed list; `recovered` is the snapshot from the
    /// file.
    pub fn new(
        proxy_name: &str,
        list_interval: Duration,
        recovered: Option<Snapshot>,
    ) -> SnapshotScheduler {
        SnapshotScheduler {
            proxy_name: proxy_name.to_owned(),
            list_interval,
            current: recovered.clone().unwrap_or_default(),
            saved: recovered,
            uncertain: false,
            in_flight: None,
            next_list_save: Duration::ZERO,
            retry_at: None,
            backoff: INITIAL_BACKOFF,
            list_too_long: false,
        }
    }

    /// Handles one event; `now` is the time since a fixed origin.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Incarnation(incarnation) => self.raise_incarnation(incarnation),
            Event::Exclusions(exclusions) => self.replace_exclusions(exclusions),
            Event::EndpointList(list) => self.replace_list(list, actions),
            Event::SaveFinished(true) => self.confirm_save(),
            Event::SaveFinished(false) => self.back_off(now),
            Event::Tick => {}
        }
        self.save_if_due(now, actions);
    }

    /// Other proxies may know the greater incarnation, so it never decreases.
    fn raise_incarnation(&mut self, incarnation: u64) {
        self.current.incarnation = self.current.incarnation.max(incarnation);
    }

    fn replace_exclusions(&mut self, exclusions: Vec<ManualExclusion>) {
        self.current.exclusions = newest_exclusions(exclusions);
    }

    fn replace_list(&mut self, list: SavedList, actions: &mut Vec<Action>) {
        let bytes = list.bytes.len();
        if bytes <= MAX_LIST_BYTES {
            self.list_too_long = false;
            self.current.list = Some(list);
            return;
        }
        if !std::mem::replace(&mut self.list_too_long, true) {
            actions.push(Action::ListTooLong(bytes));
        }
        // An outdated list would be worse than none.
        self.current.list = None;
    }

    fn confirm_save(&mut self) {
        self.saved = self.in_flight.take().or_else(|| self.saved.take());
        self.uncertain = false;
        self.backoff = INITIAL_BACKOFF;
    }

    fn back_off(&mut self, now: Duration) {
        self.in_flight = None;
        self.uncertain = true;
        self.retry_at = Some(now + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    fn save_if_due(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let backing_off = self.retry_at.is_some_and(|at| now < at);
        if self.in_flight.is_some() || backing_off || !self.needs_save(now) {
            return;
        }
        self.retry_at = None;
        self.next_list_save = now + self.list_interval;
        self.in_flight = Some(self.current.clone());
        actions.push(Action::Save(file_format::encode(
            &self.proxy_name,
            &self.current,
        )));
    }

    fn needs_save(&self, now: Duration) -> bool {
        if self.uncertain {
            return true;
        }
        let Some(saved) = &self.saved else {
            return self.current != Snapshot::default();
        };
        let list_changed = saved.list != self.current.list;
        !self.has_current_exclusions(saved) || list_changed && now >= self.next_list_save
    }

    /// Whether a snapshot has the current exclusions and incarnation.
    fn has_current_exclusions(&self, snapshot: &Snapshot) -> bool {
        snapshot.incarnation == self.current.incarnation
            && snapshot.exclusions == self.current.exclusions
    }

    /// Index of the saved list; 0 if none is saved.
    pub fn saved_list_index(&self) -> u64 {
        self.saved
            .as_ref()
            .and_then(|saved| saved.list.as_ref())
            .map_or(0, |list| list.index)
    }

    /// Whether a list that is reported now would be saved at once.
    pub fn accepts_list(&self, now: Duration) -> bool {
        self.in_flight.is_none() && now >= self.next_list_save
    }

    /// Whether the disk contains the current exclusions and incarnation, regardless of how the save in flight ends.
    pub fn has_saved_exclusions(&self) -> bool {
        let saved = match &self.saved {
            Some(saved) => self.has_current_exclusions(saved),
            None => self.has_current_exclusions(&Snapshot::default()),
        };
        let in_flight = self.in_flight.as_ref();
        !self.uncertain
            && saved
            && in_flight.is_none_or(|snapshot| self.has_current_exclusions(snapshot))
    }

    /// Whether the disk contains the complete current state.
    pub fn is_saved(&self) -> bool {
        let saved = match &self.saved {
            Some(saved) => *saved == self.current,
            None => self.current == Snapshot::default(),
        };
        !self.uncertain && self.in_flight.is_none() && saved
    }

    /// Whether the last save failed and none has succeeded since.
    pub fn is_failing(&self) -> bool {
        self.backoff > INITIAL_BACKOFF
    }
}

/// The newest exclusions, at most [`MAX_EXCLUSIONS`]: the oldest are the most likely to have ended.
fn newest_exclusions(mut exclusions: Vec<ManualExclusion>) -> Vec<ManualExclusion> {
    exclusions.sort_by_key(|exclusion| {
        let previous_end = exclusion.previous.map(|(_, to)| to);
        exclusion.excluded_since.max(previous_end)
    });
    exclusions.drain(..exclusions.len().saturating_sub(MAX_EXCLUSIONS));
    exclusions
}

#[cfg(test)]
mod tests;
