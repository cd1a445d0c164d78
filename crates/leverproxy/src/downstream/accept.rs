//! Accepting, the limit of clients, and who gives way at the limit.

use super::client::Client;
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

/// At the limit, a client that has sent no request gives way, but not before this: its first bytes may be on their way.
const SILENT_CLIENT_GRACE: Duration = Duration::from_millis(100);

/// Clients that have sent requests give way only while silent ones are at most one in this many of the limit.
const SILENT_CLIENTS_DIVISOR: usize = 4;

impl Downstream {
    /// Accepts every connection that waits, as far as there is capacity.
    pub fn accept(&mut self, now: Instant, reactor: &Reactor) {
        // One that gives way frees a descriptor for the next; if accepting fails still, they are short elsewhere.
        let mut freed_descriptor = false;
        while !self.new_process_accepts {
            // Found first, closed only once another client is there for its place.
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

    /// Whether a balancer's check may come in beside the limit. Only its address distinguishes it from a client, so it
    /// has to be accepted first.
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
        // Bounded: beyond that, whatever comes from a balancer's network is a client like any other.
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
            now,
        );
        let key = self.clients.insert(client);
        // Read in a later round even if bytes have come: what others sent before is read first.
        self.advance(key, now, reactor);
        key
    }

    fn log_descriptors_exhausted(&mut self, now: Instant) {
        let clients = self.clients.len();
        self.descriptors_log.warn(now, || {
            format!("front: no descriptor left, {clients} clients")
        });
    }

    /// Closes a connection that gives way; whether one was closed.
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

    /// A client that gives way, even after what it has sent until now is read.
    fn find_evictable(&mut self, now: Instant, reactor: &Reactor) -> Option<Key> {
        while let Some(key) = self.select_evictable(now) {
            if !self.read_pending(key, now, reactor) {
                // None: it had closed by itself, and its place is free.
                return self.clients.get(key).map(|_| key);
            }
            self.advance(key, now, reactor);
        }
        None
    }

    /// The client that gives way first: one that has sent no request, else the one that has been idle the longest
    /// between its requests. While a crowd that sends nothing fills the places, clients that have sent requests keep
    /// theirs, and the crowd gives way as fast as it can be distinguished from new clients.
    fn select_evictable(&self, now: Instant) -> Option<Key> {
        let longest_idle = |is_candidate: &dyn Fn(&Client) -> bool| {
            let candidates = self.clients.iter().filter(|(_, c)| is_candidate(c));
            candidates
                .min_by_key(|(_, c)| c.quiet_since)
                .map(|(key, _)| key)
        };
        let is_past_grace =
            |c: &Client| now.saturating_duration_since(c.quiet_since) >= SILENT_CLIENT_GRACE;
        let silent = self.clients.iter().filter(|(_, c)| c.is_silent()).count();
        longest_idle(&|c| c.is_silent() && (is_past_grace(c) || c.end.is_lingering())).or_else(
            || {
                longest_idle(&|c| c.is_started && c.has_requested && c.is_idle())
                    .filter(|_| silent <= self.limits.clients / SILENT_CLIENTS_DIVISOR)
            },
        )
    }

    /// Accepting is paused until a client has left or [`Downstream::resume_accept`] is called.
    pub fn is_accept_paused(&self) -> bool {
        !self.is_accepting
    }

    /// Tries accepting again.
    pub fn resume_accept(&mut self, reactor: &Reactor) {
        self.set_accept_paused(false, reactor);
    }

    /// Whether a new process accepts from the same queue in place of this one.
    pub fn set_new_process_accepts(&mut self, accepts: bool, reactor: &Reactor) {
        self.new_process_accepts = accepts;
        self.set_accept_paused(accepts, reactor);
    }

    /// A listener that is not accepted from must not be watched: it would be ready all the time.
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
