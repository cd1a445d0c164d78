//! Moving averages of time: each server's run time for each class, and each class's work.
//!
//! **Run time** (by server and class): what an attempt there is expected to take. An attempt without an answer took its
//! time too; an error or a failed connect counts as more than the objective. Otherwise a server that loses requests or
//! fails them quickly would look no worse than others.
//! **Work** (by class): what a request takes on an idle server. Longer times contain waiting and move it less.
//! **Decay**: estimates that no answer refreshes decay with `Tuning::estimate_time_constant` (`Router::decay_since`).

use crate::averages::exponential_average;
use crate::interface::*;
use crate::state::{Router, Server};
use crate::tuning::MIN_SPAN;
use std::time::Duration;

impl Router {
    /// The server's own average; before its first answer the class's work elsewhere. With the objective as the start,
    /// far above what most take, a router would stay with the first members that it tried.
    pub(crate) fn expected_run_time(&self, server: &Server, class: ClassId) -> Duration {
        let index = usize::from(class.0);
        server.run_time[index].unwrap_or(self.class_work[index])
    }

    /// Time that this router's attempts in flight there will still take: for each the average less the time spent. One
    /// that has outlived its average counts for as long as it has done so: floored at zero, a hung server would look
    /// idle. Misleads where run times fall into two kinds.
    pub(crate) fn remaining_work(&self, server: &Server) -> Duration {
        let remaining = server.in_flight.values().map(|attempt| {
            let spent = self.now.since(attempt.sent);
            self.expected_run_time(server, attempt.class)
                .abs_diff(spent)
        });
        remaining.sum()
    }

    /// Takes an ended attempt into the server's average run time.
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
            // A trace more than a server not yet tried, which so gets its turn.
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

    /// Takes a successful attempt into the class's average work.
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
