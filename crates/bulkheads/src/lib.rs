//! Bulkheads: pools that bound separate parts of the work, so that one kind of request can't take the capacity of others.
//!
//! A pool bounds the requests in flight and their rate (the generic cell rate algorithm of ITU-T I.371, with the burst as its
//! tolerance). Part of each bound is reserved for higher priorities. The rejection of a request states when capacity is likely to
//! be free. This time grows with each consecutive rejection, so that rejected requests do not retry at the same time.
//!
//! No clock and no I/O; time is an argument and never goes back.
#![forbid(unsafe_code)]

mod pool;
#[cfg(test)]
mod tests;

pub use pool::{Admission, Counts, Priority, Rate, RejectionCause, Settings};

use pool::Pool;
use std::time::Duration;

/// Time since an origin that the caller chooses.
pub type Time = Duration;

/// Id of a pool while it is in use. The pool of a name keeps its id until it is no longer configured and has no requests in
/// flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId(usize);

/// All pools of a proxy.
#[derive(Debug, Default)]
pub struct Bulkheads {
    /// Pools by id. A slot is reused once its pool is unused.
    pools: Vec<Option<Pool>>,
}

impl Bulkheads {
    /// Replaces the configured pools; requests in flight stay counted. Returns the ids of the pools in the order of `all`. If
    /// several settings have the same name, the last ones are used.
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

    /// Admits a request, or rejects it with a time to retry. An id without a pool has no bounds.
    pub fn admit(&mut self, id: PoolId, priority: Priority, now: Time) -> Admission {
        match self.pools.get_mut(id.0).and_then(Option::as_mut) {
            Some(pool) => pool.admit(priority, now),
            None => Admission::Admitted,
        }
    }

    /// Records the end of an admitted request. `in_flight`: time since its admission.
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

    /// Name and counts of each pool.
    pub fn counts(&self) -> impl Iterator<Item = (&str, Counts)> {
        self.pools
            .iter()
            .flatten()
            .map(|pool| (pool.name.as_str(), pool.counts))
    }
}
