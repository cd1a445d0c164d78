//! What the proxy remembers over a kill or a power loss: the file in its directory, read at the start and written by a thread
//! beside the loop. What is trusted and when it is written is `persistent_state`'s; here is what carries it to the disk.

use crate::discovery::wire::Listing;
use crate::event_loop::reactor::Key;
use crate::persistence::state_file::{self, Lock, LockError, Writer};
use configuration::model::Persistence as Stated;
use maintenance::Hand;
use persistent_state::{recall, Action, After, Core, Event, List, FILE_MOST};
use std::io;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use thiserror::Error;
use wire_admin::{Answer, Figures, Status};

const FILE: &str = "memory.state";
const LOCK: &str = "memory.lock";
/// It is looked whether anything has changed, and a lock that another holds is tried again.
pub const LOOK: Duration = Duration::from_millis(200);
/// An operator's call waits so long for the disk: half of what an answer may take.
const PROMISED: Duration = Duration::from_millis(500);

/// Why something is not remembered.
#[derive(Debug, Error)]
pub enum Fault {
    #[error("memory: {0}")]
    Lock(#[from] LockError),
    #[error("memory: {0} can't be read: {1}")]
    Read(PathBuf, #[source] io::Error),
    #[error("memory: {0}: {1}")]
    Unread(PathBuf, #[source] persistent_state::Fault),
    #[error("memory: {0} can't be written: {1}")]
    Write(PathBuf, #[source] io::Error),
    #[error("memory: the list has {0} bytes: it is too long to be kept")]
    TooLong(usize),
    #[error("memory: discovery counts {given}, and had counted {kept} before this start")]
    WentBack { kept: u64, given: u64 },
}

impl Fault {
    pub fn advice(&self) -> &'static str {
        match self {
            Fault::Lock(error) => error.advice(),
            Fault::Read(..) => {
                "Make the directory of `memory` readable for the proxy's user. The proxy has started without what was kept: take out again by hand what was out."
            }
            Fault::Unread(_, fault) => fault.advice(),
            Fault::Write(..) => {
                "Make room on the disk, and let the proxy's user write in the directory of `memory`. Until then calls are answered with `not kept`: what is out by hand serves again after a kill. It is tried again, at last once a minute."
            }
            Fault::TooLong(_) => {
                "The servers that are out by hand are kept all the same. After a power loss this proxy begins with the platform's list or waits for discovery's."
            }
            Fault::WentBack { .. } => {
                "Discovery has lost changes that it had told, or is another one. Its list counts; see that it has all servers, and that those are drained that should be."
            }
        }
    }
}

/// What a former life left, as this one begins with it.
#[derive(Debug, Default)]
pub struct Recalled {
    /// A start no greater than this was another process's.
    pub start: u64,
    pub listing: Option<Listing>,
    pub hands: Vec<Hand>,
}

pub struct Memory {
    stated: Stated,
    core: Core,
    lock: Option<Lock>,
    writer: Option<Writer>,
    waker: UnixStream,
    origin: Instant,
    /// The directory is another proxy's: nothing is written there.
    foreign: bool,
    unread: bool,
    /// That another holds it was told.
    told_held: bool,
    /// Of the list that was told last, and of the one that was found.
    index: Option<u64>,
    found_index: Option<u64>,
    /// Calls whose yes waits for the disk.
    promised: Vec<(Key, &'static str, Instant)>,
    saves: u64,
    saves_failed: u64,
    went_back: u64,
}

fn of_kept(hand: persistent_state::Hand) -> Hand {
    let ms = Duration::from_millis;
    let persistent_state::Hand { name, out, before } = hand;
    Hand {
        name,
        out: out.map(ms),
        before: before.map(|(from, to)| (ms(from), ms(to))),
    }
}

fn to_keep(hand: Hand) -> persistent_state::Hand {
    let ms = |at: Duration| at.as_millis() as u64;
    let Hand { name, out, before } = hand;
    persistent_state::Hand {
        name,
        out: out.map(ms),
        before: before.map(|(from, to)| (ms(from), ms(to))),
    }
}

impl Memory {
    /// `heir`: an elder has handed over what it knew; `known`: the platform's list.
    pub fn begin(
        stated: Stated,
        name: &str,
        heir: bool,
        known: &Listing,
        waker: UnixStream,
        now: Instant,
    ) -> (Memory, Recalled) {
        let path = stated.state.join(FILE);
        let platform = (known.index > 0 || !known.endpoints.is_empty()).then_some(known.index);
        let after = if heir {
            After::Elder
        } else {
            After::Nobody { platform }
        };
        let read =
            state_file::load(&path, FILE_MOST).map_err(|error| Fault::Read(path.clone(), error));
        let read = read.and_then(|kept| {
            recall(name, kept.as_deref(), after).map_err(|why| Fault::Unread(path, why))
        });
        let foreign = matches!(
            read,
            Err(Fault::Unread(_, persistent_state::Fault::Foreign(_)))
        );
        let unread = read.is_err();
        let (recalled, found) = read.unwrap_or_else(|fault| {
            log::error!("{fault}. {}", fault.advice());
            Default::default()
        });
        let mut listing = None;
        if let Some(list) = &recalled.list {
            match Listing::parse(&list.bytes) {
                // Asked for anew in whole: discovery may count anew below it.
                Ok(kept) => listing = Some(Listing { index: 0, ..kept }),
                Err(error) => log::warn!(
                    "memory: the list that was kept is not understood: {}",
                    error.0
                ),
            }
        }
        let hands: Vec<Hand> = recalled.hands.into_iter().map(of_kept).collect();
        if found.is_some() {
            let servers = listing
                .as_ref()
                .map_or(0, |listing| listing.endpoints.len());
            let out = hands.iter().filter(|hand| hand.out.is_some()).count();
            log::info!(
                "memory: {servers} record servers are known from before, {out} are out by hand"
            );
        }
        let memory = Memory {
            core: Core::new(name, stated.every, found),
            stated,
            lock: None,
            writer: None,
            waker,
            origin: now,
            foreign,
            unread,
            told_held: false,
            index: None,
            found_index: recalled.list.map(|list| list.index),
            promised: Vec::new(),
            saves: 0,
            saves_failed: 0,
            went_back: 0,
        };
        (
            memory,
            Recalled {
                start: recalled.start,
                listing,
                hands,
            },
        )
    }

    pub fn stated(&self) -> &Stated {
        &self.stated
    }

    /// Whether this process may write: the elder of an upgrade does until it ends.
    fn is_ours(&mut self) -> bool {
        if self.lock.is_none() && !self.foreign {
            match Lock::take(&self.stated.state, LOCK) {
                Ok(lock) => self.lock = Some(lock),
                Err(error) if !std::mem::replace(&mut self.told_held, true) => {
                    let fault = Fault::Lock(error);
                    log::warn!("{fault}. {}", fault.advice());
                }
                Err(_) => {}
            }
        }
        self.lock.is_some()
    }

    /// How things now stand. `list`: discovery's, by its index, if it has spoken.
    pub fn look(
        &mut self,
        start: u64,
        hands: Vec<Hand>,
        list: Option<(u64, &dyn Fn() -> Listing)>,
        now: Instant,
    ) {
        if !self.is_ours() {
            return;
        }
        if let Some((given, _)) = list {
            if let Some(kept) = self.found_index.take().filter(|kept| given < *kept) {
                self.went_back += 1;
                let fault = Fault::WentBack { kept, given };
                log::warn!("{fault}. {}", fault.advice());
            }
        }
        let since = now.saturating_duration_since(self.origin);
        let list =
            list.filter(|(index, _)| self.index != Some(*index) && self.core.takes_list(since));
        if let Some((index, listing)) = list {
            // Plain data: what can't be written would be no list.
            if let Ok(bytes) = serde_json::to_vec(&listing()) {
                self.index = Some(index);
                self.handle(Event::List(List { index, bytes }), now);
            }
        }
        self.handle(Event::Start(start), now);
        self.handle(Event::Hands(hands.into_iter().map(to_keep).collect()), now);
    }

    fn handle(&mut self, event: Event, now: Instant) {
        let since = now.saturating_duration_since(self.origin);
        let mut actions = Vec::new();
        self.core.handle(since, event, &mut actions);
        for action in actions {
            match action {
                Action::Save(bytes) => {
                    if let Err(error) = self.save(bytes) {
                        self.ended(Err(error), now);
                    }
                }
                Action::TooLong(bytes) => {
                    let fault = Fault::TooLong(bytes);
                    log::warn!("{fault}. {}", fault.advice());
                }
            }
        }
    }

    fn save(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        let writer = match self.writer.take() {
            Some(writer) => writer,
            None => Writer::start(self.stated.state.join(FILE), self.waker.try_clone()?)?,
        };
        if !writer.save(bytes) {
            // A thread that has ended is begun again with the next.
            return Err(io::Error::other("the thread that writes has ended"));
        }
        self.writer = Some(writer);
        Ok(())
    }

    /// What came of writes since it was asked last.
    pub fn settle(&mut self, now: Instant) {
        while let Some(saved) = self.writer.as_ref().and_then(Writer::ended) {
            self.ended(saved, now);
        }
    }

    fn ended(&mut self, saved: io::Result<()>, now: Instant) {
        let done = saved.is_ok();
        match saved {
            Ok(()) => self.saves += 1,
            Err(error) => {
                self.saves_failed += 1;
                if !self.core.is_failing() {
                    let fault = Fault::Write(self.stated.state.join(FILE), error);
                    log::error!("{fault}. {}", fault.advice());
                }
            }
        }
        self.handle(Event::Kept(done), now);
    }

    /// The yes to an operator's call, once it is on the disk.
    pub fn promise(&mut self, key: Key, word: &'static str, now: Instant) {
        self.promised.push((key, word, now));
    }

    /// Answers that are due: kept, or not kept for too long.
    pub fn answers(&mut self, now: Instant) -> Vec<(Key, Answer)> {
        let kept = self.lock.is_some() && self.core.has_words();
        let hopeless = self.foreign || self.core.is_failing();
        let due = |at: Instant| now.saturating_duration_since(at) >= PROMISED;
        let mut answers = Vec::new();
        self.promised.retain(|(key, word, at)| {
            let answered = kept || hopeless || due(*at);
            if answered {
                let text = if kept {
                    (*word).to_owned()
                } else {
                    format!("{word}, not kept")
                };
                answers.push((*key, Answer::line(Status::Ok, &text)));
            }
            !answered
        });
        answers
    }

    pub fn figures(&self, figures: &mut Figures) {
        for (name, help, value) in [
            ("lb_memory_unread", "Whether this process began without what was kept.", u64::from(self.unread)),
            (
                "lb_memory_failing",
                "Whether nothing is kept at present: the disk fails, or the directory is another's.",
                u64::from(self.foreign || self.core.is_failing() || self.lock.is_none()),
            ),
            (
                "lb_memory_waiting",
                "Whether the disk lacks something that is to be remembered.",
                u64::from(!self.core.is_kept()),
            ),
            (
                "lb_memory_list_index",
                "Discovery's count of the list that is kept; 0: none is.",
                self.core.list_index(),
            ),
            ("lb_memory_saves_total", "Times that it was written.", self.saves),
            ("lb_memory_saves_failed_total", "Times that it could not be.", self.saves_failed),
            (
                "lb_memory_list_went_back_total",
                "Whether discovery's first list counted less than the one that was kept.",
                self.went_back,
            ),
        ] {
            figures.one(name, help, value);
        }
    }
}
