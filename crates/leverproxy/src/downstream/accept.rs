//! Accepting connections, the limit of clients, and which client is evicted at the limit.

use super::client::{Client, ClientMemory};
use super::state::Downstream;
use crate::config::MAX_BALANCER_CONNECTIONS;
use crate::event_loop::listener;
use crate::event_loop::listener::AcceptError;
use crate::event_loop::reactor::{Interest, Reactor};
use crate::event_loop::slab::Key;
use crate::event_loop::stream::Stream;
use crate::event_loop::token::Token;
use crate::protocol::postgres::server;
use ipnet::IpNet;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Time for which a client without a request is not evicted at the limit of clients: its first bytes may be in transit.
const SILENT_CLIENT_GRACE: Duration = Duration::from_millis(100);

/// Maximum number of clients whose pending bytes are read to find one that can be evicted.
const MAX_EVICTION_CANDIDATES: usize = 16;

/// Clients that have sent requests are evicted only while the silent clients number at most the limit divided by this.
const SILENT_CLIENTS_DIVISOR: usize = 4;

impl Downstream {
    /// Accepts waiting connections, as far as there is capacity. Those beyond the limit of one event are accepted in the
    /// next event.
    pub fn accept(&mut self, now: Instant, reactor: &Reactor) {
        self.accept_at_most(listener::MAX_ACCEPTS_PER_EVENT, now, reactor);
    }

    /// Accepts up to `count` waiting connections, as far as there is capacity.
    pub(super) fn accept_at_most(&mut self, count: usize, now: Instant, reactor: &Reactor) {
        // Evicting a client frees a descriptor for the next connection. If accepting still fails, the shortage of
        // descriptors has another cause.
        let mut freed_descriptor = false;
        for _ in 0..count {
            if self.new_process_accepts {
                return;
            }
            // Selected first, but closed only once another client has been accepted in its place.
            let evictable = if self.is_full() {
                self.find_evictable(now, reactor)
            } else {
                None
            };
            let is_over_limit = self.is_full() && evictable.is_none();
            if is_over_limit && !self.may_accept_balancer() {
                return self.set_accept_paused(true, reactor);
            }
            let Some(listener) = &self.listener else {
                return;
            };
            match listener::accept(listener) {
                Ok((stream, peer)) => {
                    freed_descriptor = false;
                    if let Some(key) = evictable {
                        self.remove(key);
                    }
                    self.admit_client(stream, peer, is_over_limit, now, reactor);
                }
                Err(AcceptError::Empty) => return,
                Err(AcceptError::RetryLater) => return self.set_accept_paused(true, reactor),
                Err(AcceptError::NoDescriptors) => {
                    self.log_descriptors_exhausted(now);
                    if freed_descriptor || !self.free_descriptor(now, reactor) {
                        return self.set_accept_paused(true, reactor);
                    }
                    freed_descriptor = true;
                }
            }
        }
    }

    /// Whether a balancer's health check may be accepted above the limit of clients. Only the address distinguishes it
    /// from a client, so its connection has to be accepted first.
    fn may_accept_balancer(&self) -> bool {
        !self.balancer_networks.is_empty() && self.balancer_connections < MAX_BALANCER_CONNECTIONS
    }

    fn admit_client(
        &mut self,
        stream: Stream,
        peer: IpAddr,
        is_over_limit: bool,
        now: Instant,
        reactor: &Reactor,
    ) {
        let key = self.add_client(stream, peer, now, reactor);
        let is_balancer = self.clients.get(key).is_some_and(|c| c.is_balancer);
        if is_over_limit && !is_balancer {
            self.reject_client(key, server::too_many_connections());
            self.advance(key, now, reactor);
        }
    }

    pub(super) fn add_client(
        &mut self,
        stream: Stream,
        peer: IpAddr,
        now: Instant,
        reactor: &Reactor,
    ) -> Key {
        let is_within = |networks: &[IpNet]| networks.iter().any(|net| net.contains(&peer));
        let awaits_proxy_header = is_within(&self.proxy_header_networks);
        // Above the limit of balancers' connections, a connection from a balancer's network counts as a client.
        let is_balancer = is_within(&self.balancer_networks)
            && self.balancer_connections < MAX_BALANCER_CONNECTIONS;
        self.balancer_connections += usize::from(is_balancer);
        let cancel_key = self.cancel_keys.next();
        let client = Client::new(
            stream,
            cancel_key,
            peer,
            awaits_proxy_header,
            is_balancer,
            ClientMemory {
                buffers: self.memory.reserve(0),
                open_commands: self.open_commands.clone(),
                pending_responses: self.pending_responses.reserve(0),
            },
            now,
        );
        let key = self.clients.insert(client);
        // Bytes that have arrived are read in a later iteration of the event loop, after those that other clients sent
        // before.
        self.advance(key, now, reactor);
        key
    }

    fn log_descriptors_exhausted(&mut self, now: Instant) {
        let clients = self.clients.len();
        self.descriptors_log.warn(now, || {
            format!("front: no file descriptor left with {clients} clients connected")
        });
    }

    /// Evicts a client to free its descriptor. Returns whether a connection was closed.
    fn free_descriptor(&mut self, now: Instant, reactor: &Reactor) -> bool {
        let clients_before = self.clients.len();
        if let Some(key) = self.find_evictable(now, reactor) {
            self.remove(key);
        }
        self.clients.len() != clients_before
    }

    fn is_full(&self) -> bool {
        self.clients.len() - self.balancer_connections >= self.limits.clients
    }

    /// Finds a client that can be evicted, after reading the bytes that it has sent until now. Each client is read once:
    /// one that sends continuously would be selected again and again.
    fn find_evictable(&mut self, now: Instant, reactor: &Reactor) -> Option<Key> {
        let mut examined = Vec::new();
        while examined.len() < MAX_EVICTION_CANDIDATES {
            let key = self.select_evictable(&examined, now)?;
            examined.push(key);
            let has_sent = self.read_pending(key, now, reactor);
            if has_sent {
                self.advance(key, now, reactor);
            }
            // `None` if the client has closed its connection, which makes room already.
            let client = self.clients.get(key)?;
            if !has_sent || is_evictable_silent(client, now) {
                return Some(key);
            }
        }
        None
    }

    /// Selects the client to evict first, other than those examined before: one that has sent no request, otherwise the
    /// one that has been idle the longest between its requests. While many clients send no request, clients that have
    /// sent requests are not evicted, and silent clients are evicted as soon as they can be distinguished from new
    /// clients.
    fn select_evictable(&self, examined: &[Key], now: Instant) -> Option<Key> {
        let longest_idle = |is_candidate: &dyn Fn(&Client) -> bool| {
            self.clients
                .iter()
                .filter(|(key, client)| is_candidate(client) && !examined.contains(key))
                .min_by_key(|(_, client)| client.quiet_since)
                .map(|(key, _)| key)
        };
        let silent = self.clients.iter().filter(|(_, c)| c.is_silent()).count();
        longest_idle(&|client| is_evictable_silent(client, now)).or_else(|| {
            longest_idle(&|c| c.is_started && c.has_requested && c.is_idle())
                .filter(|_| silent <= self.limits.clients / SILENT_CLIENTS_DIVISOR)
        })
    }

    /// Whether accepting is paused, until a client leaves or [`Downstream::resume_accept`] is called.
    pub fn is_accept_paused(&self) -> bool {
        !self.is_accepting
    }

    /// Resumes accepting connections.
    pub fn resume_accept(&mut self, reactor: &Reactor) {
        self.set_accept_paused(false, reactor);
    }

    /// Sets whether a new process accepts from the same backlog instead of this process.
    pub fn set_new_process_accepts(&mut self, accepts: bool, reactor: &Reactor) {
        self.new_process_accepts = accepts;
        self.set_accept_paused(accepts, reactor);
    }

    /// Pauses or resumes accepting. While accepting is paused the listener must not be watched, since it would be
    /// reported as ready all the time.
    pub(super) fn set_accept_paused(&mut self, pause: bool, reactor: &Reactor) {
        let pause = pause || self.new_process_accepts;
        let changes = self.is_accepting == pause;
        let Some(listener) = self.listener.as_ref().filter(|_| changes) else {
            return;
        };
        let interest = Interest {
            read: !pause,
            write: false,
        };
        if let Ok(watched) = reactor.update(listener, Token::Listener, interest, true) {
            self.is_accepting = watched && !pause;
        }
    }
}

/// Whether a client has sent no request although there was time for one, or its connection is about to close.
fn is_evictable_silent(client: &Client, now: Instant) -> bool {
    let quiet = now.saturating_duration_since(client.quiet_since);
    client.is_silent() && (quiet >= SILENT_CLIENT_GRACE || client.end.is_lingering())
}
