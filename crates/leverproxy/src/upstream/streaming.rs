//! Responses that are too large to be buffered: they are forwarded in chunks, and reading them is paused while the
//! client is slow.

use super::connection::{State, Streaming};
use super::events::UpstreamTimer;
use super::Upstream;
use crate::event_loop::reactor::{Interest, Reactor};
use crate::event_loop::slab::Key;
use crate::event_loop::timers::deadline_after;
use crate::event_loop::token::Token;
use crate::request::{ExchangeOutcome, Purpose, ResponseChunk};
use std::time::{Duration, Instant};

/// Longest time between two chunks of a response that is forwarded in chunks. The server may be slow, and no other
/// server can continue the response, but a machine that has stopped responding must not block its client forever.
pub(super) const CHUNK_STALL: Duration = Duration::from_secs(5);
/// Maximum number of bytes that are read at a time of such a response, so that other connections are not starved.
pub(super) const MAX_CHUNK_BYTES: usize = 16 << 10;

impl Upstream {
    /// Forwards the bytes that have arrived of a large response.
    pub(super) fn forward_chunk(&mut self, key: Key, now: Instant) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let State::Busy(active) = &mut connection.state else {
            return;
        };
        let Purpose::Attempt(id, attempt) = active.exchange.purpose else {
            return;
        };
        let Some(bytes) = active.reader.take_chunk().filter(|bytes| !bytes.is_empty()) else {
            return;
        };
        connection.deadline = now + CHUNK_STALL;
        if active.streaming == Streaming::No {
            active.response_started = true;
            active.streaming = Streaming::Active;
            self.timers
                .push((connection.deadline, UpstreamTimer::Connection(key)));
        }
        self.chunks.push_back(ResponseChunk {
            id,
            attempt,
            connection: key,
            server: connection.server,
            elapsed: now.saturating_duration_since(active.exchange.started),
            bytes,
            row_bytes_left: active.reader.row_bytes_left(),
        });
    }

    /// Stops reading a response until [`Upstream::resume_reading`].
    pub fn pause_reading(&mut self, key: Key, now: Instant, reactor: &Reactor) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if let State::Busy(active) = &mut connection.state {
            active.streaming = Streaming::Paused;
            // The timeout for unread responses of the client applies instead.
            connection.deadline = deadline_after(now, Duration::MAX);
            connection.stream.unwatch(reactor);
        }
    }

    /// Reads a response again after [`Upstream::pause_reading`].
    pub fn resume_reading(&mut self, key: Key, now: Instant, reactor: &Reactor) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let State::Busy(active) = &mut connection.state else {
            return;
        };
        if active.streaming != Streaming::Paused {
            return;
        }
        active.streaming = Streaming::Active;
        connection.deadline = now + CHUNK_STALL;
        self.timers
            .push((connection.deadline, UpstreamTimer::Connection(key)));
        // Bytes that have arrived meanwhile are read when epoll reports them.
        let token = Token::Upstream(key);
        let watched = connection.stream.watch(reactor, token, Interest::READ);
        if watched.is_err() {
            self.close_broken(key, now);
        }
    }

    /// Closes the connection of a response whose remainder is no longer needed.
    pub fn abandon_response(&mut self, key: Key, now: Instant) {
        self.close(key, ExchangeOutcome::Cancelled, now);
    }
}
