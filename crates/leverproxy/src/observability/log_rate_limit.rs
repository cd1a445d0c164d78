//! Limits a kind of log line to one per second, for events that may occur any number of times a second. Otherwise faulty
//! peers could make the log grow as fast as they can connect. Counters record how often the events occur.

use std::time::{Duration, Instant};

/// Minimum time between two lines of a kind.
const INTERVAL: Duration = Duration::from_secs(1);

/// The rate limit of one kind of log line.
#[derive(Debug, Default)]
pub struct LogRateLimit {
    logged_at: Option<Instant>,
    suppressed: u64,
}

impl LogRateLimit {
    /// Returns the line, with the number of lines suppressed since the last one; none within a second of the last line.
    pub fn line(&mut self, now: Instant, text: impl FnOnce() -> String) -> Option<String> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < INTERVAL;
        if self.logged_at.is_some_and(is_recent) {
            self.suppressed += 1;
            return None;
        }
        self.logged_at = Some(now);
        match std::mem::take(&mut self.suppressed) {
            0 => Some(text()),
            n => Some(format!("{} ({n} more like it since the last)", text())),
        }
    }

    /// Logs the line as a warning, unless it is suppressed.
    pub fn warn(&mut self, now: Instant, text: impl FnOnce() -> String) {
        if let Some(line) = self.line(now, text) {
            log::warn!("{line}");
        }
    }
}
