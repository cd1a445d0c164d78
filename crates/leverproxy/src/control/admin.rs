//! The admin API: operators' calls over HTTP on a separate address, one call per connection, served by the event loop.
//!
//! Slow callers do not delay other callers or clients: admin connections have their own small limit, the loop handles them
//! first, and at the limit the oldest connection is closed in favour of the next caller.

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

/// Maximum concurrent connections. The configuration reserves their descriptors.
pub const MAX_CONNECTIONS: usize = 32;
/// Age at which a connection is closed, whether or not its call is complete and its answer read.
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
    /// Whether the answer has been queued. The connection closes once the caller has read it.
    is_answered: bool,
    /// Whether the sending direction has been shut down.
    is_output_ended: bool,
}

impl Admin {
    /// Opens the listener for calls.
    ///
    /// # Errors
    /// The listener cannot be opened at `address`.
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

    /// The address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts pending connections, up to the limit of one event.
    pub fn accept(&mut self, now: Instant, reactor: &Reactor) {
        let token = Token::AdminListener;
        for _ in 0..listener::MAX_ACCEPTS_PER_EVENT {
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
        listener::continue_later(token, reactor);
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
        // Bytes that have already arrived are reported as an event in the next round of the loop.
        let token = Token::Admin(key);
        let watched = connection.stream.watch(reactor, token, Interest::READ);
        if watched.is_err() {
            self.connections.remove(key);
        }
    }

    /// Closes the oldest connection, answered or not: a caller that works has long finished by then. Returns whether there
    /// was a connection.
    fn disconnect_oldest(&mut self) -> bool {
        let connections = self.connections.iter();
        let oldest = connections.min_by_key(|(_, connection)| connection.accepted_at);
        let oldest = oldest.map(|(key, _)| key);
        oldest.is_some_and(|key| self.connections.remove(key).is_some())
    }

    /// Reads from a ready connection. Returns a complete call, which the event loop must answer with [`Admin::answer`].
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
            // The caller closed the connection before its call was complete.
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
            // Closing now, with unread input, would reset the connection and lose the answer.
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

    /// Closes the connections whose time limit has passed.
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
