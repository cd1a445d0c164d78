//! The timers of the event loop.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

/// Maximum time until a deadline.
const MAX_DELAY: Duration = Duration::from_secs(24 * 60 * 60);

/// Due time of a timer, and its number: timers with the same due time run in the order in which they were set.
type Due = (Instant, u64);

/// Timers in the order of their due times. The owner of a due timer checks whether it still applies.
#[derive(Debug)]
pub struct Timers<T> {
    order: BTreeSet<(Due, T)>,
    /// The timers of which there is at most one of each kind.
    single: BTreeMap<T, Due>,
    /// Number of timers set so far.
    sequence: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers {
            order: BTreeSet::new(),
            single: BTreeMap::new(),
            sequence: 0,
        }
    }
}

impl<T: Ord + Copy> Timers<T> {
    /// Sets a timer, besides others of its kind.
    pub fn set(&mut self, at: Instant, kind: T) {
        let due = self.next_due(at);
        self.order.insert((due, kind));
    }

    /// Sets the only timer of its kind that was set in this way. One that is due no later stays in its place: its owner
    /// then sets the next.
    pub fn set_single(&mut self, at: Instant, kind: T) {
        if let Some(&pending) = self.single.get(&kind) {
            if pending.0 <= at {
                return;
            }
            self.order.remove(&(pending, kind));
        }
        let due = self.next_due(at);
        self.order.insert((due, kind));
        self.single.insert(kind, due);
    }

    /// Removes the timers of these kinds that [`Timers::set_single`] has set.
    pub fn cancel_singles(&mut self, kinds: RangeInclusive<T>) {
        while let Some((&kind, &due)) = self.single.range(kinds.clone()).next() {
            self.single.remove(&kind);
            self.order.remove(&(due, kind));
        }
    }

    fn next_due(&mut self, at: Instant) -> Due {
        self.sequence += 1;
        (at, self.sequence)
    }

    /// When the next timer is due.
    pub fn next(&self) -> Option<Instant> {
        self.order.first().map(|((at, _), _)| *at)
    }

    /// The next timer, if it is due.
    pub fn pop_due(&mut self, now: Instant) -> Option<T> {
        if self.next()? > now {
            return None;
        }
        let (due, kind) = self.order.pop_first()?;
        if self.single.get(&kind) == Some(&due) {
            self.single.remove(&kind);
        }
        Some(kind)
    }

    /// Number of timers that are set.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no timer is set.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}

/// The instant `delay` after `now`. The delay is limited to one day, since a sum that overflows would panic.
pub fn deadline_after(now: Instant, delay: Duration) -> Instant {
    now + delay.min(MAX_DELAY)
}
