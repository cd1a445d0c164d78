//! Whether tenants within their quota lack capacity, as one proxy sees it: then nothing is lent.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Rejections are counted over this time.
const WINDOW: Duration = Duration::from_millis(500);
/// A shortage lasts so long after the last window that showed it. Traffic of tenants within quota comes in waves: without this
/// each wave would meet loans made since the last one.
pub const SHORTAGE_DURATION: Duration = Duration::from_secs(2);
/// A shortage that returns within so many times its duration lasts twice as long, up to [`LASTS_MOST`]. Where loans themselves
/// take the capacity, lending would otherwise start and stop all the time.
const RETURNS_WITHIN: u32 = 4;
const LASTS_MOST: Duration = Duration::from_secs(16);

/// Counts requests within quota, and those of them that were rejected before any attempt.
#[derive(Clone, Debug)]
pub struct Shortage {
    /// Rejections in a window that make a shortage, if they are also more than `part` of the requests that ended. Fewer may be
    /// one client's or one server's fault.
    least: u32,
    part: f64,
    window_start: Duration,
    ended: u32,
    rejected: u32,
    until: Duration,
    lasts: Duration,
}

impl Default for Shortage {
    fn default() -> Shortage {
        Shortage::new(3, 0.05)
    }
}

impl Shortage {
    /// `least` rejections in a window that are more than `part` of all requests make a shortage.
    pub fn new(least: u32, part: f64) -> Shortage {
        Shortage {
            least,
            part,
            window_start: Duration::ZERO,
            ended: 0,
            rejected: 0,
            until: Duration::ZERO,
            lasts: SHORTAGE_DURATION,
        }
    }

    /// A request within quota has ended; `rejected`: before any attempt.
    pub fn record_end(&mut self, now: Duration, rejected: bool) {
        if now.saturating_sub(self.window_start) >= WINDOW {
            (self.window_start, self.ended, self.rejected) = (now, 0, 0);
        }
        self.ended += 1;
        self.rejected += u32::from(rejected);
        if self.shows_shortage() {
            self.extend(now);
        }
    }

    fn shows_shortage(&self) -> bool {
        self.rejected >= self.least && f64::from(self.rejected) > self.part * f64::from(self.ended)
    }

    fn extend(&mut self, now: Duration) {
        if !self.is_in_shortage(now) {
            let returned = !self.until.is_zero() && now < self.until + self.lasts * RETURNS_WITHIN;
            self.lasts = if returned {
                (self.lasts * 2).min(LASTS_MOST)
            } else {
                SHORTAGE_DURATION
            };
        }
        self.until = now + self.lasts;
    }

    /// Whether there is a shortage now.
    pub fn is_in_shortage(&self, now: Duration) -> bool {
        now < self.until
    }
}
