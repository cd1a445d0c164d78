//! Servers left alone after hard failures.
//!
//! Inputs: attempts that failed without an answer (no connection, a reset, a silent time-out) and failed probes. The
//! backoff starts at `Tuning::backoff_initial` objectives, doubles with each failure in a row up to
//! `Tuning::backoff_max` objectives, and is then spread by half to either side, so that routers don't come back
//! together. Any answer ends it.

#[cfg(test)]
mod tests;

use crate::interface::{ServerId, Time};
use crate::state::{Router, Server};
use std::time::Duration;

impl Server {
    /// It has answered.
    pub(crate) fn end_backoff(&mut self) {
        self.consecutive_failures = 0;
        self.backoff_until = Time::ZERO;
    }
}

impl Router {
    /// The server is down or cut off.
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

/// The backoff after so many earlier failures in a row.
fn backoff_span(initial: Duration, longest: Duration, earlier_failures: u32) -> Duration {
    let doublings = earlier_failures.min(16);
    initial.saturating_mul(1 << doublings).min(longest)
}
