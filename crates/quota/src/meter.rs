//! The meter: assigns each request its quota status.

use crate::bucket::Level;
use crate::tenant::{Counts, Tenant};
use crate::traffic_share::TrafficShare;
use crate::Time;

/// Maximum part of a bucket that a class reserves for classes of more weight. A class without weight reserves this part, and
/// classes of at least the median weight reserve nothing.
const MAX_RESERVED: f64 = 0.5;
/// Weight of an even division of the quota that is added to the rates, once the traffic of other proxies is known: the first
/// requests of a tenant that is new to this proxy are then not all over its quota.
const PRIOR_WEIGHT: f64 = 0.1;

/// Settings of a meter.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of proxies that share the quotas; 0 counts as 1.
    pub proxies: u32,
    /// Quota by tenant, in requests per second over all proxies; 0 means unlimited.
    pub quotas: Vec<f64>,
    /// Priority weight by class, in any unit. A class that is not in the list reserves nothing for others.
    pub priority_weights: Vec<f64>,
}

/// Status of a request relative to its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// The tenant has no quota.
    Unlimited,
    /// Within the quota.
    Within,
    /// Within the quota, but in the withheld part: the request repays a loan, and may not cause another one.
    Withheld,
    /// Over the quota.
    Over,
}

/// Traffic at all other proxies that report it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OtherProxies {
    /// Number of reporting proxies.
    pub proxies: u32,
    /// Sum of their rates by tenant, in requests per second.
    pub rates: Vec<f64>,
}

/// Meters the requests of all tenants at one proxy.
#[derive(Clone, Debug, Default)]
pub struct QuotaMeter {
    proxies: u32,
    tenants: Vec<Tenant>,
    /// Part of a bucket, 0 to 1, that each class leaves to classes of more weight.
    reserved: Vec<f64>,
    traffic_share: TrafficShare,
    /// Number of other proxies that report their traffic. `None` if the share is estimated.
    other_proxies: Option<u32>,
}

/// Part of a bucket that each class reserves: only classes below the median weight reserve one. The reference is not the
/// greatest weight: the meter does not know costs, and of two classes of great weight the greater one often takes most of the
/// work.
fn reserved_parts(weights: &[f64]) -> Vec<f64> {
    let mut sorted = weights.to_vec();
    sorted.sort_by(f64::total_cmp);
    let median = sorted
        .get(sorted.len().saturating_sub(1) / 2)
        .map_or(0.0, |weight| weight.max(f64::MIN_POSITIVE));
    weights
        .iter()
        .map(|weight| MAX_RESERVED * (1.0 - weight / median).clamp(0.0, 1.0))
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
    /// Creates a meter.
    pub fn new(settings: &Settings) -> QuotaMeter {
        let mut meter = QuotaMeter::default();
        meter.configure(settings, Some);
        meter
    }

    /// Replaces the settings. `former_index` returns the previous index of a tenant, whose state is then kept.
    pub fn configure(
        &mut self,
        settings: &Settings,
        former_index: impl Fn(usize) -> Option<usize>,
    ) {
        let known = std::mem::take(&mut self.tenants);
        let tenant = |(at, quota): (usize, &f64)| {
            let known = former_index(at).and_then(|at| known.get(at));
            Tenant {
                quota: finite_or_zero(*quota).max(0.0),
                ..known.copied().unwrap_or_default()
            }
        };
        self.tenants = settings.quotas.iter().enumerate().map(tenant).collect();
        self.reserved = reserved_parts(&settings.priority_weights);
        let proxies = settings.proxies.max(1);
        if std::mem::replace(&mut self.proxies, proxies) != proxies {
            self.traffic_share.reset();
        }
    }

    /// Records the arrival of a request of a tenant and class, and returns its status. A client's retry takes no token, since the
    /// quota counts requests and not attempts: its status is the one that a first attempt would have now.
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

    /// Estimated share of the fleet's traffic that this proxy receives, 0 to 1.
    pub fn traffic_share(&self) -> f64 {
        self.traffic_share.get(self.proxies)
    }

    /// Local rates by tenant, in requests per second, for publication to other proxies.
    pub fn rates(&mut self, now: Time) -> impl Iterator<Item = f64> + '_ {
        self.update(now);
        self.tenants.iter().map(|tenant| tenant.rate)
    }

    /// Sets the traffic at other proxies. `None` if no other proxy reports; the share is then estimated again.
    pub fn set_other_proxies(&mut self, others: Option<&OtherProxies>) {
        self.other_proxies = others.map(|others| others.proxies);
        let rates = others.map_or(&[][..], |others| &others.rates);
        for (at, tenant) in self.tenants.iter_mut().enumerate() {
            let rate = rates.get(at).copied().map_or(0.0, finite_or_zero);
            tenant.rate_elsewhere = rate.max(0.0);
        }
    }

    /// This proxy's part of a tenant's quota, in requests per second.
    pub fn local_quota(&self, tenant: usize) -> f64 {
        let Some(tenant) = self.tenants.get(tenant) else {
            return 0.0;
        };
        let share = self.other_proxies.map_or(self.traffic_share(), |others| {
            let proxies = f64::from(others) + 1.0;
            let prior = PRIOR_WEIGHT * tenant.quota / proxies;
            (tenant.rate + prior) / (tenant.rate + tenant.rate_elsewhere + prior * proxies)
        });
        tenant.quota * share.clamp(0.0, 1.0)
    }

    /// Ratio of a tenant's local rate to [`QuotaMeter::local_quota`].
    pub fn utilization(&self, tenant: usize) -> f64 {
        let rate = self.tenants.get(tenant).map_or(0.0, |t| t.rate);
        rate / self.local_quota(tenant).max(f64::MIN_POSITIVE)
    }

    /// Withholds a part, 0 to 1, of a tenant's local quota from now on. Returns the number of requests withheld since the last
    /// call.
    pub fn withhold(&mut self, now: Time, tenant: usize, part: f64) -> f64 {
        let quota = self.local_quota(tenant);
        let Some(tenant) = self.tenants.get_mut(tenant) else {
            return 0.0;
        };
        // Until now the bucket was refilled with the previous part withheld.
        let level = tenant.bucket.level(now, quota, tenant.withheld);
        tenant.bucket.settle(now, level);
        let elapsed = now.saturating_sub(tenant.withheld_counted_at);
        let withheld = tenant.withheld * quota * elapsed.as_secs_f64();
        tenant.withheld = finite_or_zero(part).clamp(0.0, 1.0);
        tenant.withheld_counted_at = now;
        withheld
    }

    /// Counts of requests so far, by tenant.
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
        // A request within quota takes a token from both levels. Otherwise they would drift apart, and requests over quota could
        // use the difference.
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
