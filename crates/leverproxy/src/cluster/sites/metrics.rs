//! Sites in the metrics and in the status text.

use std::time::Duration;

use site_failover::{Report, SiteState};
use wire_admin::Metrics;

use super::Sites;

impl Sites {
    /// The status: a line for each site.
    pub fn status_text(&self, now: Duration, name: impl Fn(u16) -> String) -> String {
        let line = |report: Report| {
            format!(
                "site {} {} by {} for {} s, {} of {} up, headroom {:.0}%\n",
                name(report.site),
                report.state.name(),
                report.evidence.name(),
                now.saturating_sub(report.since).as_secs(),
                report.members - report.down,
                report.members,
                100.0 * self.plan.headroom(now, report.site),
            )
        };
        self.plan.reports().map(line).collect()
    }

    /// Adds the metrics.
    pub fn write_metrics(
        &self,
        now: Duration,
        figures: &mut Metrics,
        name: impl Fn(u16) -> String,
    ) {
        let reports: Vec<(String, Report)> = self
            .plan
            .reports()
            .map(|report| (name(report.site), report))
            .collect();
        let states = reports.iter().flat_map(|(name, report)| {
            SiteState::ALL.into_iter().map(|state| {
                let labels = vec![("site", name.as_str()), ("state", state.name())];
                (labels, u64::from(report.state == state))
            })
        });
        figures.add_labelled(
            "lb_site_state",
            "What this proxy knows of each site.",
            states,
        );
        let headroom = reports.iter().map(|(name, report)| {
            let thousandths = 1_000.0 * self.plan.headroom(now, report.site);
            (vec![("site", name.as_str())], thousandths as u64)
        });
        figures.add_labelled(
            "lb_site_headroom",
            "Of a thousand parts of the worth asked for, those served if the site went now.",
            headroom,
        );
        let losses = reports
            .iter()
            .map(|(name, report)| (vec![("site", name.as_str())], report.losses));
        figures.add_labelled(
            "lb_site_losses_total",
            "How often this proxy lost a site.",
            losses,
        );
    }
}
