//! Passes events to the decision module, and performs its actions.

use super::io::Io;
use super::send;
use super::state::Pipeline;
use super::timer_kind::TimerKind;
use crate::event_loop::timers::deadline_after;
use crate::request::{Answer, Purpose};
use routing::{Action, Event, RequestId, ServerId};
use std::time::{Duration, Instant};

/// Minimum interval between reads of the operating system's estimate of its clock error.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(10);

impl Pipeline {
    /// Passes an event to the decision module and performs its actions. Both are logged at trace level, in the format
    /// that tools for analysing many proxies read.
    pub(super) fn decide(&mut self, event: Event, io: &mut Io, now: Instant) {
        log::trace!("event {event:?}");
        self.update_clock_lead(now);
        for action in self.route.decide(self.clock.unix_time(now), event) {
            log::trace!("action {action:?}");
            self.perform(action, io, now);
        }
    }

    /// Updates the bound of the clock error, so that staleness bounds hold although the clock may be wrong.
    fn update_clock_lead(&mut self, now: Instant) {
        let is_fresh = |at| now.saturating_duration_since(at) < CLOCK_CHECK_INTERVAL;
        if !self.clock_checked_at.is_some_and(is_fresh) {
            self.clock_checked_at = Some(now);
            self.clock_skew
                .observe_system_clock(self.clock.system_lead());
        }
        let lead = self.clock_skew.lead(self.clock.unix_time(now));
        self.route.set_lead(lead);
    }

    fn perform(&mut self, action: Action, io: &mut Io, now: Instant) {
        match action {
            Action::Send {
                id,
                server,
                timeout,
                begin_within,
            } => self.send_attempt(id, server, (timeout, begin_within), io, now),
            Action::Probe { server } => self.send_probe(server, io, now),
            Action::Cancel { id, attempt } => {
                io.upstream.cancel(Purpose::Attempt(id, attempt), now)
            }
            Action::Reject { id, retry_after } => {
                self.monitor.record_attempted_or_rejected(id, true);
                self.give_up(id, Answer::Rejected(retry_after), io, now);
            }
            Action::Fail { id } => {
                self.monitor.record_attempted_or_rejected(id, false);
                self.give_up(id, Answer::Failed, io, now);
            }
            Action::Timer { after, token } => {
                io.timers
                    .set_single(deadline_after(now, after), TimerKind::Router(token.0));
            }
            Action::PollEndpoints => {
                let index = self.directory.index();
                io.discovery.poll(index, now, &io.reactor);
            }
        }
    }

    /// `limits`: the time to wait for the answer, and the time that the attempt may wait for its connection.
    fn send_attempt(
        &mut self,
        id: RequestId,
        server: ServerId,
        limits: (Duration, Duration),
        io: &mut Io,
        now: Instant,
    ) {
        self.monitor.record_attempted_or_rejected(id, false);
        let Some(open) = self.open_requests.get_mut(id) else {
            return;
        };
        let exchange = send::attempt(id, open, limits.0, limits.1, now);
        self.monitor.exchange_started(Some(open.group), server, now);
        io.upstream.start(server, exchange, now, &io.reactor);
    }

    fn send_probe(&mut self, server: ServerId, io: &mut Io, now: Instant) {
        self.counters.probe_sent();
        self.monitor.exchange_started(None, server, now);
        let exchange = send::probe(self.probe_timeout, now);
        io.upstream.start(server, exchange, now, &io.reactor);
    }

    /// Dials a server that does not answer, to find out whether its network link has failed.
    pub fn probe_reachability(&mut self, io: &mut Io, now: Instant) {
        let server = self
            .monitor
            .server_to_dial(|server| io.upstream.may_probe_reachability(server));
        if let Some(server) = server {
            io.upstream.probe_reachability(server, now, &io.reactor);
        }
    }
}
