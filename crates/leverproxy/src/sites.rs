//! What is told of sites, where the operators' file asks for it: the core, fed with what availability is fed with.

use crate::request::{Done, Verdict};
use mountshift::{Arrival, Class, Entry, Listed, Need, StoreId};
use site_plan::order::{self, Ask, Standing};
use site_plan::{Capacity, Demand, Event, Kind, Report, Room, Settings, State};
use std::collections::BTreeMap;
use std::time::Duration;
use wire_admin::Figures;

pub struct Sites {
    core: site_plan::Sites,
    capacity: Capacity,
    demand: Demand,
    classes: Vec<Class>,
    /// Of the tenants, by id.
    quotas: Vec<f64>,
    over_worth: f64,
    /// As last said in the log.
    logged: Vec<Report>,
}

impl Sites {
    pub fn new(settings: Settings) -> Sites {
        Sites {
            core: site_plan::Sites::new(settings, Duration::ZERO),
            capacity: Capacity::default(),
            demand: Demand::default(),
            classes: Vec::new(),
            quotas: Vec::new(),
            over_worth: 1.0,
            logged: Vec::new(),
        }
    }

    /// What requests are worth, and whose share of what is how large.
    pub fn configure(&mut self, settings: &mountshift::Settings) {
        self.classes.clone_from(&settings.classes);
        self.quotas = settings.tenants.iter().map(|tenant| tenant.quota_per_s).collect();
        self.over_worth = settings.over_share_worth;
    }

    fn writes(&self, class: u16) -> bool {
        self.classes.get(usize::from(class)).is_some_and(|class| class.need == Need::Write)
    }

    pub fn asked(&mut self, now: Duration, arrival: &Arrival) {
        let standing = match arrival.standing {
            mountshift::Standing::Within => Standing::Within,
            mountshift::Standing::Borrowed => Standing::Borrowed,
            mountshift::Standing::Beyond => Standing::Beyond,
        };
        let (group, class, tenant) = (arrival.group.0, arrival.class.0, arrival.tenant.0);
        let (write, repeated) = (self.writes(class), arrival.repeated);
        self.demand.asked(now, Kind { group, write, class, tenant, standing, repeated });
    }

    /// What was answered in time is what a site can do.
    pub fn ended(&mut self, now: Duration, done: &Done) {
        let (Some(class), Some(group), Verdict::Served(_)) = (done.class, done.group, &done.verdict) else {
            return;
        };
        let aim = self.classes.get(usize::from(class.0)).map_or(Duration::ZERO, |class| class.aim);
        let Some(site) = self.core.site_of(done.store.0).filter(|_| done.elapsed <= aim) else { return };
        let room = Room { group: group.0, site, write: self.writes(class.0) };
        self.capacity.answered(now, room, class.0, done.elapsed);
    }

    /// The part of the worth asked for now that would be served if a site went now, of what the others have shown.
    fn headroom(&self, now: Duration, lost: u16) -> f64 {
        let mut rooms: BTreeMap<(u32, bool), usize> = BTreeMap::new();
        let mut room = Vec::new();
        let asks: Vec<Ask> = self
            .demand
            .rates(now)
            .map(|(kind, rate)| {
                let at = *rooms.entry((kind.group, kind.write)).or_insert_with(|| {
                    room.push(self.capacity.without(now, lost, kind.group, kind.write));
                    room.len() - 1
                });
                let worth = self.classes.get(usize::from(kind.class)).map_or(0.0, |class| class.worth);
                let part = if kind.standing == Standing::Beyond { self.over_worth } else { 1.0 };
                let quota = self.quotas.get(usize::from(kind.tenant)).copied().unwrap_or(0.0);
                Ask {
                    room: at,
                    tenant: kind.tenant,
                    // Without a quota there is nothing to tell tenants apart by.
                    share: if quota > 0.0 { quota } else { 1.0 },
                    standing: kind.standing,
                    repeated: kind.repeated,
                    worth: worth * part,
                    work: self.capacity.work(kind.class),
                    rate,
                }
            })
            .collect();
        order::headroom(&asks, &room)
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
            let kept = 100.0 * self.headroom(now, r.site);
            format!(
                "site {} {state} by {source} for {age} s, {up} of {} up, headroom {kept:.0}%\n",
                name(r.site),
                r.members
            )
        };
        self.core.reports().map(line).collect()
    }

    pub fn figures(&self, now: Duration, figures: &mut Figures, name: impl Fn(u16) -> String) {
        let reports: Vec<(String, Report)> = self.core.reports().map(|r| (name(r.site), r)).collect();
        let states = reports.iter().flat_map(|(name, report)| {
            State::ALL.into_iter().map(|state| {
                let labels = vec![("site", name.as_str()), ("state", state.name())];
                (labels, u64::from(report.state == state))
            })
        });
        figures.many("lb_site_state", "What this proxy knows of each site.", states);
        let losses = reports.iter().map(|(name, report)| (vec![("site", name.as_str())], report.losses));
        let headroom = reports.iter().map(|(name, report)| {
            (vec![("site", name.as_str())], (1_000.0 * self.headroom(now, report.site)) as u64)
        });
        let help = "Of a thousand parts of the worth asked for, those served if the site went now.";
        figures.many("lb_site_headroom", help, headroom);
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
