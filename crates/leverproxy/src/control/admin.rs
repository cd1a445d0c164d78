//! The second address: operators' calls, one to a connection, in the one loop.
//!
//! Callers that dawdle cost nobody else an answer: the connections are few and counted apart from clients, the loop looks
//! at them first, and at the limit the one that has gone longest without a whole call gives way to the next caller.

use crate::event_loop::listener::{self, AcceptError};
use crate::event_loop::reactor::{Interest, Reactor};
use crate::event_loop::slab::{Key, Slab};
use crate::event_loop::stream::{ReadStatus, Stream};
use crate::event_loop::token::Token;
use crate::observability::log_rate_limit::LogRateLimit;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::time::{Duration, Instant};
use wire_admin::{Answer, Call, BODY_LIMIT, HEAD_LIMIT};

/// Callers at once; kept back from the descriptors by the configuration.
pub const CONNECTIONS: usize = 32;
/// A call has to come whole within this, and its answer to be taken.
const PATIENCE: Duration = Duration::from_secs(10);

pub struct Admin {
    listener: OwnedFd,
    address: SocketAddr,
    callers: Slab<Caller>,
    exhausted: LogRateLimit,
}

struct Caller {
    stream: Stream,
    since: Instant,
    /// It has its answer; the connection ends once that is read.
    answered: bool,
    ended: bool,
}

impl Admin {
    pub fn listen(address: SocketAddr, reactor: &Reactor) -> io::Result<Admin> {
        let listener = listener::listen(address)?;
        reactor.register(&listener, Token::AdminListener, Interest::READ)?;
        let address = listener::local_address(&listener).unwrap_or(address);
        Ok(Admin {
            listener,
            address,
            callers: Slab::default(),
            exhausted: LogRateLimit::default(),
        })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn accept(&mut self, now: Instant, reactor: &Reactor) {
        loop {
            let stream =
                match listener::accept_or_pause(&self.listener, Token::AdminListener, reactor) {
                    Ok((stream, _)) => stream,
                    Err(AcceptError::Empty | AcceptError::RetryLater) => return,
                    Err(AcceptError::NoDescriptors) => {
                        self.exhausted
                            .warn(now, || "admin: no descriptor left for a caller".into());
                        if !self.put_out_oldest() {
                            return;
                        }
                        continue;
                    }
                };
            if self.callers.len() >= CONNECTIONS {
                self.put_out_oldest();
            }
            let key = self.callers.insert(Caller {
                stream,
                since: now,
                answered: false,
                ended: false,
            });
            // Whatever has come is told of in the next round.
            let watched = self
                .callers
                .get_mut(key)
                .map(|c| c.stream.watch(reactor, Token::Admin(key), Interest::READ));
            if !matches!(watched, Some(Ok(()))) {
                self.callers.remove(key);
            }
        }
    }

    /// Of all callers, answered or not, the one that came first: whoever calls in earnest has long gone.
    fn put_out_oldest(&mut self) -> bool {
        let oldest = self
            .callers
            .iter()
            .min_by_key(|(_, c)| c.since)
            .map(|(key, _)| key);
        oldest.is_some_and(|key| self.callers.remove(key).is_some())
    }

    /// A call that has come whole; [`Admin::answer`] is owed for it.
    pub fn ready(&mut self, key: Key, reactor: &Reactor) -> Option<Call> {
        let caller = self.callers.get_mut(key)?;
        if caller.answered {
            if caller.stream.discard_input().0 == ReadStatus::Ended {
                self.callers.remove(key);
            } else {
                self.write(key, reactor);
            }
            return None;
        }
        let filled = caller.stream.fill(HEAD_LIMIT + BODY_LIMIT);
        match wire_admin::parse(caller.stream.input.unused()) {
            Ok(Some(call)) => return Some(call),
            Err(no) => self.answer(key, &no, reactor),
            // Half a call, and no more will come: whoever left hears nothing.
            Ok(None) if filled == ReadStatus::Ended => _ = self.callers.remove(key),
            Ok(None) => {}
        }
        None
    }

    pub fn answer(&mut self, key: Key, answer: &Answer, reactor: &Reactor) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        caller.stream.push(&answer.bytes());
        caller.answered = true;
        self.write(key, reactor);
    }

    fn write(&mut self, key: Key, reactor: &Reactor) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let flushed = caller.stream.flush();
        if matches!(flushed, Ok(true)) && !caller.ended {
            // Closed at once with bytes unread, the connection would be reset and the answer lost.
            caller.ended = true;
            caller.stream.end_output();
        }
        let interest = Interest {
            read: true,
            write: matches!(flushed, Ok(false)),
        };
        if flushed.is_err()
            || caller
                .stream
                .watch(reactor, Token::Admin(key), interest)
                .is_err()
        {
            self.callers.remove(key);
        }
    }

    pub fn look_over(&mut self, now: Instant) {
        for key in self.callers.keys() {
            let slow = |c: &Caller| now.saturating_duration_since(c.since) >= PATIENCE;
            if self.callers.get(key).is_some_and(slow) {
                self.callers.remove(key);
            }
        }
    }
}
