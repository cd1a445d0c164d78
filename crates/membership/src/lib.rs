//! Proxies of one fleet that know each other: failure detection (SWIM), the quorum state that follows, the operations that
//! each state allows, and facts that every member replicates. No clock, no I/O, no log: `Core::handle` takes an event and the
//! time since some start, and gives actions. What facts say, and how datagrams are authenticated, is not known here.
//!
//! Reasons, the policy table and all bounds: `docs/design/members.md`.

mod advice;
mod anti_entropy;
mod config;
mod core;
mod event;
mod facts;
mod incarnation;
mod observations;
mod policy;
mod process_id;
mod quorum;
#[cfg(test)]
mod recorded;
mod republish_interval;
mod roster;
mod swim;
mod view;
mod view_message;

pub use config::Config;
pub use core::{Core, DATAGRAM_BYTES};
pub use event::{Action, Event};
pub use facts::{Fact, FactLimits, PublishError, BODY_BYTES, KEY_BYTES};
pub use policy::{permission, GuardedOperation, OperationDenied, Permission, POLICY_TABLE};
pub use quorum::{MemberCounts, QuorumState, QuorumTracker};
pub use republish_interval::republish_interval;
pub use roster::{member_id, Member, Roster, RosterError};
pub use view::{Counters, MemberObservation, Status, View};
