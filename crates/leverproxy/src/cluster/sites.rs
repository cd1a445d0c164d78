//! What is told of sites, and what is refused first while one is lost, where the operators' file asks for it: the core, fed
//! with what availability is fed with.

use crate::request::{CompletedExchange, ExchangeOutcome};
use routing::{Arrival, Consistency, Endpoint, EndpointState, ServerId};
use site_failover::order::Standing;
use site_failover::{Class, Event, Kind, Loss, Plan, Report, Settings, State};
use std::time::Duration;
use wire_admin::Figures;

/// Kinds that a table names for each site.
const KINDS_SHOWN: usize = 20;
/// Of a kind, less than this part refused is not named.
const LEAST_SHOWN: f64 = 0.005;

pub struct Sites {
    plan: Plan,
    /// As last said in the log.
    logged: Vec<Report>,
}

impl Sites {
    pub fn new(settings: Settings) -> Sites {
        Sites {
            plan: Plan::new(settings, true, Duration::ZERO),
            logged: Vec::new(),
        }
    }

    /// What requests are worth, and whose share of what is how large.
    pub fn configure(&mut self, settings: &routing::Settings) {
        let class = |class: &routing::Class| Class {
            write: class.consistency == Consistency::Write,
            worth: class.priority_weight,
            aim: class.latency_objective,
        };
        let classes = settings.classes.iter().map(class).collect();
        let quotas = settings
            .tenants
            .iter()
            .map(|tenant| tenant.quota_per_s)
            .collect();
        self.plan
            .configure(classes, quotas, settings.over_quota_weight_fraction);
    }

    /// A request has come: the part of its kind that is to be refused.
    pub fn asked(&mut self, now: Duration, arrival: &Arrival) -> f64 {
        let standing = match arrival.quota_status {
            routing::QuotaStatus::WithinQuota => Standing::Within,
            routing::QuotaStatus::Borrowed => Standing::Borrowed,
            routing::QuotaStatus::OverQuota => Standing::Beyond,
        };
        let (group, class, tenant) = (arrival.group.0, arrival.class.0, arrival.tenant.0);
        let (write, repeated) = (self.plan.writes(class), arrival.is_client_retry);
        self.plan.asked(
            now,
            arrival.id.0,
            Kind {
                group,
                write,
                class,
                tenant,
                standing,
                repeated,
            },
        )
    }

    pub fn plan(&mut self) -> &mut Plan {
        &mut self.plan
    }

    /// What was answered in time is what a site can do.
    pub fn ended(&mut self, now: Duration, done: &CompletedExchange) {
        if let (Some(class), Some(group), ExchangeOutcome::Served(_)) =
            (done.class, done.group, &done.outcome)
        {
            self.plan
                .served(now, done.server.0, group.0, class.0, done.elapsed);
        }
    }

    /// Changes go to the log: they are few, by the dwell time.
    pub fn event(&mut self, now: Duration, event: Event, name: impl Fn(u16) -> String) {
        self.plan.handle(now, event);
        if event != Event::Tick {
            return;
        }
        let reports: Vec<Report> = self.plan.reports().collect();
        for report in &reports {
            let before = self
                .logged
                .iter()
                .find(|r| r.site == report.site)
                .map(|r| r.state);
            if before.is_some_and(|before| before != report.state) {
                let (site, state, source) =
                    (name(report.site), report.state.name(), report.source.name());
                log::warn!(source; "sites: {site} is {state}");
            }
        }
        self.logged = reports;
    }

    pub fn lines(&self, now: Duration, name: impl Fn(u16) -> String) -> String {
        let line = |r: Report| {
            let (state, source) = (r.state.name(), r.source.name());
            let (age, up) = (now.saturating_sub(r.since).as_secs(), r.members - r.down);
            let kept = 100.0 * self.plan.headroom(now, r.site);
            format!(
                "site {} {state} by {source} for {age} s, {up} of {} up, headroom {kept:.0}%\n",
                name(r.site),
                r.members
            )
        };
        self.plan.reports().map(line).collect()
    }

    /// What operators ask: each site, or the one that they name, with what its loss would come to, or comes to.
    pub fn table(
        &self,
        now: Duration,
        named: Option<&str>,
        zone: impl Fn(u16) -> String,
        [classes, tenants]: [&[String]; 2],
    ) -> String {
        let mut all: Vec<(String, Report)> =
            self.plan.reports().map(|r| (zone(r.site), r)).collect();
        if let Some(named) = named {
            if !all.iter().any(|(name, _)| name == named) {
                let known: Vec<&str> = all.iter().map(|(name, _)| name.as_str()).collect();
                let known = if known.is_empty() {
                    "none are told apart".into()
                } else {
                    known.join(", ")
                };
                return format!("error: there is no site {named:?}; of sites {known}\n");
            }
            all.retain(|(name, _)| name == named);
        }
        if all.is_empty() {
            return "one site, or none: nothing is to be told of it\n".into();
        }
        let mut sites = vec![HEAD.map(str::to_owned).to_vec()];
        let mut refused = vec![REFUSED_HEAD.map(str::to_owned).to_vec()];
        for (name, report) in &all {
            let loss = self.plan.loss(now, report.site);
            sites.push(site_row(now, name, report, &loss, &zone));
            for (class, tenant, standing, part) in loss
                .refused
                .iter()
                .filter(|r| r.3 >= LEAST_SHOWN)
                .take(KINDS_SHOWN)
            {
                let word = |names: &[String], at: u16| {
                    names.get(usize::from(at)).map_or("-", |n| n).to_owned()
                };
                let standing = match standing {
                    Standing::Within => "within",
                    Standing::Borrowed => "borrowed",
                    Standing::Beyond => "beyond",
                };
                let names = [
                    name.clone(),
                    word(classes, *class),
                    word(tenants, *tenant),
                    standing.into(),
                ];
                refused.push([&names[..], &[percent(*part)]].concat());
            }
        }
        let now = format!(
            "refused now for a lost site: {} of the work of reads\n",
            percent(self.plan.level())
        );
        let refused = if refused.len() > 1 {
            columns(&refused)
        } else {
            String::new()
        };
        [columns(&sites), refused, now].concat()
    }

    pub fn figures(&self, now: Duration, figures: &mut Figures, name: impl Fn(u16) -> String) {
        let reports: Vec<(String, Report)> =
            self.plan.reports().map(|r| (name(r.site), r)).collect();
        let states = reports.iter().flat_map(|(name, report)| {
            State::ALL.into_iter().map(|state| {
                let labels = vec![("site", name.as_str()), ("state", state.name())];
                (labels, u64::from(report.state == state))
            })
        });
        figures.many(
            "lb_site_state",
            "What this proxy knows of each site.",
            states,
        );
        let losses = reports
            .iter()
            .map(|(name, report)| (vec![("site", name.as_str())], report.losses));
        let headroom = reports.iter().map(|(name, report)| {
            (
                vec![("site", name.as_str())],
                (1_000.0 * self.plan.headroom(now, report.site)) as u64,
            )
        });
        let help = "Of a thousand parts of the worth asked for, those served if the site went now.";
        figures.many("lb_site_headroom", help, headroom);
        figures.many(
            "lb_site_losses_total",
            "How often this proxy lost a site.",
            losses,
        );
    }
}

const HEAD: [&str; 9] = [
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
const REFUSED_HEAD: [&str; 5] = ["without", "class", "tenant", "quota", "refused"];

fn percent(part: f64) -> String {
    format!("{:.0}%", 100.0 * part)
}

/// Work is in cores: seconds of it in a second.
fn site_row(
    now: Duration,
    name: &str,
    report: &Report,
    loss: &Loss,
    zone: impl Fn(u16) -> String,
) -> Vec<String> {
    let goes: Vec<String> = loss
        .goes
        .iter()
        .map(|(site, part)| format!("{} {}", zone(*site), percent(*part)))
        .collect();
    let [reads, writes] = [0, 1].map(|at| format!("{:.2}/{:.2}", loss.left[at], loss.asked[at]));
    vec![
        name.to_owned(),
        report.state.name().into(),
        report.source.name().into(),
        format!("{} s", now.saturating_sub(report.since).as_secs()),
        format!("{}/{}", report.members - report.down, report.members),
        percent(loss.headroom),
        reads,
        writes,
        if goes.is_empty() {
            "nowhere".into()
        } else {
            goes.join(", ")
        },
    ]
}

fn columns(rows: &[Vec<String>]) -> String {
    let most = rows.iter().map(Vec::len).max().unwrap_or(0);
    let cell = |row: &Vec<String>, at: usize| row.get(at).map_or(0, |text| text.chars().count());
    let widths: Vec<usize> = (0..most)
        .map(|at| rows.iter().map(|row| cell(row, at)).max().unwrap_or(0))
        .collect();
    let line = |row: &Vec<String>| {
        let cells: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(text, w)| format!("{text:w$}"))
            .collect();
        format!("{}\n", cells.join("  ").trim_end())
    };
    rows.iter().map(line).collect()
}

pub fn listed(entry: &Endpoint) -> Event {
    let listed = match entry.state {
        EndpointState::Ready => site_failover::Listed::Ready,
        EndpointState::Draining => site_failover::Listed::Draining,
        EndpointState::Removed => site_failover::Listed::Gone,
    };
    Event::Listed {
        server: entry.server.0,
        site: entry.zone.0,
        listed,
    }
}

pub fn gone(server: ServerId) -> Event {
    Event::Listed {
        server: server.0,
        site: 0,
        listed: site_failover::Listed::Gone,
    }
}
