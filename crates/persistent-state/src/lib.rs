//! What a proxy remembers over the loss of its process or its power, and what of it is trusted. No clock, no I/O, no log:
//! `Core::handle` takes an event and the time since some start, and gives actions; `recall` reads what was kept.
//!
//! The table of trust and all bounds: `docs/design/power-loss.md`.
#![forbid(unsafe_code)]

mod core;
mod file;
mod recall;

pub use core::{Action, Core, Event};
pub use file::{Fault, Hand, List, Memory, FILE_MOST, HANDS_MOST, LIST_MOST};
pub use recall::{recall, After, Recalled};
