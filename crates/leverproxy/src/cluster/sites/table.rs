//! The operators' table of sites: their states, and what the loss of each would come to.

use std::time::Duration;

use site_failover::{LossForecast, QuotaStatus, Report, ShedKind};

use super::Sites;

/// Most kinds of requests named for each site.
const KINDS_SHOWN: usize = 20;
/// Smaller fractions that would be shed are not shown.
const LEAST_SHOWN: f64 = 0.005;

const SITES_HEAD: [&str; 9] = [
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
const SHED_HEAD: [&str; 5] = ["without", "class", "tenant", "quota", "refused"];

type Row = Vec<String>;

fn head<const N: usize>(cells: [&str; N]) -> Row {
    cells.map(str::to_owned).to_vec()
}

impl Sites {
    /// The table of all sites, or of the one named. `zone`: the name of a site.
    pub fn table(
        &self,
        now: Duration,
        named: Option<&str>,
        zone: impl Fn(u16) -> String,
        [classes, tenants]: [&[String]; 2],
    ) -> String {
        let mut all: Vec<(String, Report)> = self
            .plan
            .reports()
            .map(|report| (zone(report.site), report))
            .collect();
        if let Some(named) = named {
            if !all.iter().any(|(name, _)| name == named) {
                return unknown_site(named, &all);
            }
            all.retain(|(name, _)| name == named);
        }
        if all.is_empty() {
            return "one site, or none: nothing is to be told of it\n".into();
        }
        let mut sites = vec![head(SITES_HEAD)];
        let mut shed = vec![head(SHED_HEAD)];
        for (name, report) in &all {
            let forecast = self.plan.forecast_loss(now, report.site);
            sites.push(site_row(now, name, report, &forecast, &zone));
            let shown = forecast
                .shed
                .iter()
                .filter(|kind| kind.fraction >= LEAST_SHOWN)
                .take(KINDS_SHOWN);
            shed.extend(shown.map(|kind| shed_row(name, kind, classes, tenants)));
        }
        let shed = if shed.len() > 1 {
            columns(&shed)
        } else {
            String::new()
        };
        let level = format!(
            "refused now for a lost site: {} of the work of reads\n",
            percent(self.plan.shed_level())
        );
        [columns(&sites), shed, level].concat()
    }
}

fn unknown_site(named: &str, sites: &[(String, Report)]) -> String {
    let known: Vec<&str> = sites.iter().map(|(name, _)| name.as_str()).collect();
    let known = if known.is_empty() {
        "none are told apart".into()
    } else {
        known.join(", ")
    };
    format!("error: there is no site {named:?}; of sites {known}\n")
}

/// Work is in cores: seconds of it in a second.
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
        .map(|(site, part)| format!("{} {}", zone(*site), percent(*part)))
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
    let name = |names: &[String], at: u16| {
        let name = names.get(usize::from(at));
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

fn percent(part: f64) -> String {
    format!("{:.0}%", 100.0 * part)
}

fn columns(rows: &[Row]) -> String {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |row: &Row, at: usize| row.get(at).map_or(0, |text| text.chars().count());
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
