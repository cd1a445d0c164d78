//! One clock for everything: Unix time, anchored once and carried on by the monotonic clock, so that a step
//! of the system's time moves no deadline.

use mountshift::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    anchor: Instant,
    unix: Duration,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { anchor: Instant::now(), unix }
    }

    /// CPU time that the process has used.
    pub fn cpu() -> Duration {
        let used = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
        Duration::new(used.tv_sec.max(0) as u64, used.tv_nsec.clamp(0, 999_999_999) as u32)
    }

    /// The Unix time of an instant of this process.
    pub fn unix(&self, at: Instant) -> Time {
        Time(self.unix + at.saturating_duration_since(self.anchor))
    }
}

/// Milliseconds of Unix time, by the system's clock as it is now.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
