//! Handlers of due timers, by kind.

use super::state::Proxy;
use crate::health::monitor;
use crate::persistence::saved_state;
use crate::pipeline::{quota, TimerKind};
use std::time::Instant;

impl Proxy {
    pub(super) fn on_timer(&mut self, timer: TimerKind, now: Instant) {
        let (pipeline, io) = (&mut self.pipeline, &mut self.io);
        match timer {
            TimerKind::Router(token) => pipeline.on_router_timer(token, io, now),
            TimerKind::Upstream(timer) => io.upstream.handle_timer(timer, now, &io.reactor),
            TimerKind::ResponseOrder(slot) => pipeline.end_requests_before(slot, io, now),
            TimerKind::CheckDiscovery => pipeline.check_discovery(io, now),
            TimerKind::CloseExpired => self.close_expired(now),
            TimerKind::RetryAccept if io.downstream.is_listener_missing() => self.listen_again(now),
            TimerKind::RetryAccept => io.downstream.resume_accept(&io.reactor),
            TimerKind::MeasureLoad => self.measure_load(now),
            TimerKind::Drain => self.handle_drain_event(::drain::Event::Tick, now),
            TimerKind::Members(token) => self.on_members_timer(token, now),
            TimerKind::Rollout => self.check_rollout(now),
            TimerKind::Quota => self.check_quota(now),
            TimerKind::Persist => self.on_persist_timer(now),
        }
        self.pipeline.process_events(&mut self.io, now);
    }

    /// Closes every connection that has exceeded its time limit.
    fn close_expired(&mut self, now: Instant) {
        let io = &mut self.io;
        let next_check = io.downstream.close_expired(now, &io.reactor);
        io.health.close_slow(now, &io.reactor);
        if let Some(control_socket) = &mut io.control_socket {
            control_socket.close_expired(now);
        }
        if let Some(admin) = &mut io.admin {
            admin.close_expired(now);
        }
        io.timers.set(next_check, TimerKind::CloseExpired);
    }

    fn measure_load(&mut self, now: Instant) {
        self.pipeline.monitor.sample_load(self.usage(), now);
        self.io.health.publish(&self.pipeline.monitor.status());
        if self.probes_reachability {
            self.pipeline.probe_reachability(&mut self.io, now);
        }
        self.io
            .timers
            .set(now + monitor::SAMPLE_INTERVAL, TimerKind::MeasureLoad);
    }

    fn on_members_timer(&mut self, token: u64, now: Instant) {
        if let Some(members) = &mut self.members {
            members.on_timer(token, now, &self.io.reactor);
        }
    }

    fn check_quota(&mut self, now: Instant) {
        if let Some(members) = &mut self.members {
            self.pipeline.quota.poll(members, now);
            self.io
                .timers
                .set(now + quota::POLL_INTERVAL, TimerKind::Quota);
        }
    }

    fn on_persist_timer(&mut self, now: Instant) {
        self.persist(now);
        self.io
            .timers
            .set(now + saved_state::CHECK_INTERVAL, TimerKind::Persist);
    }
}
