//! A hierarchical timing wheel: the queue of events.
//!
//! Eleven levels of 64 slots span all of time; a slot of a level is as long as the level below it altogether. An event
//! goes to the level of the highest digit (base 64) in which its time differs from now, and moves down as now comes
//! near, a few times at the most. A bit for each slot tells which are taken, so empty time costs nothing. Compared
//! with a binary heap, neither putting in nor taking out grows with the number of events that wait.
//!
//! Source: Varghese and Lauck, Hashed and Hierarchical Timing Wheels, 1987.

use crate::Micros;
use std::collections::VecDeque;

const BITS: u32 = 6;
const SLOTS: usize = 1 << BITS;
const LEVELS: usize = (u64::BITS as usize).div_ceil(BITS as usize);

/// A queue of events by the virtual time at which they are due; events of one time keep their order.
#[derive(Debug)]
pub struct Wheel<E> {
    /// No event that waits is earlier.
    now: Micros,
    /// Level by level.
    slots: Vec<Vec<(Micros, E)>>,
    taken: [u64; LEVELS],
    /// Events of this moment, in their order.
    ready: VecDeque<(Micros, E)>,
    length: usize,
}

impl<E> Default for Wheel<E> {
    fn default() -> Wheel<E> {
        let slots = (0..LEVELS * SLOTS).map(|_| Vec::new()).collect();
        Wheel {
            now: 0,
            slots,
            taken: [0; LEVELS],
            ready: VecDeque::new(),
            length: 0,
        }
    }
}

impl<E> Wheel<E> {
    /// How many events wait.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no event waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The time of the event taken last.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// What lies in the past happens now, behind what happens now already.
    pub fn put(&mut self, at: Micros, event: E) {
        self.length += 1;
        self.place(at.max(self.now), event);
    }

    fn place(&mut self, at: Micros, event: E) {
        let differing = (self.now ^ at) | (SLOTS as u64 - 1);
        let level = ((u64::BITS - 1 - differing.leading_zeros()) / BITS) as usize;
        let slot = (at >> (level as u32 * BITS)) as usize % SLOTS;
        self.taken[level] |= 1 << slot;
        self.slots[level * SLOTS + slot].push((at, event));
    }

    /// The next event. Of one time, the one that was put in first.
    pub fn take(&mut self) -> Option<(Micros, E)> {
        loop {
            if let Some(next) = self.ready.pop_front() {
                self.length -= 1;
                return Some(next);
            }
            if self.length == 0 {
                return None;
            }
            self.turn();
        }
    }

    /// Moves on to the next slot that is taken: its events are ready, or go down a level.
    fn turn(&mut self) {
        for level in 0..LEVELS {
            let shift = level as u32 * BITS;
            let here = (self.now >> shift) as u32 % SLOTS as u32;
            // On the lowest level this very moment counts; above, its slot has been emptied.
            let ahead = self.taken[level] & (u64::MAX << here);
            if ahead == 0 {
                continue;
            }
            let slot = ahead.trailing_zeros();
            self.taken[level] &= !(1 << slot);
            let above = self.now.checked_shr(shift + BITS).unwrap_or(0);
            let start = above.checked_shl(shift + BITS).unwrap_or(0) | u64::from(slot) << shift;
            self.now = self.now.max(start);
            let place = level * SLOTS + slot as usize;
            let mut events = std::mem::take(&mut self.slots[place]);
            if level == 0 {
                self.ready.extend(events.drain(..));
            } else {
                for (at, event) in events.drain(..) {
                    self.place(at, event);
                }
            }
            // Its memory serves again.
            if self.slots[place].is_empty() {
                self.slots[place] = events;
            }
            return;
        }
    }
}
