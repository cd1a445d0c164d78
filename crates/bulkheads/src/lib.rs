//! Bulkheads: pools that bound parts of the work by themselves, so that one kind of request can't take the capacity of others.
//!
//! A pool bounds the requests in flight and their rate (the generic cell rate algorithm of ITU-T I.371, with the burst as its
//! tolerance). Of both a reserve is kept for higher priorities. A rejected request is told when capacity is likely to be free, later
//! for each that is rejected in a row, so that the rejected ones do not retry together.
//!
//! No clock and no I/O; time is an argument and never goes back.
#![forbid(unsafe_code)]

mod pool;
#[cfg(test)]
mod tests;

pub use pool::{Admission, Counts, Priority, Rate, RejectionCause, Settings};

use pool::Pool;
use std::time::Duration;

/// Time since an origin of the caller's.
pub type Time = Duration;

/// A pool, for as long as it is in use: a name keeps its id until nothing of it is in flight any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId(usize);

/// All pools.
#[derive(Debug, Default)]
pub struct Bulkheads {
    /// Slots are reused once nothing refers to them.
    pools: Vec<Option<Pool>>,
}

impl Bulkheads {
    /// Replaces the pools; requests in flight stay counted. Returns their ids in the order given; of settings with one name the
    /// last count.
    pub fn configure(&mut self, all: &[Settings]) -> Vec<PoolId> {
        for pool in self.pools.iter_mut().flatten() {
            pool.settings = None;
        }
        let ids = all.iter().map(|settings| self.place(settings)).collect();
        for slot in &mut self.pools {
            if slot.as_ref().is_some_and(Pool::is_unused) {
                *slot = None;
            }
        }
        ids
    }

    fn place(&mut self, settings: &Settings) -> PoolId {
        let is_known = |slot: &Option<Pool>| slot.as_ref().is_some_and(|p| p.name == settings.name);
        let known = self.pools.iter().position(is_known);
        if let Some(pool) = known.and_then(|at| self.pools[at].as_mut()) {
            pool.settings = Some(settings.clone());
        }
        PoolId(known.unwrap_or_else(|| self.insert(Pool::new(settings))))
    }

    fn insert(&mut self, pool: Pool) -> usize {
        if let Some(free) = self.pools.iter().position(Option::is_none) {
            self.pools[free] = Some(pool);
            return free;
        }
        self.pools.push(Some(pool));
        self.pools.len() - 1
    }

    /// Admits a request, or says when to retry. A pool that does not exist bounds nothing.
    pub fn admit(&mut self, id: PoolId, priority: Priority, now: Time) -> Admission {
        match self.pools.get_mut(id.0).and_then(Option::as_mut) {
            Some(pool) => pool.admit(priority, now),
            None => Admission::Admitted,
        }
    }

    /// An admitted request has ended, `in_flight` after its admission.
    pub fn release(&mut self, id: PoolId, in_flight: Duration) {
        let Some(slot) = self.pools.get_mut(id.0) else {
            return;
        };
        let Some(pool) = slot else { return };
        pool.release(in_flight);
        if pool.is_unused() {
            *slot = None;
        }
    }

    /// Names and counts of all pools.
    pub fn counts(&self) -> impl Iterator<Item = (&str, Counts)> {
        self.pools
            .iter()
            .flatten()
            .map(|pool| (pool.name.as_str(), pool.counts))
    }
}
