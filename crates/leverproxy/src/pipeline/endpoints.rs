//! Endpoint updates of discovery, and the operators' manual exclusions.

use super::io_endpoints::IoEndpoints;
use super::state::Pipeline;
use crate::discovery::directory::Change;
use crate::discovery::wire::Listing;
use crate::discovery::News;
use maintenance::{Hand, Unknown};
use routing::{EndpointUpdate, Event, ServerId};
use std::net::SocketAddr;
use std::time::Instant;

impl Pipeline {
    /// Loads the endpoint list as it was last known, before any event.
    pub fn load_endpoints(&mut self, known: Listing, io: &mut IoEndpoints, now: Instant) {
        let listing = Listing {
            snapshot: true,
            ..known
        };
        let (update, changes) = self.directory.learn(listing, &self.names);
        let update = match update {
            EndpointUpdate::Snapshot(entries) => EndpointUpdate::Cached(entries),
            other => other,
        };
        self.apply_endpoint_update(update, changes, io, now);
    }

    /// Checks the watch on discovery.
    pub fn check_discovery(&mut self, io: &mut IoEndpoints, now: Instant) {
        let index = self.directory.index();
        io.discovery.check(index, now, &io.reactor);
    }

    /// Whether discovery pushes the list: then the watch stays open whatever the decision module asks for.
    pub fn set_endpoint_push(&mut self, pushed: bool, io: &mut IoEndpoints, now: Instant) {
        let index = self.directory.index();
        io.discovery.set_pushed(pushed, index, now, &io.reactor);
    }

    /// Moves to another discovery address. What is known of the endpoints stays.
    pub fn set_discovery_address(
        &mut self,
        address: SocketAddr,
        io: &mut IoEndpoints,
        now: Instant,
    ) {
        let index = self.directory.index();
        io.discovery.move_to(address, index, now, &io.reactor);
    }

    pub(super) fn on_discovery_event(&mut self, event: News, io: &mut IoEndpoints, now: Instant) {
        let monitor = &mut self.monitor;
        match event {
            News::Heard => {
                monitor.event(now, availability::Event::ListHeard);
                if !std::mem::replace(&mut self.list_confirmed, true) {
                    // Nothing has changed since the list that this process started with.
                    let unchanged = EndpointUpdate::Changes(Vec::new());
                    self.decide(Event::Endpoints(unchanged), io, now);
                }
            }
            News::Listing(listing) => self.on_listing(listing, io, now),
            News::Lost => {
                monitor.list(false, now);
                monitor.event(now, availability::Event::Discovery { heard: false });
                self.counters.watches_lost += 1;
            }
            News::Failed => self.decide(Event::Endpoints(EndpointUpdate::Failed), io, now),
        }
    }

    fn on_listing(&mut self, listing: Listing, io: &mut IoEndpoints, now: Instant) {
        let discovery_heard = availability::Event::Discovery { heard: true };
        self.monitor.event(now, discovery_heard);
        self.monitor.event(now, availability::Event::ListHeard);
        self.counters.lists += 1;
        self.list_confirmed = true;
        let (update, changes) = self.directory.learn(listing, &self.names);
        self.apply_endpoint_update(update, changes, io, now);
        self.monitor.list(true, now);
    }

    /// Notifies the monitor and the upstream side, then the decision module: it learns of a list before the attempts
    /// that the list ends are reported to it.
    fn apply_endpoint_update(
        &mut self,
        update: EndpointUpdate,
        changes: Vec<Change>,
        io: &mut IoEndpoints,
        now: Instant,
    ) {
        self.notify_monitor(&update, &changes, now);
        for change in changes {
            match change {
                Change::Serves(server, address) => io.upstream.serves(server, address),
                Change::Leaves(server) => io.upstream.leaves(server, now),
            }
        }
        self.decide(Event::Endpoints(update), io, now);
    }

    fn notify_monitor(&mut self, update: &EndpointUpdate, changes: &[Change], now: Instant) {
        let (EndpointUpdate::Changes(entries)
        | EndpointUpdate::Snapshot(entries)
        | EndpointUpdate::Cached(entries)) = update
        else {
            return;
        };
        let is_listed = |server: &ServerId| entries.iter().any(|entry| entry.server == *server);
        let removed = changes.iter().filter_map(|change| match change {
            Change::Leaves(server) => Some(*server).filter(|server| !is_listed(server)),
            Change::Serves(..) => None,
        });
        self.monitor.listed(entries, removed, now);
    }

    /// Excludes a server by an operator's command, or includes it again.
    ///
    /// # Errors
    /// No endpoint has that name.
    pub fn set_manual_exclusion(
        &mut self,
        name: &str,
        excluded: bool,
        io: &mut IoEndpoints,
        now: Instant,
    ) -> Result<(), Unknown> {
        let unix = self.clock.unix(now);
        let changed = self.directory.hand(name, excluded, unix, &self.names)?;
        if let Some((update, changes)) = changed {
            self.monitor.hands(&update, now);
            self.apply_endpoint_update(update, changes, io, now);
        }
        Ok(())
    }

    /// Restores the manual exclusions of an earlier process, after the list that it had.
    pub fn restore_manual_exclusions(
        &mut self,
        exclusions: Vec<Hand>,
        io: &mut IoEndpoints,
        now: Instant,
    ) {
        for (update, changes) in self.directory.take_over(exclusions, &self.names) {
            self.monitor.hands(&update, now);
            self.apply_endpoint_update(update, changes, io, now);
        }
    }
}
