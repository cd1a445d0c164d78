//! Table of sites for operators: the state of each site, and the forecast of its loss.

use std::time::Duration;

use site_failover::{LossForecast, QuotaStatus, Report, ShedKind};

use super::Sites;

/// Maximum number of request kinds shown for each site.
const MAX_KINDS_SHOWN: usize = 20;
/// Minimum fraction of shed requests that is shown.
const MIN_FRACTION_SHOWN: f64 = 0.005;

const SITES_HEADER: [&str; 9] = [
    "site",
    "state",
    "by",
    "for",
    "up",
    "headroom",
    "reads left/asked",
    "writes left/asked",
    "load goes to",
];
const SHED_HEADER: [&str; 5] = ["without", "class", "tenant", "quota", "refused"];

type Row = Vec<String>;

fn header_row<const N: usize>(cells: [&str; N]) -> Row {
    cells.map(str::to_owned).to_vec()
}

impl Sites {
    /// The table of all sites, or of the requested site. `zone` returns the name of a site.
    pub fn table(
        &self,
        now: Duration,
        requested_site: Option<&str>,
        zone: impl Fn(u16) -> String,
        [classes, tenants]: [&[String]; 2],
    ) -> String {
        let mut all: Vec<(String, Report)> = self
            .plan
            .reports()
            .map(|report| (zone(report.site), report))
            .collect();
        if let Some(requested_site) = requested_site {
            if !all.iter().any(|(name, _)| name == requested_site) {
                return unknown_site(requested_site, &all);
            }
            all.retain(|(name, _)| name == requested_site);
        }
        if all.is_empty() {
            return "no sites to report: site failover needs at least two sites\n".into();
        }
        let mut sites = vec![header_row(SITES_HEADER)];
        let mut shed = vec![header_row(SHED_HEADER)];
        for (name, report) in &all {
            let forecast = self.plan.forecast_loss(now, report.site);
            sites.push(site_row(now, name, report, &forecast, &zone));
            let shown = forecast
                .shed
                .iter()
                .filter(|kind| kind.fraction >= MIN_FRACTION_SHOWN)
                .take(MAX_KINDS_SHOWN);
            shed.extend(shown.map(|kind| shed_row(name, kind, classes, tenants)));
        }
        let shed = if shed.len() > 1 {
            align_columns(&shed)
        } else {
            String::new()
        };
        let level = format!(
            "refused now for a lost site: {} of the work of reads\n",
            percent(self.plan.shed_level())
        );
        [align_columns(&sites), shed, level].concat()
    }
}

fn unknown_site(requested_site: &str, sites: &[(String, Report)]) -> String {
    let known: Vec<&str> = sites.iter().map(|(name, _)| name.as_str()).collect();
    let known = if known.is_empty() {
        "none, as there are fewer than two".into()
    } else {
        known.join(", ")
    };
    format!("error: there is no site {requested_site:?}; known sites: {known}\n")
}

/// Row of the table of sites. Reads and writes are in cores: seconds of work per second.
fn site_row(
    now: Duration,
    name: &str,
    report: &Report,
    forecast: &LossForecast,
    zone: impl Fn(u16) -> String,
) -> Row {
    let destinations: Vec<String> = forecast
        .destinations
        .iter()
        .map(|(site, fraction)| format!("{} {}", zone(*site), percent(*fraction)))
        .collect();
    let [reads, writes] = [0, 1].map(|at| {
        format!(
            "{:.2}/{:.2}",
            forecast.capacity_left[at], forecast.requested[at]
        )
    });
    vec![
        name.to_owned(),
        report.state.name().into(),
        report.evidence.name().into(),
        format!("{} s", now.saturating_sub(report.since).as_secs()),
        format!("{}/{}", report.members - report.down, report.members),
        percent(forecast.headroom),
        reads,
        writes,
        if destinations.is_empty() {
            "nowhere".into()
        } else {
            destinations.join(", ")
        },
    ]
}

fn shed_row(site: &str, kind: &ShedKind, classes: &[String], tenants: &[String]) -> Row {
    let name = |names: &[String], index: u16| {
        let name = names.get(usize::from(index));
        name.map_or("-", |name| name).to_owned()
    };
    let quota_status = match kind.quota_status {
        QuotaStatus::WithinQuota => "within",
        QuotaStatus::Borrowed => "borrowed",
        QuotaStatus::OverQuota => "beyond",
    };
    vec![
        site.to_owned(),
        name(classes, kind.class),
        name(tenants, kind.tenant),
        quota_status.into(),
        percent(kind.fraction),
    ]
}

fn percent(fraction: f64) -> String {
    format!("{:.0}%", 100.0 * fraction)
}

fn align_columns(rows: &[Row]) -> String {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |row: &Row, index: usize| row.get(index).map_or(0, |text| text.chars().count());
    let widths: Vec<usize> = (0..count)
        .map(|at| rows.iter().map(|row| width(row, at)).max().unwrap_or(0))
        .collect();
    let line = |row: &Row| {
        let cells: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(text, width)| format!("{text:width$}"))
            .collect();
        format!("{}\n", cells.join("  ").trim_end())
    };
    rows.iter().map(line).collect()
}
