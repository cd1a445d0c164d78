//! One proxy: its policy, its list and its connections.

use super::OpenAttempt;
use crate::policy::{Decider, View};
use crate::scenario::ORIGIN;
use routing::{
    Action, Endpoint, EndpointState, GroupId, MachineTypeId, RequestId, ServerId, Time, ZoneId,
};
use rustc_hash::FxHashMap;
use server_model::catalog::Record;
use server_model::clients::ClientAttemptId;
use server_model::network::{Location, Network};
use server_model::site::{ServerIndex, Site, Status};
use std::time::Duration;

/// What all-seeing policies take a request for, in mean ones, where a cold server's budget is looked at; and the part of that budget
/// which they leave, since others' requests are on their way there.
const HEAVY: f64 = 2.5;
const COLD_SPARE: f64 = 0.3;
use server_model::Micros;

/// Of the module's numbers 0 is none of a server.
pub fn server_id(server: ServerIndex) -> ServerId {
    ServerId(server + 1)
}

pub fn server_index(server: ServerId) -> ServerIndex {
    server.0.wrapping_sub(1)
}

pub fn endpoint(record: &Record, time: impl Fn(Micros) -> Time) -> Endpoint {
    Endpoint {
        server: server_id(record.server),
        group: GroupId(record.group),
        zone: ZoneId(record.place),
        machine_type: MachineTypeId(0),
        state: match record.status {
            Status::Ready => EndpointState::Ready,
            Status::Draining => EndpointState::Draining,
            Status::Gone => EndpointState::Removed,
        },
        primary: false,
        started: if record.started > 0 {
            time(record.started)
        } else {
            Time::ZERO
        },
    }
}

/// Connections to one server that nothing is on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pool {
    idle: u32,
    /// The server's life that they are of, and when one was last used.
    life: Micros,
    used: Micros,
}

impl Pool {
    /// Whether one is there to be used; those that have idled for too long, or died with their server, are not.
    pub fn take(
        &mut self,
        life: Micros,
        now: Micros,
        keepalive: Micros,
        site: &mut Site,
        server: ServerIndex,
    ) -> bool {
        if self.life != life {
            (self.idle, self.life) = (0, life);
        }
        if now.saturating_sub(self.used) > keepalive {
            (0..self.idle).for_each(|_| site.hang_up(server));
            self.idle = 0;
        }
        let there = self.idle > 0 && site.runs(server);
        if there {
            self.idle -= 1;
            self.used = now;
        }
        there
    }

    pub fn give_back(&mut self, life: Micros, now: Micros) {
        if self.life != life {
            (self.idle, self.life) = (0, life);
        }
        self.idle += 1;
        self.used = now;
    }
}

pub struct Host {
    pub place: u16,
    /// None while it is down, and while it decides.
    pub policy: Option<Box<dyn Decider>>,
    /// Its incarnations so far.
    pub epoch: u32,
    pub down: bool,
    /// Of the list as it knows it.
    pub index: u64,
    listed: FxHashMap<ServerIndex, u32>,
    /// By group, those that are ready.
    pub ready: Vec<Vec<ServerId>>,
    pools: FxHashMap<ServerIndex, Pool>,
    pub actions: Vec<Action>,
}

impl Host {
    pub fn new(place: u16) -> Host {
        Host {
            place,
            policy: None,
            epoch: 0,
            down: false,
            index: 0,
            listed: FxHashMap::default(),
            ready: Vec::new(),
            pools: FxHashMap::default(),
            actions: Vec::new(),
        }
    }

    pub fn up(&self) -> bool {
        !self.down
    }

    pub fn pool(&mut self, server: ServerIndex) -> &mut Pool {
        self.pools.entry(server).or_default()
    }

    /// It dies: what it knew goes, and its connections end.
    pub fn die(&mut self, site: &mut Site) {
        (self.policy, self.down) = (None, true);
        self.epoch += 1;
        for (server, pool) in self.pools.drain() {
            if pool.life == site.started(server) {
                (0..pool.idle).for_each(|_| site.hang_up(server));
            }
        }
    }

    pub fn learn(&mut self, records: &[Record], complete: bool) {
        if complete {
            self.listed.clear();
            self.ready.iter_mut().for_each(Vec::clear);
        }
        for record in records {
            let at = record.group as usize;
            if self.ready.len() <= at {
                self.ready.resize(at + 1, Vec::new());
            }
            let store = server_id(record.server);
            if record.status == Status::Ready {
                if self.listed.insert(record.server, record.group).is_none() {
                    self.ready[at].push(store);
                }
            } else if self.listed.remove(&record.server).is_some() {
                self.ready[at].retain(|s| *s != store);
            }
        }
    }
}

/// What is true, for those policies that may look, and what is listed, for all of them.
pub struct ClusterView<'a> {
    pub site: &'a mut Site,
    pub network: &'a Network,
    /// Where the proxy stands.
    pub spot: Location,
    pub ready: &'a [Vec<ServerId>],
    pub open: &'a FxHashMap<ClientAttemptId, OpenAttempt>,
    pub now: Micros,
    pub cores: f64,
    /// Of a request, in microseconds of a core.
    pub mean_work: f64,
}

impl View for ClusterView<'_> {
    fn members(&self, group: GroupId) -> Vec<ServerId> {
        self.ready
            .get(group.0 as usize)
            .cloned()
            .unwrap_or_default()
    }

    fn primary(&mut self, group: GroupId) -> Option<ServerId> {
        let primary = server_id(self.site.primary(group.0)?);
        // Nobody may send to what the list has not named.
        self.ready
            .get(group.0 as usize)?
            .contains(&primary)
            .then_some(primary)
    }

    fn answers(&self, store: ServerId) -> bool {
        let at = server_index(store);
        let there = Location {
            place: self.site.place(at),
            proxy: None,
        };
        self.site.answers(at)
            && self.network.passes(self.spot, there)
            && self.network.passes(there, self.spot)
    }

    fn load(&self, store: ServerId) -> f64 {
        let at = server_index(store);
        (self.site.held(at) as f64 + 1.0) / self.site.capacity(at, self.now).max(1e-6)
    }

    fn crowded(&self, store: ServerId) -> bool {
        self.site.held(server_index(store)) as f64 + 1.0 > self.cores
    }

    fn expected(&self, store: ServerId) -> Duration {
        let at = server_index(store);
        let shared = ((self.site.held(at) as f64 + 1.0) / self.cores.max(1e-6)).max(1.0);
        Duration::from_secs_f64(
            self.mean_work / 1e6 * shared / self.site.capacity(at, self.now).max(1e-6),
        )
    }

    fn within(&self, id: RequestId) -> bool {
        self.open
            .get(&id.0)
            .is_none_or(|open| open.client_attempt.within_quota)
    }

    fn drawn(&self, id: RequestId) -> bool {
        self.open.get(&id.0).is_none_or(|open| open.drawn)
    }

    fn bears(&self, store: ServerId) -> bool {
        self.site.has_capacity_for(
            server_index(store),
            self.now,
            HEAVY * self.mean_work,
            COLD_SPARE,
        )
    }

    fn spare(&self, store: ServerId) -> f64 {
        self.cores - self.site.held(server_index(store)) as f64 - 1.0
    }

    fn position(&mut self, store: ServerId) -> Time {
        Time::from_micros(ORIGIN + self.site.position(server_index(store), self.now))
    }
}
