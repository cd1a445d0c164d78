//! Quota lending in a fleet of proxies: a tenant exceeds its quota now and repays later. A state machine without clock and
//! I/O. `docs/design/borrowing.md` gives the reasons for the design.
//!
//! The credit limit of a tenant is held in escrow: every proxy has an *account* with shares of the limit
//! ([`balances::TOTAL_SHARES`] over all accounts), lends only from its own shares, and transfers spare shares to accounts that
//! need them.
//! - A proxy lends only under a *lease*: a majority of the bootstrap members has echoed one of its recent heartbeats.
//! - A transfer counts once a majority of the bootstrap members has *witnessed* it.
//! - If no heartbeat of a proxy arrives for the *quarantine period*, all its loans are over. Another proxy then takes its account
//!   over, after a majority has voted for the *ownership claim*. A member that voted freezes the account.
//! - Everything that other proxies may rely on is in the stored state before it is published.
//!
//! **Events**, passed to [`Lender::handle`]:
//! - [`Event::Membership`] whenever the members or the permission to lend change;
//! - [`Event::Message`] for each message of another proxy that [`messages::is_lending_message`] accepts;
//! - [`Event::Rules`] at start and on change;
//! - [`Event::Shortage`] when a shortage of capacity for tenants within their quota begins or ends;
//! - [`Event::LendingWindow`] when a time in which a tenant must not borrow begins or ends;
//! - [`Event::Saved`] once a file is durable;
//! - [`Event::Timer`] when the timer expires.
//!
//! **Actions** for the host:
//! - [`Action::Publish`], which replaces the previous message of the same kind and key;
//! - [`Action::Save`];
//! - [`Action::Timer`], which replaces the previous timer;
//! - [`Action::Notice`] for the log.
//!
//! **Calls outside the event loop**: [`Lender::decide`] for a request beyond quota, [`Lender::withhold`] for the part of a
//! tenant's quota to withhold, [`Lender::repay`] to book withheld amounts, [`Lender::totals`] for figures.
//!
//! The host must:
//! - read the file before [`Lender::new`] and hold a lock on it;
//! - write files in the order of their actions;
//! - run at most one process of a name at a time, each with a greater incarnation than the one before;
//! - pass a time that never goes back and never stands still while the clocks of other proxies run.
#![forbid(unsafe_code)]

mod advice;
pub mod balances;
mod bootstrap;
#[cfg(test)]
mod bounds;
mod config;
mod decision;
mod event;
mod handle;
mod heartbeat;
pub mod identity;
mod lend;
mod lender;
mod limits;
mod loans;
pub mod messages;
mod notice;
mod ownership;
mod publish;
mod receive;
#[cfg(test)]
mod recorded;
mod remote_repayment;
mod report;
mod rules;
mod shortage;
mod stored_state;
mod takeover;
mod transfer;
mod witness;

pub use crate::config::{Config, Guards};
pub use crate::decision::{Decision, DenialReason};
pub use crate::event::{Action, Event, Member};
pub use crate::lender::Lender;
pub use crate::loans::LoanTotals;
pub use crate::notice::{IgnoreReason, Notice};
pub use crate::rules::{MilliRequests, Rule, Rules, RulesError};
pub use crate::shortage::{Shortage, SHORTAGE_DURATION};
pub use crate::stored_state::{BadFile, Store, StoreError};
