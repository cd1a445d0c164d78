//! The report of the model.

use health_state::State;

use crate::{Load, Time};

/// The fault that lowers the weight most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The weight is not lowered.
    None,
    /// The event loop is late.
    Lag,
    /// Many requests are open.
    Open,
    /// Few descriptors are left.
    Descriptors,
    /// Little memory is left.
    Memory,
    /// A group is dead or hung.
    Group(u32),
    /// A group does not serve writes.
    Primary(u32),
    /// The servers of a site work, but the link to them is cut.
    Link(u16),
    /// Record servers reject or fail much of the work.
    Servers,
    /// Record servers are slower than usual.
    Slow,
}

/// The report to balancers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// The state of the proxy.
    pub state: State,
    /// The weight, 0 to 100.
    pub weight: u8,
    /// The fault that lowers the weight most.
    pub reason: Reason,
    /// When the state began.
    pub since: Time,
    /// Latency of record servers, as a multiple of the baseline.
    pub slowness: f64,
    /// The proxy's load.
    pub load: Load,
    /// Whether discovery is connected.
    pub discovery: bool,
}

/// Severity of a state. Of two states in which the proxy serves, the one with the higher severity is worse.
pub(crate) fn severity(state: State) -> u8 {
    match state {
        State::Ready => 0,
        State::Degraded(_) => 1,
        State::Overloaded => 2,
        State::Starting | State::Draining | State::Stopping => 3,
    }
}
