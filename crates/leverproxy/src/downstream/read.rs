//! Reads the bytes of a client and decodes requests from them.

use super::client::PendingResponse;
use super::decode::{decode_next, Step};
use super::event::Event;
use super::state::Downstream;
use crate::event_loop::reactor::Reactor;
use crate::event_loop::slab::Key;
use crate::event_loop::stream::ReadStatus;
use crate::protocol::postgres::server::{self, CancelKey};
use crate::protocol::postgres::Malformed;
use crate::request::{Answer, Request, ResponseSlot};
use std::time::Instant;

/// Maximum number of requests of one client that one event decodes. A client that sends at full speed always has more of
/// them, and other clients wait meanwhile.
const MAX_REQUESTS_PER_EVENT: usize = 16;

/// Whether to read further messages of a client.
enum Progress {
    Continue,
    Stop,
    /// The connection was made to cancel a request, and ends.
    Cancel(CancelKey),
}

impl Downstream {
    /// Handles a client's descriptor that is ready. `ended`: the client has closed its side and needs no more
    /// responses.
    pub fn ready(&mut self, key: Key, ended: bool, now: Instant, reactor: &Reactor) {
        if let Some(client) = self.clients.get_mut(key) {
            client.start_turn();
        }
        if self.fill(key, ended) {
            self.handle_final_cancel(key, now);
            return self.drop_client(key, reactor);
        }
        self.read(key, now);
        self.advance(key, now, reactor);
    }

    /// Reads from the socket. Returns whether the client has left.
    fn fill(&mut self, key: Key, ended: bool) -> bool {
        let Some(client) = self.clients.get_mut(key) else {
            return false;
        };
        if let Some(budget) = client.end.discard_budget() {
            if budget == 0 {
                return ended;
            }
            let (filled, discarded) = client.stream.discard_input();
            client.end.count_discarded(discarded);
            let is_exhausted = client.end.discard_budget() == Some(0);
            return filled == ReadStatus::Ended || ended && is_exhausted;
        }
        if ended {
            // Requests that the client sent before it left need no answer, whether they were read or not.
            return true;
        }
        client.accepts_requests(&self.timeouts) && self.fill_input(key) == ReadStatus::Ended
    }

    /// Reads the bytes that a client has sent until now, before its connection is closed: a request among them has to
    /// be answered. Returns whether any bytes were read.
    pub(super) fn read_pending(&mut self, key: Key, now: Instant, reactor: &Reactor) -> bool {
        let Some(client) = self.clients.get(key) else {
            return false;
        };
        if !client.accepts_requests(&self.timeouts) {
            return false;
        }
        let before = client.stream.input.len();
        if self.fill_input(key) == ReadStatus::Ended {
            self.handle_final_cancel(key, now);
            self.drop_client(key, reactor);
            return false;
        }
        let client = self.clients.get(key);
        let has_input = client.is_some_and(|client| client.stream.input.len() > before);
        if has_input {
            self.read(key, now);
        }
        has_input
    }

    /// Decodes the bytes that were read, as far as the client's limits allow more requests.
    pub(super) fn read(&mut self, key: Key, now: Instant) {
        let Some(client) = self.clients.get(key) else {
            return;
        };
        let unread_before = client.stream.input.len();
        loop {
            match self.read_next(key, now) {
                Progress::Continue => {}
                Progress::Stop => break,
                Progress::Cancel(cancel_key) => return self.cancel(cancel_key),
            }
        }
        self.check_partial(key, unread_before, now);
    }

    fn read_next(&mut self, key: Key, now: Instant) -> Progress {
        let reading = self.reading_limits();
        let Some(client) = self.clients.get_mut(key) else {
            return Progress::Stop;
        };
        let may_decode = client.accepts_requests(&self.timeouts) && reading.may_decode(client);
        client.has_undecoded = !may_decode && !client.stream.input.is_empty();
        if !may_decode {
            return Progress::Stop;
        }
        client.is_turn_over =
            client.decoded_in_event >= MAX_REQUESTS_PER_EVENT && !client.stream.input.is_empty();
        if client.is_turn_over {
            return Progress::Stop;
        }
        let was_started = client.is_started;
        let decoded = decode_next(client, key, now);
        if !matches!(decoded, Ok(Step::Incomplete)) {
            client.large_command = None;
        }
        match decoded {
            Ok(Step::Incomplete) => return Progress::Stop,
            Ok(Step::Terminate) => {
                client.end.set_peer_left();
                return Progress::Stop;
            }
            Ok(Step::Cancel(cancel_key)) => {
                client.end.set_peer_left();
                return Progress::Cancel(cancel_key);
            }
            Ok(Step::Done) if was_started => client.quiet_since = now,
            Ok(Step::Done) => {}
            Ok(Step::Request(slot, request)) => {
                client.decoded_in_event += 1;
                self.queue_request(slot, request, now);
            }
            Ok(Step::Rejected(reason)) => {
                client.decoded_in_event += 1;
                self.reject_statement(key, reason, now);
            }
            Err(reason) => self.reject_malformed(key, &reason, now),
        }
        Progress::Continue
    }

    fn queue_request(&mut self, slot: ResponseSlot, request: Request, now: Instant) {
        let Some(client) = self.clients.get_mut(slot.client) else {
            return;
        };
        client.has_requested_again = client.has_requested;
        client.has_requested = true;
        client.quiet_since = now;
        // A connection that sends a request counts as a client, even if it comes from a balancer's network.
        let was_balancer = std::mem::take(&mut client.is_balancer);
        self.balancer_connections -= usize::from(was_balancer);
        self.events.push_back(Event::Request(slot, request));
    }

    /// Answers a statement that is not a request with an error. The connection stays open.
    fn reject_statement(&mut self, key: Key, reason: String, now: Instant) {
        self.malformed_log.warn(now, || {
            format!("front: statement of a client not understood: {reason}")
        });
        self.malformed_statements += 1;
        if let Some(client) = self.clients.get_mut(key) {
            client.push_response(server::response(Answer::Invalid(reason)));
            client.quiet_since = now;
        }
    }

    /// Rejects a client whose bytes are not a message of the protocol: the connection ends.
    fn reject_malformed(&mut self, key: Key, reason: &Malformed, now: Instant) {
        self.malformed_log.warn(now, || {
            format!("front: client message not understood: {reason}")
        });
        self.reject_client(key, server::protocol_violation(reason));
    }

    /// Records the time since which a command is incomplete. The time for which the command is not read does not count.
    fn check_partial(&mut self, key: Key, unread_before: usize, now: Instant) {
        let reading = self.reading_limits();
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.update_memory();
        let unread = client.stream.input.len();
        let is_partial = client.accepts_requests(&self.timeouts)
            && !client.has_undecoded
            && !client.is_turn_over
            && !reading.is_exhausted(client)
            && unread > 0;
        // If any bytes were consumed, the remaining bytes belong to another command than before.
        let since = client.partial_since.filter(|_| unread == unread_before);
        client.partial_since = since.or(Some(now)).filter(|_| is_partial);
    }

    /// Handles a cancel request of a client that has left without starting a session. The request is valid even though
    /// the client did not wait for the end of its connection.
    fn handle_final_cancel(&mut self, key: Key, now: Instant) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        if client.is_started || client.end.discard_budget().is_some() {
            return;
        }
        // The connection is known to have ended, so the result is ignored; bytes that arrived before the end still
        // count.
        _ = client.stream.fill(server::INPUT_LIMIT);
        while !client.is_started {
            match decode_next(client, key, now) {
                Ok(Step::Done) => {}
                Ok(Step::Cancel(cancel_key)) => return self.cancel(cancel_key),
                _ => return,
            }
        }
    }

    /// Cancels the request that the session with this key waits for, if any.
    fn cancel(&mut self, cancel_key: CancelKey) {
        let mut clients = self.clients.iter();
        let Some((key, client)) = clients.find(|(_, c)| c.cancel_key == cancel_key) else {
            return;
        };
        let is_waiting =
            |response: &PendingResponse| matches!(response, PendingResponse::Waiting { .. });
        if let Some(index) = client.responses.iter().position(is_waiting) {
            let number = client.first_number + index as u64;
            self.events.push_back(Event::Cancelled(ResponseSlot {
                client: key,
                number,
            }));
        }
    }
}
