//! Closing clients that exceed a timeout, and idle clients while many clients are connected.

use super::state::Downstream;
use crate::event_loop::reactor::Reactor;
use crate::event_loop::slab::Key;
use crate::protocol::postgres::server;
use crate::protocol::postgres::Malformed;
use std::time::{Duration, Instant};

/// How often clients are checked for timeouts.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Above the limit `packed`, a connection is closed after this idle time, if `client-idle` is not shorter. A client that
/// sends one request after the other keeps its connection, whatever other clients do.
const PACKED_IDLE: Duration = Duration::from_secs(2);

impl Downstream {
    /// Closes the connections that exceed a timeout. Returns the time of the next check.
    pub fn close_expired(&mut self, now: Instant, reactor: &Reactor) -> Instant {
        for key in self.clients.keys() {
            self.check_timeouts(key, now, reactor);
        }
        self.close_idle(now, reactor);
        now + TIMEOUT_CHECK_INTERVAL
    }

    fn check_timeouts(&mut self, key: Key, now: Instant, reactor: &Reactor) {
        let Some(client) = self.clients.get(key) else {
            return;
        };
        if client.end.is_lingering() {
            if client.end.is_linger_over(self.timeouts.linger, now) {
                self.drop_client(key, reactor);
            }
            return;
        }
        let quiet = now.saturating_duration_since(client.quiet_since);
        if client.stream.unsent() > 0 && quiet >= self.timeouts.unread_response {
            self.drop_client(key, reactor);
        } else if self.holds_stalled_command(client, now) {
            self.reject_client(key, server::out_of_memory());
            self.advance(key, now, reactor);
        } else if client.is_overdue(&self.timeouts, now) {
            self.disconnect_overdue(key, now, reactor);
        } else if self.is_draining {
            // The time for the first request may be over.
            self.advance(key, now, reactor);
        }
    }

    /// Disconnects a client that exceeds a timeout, unless the bytes that it has sent until now reset the timeout.
    fn disconnect_overdue(&mut self, key: Key, now: Instant, reactor: &Reactor) {
        self.read_pending(key, now, reactor);
        let client = self.clients.get(key);
        if client.is_some_and(|client| client.is_overdue(&self.timeouts, now)) {
            let reason = Malformed("nothing whole was asked for in time".into());
            self.reject_client(key, server::protocol_violation(&reason));
        }
        self.advance(key, now, reactor);
    }

    /// Closes idle clients while many clients are connected: first clients that have sent only one request, then
    /// clients with more requests, each in the order of the time for which they have been idle.
    pub(super) fn close_idle(&mut self, now: Instant, reactor: &Reactor) {
        let active = self.clients.iter().filter(|(_, c)| !c.is_silent());
        let mut remaining = active.clone().count();
        let mut idle: Vec<(bool, Instant, Key)> = active
            .filter(|(_, c)| c.is_idle())
            .map(|(key, c)| (c.has_requested_again, c.quiet_since, key))
            .collect();
        idle.sort();
        for (_, since, key) in idle {
            let longest_idle = if remaining > self.limits.packed {
                self.timeouts.idle.min(PACKED_IDLE)
            } else {
                self.timeouts.idle
            };
            let is_old = now.saturating_duration_since(since) >= longest_idle;
            if !is_old || remaining <= self.limits.crowded.min(self.limits.packed) {
                continue;
            }
            if !self.read_pending(key, now, reactor) {
                remaining -= 1;
                if let Some(client) = self.clients.get_mut(key) {
                    client.close_between_requests();
                }
            }
            self.advance(key, now, reactor);
        }
    }
}
