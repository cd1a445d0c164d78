//! The connections and the queue of one server.

use super::exchange::Exchange;
use crate::event_loop::slab::Key;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The connections and queued exchanges of one server.
pub(super) struct Pool {
    pub(super) address: SocketAddr,
    /// Idle connections, the most recently used last.
    pub(super) idle: Vec<Key>,
    pub(super) queue: VecDeque<Exchange>,
    /// Number of dials in progress.
    pub(super) dialling: usize,
    /// Set while this machine lacked a resource for the last dial: the time before which no dial is made.
    pub(super) dial_backoff_until: Option<Instant>,
}

impl Pool {
    pub(super) fn new(address: SocketAddr) -> Pool {
        Pool {
            address,
            idle: Vec::new(),
            queue: VecDeque::new(),
            dialling: 0,
            dial_backoff_until: None,
        }
    }

    /// Takes the exchanges whose queue deadline has passed.
    pub(super) fn take_expired(
        &mut self,
        dial_timeout: Duration,
        now: Instant,
    ) -> VecDeque<Exchange> {
        let expired = |exchange: &Exchange| exchange.queue_deadline(dial_timeout) <= now;
        let (expired, left) = self.queue.drain(..).partition(expired);
        self.queue = left;
        expired
    }
}
