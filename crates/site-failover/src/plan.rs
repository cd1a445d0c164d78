//! All that one proxy knows and plans of its sites, as one core: states, capacity, demand, and what is refused first.

use crate::order::{self, Ask, Standing};
use crate::steer::Steer;
use crate::{Capacity, Demand, Event, Kind, Report, Room, Settings, Sites, State, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What requests of a class are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    pub write: bool,
    pub worth: f64,
    pub aim: Duration,
}

/// What the loss of a site comes to, of the groups that it serves. Work is in seconds in a second, of reads and of writes.
#[derive(Clone, Debug, PartialEq)]
pub struct Loss {
    /// The part of all worth asked for now, of all groups, that would be served.
    pub headroom: f64,
    /// What the other sites have shown, and what is asked.
    pub left: [f64; 2],
    pub asked: [f64; 2],
    /// Which part of what would be served goes to which site.
    pub goes: Vec<(u16, f64)>,
    /// Class, tenant and standing, with the part that would be refused; most of it first.
    pub refused: Vec<(u16, u16, Standing, f64)>,
}

/// Requests whose end is awaited; what comes beyond tells nothing.
const WAITING_LIMIT: usize = 65_536;

pub struct Plan {
    sites: Sites,
    capacity: Capacity,
    demand: Demand,
    steer: Steer,
    steers: bool,
    /// Groups that the sites served which are lost, as of the last look; or were, while there is something to refuse still.
    touched: BTreeSet<u32>,
    /// Requests that no attempt was made for yet, of kinds that tell of room.
    waiting: BTreeSet<u64>,
    classes: Vec<Class>,
    /// Of tenants, by id.
    quotas: Vec<f64>,
    over_worth: f64,
}

impl Plan {
    /// `steers`: what is refused first is told with each request; else it is only known.
    pub fn new(settings: Settings, steers: bool, now: Time) -> Plan {
        Plan {
            sites: Sites::new(settings, now),
            capacity: Capacity::default(),
            demand: Demand::default(),
            steer: Steer::default(),
            steers,
            touched: BTreeSet::new(),
            waiting: BTreeSet::new(),
            classes: Vec::new(),
            quotas: Vec::new(),
            over_worth: 1.0,
        }
    }

    /// What requests are worth, and whose share of what is how large. `over_worth`: of one beyond its quota, as a part.
    pub fn configure(&mut self, classes: Vec<Class>, quotas: Vec<f64>, over_worth: f64) {
        (self.classes, self.quotas, self.over_worth) = (classes, quotas, over_worth);
    }

    pub fn writes(&self, class: u16) -> bool {
        self.classes
            .get(usize::from(class))
            .is_some_and(|class| class.write)
    }

    pub fn reports(&self) -> impl Iterator<Item = Report> + '_ {
        self.sites.reports()
    }

    /// A request has come: the part of its kind that is to be refused.
    pub fn asked(&mut self, now: Time, request: u64, kind: Kind) -> f64 {
        self.demand.asked(now, kind);
        if !self.touched.contains(&kind.group) {
            return 0.0;
        }
        if self.steer.tells(&kind) && self.waiting.len() < WAITING_LIMIT {
            self.waiting.insert(request);
        }
        self.steer.part(&kind)
    }

    /// An attempt was made for it, or it is over with none: `refused` for want of room.
    pub fn settled(&mut self, request: u64, refused: bool) {
        if self.waiting.remove(&request) {
            self.steer.ended(refused);
        }
    }

    /// Its client has left.
    pub fn left(&mut self, request: u64) {
        self.waiting.remove(&request);
    }

    /// A server has served a request after so long.
    pub fn served(&mut self, now: Time, server: u32, group: u32, class: u16, elapsed: Duration) {
        let Some(known) = self
            .classes
            .get(usize::from(class))
            .filter(|known| elapsed <= known.aim)
        else {
            return;
        };
        if let Some(site) = self.sites.site_of(server) {
            self.capacity.answered(
                now,
                Room {
                    group,
                    site,
                    write: known.write,
                },
                class,
                elapsed,
            );
        }
    }

    pub fn handle(&mut self, now: Time, event: Event) {
        self.sites.handle(now, event);
        if event == Event::Tick && self.steers && self.steer.due(now) {
            self.look(now);
        }
    }

    fn look(&mut self, now: Time) {
        let lost = self.sites.reports().filter(|r| r.state == State::Lost);
        let lost: Vec<u16> = lost.map(|r| r.site).collect();
        if !lost.is_empty() {
            self.touched = lost
                .iter()
                .flat_map(|site| self.capacity.groups(*site))
                .collect();
        } else if self.steer.level() <= 0.0 {
            self.touched.clear();
            return;
        }
        let (asks, _) = self.asks(now, None, |kind| self.touched.contains(&kind.group));
        self.steer.look(now, !lost.is_empty(), &asks);
    }

    /// What is asked, and the rooms that it names: what others than the site that is lost have shown.
    fn asks(
        &self,
        now: Time,
        lost: Option<u16>,
        of: impl Fn(&Kind) -> bool,
    ) -> (Vec<(Kind, Ask)>, Vec<f64>) {
        let mut at: BTreeMap<(u32, bool), usize> = BTreeMap::new();
        let mut rooms = Vec::new();
        let ask = |(kind, rate): (Kind, f64)| {
            let room = *at.entry((kind.group, kind.write)).or_insert_with(|| {
                rooms.push(lost.map_or(0.0, |lost| {
                    self.capacity.without(now, lost, kind.group, kind.write)
                }));
                rooms.len() - 1
            });
            let worth = self
                .classes
                .get(usize::from(kind.class))
                .map_or(0.0, |class| class.worth);
            let part = if kind.standing == Standing::Beyond {
                self.over_worth
            } else {
                1.0
            };
            let quota = self
                .quotas
                .get(usize::from(kind.tenant))
                .copied()
                .unwrap_or(0.0);
            let ask = Ask {
                room,
                tenant: kind.tenant,
                // Without a quota there is nothing to tell tenants apart by.
                share: if quota > 0.0 { quota } else { 1.0 },
                standing: kind.standing,
                repeated: kind.repeated,
                worth: worth * part,
                work: self.capacity.work(kind.class),
                rate,
            };
            (kind, ask)
        };
        let asks = self
            .demand
            .rates(now)
            .filter(|(kind, _)| of(kind))
            .map(ask)
            .collect();
        (asks, rooms)
    }

    /// The part of the worth asked for now that would be served if a site went now, of what the others have shown.
    pub fn headroom(&self, now: Time, site: u16) -> f64 {
        let (asks, rooms) = self.asks(now, Some(site), |_| true);
        let asks: Vec<Ask> = asks.into_iter().map(|(_, ask)| ask).collect();
        order::headroom(&asks, &rooms)
    }

    /// What it would come to if a site went now, or comes to since it went.
    pub fn loss(&self, now: Time, site: u16) -> Loss {
        let groups: BTreeSet<u32> = self.capacity.groups(site).collect();
        let (asks, rooms) = self.asks(now, Some(site), |kind| groups.contains(&kind.group));
        let plain: Vec<Ask> = asks.iter().map(|(_, ask)| *ask).collect();
        let (mut left, mut asked) = ([0.0; 2], [0.0; 2]);
        let mut goes: BTreeMap<u16, f64> = BTreeMap::new();
        let mut kinds: BTreeMap<(u16, u16, Standing), (f64, f64)> = BTreeMap::new();
        let mut counted = vec![false; rooms.len()];
        for ((kind, ask), part) in asks.iter().zip(order::served(&plain, &rooms)) {
            asked[usize::from(kind.write)] += ask.work * ask.rate;
            if !std::mem::replace(&mut counted[ask.room], true) {
                left[usize::from(kind.write)] += rooms[ask.room];
            }
            let served = part * ask.work * ask.rate;
            for (other, shown) in self.capacity.others(now, site, kind.group, kind.write) {
                *goes.entry(other).or_default() +=
                    served * shown / rooms[ask.room].max(f64::MIN_POSITIVE);
            }
            let (rate, refused) = kinds
                .entry((kind.class, kind.tenant, kind.standing))
                .or_default();
            (*rate, *refused) = (*rate + ask.rate, *refused + (1.0 - part) * ask.rate);
        }
        let all: f64 = goes.values().sum();
        let part = |(kind, (rate, refused)): (_, (f64, f64))| {
            (kind, refused / rate.max(f64::MIN_POSITIVE))
        };
        let mut refused: Vec<_> = kinds
            .into_iter()
            .map(part)
            .map(|((class, tenant, standing), part)| (class, tenant, standing, part))
            .collect();
        refused.sort_by(|a, b| b.3.total_cmp(&a.3));
        let goes = goes.into_iter().filter(|(_, work)| *work > 0.0);
        let goes = goes.map(|(site, work)| (site, work / all)).collect();
        Loss {
            headroom: self.headroom(now, site),
            left,
            asked,
            goes,
            refused,
        }
    }

    /// The part of the work of reads that is refused now.
    pub fn level(&self) -> f64 {
        self.steer.level()
    }
}
