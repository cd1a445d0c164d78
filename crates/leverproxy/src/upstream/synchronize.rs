//! The way of a connection from a response back into its pool.
//!
//! A server may send more than its response, such as a second copy of it, and those bytes may arrive after the response.
//! Under the next request they would be taken for its response. So an empty query follows each response, and the
//! connection is not used until the server has answered it: whatever it sent before has arrived by then.

use super::connection::State;
use super::events::UpstreamTimer;
use super::Upstream;
use crate::event_loop::reactor::{Interest, Reactor};
use crate::event_loop::slab::Key;
use crate::event_loop::token::Token;
use crate::protocol::postgres::synchronization::{synchronization_query, SynchronizationReader};
use routing::ServerId;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time for which queued exchanges wait for connections that are being synchronized, instead of dialling.
pub(super) const SYNCHRONIZATION_GRACE: Duration = Duration::from_millis(40);

impl Upstream {
    /// Whether a connection whose response is complete may be used again: its server is listed under the same address,
    /// and no byte follows the response.
    pub(super) fn may_reuse(
        &mut self,
        key: Key,
        server: ServerId,
        address: SocketAddr,
        now: Instant,
    ) -> bool {
        let pool = self.pools.get(&server);
        if pool.is_none_or(|pool| pool.address != address) {
            return false;
        }
        let Some(connection) = self.connections.get(key) else {
            return false;
        };
        if connection.stream.input.is_empty() {
            return true;
        }
        self.note_unrequested(key, "unexpected bytes behind a response", now);
        false
    }

    /// Sends the empty query that synchronizes a connection. Returns false if the connection cannot be reused.
    pub(super) fn synchronize(&mut self, key: Key, now: Instant, reactor: &Reactor) -> bool {
        let Some(connection) = self.connections.get_mut(key) else {
            return false;
        };
        connection.state = State::Synchronizing {
            reader: SynchronizationReader::default(),
            since: now,
        };
        // A new connection would have as much time to become usable.
        connection.deadline = now + self.dial_timeout;
        self.timers
            .push((connection.deadline, UpstreamTimer::Connection(key)));
        connection.stream.push(&synchronization_query());
        let Ok(is_written) = connection.stream.flush() else {
            return false;
        };
        let interest = Interest {
            read: true,
            write: !is_written,
        };
        connection
            .stream
            .watch(reactor, Token::Upstream(key), interest)
            .is_ok()
    }

    /// The number of a server's connections that can be expected to become idle without delay.
    pub(super) fn soon_synchronized(&self, server: ServerId, now: Instant) -> usize {
        let is_expected = |state: &State| match state {
            State::Synchronizing { since, .. } => now < *since + SYNCHRONIZATION_GRACE,
            _ => false,
        };
        self.connections
            .iter()
            .filter(|(_, connection)| connection.server == server && is_expected(&connection.state))
            .count()
    }

    /// Returns a connection to its pool. Returns false if the connection cannot be reused.
    pub(super) fn return_to_pool(
        &mut self,
        key: Key,
        server: ServerId,
        now: Instant,
        reactor: &Reactor,
    ) -> bool {
        let (Some(connection), Some(pool)) =
            (self.connections.get_mut(key), self.pools.get_mut(&server))
        else {
            return false;
        };
        let token = Token::Upstream(key);
        let watched = connection.stream.watch(reactor, token, Interest::READ);
        if watched.is_err() {
            return false;
        }
        connection.deadline = now + self.idle_timeout;
        pool.idle.push(key);
        self.timers
            .push((connection.deadline, UpstreamTimer::Connection(key)));
        true
    }

    /// Counts and logs a connection that is closed because its server sent bytes that no request had asked for.
    pub(super) fn note_unrequested(&mut self, key: Key, problem: &str, now: Instant) {
        let Some(address) = self.connections.get(key).map(|c| c.address) else {
            return;
        };
        self.unrequested_responses += 1;
        self.malformed_log.warn(now, || {
            format!("upstream: {address} sent bytes that no request asked for, the connection is closed: {problem}")
        });
    }
}
