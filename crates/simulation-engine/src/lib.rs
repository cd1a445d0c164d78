//! Discrete events on virtual time: what an emulator runs on.
//!
//! [`wheel::Wheel`] hands events out in the order of their times, and of one time in the order in which they were
//! put in; [`streams::Streams`] gives random numbers by name, so that a change in one part of a run leaves what the
//! others draw as it was. The same seed gives the same run, bit for bit.

pub mod streams;
pub mod wheel;

/// Virtual time in microseconds.
pub type Micros = u64;
