//! Responses that have begun and then pause. Whether the rest is slow or will never come cannot be told, nor, before the
//! header of the row, whether the value is large. Such an attempt is reported, so that the request can be tried elsewhere,
//! and is kept until its request has an answer, its time is over, or it has paused for as long as a response that is
//! forwarded in chunks may.

use super::connection::{State, Streaming};
use super::events::UpstreamTimer;
use super::streaming::CHUNK_STALL;
use super::Upstream;
use crate::event_loop::slab::Key;
use crate::request::Purpose;
use routing::{AttemptNumber, ClassId, RequestId, ServerId};
use std::time::{Duration, Instant};

/// An attempt whose response has begun and pauses.
#[derive(Clone, Copy, Debug)]
pub struct StalledAttempt {
    /// The request of the attempt.
    pub id: RequestId,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
    /// The class of the request.
    pub class: Option<ClassId>,
    /// The server of the attempt.
    pub server: ServerId,
    /// The connection of the attempt.
    pub connection: Key,
    /// Time since the attempt was sent.
    pub elapsed: Duration,
}

impl Upstream {
    /// The next attempt that has stalled. The caller keeps it, or ends it by [`Upstream::end_stalled_attempt`].
    pub fn pop_stalled(&mut self) -> Option<StalledAttempt> {
        self.stalled_events.pop_front()
    }

    /// Reports a response that pauses, if it belongs to an attempt whose time is not over. Returns whether it was reported;
    /// the connection stays open then.
    pub(super) fn report_stalled(&mut self, key: Key, now: Instant) -> bool {
        let Some(connection) = self.connections.get_mut(key) else {
            return false;
        };
        let State::Busy(active) = &mut connection.state else {
            return false;
        };
        let Purpose::Attempt(id, attempt) = active.exchange.purpose else {
            return false;
        };
        let has_time = now < active.exchange.deadline;
        if active.is_stalled || active.streaming != Streaming::No || !has_time {
            return false;
        }
        active.is_stalled = true;
        connection.deadline = active.exchange.deadline.min(now + CHUNK_STALL);
        self.timers
            .push((connection.deadline, UpstreamTimer::Connection(key)));
        self.stalled.entry(id).or_default().push(key);
        self.stalled_events.push_back(StalledAttempt {
            id,
            attempt,
            class: active.exchange.class,
            server: connection.server,
            connection: key,
            elapsed: now.saturating_duration_since(active.exchange.started),
        });
        true
    }

    /// Whether an attempt of the request has stalled and is kept.
    pub fn has_stalled_attempt(&self, id: RequestId) -> bool {
        self.stalled.contains_key(&id)
    }

    /// Ends a stalled attempt as one with an incomplete response.
    pub fn end_stalled_attempt(&mut self, key: Key, now: Instant) {
        self.close_malformed(key, now);
    }

    /// Ends the stalled attempts of a request that is answered, other than the one on the connection `answering`.
    pub fn end_stalled_attempts(&mut self, id: RequestId, answering: Option<Key>, now: Instant) {
        for key in self.stalled.remove(&id).unwrap_or_default() {
            if Some(key) != answering {
                self.close_malformed(key, now);
            }
        }
    }

    /// Removes a connection that ends from the stalled attempts.
    pub(super) fn forget_stalled(&mut self, id: RequestId, key: Key) {
        if let Some(keys) = self.stalled.get_mut(&id) {
            keys.retain(|&stalled| stalled != key);
            if keys.is_empty() {
                self.stalled.remove(&id);
            }
        }
    }
}
