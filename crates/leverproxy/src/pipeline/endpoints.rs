//! Endpoint updates from discovery, and manual exclusions by operators.

use super::io::Io;
use super::state::Pipeline;
use crate::discovery::directory::{DirectoryUpdate, ServerChange};
use crate::discovery::wire::EndpointList;
use crate::discovery::WatchEvent;
use maintenance::{ManualExclusion, UnknownServer};
use routing::{EndpointUpdate, Event, ServerId};
use std::net::SocketAddr;
use std::time::Instant;

impl Pipeline {
    /// Loads the last known endpoint list, before any event is handled.
    pub fn load_endpoints(&mut self, known: EndpointList, io: &mut Io, now: Instant) {
        let list = EndpointList {
            snapshot: true,
            ..known
        };
        let mut update = self.directory.apply(list, &self.names);
        update.endpoints = match update.endpoints {
            EndpointUpdate::Snapshot(entries) => EndpointUpdate::Cached(entries),
            other => other,
        };
        self.apply_endpoint_update(update, io, now);
    }

    /// Checks the watch on discovery.
    pub fn check_discovery(&mut self, io: &mut Io, now: Instant) {
        let index = self.directory.index();
        io.discovery.handle_timer(index, now, &io.reactor);
    }

    /// Sets whether discovery pushes the list: then the watch stays open even if the decision module does not subscribe.
    pub fn set_endpoint_push(&mut self, pushed: bool, io: &mut Io, now: Instant) {
        let index = self.directory.index();
        io.discovery.set_push_mode(pushed, index, now, &io.reactor);
    }

    /// Switches to another discovery address. The known endpoints are kept.
    pub fn set_discovery_address(&mut self, address: SocketAddr, io: &mut Io, now: Instant) {
        let index = self.directory.index();
        io.discovery.set_address(address, index, now, &io.reactor);
    }

    pub(super) fn on_discovery_event(&mut self, event: WatchEvent, io: &mut Io, now: Instant) {
        let monitor = &mut self.monitor;
        match event {
            WatchEvent::Unchanged => {
                monitor.handle(now, availability::Event::ListReceived);
                if !std::mem::replace(&mut self.list_confirmed, true) {
                    // The list that this process started with is still current.
                    let unchanged = EndpointUpdate::Changes(Vec::new());
                    self.decide(Event::Endpoints(unchanged), io, now);
                }
            }
            WatchEvent::List(list) => self.on_endpoint_list(list, io, now),
            WatchEvent::Lost => {
                monitor.list_updated(false, now);
                monitor.handle(now, availability::Event::Discovery { connected: false });
                self.counters.watches_lost += 1;
            }
            WatchEvent::CallFailed => {
                self.decide(Event::Endpoints(EndpointUpdate::Failed), io, now)
            }
        }
    }

    fn on_endpoint_list(&mut self, list: EndpointList, io: &mut Io, now: Instant) {
        let discovery_connected = availability::Event::Discovery { connected: true };
        self.monitor.handle(now, discovery_connected);
        self.monitor.handle(now, availability::Event::ListReceived);
        self.counters.lists += 1;
        self.list_confirmed = true;
        self.report_unreadable_endpoints(&list, now);
        let update = self.directory.apply(list, &self.names);
        self.apply_endpoint_update(update, io, now);
        self.monitor.list_updated(true, now);
    }

    fn report_unreadable_endpoints(&mut self, list: &EndpointList, now: Instant) {
        self.counters.unreadable_endpoints = list.unreadable.len() as u64;
        for entry in &list.unreadable {
            let (name, problem) = (entry.name.as_deref(), &entry.problem);
            self.unreadable_log.warn(now, || match name {
                Some(name) => format!(
                    "discovery: the entry of {name} can't be read ({problem}): its last known state is kept, and the other entries are applied"
                ),
                None => format!(
                    "discovery: an entry without a readable name is ignored ({problem}): the other entries are applied, and its \
                     server counts as removed if the list is complete"
                ),
            });
        }
    }

    /// Notifies the monitor and the upstream side, then the decision module, so that the decision module gets the list
    /// before the ends of attempts that the list causes.
    fn apply_endpoint_update(&mut self, update: DirectoryUpdate, io: &mut Io, now: Instant) {
        let DirectoryUpdate { endpoints, servers } = update;
        self.notify_monitor(&endpoints, &servers, now);
        for change in servers {
            match change {
                ServerChange::Available(server, address) => io.upstream.add_server(server, address),
                ServerChange::Unavailable(server) => io.upstream.remove_server(server, now),
            }
        }
        self.decide(Event::Endpoints(endpoints), io, now);
    }

    fn notify_monitor(&mut self, update: &EndpointUpdate, changes: &[ServerChange], now: Instant) {
        let (EndpointUpdate::Changes(entries)
        | EndpointUpdate::Snapshot(entries)
        | EndpointUpdate::Cached(entries)) = update
        else {
            return;
        };
        let is_listed = |server: &ServerId| entries.iter().any(|entry| entry.server == *server);
        let removed = changes.iter().filter_map(|change| match change {
            ServerChange::Unavailable(server) => Some(*server).filter(|server| !is_listed(server)),
            ServerChange::Available(..) => None,
        });
        self.monitor.endpoints_updated(entries, removed, now);
    }

    /// Excludes a server on an operator's command, or includes it again.
    ///
    /// # Errors
    /// No endpoint has this name.
    pub fn set_manual_exclusion(
        &mut self,
        name: &str,
        excluded: bool,
        io: &mut Io,
        now: Instant,
    ) -> Result<(), UnknownServer> {
        let unix = self.clock.unix_time(now);
        let changed = self
            .directory
            .set_excluded(name, excluded, unix, &self.names)?;
        if let Some(update) = changed {
            self.monitor.servers_excluded(&update.endpoints, now);
            self.apply_endpoint_update(update, io, now);
        }
        Ok(())
    }

    /// Restores the manual exclusions of an earlier process. The endpoint list of that process must be loaded before.
    pub fn restore_manual_exclusions(
        &mut self,
        exclusions: Vec<ManualExclusion>,
        io: &mut Io,
        now: Instant,
    ) {
        for update in self.directory.restore_exclusions(exclusions, &self.names) {
            self.monitor.servers_excluded(&update.endpoints, now);
            self.apply_endpoint_update(update, io, now);
        }
    }
}
