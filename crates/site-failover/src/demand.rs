//! Recent rates of the requests at one proxy, by kind of request.

use std::collections::BTreeMap;

use crate::{QuotaStatus, Time};

/// Kind of a request: the properties by which shedding distinguishes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKind {
    /// The group of servers.
    pub group: u32,
    /// Whether the request writes.
    pub write: bool,
    /// The class.
    pub class: u16,
    /// The tenant.
    pub tenant: u16,
    /// Status of the request with respect to the tenant's quota.
    pub quota_status: QuotaStatus,
    /// Whether the request is a client's retry.
    pub is_retry: bool,
}

/// Time constant of the decay of the rates, in seconds.
const TIME_CONSTANT: f64 = 10.0;
const KINDS_LIMIT: usize = 4_096;
/// When [`KINDS_LIMIT`] is reached, kinds with a lower rate, in requests per second, are dropped.
const MIN_KEPT_RATE: f64 = 0.01;

/// An exponentially decaying count.
#[derive(Clone, Copy, Debug)]
struct DecayingCount {
    count: f64,
    at: Time,
}

impl DecayingCount {
    fn decayed(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.count * (-age / TIME_CONSTANT).exp()
    }

    fn rate(&self, now: Time) -> f64 {
        self.decayed(now) / TIME_CONSTANT
    }
}

/// Request rates of all kinds.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    counts: BTreeMap<RequestKind, DecayingCount>,
}

impl Demand {
    /// Counts a request that has arrived.
    pub fn record(&mut self, now: Time, kind: RequestKind) {
        if self.counts.len() >= KINDS_LIMIT && !self.counts.contains_key(&kind) {
            self.counts
                .retain(|_, count| count.rate(now) >= MIN_KEPT_RATE);
            if self.counts.len() >= KINDS_LIMIT {
                return;
            }
        }
        let empty = DecayingCount {
            count: 0.0,
            at: now,
        };
        let count = self.counts.entry(kind).or_insert(empty);
        *count = DecayingCount {
            count: count.decayed(now) + 1.0,
            at: now,
        };
    }

    /// Rate of each kind, in requests per second.
    pub fn rates(&self, now: Time) -> impl Iterator<Item = (RequestKind, f64)> + '_ {
        self.counts
            .iter()
            .map(move |(kind, count)| (*kind, count.rate(now)))
    }
}
