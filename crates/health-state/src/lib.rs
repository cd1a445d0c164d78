//! The states that a proxy may be in for whoever balances before it: shared by the model that finds them and the
//! codecs that tell them.

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    Starting,
    Ready,
    /// So many of 100 of its traffic are not served, for trouble that others share.
    Degraded(u8),
    Overloaded,
    Draining,
    Stopping,
}

impl State {
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
