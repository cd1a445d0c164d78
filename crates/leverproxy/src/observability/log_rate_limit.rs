//! A log line for what may happen any number of times a second, written once a second at most. Otherwise faulty peers could make
//! the log grow as fast as they can connect. The counters hold how often it was.

use std::time::{Duration, Instant};

/// Least time between two lines.
const INTERVAL: Duration = Duration::from_secs(1);

/// The limit of one kind of line.
#[derive(Debug, Default)]
pub struct LogRateLimit {
    logged_at: Option<Instant>,
    suppressed: u64,
}

impl LogRateLimit {
    /// The line, with the number of lines suppressed before it; none within a second of the last one.
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

    /// Logs the line as a warning.
    pub fn warn(&mut self, now: Instant, text: impl FnOnce() -> String) {
        if let Some(line) = self.line(now, text) {
            log::warn!("{line}");
        }
    }
}
