//! Estimates the share of the fleet's traffic that this proxy sees, from the tenants' use of their quotas.

use std::time::Duration;

use crate::tenant::Tenant;
use crate::Time;

/// Time constant of the tenants' rates.
const RATE_MEMORY: Duration = Duration::from_secs(3);
/// Estimates are made at this interval: short against [`RATE_MEMORY`], long against the time between requests.
pub(crate) const ESTIMATE_INTERVAL: Duration = Duration::from_millis(500);
/// Time constant of a falling share: a quiet minute does not make it smaller.
const SHARE_MEMORY: Duration = Duration::from_secs(60);
/// Fewer recent requests tell nothing of a rate: their number varies by a quarter by chance.
const ENOUGH_REQUESTS: f64 = 16.0;
/// Ratios above the median times this are outliers. Not less: tenants use their quotas unequally, and one that uses all of
/// its own among others that use half is within.
const OUTLIER: f64 = 2.0;

fn seconds(span: Duration) -> f64 {
    span.as_secs_f64()
}

/// The time that recent requests stand for, in seconds, `age` after the start of the stream.
fn rate_span(age: Duration) -> f64 {
    let age = seconds(age) / seconds(RATE_MEMORY);
    seconds(RATE_MEMORY) * (1.0 - (-age).exp())
}

/// The greatest ratio of rate to quota that is no outlier. None: fewer than two tenants tell anything, and one alone has no
/// others to stand out from.
fn usual_ratio(tenants: &[Tenant], span: f64) -> Option<f64> {
    let mut ratios: Vec<f64> = tenants
        .iter()
        .filter(|tenant| tenant.quota > 0.0 && tenant.recent >= ENOUGH_REQUESTS)
        .map(|tenant| tenant.recent / span / tenant.quota)
        .collect();
    ratios.sort_by(f64::total_cmp);
    let median = ratios
        .get(ratios.len().saturating_sub(1) / 2)
        .filter(|_| ratios.len() > 1)?;
    ratios
        .iter()
        .rfind(|ratio| **ratio <= OUTLIER * median)
        .copied()
}

/// Rises at once, since requests that move here from another proxy raise all ratios and are within; falls slowly.
fn next_share(share: Option<f64>, seen: f64, elapsed: f64) -> f64 {
    let former = share.unwrap_or(0.0);
    seen.max(former + (seen - former) * (1.0 - (-elapsed / seconds(SHARE_MEMORY)).exp()))
}

/// The estimate.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrafficShare {
    started: Option<Time>,
    estimated_at: Time,
    /// None: nothing is known yet.
    share: Option<f64>,
}

impl TrafficShare {
    /// Between an even share of so many proxies and 1. As long as nothing is known it is 1: what is over a whole quota here is
    /// over it wherever the rest of the traffic goes.
    pub fn get(&self, proxies: u32) -> f64 {
        let least = 1.0 / f64::from(proxies.max(1));
        self.share.unwrap_or(1.0).clamp(least, 1.0)
    }

    pub fn forget(&mut self) {
        self.share = None;
    }

    /// Estimates the share and the tenants' rates anew, if it is time.
    pub fn update(&mut self, now: Time, tenants: &mut [Tenant]) {
        let started = *self.started.get_or_insert(now);
        let elapsed = now.saturating_sub(self.estimated_at.max(started));
        if elapsed < ESTIMATE_INTERVAL {
            return;
        }
        let elapsed = seconds(elapsed);
        let span = rate_span(now.saturating_sub(started));
        if let Some(seen) = usual_ratio(tenants, span) {
            self.share = Some(next_share(self.share, seen, elapsed));
        }
        let decay = (-elapsed / seconds(RATE_MEMORY)).exp();
        for tenant in tenants {
            tenant.rate = tenant.recent / span;
            tenant.recent *= decay;
        }
        self.estimated_at = now;
    }
}
