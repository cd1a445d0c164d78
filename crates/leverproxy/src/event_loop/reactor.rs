//! What the single thread waits on: descriptors with tokens, timers, and signals.

use crate::event_loop::system_calls::{self, classify, Call, Failure, RETRY_PAUSE};
use rustix::event::{epoll, Timespec};
use rustix::io::Errno;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};
use std::io;
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::time::{Duration, Instant};

/// A place in [`Slots`]. The generation tells apart those that had the same index one after the other: an
/// event that was fetched before its connection closed never reaches the next one in its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    index: u32,
    generation: u32,
}

/// An arena whose keys go stale when what they name is removed.
#[derive(Debug)]
pub struct Slots<T> {
    entries: Vec<(u32, Option<T>)>,
    free: Vec<u32>,
}

impl<T> Default for Slots<T> {
    fn default() -> Self {
        Slots {
            entries: Vec::new(),
            free: Vec::new(),
        }
    }
}

/// Generations wrap within what a token has room for.
const GENERATIONS: u32 = 1 << 24;

impl<T> Slots<T> {
    pub fn insert(&mut self, value: T) -> Key {
        let index = self.free.pop().unwrap_or_else(|| {
            self.entries.push((0, None));
            self.entries.len() as u32 - 1
        });
        let entry = &mut self.entries[index as usize];
        entry.1 = Some(value);
        Key {
            index,
            generation: entry.0,
        }
    }

    pub fn remove(&mut self, key: Key) -> Option<T> {
        let entry = self
            .entries
            .get_mut(key.index as usize)
            .filter(|e| e.0 == key.generation)?;
        let value = entry.1.take()?;
        entry.0 = (entry.0 + 1) % GENERATIONS;
        self.free.push(key.index);
        Some(value)
    }

    pub fn get(&self, key: Key) -> Option<&T> {
        self.entries
            .get(key.index as usize)
            .filter(|e| e.0 == key.generation)?
            .1
            .as_ref()
    }

    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        self.entries
            .get_mut(key.index as usize)
            .filter(|e| e.0 == key.generation)?
            .1
            .as_mut()
    }

    pub fn len(&self) -> usize {
        self.entries.len() - self.free.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn iter(&self) -> impl Iterator<Item = (Key, &T)> + Clone {
        let used = |(index, (generation, value)): (usize, &'_ (u32, Option<T>))| {
            (
                Key {
                    index: index as u32,
                    generation: *generation,
                },
                value.is_some(),
            )
        };
        self.entries
            .iter()
            .enumerate()
            .map(used)
            .filter(|u| u.1)
            .filter_map(|u| Some((u.0, self.get(u.0)?)))
    }

    pub fn keys(&self) -> Vec<Key> {
        self.iter().map(|(key, _)| key).collect()
    }
}

/// Whose descriptor an event is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Token {
    Listener,
    Control,
    Discovery(Key),
    Client(Key),
    Upstream(Key),
    /// Of the balancers' listeners, by their order.
    HealthListener(u16),
    Health(Key),
    /// The operators' socket and who speaks on it.
    OperateListener,
    Operate(Key),
    /// The second address and who calls there.
    AdminListener,
    Admin(Key),
    /// Where the next process comes, and the links to others.
    TakeoverListener,
    Takeover(Key),
    /// Datagrams of other proxies.
    Members,
}

impl Token {
    /// Balancers' checks and operators' calls.
    fn is_operations(self) -> bool {
        matches!(
            self,
            Token::Health(_) | Token::HealthListener(_) | Token::Admin(_) | Token::AdminListener
        )
    }

    fn encode(self) -> u64 {
        let (kind, key) = match self {
            Token::Listener => (0, None),
            Token::Control => (1, None),
            Token::Discovery(key) => (2, Some(key)),
            Token::Client(key) => (3, Some(key)),
            Token::Upstream(key) => (4, Some(key)),
            Token::HealthListener(at) => (
                5,
                Some(Key {
                    index: at.into(),
                    generation: 0,
                }),
            ),
            Token::Health(key) => (6, Some(key)),
            Token::OperateListener => (7, None),
            Token::Operate(key) => (8, Some(key)),
            Token::AdminListener => (9, None),
            Token::Admin(key) => (10, Some(key)),
            Token::TakeoverListener => (11, None),
            Token::Takeover(key) => (12, Some(key)),
            Token::Members => (13, None),
        };
        let key = key.map_or(0, |k| u64::from(k.generation) << 32 | u64::from(k.index));
        kind << 56 | key
    }

    fn decode(raw: u64) -> Option<Token> {
        let key = Key {
            index: raw as u32,
            generation: (raw >> 32) as u32 % GENERATIONS,
        };
        Some(match raw >> 56 {
            0 => Token::Listener,
            1 => Token::Control,
            2 => Token::Discovery(key),
            3 => Token::Client(key),
            4 => Token::Upstream(key),
            5 => Token::HealthListener(raw as u16),
            6 => Token::Health(key),
            7 => Token::OperateListener,
            8 => Token::Operate(key),
            9 => Token::AdminListener,
            10 => Token::Admin(key),
            11 => Token::TakeoverListener,
            12 => Token::Takeover(key),
            13 => Token::Members,
            _ => return None,
        })
    }
}

/// What a descriptor is watched for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    pub read: bool,
    pub write: bool,
}

impl Interest {
    pub const READ: Interest = Interest {
        read: true,
        write: false,
    };
    pub const WRITE: Interest = Interest {
        read: false,
        write: true,
    };

    fn flags(self) -> epoll::EventFlags {
        // The end of a peer is told even while nothing is read from it.
        let mut flags = epoll::EventFlags::RDHUP;
        flags.set(epoll::EventFlags::IN, self.read);
        flags.set(epoll::EventFlags::OUT, self.write);
        flags
    }
}

/// A descriptor is ready for what it is watched for; the calls that follow tell for what.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    pub token: Token,
    /// The peer has ended its side, or the connection is broken.
    pub ended: bool,
}

/// The order in which the events of one batch are worked through.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Turn {
    /// Whatever else is ready, operators and balancers are answered first.
    Operations,
    /// A client that has left: nothing may be sent for it by what the other events bring about.
    Departure,
    Other,
}

impl Ready {
    /// When it is this event's turn.
    pub fn turn(&self) -> Turn {
        match self.token {
            token if token.is_operations() => Turn::Operations,
            Token::Client(_) if self.ended => Turn::Departure,
            _ => Turn::Other,
        }
    }
}

pub struct Reactor {
    epoll: OwnedFd,
    retries: RefCell<Retries>,
    /// Listeners that are not watched until a retry finds them empty.
    resting: RefCell<BTreeSet<Token>>,
}

/// What is called ready at a time: the system lacked memory to watch it or to transfer its bytes.
#[derive(Default)]
struct Retries {
    /// In the order of their times.
    due: VecDeque<(Instant, Token)>,
    /// Each is there once, however often it is asked for.
    tokens: BTreeSet<Token>,
}

impl Retries {
    fn add(&mut self, at: Instant, token: Token) {
        if self.tokens.insert(token) {
            self.due.push_back((at, token));
        }
    }

    fn next(&self) -> Option<Instant> {
        self.due.front().map(|(at, _)| *at)
    }

    fn pop_due(&mut self, now: Instant) -> Option<Token> {
        let (_, token) = self.due.pop_front_if(|(at, _)| *at <= now)?;
        self.tokens.remove(&token);
        Some(token)
    }
}

/// Events fetched at once.
const BATCH: usize = 256;

impl Reactor {
    pub fn new() -> io::Result<Reactor> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        Ok(Reactor {
            epoll,
            retries: RefCell::default(),
            resting: RefCell::default(),
        })
    }

    /// Watches a descriptor from the start of its life; a lack of memory for that is an error.
    pub fn add(&self, fd: impl AsFd, token: Token, interest: Interest) -> io::Result<()> {
        Ok(system_calls::epoll_add(
            &self.epoll,
            fd,
            token.encode(),
            interest.flags(),
        )?)
    }

    /// Watches a descriptor while the process serves. False: the system lacks memory for that. The descriptor is not
    /// watched then, and is called ready after a pause; its owner asks again as it does after any event.
    pub fn set(
        &self,
        fd: impl AsFd,
        token: Token,
        interest: Interest,
        watched: bool,
    ) -> io::Result<bool> {
        let (data, flags) = (token.encode(), interest.flags());
        let add = || system_calls::epoll_add(&self.epoll, &fd, data, flags);
        let change = || system_calls::epoll_change(&self.epoll, &fd, data, flags);
        let result = match if watched { change() } else { add() } {
            Err(Errno::NOENT) => add(),
            Err(Errno::EXIST) => change(),
            result => result,
        };
        let Err(errno) = result else { return Ok(true) };
        match classify(Call::EpollControl, errno) {
            Failure::RetryNow | Failure::NotReady | Failure::RetryLater => {
                // Watched as before it could be ready all the time.
                self.remove(&fd);
                self.retry(token);
                Ok(false)
            }
            Failure::Broken | Failure::Fatal => Err(errno.into()),
        }
    }

    /// Calls it ready after a pause, with `ended` unknown.
    pub fn retry(&self, token: Token) {
        self.retries
            .borrow_mut()
            .add(Instant::now() + RETRY_PAUSE, token);
    }

    /// Does not watch a listener whose next connection can't be accepted now, and calls it ready after a pause.
    pub fn rest(&self, listener: impl AsFd, token: Token) {
        self.remove(listener);
        self.resting.borrow_mut().insert(token);
        self.retry(token);
    }

    /// Watches a listener again after [`Reactor::rest`].
    pub fn wake(&self, listener: impl AsFd, token: Token) {
        let mut resting = self.resting.borrow_mut();
        if resting.contains(&token)
            && matches!(self.set(listener, token, Interest::READ, false), Ok(true))
        {
            resting.remove(&token);
        }
    }

    /// No more of it is told. Needed before a descriptor is closed that another process holds too: it would go on
    /// being watched.
    pub fn remove(&self, fd: impl AsFd) {
        _ = system_calls::epoll_remove(&self.epoll, fd);
    }

    /// Waits for the first event or until `until`; an interrupted wait returns nothing.
    pub fn wait(&self, until: Option<Instant>, ready: &mut Vec<Ready>) -> io::Result<()> {
        ready.clear();
        let retry = self.retries.borrow().next();
        let until = until.into_iter().chain(retry).min();
        let timeout = until.map(|at| {
            let left = at.saturating_duration_since(Instant::now());
            Timespec {
                tv_sec: left.as_secs().min(3_600) as i64,
                tv_nsec: left.subsec_nanos().into(),
            }
        });
        let mut buffer = [const { MaybeUninit::uninit() }; BATCH];
        match system_calls::epoll_wait(&self.epoll, &mut buffer, timeout.as_ref()) {
            Ok(events) => ready.extend(events.iter().filter_map(decode)),
            Err(errno) => match classify(Call::EpollWait, errno) {
                Failure::RetryNow | Failure::NotReady => {}
                Failure::RetryLater => std::thread::sleep(RETRY_PAUSE),
                Failure::Broken | Failure::Fatal => return Err(errno.into()),
            },
        }
        self.take_retries(ready);
        Ok(())
    }

    fn take_retries(&self, ready: &mut Vec<Ready>) {
        let mut retries = self.retries.borrow_mut();
        if retries.due.is_empty() {
            return;
        }
        let now = Instant::now();
        while let Some(token) = retries.pop_due(now) {
            ready.push(Ready {
                token,
                ended: false,
            });
        }
    }
}

fn decode(event: &epoll::Event) -> Option<Ready> {
    let (flags, data) = (event.flags, event.data);
    let broken = flags.intersects(epoll::EventFlags::ERR | epoll::EventFlags::HUP);
    let token = Token::decode(data.u64())?;
    Some(Ready {
        token,
        ended: broken || flags.contains(epoll::EventFlags::RDHUP),
    })
}

/// Due times. Nothing is taken back: whoever set one checks on its call whether it still means something.
#[derive(Debug)]
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<(Instant, u64, T)>>,
    set: u64,
}

impl<T: Ord> Default for Timers<T> {
    fn default() -> Self {
        Timers {
            heap: BinaryHeap::new(),
            set: 0,
        }
    }
}

impl<T: Ord> Timers<T> {
    pub fn set(&mut self, at: Instant, what: T) {
        self.set += 1;
        self.heap.push(Reverse((at, self.set, what)));
    }

    pub fn next(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((at, ..))| *at)
    }

    pub fn pop_due(&mut self, now: Instant) -> Option<T> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((.., what))| what)
    }
}

/// A time so far off that the sum would not fit is never reached; a day stands for it.
pub fn later(now: Instant, by: Duration) -> Instant {
    now + by.min(Duration::from_secs(86_400))
}
