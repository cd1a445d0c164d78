//! Writes responses and chunks of responses to a client.

use super::client::{Client, PendingResponse};
use super::connection_end::CloseReason;
use super::event::Event;
use super::state::Downstream;
use crate::event_loop::reactor::{Interest, Reactor};
use crate::event_loop::slab::Key;
use crate::event_loop::token::Token;
use crate::protocol::postgres::server;
use crate::request::{Answer, ResponseSlot};
use std::time::Instant;

/// Number of unsent bytes of a chunked response at which no more chunks are accepted, while the unsent bytes of all
/// clients are within their memory limit.
const STREAM_WINDOW: usize = 64 << 10;
/// The corresponding number of bytes while the unsent bytes of all clients exceed their memory limit. A smaller window
/// would need too many system calls for its bytes.
const REDUCED_STREAM_WINDOW: usize = 4 << 10;
/// Maximum number of times that one event writes the responses of a client and reads commands that waited for them. A
/// client's buffer holds thousands of commands that the proxy answers itself, and other clients wait meanwhile.
const MAX_ROUNDS_PER_EVENT: usize = 4;

impl Downstream {
    /// Sets the final answer to a request. It is sent after all earlier responses on the connection.
    pub fn answer(&mut self, slot: ResponseSlot, answer: Answer, now: Instant, reactor: &Reactor) {
        let Some(client) = self.clients.get_mut(slot.client) else {
            return;
        };
        let Some(response) = client.response(slot) else {
            return;
        };
        let mut bytes = server::response(answer);
        if let PendingResponse::Streaming { chunks, .. } = response {
            chunks.append(&mut bytes);
            bytes = std::mem::take(chunks);
        }
        *response = PendingResponse::Ready(bytes);
        self.advance(slot.client, now, reactor);
    }

    /// Writes a chunk of a response. Returns false if no more chunks may be sent until [`Event::Writable`].
    pub fn send_chunk(
        &mut self,
        slot: ResponseSlot,
        bytes: &[u8],
        now: Instant,
        reactor: &Reactor,
    ) -> bool {
        let Some(client) = self.clients.get_mut(slot.client) else {
            return true;
        };
        match client.response(slot) {
            None | Some(PendingResponse::Ready(_) | PendingResponse::Padding { .. }) => {
                return true
            }
            Some(PendingResponse::Streaming { chunks, .. }) => chunks.extend_from_slice(bytes),
            Some(response) => {
                *response = PendingResponse::Streaming {
                    chunks: bytes.to_vec(),
                    is_paused: false,
                    has_begun: false,
                }
            }
        }
        self.advance(slot.client, now, reactor);
        let window = self.stream_window();
        let Some(client) = self.clients.get_mut(slot.client) else {
            return true;
        };
        let is_first = client.first_number == slot.number;
        let is_window_full = client.stream.unsent() >= window;
        let Some(PendingResponse::Streaming { is_paused, .. }) = client.response(slot) else {
            return true;
        };
        // Each response has its own pause, since each has a record server of its own to resume.
        *is_paused |= !is_first || is_window_full;
        !*is_paused
    }

    /// Number of unsent bytes up to which padding is written to a client.
    fn padding_window(&self, key: Key) -> usize {
        // The window depends on a sum over all clients.
        let is_padding = self.clients.get(key).is_some_and(Client::is_padding);
        if is_padding {
            self.stream_window()
        } else {
            0
        }
    }

    fn stream_window(&self) -> usize {
        if self.unsent_bytes() >= self.limits.unsent_answers {
            REDUCED_STREAM_WINDOW
        } else {
            STREAM_WINDOW
        }
    }

    /// Ends a response whose rest will not come. `answer`: the error that the client gets; `missing`: the number of bytes of
    /// its row that were not passed to [`Downstream::send_chunk`].
    ///
    /// If no part of the response has been written, the error takes its place. Otherwise the client must not take the part
    /// for the whole. If commands follow on the connection, they are owed their answers: the row is padded, and the error
    /// follows it. If none follows, the connection is closed before the end of the row.
    pub fn fail_response(
        &mut self,
        slot: ResponseSlot,
        answer: Answer,
        missing: usize,
        now: Instant,
        reactor: &Reactor,
    ) {
        let has_begun = |response: &mut PendingResponse| {
            matches!(
                response,
                PendingResponse::Streaming {
                    has_begun: true,
                    ..
                }
            )
        };
        let client = self.clients.get_mut(slot.client);
        if !client.is_some_and(|client| client.response(slot).is_some_and(has_begun)) {
            return self.replace_response(slot, answer, now, reactor);
        }
        // A command that has arrived meanwhile is owed its answer too.
        self.read_pending(slot.client, now, reactor);
        let Some(client) = self.clients.get_mut(slot.client) else {
            return;
        };
        let is_last = client.responses.len() == 1 && client.stream.input.is_empty();
        let Some(PendingResponse::Streaming { chunks, .. }) = client.response(slot) else {
            return;
        };
        let chunks = std::mem::take(chunks);
        let failed = if is_last {
            client.end.start_closing(CloseReason::Ended);
            PendingResponse::Ready(chunks)
        } else {
            PendingResponse::Padding {
                chunks,
                padding: missing,
                error: server::response(answer),
            }
        };
        if let Some(response) = client.response(slot) {
            *response = failed;
        }
        self.advance(slot.client, now, reactor);
    }

    /// Replaces a response of which no part has been written.
    fn replace_response(
        &mut self,
        slot: ResponseSlot,
        answer: Answer,
        now: Instant,
        reactor: &Reactor,
    ) {
        let client = self.clients.get_mut(slot.client);
        if let Some(response) = client.and_then(|client| client.response(slot)) {
            *response = PendingResponse::Ready(server::response(answer));
            self.advance(slot.client, now, reactor);
        }
    }

    /// Writes the available responses to a client, and then reads more requests or closes the connection.
    pub(super) fn advance(&mut self, key: Key, now: Instant, reactor: &Reactor) {
        // Input is read at most once per call, so that a client that sends continuously does not block the event loop.
        let mut has_read = false;
        for _ in 0..MAX_ROUNDS_PER_EVENT {
            if !self.advance_once(key, &mut has_read, now, reactor) {
                return;
            }
        }
        // The commands that are left are in the buffer, not in the socket, so no event reports them.
        reactor.retry_later(Token::Client(key));
    }

    /// Writes once. Returns whether to write again, since more requests were read and some of them may be answered
    /// already.
    fn advance_once(
        &mut self,
        key: Key,
        has_read: &mut bool,
        now: Instant,
        reactor: &Reactor,
    ) -> bool {
        let padding_window = self.padding_window(key);
        let Some(client) = self.clients.get_mut(key) else {
            return false;
        };
        if client.end.has_peer_left() {
            self.drop_client(key, reactor);
            return false;
        }
        let was_full = !client.accepts_requests(&self.timeouts);
        client.queue_responses(padding_window, now);
        let Ok(is_written) = client.flush(now) else {
            self.drop_client(key, reactor);
            return false;
        };
        self.resume_chunks(key);
        if is_written && self.close_if_done(key, has_read, now, reactor) {
            return true;
        }
        let Some(client) = self.clients.get_mut(key) else {
            return false;
        };
        // Commands that had to wait because of the client's limits are in the buffer, not in the socket, so no event
        // reports them.
        client.update_memory();
        let accepts_again = was_full && client.accepts_requests(&self.timeouts);
        if accepts_again && !client.stream.input.is_empty() {
            self.read(key, now);
            return true;
        }
        self.watch(key, is_written, reactor);
        false
    }

    /// Requests more chunks of the first response once the unsent bytes of a client have dropped to half of its window.
    fn resume_chunks(&mut self, key: Key) {
        let Some(client) = self.clients.get(key) else {
            return;
        };
        let is_paused = matches!(
            client.responses.front(),
            Some(PendingResponse::Streaming {
                is_paused: true,
                ..
            })
        );
        let unsent = client.stream.unsent();
        // The window depends on a sum over all clients, so it is computed last.
        if !is_paused || unsent > STREAM_WINDOW / 2 || unsent > self.stream_window() / 2 {
            return;
        }
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let slot = ResponseSlot {
            client: key,
            number: client.first_number,
        };
        if let Some(PendingResponse::Streaming { is_paused, .. }) = client.responses.front_mut() {
            *is_paused = false;
            self.events.push_back(Event::Writable(slot));
        }
    }

    /// Closes a connection that is due to close, once everything is written. Returns true if a request has arrived
    /// before.
    fn close_if_done(
        &mut self,
        key: Key,
        has_read: &mut bool,
        now: Instant,
        reactor: &Reactor,
    ) -> bool {
        let Some(client) = self.clients.get_mut(key) else {
            return false;
        };
        if !client.responses.is_empty() {
            return false;
        }
        if self.is_draining && !*has_read && client.can_close(now) {
            *has_read = true;
            if self.read_pending(key, now, reactor) {
                return true;
            }
            if let Some(client) = self.clients.get_mut(key) {
                client.close_between_requests();
            }
        } else if client.end.is_flushing() {
            client.finish_output(now);
        }
        false
    }

    fn watch(&mut self, key: Key, is_written: bool, reactor: &Reactor) {
        self.hold_back_if_needed(key);
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let interest = Interest {
            read: client.wants_input(&self.timeouts),
            write: !is_written || client.is_padding(),
        };
        if client.is_turn_over {
            // The commands that are left may be in the buffer alone, which no event reports.
            reactor.retry_later(Token::Client(key));
        }
        let watched = client.stream.watch(reactor, Token::Client(key), interest);
        if watched.is_err() {
            self.drop_client(key, reactor);
        }
    }
}
