//! Which clients are read while requests and answers occupy much memory.
//!
//! What has been read is owed its answer, so the limit on memory holds back reading. The free memory is divided by a
//! dynamic threshold: a client is read while it holds less than a fixed part of what is free. So a client that sends much
//! leaves memory for the others, however many there are of its kind, and the limit needs no figure for each client.
//!
//! Reading cannot lock up. A client without a pending response may always send a small command. Memory for the whole of a
//! larger one is reserved before more than its beginning is read, so that it can be completed; while no command has such
//! a reservation and none is open, the first gets it in any case. Any other client has a response to come, and is read again after it.

use super::client::Client;
use super::state::Downstream;
use crate::event_loop::memory::MemoryMeter;
use crate::event_loop::reactor::Reactor;
use crate::event_loop::slab::Key;
use crate::event_loop::stream::ReadStatus;
use crate::event_loop::token::Token;
use crate::protocol::postgres::server;
use std::time::{Duration, Instant};

/// A client that holds less than the free memory divided by this is read.
const FREE_MEMORY_DIVISOR: usize = 4;
/// Commands that are sent behind another one of their client are decoded while the responses that clients wait for are fewer
/// than the connections to record servers divided by this. Each may occupy one for as long as its client takes to read the
/// responses before it, and the first command of each client needs one.
const PENDING_RESPONSES_DIVISOR: usize = 3;
/// Number of bytes that are read of any client without a pending response.
const SMALL_COMMAND_BYTES: usize = 4 << 10;
/// Number of bytes that are read at a time of a client that may hold more than it does.
const READ_BYTES: usize = 16 << 10;
/// An incomplete command counts as stalled after this time.
const STALLED_AFTER: Duration = Duration::from_millis(500);

/// What may be read of clients, at the present use of memory.
#[derive(Clone, Copy)]
pub(super) struct ReadingLimits {
    /// Memory for requests and answers that is free.
    free: usize,
    /// Memory that is free for the first command of a client.
    free_for_first: usize,
    /// Whether commands may be sent behind another one of their client.
    allows_pipelining: bool,
    /// Whether no large command is being read and no command is open, so that no memory will become free by itself.
    is_quiescent: bool,
}

impl ReadingLimits {
    /// Whether the client may hold more than it does.
    fn allows_more(self, client: &Client) -> bool {
        client.held_bytes() < self.free / FREE_MEMORY_DIVISOR
    }

    /// Whether another command of the client may be decoded, and set aside memory for its response.
    pub(super) fn may_decode(self, client: &Client) -> bool {
        client.responses.is_empty() || self.allows_pipelining && self.allows_more(client)
    }

    /// Number of bytes that may wait to be decoded without a reservation for a large command.
    fn input_limit(self, client: &Client) -> usize {
        if self.allows_more(client) {
            READ_BYTES
        } else if client.is_waiting() {
            0
        } else {
            SMALL_COMMAND_BYTES
        }
    }

    /// Whether memory for a whole command of this many bytes may be reserved.
    fn may_reserve(self, client: &Client, bytes: usize) -> bool {
        let is_first = !client.is_waiting();
        self.allows_more(client) || is_first && (self.is_quiescent || bytes <= self.free_for_first)
    }

    /// Whether nothing more may be read of the client at present.
    pub(super) fn is_exhausted(self, client: &Client) -> bool {
        if !self.may_decode(client) {
            return true;
        }
        if client.has_undecoded || client.large_command.is_some() {
            return false;
        }
        let input = client.stream.input.unused();
        input.len() >= self.input_limit(client)
            && !self.may_reserve(client, server::message_length(input, client.is_started))
    }
}

impl Downstream {
    /// The memory that requests and their answers occupy in the whole process.
    pub fn memory(&self) -> &MemoryMeter {
        &self.memory
    }

    /// Number of clients that are not read for lack of memory.
    pub fn held_back_count(&self) -> usize {
        self.held_back.len()
    }

    pub(super) fn reading_limits(&self) -> ReadingLimits {
        let used = self.memory.used();
        let for_first = self.limits.requests + self.limits.unfinished;
        ReadingLimits {
            free: self.limits.requests.saturating_sub(used),
            free_for_first: for_first.saturating_sub(used),
            allows_pipelining: self.pending_responses.used()
                < self.limits.upstream / PENDING_RESPONSES_DIVISOR,
            is_quiescent: self.large_commands.used() == 0 && self.open_commands.used() == 0,
        }
    }

    /// Reads from a client's socket what the memory allows. A large command is read once there is memory for all of it.
    pub(super) fn fill_input(&mut self, key: Key) -> ReadStatus {
        let reading = self.reading_limits();
        let Some(client) = self.clients.get_mut(key) else {
            return ReadStatus::Open;
        };
        if client.large_command.is_none() {
            let limit = reading.input_limit(client);
            let is_full = client.stream.input.len() >= limit;
            if !is_full && client.stream.fill(limit) == ReadStatus::Ended {
                return ReadStatus::Ended;
            }
            let input = client.stream.input.unused();
            let length = server::message_length(input, client.is_started);
            let is_large = input.len() < length && input.len() >= limit;
            if client.has_undecoded || !is_large || !reading.may_reserve(client, length) {
                return ReadStatus::Open;
            }
            client.large_command = Some(self.large_commands.reserve(length));
        }
        client.update_memory();
        let length = client.large_command.as_ref().map_or(0, |l| l.bytes());
        client.stream.fill(length)
    }

    /// Queues a client that could be read if there were memory. It stays held back until it is resumed, since commands of
    /// it may wait in its buffer, which no event reports.
    pub(super) fn hold_back_if_needed(&mut self, key: Key) {
        let reading = self.reading_limits();
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        // Memory may have become free since commands were left undecoded.
        let has_to_wait = client.has_undecoded || reading.is_exhausted(client);
        if has_to_wait && client.accepts_requests(&self.timeouts) && !client.is_held_back {
            client.is_held_back = true;
            self.held_back.push_back(key);
        }
    }

    /// Reads one client that was held back and for which there is memory now, the one that has waited longest. Returns
    /// false if there is none.
    pub fn resume_held_back(&mut self, now: Instant, reactor: &Reactor) -> bool {
        for _ in 0..self.held_back.len() {
            let Some(key) = self.held_back.pop_front() else {
                return false;
            };
            let reading = self.reading_limits();
            let Some(client) = self.clients.get_mut(key) else {
                continue;
            };
            if reading.is_exhausted(client) {
                self.held_back.push_back(key);
                continue;
            }
            client.is_held_back = false;
            if !client.has_requested {
                // The time for the first request does not include the time for which it was not read.
                client.quiet_since = now;
            }
            self.ready(key, false, now, reactor);
            return true;
        }
        false
    }

    /// Has a client that is held back read in a later event.
    pub fn resume_held_back_later(&self, reactor: &Reactor) {
        if let Some(&key) = self.held_back.front() {
            reactor.retry_later(Token::Client(key));
        }
    }

    /// Whether a client's command is stalled while the incomplete commands of all clients together take too much memory:
    /// each command is within its limit, but many clients may start a command and never complete it.
    pub(super) fn holds_stalled_command(&self, client: &Client, now: Instant) -> bool {
        let is_stalled = |since| now.saturating_duration_since(since) >= STALLED_AFTER;
        client.large_command.is_some()
            && client.partial_since.is_some_and(is_stalled)
            && self.large_commands.used() > self.limits.unfinished
    }
}
