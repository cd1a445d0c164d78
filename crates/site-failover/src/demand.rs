//! The recent rate of requests at one proxy, by kind.

use std::collections::BTreeMap;

use crate::{QuotaStatus, Time};

/// What requests are told apart by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKind {
    /// The group of servers.
    pub group: u32,
    /// Whether it writes.
    pub write: bool,
    /// The class.
    pub class: u16,
    /// The tenant.
    pub tenant: u16,
    /// What it is to the tenant's quota.
    pub quota_status: QuotaStatus,
    /// Whether it is a client's retry.
    pub is_retry: bool,
}

/// Time constant of the rates, in seconds.
const TIME_CONSTANT: f64 = 10.0;
const KINDS_LIMIT: usize = 4_096;
/// Kinds of a lower rate, in requests a second, are forgotten where there is no room.
const MIN_KEPT_RATE: f64 = 0.01;

/// A count that decays.
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

/// Rates of all kinds.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    counts: BTreeMap<RequestKind, DecayingCount>,
}

impl Demand {
    /// A request has arrived.
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

    /// Requests a second of each kind.
    pub fn rates(&self, now: Time) -> impl Iterator<Item = (RequestKind, f64)> + '_ {
        self.counts
            .iter()
            .map(move |(kind, count)| (*kind, count.rate(now)))
    }
}
