//! The state that a proxy saves to survive the loss of its process or of power, and the part of it that the next process
//! uses.
//!
//! [`SnapshotScheduler::handle`] takes events and the time since an origin, and returns actions; [`recover`] reads a
//! saved file. The crate does no I/O, reads no clock and logs nothing.
//!
//! The table of what is trusted at the start, and all bounds: `docs/design/power-loss.md`.
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
