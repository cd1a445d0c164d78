//! What there is, who asks for what, and what goes wrong.

use invariant_checkers::cold::Bounds;
use routing::{
    Class, Consistency, DeduplicationScope, Idempotency, Settings, StalenessCheck, ZoneId,
};
use server_model::clients;
use server_model::platform::Platform;
use server_model::{catalog, network, site, Micros};
use std::time::Duration;

/// Microseconds of a second.
pub const SECOND: Micros = 1_000_000;

/// Which servers or proxies a fault strikes.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// All servers or proxies.
    All,
    /// Whoever is primary of these groups when it comes.
    Primaries(u32, u32),
    /// A member of a group, by its place in it.
    Member(u32, u32),
    /// All of a building.
    Place(u16),
    /// So many in a hundred, drawn at random, primaries twice as likely as others.
    Share(f64),
    /// Proxies from one number to another.
    Proxies(usize, usize),
}

/// A kind of fault.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// Servers die and start again cold.
    Die,
    /// Servers take requests and answer none.
    Hang,
    /// Times as slow.
    Slow(f64),
    /// A long query holds their replication.
    Hold,
    /// Each is drained, ends and is replaced, one after the other over the time that the fault lasts.
    Deploy,
    /// The list falls behind by so much more, or its service is down.
    ListBehind(Micros),
    /// The service of the list is down.
    ListDown,
    /// Requests come so many times as often, all or those of one tenant.
    Surge(f64, Option<usize>),
    /// Nothing passes between the targets' proxies and a building; one way only, if so.
    Cut {
        /// The building.
        place: u16,
        /// Only answers are lost.
        back_only: bool,
    },
    /// Groups are split along a building's walls.
    Split(u16),
    /// Further loss on the network.
    Loss(f64),
    /// Proxies die, and come back knowing nothing but an old list and their files.
    ProxyDies,
    /// The targets' proxies and the others do not hear each other.
    Apart,
}

/// A fault with its time and targets.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Its name.
    pub name: String,
    /// When it begins.
    pub at: Micros,
    /// Until it is over.
    pub span: Micros,
    /// What goes wrong.
    pub what: FaultKind,
    /// Whom it strikes.
    pub targets: Vec<Target>,
}

/// How goodput is weighed: the whole run, its worst ten seconds, the worst class and the worst tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// The whole run.
    pub whole: f64,
    /// The worst ten seconds.
    pub worst_span: f64,
    /// The worst class.
    pub worst_kind: f64,
    /// The worst tenant.
    pub worst_tenant: f64,
}

impl Default for Weights {
    fn default() -> Weights {
        Weights {
            whole: 0.35,
            worst_span: 0.35,
            worst_kind: 0.2,
            worst_tenant: 0.1,
        }
    }
}

/// How proxies of the module hear each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetMessaging {
    /// Interval between messages of one proxy.
    pub every: Micros,
    /// The longest delay of a message.
    pub late: Micros,
    /// The part of the messages that never come.
    pub loss: f64,
    /// Who was not heard for so long is taken to be dead by those that hear most of the fleet.
    pub dead: Micros,
    /// How long a proxy lends after most have echoed it.
    pub lease: Micros,
    /// In half a second of one proxy: so many refused within their quota, and more than this part, and room is short.
    pub short_least: u64,
    /// See `short_least`.
    pub short_part: f64,
}

/// A day: what there is, who asks, and what goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it is about.
    pub about: String,
    /// The record servers.
    pub site: site::Settings,
    /// The network.
    pub network: network::Settings,
    /// The discovery service.
    pub catalog: catalog::Settings,
    /// The load.
    pub clients: clients::Settings,
    /// What the platform allows.
    pub platform: Platform,
    /// How proxies talk; none: they do not.
    pub talk: Option<FleetMessaging>,
    /// How goodput is weighted.
    pub weights: Weights,
    /// The faults.
    pub faults: Vec<ScheduledFault>,
}

/// A time on the decision module's clock, where 0 stands for absent.
pub const ORIGIN: Micros = 1_000 * SECOND;

fn span(micros: Micros) -> Duration {
    Duration::from_micros(micros)
}

impl Scenario {
    /// Number of proxies.
    pub fn proxies(&self) -> usize {
        self.clients.proxies
    }

    /// Those that are there from the start.
    pub fn servers(&self) -> usize {
        self.site.servers()
    }

    /// How long requests come.
    pub fn length(&self) -> Micros {
        self.clients.length
    }

    /// Work that comes, as a part of what all servers can do, at the usual rate; and writes' part of what primaries can.
    pub fn loads(&self) -> (f64, f64) {
        let shares: f64 = self.clients.classes.iter().map(|k| k.share).sum();
        let work = |writes: bool| -> f64 {
            let counted = self
                .clients
                .classes
                .iter()
                .filter(|k| !writes || k.consistency == clients::Consistency::Write);
            counted
                .map(|k| k.share / shares.max(1e-9) * k.work.mean / 1e6)
                .sum::<f64>()
                * self.clients.requests_per_s
        };
        let cores = self.site.server.cores;
        let (all, primaries) = (
            self.servers() as f64 * cores,
            self.site.groups as f64 * cores,
        );
        (
            work(false) / all.max(1e-9),
            work(true) / primaries.max(1e-9),
        )
    }

    /// What a cold server may get, where a request's work has this mean.
    pub fn bounds(&self, mean_work: f64) -> Bounds {
        let server = &self.site.server;
        let warm = server.cores * server.tip_after as f64 / mean_work.max(1e-9);
        let (cold, warm_after, tip, window) =
            (server.cold, server.warm_after, server.tip, server.tip_after);
        Bounds {
            cold,
            warm_after,
            tip,
            window,
            warm,
        }
    }

    /// What the platform would tell the decision module of a proxy.
    pub fn settings(&self, proxy: usize) -> Settings {
        let Platform {
            tries,
            probes,
            second_copies,
            max_retry_after,
            drain_grace,
            keepalive,
            checks,
            ..
        } = self.platform;
        let class = |kind: &clients::RequestClass| Class {
            consistency: match kind.consistency {
                clients::Consistency::Write => Consistency::Write,
                clients::Consistency::Strong => Consistency::Strong,
                clients::Consistency::ReadYourWrites => Consistency::ReadYourWrites,
                clients::Consistency::BoundedStaleness(age) => {
                    Consistency::BoundedStaleness(span(age))
                }
                clients::Consistency::Eventual => Consistency::Eventual,
            },
            idempotency: match kind.idempotency {
                clients::Idempotency::Idempotent => Idempotency::Idempotent,
                clients::Idempotency::Keyed(window) => Idempotency::Keyed {
                    scope: DeduplicationScope::Group,
                    window: span(window),
                },
                clients::Idempotency::NonIdempotent => Idempotency::NonIdempotent,
            },
            latency_objective: span(kind.latency_objective),
            deadline: span(kind.deadline),
            priority_weight: kind.priority_weight,
            late_weight_fraction: kind.late_weight_fraction,
        };
        let tenant = |tenant: &clients::Tenant| routing::Tenant {
            quota_per_s: tenant.quota,
        };
        Settings {
            router_count: self.proxies() as u32,
            router_index: proxy as u32,
            zone: ZoneId((proxy % self.site.places.max(1)) as u16),
            classes: self.clients.classes.iter().map(class).collect(),
            tenants: self.clients.tenants.iter().map(tenant).collect(),
            over_quota_weight_fraction: self.clients.over_quota_weight_fraction,
            staleness_check: if checks {
                StalenessCheck::Reject
            } else {
                StalenessCheck::None
            },
            clients_carry_session_position: true,
            endpoints_are_polled: true,
            max_poll_interval: Duration::from_secs(10),
            may_probe: probes,
            may_cancel: true,
            may_hedge: second_copies,
            may_send_retry_after: max_retry_after > 0,
            max_retry_after: span(max_retry_after),
            attempt_limit: tries,
            drain_grace: span(drain_grace),
            soft_removal: false,
            initial_capacity_fraction: self.site.server.cold,
            warm_up_duration: span(self.site.server.warm_after),
            overload_factor: self.site.server.tip,
            overload_duration: span(self.site.server.tip_after),
            idle_timeout: span(keepalive),
        }
    }
}
