//! Discovery: the list of servers as one service keeps it for all proxies. It is late, it works through calls in turn,
//! and it can fall further behind or go down.

use crate::site::{ServerIndex, Site, Status};
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How late and how slow the discovery service is, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// A change is told this much later.
    pub late: Micros,
    /// What a call takes; a call that has waited for longer than that fails.
    pub call: Micros,
    /// How long a call may wait.
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
    /// Its group.
    pub group: u32,
    /// Its building.
    pub place: u16,
    /// Its state.
    pub status: Status,
    /// When it started; 0: long ago.
    pub started: Micros,
}

impl Record {
    /// What is true of a server, as the list would have it.
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

/// Whoever calls: a proxy.
pub type Caller = usize;

/// What happens to the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Something is true of a server from now on.
    Changed(Record),
    /// A call for all changes behind an index, and those to come.
    Watch {
        /// The proxy that calls.
        caller: Caller,
        /// The index up to which it knows the list.
        after: u64,
    },
    /// The caller is gone, and its watch with it.
    Leave(Caller),
    /// Further behind by so much from now on; 0: no longer.
    Behind(Micros),
    /// Calls fail and watches end, until it is up again.
    Down(bool),
    /// A time that was asked for with [`Action::DueAt`].
    Due,
}

/// What the service does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends entries to a caller.
    Tell {
        /// The proxy that gets them.
        caller: Caller,
        /// The list's index with these entries.
        index: u64,
        /// The entries are the whole list.
        complete: bool,
        /// The entries.
        records: Vec<Record>,
    },
    /// Fails a call or ends a watch.
    Fail(Caller),
    /// Asks for [`Event::Due`] at that time.
    DueAt(Micros),
}

/// The discovery service.
#[derive(Clone, Debug)]
pub struct Catalog {
    set: Settings,
    behind: Micros,
    down: bool,
    index: u64,
    /// What it knows, and at which index each was told last.
    known: BTreeMap<ServerIndex, (u64, Record)>,
    /// Changes that it will know of, in their order.
    coming: VecDeque<(Micros, Record)>,
    watchers: BTreeSet<Caller>,
    /// Calls with when they came; the first is being worked on until then.
    calls: VecDeque<(Micros, Caller, u64)>,
    busy_until: Micros,
}

/// Records of what is gone are kept for the changes; beyond this many the oldest go.
const GONE_KEPT: usize = 10_000;

impl Catalog {
    /// A service that knows these servers.
    pub fn new(set: Settings, records: impl IntoIterator<Item = Record>) -> Catalog {
        let known = records
            .into_iter()
            .map(|record| (record.server, (1, record)))
            .collect();
        Catalog {
            set,
            behind: 0,
            down: false,
            index: 1,
            known,
            coming: VecDeque::new(),
            watchers: BTreeSet::new(),
            calls: VecDeque::new(),
            busy_until: 0,
        }
    }

    /// The list's present index.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Everything that is not gone.
    pub fn records(&self) -> impl Iterator<Item = Record> + '_ {
        self.known
            .values()
            .map(|(_, record)| *record)
            .filter(|r| r.status != Status::Gone)
    }

    /// Applies an event and appends what follows from it.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Changed(record) => {
                let last = self.coming.back().map_or(0, |(at, _)| *at);
                let at = (now + self.set.late + self.behind).max(last);
                self.coming.push_back((at, record));
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
        while let Some((_, record)) = self.coming.front().filter(|(at, _)| *at <= now) {
            changes.push(*record);
            self.index += 1;
            self.known.insert(record.server, (self.index, *record));
            self.coming.pop_front();
        }
        if !changes.is_empty() {
            self.forget();
            for caller in &self.watchers {
                let (caller, index, records) = (*caller, self.index, changes.clone());
                actions.push(Action::Tell {
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
            .known
            .values()
            .filter(|(at, _)| complete || *at > after)
            .map(|(_, r)| *r);
        let records = newer
            .filter(|r| !complete || r.status != Status::Gone)
            .collect();
        actions.push(Action::Tell {
            caller,
            index: self.index,
            complete,
            records,
        });
    }

    fn forget(&mut self) {
        let gone = |(_, r): &(u64, Record)| r.status == Status::Gone;
        let number = self.known.values().filter(|k| gone(k)).count();
        if number > GONE_KEPT {
            let mut indices: Vec<u64> = self
                .known
                .values()
                .filter(|k| gone(k))
                .map(|(at, _)| *at)
                .collect();
            indices.sort_unstable();
            let oldest = indices[number - GONE_KEPT];
            self.known.retain(|_, k| !gone(k) || k.0 >= oldest);
        }
    }
}
