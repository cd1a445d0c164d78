//! Endpoint list: updates from discovery, drains, restarts, and the schedule of polls.
//!
//! Inputs: [`EndpointUpdate`]s. A draining server gets no requests from the moment that this router receives the
//! update, well within the grace period (`Settings::drain_grace`). The same holds for a removed server, unless the
//! settings allow its use after a removal without a drain (`Settings::soft_removal`): then the router's own attempts
//! show whether it still serves.
//!
//! **Polling.** After a failed poll the next one follows after a backoff that doubles up to
//! [`discovery_schedule::MAX_RETRY_DELAY`]. One discovery service serves all routers. It handles calls in sequence and
//! spends time even on calls whose callers have given up. Routers that start together, or lose the list together, would
//! block each other indefinitely. Therefore the calls of a large fleet are spread over `POLL_SPACING` per router, as
//! far as the time allows within which a call has to be made. After the first failure a call comes at a random time in
//! that span, which gives each router its own slot. From the second failure on it comes late in the span, which keeps
//! the slots and makes the fewest calls.

use crate::interface::*;
use crate::slow_start_budget::SliceSpending;
use crate::state::{Group, Router, Server, TimerKind};
use crate::tuning::{MAX_DEPARTED_GROUPS, POLL_BACKOFF_UNIT, POLL_SLOT_FRACTION, POLL_SPACING};
use std::collections::BTreeSet;
use std::time::Duration;

impl Server {
    /// A draining server gets no more requests. The same holds for a removed one, unless removal is soft.
    fn set_state(&mut self, state: EndpointState, soft_removal: bool, now: Time) {
        self.state = state;
        match state {
            EndpointState::Ready => self.draining_since = None,
            EndpointState::Removed if soft_removal => {}
            EndpointState::Draining | EndpointState::Removed => {
                _ = self.draining_since.get_or_insert(now);
            }
        }
    }

    /// Handles a new incarnation. Role, ramp confidence, slow start and backoff are reset; position, run times and
    /// concurrency limit stay as initial estimates.
    fn restart(&mut self, started: Time) {
        self.started = started;
        self.role = self.role.filter(|role| role.as_of > started);
        self.ramp_confidence = 1.0;
        self.latency_updated = Time::ZERO;
        self.slow_start_spent = SliceSpending::default();
        self.end_backoff();
    }
}

impl Router {
    pub(crate) fn on_endpoint_update(&mut self, update: EndpointUpdate, actions: &mut Vec<Action>) {
        self.cached_since = None;
        if matches!(update, EndpointUpdate::Cached(_)) && self.settings.endpoints_are_polled {
            self.schedule_first_poll();
            self.cached_since = Some(self.now);
        }
        match update {
            EndpointUpdate::Failed => return self.on_poll_failure(),
            EndpointUpdate::Changes(endpoints) => self.apply_endpoints(endpoints),
            EndpointUpdate::Snapshot(endpoints) | EndpointUpdate::Cached(endpoints) => {
                self.remove_unlisted(&endpoints);
                self.apply_endpoints(endpoints);
            }
        }
        self.drop_departed_servers();
        self.rebuild_groups();
        for id in self.queue.iter().map(|queued| queued.2).collect::<Vec<_>>() {
            self.dispatch(id, actions);
        }
    }

    fn remove_unlisted(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<ServerId> = endpoints.iter().map(|e| e.server).collect();
        let soft_removal = self.settings.soft_removal;
        let unlisted = self
            .servers
            .iter_mut()
            .filter(|(id, _)| !listed.contains(id));
        for (_, server) in unlisted {
            server.set_state(EndpointState::Removed, soft_removal, self.now);
        }
    }

    fn apply_endpoints(&mut self, endpoints: Vec<Endpoint>) {
        self.poll_failures = 0;
        for endpoint in endpoints {
            self.apply_endpoint(endpoint);
        }
    }

    fn apply_endpoint(&mut self, endpoint: Endpoint) {
        let server = self
            .servers
            .entry(endpoint.server)
            .or_insert_with(|| Server {
                started: endpoint.started,
                run_time: vec![None; self.settings.classes.len()],
                concurrency_limit: self.tuning.initial_concurrency_limit,
                ramp_confidence: 1.0,
                ..Server::default()
            });
        server.set_state(endpoint.state, self.settings.soft_removal, self.now);
        if endpoint.started > server.started {
            server.restart(endpoint.started);
        }
        server.listed_primary = endpoint.primary;
        server.zone = endpoint.zone;
        server.group = endpoint.group;
    }

    /// Drops removed servers without attempts in flight. With soft removal, servers that were removed without a drain
    /// stay.
    fn drop_departed_servers(&mut self) {
        let soft_removal = self.settings.soft_removal;
        self.servers.retain(|_, server| {
            soft_removal && !server.is_draining()
                || server.state != EndpointState::Removed
                || !server.in_flight.is_empty()
        });
    }

    fn rebuild_groups(&mut self) {
        for group in self.groups.values_mut() {
            group.members.clear();
        }
        for (&id, server) in &self.servers {
            if server.state != EndpointState::Removed || self.settings.soft_removal {
                let group = self.groups.entry(server.group).or_default();
                group.members.push(id);
            }
        }
        self.drop_departed_groups();
        for (id, group) in &mut self.groups {
            let serving = group
                .members
                .iter()
                .filter(|id| !self.servers[id].is_draining());
            group.largest_size = group.largest_size.max(serving.count());
            // If all routers had the same order, those that know little of the members would crowd the first member.
            subsetting::order_by_preference(
                self.settings.router_index,
                id.0,
                &mut group.members,
                |server| server.0,
            );
        }
    }

    /// Drops groups whose servers have all left, beyond the number that is kept for their return.
    fn drop_departed_groups(&mut self) {
        let departed = |group: &Group| group.members.is_empty();
        let mut excess = self.groups.values().filter(|g| departed(g)).count();
        excess = excess.saturating_sub(MAX_DEPARTED_GROUPS);
        self.groups.retain(|_, group| {
            let is_dropped = excess > 0 && departed(group);
            excess -= usize::from(is_dropped);
            !is_dropped
        });
    }

    /// Whether the cached list of the previous process is too old to use: by now this router is expected to know of
    /// changes since then. If there is still no response after the notification deadline, discovery is unreachable and
    /// the cached list is used again, since no newer one exists.
    pub(crate) fn endpoints_are_outdated(&self) -> bool {
        let outdated =
            discovery_schedule::CACHED_LIST_LIFETIME..discovery_schedule::NOTIFICATION_DEADLINE;
        self.cached_since
            .is_some_and(|since| outdated.contains(&self.now.since(since)))
    }

    fn schedule_first_poll(&mut self) {
        let longest = discovery_schedule::first_poll_delay(self.settings.max_poll_interval);
        self.schedule_poll(Duration::ZERO, self.poll_spread(longest));
    }

    fn on_poll_failure(&mut self) {
        self.poll_failures += 1;
        // A shorter poll interval in the settings also limits the delay after a failure.
        let longest = discovery_schedule::MAX_RETRY_DELAY.min(self.settings.max_poll_interval);
        let backoff = (POLL_BACKOFF_UNIT * (1 << self.poll_failures.min(16))).min(longest);
        let latest = backoff.max(self.poll_spread(longest));
        let keeps_slot = self.poll_failures > 1;
        let earliest = if keeps_slot {
            latest.mul_f64(POLL_SLOT_FRACTION)
        } else {
            backoff / 2
        };
        self.schedule_poll(earliest, latest);
    }

    /// Span over which the polls of the fleet are spread.
    fn poll_spread(&self, longest: Duration) -> Duration {
        let small_fleet = self.tuning.small_fleet_size as u32;
        let others = self.settings.router_count.saturating_sub(small_fleet);
        (POLL_SPACING * others).min(longest)
    }

    fn schedule_poll(&mut self, earliest: Duration, latest: Duration) {
        let jitter = latest.saturating_sub(earliest).mul_f64(self.random_unit());
        let due = self.now.plus(earliest + jitter);
        self.timers.insert((due, TimerKind::PollEndpoints));
    }
}
