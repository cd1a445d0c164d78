//! Estimates the share of the fleet's traffic that this proxy receives, from the ratios of the tenants' rates to their quotas.

use std::time::Duration;

use crate::tenant::Tenant;
use crate::Time;

/// Time constant of the tenants' rates.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(3);
/// Interval of estimates: short compared to [`RATE_TIME_CONSTANT`], long compared to the time between requests.
pub(crate) const ESTIMATE_INTERVAL: Duration = Duration::from_millis(500);
/// Time constant of a falling share, long so that a minute of little traffic does not reduce the share.
const SHARE_TIME_CONSTANT: Duration = Duration::from_secs(60);
/// Minimum number of recent requests for an estimate of a rate: the standard deviation of fewer exceeds a quarter of them.
const MIN_REQUESTS: f64 = 16.0;
/// Ratios above the median times this are outliers. Not less: tenants use their quotas to different degrees, and a tenant that
/// uses all of its quota among others that use half is within quota.
const OUTLIER_RATIO: f64 = 2.0;

fn seconds(span: Duration) -> f64 {
    span.as_secs_f64()
}

/// Time that the decayed count of recent requests corresponds to, in seconds, at `age` after the start of the stream.
fn effective_span(age: Duration) -> f64 {
    let age = seconds(age) / seconds(RATE_TIME_CONSTANT);
    seconds(RATE_TIME_CONSTANT) * (1.0 - (-age).exp())
}

/// Greatest ratio of rate to quota that is not an outlier. `None` if fewer than two tenants have enough requests: outliers can
/// only be found by comparison.
fn max_regular_ratio(tenants: &[Tenant], span: f64) -> Option<f64> {
    let mut ratios: Vec<f64> = tenants
        .iter()
        .filter(|tenant| tenant.quota > 0.0 && tenant.recent >= MIN_REQUESTS)
        .map(|tenant| tenant.recent / span / tenant.quota)
        .collect();
    ratios.sort_by(f64::total_cmp);
    let median = ratios
        .get(ratios.len().saturating_sub(1) / 2)
        .filter(|_| ratios.len() > 1)?;
    ratios
        .iter()
        .rfind(|ratio| **ratio <= OUTLIER_RATIO * median)
        .copied()
}

/// Next estimate of the share. It rises at once, since requests that move here from another proxy raise all ratios and are
/// within quota; it falls slowly.
fn next_share(share: Option<f64>, observed: f64, elapsed: f64) -> f64 {
    let former = share.unwrap_or(0.0);
    observed
        .max(former + (observed - former) * (1.0 - (-elapsed / seconds(SHARE_TIME_CONSTANT)).exp()))
}

/// Estimate of the traffic share.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrafficShare {
    started: Option<Time>,
    estimated_at: Time,
    /// Estimated share, 0 to 1; `None` before the first estimate.
    share: Option<f64>,
}

impl TrafficShare {
    /// Share, between an even one of `proxies` proxies and 1. Before the first estimate it is 1: a local rate over the whole quota
    /// is over quota wherever the rest of the traffic goes.
    pub fn get(&self, proxies: u32) -> f64 {
        let least = 1.0 / f64::from(proxies.max(1));
        self.share.unwrap_or(1.0).clamp(least, 1.0)
    }

    pub fn reset(&mut self) {
        self.share = None;
    }

    /// Updates the estimates of the share and of the tenants' rates, if the interval has passed.
    pub fn update(&mut self, now: Time, tenants: &mut [Tenant]) {
        let started = *self.started.get_or_insert(now);
        let elapsed = now.saturating_sub(self.estimated_at.max(started));
        if elapsed < ESTIMATE_INTERVAL {
            return;
        }
        let elapsed = seconds(elapsed);
        let span = effective_span(now.saturating_sub(started));
        if let Some(observed) = max_regular_ratio(tenants, span) {
            self.share = Some(next_share(self.share, observed, elapsed));
        }
        let decay = (-elapsed / seconds(RATE_TIME_CONSTANT)).exp();
        for tenant in tenants {
            tenant.rate = tenant.recent / span;
            tenant.recent *= decay;
        }
        self.estimated_at = now;
    }
}
