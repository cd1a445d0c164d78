//! Unix time: read from the system once, when the process starts, and carried on by the monotonic clock, so that
//! a step of the system's clock moves no deadline. What is known of its error: [`evidence`].

pub mod evidence;

use routing::Time;
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Where wall time is read: by default the system's clock; tests put one of their own in its place.
#[derive(Clone)]
pub struct Source(Arc<dyn Fn() -> SystemTime + Send + Sync>);

impl Source {
    pub fn new(read: impl Fn() -> SystemTime + Send + Sync + 'static) -> Source {
        Source(Arc::new(read))
    }

    /// Zero for a clock that is set before 1970.
    fn unix(&self) -> Duration {
        (self.0)().duration_since(UNIX_EPOCH).unwrap_or_default()
    }
}

impl Default for Source {
    fn default() -> Source {
        Source::new(SystemTime::now)
    }
}

impl fmt::Debug for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Source")
    }
}

#[derive(Clone, Debug)]
pub struct Clock {
    anchor: Instant,
    unix: Duration,
    source: Source,
}

impl Clock {
    pub fn start(source: Source) -> Clock {
        let unix = source.unix();
        Clock {
            anchor: Instant::now(),
            unix,
            source,
        }
    }

    /// CPU time that the process has used.
    pub fn cpu() -> Duration {
        let used = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
        Duration::new(
            used.tv_sec.max(0) as u64,
            used.tv_nsec.clamp(0, 999_999_999) as u32,
        )
    }

    /// The Unix time of an instant of this process.
    pub fn unix(&self, at: Instant) -> Time {
        Time(self.unix + at.saturating_duration_since(self.anchor))
    }

    /// How far the system's clock, as it is now, is ahead of this one; zero if it is behind. The system's is read
    /// first: a pause between the two readings hides a lead until the next look, and never makes one up.
    pub fn system_lead(&self) -> Duration {
        let system = Time(self.source.unix());
        system.since(self.unix(Instant::now()))
    }
}

/// Milliseconds of Unix time, by the system's clock as it is now.
pub fn unix_ms() -> u64 {
    Source::default().unix().as_millis() as u64
}
