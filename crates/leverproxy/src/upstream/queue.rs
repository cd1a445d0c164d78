//! Queued exchanges: their assignment to connections, their expiry and their cancellation.

use super::events::UpstreamTimer;
use super::exchange::Exchange;
use super::pool::Pool;
use super::Upstream;
use crate::event_loop::reactor::Reactor;
use crate::event_loop::slab::Key;
use crate::event_loop::stream::ReadStatus;
use crate::request::{ExchangeOutcome, Purpose};
use routing::{RequestId, ResponseMetadata, ServerId};
use std::net::SocketAddr;
use std::time::Instant;

impl Upstream {
    /// Adds a server, or sets its address. Idle connections to another address are closed.
    pub fn add_server(&mut self, server: ServerId, address: SocketAddr) {
        let pool = self
            .pools
            .entry(server)
            .or_insert_with(|| Pool::new(address));
        if pool.address != address {
            pool.address = address;
            for key in std::mem::take(&mut pool.idle) {
                self.connections.remove(key);
            }
        }
    }

    /// Removes a server that is draining or gone. Exchanges that are not written in full end as not sent; exchanges
    /// that are written in full continue.
    pub fn remove_server(&mut self, server: ServerId, now: Instant) {
        let Some(mut pool) = self.pools.remove(&server) else {
            return;
        };
        for exchange in pool.queue.drain(..) {
            self.finish(exchange, server, ExchangeOutcome::NotSent, now);
        }
        for key in self.connections.keys() {
            let of_server = |key| self.connections.get(key).filter(|c| c.server == server);
            if of_server(key).is_some_and(|connection| !connection.is_written()) {
                self.close(key, ExchangeOutcome::NotSent, now);
            }
        }
    }

    /// Starts an exchange on an idle connection, or queues the exchange for the next free connection.
    pub fn start(&mut self, server: ServerId, exchange: Exchange, now: Instant, reactor: &Reactor) {
        let Some(pool) = self.pools.get_mut(&server) else {
            return self.finish(exchange, server, ExchangeOutcome::NotSent, now);
        };
        let deadline = exchange.queue_deadline(self.dial_timeout);
        pool.queue.push_back(exchange);
        self.serve_queue(server, now, reactor);
        let pool = self.pools.get(&server);
        if pool.is_some_and(|pool| !pool.queue.is_empty()) {
            self.timers.push((deadline, UpstreamTimer::Queue(server)));
        }
    }

    /// Assigns idle connections to queued exchanges, and dials for the remaining exchanges.
    pub(super) fn serve_queue(&mut self, server: ServerId, now: Instant, reactor: &Reactor) {
        self.expire_queued(server, now);
        while let Some(pool) = self.pools.get_mut(&server) {
            if pool.queue.is_empty() {
                break;
            }
            let Some(key) = pool.idle.pop() else { break };
            if !self.is_reusable(key, now) {
                self.connections.remove(key);
                continue;
            }
            let pool = self.pools.get_mut(&server);
            let Some(exchange) = pool.and_then(|pool| pool.queue.pop_front()) else {
                break;
            };
            self.assign(key, exchange, now, reactor);
        }
        self.dial_for_queue(server, now, reactor);
    }

    /// Whether an idle connection is still open and free of unread bytes. The server may have closed it without an event
    /// having been handled yet; a request written after that would count as possibly executed.
    fn is_reusable(&mut self, key: Key, now: Instant) -> bool {
        let Some(connection) = self.connections.get_mut(key) else {
            return false;
        };
        let is_open = connection.stream.fill(1) != ReadStatus::Ended;
        if connection.stream.input.is_empty() {
            return is_open;
        }
        self.note_unrequested(key, "unexpected bytes on an idle connection", now);
        false
    }

    /// Ends the exchanges that were queued for too long, so that a connection established later does not send them.
    pub(super) fn expire_queued(&mut self, server: ServerId, now: Instant) {
        let dial_timeout = self.dial_timeout;
        let Some(pool) = self.pools.get_mut(&server) else {
            return;
        };
        let backing_off = pool.dial_backoff_until.is_some();
        for exchange in pool.take_expired(dial_timeout, now) {
            // A server counts as unreachable only if it was dialled for the whole dial timeout.
            let dial_deadline = exchange.deadline.min(exchange.started + dial_timeout);
            let outcome = if backing_off || now < dial_deadline {
                ExchangeOutcome::NotSent
            } else {
                ExchangeOutcome::ConnectFailed
            };
            self.finish(exchange, server, outcome, now);
        }
    }

    /// Closes the idle connection that would time out first, otherwise a connection that is about to become idle. Returns
    /// false if there is neither.
    pub(super) fn evict_idle(&mut self) -> bool {
        let oldest = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.is_idle() || connection.is_synchronizing())
            .min_by_key(|(_, connection)| (connection.is_synchronizing(), connection.deadline))
            .map(|(key, connection)| (key, connection.server));
        let Some((key, server)) = oldest else {
            return false;
        };
        self.remove_idle(server, key);
        self.connections.remove(key).is_some()
    }

    /// Removes a connection from the idle connections of its server.
    pub(super) fn remove_idle(&mut self, server: ServerId, key: Key) {
        if let Some(pool) = self.pools.get_mut(&server) {
            pool.idle.retain(|&idle| idle != key);
        }
    }

    /// Ends the exchange that has been queued longest. Each failed dial ends one exchange.
    pub(super) fn fail_first_queued(
        &mut self,
        server: ServerId,
        outcome: ExchangeOutcome,
        now: Instant,
    ) {
        let Some(pool) = self.pools.get_mut(&server) else {
            return;
        };
        let exchange = pool.queue.pop_front();
        // Exchanges beyond the limit of parallel dials have no dial of their own. Without this timer they would stay
        // queued until they expire.
        if pool.queue.len() > pool.dialling {
            self.timers.push((now, UpstreamTimer::Queue(server)));
        }
        if let Some(exchange) = exchange {
            self.finish(exchange, server, outcome, now);
        }
    }

    /// Cancels an exchange. If the exchange has a connection, the connection is closed.
    pub fn cancel(&mut self, purpose: Purpose, now: Instant) {
        if let Some(key) = self.find_active(|exchange, _| exchange.purpose == purpose) {
            return self.close(key, ExchangeOutcome::Cancelled, now);
        }
        for (server, exchange) in self.take_queued(|exchange| exchange.purpose == purpose) {
            self.finish(exchange, server, ExchangeOutcome::Cancelled, now);
        }
    }

    /// Cancels the attempts of a request that are not written in full; attempts that are written in full continue.
    pub fn cancel_unwritten(&mut self, id: RequestId, now: Instant) {
        let of_request =
            |exchange: &Exchange| matches!(exchange.purpose, Purpose::Attempt(of, _) if of == id);
        for (server, exchange) in self.take_queued(of_request) {
            self.finish(exchange, server, ExchangeOutcome::NotSent, now);
        }
        if let Some(key) = self.find_active(|exchange, written| !written && of_request(exchange)) {
            self.close(key, ExchangeOutcome::NotSent, now);
        }
    }

    /// The first connection whose exchange matches the predicate, which gets the exchange and whether it is written in
    /// full.
    fn find_active(&self, matches: impl Fn(&Exchange, bool) -> bool) -> Option<Key> {
        self.connections
            .iter()
            .find(|(_, connection)| {
                connection
                    .active()
                    .is_some_and(|active| matches(&active.exchange, active.written))
            })
            .map(|(key, _)| key)
    }

    /// Removes the first matching exchange from each queue.
    fn take_queued(&mut self, matches: impl Fn(&Exchange) -> bool) -> Vec<(ServerId, Exchange)> {
        let mut taken = Vec::new();
        for (&server, pool) in &mut self.pools {
            if let Some(at) = pool.queue.iter().position(&matches) {
                taken.extend(pool.queue.remove(at).map(|exchange| (server, exchange)));
            }
        }
        taken
    }

    /// Reports the completion of an exchange without a response.
    pub(super) fn finish(
        &mut self,
        exchange: Exchange,
        server: ServerId,
        outcome: ExchangeOutcome,
        now: Instant,
    ) {
        let completed = exchange.completed(server, outcome, ResponseMetadata::default(), now);
        self.completed.push_back(completed);
    }
}
