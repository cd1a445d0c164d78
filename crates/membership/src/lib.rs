//! Fleet membership without I/O. From datagrams, timers and the operators' roster it derives which members are alive
//! (failure detection by SWIM), the quorum state of the fleet and of each region, and which guarded operations that state
//! allows. It also replicates facts that members publish to all other members.
//!
//! `Core::handle` takes an event and the time since an origin, and returns actions. The crate reads no clock and logs
//! nothing. Authentication of datagrams and the meaning of facts are left to the host.
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
