//! One client's connection: its state and its pending responses.

use super::connection_end::{CloseReason, ConnectionEnd};
use crate::config::ClientLimits;
use crate::event_loop::memory::{MemoryMeter, Reservation};
use crate::event_loop::stream::Stream;
use crate::protocol::postgres::server::CancelKey;
use crate::protocol::postgres::WHOLE_ANSWER_LIMIT;
use crate::request::ResponseSlot;
use std::collections::VecDeque;
use std::io;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// While the process drains, the time from the accept of a connection within which its first request has to arrive.
/// Many clients wait for the server's greeting before they send a request.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// The byte with which the row of a response is padded whose rest will not come.
const PADDING_BYTE: u8 = 0;

/// The response to one command of a client.
#[derive(Debug)]
pub(super) enum PendingResponse {
    /// No part of the response is available.
    Waiting {
        /// The bytes of the command.
        command: Reservation,
    },
    /// The response is complete, or the connection ends with these bytes of it.
    Ready(Vec<u8>),
    /// A response that arrives in chunks. They are written once all earlier responses have been written.
    Streaming {
        /// The chunks that are not written yet.
        chunks: Vec<u8>,
        /// Whether no more chunks are accepted until [`Event::Writable`](super::event::Event::Writable).
        is_paused: bool,
        /// Whether a part of the response has been written to the client.
        has_begun: bool,
    },
    /// A response whose rest will not come although a part of it has been written. Its row is padded to the length that
    /// its header states, and an error follows in place of the end of the response.
    Padding {
        /// The chunks that are not written yet.
        chunks: Vec<u8>,
        /// Number of padding bytes that are not written yet.
        padding: usize,
        /// The error, up to ReadyForQuery.
        error: Vec<u8>,
    },
}

/// The memory that a client occupies.
pub(super) struct ClientMemory {
    /// The bytes of the client's buffers, and those that are set aside for its responses.
    pub(super) buffers: Reservation,
    /// Meter in which the commands that wait for a response count.
    pub(super) open_commands: MemoryMeter,
    /// The number of responses that the client waits for.
    pub(super) pending_responses: Reservation,
}

/// A client, or a balancer's health check that has sent no request.
pub(super) struct Client {
    pub(super) stream: Stream,
    pub(super) cancel_key: CancelKey,
    /// The client's address, from the connection or from the PROXY protocol header.
    pub(super) peer: IpAddr,
    /// Whether a PROXY protocol header has to arrive before the startup message.
    pub(super) awaits_proxy_header: bool,
    /// Whether this is a balancer's connection that has sent no request. It does not count as a client.
    pub(super) is_balancer: bool,
    /// Whether the startup message has been received.
    pub(super) is_started: bool,
    /// Whether messages are ignored until Sync, as after any error in the extended protocol.
    pub(super) skips_until_sync: bool,
    pub(super) end: ConnectionEnd,
    /// Whether the client has sent a valid request.
    pub(super) has_requested: bool,
    /// Whether the client has sent more than one valid request.
    pub(super) has_requested_again: bool,
    /// Responses to the client's commands that are not written yet, in the order of the commands.
    pub(super) responses: VecDeque<PendingResponse>,
    /// The number of the first response in `responses`.
    pub(super) first_number: u64,
    /// Time of the last complete command that was received or the last response that was sent.
    pub(super) quiet_since: Instant,
    /// Time since which a command of the client has been incomplete.
    pub(super) partial_since: Option<Instant>,
    memory: ClientMemory,
    /// The reservation for a large command that has not arrived in full.
    pub(super) large_command: Option<Reservation>,
    /// Whether commands that have arrived in full may wait to be decoded.
    pub(super) has_undecoded: bool,
    /// Whether the client is in the queue of those that are not read for lack of memory.
    pub(super) is_held_back: bool,
    /// Number of requests that the client's latest event has decoded.
    pub(super) decoded_in_event: usize,
    /// Whether commands wait to be decoded because the client's latest event has decoded enough.
    pub(super) is_turn_over: bool,
}

impl Client {
    /// Creates the state of a newly accepted connection.
    pub(super) fn new(
        stream: Stream,
        cancel_key: CancelKey,
        peer: IpAddr,
        awaits_proxy_header: bool,
        is_balancer: bool,
        memory: ClientMemory,
        now: Instant,
    ) -> Client {
        Client {
            stream,
            cancel_key,
            peer,
            awaits_proxy_header,
            is_balancer,
            is_started: false,
            skips_until_sync: false,
            end: ConnectionEnd::new(),
            has_requested: false,
            has_requested_again: false,
            responses: VecDeque::new(),
            first_number: 0,
            quiet_since: now,
            partial_since: None,
            memory,
            large_command: None,
            has_undecoded: false,
            is_held_back: false,
            decoded_in_event: 0,
            is_turn_over: false,
        }
    }

    /// Allows the client as many requests as one event may decode.
    pub(super) fn start_turn(&mut self) {
        self.decoded_in_event = 0;
        self.is_turn_over = false;
    }

    /// The pending response of a slot; `None` if it has been sent.
    pub(super) fn response(&mut self, slot: ResponseSlot) -> Option<&mut PendingResponse> {
        let index = self.response_index(slot)?;
        self.responses.get_mut(index)
    }

    /// The index of a slot's response in `responses`.
    pub(super) fn response_index(&self, slot: ResponseSlot) -> Option<usize> {
        usize::try_from(slot.number.checked_sub(self.first_number)?).ok()
    }

    /// Appends a response.
    pub(super) fn push_response(&mut self, response: Vec<u8>) {
        self.responses.push_back(PendingResponse::Ready(response));
    }

    /// Appends a placeholder for the response to a command of this many bytes. Returns its number.
    pub(super) fn push_waiting(&mut self, command_bytes: usize) -> u64 {
        let command = self.memory.open_commands.reserve(command_bytes);
        self.responses
            .push_back(PendingResponse::Waiting { command });
        self.first_number + self.responses.len() as u64 - 1
    }

    /// Number of bytes of the commands that wait for a response.
    fn command_bytes(&self) -> usize {
        let responses = self.responses.iter();
        responses
            .map(|response| match response {
                PendingResponse::Waiting { command } => command.bytes(),
                PendingResponse::Ready(_)
                | PendingResponse::Streaming { .. }
                | PendingResponse::Padding { .. } => 0,
            })
            .sum()
    }

    /// Number of bytes of the client's buffers, and of the responses that may have to wait for an earlier one.
    fn buffer_bytes(&self) -> usize {
        let responses = self.responses.iter().enumerate();
        let response_bytes: usize = responses
            .map(|(index, response)| match response {
                // The first response is sent as soon as it is available.
                PendingResponse::Waiting { .. } if index == 0 => 0,
                PendingResponse::Waiting { .. } => WHOLE_ANSWER_LIMIT,
                PendingResponse::Ready(bytes) => bytes.len(),
                PendingResponse::Streaming { chunks, .. } => chunks.len(),
                PendingResponse::Padding { chunks, error, .. } => chunks.len() + error.len(),
            })
            .sum();
        let reserved = self.large_command.as_ref().map_or(0, Reservation::bytes);
        self.stream.input.len().max(reserved) + self.stream.unsent() + response_bytes
    }

    /// Number of bytes that this client's commands and responses occupy, or that are set aside for them.
    pub(super) fn held_bytes(&self) -> usize {
        self.command_bytes() + self.buffer_bytes()
    }

    /// Updates the reservation of this client's memory. Commands have reservations of their own.
    pub(super) fn update_memory(&mut self) {
        let bytes = self.buffer_bytes();
        self.memory.buffers.resize(bytes);
        self.memory.pending_responses.resize(self.responses.len());
    }

    /// The numbers of the responses that are not complete, in ascending order.
    pub(super) fn incomplete_responses(&self) -> impl Iterator<Item = u64> + '_ {
        let numbered = (self.first_number..).zip(&self.responses);
        numbered
            .filter(|(_, response)| {
                matches!(
                    response,
                    PendingResponse::Waiting { .. } | PendingResponse::Streaming { .. }
                )
            })
            .map(|(number, _)| number)
    }

    /// Whether the first response is padded, so that more of it can be written whenever the socket accepts bytes.
    pub(super) fn is_padding(&self) -> bool {
        matches!(
            self.responses.front(),
            Some(PendingResponse::Padding { .. })
        )
    }

    /// Moves to the stream's output all leading responses that are available. Padding is moved as far as the unsent bytes
    /// stay within `padding_window`.
    pub(super) fn queue_responses(&mut self, padding_window: usize, now: Instant) {
        while let Some(response) = self.responses.front_mut() {
            let (bytes, is_complete) = match response {
                PendingResponse::Waiting { .. } => break,
                PendingResponse::Ready(bytes) => (std::mem::take(bytes), true),
                PendingResponse::Streaming {
                    chunks, has_begun, ..
                } => {
                    *has_begun |= !chunks.is_empty();
                    (std::mem::take(chunks), false)
                }
                PendingResponse::Padding {
                    chunks,
                    padding,
                    error,
                } => {
                    let mut bytes = std::mem::take(chunks);
                    let room = padding_window.saturating_sub(self.stream.unsent() + bytes.len());
                    let added = room.min(*padding);
                    bytes.resize(bytes.len() + added, PADDING_BYTE);
                    *padding -= added;
                    if *padding == 0 {
                        bytes.append(error);
                    }
                    (bytes, *padding == 0)
                }
            };
            self.stream.push(&bytes);
            if self.has_requested && !bytes.is_empty() {
                self.quiet_since = now;
            }
            if !is_complete {
                break;
            }
            self.responses.pop_front();
            self.first_number += 1;
        }
    }

    /// Writes as much as the socket accepts. Returns whether everything is written.
    ///
    /// # Errors
    /// The connection is broken.
    pub(super) fn flush(&mut self, now: Instant) -> io::Result<bool> {
        let unsent = self.stream.unsent();
        let is_written = self.stream.flush()?;
        if self.stream.unsent() < unsent && self.has_requested {
            // The client reads its responses, even if slowly.
            self.quiet_since = now;
        }
        Ok(is_written)
    }

    /// Whether the client waits for a response, or has not read it.
    pub(super) fn is_waiting(&self) -> bool {
        !self.responses.is_empty() || self.stream.unsent() > 0
    }

    /// Whether the client waits for no response, and no part of a command has arrived.
    pub(super) fn is_idle(&self) -> bool {
        !self.is_waiting() && self.stream.input.is_empty()
    }

    /// Whether the client has never sent a request, or its connection is about to close.
    pub(super) fn is_silent(&self) -> bool {
        !self.has_requested && self.responses.is_empty() || self.end.is_lingering()
    }

    /// Whether the time for the client's first request, or for the rest of a command, is over.
    pub(super) fn is_overdue(&self, timeouts: &ClientLimits, now: Instant) -> bool {
        let is_over = |since| now.saturating_duration_since(since) >= timeouts.first_request;
        let is_partial_over = self.partial_since.is_some_and(is_over);
        !self.is_waiting()
            && !self.is_held_back
            && (is_partial_over || !self.has_requested && is_over(self.quiet_since))
    }

    /// While the process drains: whether the connection can be closed, as no response is pending on it and its first
    /// request is not to be expected any more.
    pub(super) fn can_close(&self, now: Instant) -> bool {
        let quiet = now.saturating_duration_since(self.quiet_since);
        self.end.is_open()
            && self.is_started
            && self.is_idle()
            && (self.has_requested || quiet >= FIRST_REQUEST_TIMEOUT)
    }

    /// Ends the connection between two requests. The linger timeout counts from the last response, so that the
    /// descriptor of a client that has been idle for long is closed without delay.
    pub(super) fn close_between_requests(&mut self) {
        self.end.start_closing(CloseReason::Ended);
        self.finish_output(self.quiet_since);
    }

    /// Ends the output. `since`: time since which the peer has been able to read all that was sent.
    pub(super) fn finish_output(&mut self, since: Instant) {
        self.end.finish_output(since);
        self.stream.end_output();
    }

    /// Whether requests are read: the limits of pipelined requests and of unsent bytes are not reached.
    pub(super) fn accepts_requests(&self, timeouts: &ClientLimits) -> bool {
        self.end.is_open()
            && self.responses.len() < timeouts.max_pipelined
            && self.stream.unsent() < timeouts.max_unsent_bytes
    }

    /// Whether bytes of the client are read, either as requests or to be discarded.
    pub(super) fn wants_input(&self, timeouts: &ClientLimits) -> bool {
        match self.end.discard_budget() {
            Some(budget) => budget > 0,
            None => self.accepts_requests(timeouts) && !self.is_held_back,
        }
    }
}
