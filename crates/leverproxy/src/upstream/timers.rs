//! The deadlines of connections and queues.

use super::connection::State;
use super::events::UpstreamTimer;
use super::Upstream;
use crate::event_loop::reactor::Reactor;
use crate::event_loop::slab::Key;
use crate::request::ExchangeOutcome;
use routing::ServerId;
use std::time::Instant;

impl Upstream {
    /// Handles a due timer that came from [`Upstream::take_timers`].
    pub fn handle_timer(&mut self, kind: UpstreamTimer, now: Instant, reactor: &Reactor) {
        match kind {
            UpstreamTimer::Connection(key) => self.check_connection(key, now, reactor),
            UpstreamTimer::Queue(server) => {
                self.expire_queued(server, now);
                self.dial_for_queue(server, now, reactor);
                self.set_queue_timer(server, now);
            }
        }
    }

    /// Sets the next timer of a server's queue after one was due.
    fn set_queue_timer(&mut self, server: ServerId, now: Instant) {
        let dial_timeout = self.dial_timeout;
        let Some(pool) = self.pools.get(&server) else {
            return;
        };
        let deadlines = pool.queue.iter().map(|e| e.queue_deadline(dial_timeout));
        let Some(first) = deadlines.min() else {
            return;
        };
        let next_dial = pool.dial_backoff_until.filter(|until| *until > now);
        let next = next_dial.map_or(first, |until| until.min(first));
        self.timers.push((next, UpstreamTimer::Queue(server)));
    }

    fn check_connection(&mut self, key: Key, now: Instant, reactor: &Reactor) {
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        let (server, deadline) = (connection.server, connection.deadline);
        if deadline > now {
            // The deadline was extended since the timer was set.
            self.timers.push((deadline, UpstreamTimer::Connection(key)));
            return;
        }
        match &connection.state {
            State::Busy(active) if active.written && active.response_started => {
                if !self.report_stalled(key, now) {
                    self.close_malformed(key, now);
                }
            }
            State::Busy(active) if active.written => {
                self.close(key, ExchangeOutcome::TimedOut, now)
            }
            State::Busy(_) | State::Idle | State::Synchronizing { .. } => {
                self.close(key, ExchangeOutcome::ConnectFailed, now)
            }
            State::Connecting | State::Handshake(_) => {
                // Queued exchanges have their own deadlines, so a dial that times out does not end any of them.
                self.connections.remove(key);
                self.end_dial(server);
                self.dial_for_queue(server, now, reactor);
            }
        }
    }
}
