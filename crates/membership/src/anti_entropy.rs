//! Anti-entropy: decides which sources to pull from which member, at a bounded rate. Sources whose hashes differ in a
//! received digest become pending; each is pulled from one member at a time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::facts::SourceHash;
use rand_10::seq::{IteratorRandom, SliceRandom};
use rand_10::Rng;

/// Maximum number of sources pulled because of one digest. Facts are in transit at any time, so some sources always
/// differ.
const BASE_PULLS_PER_DIGEST: usize = 4;
/// Additional sources for each member that rejoined, because it or this process may lack all facts.
const EXTRA_PULLS_PER_REJOIN: usize = 4;
/// Maximum number of requests sent with one heartbeat.
const PULLS_PER_HEARTBEAT: usize = 16;
/// Maximum number of requests in flight.
const MAX_PULLS_IN_FLIGHT: usize = 32;
/// Maximum number of requests without a reply for a source of which nothing is held: the digest may have named a source
/// that does not exist.
const MAX_EMPTY_ATTEMPTS: u8 = 3;
/// A reply of at least this many bytes has filled its datagrams, so more facts may follow.
const FULL_REPLY_BYTES: usize = 3_000;

/// A source that is to be pulled.
#[derive(Debug)]
struct PendingPull {
    /// The member whose digest differed.
    from: u32,
    /// Hash of the source in that digest.
    hash: u32,
    requested_at: Option<Duration>,
    attempts: u8,
    /// Bytes of facts of this source that `from` has sent since the request.
    received_bytes: usize,
}

/// A request to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PullRequest {
    /// The member that receives the request.
    pub to: u32,
    /// The source whose facts differ here.
    pub source: u32,
}

/// Pending pulls by source.
#[derive(Debug)]
pub(crate) struct AntiEntropy {
    pending: BTreeMap<u32, PendingPull>,
    /// Number of sources that may be pulled beyond `BASE_PULLS_PER_DIGEST`.
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

    /// A member became reachable again; `members` is the size of the roster.
    pub fn member_rejoined(&mut self, members: usize) {
        self.extra_pulls =
            (self.extra_pulls + EXTRA_PULLS_PER_REJOIN).min(EXTRA_PULLS_PER_REJOIN * members);
    }

    /// Handles the sources of a digest from `from` whose hashes differ from those held here.
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

    /// Records that `from` sent a fact of a source.
    pub fn record_received(&mut self, from: u32, source: u32, bytes: usize) {
        if let Some(pull) = self
            .pending
            .get_mut(&source)
            .filter(|pull| pull.from == from)
        {
            pull.received_bytes += bytes;
        }
    }

    /// Requests to send now. `held_hash` returns the hash of the versions held of a source.
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
    /// Whether the pull is still needed. After the timeout it waits to be requested again.
    fn is_needed(
        &mut self,
        now: Duration,
        reply_timeout: Duration,
        held_hash: Option<u32>,
    ) -> bool {
        let timed_out = self
            .requested_at
            .is_some_and(|requested| now >= requested + reply_timeout);
        // Where part of the source is held, the next digest shows whether facts are still missing: usually the requester
        // already holds the later version.
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
