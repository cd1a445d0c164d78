//! Metrics and status text of sites.

use std::time::Duration;

use site_failover::{Report, SiteState};
use wire_admin::Metrics;

use super::Sites;

impl Sites {
    /// Status text for operators: a line for each site. `name` returns the name of a site.
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

    /// Writes all metrics of sites. `name` returns the name of a site.
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
            "State of each site as seen by this proxy.",
            states,
        );
        let headroom = reports.iter().map(|(name, report)| {
            let thousandths = 1_000.0 * self.plan.headroom(now, report.site);
            (vec![("site", name.as_str())], thousandths as u64)
        });
        figures.add_labelled(
            "lb_site_headroom",
            "Thousandths of the requested priority weight that could still be served if the site failed now.",
            headroom,
        );
        let losses = reports
            .iter()
            .map(|(name, report)| (vec![("site", name.as_str())], report.losses));
        figures.add_labelled(
            "lb_site_losses_total",
            "Times that this proxy has detected the loss of the site.",
            losses,
        );
    }
}
