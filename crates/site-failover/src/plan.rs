//! The failover plan of one proxy: combines the states of sites, their capacity and the demand, and decides what is shed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::load_shedding::{headroom, served_fractions, Load};
use crate::{
    Capacity, CapacityKey, Demand, Event, QuotaStatus, Report, RequestKind, Settings,
    ShedController, SiteDetector, SiteState, Time,
};

/// Properties of the requests of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Whether the requests write.
    pub write: bool,
    /// Priority weight of one request.
    pub priority_weight: f64,
    /// Latency objective; only requests answered within it count as capacity.
    pub latency_objective: Duration,
}

/// Requests of one class, tenant and quota status, and the fraction of them that would be shed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShedKind {
    /// The class.
    pub class: u16,
    /// The tenant.
    pub tenant: u16,
    /// Status of the requests with respect to the tenant's quota.
    pub quota_status: QuotaStatus,
    /// The fraction of the requests that would be shed, 0 to 1.
    pub fraction: f64,
}

/// Forecast of the effect of the loss of a site on the groups that it serves. Arrays hold the values for reads and for writes, in
/// seconds of work per second.
#[derive(Clone, Debug, PartialEq)]
pub struct LossForecast {
    /// The fraction of the requested priority weight of all groups that would be served, 0 to 1.
    pub headroom: f64,
    /// Observed capacity of the other sites.
    pub capacity_left: [f64; 2],
    /// Requested work.
    pub requested: [f64; 2],
    /// Each remaining site with its fraction of the work that would be served.
    pub destinations: Vec<(u16, f64)>,
    /// Kinds that would be shed, the largest fraction first.
    pub shed: Vec<ShedKind>,
}

/// Maximum number of requests whose outcome is awaited; the outcomes of further requests are not counted.
const PENDING_LIMIT: usize = 65_536;

/// Loads, and the capacities to which they refer by index.
struct Loads {
    loads: Vec<(RequestKind, Load)>,
    capacities: Vec<f64>,
}

impl Loads {
    fn without_kinds(&self) -> Vec<Load> {
        self.loads.iter().map(|(_, load)| *load).collect()
    }
}

/// The failover plan.
pub struct FailoverPlan {
    detector: SiteDetector,
    capacity: Capacity,
    demand: Demand,
    shed_controller: ShedController,
    shedding_enabled: bool,
    /// Groups that the lost sites served, as of the last update; kept while anything is shed.
    affected_groups: BTreeSet<u32>,
    /// Indicative requests (see [`ShedController::is_indicative`]) without an attempt so far.
    pending: BTreeSet<u64>,
    classes: Vec<Class>,
    /// Quota by tenant; 0 for a tenant without a quota.
    quotas: Vec<f64>,
    over_quota_weight_fraction: f64,
}

impl FailoverPlan {
    /// With `shedding_enabled`, [`FailoverPlan::record_request`] returns the fraction to shed; otherwise it returns 0, and only
    /// forecasts are computed.
    pub fn new(settings: Settings, shedding_enabled: bool, now: Time) -> FailoverPlan {
        FailoverPlan {
            detector: SiteDetector::new(settings, now),
            capacity: Capacity::default(),
            demand: Demand::default(),
            shed_controller: ShedController::default(),
            shedding_enabled,
            affected_groups: BTreeSet::new(),
            pending: BTreeSet::new(),
            classes: Vec::new(),
            quotas: Vec::new(),
            over_quota_weight_fraction: 1.0,
        }
    }

    /// Replaces the classes and the tenants' quotas. `over_quota_weight_fraction` is the fraction of its priority weight with which a
    /// request over quota counts.
    pub fn configure(
        &mut self,
        classes: Vec<Class>,
        quotas: Vec<f64>,
        over_quota_weight_fraction: f64,
    ) {
        self.classes = classes;
        self.quotas = quotas;
        self.over_quota_weight_fraction = over_quota_weight_fraction;
    }

    fn class(&self, class: u16) -> Option<&Class> {
        self.classes.get(usize::from(class))
    }

    /// Whether requests of a class write.
    pub fn is_write(&self, class: u16) -> bool {
        self.class(class).is_some_and(|class| class.write)
    }

    /// The state of each site.
    pub fn reports(&self) -> impl Iterator<Item = Report> + '_ {
        self.detector.reports()
    }

    /// Counts a request that has arrived. Returns the fraction of its kind to shed, 0 to 1.
    pub fn record_request(&mut self, now: Time, request: u64, kind: RequestKind) -> f64 {
        self.demand.record(now, kind);
        if !self.affected_groups.contains(&kind.group) {
            return 0.0;
        }
        if self.shed_controller.is_indicative(&kind) && self.pending.len() < PENDING_LIMIT {
            self.pending.insert(request);
        }
        self.shed_controller.shed_fraction(&kind)
    }

    /// Records that an attempt for a request was sent, or that the request ended without one. `rejected`: the request ended for lack of
    /// capacity.
    pub fn record_outcome(&mut self, request: u64, rejected: bool) {
        if self.pending.remove(&request) {
            self.shed_controller.record_outcome(rejected);
        }
    }

    /// Drops a request whose client has left, without counting an outcome.
    pub fn forget_request(&mut self, request: u64) {
        self.pending.remove(&request);
    }

    /// Counts a request that a server has served after `elapsed` as capacity, if it met the latency objective of its class.
    pub fn record_served(
        &mut self,
        now: Time,
        server: u32,
        group: u32,
        class: u16,
        elapsed: Duration,
    ) {
        let Some(known) = self.class(class).copied() else {
            return;
        };
        if elapsed > known.latency_objective {
            return;
        }
        if let Some(site) = self.detector.site_of(server) {
            let key = CapacityKey {
                group,
                site,
                write: known.write,
            };
            self.capacity.record_answer(now, key, class, elapsed);
        }
    }

    /// Handles evidence about servers and sites. A tick also updates what is shed.
    pub fn handle(&mut self, now: Time, event: Event) {
        self.detector.handle(now, event);
        if event == Event::Tick && self.shedding_enabled && self.shed_controller.is_due(now) {
            self.update_shedding(now);
        }
    }

    fn update_shedding(&mut self, now: Time) {
        let lost: Vec<u16> = self
            .detector
            .reports()
            .filter(|report| report.state == SiteState::Lost)
            .map(|report| report.site)
            .collect();
        if !lost.is_empty() {
            self.affected_groups = lost
                .iter()
                .flat_map(|site| self.capacity.groups(*site))
                .collect();
        } else if self.shed_controller.level() <= 0.0 {
            self.affected_groups.clear();
            return;
        }
        let loads = self.loads(now, None, |kind| self.affected_groups.contains(&kind.group));
        self.shed_controller
            .update(now, !lost.is_empty(), &loads.loads);
    }

    /// Loads of the included kinds, with the observed capacities of all sites other than `lost`; without `lost` the capacities are 0.
    fn loads(
        &self,
        now: Time,
        lost: Option<u16>,
        is_included: impl Fn(&RequestKind) -> bool,
    ) -> Loads {
        let mut indices: BTreeMap<(u32, bool), usize> = BTreeMap::new();
        let mut capacities = Vec::new();
        let mut loads = Vec::new();
        for (kind, rate) in self.demand.rates(now).filter(|(kind, _)| is_included(kind)) {
            let capacity = *indices.entry((kind.group, kind.write)).or_insert_with(|| {
                capacities.push(lost.map_or(0.0, |lost| {
                    self.capacity
                        .total_of_other_sites(now, lost, kind.group, kind.write)
                }));
                capacities.len() - 1
            });
            loads.push((kind, self.load(kind, capacity, rate)));
        }
        Loads { loads, capacities }
    }

    fn load(&self, kind: RequestKind, capacity: usize, rate: f64) -> Load {
        let weight = self
            .class(kind.class)
            .map_or(0.0, |class| class.priority_weight);
        let fraction = if kind.quota_status == QuotaStatus::OverQuota {
            self.over_quota_weight_fraction
        } else {
            1.0
        };
        let quota = self.quotas.get(usize::from(kind.tenant)).copied();
        Load {
            capacity,
            tenant: kind.tenant,
            // Tenants without a quota have equal weights.
            tenant_weight: quota.filter(|quota| *quota > 0.0).unwrap_or(1.0),
            quota_status: kind.quota_status,
            is_retry: kind.is_retry,
            priority_weight: weight * fraction,
            work: self.capacity.work(kind.class),
            rate,
        }
    }

    /// The fraction of the requested priority weight that the observed capacity of the other sites would serve if a site were lost now.
    pub fn headroom(&self, now: Time, site: u16) -> f64 {
        let loads = self.loads(now, Some(site), |_| true);
        headroom(&loads.without_kinds(), &loads.capacities)
    }

    /// Forecasts the effect of the loss of a site; for a lost site, describes the present effect.
    pub fn forecast_loss(&self, now: Time, site: u16) -> LossForecast {
        let groups: BTreeSet<u32> = self.capacity.groups(site).collect();
        let loads = self.loads(now, Some(site), |kind| groups.contains(&kind.group));
        let served = served_fractions(&loads.without_kinds(), &loads.capacities);
        let (capacity_left, requested) = totals(&loads);
        LossForecast {
            headroom: self.headroom(now, site),
            capacity_left,
            requested,
            destinations: self.destinations(now, site, &loads, &served),
            shed: shed_kinds(&loads, &served),
        }
    }

    /// Divides the served work among the other sites in proportion to their observed capacity.
    fn destinations(&self, now: Time, lost: u16, loads: &Loads, served: &[f64]) -> Vec<(u16, f64)> {
        let mut work_by_site: BTreeMap<u16, f64> = BTreeMap::new();
        for ((kind, load), fraction) in loads.loads.iter().zip(served) {
            let work = fraction * load.work * load.rate;
            let capacity = loads.capacities[load.capacity].max(f64::MIN_POSITIVE);
            for (site, observed) in self
                .capacity
                .of_other_sites(now, lost, kind.group, kind.write)
            {
                *work_by_site.entry(site).or_default() += work * observed / capacity;
            }
        }
        let all: f64 = work_by_site.values().sum();
        work_by_site
            .into_iter()
            .filter(|(_, work)| *work > 0.0)
            .map(|(site, work)| (site, work / all))
            .collect()
    }

    /// The fraction of the reads' work that is shed now, 0 to 1.
    pub fn shed_level(&self) -> f64 {
        self.shed_controller.level()
    }
}

/// Total capacity and total requested work, each for reads and for writes.
fn totals(loads: &Loads) -> ([f64; 2], [f64; 2]) {
    let (mut capacity, mut requested) = ([0.0; 2], [0.0; 2]);
    let mut is_counted = vec![false; loads.capacities.len()];
    for (kind, load) in &loads.loads {
        let at = usize::from(kind.write);
        requested[at] += load.work * load.rate;
        if !std::mem::replace(&mut is_counted[load.capacity], true) {
            capacity[at] += loads.capacities[load.capacity];
        }
    }
    (capacity, requested)
}

fn shed_kinds(loads: &Loads, served: &[f64]) -> Vec<ShedKind> {
    /// Rates of all requests of a kind and of those to shed, in requests per second.
    #[derive(Default)]
    struct Rates {
        all: f64,
        shed: f64,
    }
    let mut by_kind: BTreeMap<(u16, u16, QuotaStatus), Rates> = BTreeMap::new();
    for ((kind, load), fraction) in loads.loads.iter().zip(served) {
        let rates = by_kind
            .entry((kind.class, kind.tenant, kind.quota_status))
            .or_default();
        rates.all += load.rate;
        rates.shed += (1.0 - fraction) * load.rate;
    }
    let mut shed: Vec<ShedKind> = by_kind
        .into_iter()
        .map(|((class, tenant, quota_status), rates)| ShedKind {
            class,
            tenant,
            quota_status,
            fraction: rates.shed / rates.all.max(f64::MIN_POSITIVE),
        })
        .collect();
    shed.sort_by(|a, b| b.fraction.total_cmp(&a.fraction));
    shed
}
