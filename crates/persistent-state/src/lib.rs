//! What a proxy saves to survive the loss of its process or its power, and how far it trusts the file at the next start.
//!
//! [`SnapshotScheduler::handle`] takes events and the time since some origin, and returns actions; [`recover`] reads a
//! saved file. The package does no I/O, reads no clock and logs nothing.
//!
//! The table of trust and all bounds: `docs/design/power-loss.md`.
#![forbid(unsafe_code)]

mod file_format;
mod recovery;
mod scheduler;

pub use file_format::{
    ManualExclusion, SavedList, Snapshot, SnapshotError, MAX_EXCLUSIONS, MAX_FILE_BYTES,
    MAX_LIST_BYTES,
};
pub use recovery::{recover, RecoveredState, StartMode};
pub use scheduler::{Action, Event, SnapshotScheduler};
