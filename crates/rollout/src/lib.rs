//! A version of the operators' file that reaches a fleet of proxies in stages, is compared with the former one while both serve,
//! and is halted automatically when it does harm. No clock, no I/O, no log: `Core::handle` takes an event and the time since
//! some start, and gives actions. The host tells it which facts came and who is reachable; what a version says, and where its
//! file is, is not known here.
//!
//! Reasons and all bounds: `docs/design/rollout.md`.

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
