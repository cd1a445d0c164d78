//! Probing: when a server is probed for its position or role.
//!
//! Only a queued request causes a probe. Otherwise the number of probes would be members times routers, and the results
//! would be outdated before a router with little traffic used them. For a position, the server with the lowest cost is
//! probed, each at most once in `Tuning::probe_interval` of the tightest staleness bound. To find the primary, the
//! member of the group with the oldest probe is probed. Roles change slowly and are probed less often: a probe at every
//! dispatch would cost most where connects fail. Probing costs most where round trips are long.

use crate::averages::exponential_average;
use crate::interface::*;
use crate::state::{Router, Server};
use std::time::Duration;

impl Router {
    /// Probes this member for its position. Without a member, probes the one with the oldest probe to find the primary.
    pub(crate) fn probe(
        &mut self,
        group: GroupId,
        member: Option<ServerId>,
        actions: &mut Vec<Action>,
    ) {
        let target = match member {
            Some(id) => Some(id).filter(|id| self.may_be_probed(id, self.position_interval())),
            None => self.longest_unprobed(group),
        };
        let Some(id) = target.filter(|_| self.settings.may_probe) else {
            return;
        };
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.probe_in_flight = true;
        server.last_probed = self.now;
        actions.push(Action::Probe { server: id });
    }

    fn longest_unprobed(&self, group: GroupId) -> Option<ServerId> {
        let interval = self.tightest_staleness_bound.max(self.tightest_objective);
        self.members(group)
            .iter()
            .filter(|id| self.may_be_probed(id, interval))
            .min_by_key(|id| self.servers[id].last_probed)
            .copied()
    }

    fn position_interval(&self) -> Duration {
        self.tightest_staleness_bound
            .mul_f64(self.tuning.probe_interval)
    }

    fn may_be_probed(&self, id: &ServerId, interval: Duration) -> bool {
        let server = &self.servers[id];
        let is_due =
            server.last_probed == Time::ZERO || self.now.since(server.last_probed) >= interval;
        is_due
            && !server.probe_in_flight
            && !server.is_backed_off(self.now)
            && !server.is_draining()
    }

    pub(crate) fn on_probe_ended(
        &mut self,
        id: ServerId,
        ok: bool,
        report: LoadReport,
        actions: &mut Vec<Action>,
    ) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.probe_in_flight = false;
        if !ok {
            return self.back_off(id);
        }
        server.apply_report(report, self.now);
        if let (Some(true), Some(position)) = (report.primary, report.position) {
            let age = self.now.since(position);
            let weight = self.tuning.sample_weight;
            self.report_age = exponential_average(self.report_age, age, weight);
        }
        self.dispatch_queued(id, actions);
    }
}

impl Server {
    fn apply_report(&mut self, report: LoadReport, now: Time) {
        self.last_response = Some(now);
        self.end_backoff();
        if let Some(position) = report.position {
            self.report_position(position, now);
        }
        if let Some(is_primary) = report.primary {
            // A report is at most as old as its position. The position of a primary is the time of the report.
            let as_of = report.position.unwrap_or(self.last_probed);
            self.report_role(is_primary, as_of);
        }
    }
}
