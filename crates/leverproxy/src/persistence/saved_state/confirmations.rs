//! Delays responses to operators' commands until the command is on the disk.

use crate::event_loop::slab::Key;
use std::time::{Duration, Instant};
use wire_admin::{Answer, Status};

/// Maximum time for which an operator's call waits for the disk: half of the time limit of a call.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether commands are on the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SaveStatus {
    Saved,
    /// A save has not ended yet.
    Pending,
    /// The disk fails, or the directory is another proxy's.
    Failing,
}

/// Calls whose responses wait for the disk.
#[derive(Debug, Default)]
pub(super) struct PendingConfirmations {
    calls: Vec<PendingCall>,
}

#[derive(Debug)]
struct PendingCall {
    connection: Key,
    text: &'static str,
    since: Instant,
}

impl PendingConfirmations {
    pub(super) fn add(&mut self, connection: Key, text: &'static str, now: Instant) {
        self.calls.push(PendingCall {
            connection,
            text,
            since: now,
        });
    }

    /// Takes the calls whose commands are saved, cannot be saved, or have waited too long.
    pub(super) fn take_due(&mut self, status: SaveStatus, now: Instant) -> Vec<(Key, Answer)> {
        let mut due = Vec::new();
        self.calls.retain(|call| {
            let expired = now.saturating_duration_since(call.since) >= CONFIRMATION_TIMEOUT;
            let waits = status == SaveStatus::Pending && !expired;
            if !waits {
                due.push((call.connection, response(call.text, status)));
            }
            waits
        });
        due
    }
}

fn response(text: &str, status: SaveStatus) -> Answer {
    match status {
        SaveStatus::Saved => Answer::line(Status::Ok, text),
        SaveStatus::Pending | SaveStatus::Failing => {
            Answer::line(Status::Ok, format!("{text}, not kept"))
        }
    }
}
