//! Kinds of timers.

use crate::request::ResponseSlot;
use crate::upstream::UpstreamTimer;

/// Purpose of a timer. Timers that are due at the same instant run in the order in which they were set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerKind {
    /// A timer of the decision module, by its token.
    Router(u32),
    /// A timer of an upstream connection or queue.
    Upstream(UpstreamTimer),
    /// The time of a request is over that follows a request with a later deadline on the same connection.
    ResponseOrder(ResponseSlot),
    /// Checks the watch on discovery.
    CheckDiscovery,
    /// Closes connections that have exceeded their time limit.
    CloseExpired,
    /// Accepts clients again after a pause for lack of capacity or of a listener.
    RetryAccept,
    /// Measures the load of this process.
    MeasureLoad,
    /// The drain state machine is due.
    Drain,
    /// A timer of the fleet membership, by its token.
    Members(u64),
    /// Checks the rollout.
    Rollout,
    /// Polls quotas and quota lending.
    Quota,
    /// Saves changed state.
    Persist,
}
