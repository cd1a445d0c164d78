//! Handles the queued events of clients, servers and discovery in a fixed order.

use super::io::Io;
use super::state::Pipeline;
use super::timer_kind::TimerKind;
use crate::downstream;
use routing::{Event, TimerToken};
use std::time::Instant;

/// Maximum number of clients that are read again in one round of the event loop.
const MAX_RESUMED_PER_ROUND: usize = 16;

impl Pipeline {
    /// Handles all queued events, and sets the timers that the upstream side and discovery request.
    pub fn process_events(&mut self, io: &mut Io, now: Instant) {
        while self.process_next_event(io, now) {}
        for (at, timer) in io.upstream.take_timers() {
            io.timers.set_single(at, TimerKind::Upstream(timer));
        }
        if let Some(at) = io.discovery.next_timer() {
            io.timers.set(at, TimerKind::CheckDiscovery);
        }
    }

    /// Reads clients that were held back for lack of memory. What one sends is admitted before the next is read, as its
    /// commands take up memory. To be called once in a round of the event loop: clients that send at full speed are held
    /// back again and again.
    pub fn resume_held_back(&mut self, io: &mut Io, now: Instant) {
        for _ in 0..MAX_RESUMED_PER_ROUND {
            if !io.downstream.resume_held_back(now, &io.reactor) {
                return;
            }
            self.process_events(io, now);
        }
        io.downstream.resume_held_back_later(&io.reactor);
    }

    /// Handles the next event; false if there was none. Health signals and endpoint lists are handled first, then
    /// servers' answers, then clients: a request is routed with the latest state.
    fn process_next_event(&mut self, io: &mut Io, now: Instant) -> bool {
        if let Some(signal) = io.upstream.pop_signal() {
            self.monitor.handle_signal(signal, now);
        } else if let Some(event) = io.discovery.pop_event() {
            self.on_discovery_event(event, io, now);
        } else if let Some(chunk) = io.upstream.pop_chunk() {
            self.on_response_chunk(chunk, io, now);
        } else if let Some(stalled) = io.upstream.pop_stalled() {
            self.on_attempt_stalled(stalled, io, now);
        } else if let Some(completed) = io.upstream.pop_completed() {
            self.on_exchange_completed(completed, io, now);
        } else if let Some(event) = io.downstream.next_event() {
            self.on_downstream_event(event, io, now);
        } else {
            return false;
        }
        true
    }

    fn on_downstream_event(&mut self, event: downstream::Event, io: &mut Io, now: Instant) {
        match event {
            downstream::Event::Request(slot, request) => self.on_request(slot, request, io, now),
            downstream::Event::ClientLeft(slot) => self.on_client_left(slot, io, now),
            downstream::Event::Cancelled(slot) => self.on_cancelled(slot, io, now),
            downstream::Event::Writable(slot) => self.on_client_writable(slot, io, now),
        }
    }

    /// A timer of the decision module is due.
    pub fn on_router_timer(&mut self, token: u32, io: &mut Io, now: Instant) {
        self.decide(Event::Timer(TimerToken(token)), io, now);
    }
}
