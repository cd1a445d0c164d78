//! Staged rollout of a new version of the operators' configuration file to a fleet of proxies.
//!
//! The new version reaches the proxies in stages. While both versions serve traffic, their loss rates are compared, and
//! the rollout is halted automatically if the new version does harm.
//!
//! `Core::handle` takes an event and the time since a fixed origin, and returns actions. It uses no clock, I/O or log.
//! The host passes in the received facts and the reachability of the members, and it stores and interprets the
//! configuration files; this crate identifies a version by its hash only.
//!
//! `docs/design/rollout.md` gives the reasons for the design and all bounds.

mod advice;
mod bettor;
mod command;
mod core;
mod event;
mod evidence;
mod guard;
mod machine;
mod member_evidence;
mod messages;
#[cfg(test)]
mod model;
mod monitor;
mod peer;
#[cfg(test)]
mod recorded;
mod series;
mod stages;
mod status;

pub use command::CommandRejected;
pub use core::{Core, FACT_KINDS};
pub use event::{Action, Config, Event, Observation, PeerFact};
pub use evidence::{Evidence, EvidenceLimits, EvidenceSummary, ReportedCounts, Verdict};
pub use machine::{CurrentRollout, Phase, StageMachine, StepInput};
pub use member_evidence::MemberFigures;
pub use messages::{
    ClassCounts, HaltReason, HaltRecord, PlannedRestart, Proposal, Readiness, TrafficCounts,
    VersionHash, Vote, BODY_BYTES,
};
pub use peer::Peer;
pub use status::Status;
