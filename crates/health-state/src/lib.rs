//! The health states of a proxy as reported to load balancers: shared by the model that decides them and the codecs
//! that encode them.

/// The health state that a proxy reports to its balancers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// The proxy has not started to serve yet.
    Starting,
    /// The proxy serves all requests.
    Ready,
    /// The proxy serves, but this percentage of its traffic is not served because of faults that affect all proxies.
    Degraded(u8),
    /// The proxy serves, but its own capacity does not suffice for all requests.
    Overloaded,
    /// The proxy is leaving service: no new connections should be sent to it.
    Draining,
    /// The proxy's process is ending.
    Stopping,
}

impl State {
    /// The state's name in texts for operators and balancers.
    pub fn name(self) -> &'static str {
        match self {
            State::Starting => "starting",
            State::Ready => "ready",
            State::Degraded(_) => "degraded",
            State::Overloaded => "overloaded",
            State::Draining => "draining",
            State::Stopping => "stopping",
        }
    }

    /// Whether the proxy takes requests in this state.
    pub fn serves(self) -> bool {
        matches!(self, State::Ready | State::Degraded(_) | State::Overloaded)
    }
}
