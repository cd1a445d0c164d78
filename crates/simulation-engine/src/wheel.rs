//! Event queue as a hierarchical timing wheel.
//!
//! Eleven levels of 64 slots cover the whole range of time; a slot of a level spans the entire level below. An event
//! is stored on the level of the highest base-64 digit in which its time differs from the present time, and moves down
//! a few times at most as its time approaches. A bitmap of occupied slots makes empty spans of time free. Unlike with a
//! binary heap, the cost of insertion and removal does not grow with the number of pending events.
//!
//! Source: Varghese and Lauck, Hashed and Hierarchical Timing Wheels, 1987.

use crate::Micros;
use std::collections::VecDeque;

const BITS: u32 = 6;
const SLOTS: usize = 1 << BITS;
const LEVELS: usize = (u64::BITS as usize).div_ceil(BITS as usize);

/// Queue of events ordered by virtual time; events with equal times keep their order of insertion.
#[derive(Debug)]
pub struct Wheel<E> {
    /// Present time: no pending event is earlier.
    now: Micros,
    /// Events per slot, level by level.
    slots: Vec<Vec<(Micros, E)>>,
    occupied: [u64; LEVELS],
    /// Events of the present time, in order of insertion.
    ready: VecDeque<(Micros, E)>,
    length: usize,
}

impl<E> Default for Wheel<E> {
    fn default() -> Wheel<E> {
        let slots = (0..LEVELS * SLOTS).map(|_| Vec::new()).collect();
        Wheel {
            now: 0,
            slots,
            occupied: [0; LEVELS],
            ready: VecDeque::new(),
            length: 0,
        }
    }
}

impl<E> Wheel<E> {
    /// Number of pending events.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no event is pending.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Time of the last event taken.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Inserts an event. An event in the past is scheduled for the present time, after the events already due.
    pub fn put(&mut self, at: Micros, event: E) {
        self.length += 1;
        self.insert(at.max(self.now), event);
    }

    fn insert(&mut self, at: Micros, event: E) {
        let differing = (self.now ^ at) | (SLOTS as u64 - 1);
        let level = ((u64::BITS - 1 - differing.leading_zeros()) / BITS) as usize;
        let slot = (at >> (level as u32 * BITS)) as usize % SLOTS;
        self.occupied[level] |= 1 << slot;
        self.slots[level * SLOTS + slot].push((at, event));
    }

    /// Removes and returns the next event; of events with equal times, the one inserted first.
    pub fn take(&mut self) -> Option<(Micros, E)> {
        loop {
            if let Some(next) = self.ready.pop_front() {
                self.length -= 1;
                return Some(next);
            }
            if self.length == 0 {
                return None;
            }
            self.advance();
        }
    }

    /// Advances to the next occupied slot: its events become ready, or move to a lower level.
    fn advance(&mut self) {
        for level in 0..LEVELS {
            let shift = level as u32 * BITS;
            let here = (self.now >> shift) as u32 % SLOTS as u32;
            // On the lowest level the slot of the present time is included; on higher levels it is already empty.
            let ahead = self.occupied[level] & (u64::MAX << here);
            if ahead == 0 {
                continue;
            }
            let slot = ahead.trailing_zeros();
            self.occupied[level] &= !(1 << slot);
            let above = self.now.checked_shr(shift + BITS).unwrap_or(0);
            let start = above.checked_shl(shift + BITS).unwrap_or(0) | u64::from(slot) << shift;
            self.now = self.now.max(start);
            let index = level * SLOTS + slot as usize;
            let mut events = std::mem::take(&mut self.slots[index]);
            if level == 0 {
                self.ready.extend(events.drain(..));
            } else {
                for (at, event) in events.drain(..) {
                    self.insert(at, event);
                }
            }
            // Reuses the allocation of the slot.
            if self.slots[index].is_empty() {
                self.slots[index] = events;
            }
            return;
        }
    }
}
