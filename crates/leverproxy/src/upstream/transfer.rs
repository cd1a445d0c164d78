//! Writing requests, reading responses, and the outcome of an exchange whose connection ends.

use super::connection::{rejection_outcome, ActiveExchange, State, Streaming};
use super::events::UpstreamTimer;
use super::exchange::Exchange;
use super::streaming::{CHUNK_STALL, MAX_CHUNK_BYTES};
use super::Upstream;
use crate::event_loop::reactor::{Interest, Reactor};
use crate::event_loop::slab::Key;
use crate::event_loop::stream::ReadStatus;
use crate::event_loop::timers::deadline_after;
use crate::event_loop::token::Token;
use crate::protocol::postgres::client::{self, ResponseReader};
use crate::protocol::postgres::Malformed;
use crate::request::{ExchangeOutcome, Purpose, UpstreamQuery};
use routing::ServerId;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest pause within a response that has begun before it counts as stalled, regardless of the client's deadline. Record
/// servers seldom pause within a response that is not forwarded in chunks. The timeout is well below the latency objectives, so that a retry can still meet them.
const RESPONSE_STALL: Duration = Duration::from_millis(40);

/// Time limit for writing a request that the socket does not accept at once. The remaining time that the request states
/// to its server is computed when the first byte is written, and is too large if the write is slow.
const WRITE_STALL: Duration = Duration::from_millis(100);

impl Upstream {
    /// Starts an exchange on a connection.
    pub(super) fn assign(&mut self, key: Key, exchange: Exchange, now: Instant, reactor: &Reactor) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if is_overdue(&exchange) {
            let server = connection.server;
            if let Some(pool) = self.pools.get_mut(&server) {
                pool.idle.push(key);
            }
            return self.finish(exchange, server, ExchangeOutcome::NotSent, now);
        }
        // Computed from now, since the dial has used up part of the client's time.
        let time_left = exchange.deadline.saturating_duration_since(now);
        connection
            .stream
            .push(&client::query(&exchange.query, time_left));
        connection.deadline = exchange
            .write_deadline
            .min(deadline_after(now, WRITE_STALL));
        self.timers
            .push((connection.deadline, UpstreamTimer::Connection(key)));
        let memory = self.memory.reserve(0);
        connection.state = State::Busy(ActiveExchange::new(exchange, memory));
        self.advance(key, now, reactor);
    }

    /// Handles a connection that epoll reports as ready.
    pub fn ready(&mut self, key: Key, now: Instant, reactor: &Reactor) {
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        let connecting = matches!(connection.state, State::Connecting);
        if !connecting || self.finish_dial(key, now, reactor) {
            self.advance(key, now, reactor);
        }
    }

    /// Writes and reads as much as the socket allows, and acts on a complete response or the end of the connection.
    fn advance(&mut self, key: Key, now: Instant, reactor: &Reactor) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if connection.is_unwritten() && connection.deadline <= now {
            return self.close(key, ExchangeOutcome::ConnectFailed, now);
        }
        let flushed = connection.stream.flush();
        if matches!(flushed, Ok(true)) {
            self.mark_written(key);
        }
        let Some(filled) = self.fill(key) else { return };
        let consumed = match self.consume(key) {
            Ok((consumed, complete)) => {
                self.forward_chunk(key, now);
                if complete {
                    return self.complete(key, filled == ReadStatus::Ended, now, reactor);
                }
                consumed
            }
            Err(error) => return self.reject_malformed(key, &error, now),
        };
        match flushed {
            Ok(written) if filled == ReadStatus::Open => {
                self.update_memory(key);
                self.note_progress(key, consumed, now);
                self.watch(key, !written, now, reactor);
            }
            _ => self.close_broken(key, now),
        }
    }

    fn update_memory(&mut self, key: Key) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.update_memory();
        }
    }

    /// Notes that the request is written in full.
    fn mark_written(&mut self, key: Key) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let State::Busy(active) = &mut connection.state else {
            return;
        };
        if active.written {
            return;
        }
        self.attempts += u64::from(active.exchange.purpose != Purpose::Probe);
        active.written = true;
        if let UpstreamQuery::Command(command) = &mut active.exchange.query {
            *command = Arc::clone(&self.written_command);
        }
        connection.deadline = active.exchange.deadline;
        self.timers
            .push((connection.deadline, UpstreamTimer::Connection(key)));
    }

    /// Reads from the socket. Returns `None` while reading the response is paused.
    fn fill(&mut self, key: Key) -> Option<ReadStatus> {
        let connection = self.connections.get_mut(key)?;
        let limit = match connection.streaming() {
            Streaming::No => client::INPUT_LIMIT,
            Streaming::Active => MAX_CHUNK_BYTES,
            Streaming::Paused => return None,
        };
        Some(connection.stream.fill(limit))
    }

    /// Parses the bytes that were read; returns the number of bytes used, and whether the response is complete.
    fn consume(&mut self, key: Key) -> Result<(usize, bool), Malformed> {
        let Some(connection) = self.connections.get_mut(key) else {
            return Ok((0, false));
        };
        let (used, complete) = connection.parse()?;
        connection.stream.input.consume(used);
        Ok((used, complete))
    }

    /// Extends the deadline of a response that has begun and is not forwarded in chunks: its next bytes have to arrive
    /// within [`RESPONSE_STALL`].
    fn note_progress(&mut self, key: Key, consumed: usize, now: Instant) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let progress = consumed > 0 || !connection.stream.input.is_empty();
        let State::Busy(active) = &mut connection.state else {
            return;
        };
        if !progress || active.streaming != Streaming::No {
            return;
        }
        active.response_started = true;
        let longest_pause = if active.is_stalled {
            CHUNK_STALL
        } else {
            RESPONSE_STALL
        };
        connection.deadline = active.exchange.deadline.min(now + longest_pause);
        self.timers
            .push((connection.deadline, UpstreamTimer::Connection(key)));
    }

    /// Watches the connection for bytes to read and, if `write` is set, for room to write.
    fn watch(&mut self, key: Key, write: bool, now: Instant, reactor: &Reactor) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let interest = Interest { read: true, write };
        let watched = connection
            .stream
            .watch(reactor, Token::Upstream(key), interest);
        if watched.is_err() {
            self.close_broken(key, now);
        }
    }

    /// Handles a complete response or greeting. After a greeting the connection becomes idle, after a response only once
    /// it is synchronized.
    fn complete(&mut self, key: Key, ended: bool, now: Instant, reactor: &Reactor) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let (server, address) = (connection.server, connection.address);
        let stalled = connection.stalled_attempt();
        let half_written = connection.is_unwritten();
        let mut is_synchronized = true;
        match std::mem::replace(&mut connection.state, State::Idle) {
            State::Busy(active) => {
                is_synchronized = false;
                if let Some((id, _)) = stalled {
                    self.forget_stalled(id, key);
                }
                self.finish_with_response(active, server, now);
            }
            State::Handshake(reader) => {
                self.end_dial(server);
                if reader.has_error() {
                    self.connections.remove(key);
                    return self.fail_first_queued(server, rejection_outcome(&reader), now);
                }
            }
            State::Connecting | State::Idle | State::Synchronizing { .. } => {}
        }
        let is_reusable = !ended && !half_written && self.may_reuse(key, server, address, now);
        let is_kept = is_reusable
            && if is_synchronized {
                self.return_to_pool(key, server, now, reactor)
            } else {
                self.synchronize(key, now, reactor)
            };
        if !is_kept {
            self.connections.remove(key);
        }
        self.serve_queue(server, now, reactor);
    }

    /// Closes a connection that has failed or that its server has ended.
    pub(super) fn close_broken(&mut self, key: Key, now: Instant) {
        let connection = self.connections.get(key);
        let outcome = if connection.is_some_and(|connection| connection.is_written()) {
            ExchangeOutcome::Reset
        } else {
            ExchangeOutcome::ConnectFailed
        };
        self.close(key, outcome, now);
    }

    fn reject_malformed(&mut self, key: Key, error: &Malformed, now: Instant) {
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        let address = connection.address;
        if connection.is_idle() || connection.is_synchronizing() {
            self.note_unrequested(key, &error.0, now);
        } else {
            let text = || format!("upstream: response of {address} not understood: {error}");
            self.malformed_log.warn(now, text);
        }
        self.close_malformed(key, now);
    }

    /// Closes a connection with an incomplete or malformed response. The part of the response that arrived before is
    /// discarded too.
    pub(super) fn close_malformed(&mut self, key: Key, now: Instant) {
        let connection = self.connections.get_mut(key);
        match connection.and_then(|connection| connection.active_mut()) {
            Some(active) if active.written => {
                active.reader = ResponseReader::default();
                self.close(key, ExchangeOutcome::InvalidResponse, now);
            }
            _ => self.close_broken(key, now),
        }
    }

    /// Closes a connection. Its exchange ends with `outcome`, unless an error message from the server determines
    /// another.
    pub(super) fn close(&mut self, key: Key, outcome: ExchangeOutcome, now: Instant) {
        let Some(connection) = self.connections.remove(key) else {
            return;
        };
        let server = connection.server;
        if let Some((id, _)) = connection.stalled_attempt() {
            self.forget_stalled(id, key);
        }
        match connection.state {
            State::Busy(active) if active.written && active.reader.has_error() => {
                self.finish_with_response(active, server, now)
            }
            State::Busy(active) => {
                let outcome = unless_rejected(&active.reader, outcome);
                self.finish(active.exchange, server, outcome, now);
            }
            State::Idle => self.remove_idle(server, key),
            State::Synchronizing { .. } => {}
            State::Connecting => {
                self.end_dial(server);
                self.fail_first_queued(server, outcome, now);
            }
            State::Handshake(reader) => {
                self.end_dial(server);
                self.fail_first_queued(server, unless_rejected(&reader, outcome), now);
            }
        }
    }

    /// Reports the completion of an exchange with the outcome of its response.
    fn finish_with_response(&mut self, active: ActiveExchange, server: ServerId, now: Instant) {
        let ActiveExchange {
            exchange, reader, ..
        } = active;
        let (outcome, metadata) = reader.outcome(&exchange.query);
        let completed = exchange.completed(server, outcome, metadata, now);
        self.completed.push_back(completed);
    }
}

/// Whether an exchange that has less time to be written than to be answered comes too late. It may have been started long
/// after the event that caused it.
fn is_overdue(exchange: &Exchange) -> bool {
    exchange.write_deadline < exchange.deadline && exchange.write_deadline <= Instant::now()
}

/// The outcome of the server's error message if one has arrived, otherwise `outcome`.
fn unless_rejected(reader: &ResponseReader, outcome: ExchangeOutcome) -> ExchangeOutcome {
    if reader.has_error() {
        rejection_outcome(reader)
    } else {
        outcome
    }
}
