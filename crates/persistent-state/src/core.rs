//! What is kept, and when: operators' words and starts at once, lists at a pace, one write at a time.

use crate::file::{self, Hand, List, Memory, HANDS_MOST, LIST_MOST};
use std::time::Duration;

/// After a write that failed the next waits this long, then twice as long each time.
const AGAIN: Duration = Duration::from_secs(1);
const AGAIN_MOST: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
pub enum Event {
    /// The start that this process goes on under, as the others know it.
    Start(u64),
    /// All that operators have said and that still counts.
    Hands(Vec<Hand>),
    /// Discovery's list, as it now is.
    List(List),
    /// What came of the last `Save`.
    Kept(bool),
    /// Time has passed.
    Tick,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Keep that in the place of what is kept, then say `Kept`; none is asked for before.
    Save(Vec<u8>),
    /// The list is too long to be kept.
    TooLong(usize),
}

/// What is on the disk, on its way there, or to go there.
#[derive(Clone, Debug)]
pub struct Core {
    name: String,
    every: Duration,
    now: Memory,
    kept: Option<Memory>,
    /// A write has failed since: the disk may have what it was to write all the same.
    unsure: bool,
    saving: Option<Memory>,
    /// A list is not written before that.
    list_due: Duration,
    /// After a failure nothing is.
    again: Option<Duration>,
    wait: Duration,
    too_long: bool,
}

impl Core {
    /// `every`: lists that change without end are written this often.
    pub fn new(name: &str, every: Duration, found: Option<Memory>) -> Core {
        Core {
            name: name.to_owned(),
            every,
            now: found.clone().unwrap_or_default(),
            kept: found,
            unsure: false,
            saving: None,
            list_due: Duration::ZERO,
            again: None,
            wait: AGAIN,
            too_long: false,
        }
    }

    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            // Others may have heard the greater one.
            Event::Start(start) => self.now.start = self.now.start.max(start),
            Event::Hands(mut hands) => {
                // Of too many the newest: what was said long ago is the likeliest to be over.
                hands.sort_by_key(|hand| hand.out.max(hand.before.map(|(_, to)| to)));
                hands.drain(..hands.len().saturating_sub(HANDS_MOST));
                self.now.hands = hands;
            }
            Event::List(list) if list.bytes.len() > LIST_MOST => {
                if !std::mem::replace(&mut self.too_long, true) {
                    actions.push(Action::TooLong(list.bytes.len()));
                }
                // An old one would be a worse hint than none.
                self.now.list = None;
            }
            Event::List(list) => {
                self.too_long = false;
                self.now.list = Some(list);
            }
            Event::Kept(true) => {
                self.kept = self.saving.take().or_else(|| self.kept.take());
                self.unsure = false;
                self.wait = AGAIN;
            }
            Event::Kept(false) => {
                self.saving = None;
                self.unsure = true;
                self.again = Some(now + self.wait);
                self.wait = (self.wait * 2).min(AGAIN_MOST);
            }
            Event::Tick => {}
        }
        self.go_on(now, actions);
    }

    fn go_on(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.saving.is_some() || self.again.is_some_and(|again| now < again) || !self.is_due(now)
        {
            return;
        }
        self.again = None;
        self.list_due = now + self.every;
        self.saving = Some(self.now.clone());
        actions.push(Action::Save(file::encode(&self.name, &self.now)));
    }

    fn is_due(&self, now: Duration) -> bool {
        if self.unsure {
            return true;
        }
        let Some(kept) = &self.kept else {
            return self.now != Memory::default();
        };
        let said = (kept.start, &kept.hands) != (self.now.start, &self.now.hands);
        said || kept.list != self.now.list && now >= self.list_due
    }

    /// The index of the list that the disk has; 0: it has none.
    pub fn list_index(&self) -> u64 {
        self.kept
            .as_ref()
            .and_then(|kept| kept.list.as_ref())
            .map_or(0, |list| list.index)
    }

    /// Whether a list that is told now would be written.
    pub fn takes_list(&self, now: Duration) -> bool {
        self.saving.is_none() && now >= self.list_due
    }

    /// The disk has what operators said, and the start, whatever comes of the write that is under way.
    pub fn has_words(&self) -> bool {
        let nothing = Memory::default();
        let has =
            |memory: &Memory| (memory.start, &memory.hands) == (self.now.start, &self.now.hands);
        !self.unsure
            && has(self.kept.as_ref().unwrap_or(&nothing))
            && self.saving.as_ref().is_none_or(has)
    }

    /// The disk has all that is to be remembered.
    pub fn is_kept(&self) -> bool {
        let nothing = Memory::default();
        !self.unsure && self.saving.is_none() && *self.kept.as_ref().unwrap_or(&nothing) == self.now
    }

    /// The last write failed, and none has succeeded since.
    pub fn is_failing(&self) -> bool {
        self.wait > AGAIN
    }
}
