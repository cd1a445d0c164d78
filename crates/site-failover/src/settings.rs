//! Settings of the detector.

use std::time::Duration;

/// Durations of the detector, and its guards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// A site is lost after failures over this time without an answer in between.
    pub lost_after: Duration,
    /// Longest delay of the endpoint list: the entries of a site that has answered more recently may be out of date.
    pub list_late: Duration,
    /// Minimum time for which a site stays returning.
    pub return_after: Duration,
    /// Minimum time between two changes to or from [`crate::SiteState::Lost`], and before a degraded site is healthy again.
    pub dwell: Duration,
    /// The event loop counts as stalled when its lag exceeds this.
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

/// Guards against false changes of state. The model check disables them one by one; outside of tests all are enabled
/// ([`Guards::ALL`]).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// A site is lost only if another site answers meanwhile: failures of all sites at once are caused by a fault elsewhere, or by
    /// load.
    pub site_specific: bool,
    /// Two servers must be down, not one, where a site has as many.
    pub min_down_servers: bool,
    /// Failures must be spread over [`Settings::lost_after`]: a burst of resets counts as one failure.
    pub span: bool,
    /// After a stall of the proxy's event loop failures are ignored for a time: the stall itself causes timeouts.
    pub stall: bool,
    /// Changes are at least [`Settings::dwell`] apart, so that a site does not flap.
    pub dwell: bool,
    /// A returning site must answer several times before it is healthy.
    pub return_proof: bool,
    /// The endpoint list alone decides that a site is lost only after [`Settings::list_late`].
    pub list_delay: bool,
    /// Timeouts alone do not make a site lost: the site may be slow.
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
