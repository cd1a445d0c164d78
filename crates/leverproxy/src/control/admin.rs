//! The admin API: operators' calls over HTTP on the second address, one to a connection, in the event loop.
//!
//! Slow callers cost nobody else an answer: their connections are few and counted apart from clients, the loop handles
//! them first, and at the limit the oldest connection gives way to the next caller.

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

/// Most connections at once. The configuration reserves their descriptors.
pub const MAX_CONNECTIONS: usize = 32;
/// A connection is closed after this, whether its call has come and its answer is read or not.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);

/// The admin address, and the connections to it.
pub struct Admin {
    listener: OwnedFd,
    address: SocketAddr,
    connections: Slab<AdminConnection>,
    descriptors_log: LogRateLimit,
}

struct AdminConnection {
    stream: Stream,
    accepted_at: Instant,
    /// It has its answer. The connection closes once the caller has read that.
    is_answered: bool,
    /// The end of the output has been sent.
    is_output_ended: bool,
}

impl Admin {
    /// Listens for calls.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub fn listen(address: SocketAddr, reactor: &Reactor) -> io::Result<Admin> {
        let listener = listener::listen(address)?;
        reactor.register(&listener, Token::AdminListener, Interest::READ)?;
        let address = listener::local_address(&listener).unwrap_or(address);
        Ok(Admin {
            listener,
            address,
            connections: Slab::default(),
            descriptors_log: LogRateLimit::default(),
        })
    }

    /// The address that calls come to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts the connections that wait.
    pub fn accept(&mut self, now: Instant, reactor: &Reactor) {
        let token = Token::AdminListener;
        loop {
            match listener::accept_or_pause(&self.listener, token, reactor) {
                Ok((stream, _)) => self.add_connection(stream, now, reactor),
                Err(AcceptError::Empty | AcceptError::RetryLater) => return,
                Err(AcceptError::NoDescriptors) => {
                    self.descriptors_log
                        .warn(now, || "admin: no descriptor left for a caller".into());
                    if !self.disconnect_oldest() {
                        return;
                    }
                }
            }
        }
    }

    fn add_connection(&mut self, stream: Stream, now: Instant, reactor: &Reactor) {
        if self.connections.len() >= MAX_CONNECTIONS {
            self.disconnect_oldest();
        }
        let key = self.connections.insert(AdminConnection {
            stream,
            accepted_at: now,
            is_answered: false,
            is_output_ended: false,
        });
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        // Whatever has come already is an event of the next round.
        let token = Token::Admin(key);
        let watched = connection.stream.watch(reactor, token, Interest::READ);
        if watched.is_err() {
            self.connections.remove(key);
        }
    }

    /// Closes the oldest connection, answered or not: a working caller is done long before. Whether there was one.
    fn disconnect_oldest(&mut self) -> bool {
        let connections = self.connections.iter();
        let oldest = connections.min_by_key(|(_, connection)| connection.accepted_at);
        let oldest = oldest.map(|(key, _)| key);
        oldest.is_some_and(|key| self.connections.remove(key).is_some())
    }

    /// Reads from a connection that is ready. Returns a call that is complete: the caller owes [`Admin::answer`] for it.
    pub fn read_call(&mut self, key: Key, reactor: &Reactor) -> Option<Call> {
        let connection = self.connections.get_mut(key)?;
        if connection.is_answered {
            if connection.stream.discard_input().0 == ReadStatus::Ended {
                self.connections.remove(key);
            } else {
                self.write(key, reactor);
            }
            return None;
        }
        let filled = connection.stream.fill(HEAD_LIMIT + BODY_LIMIT);
        match wire_admin::parse(connection.stream.input.unused()) {
            Ok(Some(call)) => return Some(call),
            Err(rejection) => self.answer(key, &rejection, reactor),
            // The caller has left before the end of its call.
            Ok(None) if filled == ReadStatus::Ended => _ = self.connections.remove(key),
            Ok(None) => {}
        }
        None
    }

    /// Writes the answer, and closes the connection once the caller has read it.
    pub fn answer(&mut self, key: Key, answer: &Answer, reactor: &Reactor) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.stream.push(&answer.bytes());
        connection.is_answered = true;
        self.write(key, reactor);
    }

    fn write(&mut self, key: Key, reactor: &Reactor) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let flushed = connection.stream.flush();
        if matches!(flushed, Ok(true)) && !connection.is_output_ended {
            // Closed at once with bytes unread, the connection would be reset and the answer lost.
            connection.is_output_ended = true;
            connection.stream.end_output();
        }
        let interest = Interest {
            read: true,
            write: matches!(flushed, Ok(false)),
        };
        let token = Token::Admin(key);
        if flushed.is_err() || connection.stream.watch(reactor, token, interest).is_err() {
            self.connections.remove(key);
        }
    }

    /// Closes the connections that have run out of time.
    pub fn close_expired(&mut self, now: Instant) {
        for key in self.connections.keys() {
            let is_expired = |connection: &AdminConnection| {
                now.saturating_duration_since(connection.accepted_at) >= CONNECTION_TIMEOUT
            };
            if self.connections.get(key).is_some_and(is_expired) {
                self.connections.remove(key);
            }
        }
    }
}
