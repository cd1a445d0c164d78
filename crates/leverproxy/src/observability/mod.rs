//! Counters, goodput, and logging that never waits for its reader.

pub mod counters;
pub(crate) mod goodput;
pub mod log_rate_limit;
pub mod logging;
