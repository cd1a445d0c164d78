//! The states that a proxy may be in for whoever balances before it: shared by the model that finds them and the
//! codecs that tell them.

/// The health of a proxy as its balancers are told, the least able first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It has no complete list of record servers yet.
    Starting,
    /// It serves all that it is asked for.
    Ready,
    /// So many of 100 of its traffic are not served, for trouble that others share.
    Degraded(u8),
    /// It serves, and rejects some requests for want of its own capacity.
    Overloaded,
    /// It is leaving service: nothing new should be sent to it.
    Draining,
    /// Its process is ending.
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

    /// Requests are welcome.
    pub fn serves(self) -> bool {
        matches!(self, State::Ready | State::Degraded(_) | State::Overloaded)
    }
}
