//! Moving averages of time: each server's run time for each class, and each class's work.
//!
//! - **Run time** (by server and class): expected duration of an attempt there. An attempt without an answer counts
//!   with the time that it took; an error or a failed connect counts as more than the objective. Otherwise a server
//!   that loses requests or fails them quickly would look as good as others.
//! - **Work** (by class): duration of a request on an idle server. Longer times include waiting and have a lower
//!   weight.
//! - **Decay**: estimates without new answers decay with `Tuning::estimate_time_constant` (`Router::decay_since`).

use crate::averages::exponential_average;
use crate::interface::*;
use crate::state::{Router, Server};
use crate::tuning::MIN_SPAN;
use std::time::Duration;

impl Router {
    /// The server's own average, or before its first answer the class's work on other servers. If the objective, which
    /// is far above most run times, were the initial value, a router would stay with the first members that it tried.
    pub(crate) fn expected_run_time(&self, server: &Server, class: ClassId) -> Duration {
        let index = usize::from(class.0);
        server.run_time[index].unwrap_or(self.class_work[index])
    }

    /// Remaining time of this router's attempts in flight at the server: for each, the average run time minus the time
    /// spent. An attempt that has exceeded its average counts with the excess: if it counted as zero, a hung server
    /// would look idle. Misleading for classes with two distinct run times.
    pub(crate) fn remaining_work(&self, server: &Server) -> Duration {
        let remaining = server.in_flight.values().map(|attempt| {
            let spent = self.now.since(attempt.sent);
            self.expected_run_time(server, attempt.class)
                .abs_diff(spent)
        });
        remaining.sum()
    }

    /// Adds an ended attempt to the server's average run time.
    pub(crate) fn update_run_time(
        &mut self,
        id: ServerId,
        class: ClassId,
        objective: Duration,
        outcome: Outcome,
        elapsed: Duration,
    ) {
        let run_time = match outcome {
            Outcome::Ok | Outcome::TimedOut => elapsed,
            // Slightly more than the cost of a server that has not been tried, so that one is tried next.
            Outcome::Failed | Outcome::ConnectFailed => {
                objective + self.tightest_objective / 2 + MIN_SPAN
            }
            _ => return,
        };
        let weight = self.tuning.sample_weight;
        if let Some(server) = self.servers.get_mut(&id) {
            let average = &mut server.run_time[usize::from(class.0)];
            *average = Some(average.map_or(run_time, |average| {
                exponential_average(average, run_time, weight)
            }));
        }
    }

    /// Adds a successful attempt to the class's average work.
    pub(crate) fn update_class_work(&mut self, class: ClassId, elapsed: Duration) {
        let work = &mut self.class_work[usize::from(class.0)];
        let weight = if elapsed < *work {
            self.tuning.sample_weight
        } else {
            self.tuning.sample_weight * self.tuning.longer_work_weight
        };
        *work = exponential_average(*work, elapsed, weight);
    }
}
