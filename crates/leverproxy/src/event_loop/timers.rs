//! The timers of the event loop.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Maximum time until a deadline.
const MAX_DELAY: Duration = Duration::from_secs(24 * 60 * 60);

/// Timers in the order of their due times. Timers are not cancelled: the owner of a due timer checks whether it still
/// applies.
#[derive(Debug)]
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<(Instant, u64, T)>>,
    /// Number of timers set so far. It keeps timers with the same due time in the order in which they were set.
    sequence: u64,
}

impl<T: Ord> Default for Timers<T> {
    fn default() -> Self {
        Timers {
            heap: BinaryHeap::new(),
            sequence: 0,
        }
    }
}

impl<T: Ord> Timers<T> {
    /// Sets a timer.
    pub fn set(&mut self, at: Instant, kind: T) {
        self.sequence += 1;
        self.heap.push(Reverse((at, self.sequence, kind)));
    }

    /// When the next timer is due.
    pub fn next(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((at, ..))| *at)
    }

    /// The next timer, if it is due.
    pub fn pop_due(&mut self, now: Instant) -> Option<T> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((.., kind))| kind)
    }
}

/// The instant `delay` after `now`. The delay is limited to one day, since a sum that overflows would panic.
pub fn deadline_after(now: Instant, delay: Duration) -> Instant {
    now + delay.min(MAX_DELAY)
}
