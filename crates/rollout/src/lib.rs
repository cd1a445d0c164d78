//! A policy that reaches a fleet of proxies in stages, is compared with the one before while both serve, and halts by
//! itself. No clock, no I/O, no log: `Core::handle` takes an event and the time since some start, and gives actions.
//! How facts travel and who is heard is told to it; it knows neither files nor what a policy says.
//!
//! The reasons and all bounds: `docs/design/rollout.md`.

mod advice;
mod core;
mod evidence;
mod machine;
#[cfg(test)]
mod model;
#[cfg(test)]
mod recorded;
mod watch;
mod words;

pub use core::{Action, Config, Core, Event, Look, Refused, Status, Told, KINDS};
pub use evidence::{Evidence, Limits, Verdict};
pub use machine::{Machine, Peer, Phase, Sight};
pub use words::{Class, Counts, Halted, Hash, Orderly, Proposal, Ready, Why, Word, BODY_BYTES};
