//! Discrete-event simulation on virtual time.
//!
//! [`wheel::Wheel`] returns events in the order of their times, and events with equal times in the order of insertion.
//! [`streams::Streams`] provides independent named streams of random numbers, so that a change in one part of a run
//! does not affect the random numbers of the others. The same seed gives the same run, bit for bit.

pub mod streams;
pub mod wheel;

/// Virtual time in microseconds.
pub type Micros = u64;
