//! Instants on the router's clock.

use std::time::Duration;

/// An instant on the router's clock, as the time since an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub Duration);

impl Time {
    /// The origin. Also stands for an absent instant.
    pub const ZERO: Time = Time(Duration::ZERO);
    /// The latest instant; stands for "never".
    pub const MAX: Time = Time(Duration::MAX);

    /// The instant `since_origin` microseconds after the origin.
    pub const fn from_micros(since_origin: u64) -> Time {
        Time(Duration::from_micros(since_origin))
    }

    /// The instant `span` later; [`Time::MAX`] on overflow.
    pub fn plus(self, span: Duration) -> Time {
        Time(self.0.saturating_add(span))
    }

    /// The instant `span` earlier; [`Time::ZERO`] if that is before the origin.
    pub fn minus(self, span: Duration) -> Time {
        Time(self.0.saturating_sub(span))
    }

    /// Time elapsed since `earlier`; zero if `earlier` is in the future.
    pub fn since(self, earlier: Time) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}
