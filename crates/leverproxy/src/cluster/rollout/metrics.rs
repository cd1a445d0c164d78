//! Metrics of a rollout.

use super::phase_names::phase_name;
use super::Rollout;
use ::rollout::{Phase, Readiness, Status};
use wire_admin::Metrics;

impl Rollout {
    /// Writes all metrics of the rollout.
    pub fn write_metrics(&self, figures: &mut Metrics) {
        let status = self.core.status();
        let phases = [
            "idle", "proposed", "canary", "region", "whole", "halted", "returned",
        ];
        let current_phase = phase_name(status.phase);
        let phase = phases.map(|name| (vec![("phase", name)], u64::from(name == current_phase)));
        figures.add_labelled("lb_rollout_phase", "Phase of the rollout.", phase);
        self.write_totals(&status, figures);
    }

    fn write_totals(&self, status: &Status, figures: &mut Metrics) {
        let new = status
            .proposal
            .as_ref()
            .is_some_and(|p| p.hash == status.running_version);
        let stage = match status.phase {
            Phase::Region(at) => at as u64 + 1,
            _ => 0,
        };
        let ready = status
            .members
            .iter()
            .find(|(name, _)| *name == self.name)
            .map(|(_, vote)| &vote.readiness);
        let unable = status
            .members
            .iter()
            .filter(|(_, vote)| matches!(vote.readiness, Readiness::Unable(_)))
            .count();
        for (name, help, value) in [
            (
                "lb_rollout_epoch",
                "Epoch of the current proposal.",
                status.proposal.as_ref().map_or(0, |p| p.epoch),
            ),
            (
                "lb_rollout_region",
                "Number of the region in rollout, from 1; 0 outside of a region stage.",
                stage,
            ),
            (
                "lb_rollout_new",
                "Whether this proxy runs the new version.",
                u64::from(new),
            ),
            (
                "lb_rollout_can_run",
                "Whether this proxy can run the new version.",
                u64::from(ready == Some(&Readiness::Ready)),
            ),
            (
                "lb_rollout_cannot_run",
                "Proxies that report that they can't run the new version.",
                unable as u64,
            ),
            (
                "lb_rollout_windows_total",
                "Windows in which both versions were compared.",
                status.evidence.windows,
            ),
            (
                "lb_rollout_superseded_total",
                "Proposals superseded by another proposal.",
                status.superseded_proposals,
            ),
            (
                "lb_rollout_malformed_total",
                "Rollout messages that could not be decoded.",
                status.malformed_facts,
            ),
            (
                "lb_rollout_state_unread",
                "Whether this process started without the saved state, because it could not be read.",
                u64::from(self.state_unreadable || status.state_unreadable),
            ),
            (
                "lb_rollout_state_unkept",
                "Whether the rollout state currently can't be saved.",
                u64::from(status.persisting_fails),
            ),
            (
                "lb_rollout_runs_failed_total",
                "Versions that could not be read or run here.",
                self.failed_versions,
            ),
        ] {
            figures.add(name, help, value);
        }
    }
}
