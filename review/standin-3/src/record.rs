//! The record of a run: one line for each thing sent, answered and run, with its time.

use std::fmt::Display;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("the clock is after 1970")
        .as_millis() as u64
}

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn note(&self, line: impl Display) {
        let at = self.now().as_secs_f64();
        self.lines.lock().unwrap().push(format!("{at:9.4} {line}"));
    }

    pub fn text(&self) -> String {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        text
    }
}
