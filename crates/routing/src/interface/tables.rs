//! Sizes of a router's tables, for its host's metrics.

/// Number of entries of each table that requests and endpoint lists fill.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Servers, listed or with attempts in flight.
    pub servers: usize,
    /// Groups that have or had servers.
    pub groups: usize,
    /// Requests without a final answer.
    pub open_requests: usize,
    /// Sessions whose last write is stored.
    pub session_writes: usize,
    /// Timers of requests and polls.
    pub timers: usize,
}
