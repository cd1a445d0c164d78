//! Backoff: servers that get no requests for a while after hard failures.
//!
//! Inputs: attempts that failed without an answer (no connection, a reset, a time-out of a silent server) and failed
//! probes. The backoff starts at `Tuning::backoff_initial` objectives and doubles with each consecutive failure up to
//! `Tuning::backoff_max` objectives. Jitter of plus or minus half keeps routers from returning at the same time. Any
//! answer ends the backoff.

#[cfg(test)]
mod tests;

use crate::interface::{ServerId, Time};
use crate::state::{Router, Server};
use std::time::Duration;

impl Server {
    /// Ends the backoff after an answer of the server.
    pub(crate) fn end_backoff(&mut self) {
        self.consecutive_failures = 0;
        self.backoff_until = Time::ZERO;
    }
}

impl Router {
    /// Starts or extends the backoff of a server that is down or unreachable.
    pub(crate) fn back_off(&mut self, id: ServerId) {
        let jitter = 0.5 + self.random_unit();
        let objective = self.tightest_objective;
        let initial = objective.mul_f64(self.tuning.backoff_initial);
        let longest = objective.mul_f64(self.tuning.backoff_max);
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        let span = backoff_span(initial, longest, server.consecutive_failures).mul_f64(jitter);
        server.consecutive_failures += 1;
        server.backoff_until = self.now.plus(span);
    }
}

/// Backoff after `earlier_failures` consecutive failures, before jitter.
fn backoff_span(initial: Duration, longest: Duration, earlier_failures: u32) -> Duration {
    let doublings = earlier_failures.min(16);
    initial.saturating_mul(1 << doublings).min(longest)
}
