//! Measures how long each step of the start takes.

use std::time::{Duration, Instant};

/// A start that takes longer than this is logged with the duration of each step.
const SLOW_START: Duration = Duration::from_secs(5);

/// The steps of a start so far. Each is logged at `debug` when it begins, so that the last line shows the current step.
pub(super) struct StartClock {
    steps: Vec<(&'static str, Instant)>,
}

impl StartClock {
    /// Starts measuring with the first step.
    pub(super) fn begin(step: &'static str) -> StartClock {
        let mut clock = StartClock { steps: Vec::new() };
        clock.enter(step);
        clock
    }

    /// Begins the next step.
    pub(super) fn enter(&mut self, step: &'static str) {
        log::debug!("start: {step}");
        self.steps.push((step, Instant::now()));
    }

    /// Ends the last step, and logs a warning if the start was slow.
    pub(super) fn finish(self) {
        let now = Instant::now();
        let Some((_, began)) = self.steps.first() else {
            return;
        };
        let took = now.saturating_duration_since(*began);
        if took < SLOW_START {
            return;
        }
        let ends = self.steps.iter().skip(1).map(|(_, at)| *at).chain([now]);
        let steps: Vec<String> = self
            .steps
            .iter()
            .zip(ends)
            .map(|((step, at), end)| format!("{step} {:.1?}", end.saturating_duration_since(*at)))
            .collect();
        log::warn!("start: the start took {took:.1?}: {}", steps.join(", "));
    }
}
