//! One client's connection: what is known of it, and the answers that it waits for.

use super::connection_end::{CloseReason, ConnectionEnd};
use crate::config::ClientLimits;
use crate::event_loop::stream::Stream;
use crate::protocol::postgres::server::CancelKey;
use crate::request::ResponseSlot;
use std::collections::VecDeque;
use std::io;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// While the process drains, a new connection has this long, from its accept, to send its first request: many clients
/// wait for the server's greeting first.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// The answer to one command of a client.
#[derive(Debug)]
pub(super) enum PendingResponse {
    /// Nothing of it is there yet.
    Waiting,
    /// It is complete, or all that there will be of it.
    Ready(Vec<u8>),
    /// Chunks of it that are not written yet. They go out as soon as it is the first.
    Streaming(Vec<u8>),
}

/// A client, or a balancer's check that has sent no request.
pub(super) struct Client {
    pub(super) stream: Stream,
    pub(super) cancel_key: CancelKey,
    /// Its address, as the connection or the PROXY protocol header names it.
    pub(super) peer: IpAddr,
    /// A PROXY protocol header has to come first.
    pub(super) awaits_proxy_header: bool,
    /// A balancer's connection that has sent no request. It does not count as a client.
    pub(super) is_balancer: bool,
    /// Its startup message has come.
    pub(super) is_started: bool,
    /// Messages are ignored until Sync, as after any error in the extended protocol.
    pub(super) skips_until_sync: bool,
    pub(super) end: ConnectionEnd,
    /// It has sent a valid request.
    pub(super) has_requested: bool,
    /// It has sent more than one.
    pub(super) has_requested_again: bool,
    /// Answers to its commands, in their order.
    pub(super) responses: VecDeque<PendingResponse>,
    /// The number of the first of these.
    pub(super) first_number: u64,
    /// Chunks of its answer are held back until it has taken more.
    pub(super) is_backpressured: bool,
    /// Since when no complete command has come from it and no answer gone to it.
    pub(super) quiet_since: Instant,
    /// Since when a command of it is incomplete.
    pub(super) partial_since: Option<Instant>,
}

impl Client {
    /// A connection that was accepted just now.
    pub(super) fn new(
        stream: Stream,
        cancel_key: CancelKey,
        peer: IpAddr,
        awaits_proxy_header: bool,
        is_balancer: bool,
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
            is_backpressured: false,
            quiet_since: now,
            partial_since: None,
        }
    }

    /// The pending answer of a slot; none if it has gone out.
    pub(super) fn response(&mut self, slot: ResponseSlot) -> Option<&mut PendingResponse> {
        let index = self.response_index(slot)?;
        self.responses.get_mut(index)
    }

    /// Where the answer of a slot stands among those not written yet.
    pub(super) fn response_index(&self, slot: ResponseSlot) -> Option<usize> {
        usize::try_from(slot.number.checked_sub(self.first_number)?).ok()
    }

    /// Appends an answer, or a place for one. Returns its number.
    pub(super) fn push_response(&mut self, response: Option<Vec<u8>>) -> u64 {
        self.responses
            .push_back(response.map_or(PendingResponse::Waiting, PendingResponse::Ready));
        self.first_number + self.responses.len() as u64 - 1
    }

    /// Numbers of the answers that are not complete, from `first` on.
    pub(super) fn incomplete_responses(&self) -> impl Iterator<Item = u64> + '_ {
        let numbered = (self.first_number..).zip(&self.responses);
        numbered
            .filter(|(_, response)| !matches!(response, PendingResponse::Ready(_)))
            .map(|(number, _)| number)
    }

    /// Hands to the stream every answer whose turn it is.
    pub(super) fn queue_responses(&mut self, now: Instant) {
        while let Some(response) = self.responses.front_mut() {
            let (bytes, is_complete) = match response {
                PendingResponse::Waiting => break,
                PendingResponse::Ready(bytes) => (std::mem::take(bytes), true),
                PendingResponse::Streaming(bytes) => (std::mem::take(bytes), false),
            };
            self.stream.push(&bytes);
            if self.has_requested {
                self.quiet_since = now;
            }
            if !is_complete {
                break;
            }
            self.responses.pop_front();
            self.first_number += 1;
        }
    }

    /// Writes what the socket takes; whether that was everything.
    ///
    /// # Errors
    /// The connection is broken.
    pub(super) fn flush(&mut self, now: Instant) -> io::Result<bool> {
        let unsent = self.stream.unsent();
        let is_written = self.stream.flush()?;
        if self.stream.unsent() < unsent && self.has_requested {
            // It takes its answers, however slowly.
            self.quiet_since = now;
        }
        Ok(is_written)
    }

    /// Nothing is owed to it, and nothing of a command has come.
    pub(super) fn is_idle(&self) -> bool {
        self.responses.is_empty() && self.stream.unsent() == 0 && self.stream.input.is_empty()
    }

    /// It has never got as far as a request, or its connection is about to close.
    pub(super) fn is_silent(&self) -> bool {
        !self.has_requested && self.responses.is_empty() || self.end.is_lingering()
    }

    /// It has run out of time for its first request, or for the rest of a command.
    pub(super) fn is_overdue(&self, timeouts: &ClientLimits, now: Instant) -> bool {
        let has_no_output = self.responses.is_empty() && self.stream.unsent() == 0;
        let is_over = |since| now.saturating_duration_since(since) >= timeouts.first_request;
        let is_partial_over = self.partial_since.is_some_and(is_over);
        has_no_output && (is_partial_over || !self.has_requested && is_over(self.quiet_since))
    }

    /// While the process drains: nothing is owed on the connection, nor is a first request about to come.
    pub(super) fn can_close(&self, now: Instant) -> bool {
        let quiet = now.saturating_duration_since(self.quiet_since);
        self.end.is_open()
            && self.is_started
            && self.is_idle()
            && (self.has_requested || quiet >= FIRST_REQUEST_TIMEOUT)
    }

    /// Ends the connection between two requests. The peer's time to read counts from its last answer: a client that has
    /// been idle for long is not waited for.
    pub(super) fn close_between_requests(&mut self) {
        self.end.start_closing(CloseReason::Ended);
        self.finish_output(self.quiet_since);
    }

    /// Sends the end of the output. `since`: since when the peer has had time to read what it got.
    pub(super) fn finish_output(&mut self, since: Instant) {
        self.end.finish_output(since);
        self.stream.end_output();
    }

    /// Requests are read: it may have more of them, and it takes its answers.
    pub(super) fn accepts_requests(&self, timeouts: &ClientLimits) -> bool {
        self.end.is_open()
            && self.responses.len() < timeouts.max_pipelined
            && self.stream.unsent() < timeouts.max_unsent_bytes
    }

    /// Whether its bytes are read, as requests or to be discarded.
    pub(super) fn wants_input(&self, timeouts: &ClientLimits) -> bool {
        match self.end.discard_budget() {
            Some(budget) => budget > 0,
            None => self.accepts_requests(timeouts),
        }
    }
}
