//! Instants on the router's clock.

use std::time::Duration;

/// An instant on the router's clock, as the time since an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub Duration);

impl Time {
    /// The origin. Where an instant may be absent, this value stands for that.
    pub const ZERO: Time = Time(Duration::ZERO);
    /// The latest instant; stands for "never".
    pub const MAX: Time = Time(Duration::MAX);

    /// The instant that many microseconds after the origin.
    pub const fn from_micros(since_origin: u64) -> Time {
        Time(Duration::from_micros(since_origin))
    }

    /// The instant `span` later, or [`Time::MAX`].
    pub fn plus(self, span: Duration) -> Time {
        Time(self.0.saturating_add(span))
    }

    /// The instant `span` earlier, or [`Time::ZERO`].
    pub fn minus(self, span: Duration) -> Time {
        Time(self.0.saturating_sub(span))
    }

    /// How long ago `earlier` was; zero if it lies ahead.
    pub fn since(self, earlier: Time) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}
