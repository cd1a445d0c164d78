//! The meter: requests in, their quota status out.

use crate::bucket::Level;
use crate::tenant::{Counts, Tenant};
use crate::traffic_share::TrafficShare;
use crate::Time;

/// The most of a bucket that classes of less weight than the median leave to others. One without weight leaves all of it.
const RESERVED_MOST: f64 = 0.5;
/// With the traffic of other proxies known, each proxy has this part of an even share beside what it sees: a tenant that was
/// never seen here is not wholly over its quota with its first requests.
const PRIOR: f64 = 0.1;

/// The quotas, and what they depend on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Proxies that share the quotas; 0 counts as 1.
    pub proxies: u32,
    /// By tenant, in requests a second over all proxies; 0: unlimited.
    pub quotas: Vec<f64>,
    /// Priority weight by class, in any unit. A class that is missing reserves nothing for others.
    pub priority_weights: Vec<f64>,
}

/// What a request is to its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// The tenant has no quota.
    Unlimited,
    /// Within the quota.
    Within,
    /// Within the quota, but in the part that is withheld: it repays a loan, and is no reason for another.
    Withheld,
    /// Over the quota.
    Over,
}

/// The traffic at all other proxies that report it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OtherProxies {
    /// Their number.
    pub proxies: u32,
    /// By tenant, in requests a second, of all of them together.
    pub rates: Vec<f64>,
}

/// Meters the requests of all tenants at one proxy.
#[derive(Clone, Debug, Default)]
pub struct QuotaMeter {
    proxies: u32,
    tenants: Vec<Tenant>,
    /// By class: the part of a bucket that it leaves to classes of more weight.
    reserved: Vec<f64>,
    traffic_share: TrafficShare,
    /// Other proxies that report their traffic; none: the share is estimated.
    other_proxies: Option<u32>,
}

/// Classes below the median weight reserve a part. Not below the greatest: the meter knows no costs, and of two classes of great
/// weight the greater often takes most of the work.
fn reserved_parts(weights: &[f64]) -> Vec<f64> {
    let mut sorted = weights.to_vec();
    sorted.sort_by(f64::total_cmp);
    let median = sorted
        .get(sorted.len().saturating_sub(1) / 2)
        .map_or(0.0, |weight| weight.max(f64::MIN_POSITIVE));
    weights
        .iter()
        .map(|weight| RESERVED_MOST * (1.0 - weight / median).clamp(0.0, 1.0))
        .collect()
}

fn finite_or_zero(value: f64) -> f64 {
    if value.is_finite() {
        value
    } else {
        0.0
    }
}

impl QuotaMeter {
    /// A meter by these settings.
    pub fn new(settings: &Settings) -> QuotaMeter {
        let mut meter = QuotaMeter::default();
        meter.configure(settings, Some);
        meter
    }

    /// Takes other settings over. `former` gives the former index of a tenant, whose state is then kept.
    pub fn configure(&mut self, settings: &Settings, former: impl Fn(usize) -> Option<usize>) {
        let known = std::mem::take(&mut self.tenants);
        let tenant = |(at, quota): (usize, &f64)| {
            let known = former(at).and_then(|at| known.get(at));
            Tenant {
                quota: finite_or_zero(*quota).max(0.0),
                ..known.copied().unwrap_or_default()
            }
        };
        self.tenants = settings.quotas.iter().enumerate().map(tenant).collect();
        self.reserved = reserved_parts(&settings.priority_weights);
        let proxies = settings.proxies.max(1);
        if std::mem::replace(&mut self.proxies, proxies) != proxies {
            self.traffic_share.forget();
        }
    }

    /// A request of this tenant and class has arrived. A client's retry takes nothing, since the quota is of requests and not of
    /// attempts: its status is what a first attempt would have now.
    pub fn record_request(
        &mut self,
        now: Time,
        tenant: usize,
        class: usize,
        is_retry: bool,
    ) -> RequestStatus {
        if self.tenants.get(tenant).is_none_or(|t| t.quota <= 0.0) {
            return RequestStatus::Unlimited;
        }
        self.update(now);
        let quota = self.local_quota(tenant);
        let reserved = self.reserved.get(class).copied().unwrap_or(0.0);
        let Some(tenant) = self.tenants.get_mut(tenant) else {
            return RequestStatus::Unlimited;
        };
        let level = tenant.bucket.level(now, quota, tenant.withheld);
        let status = status(level, reserved, is_retry);
        tenant.take(now, level, status, is_retry);
        status
    }

    /// The estimated share of the fleet's traffic that this proxy sees.
    pub fn traffic_share(&self) -> f64 {
        self.traffic_share.get(self.proxies)
    }

    /// Rates seen here, in requests a second by tenant: to be published to other proxies.
    pub fn rates(&mut self, now: Time) -> impl Iterator<Item = f64> + '_ {
        self.update(now);
        self.tenants.iter().map(|tenant| tenant.rate)
    }

    /// What other proxies see. None: no other reports, and the share is estimated again.
    pub fn set_other_proxies(&mut self, others: Option<&OtherProxies>) {
        self.other_proxies = others.map(|others| others.proxies);
        let rates = others.map_or(&[][..], |others| &others.rates);
        for (at, tenant) in self.tenants.iter_mut().enumerate() {
            let rate = rates.get(at).copied().map_or(0.0, finite_or_zero);
            tenant.rate_elsewhere = rate.max(0.0);
        }
    }

    /// This proxy's part of a tenant's quota, in requests a second.
    pub fn local_quota(&self, tenant: usize) -> f64 {
        let Some(tenant) = self.tenants.get(tenant) else {
            return 0.0;
        };
        let share = self.other_proxies.map_or(self.traffic_share(), |others| {
            let proxies = f64::from(others) + 1.0;
            let prior = PRIOR * tenant.quota / proxies;
            (tenant.rate + prior) / (tenant.rate + tenant.rate_elsewhere + prior * proxies)
        });
        tenant.quota * share.clamp(0.0, 1.0)
    }

    /// The part of [`QuotaMeter::local_quota`] that a tenant uses.
    pub fn utilization(&self, tenant: usize) -> f64 {
        let rate = self.tenants.get(tenant).map_or(0.0, |t| t.rate);
        rate / self.local_quota(tenant).max(f64::MIN_POSITIVE)
    }

    /// Withholds this part of a tenant's quota here from now on, 0 to 1. Returns the requests that were withheld since the last
    /// call.
    pub fn withhold(&mut self, now: Time, tenant: usize, part: f64) -> f64 {
        let quota = self.local_quota(tenant);
        let Some(tenant) = self.tenants.get_mut(tenant) else {
            return 0.0;
        };
        // Until now the bucket was filled with the former part withheld.
        let level = tenant.bucket.level(now, quota, tenant.withheld);
        tenant.bucket.settle(now, level);
        let elapsed = now.saturating_sub(tenant.withheld_counted_at);
        let withheld = tenant.withheld * quota * elapsed.as_secs_f64();
        tenant.withheld = finite_or_zero(part).clamp(0.0, 1.0);
        tenant.withheld_counted_at = now;
        withheld
    }

    /// Requests so far, by tenant.
    pub fn counts(&self) -> impl Iterator<Item = Counts> + '_ {
        self.tenants.iter().map(|tenant| tenant.counts)
    }

    fn update(&mut self, now: Time) {
        self.traffic_share.update(now, &mut self.tenants);
    }
}

fn status(level: Level, reserved: f64, is_retry: bool) -> RequestStatus {
    let least = if is_retry {
        level.depth / 2.0
    } else {
        1.0 + reserved * level.depth
    };
    if level.tokens >= least {
        RequestStatus::Within
    } else if level.tokens_unwithheld >= least {
        RequestStatus::Withheld
    } else {
        RequestStatus::Over
    }
}

impl Tenant {
    fn take(&mut self, now: Time, level: Level, status: RequestStatus, is_retry: bool) {
        let cost = if is_retry { 0.0 } else { 1.0 };
        let within = status == RequestStatus::Within;
        let withheld = status == RequestStatus::Withheld;
        let taken = if within { cost } else { 0.0 };
        // A request within quota takes from both, or they would drift apart and requests over quota would find the difference.
        let taken_unwithheld = if within || withheld { cost } else { 0.0 };
        self.bucket.set(
            now,
            level.tokens - taken,
            level.tokens_unwithheld - taken_unwithheld,
        );
        self.recent += cost;
        if within {
            self.counts.within += 1;
        } else {
            self.counts.beyond += 1;
        }
    }
}
