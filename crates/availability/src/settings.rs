//! Settings of the availability model.

use std::time::Duration;

/// Settings of the availability model. Factors and parts are from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Lower bound of the weight's factor for all faults other than the event loop's lag and cut links.
    pub floor: f64,
    /// Lower bound of the factor for the event loop's lag.
    pub own_floor: f64,
    /// Lower bound of the factor for cut links and shared faults together.
    pub cut_floor: f64,
    /// Longest delay of the endpoint list.
    pub list_late: Duration,
    /// Minimum time after which another server takes over from a lost primary.
    pub election: Duration,
    /// Lag of the event loop at which the weight begins to fall, and at which it reaches its minimum.
    pub lag: (Duration, Duration),
    /// Used part of a limit (open requests, descriptors, memory) at which the weight begins to fall, and at which it reaches its minimum.
    pub limit_usage: (f64, f64),
    /// The proxy is overloaded when its own factor falls below the first value, until it reaches the second.
    pub overload: (f64, f64),
    /// Minimum time for which a state is kept before a better one; longer for a proxy that flaps.
    pub dwell: Duration,
    /// Points per second by which the weight rises; it falls at once.
    pub rise: f64,
    /// Reported weights are rounded down to multiples of this.
    pub step: u8,
    /// Minimum number of pending requests or attempts of a hung group. A group is hung after it has not answered for `silence`, or for
    /// four times its baseline latency if that is longer (with an upper bound).
    pub min_pending: u32,
    /// Minimum time without an answer before a group is hung, or before a server that owes an answer counts as silent.
    pub silence: Duration,
    /// Number of successive hard failures without an answer in between after which a group is dead.
    pub dead_failures: u32,
    /// If more time than this passes between two events, the process was suspended and did not observe that time.
    pub suspension: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        let ms = Duration::from_millis;
        Settings {
            floor: 0.5,
            own_floor: 0.05,
            cut_floor: 0.25,
            list_late: ms(10_000),
            election: ms(2_000),
            lag: (ms(10), ms(200)),
            limit_usage: (0.8, 0.98),
            overload: (0.6, 0.75),
            dwell: ms(2_000),
            rise: 20.0,
            step: 5,
            min_pending: 4,
            silence: ms(350),
            dead_failures: 4,
            suspension: ms(1_500),
        }
    }
}
