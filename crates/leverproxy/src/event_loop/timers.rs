//! Due times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// The longest time to a deadline.
const MAX_DELAY: Duration = Duration::from_secs(24 * 60 * 60);

/// Due times, in their order. They are not cancelled: whoever set one checks when it is due whether it still applies.
#[derive(Debug)]
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<(Instant, u64, T)>>,
    /// Timers that were set so far; it keeps those of the same time in their order.
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

/// The instant `delay` after `now`, but at most a day: a sum that does not fit would panic.
pub fn deadline_after(now: Instant, delay: Duration) -> Instant {
    now + delay.min(MAX_DELAY)
}
