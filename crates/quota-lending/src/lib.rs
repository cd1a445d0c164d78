//! Burst borrowing: a stand exceeds its quota now and repays later, across all proxies of a fleet. No clock, no I/O. Why it is
//! built so, and what each guard is for, stands in `docs/design/borrowing.md`.
//!
//! **In**, through [`Core::handle`]: [`Event::View`] whenever who is there, or the right to lend, changes; [`Event::Fact`] for each fact of another of
//! the kinds [`said::PULSE`] to [`said::VOTE`]; [`Event::Rules`] at the start and when they change; [`Event::Short`] while stands within their quota fill
//! the room; [`Event::Open`] for windows in which a stand must not borrow; [`Event::Saved`] once a file is safe; [`Event::Timer`].
//!
//! **Out**: [`Action::Tell`] (a fact of this proxy, which replaces the one of that kind and key), [`Action::Save`],
//! [`Action::Timer`] (a later one replaces it), [`Action::Notice`] for the log.
//!
//! **Beside the loop**: [`Core::ask`] for a request beyond quota, [`Core::withhold`] for the part of a stand's quota that is withheld,
//! [`Core::repay`] for what was withheld, [`Core::book`] for figures.
//!
//! The host has to: read the file before [`Core::new`] and hold a lock on it; write files in order; run one process of a name at a time,
//! with a later start each; give time that never goes back and does not stand still while others' runs.
#![forbid(unsafe_code)]

mod advice;
mod api;
mod book;
#[cfg(test)]
mod bounds;
mod core;
mod file;
mod help;
mod lanes;
#[cfg(test)]
mod recorded;
mod rules;
pub mod said;
mod shortage;

pub use crate::api::{Action, Config, Event, Guards, Member, NotKept, Notice, Reason, Verdict};
pub use crate::book::Book;
pub use crate::core::Core;
pub use crate::file::{BadFile, Store, StoreError};
pub use crate::rules::{Milli, Rule, Rules, RulesError};
pub use crate::shortage::{Shortage, SHORT_LASTS};
