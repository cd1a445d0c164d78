//! Lending of quota over a fleet of proxies: a tenant exceeds its quota now and repays later. A state machine without clock
//! and I/O. The reasons for the design stand in `docs/design/borrowing.md`.
//!
//! The credit limit of a tenant is held in escrow: every proxy has an *account* with a number of shares of it
//! ([`balances::TOTAL_SHARES`] in all), lends only from its own shares, and sends spare shares to accounts that need them.
//! - A proxy lends only under a *lease*: a majority of the bootstrap members has echoed one of its recent heartbeats.
//! - A transfer counts once a majority of the bootstrap members has *witnessed* it.
//! - The account of a proxy that is not heard for the *quarantine period* (all its loans are then over) is taken over by another
//!   proxy, after a majority has voted for its *ownership claim*. A member that voted freezes the account.
//! - Everything that others may rely on is in the stored state before it is published.
//!
//! **Input**, through [`Lender::handle`]: [`Event::Membership`] whenever the members or the right to lend change;
//! [`Event::Message`] for each message of another proxy that [`messages::is_lending_message`] accepts; [`Event::Rules`] at start
//! and on change; [`Event::Shortage`] while tenants within their quota lack capacity; [`Event::LendingWindow`] for times in which a
//! tenant must not borrow; [`Event::Saved`] once a file is durable; [`Event::Timer`].
//!
//! **Output**: [`Action::Publish`] (replaces the former message of that kind and key), [`Action::Save`], [`Action::Timer`]
//! (replaces the former one), [`Action::Notice`] for the log.
//!
//! **Beside the loop**: [`Lender::decide`] for a request beyond quota, [`Lender::withhold`] for the part of a tenant's quota that is
//! withheld, [`Lender::repay`] for what was withheld, [`Lender::totals`] for figures.
//!
//! The host must: read the file before [`Lender::new`] and hold a lock on it; write files in order; run one process of a name
//! at a time, each with a greater incarnation; give time that never goes back and does not stand still while that of others runs.
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
