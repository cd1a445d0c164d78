//! What the monitor reports: the status for health checks, and texts for operators.

use std::time::{Duration, Instant};

use availability::{Condition, LinkState, Load, Reason, Report};
use wire_admin::Metrics;
use wire_health::Status;

use super::{site_name, Monitor};

/// Whoever checks a proxy that serves may check again after this.
const SERVING_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Whoever checks a proxy that drains may check again after this.
const DRAINING_RETRY_AFTER: Duration = Duration::from_secs(5);

impl Monitor {
    /// The state of each site, a line for each, for the control socket.
    pub fn site_lines(&self, now: Instant) -> String {
        let since_start = self.since_start(now);
        self.sites.as_ref().map_or(String::new(), |sites| {
            sites.status_text(since_start, |site| self.zone(site).to_owned())
        })
    }

    /// The table of all sites, or of the one named, for the control socket.
    pub fn site_table(&self, named: Option<&str>, names: [&[String]; 2], now: Instant) -> String {
        let since_start = self.since_start(now);
        match &self.sites {
            Some(sites) => {
                sites.table(since_start, named, |site| self.zone(site).to_owned(), names)
            }
            None => "error: the operators' file has no section sites\n".into(),
        }
    }

    /// Adds the metrics of sites.
    pub fn site_figures(&self, now: Instant, figures: &mut Metrics) {
        if let Some(sites) = &self.sites {
            let since_start = self.since_start(now);
            sites.write_metrics(since_start, figures, |site| self.zone(site).to_owned());
        }
    }

    /// The report of the availability model.
    pub fn report(&self) -> &Report {
        self.model.report()
    }

    /// The status for health checks.
    pub fn status(&self) -> Status {
        let report = self.model.report();
        Status {
            state: report.state,
            weight: report.weight,
            reason: self.reason(report),
            max_clients: u32::try_from(self.load.usage.clients_limit)
                .ok()
                .filter(|limit| *limit > 0),
            retry_after: if report.state.serves() {
                SERVING_RETRY_AFTER
            } else {
                DRAINING_RETRY_AFTER
            },
            load: self.load_status(&report.load),
            groups: self.group_status().collect(),
            links: self
                .links()
                .map(|(site, link)| (site.to_owned(), link.name()))
                .collect(),
        }
    }

    fn load_status(&self, load: &Load) -> wire_health::Load {
        wire_health::Load {
            cpu: self.load.cpu,
            memory: load.memory,
            application: load.open.max(load.descriptors).max(load.memory),
            requests_per_s: self.load.answered_per_s,
            errors_per_s: self.load.failed_per_s,
            open: load.open,
            descriptors: load.descriptors,
        }
    }

    fn group_status(&self) -> impl Iterator<Item = wire_health::Group> + '_ {
        self.model
            .groups()
            .map(|(group, state)| wire_health::Group {
                group,
                condition: state.condition.name(),
                serves: !matches!(state.condition, Condition::Hung | Condition::Dead),
            })
    }

    fn links(&self) -> impl Iterator<Item = (&str, LinkState)> {
        self.model
            .links()
            .map(|(site, link)| (self.zone(site), link))
    }

    fn zone(&self, site: u16) -> &str {
        site_name(&self.site_names, site)
    }

    fn reason(&self, report: &Report) -> String {
        match report.reason {
            Reason::None => String::new(),
            Reason::Lag => "the loop is late".into(),
            Reason::Open => "many requests are open".into(),
            Reason::Descriptors => "few descriptors are left".into(),
            Reason::Memory => "little memory is left".into(),
            Reason::Group(group) => format!("group {group} does not answer"),
            Reason::Primary(group) => format!("group {group} takes no writes"),
            Reason::Link(site) => format!("the link to {} is cut", self.zone(site)),
            Reason::Servers => "record servers refuse or fail".into(),
            Reason::Slow => format!(
                "record servers take {:.1} times as long as usual",
                report.slowness
            ),
        }
    }

    /// The status for the control socket.
    pub fn lines(&self) -> String {
        let status = self.status();
        let usage = &self.load.usage;
        let reason = if status.reason.is_empty() {
            "none"
        } else {
            &status.reason
        };
        let mut out = format!(
            "state {}\nweight {}\nreason {reason}\nclients {} of {}\nupstream {} of {}\nopen {}\ncpu {:.2}\nmemory {:.2}\n",
            status.state.name(),
            status.weight,
            usage.clients,
            usage.clients_limit,
            usage.upstream,
            usage.upstream_limit,
            usage.open,
            self.load.cpu,
            status.load.memory,
        );
        for group in &status.groups {
            out.push_str(&format!("group {} {}\n", group.group, group.condition));
        }
        for (site, link) in &status.links {
            out.push_str(&format!("link {site} {link}\n"));
        }
        out
    }
}
