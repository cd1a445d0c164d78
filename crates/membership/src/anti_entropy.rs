//! Anti-entropy: which sources to pull from whom, at a bounded rate. A digest that differs makes its sources pending; each is
//! pulled from one member at a time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::facts::SourceHash;
use rand_10::seq::{IteratorRandom, SliceRandom};
use rand_10::Rng;

/// Sources pulled because of one digest. Facts are on their way all the time, so some sources always differ.
const BASE_PULLS_PER_DIGEST: usize = 4;
/// Further sources for each member that rejoined, since it or this process may lack all.
const EXTRA_PULLS_PER_REJOIN: usize = 4;
/// Requests with one heartbeat.
const PULLS_PER_HEARTBEAT: usize = 16;
/// Requests without a reply at a time.
const MAX_PULLS_IN_FLIGHT: usize = 32;
/// Requests in vain for one source of which nothing is held: its sender may have claimed what does not exist.
const MAX_EMPTY_ATTEMPTS: u8 = 3;
/// A reply of so many bytes has filled its datagrams, so there may be more.
const FULL_REPLY_BYTES: usize = 3_000;

/// A source to pull.
#[derive(Debug)]
struct PendingPull {
    /// The member whose digest differed.
    from: u32,
    /// The hash in that digest.
    hash: u32,
    requested_at: Option<Duration>,
    attempts: u8,
    /// Bytes of this source that `from` sent since the request.
    received_bytes: usize,
}

/// A request to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PullRequest {
    /// The member to ask.
    pub to: u32,
    /// The source that is missing here.
    pub source: u32,
}

/// Pending pulls by source.
#[derive(Debug)]
pub(crate) struct AntiEntropy {
    pending: BTreeMap<u32, PendingPull>,
    /// Sources that may be pulled beyond `BASE_PULLS_PER_DIGEST`.
    extra_pulls: usize,
    reply_timeout: Duration,
}

impl AntiEntropy {
    pub fn new(reply_timeout: Duration) -> Self {
        Self {
            pending: BTreeMap::new(),
            extra_pulls: 0,
            reply_timeout,
        }
    }

    /// A member became reachable again, in a roster of so many.
    pub fn member_rejoined(&mut self, members: usize) {
        self.extra_pulls =
            (self.extra_pulls + EXTRA_PULLS_PER_REJOIN).min(EXTRA_PULLS_PER_REJOIN * members);
    }

    /// A digest had other versions of these sources.
    pub fn receive_digest(&mut self, from: u32, differing: Vec<SourceHash>, rng: &mut impl Rng) {
        let mut new = Vec::new();
        for theirs in differing {
            match self.pending.get_mut(&theirs.source) {
                Some(pull) if pull.requested_at.is_some() => {}
                Some(pull) => (pull.from, pull.hash) = (from, theirs.hash),
                None => new.push(theirs),
            }
        }
        let (chosen, _) = new.partial_shuffle(rng, BASE_PULLS_PER_DIGEST + self.extra_pulls);
        self.extra_pulls -= chosen.len().saturating_sub(BASE_PULLS_PER_DIGEST);
        for theirs in chosen {
            self.pending.insert(
                theirs.source,
                PendingPull {
                    from,
                    hash: theirs.hash,
                    requested_at: None,
                    attempts: 0,
                    received_bytes: 0,
                },
            );
        }
    }

    /// A fact of a source came from a member.
    pub fn record_received(&mut self, from: u32, source: u32, bytes: usize) {
        if let Some(pull) = self
            .pending
            .get_mut(&source)
            .filter(|pull| pull.from == from)
        {
            pull.received_bytes += bytes;
        }
    }

    /// Requests to send now. `held_hash` gives the hash of what is held of a source.
    pub fn next_requests(
        &mut self,
        now: Duration,
        held_hash: impl Fn(u32) -> Option<u32>,
        rng: &mut impl Rng,
    ) -> Vec<PullRequest> {
        let reply_timeout = self.reply_timeout;
        self.pending
            .retain(|source, pull| pull.is_needed(now, reply_timeout, held_hash(*source)));
        let in_flight = self
            .pending
            .values()
            .filter(|pull| pull.requested_at.is_some());
        let free = MAX_PULLS_IN_FLIGHT.saturating_sub(in_flight.count());
        let waiting = self
            .pending
            .iter_mut()
            .filter(|(_, pull)| pull.requested_at.is_none());
        let request = |(source, pull): (&u32, &mut PendingPull)| {
            (pull.requested_at, pull.received_bytes) = (Some(now), 0);
            pull.attempts += 1;
            PullRequest {
                to: pull.from,
                source: *source,
            }
        };
        waiting
            .sample(rng, free.min(PULLS_PER_HEARTBEAT))
            .into_iter()
            .map(request)
            .collect()
    }
}

impl PendingPull {
    /// Whether to go on with it. After the timeout it waits to be requested again.
    fn is_needed(
        &mut self,
        now: Duration,
        reply_timeout: Duration,
        held_hash: Option<u32>,
    ) -> bool {
        let timed_out = self
            .requested_at
            .is_some_and(|requested| now >= requested + reply_timeout);
        // Where a part of the source is held, the next digest tells what is missing: mostly it is the requester that
        // holds the later version.
        let received_some = self.received_bytes > 0 || held_hash.is_some();
        let done = timed_out && received_some && self.received_bytes < FULL_REPLY_BYTES;
        if done || held_hash == Some(self.hash) {
            return false;
        }
        if timed_out {
            self.requested_at = None;
            if self.received_bytes > 0 {
                self.attempts = 0;
            }
        }
        self.requested_at.is_some() || self.attempts < MAX_EMPTY_ATTEMPTS
    }
}

#[cfg(test)]
mod tests;
