//! The reactor of the event loop: descriptors watched by epoll, each with a token.

use super::retries::Retries;
use super::system_calls::errors::{classify, Call, Failure};
use super::system_calls::{self, RETRY_PAUSE};
use super::token::Token;
use rustix::event::{epoll, Timespec};
use rustix::io::Errno;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::time::{Duration, Instant};

/// Maximum number of events fetched by one call.
const BATCH: usize = 256;
/// Maximum time that one call waits.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// The events that a descriptor is watched for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    /// Bytes to read.
    pub read: bool,
    /// Room to write.
    pub write: bool,
}

impl Interest {
    /// Bytes to read only.
    pub const READ: Interest = Interest {
        read: true,
        write: false,
    };
    /// Room to write only.
    pub const WRITE: Interest = Interest {
        read: false,
        write: true,
    };

    fn flags(self) -> epoll::EventFlags {
        // The end of the peer's output is reported even while nothing is read.
        let mut flags = epoll::EventFlags::RDHUP;
        flags.set(epoll::EventFlags::IN, self.read);
        flags.set(epoll::EventFlags::OUT, self.write);
        flags
    }
}

/// A descriptor that is ready for at least one of the events it is watched for; the subsequent system calls show which.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// The owner of the descriptor.
    pub token: Token,
    /// Whether the peer has ended its side, or the connection is broken.
    pub ended: bool,
}

/// The order in which the events of one batch are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Admin calls and health checks are answered first, whatever else is ready.
    Operations,
    /// A client that has left, before other events cause anything to be sent on its behalf.
    Departure,
    /// All other events.
    Other,
}

impl Ready {
    /// The priority among the events of a batch.
    pub fn priority(&self) -> Priority {
        match self.token {
            token if token.is_operational() => Priority::Operations,
            Token::Client(_) if self.ended => Priority::Departure,
            _ => Priority::Other,
        }
    }
}

/// An epoll instance.
pub struct Reactor {
    epoll: OwnedFd,
    retries: RefCell<Retries>,
    /// Listeners that are not watched until a retry finds their backlog empty.
    paused: RefCell<BTreeSet<Token>>,
}

impl Reactor {
    /// An epoll instance that watches nothing.
    pub fn new() -> io::Result<Reactor> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        Ok(Reactor {
            epoll,
            retries: RefCell::default(),
            paused: RefCell::default(),
        })
    }

    /// Watches a new descriptor. Unlike in [`Reactor::update`], a lack of memory is an error.
    pub fn register(&self, fd: impl AsFd, token: Token, interest: Interest) -> io::Result<()> {
        let (data, flags) = (token.encode(), interest.flags());
        Ok(system_calls::epoll_add(&self.epoll, fd, data, flags)?)
    }

    /// Sets the events that a descriptor is watched for. `watched`: whether the descriptor is currently watched.
    /// Returns false if the system lacks memory. In that case the descriptor is not watched and is reported as ready
    /// after a pause, so that its owner sets the interest again as after any event.
    pub fn update(
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
                // With its previous interest the descriptor could be reported as ready all the time.
                self.deregister(&fd);
                self.retry_later(token);
                Ok(false)
            }
            Failure::Broken | Failure::Fatal => Err(errno.into()),
        }
    }

    /// Reports a descriptor as ready after a pause, without information on whether its peer has ended.
    pub fn retry_later(&self, token: Token) {
        let at = Instant::now() + RETRY_PAUSE;
        self.retries.borrow_mut().add(at, token);
    }

    /// Stops watching a listener from which no connection can be accepted now, and reports it as ready after a pause.
    pub fn pause(&self, listener: impl AsFd, token: Token) {
        self.deregister(listener);
        self.paused.borrow_mut().insert(token);
        self.retry_later(token);
    }

    /// Watches a listener again after [`Reactor::pause`].
    pub fn resume(&self, listener: impl AsFd, token: Token) {
        let mut paused = self.paused.borrow_mut();
        if paused.contains(&token)
            && matches!(
                self.update(listener, token, Interest::READ, false),
                Ok(true)
            )
        {
            paused.remove(&token);
        }
    }

    /// Stops watching a descriptor. This is needed before closing a descriptor that another process holds too, since
    /// epoll would continue to watch it.
    pub fn deregister(&self, fd: impl AsFd) {
        _ = system_calls::epoll_remove(&self.epoll, fd);
    }

    /// Waits for the first event or until `until`. An interrupted wait returns no events.
    pub fn wait(&self, until: Option<Instant>, ready: &mut Vec<Ready>) -> io::Result<()> {
        ready.clear();
        let retry = self.retries.borrow().next();
        let timeout = until.into_iter().chain(retry).min().map(time_until);
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
        if retries.is_empty() {
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

fn time_until(at: Instant) -> Timespec {
    let left = at.saturating_duration_since(Instant::now());
    Timespec {
        tv_sec: left.as_secs().min(MAX_WAIT.as_secs()) as i64,
        tv_nsec: left.subsec_nanos().into(),
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
