//! Metrics served on the admin address.

use super::state::Proxy;
use std::time::Instant;
use wire_admin::{Answer, Metrics};

impl Proxy {
    /// All metrics of the process, in the text format of the admin API.
    pub(super) fn metrics(&self, now: Instant) -> Answer {
        let mut figures = Metrics::default();
        self.add_request_metrics(&mut figures);
        self.add_process_metrics(&mut figures, now);
        self.add_table_metrics(&mut figures);
        if let Some(members) = &self.members {
            members.write_metrics(now, &mut figures);
        }
        if let Some(lending) = &self.pipeline.quota.lending {
            lending.write_metrics(now, &mut figures);
        }
        self.pipeline.monitor.write_site_metrics(now, &mut figures);
        if let Some(rollout) = &self.rollout {
            rollout.write_metrics(&mut figures);
        }
        if let Some(saved_state) = &self.saved_state {
            saved_state.write_metrics(&mut figures);
        }
        figures.answer()
    }

    fn add_request_metrics(&self, figures: &mut Metrics) {
        let counters = &self.pipeline.counters;
        let requests = counters.requests().flat_map(|(class, outcomes)| {
            let labelled = move |(kind, n)| (vec![("class", class), ("outcome", kind)], n);
            outcomes.into_iter().map(labelled)
        });
        figures.add_labelled(
            "lb_requests_total",
            "Requests answered, by class and outcome.",
            requests,
        );
    }

    /// Sizes of the tables that clients, servers and callers fill.
    fn add_table_metrics(&self, figures: &mut Metrics) {
        let routing = self.pipeline.routing_tables();
        let sizes = [
            ("clients", self.io.downstream.client_count()),
            ("upstream connections", self.io.upstream.connection_count()),
            ("request ids", self.pipeline.reserved_client_request_ids()),
            ("servers", routing.servers),
            ("groups", routing.groups),
            ("queued and open requests", routing.open_requests),
            ("sessions with writes", routing.session_writes),
            ("request timers", routing.timers),
            ("event loop timers", self.io.timers.len()),
        ];
        let labelled = sizes.map(|(table, size)| (vec![("table", table)], size as u64));
        figures.add_labelled(
            "lb_table_entries",
            "Entries of the tables that clients, record servers and discovery fill.",
            labelled,
        );
    }

    fn add_process_metrics(&self, figures: &mut Metrics, now: Instant) {
        let counters = &self.pipeline.counters;
        let (known, excluded) = self.pipeline.endpoint_counts(now);
        for (name, help, value) in [
            (
                "lb_attempts_total",
                "Attempts written completely to record servers.",
                self.io.upstream.attempts,
            ),
            (
                "lb_unrequested_responses_total",
                "Connections closed because their record server sent bytes that no request had asked for.",
                self.io.upstream.unrequested_responses,
            ),
            (
                "lb_in_flight",
                "Requests admitted and not yet answered.",
                self.pipeline.open_request_count() as u64,
            ),
            (
                "lb_request_memory_bytes",
                "Bytes that requests and their answers occupy, or that are set aside for answers.",
                self.io.downstream.memory().used() as u64,
            ),
            (
                "lb_clients_held_back",
                "Clients that are not read at present because requests and answers occupy too much memory.",
                self.io.downstream.held_back_count() as u64,
            ),
            (
                "lb_record_servers_known",
                "Record servers in the endpoint list.",
                known as u64,
            ),
            (
                "lb_record_servers_excluded",
                "Record servers in the endpoint list that currently get no requests: draining, excluded or backed off.",
                excluded as u64,
            ),
            (
                "lb_record_servers_unreadable",
                "Entries of the last endpoint list that could not be read.",
                counters.unreadable_endpoints,
            ),
            (
                "lb_reloads_ok_total",
                "Configurations applied at SIGHUP.",
                counters.reloads,
            ),
            (
                "lb_reloads_failed_total",
                "Configurations rejected at SIGHUP.",
                counters.reloads_failed,
            ),
        ] {
            figures.add(name, help, value);
        }
    }
}
