//! Unix time. It is read from the system once, when the process starts, and continued by the monotonic clock, so that a step
//! of the system's clock moves no deadline. How far it may be wrong is estimated by [`skew`].

pub mod skew;

use routing::Time;
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Where wall-clock time is read: by default the system's clock, in tests a clock of their own.
#[derive(Clone)]
pub struct WallClock(Arc<dyn Fn() -> SystemTime + Send + Sync>);

impl WallClock {
    /// A clock that is read by calling `read`.
    pub fn new(read: impl Fn() -> SystemTime + Send + Sync + 'static) -> WallClock {
        WallClock(Arc::new(read))
    }

    /// Unix time; zero for a clock that is set before 1970.
    fn unix(&self) -> Duration {
        (self.0)().duration_since(UNIX_EPOCH).unwrap_or_default()
    }
}

impl Default for WallClock {
    fn default() -> WallClock {
        WallClock::new(SystemTime::now)
    }
}

impl fmt::Debug for WallClock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("WallClock")
    }
}

/// The Unix time of this process.
#[derive(Clone, Debug)]
pub struct Clock {
    /// When the wall clock was read.
    anchor: Instant,
    /// What it showed then.
    unix: Duration,
    wall_clock: WallClock,
}

impl Clock {
    /// Reads the wall clock, which is not read again for Unix time.
    pub fn start(wall_clock: WallClock) -> Clock {
        let unix = wall_clock.unix();
        Clock {
            anchor: Instant::now(),
            unix,
            wall_clock,
        }
    }

    /// The CPU time that the process has used.
    pub fn cpu_time() -> Duration {
        let used = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
        Duration::new(
            used.tv_sec.max(0) as u64,
            used.tv_nsec.clamp(0, 999_999_999) as u32,
        )
    }

    /// The Unix time of an instant of this process.
    pub fn unix_time(&self, at: Instant) -> Time {
        Time(self.unix + at.saturating_duration_since(self.anchor))
    }

    /// How far the system's clock is now ahead of this one; zero if it is behind. The system's clock is read first: a pause
    /// between the two readings may hide a lead until the next call, but never invents one.
    pub fn system_lead(&self) -> Duration {
        let system = Time(self.wall_clock.unix());
        system.since(self.unix_time(Instant::now()))
    }
}

/// Unix time in milliseconds, by the system's clock now.
pub fn unix_ms() -> u64 {
    WallClock::default().unix().as_millis() as u64
}
