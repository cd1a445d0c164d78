//! What is told of sites, where the operators' file asks for it: the core, fed with what availability is fed with.

use mountshift::{Entry, Listed, StoreId};
use site_plan::{Event, Report, Settings, State};
use std::time::Duration;
use wire_admin::Figures;

pub struct Sites {
    core: site_plan::Sites,
    /// As last said in the log.
    logged: Vec<Report>,
}

impl Sites {
    pub fn new(settings: Settings) -> Sites {
        Sites { core: site_plan::Sites::new(settings, Duration::ZERO), logged: Vec::new() }
    }

    /// Changes go to the log: they are few, by the dwell time.
    pub fn event(&mut self, now: Duration, event: Event, name: impl Fn(u16) -> String) {
        self.core.handle(now, event);
        if event != Event::Tick {
            return;
        }
        let reports: Vec<Report> = self.core.reports().collect();
        for report in &reports {
            let before = self.logged.iter().find(|r| r.site == report.site).map(|r| r.state);
            if before.is_some_and(|before| before != report.state) {
                let (site, state, source) = (name(report.site), report.state.name(), report.source.name());
                log::warn!(source; "sites: {site} is {state}");
            }
        }
        self.logged = reports;
    }

    pub fn lines(&self, now: Duration, name: impl Fn(u16) -> String) -> String {
        let line = |r: Report| {
            let (state, source) = (r.state.name(), r.source.name());
            let (age, up) = (now.saturating_sub(r.since).as_secs(), r.members - r.down);
            format!("site {} {state} by {source} for {age} s, {up} of {} up\n", name(r.site), r.members)
        };
        self.core.reports().map(line).collect()
    }

    pub fn figures(&self, figures: &mut Figures, name: impl Fn(u16) -> String) {
        let reports: Vec<(String, Report)> = self.core.reports().map(|r| (name(r.site), r)).collect();
        let states = reports.iter().flat_map(|(name, report)| {
            State::ALL.into_iter().map(|state| {
                let labels = vec![("site", name.as_str()), ("state", state.name())];
                (labels, u64::from(report.state == state))
            })
        });
        figures.many("lb_site_state", "What this proxy knows of each site.", states);
        let losses = reports.iter().map(|(name, report)| (vec![("site", name.as_str())], report.losses));
        figures.many("lb_site_losses_total", "How often this proxy lost a site.", losses);
    }
}

pub fn listed(entry: &Entry) -> Event {
    let listed = match entry.listed {
        Listed::Ready => site_plan::Listed::Ready,
        Listed::Draining => site_plan::Listed::Draining,
        Listed::Gone => site_plan::Listed::Gone,
    };
    Event::Listed { server: entry.store.0, site: entry.zone.0, listed }
}

pub fn gone(store: StoreId) -> Event {
    Event::Listed { server: store.0, site: 0, listed: site_plan::Listed::Gone }
}
