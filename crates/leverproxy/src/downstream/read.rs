//! Bytes of a client to requests.

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

/// From this many bytes on, an incomplete command is checked against the limit of all incomplete commands together.
const LARGE_PARTIAL_BYTES: usize = 16 << 10;

/// Whether more messages are read after one.
enum Progress {
    Continue,
    Stop,
    /// The connection came to cancel a request, and ends.
    Cancel(CancelKey),
}

impl Downstream {
    /// A client's descriptor is ready. `ended`: the client has closed its side; answers to come are of no use to it.
    pub fn ready(&mut self, key: Key, ended: bool, now: Instant, reactor: &Reactor) {
        if self.fill(key, ended) {
            self.handle_final_cancel(key, now);
            return self.drop_client(key, reactor);
        }
        self.read(key, now);
        self.advance(key, now, reactor);
    }

    /// Reads from the socket; whether the client has left.
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
            // What it sent before it left needs no answer, read or not.
            return true;
        }
        client.accepts_requests(&self.timeouts)
            && client.stream.fill(server::INPUT_LIMIT) == ReadStatus::Ended
    }

    /// Reads what a client has sent until now, before its connection is closed: a request among it is owed an answer.
    /// Returns whether anything came.
    pub(super) fn read_pending(&mut self, key: Key, now: Instant, reactor: &Reactor) -> bool {
        let Some(client) = self.clients.get_mut(key) else {
            return false;
        };
        if !client.accepts_requests(&self.timeouts) {
            return false;
        }
        let before = client.stream.input.len();
        if client.stream.fill(server::INPUT_LIMIT) == ReadStatus::Ended {
            self.handle_final_cancel(key, now);
            self.drop_client(key, reactor);
            return false;
        }
        let has_input = client.stream.input.len() > before;
        if has_input {
            self.read(key, now);
        }
        has_input
    }

    /// Decodes what has come, as far as the client may have more requests.
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
        let Some(client) = self.clients.get_mut(key) else {
            return Progress::Stop;
        };
        if !client.accepts_requests(&self.timeouts) {
            return Progress::Stop;
        }
        let was_started = client.is_started;
        match decode_next(client, key, now) {
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
            Ok(Step::Request(slot, request)) => self.queue_request(slot, request, now),
            Ok(Step::Rejected(reason)) => self.reject_statement(key, reason, now),
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
        // Whoever sends a request is a client.
        let was_balancer = std::mem::take(&mut client.is_balancer);
        self.balancer_connections -= usize::from(was_balancer);
        self.events.push_back(Event::Request(slot, request));
    }

    /// Answers a statement that is no request. The connection goes on.
    fn reject_statement(&mut self, key: Key, reason: String, now: Instant) {
        self.malformed_log.warn(now, || {
            format!("front: a statement is not understood: {reason}")
        });
        self.malformed_statements += 1;
        if let Some(client) = self.clients.get_mut(key) {
            client.push_response(Some(server::response(Answer::Invalid(reason))));
            client.quiet_since = now;
        }
    }

    /// What came is no message of the protocol: the connection ends.
    fn reject_malformed(&mut self, key: Key, reason: &Malformed, now: Instant) {
        self.malformed_log.warn(now, || {
            format!("front: a client is not understood: {reason}")
        });
        self.reject_client(key, server::protocol_violation(reason));
    }

    /// Notes since when a command is incomplete. Rejects the client if incomplete commands of all clients together take
    /// too much memory: each is within its limit, but many clients that begin one and never end it are not.
    fn check_partial(&mut self, key: Key, unread_before: usize, now: Instant) {
        let Some(client) = self.clients.get(key) else {
            return;
        };
        let unread = client.stream.input.len();
        let is_partial = client.accepts_requests(&self.timeouts) && unread > 0;
        if is_partial && unread > LARGE_PARTIAL_BYTES {
            let inputs = self.clients.iter().map(|(_, c)| c.stream.input.len());
            if inputs.sum::<usize>() > self.limits.unfinished {
                return self.reject_client(key, server::out_of_memory());
            }
        }
        if let Some(client) = self.clients.get_mut(key) {
            // If any bytes were used up, what is left is the start of another command than before.
            let since = client.partial_since.filter(|_| unread == unread_before);
            client.partial_since = since.or(Some(now)).filter(|_| is_partial);
        }
    }

    /// Cancels the request that the session of this key waits for; there may be none.
    /// A client has left before it began a session. If it came to cancel a request, it is of no matter that it did not wait for
    /// the end of its connection.
    fn handle_final_cancel(&mut self, key: Key, now: Instant) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        if client.is_started || client.end.discard_budget().is_some() {
            return;
        }
        // Its end is known; what came before it counts.
        _ = client.stream.fill(server::INPUT_LIMIT);
        while !client.is_started {
            match decode_next(client, key, now) {
                Ok(Step::Done) => {}
                Ok(Step::Cancel(cancel_key)) => return self.cancel(cancel_key),
                _ => return,
            }
        }
    }

    fn cancel(&mut self, cancel_key: CancelKey) {
        let mut clients = self.clients.iter();
        let Some((key, client)) = clients.find(|(_, c)| c.cancel_key == cancel_key) else {
            return;
        };
        let is_waiting = |response: &PendingResponse| matches!(response, PendingResponse::Waiting);
        if let Some(index) = client.responses.iter().position(is_waiting) {
            let number = client.first_number + index as u64;
            self.events.push_back(Event::Cancelled(ResponseSlot {
                client: key,
                number,
            }));
        }
    }
}
