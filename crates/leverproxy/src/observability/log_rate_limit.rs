//! What may happen any number of times a second and is logged once a second at most. Guards against a log that
//! grows as fast as bad peers can knock; the counters hold how often it was.

use std::time::{Duration, Instant};

const APART: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
pub struct LogRateLimit {
    said: Option<Instant>,
    left_out: u64,
}

impl LogRateLimit {
    /// A line, with how many were left out before it; nothing while the last one is fresh.
    pub fn line(&mut self, now: Instant, text: impl FnOnce() -> String) -> Option<String> {
        if self
            .said
            .is_some_and(|said| now.saturating_duration_since(said) < APART)
        {
            self.left_out += 1;
            return None;
        }
        self.said = Some(now);
        match std::mem::take(&mut self.left_out) {
            0 => Some(text()),
            n => Some(format!("{} ({n} more like it since the last)", text())),
        }
    }

    pub fn warn(&mut self, now: Instant, text: impl FnOnce() -> String) {
        if let Some(line) = self.line(now, text) {
            log::warn!("{line}");
        }
    }
}
