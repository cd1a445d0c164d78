//! One clock for everything: Unix time, anchored once and carried on by the monotonic clock, so that a step
//! of the system's time moves no deadline.

use mountshift::{Span, Time};
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

    /// The Unix time of an instant of this process.
    pub fn unix(&self, at: Instant) -> Time {
        time(self.unix + at.saturating_duration_since(self.anchor))
    }
}

/// The module's form of a Unix time.
pub fn time(since_epoch: Duration) -> Time {
    Time(micros(since_epoch))
}

pub fn span(duration: Duration) -> Span {
    Span(micros(duration))
}

pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
