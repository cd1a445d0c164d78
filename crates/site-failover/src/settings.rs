//! Settings of the detector.

use std::time::Duration;

/// Times of the detector, and its guards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// A site is lost after failures over this time with no answer between.
    pub lost_after: Duration,
    /// The longest delay of the endpoint list: what it says of a site that has answered since may be out of date.
    pub list_late: Duration,
    /// A site is returning for this time at least.
    pub return_after: Duration,
    /// Least time between two changes to or from [`crate::SiteState::Lost`], and until a degraded site is healthy again.
    pub dwell: Duration,
    /// The event loop has stalled if it is later than this.
    pub stall: Duration,
    /// Guards that are enabled.
    pub guards: Guards,
}

impl Default for Settings {
    fn default() -> Settings {
        let ms = Duration::from_millis;
        Settings {
            lost_after: ms(500),
            list_late: ms(10_000),
            return_after: ms(5_000),
            dwell: ms(2_000),
            stall: ms(500),
            guards: Guards::ALL,
        }
    }
}

/// Guards against false changes of state, which the model check disables one by one. Outside of tests: [`Guards::ALL`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// A site is lost only if another site answers meanwhile: what all sites do at once is a fault elsewhere, or load.
    pub site_specific: bool,
    /// Two servers must be down, not one.
    pub min_down_servers: bool,
    /// Failures must be spread over [`Settings::lost_after`]: a burst of resets is one failure.
    pub span: bool,
    /// After a stall of the own event loop failures are ignored for a time: timeouts then are its own fault.
    pub stall: bool,
    /// Changes keep [`Settings::dwell`], so that a site does not flap.
    pub dwell: bool,
    /// A returning site must answer several times before it is healthy.
    pub return_proof: bool,
    /// The list alone is believed about a site only after [`Settings::list_late`].
    pub list_delay: bool,
    /// Timeouts alone make no site lost: it may be slow.
    pub timeouts: bool,
}

impl Guards {
    /// All guards.
    pub const ALL: Guards = Guards {
        site_specific: true,
        min_down_servers: true,
        span: true,
        stall: true,
        dwell: true,
        return_proof: true,
        list_delay: true,
        timeouts: true,
    };
}
