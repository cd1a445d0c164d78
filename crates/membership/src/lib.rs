//! Proxies of one fleet that know each other: who is heard, what may be done while they disagree about it, and
//! what each says. No clock, no I/O, no log: `Core::handle` takes an event and the time since some start, and
//! gives actions. Nothing here knows loans, versions of policies, or how a datagram is sealed.
//!
//! The reasons, the table of states and acts, and all bounds: `docs/design/members.md`.

mod advice;
mod core;
mod facts;
mod pace;
mod pull;
#[cfg(test)]
mod recorded;
mod roster;
mod seen;
mod standing;
mod starts;
mod swim;
mod view;

pub use core::{Action, Config, Core, Event, DATAGRAM_BYTES};
pub use facts::{Fact, Limits, TellError, BODY_BYTES, KEY_BYTES};
pub use pace::pace;
pub use roster::{number, Member, Roster, RosterError};
pub use standing::{rule, Act, Denied, Heads, Rule, Standing, State, TABLE};
pub use view::{Counts, Sight, Status, View};
