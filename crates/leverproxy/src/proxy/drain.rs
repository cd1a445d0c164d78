//! Performs the actions of the drain state machine.

use super::state::Proxy;
use crate::pipeline::TimerKind;
use ::drain::{Action, Event, Phase};
use std::time::{Duration, Instant};

/// Interval of retries if the listener can't be opened again after a drain.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_secs(1);

impl Proxy {
    /// Notifies the drain state machine when the proxy becomes idle or busy. Idle: no clients and no open requests.
    pub(super) fn update_idle(&mut self, now: Instant) {
        let is_idle =
            self.io.downstream.client_count() == 0 && self.pipeline.open_request_count() == 0;
        if is_idle != self.is_idle {
            self.is_idle = is_idle;
            self.handle_drain_event(Event::IdleChanged(is_idle), now);
        }
    }

    /// Opens the listener for clients again after a drain; retries until it succeeds.
    pub(super) fn listen_again(&mut self, now: Instant) {
        let io = &mut self.io;
        if io.downstream.listen_again(now, &io.reactor).is_err() {
            io.timers
                .set(now + LISTEN_RETRY_INTERVAL, TimerKind::RetryAccept);
        }
    }

    pub(super) fn handle_drain_event(&mut self, event: Event, now: Instant) {
        let mut actions = Vec::new();
        let elapsed = now.saturating_duration_since(self.started_at);
        self.drain.handle(elapsed, event, &mut actions);
        for action in actions {
            self.perform_drain_action(action, now);
        }
        if let Some(members) = &mut self.members {
            members.set_serving(self.drain.phase() == Phase::Serving, now);
        }
        self.io.health.publish(&self.pipeline.monitor.status());
        if let Some(due) = self.drain.next_deadline() {
            self.io.timers.set(self.started_at + due, TimerKind::Drain);
        }
    }

    fn perform_drain_action(&mut self, action: Action, now: Instant) {
        let monitor = &mut self.pipeline.monitor;
        match action {
            Action::AnnounceDrain if self.drain.is_terminating() => {
                monitor.handle(now, availability::Event::Stop);
            }
            Action::AnnounceDrain => monitor.handle(now, availability::Event::Drain),
            Action::RetractDrain => monitor.handle(now, availability::Event::Undrain),
            Action::LimitDeadlines(end) => {
                monitor.handle(now, availability::Event::Stop);
                self.pipeline
                    .set_termination_deadline(self.started_at + end);
            }
            Action::StopListening => {
                self.io.downstream.start_draining(now, &self.io.reactor);
                // Clients that were queued at the listener are connected now.
                self.is_idle = false;
            }
            Action::StartListening => self.listen_again(now),
            Action::AbortOutstanding => self.pipeline.fail_open_requests(&mut self.io, now),
            Action::Exit => self.terminated = true,
        }
    }
}
