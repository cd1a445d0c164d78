//! Health checks of servers.

use super::*;

impl Simulation<'_> {
    pub(super) fn probe(&mut self, proxy: usize, to: ServerId) {
        let server = host::server_index(to);
        self.tally.counts().probes += 1;
        self.next += 1;
        let (probe, epoch) = (self.next, self.hosts[proxy].epoch);
        self.probes.insert(
            probe,
            Probe {
                server,
                proxy,
                epoch,
                sent: self.now,
            },
        );
        if let Some(delay) = self.delay_to_server(proxy, server) {
            self.wheel.put(self.now + delay, Step::ProbeReached(probe));
        }
        let at = self.now + self.scenario.platform.dial_wait;
        self.wheel.put(
            at,
            Step::ProbeEnded {
                probe,
                report: None,
            },
        );
    }

    pub(super) fn probe_ended(&mut self, number: u64, report: Option<site::LoadReport>) {
        let Some(Probe {
            server,
            proxy,
            epoch,
            sent,
        }) = self.probes.remove(&number)
        else {
            return;
        };
        if self.hosts[proxy].epoch != epoch {
            return;
        }
        let ok = report.is_some();
        let report = report.map_or(LoadReport::default(), |r| LoadReport {
            position: Some(time(r.position)),
            primary: Some(r.primary),
            in_flight: Some(r.in_flight as f64),
            queued: Some(r.queued as f64),
        });
        let elapsed = span(self.now - sent);
        self.deliver(
            proxy,
            Event::ProbeEnded {
                server: server_id(server),
                ok,
                elapsed,
                report,
            },
        );
    }
}
