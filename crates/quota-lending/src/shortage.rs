//! Detects, at one proxy, a shortage of capacity for tenants within their quota. During a shortage nothing is lent.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Length of the windows in which rejections are counted.
const COUNT_WINDOW: Duration = Duration::from_millis(500);
/// Duration of a shortage after the last rejection that showed it. Traffic of tenants within quota comes in waves: without this
/// duration each wave would compete with loans made since the last one.
pub const SHORTAGE_DURATION: Duration = Duration::from_secs(2);
/// A shortage that recurs within this many times its duration lasts twice as long, up to [`MAX_SHORTAGE_DURATION`]. Otherwise,
/// where the loans themselves take up the capacity, lending would start and stop all the time.
const RECURRENCE_FACTOR: u32 = 4;
const MAX_SHORTAGE_DURATION: Duration = Duration::from_secs(16);

/// Counts requests within quota, and those of them that were rejected before any attempt.
#[derive(Clone, Debug)]
pub struct Shortage {
    /// Minimum number of rejections in a window that show a shortage, if they are also more than `min_fraction` of the requests
    /// that ended in it. Fewer may be caused by one client or one server.
    min_rejections: u32,
    min_fraction: f64,
    window_start: Duration,
    /// Number of requests that ended in the window, and of those rejected.
    ended: u32,
    rejected: u32,
    /// End of the current or last shortage; zero before the first.
    until: Duration,
    /// Duration of the current or last shortage.
    duration: Duration,
}

impl Default for Shortage {
    fn default() -> Shortage {
        Shortage::new(3, 0.05)
    }
}

impl Shortage {
    /// At least `min_rejections` rejections in a window, and more than `min_fraction` of its requests, show a shortage.
    pub fn new(min_rejections: u32, min_fraction: f64) -> Shortage {
        Shortage {
            min_rejections,
            min_fraction,
            window_start: Duration::ZERO,
            ended: 0,
            rejected: 0,
            until: Duration::ZERO,
            duration: SHORTAGE_DURATION,
        }
    }

    /// Records the end of a request within quota. `rejected`: whether it was rejected before any attempt.
    pub fn record_end(&mut self, now: Duration, rejected: bool) {
        if now.saturating_sub(self.window_start) >= COUNT_WINDOW {
            (self.window_start, self.ended, self.rejected) = (now, 0, 0);
        }
        self.ended += 1;
        self.rejected += u32::from(rejected);
        if self.shows_shortage() {
            self.extend(now);
        }
    }

    fn shows_shortage(&self) -> bool {
        self.rejected >= self.min_rejections
            && f64::from(self.rejected) > self.min_fraction * f64::from(self.ended)
    }

    fn extend(&mut self, now: Duration) {
        if !self.is_in_shortage(now) {
            let recurred =
                !self.until.is_zero() && now < self.until + self.duration * RECURRENCE_FACTOR;
            self.duration = if recurred {
                (self.duration * 2).min(MAX_SHORTAGE_DURATION)
            } else {
                SHORTAGE_DURATION
            };
        }
        self.until = now + self.duration;
    }

    /// Whether there is a shortage now.
    pub fn is_in_shortage(&self, now: Duration) -> bool {
        now < self.until
    }
}
