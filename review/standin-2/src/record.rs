//! The record of a run: one line for each thing that was sent, answered or run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64() * 1e3;
        let mut file = self.file.lock().unwrap_or_else(|e| e.into_inner());
        _ = writeln!(file, "{at:9.1} {}", text.as_ref());
    }
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    unix().as_millis() as u64
}

pub fn unix() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
