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
        let is = phase_name(status.phase);
        let phase = phases.map(|name| (vec![("phase", name)], u64::from(name == is)));
        figures.add_labelled("lb_rollout_phase", "How far the rollout has come.", phase);
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
                "Of the proposal.",
                status.proposal.as_ref().map_or(0, |p| p.epoch),
            ),
            (
                "lb_rollout_region",
                "The region that it has come to, from 1.",
                stage,
            ),
            (
                "lb_rollout_new",
                "Whether the new version runs here.",
                u64::from(new),
            ),
            (
                "lb_rollout_can_run",
                "Whether it could run here.",
                u64::from(ready == Some(&Readiness::Ready)),
            ),
            (
                "lb_rollout_cannot_run",
                "Proxies that say they can't run it.",
                unable as u64,
            ),
            (
                "lb_rollout_windows_total",
                "Comparisons of both versions.",
                status.evidence.windows,
            ),
            (
                "lb_rollout_superseded_total",
                "Proposals that gave way to another.",
                status.superseded_proposals,
            ),
            (
                "lb_rollout_malformed_total",
                "Facts that could not be read.",
                status.malformed_facts,
            ),
            (
                "lb_rollout_state_unread",
                "Whether this process began without the state that was kept: it could not be read.",
                u64::from(self.state_unreadable || status.state_unreadable),
            ),
            (
                "lb_rollout_state_unkept",
                "Whether its state can't be kept at present.",
                u64::from(status.persisting_fails),
            ),
            (
                "lb_rollout_runs_failed_total",
                "Versions that could not be read here.",
                self.failed_versions,
            ),
        ] {
            figures.add(name, help, value);
        }
    }
}
