//! The ids that clients gave their requests, and that no new request may have.
//!
//! An id may be as long as a command, so a hash of fixed size is kept in its place. The hash is keyed at random: clients
//! cannot choose ids with the same hash.

use std::collections::{BTreeSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::time::{Duration, Instant};

/// An id stays reserved for this long after its request has ended: a client that copies another client's requests may
/// still send them shortly after the originals are answered.
const RETENTION: Duration = Duration::from_secs(5);
/// Maximum number of reserved ids of ended requests.
const MAX_ENDED: usize = 20_000;

/// The hash of a client request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientRequestId(u128);

/// The ids of open and recently ended requests.
#[derive(Debug, Default)]
pub struct ClientRequestIds {
    /// Keys of the two halves of the hash.
    keys: [RandomState; 2],
    reserved: BTreeSet<ClientRequestId>,
    /// Ids of ended requests with the time of their end, the oldest first.
    ended: VecDeque<(Instant, ClientRequestId)>,
}

impl ClientRequestIds {
    fn hash(&self, id: &str) -> ClientRequestId {
        let [high, low] = self.keys.each_ref().map(|key| u128::from(key.hash_one(id)));
        ClientRequestId(high << 64 | low)
    }

    /// Whether an open or recently ended request has this id.
    pub fn contains(&self, id: &str) -> bool {
        self.reserved.contains(&self.hash(id))
    }

    /// Reserves the id of a new request.
    pub fn reserve(&mut self, id: &str) -> ClientRequestId {
        let id = self.hash(id);
        self.reserved.insert(id);
        id
    }

    /// Notes that the request with this id has ended.
    pub fn end(&mut self, id: ClientRequestId, now: Instant) {
        self.ended.push_back((now, id));
    }

    /// Releases the ids of requests that ended long ago.
    pub fn expire(&mut self, now: Instant) {
        let is_expired = |at: Instant| now.saturating_duration_since(at) >= RETENTION;
        while self.ended.len() > MAX_ENDED
            || self.ended.front().is_some_and(|(at, _)| is_expired(*at))
        {
            let Some((_, id)) = self.ended.pop_front() else {
                return;
            };
            self.reserved.remove(&id);
        }
    }

    /// Number of reserved ids.
    pub fn reserved_count(&self) -> usize {
        self.reserved.len()
    }
}
