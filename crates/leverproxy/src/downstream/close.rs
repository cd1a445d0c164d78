//! Rejecting clients, and closing connections while the process drains.

use super::client::Client;
use super::connection_end::CloseReason;
use super::event::Event;
use super::state::Downstream;
use crate::event_loop::listener;
use crate::event_loop::reactor::Reactor;
use crate::event_loop::slab::Key;
use crate::protocol::postgres::server;
use crate::request::ResponseSlot;
use std::time::Instant;

impl Downstream {
    /// Accepts the waiting connections and no further ones. Closes each connection as soon as no response is pending on
    /// it. A connection without a startup message stays open, since a request may follow that message immediately.
    pub fn start_draining(&mut self, now: Instant, reactor: &Reactor) {
        if !self.new_process_accepts {
            self.accept_at_most(listener::MAX_WAITING, now, reactor);
            self.reject_waiting(now, reactor);
        }
        if let Some(listener) = self.listener.take() {
            reactor.deregister(&listener);
        }
        self.is_draining = true;
        for key in self.clients.keys() {
            // A request that has arrived already is read and answered.
            self.ready(key, false, now, reactor);
        }
    }

    /// Rejects the waiting connections above the limit of clients with an error. Closing the listener alone would reset
    /// them.
    fn reject_waiting(&mut self, now: Instant, reactor: &Reactor) {
        for _ in 0..listener::MAX_WAITING {
            let Some(Ok((stream, peer))) = self.listener.as_ref().map(listener::accept) else {
                return;
            };
            let key = self.add_client(stream, peer, now, reactor);
            self.reject_client(key, server::too_many_connections());
            self.advance(key, now, reactor);
        }
    }

    /// Ends a client's connection with an error message. No more requests are read from the client.
    pub(super) fn reject_client(&mut self, key: Key, error: Vec<u8>) {
        if let Some(client) = self.clients.get_mut(key) {
            self.rejected_clients += 1;
            client.push_response(error);
            client.end.start_closing(CloseReason::Rejected);
        }
    }

    /// Closes a client's descriptor. Its requests are abandoned; requests that the pipeline has not received yet are
    /// dropped.
    pub(super) fn drop_client(&mut self, key: Key, reactor: &Reactor) {
        let Some(client) = self.remove(key) else {
            return;
        };
        self.events
            .retain(|event| !matches!(event, Event::Request(slot, _) if slot.client == key));
        for number in client.incomplete_responses() {
            self.events.push_back(Event::ClientLeft(ResponseSlot {
                client: key,
                number,
            }));
        }
        self.set_accept_paused(false, reactor);
    }

    pub(super) fn remove(&mut self, key: Key) -> Option<Client> {
        let client = self.clients.remove(key)?;
        self.balancer_connections -= usize::from(client.is_balancer);
        Some(client)
    }
}
