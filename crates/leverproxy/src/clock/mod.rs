//! Unix time. The system's clock is read once, when the process starts, and advanced by the monotonic clock, so that a
//! step of the system's clock does not move deadlines. [`skew`] estimates the error of the resulting time.

pub mod skew;

use routing::Time;
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The source of wall-clock time: by default the system's clock, in tests a clock that the test controls.
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

/// The clock of this process, which provides Unix time.
#[derive(Clone, Debug)]
pub struct Clock {
    /// The instant at which the wall clock was read.
    anchor: Instant,
    /// The Unix time that the wall clock showed at `anchor`.
    unix: Duration,
    wall_clock: WallClock,
}

impl Clock {
    /// Starts the clock with a single reading of the wall clock.
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

    /// The time by which the system's clock is currently ahead of this clock; zero if it is behind. The system's clock
    /// is read first: a pause between the two readings may hide a lead until the next call, but never causes a false
    /// lead.
    pub fn system_lead(&self) -> Duration {
        let system = Time(self.wall_clock.unix());
        system.since(self.unix_time(Instant::now()))
    }
}

/// The current Unix time of the system's clock, in milliseconds.
pub fn unix_ms() -> u64 {
    WallClock::default().unix().as_millis() as u64
}
