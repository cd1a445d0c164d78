//! The list of endpoints and its way to the proxies.

use super::*;

impl Simulation<'_> {
    pub(super) fn list(&mut self, event: catalog::Event) {
        let mut actions = Vec::new();
        self.list.handle(self.now, event, &mut actions);
        for action in actions {
            let proxy = match &action {
                catalog::Action::DueAt(at) => {
                    self.wheel.put(*at, Step::List);
                    continue;
                }
                catalog::Action::Update { caller, .. } | catalog::Action::Fail(caller) => *caller,
            };
            let from = Location {
                place: LIST_PLACE,
                proxy: None,
            };
            let epoch = self.hosts[proxy].epoch;
            if let Some(delay) =
                self.network
                    .one_way(from, self.spot(proxy), &mut self.network_draws)
            {
                self.wheel.put(
                    self.now + delay,
                    Step::EndpointUpdate {
                        proxy,
                        epoch,
                        update: Box::new(action),
                    },
                );
            }
        }
    }

    pub(super) fn endpoints_received(&mut self, proxy: usize, update: catalog::Action) {
        let event = match update {
            catalog::Action::Update {
                index,
                complete,
                records,
                ..
            } => {
                let host = &mut self.hosts[proxy];
                host.index = index;
                host.learn(&records, complete);
                records
                    .iter()
                    .for_each(|r| self.cold.notified(proxy, r.server, r.started));
                let entries: Vec<_> = records.iter().map(|r| endpoint(r, time)).collect();
                for entry in &entries {
                    let leaving = entry.state != EndpointState::Ready;
                    self.checker.notified(
                        proxy,
                        host::server_index(entry.server),
                        leaving,
                        self.now,
                    );
                }
                match complete {
                    true => EndpointUpdate::Snapshot(entries),
                    false => EndpointUpdate::Changes(entries),
                }
            }
            catalog::Action::Fail(_) => EndpointUpdate::Failed,
            catalog::Action::DueAt(_) => return,
        };
        self.deliver(proxy, Event::Endpoints(event));
    }

    /// A proxy begins, with the list as it was at the start of the run.
    pub(super) fn start(&mut self, proxy: usize) {
        let records: Vec<catalog::Record> = self.list.records().collect();
        let host = &mut self.hosts[proxy];
        host.policy = Some((self.policy)(proxy, host.epoch, &self.streams));
        host.index = self.list.index();
        host.learn(&records, true);
        self.join(proxy);
        records
            .iter()
            .for_each(|r| self.cold.notified(proxy, r.server, r.started));
        let entries = records
            .iter()
            .filter(|r| r.status != Status::Gone)
            .map(|r| endpoint(r, time))
            .collect();
        self.deliver(proxy, Event::Endpoints(EndpointUpdate::Cached(entries)));
    }
}
