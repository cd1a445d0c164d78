//! Settings of the model.

use std::time::Duration;

/// Settings of the model. Parts are from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Least part that anything but the event loop's lag leaves.
    pub floor: f64,
    /// Least part that own faults leave.
    pub own_floor: f64,
    /// Least part that a cut link leaves, together with what is shared.
    pub cut_floor: f64,
    /// The longest delay of the endpoint list.
    pub list_late: Duration,
    /// A lost primary is replaced no sooner than this.
    pub election: Duration,
    /// The event loop's lag at which the weight begins to fall, and at which it is at its least.
    pub lag: (Duration, Duration),
    /// The same for the used part of a limit: open requests, descriptors, memory.
    pub limit_usage: (f64, f64),
    /// With an own part under the first the proxy is overloaded, over the second no longer.
    pub overload: (f64, f64),
    /// A state is kept for so long before a better one; doubled for a proxy that flaps.
    pub dwell: Duration,
    /// Points that the weight rises in a second; it falls at once.
    pub rise: f64,
    /// Weights are multiples of this.
    pub step: u8,
    /// A group is hung if so many requests or attempts wait for it and it has given no answer for longer than `silence`, or four
    /// times what its answers usually take.
    pub min_pending: u32,
    /// See `min_pending`.
    pub silence: Duration,
    /// A group is dead after so many hard failures in a row, with no answer between.
    pub dead_failures: u32,
    /// More time than this between two events was not observed: the process was suspended.
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
