//! Discovery service that keeps the endpoint list for all proxies. It learns of changes with a delay, handles calls one
//! at a time, and can fall further behind or go down.

use crate::site::{ServerIndex, Site, Status};
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Delays of the discovery service, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Delay until a change is published.
    pub late: Micros,
    /// Processing time per call.
    pub call: Micros,
    /// Maximum time that a call may wait; calls that waited longer fail.
    pub patience: Micros,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            late: 4_000_000,
            call: 2_000,
            patience: 2_000_000,
        }
    }
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// The server.
    pub server: ServerIndex,
    /// The server's group.
    pub group: u32,
    /// The server's building.
    pub place: u16,
    /// The server's state.
    pub status: Status,
    /// Start time of the server; 0: before the run.
    pub started: Micros,
}

impl Record {
    /// Record of a server's present state.
    pub fn of(site: &Site, server: ServerIndex) -> Record {
        Record {
            server,
            group: site.group(server),
            place: site.place(server),
            status: site.status(server),
            started: site.started(server),
        }
    }
}

/// Index of the calling proxy.
pub type Caller = usize;

/// Input to the discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The state of a server has changed to this record.
    Changed(Record),
    /// A call for all changes after an index, and a watch for later ones.
    Watch {
        /// The proxy that calls.
        caller: Caller,
        /// Index up to which the proxy has the list; 0 requests the complete list.
        after: u64,
    },
    /// The caller is gone; its calls and its watch end.
    Leave(Caller),
    /// Additional delay of changes from now on; 0 ends it.
    Behind(Micros),
    /// Whether the service is down: all calls fail and all watches end.
    Down(bool),
    /// A time requested with [`Action::DueAt`] is reached.
    Due,
}

/// Output of the discovery service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends entries to a caller.
    Update {
        /// The receiving proxy.
        caller: Caller,
        /// Index of the list that includes these entries.
        index: u64,
        /// Whether the entries are the complete list rather than changes.
        complete: bool,
        /// The entries.
        records: Vec<Record>,
    },
    /// Fails a call or ends a watch.
    Fail(Caller),
    /// Requests [`Event::Due`] at this time.
    DueAt(Micros),
}

/// The discovery service.
#[derive(Clone, Debug)]
pub struct Catalog {
    set: Settings,
    behind: Micros,
    down: bool,
    index: u64,
    /// Published records by server, each with the index of its last change.
    published: BTreeMap<ServerIndex, (u64, Record)>,
    /// Changes that are not published yet, as (time of publication, record), in order.
    unpublished: VecDeque<(Micros, Record)>,
    watchers: BTreeSet<Caller>,
    /// Queued calls as (arrival time, caller, index); the first one is processed until `busy_until`.
    calls: VecDeque<(Micros, Caller, u64)>,
    busy_until: Micros,
}

/// Maximum number of records of gone servers kept for incremental updates; beyond it the oldest are dropped.
const MAX_GONE_RECORDS: usize = 10_000;

impl Catalog {
    /// Service whose list holds these records.
    pub fn new(set: Settings, records: impl IntoIterator<Item = Record>) -> Catalog {
        let published = records
            .into_iter()
            .map(|record| (record.server, (1, record)))
            .collect();
        Catalog {
            set,
            behind: 0,
            down: false,
            index: 1,
            published,
            unpublished: VecDeque::new(),
            watchers: BTreeSet::new(),
            calls: VecDeque::new(),
            busy_until: 0,
        }
    }

    /// Current index of the list.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Records of all servers that are not gone.
    pub fn records(&self) -> impl Iterator<Item = Record> + '_ {
        self.published
            .values()
            .map(|(_, record)| *record)
            .filter(|r| r.status != Status::Gone)
    }

    /// Applies an event and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Changed(record) => {
                let last = self.unpublished.back().map_or(0, |(at, _)| *at);
                let at = (now + self.set.late + self.behind).max(last);
                self.unpublished.push_back((at, record));
                actions.push(Action::DueAt(at));
            }
            Event::Watch { caller, .. } if self.down => actions.push(Action::Fail(caller)),
            Event::Watch { caller, after } => {
                self.watchers.remove(&caller);
                if self.calls.is_empty() {
                    self.busy_until = now + self.set.call;
                    actions.push(Action::DueAt(self.busy_until));
                }
                self.calls.push_back((now, caller, after));
            }
            Event::Leave(caller) => {
                self.watchers.remove(&caller);
                self.calls.retain(|(_, c, _)| *c != caller);
            }
            Event::Behind(extra) => self.behind = extra,
            Event::Down(down) => {
                self.down = down;
                if down {
                    let lost = std::mem::take(&mut self.watchers);
                    let calls = std::mem::take(&mut self.calls);
                    actions.extend(lost.into_iter().map(Action::Fail));
                    actions.extend(calls.into_iter().map(|(_, caller, _)| Action::Fail(caller)));
                }
            }
            Event::Due => self.due(now, actions),
        }
    }

    fn due(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let mut changes = Vec::new();
        while let Some((_, record)) = self.unpublished.front().filter(|(at, _)| *at <= now) {
            changes.push(*record);
            self.index += 1;
            self.published.insert(record.server, (self.index, *record));
            self.unpublished.pop_front();
        }
        if !changes.is_empty() {
            self.drop_oldest_gone();
            for caller in &self.watchers {
                let (caller, index, records) = (*caller, self.index, changes.clone());
                actions.push(Action::Update {
                    caller,
                    index,
                    complete: false,
                    records,
                });
            }
        }
        while !self.calls.is_empty() && self.busy_until <= now {
            let Some((came, caller, after)) = self.calls.pop_front() else {
                break;
            };
            if now - came > self.set.patience {
                actions.push(Action::Fail(caller));
            } else {
                self.answer(caller, after, actions);
                self.busy_until = now + self.set.call;
            }
            if !self.calls.is_empty() && self.busy_until > now {
                actions.push(Action::DueAt(self.busy_until));
            }
        }
    }

    fn answer(&mut self, caller: Caller, after: u64, actions: &mut Vec<Action>) {
        self.watchers.insert(caller);
        let complete = after == 0 || after > self.index;
        let newer = self
            .published
            .values()
            .filter(|(at, _)| complete || *at > after)
            .map(|(_, r)| *r);
        let records = newer
            .filter(|r| !complete || r.status != Status::Gone)
            .collect();
        actions.push(Action::Update {
            caller,
            index: self.index,
            complete,
            records,
        });
    }

    fn drop_oldest_gone(&mut self) {
        let gone = |(_, r): &(u64, Record)| r.status == Status::Gone;
        let number = self.published.values().filter(|k| gone(k)).count();
        if number > MAX_GONE_RECORDS {
            let mut indices: Vec<u64> = self
                .published
                .values()
                .filter(|k| gone(k))
                .map(|(at, _)| *at)
                .collect();
            indices.sort_unstable();
            let oldest = indices[number - MAX_GONE_RECORDS];
            self.published.retain(|_, k| !gone(k) || k.0 >= oldest);
        }
    }
}
