//! Order in which load is shed when the capacity does not suffice; the same in every proxy.
//!
//! Requests over quota are shed first, then requests on loan, then clients' retries, then requests with the least priority weight
//! per work. Requests that compare equal form a rank, and within a rank tenants are served by weighted max-min fairness. No request
//! of a rank is served while one of a higher rank is shed, so of each capacity at most one rank is served in part; all others are
//! served in full or not at all.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use crate::QuotaStatus;

/// Requests of one kind, with their rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Index of the capacity that the requests use: that of one group, for writes or for reads.
    pub capacity: usize,
    /// The tenant.
    pub tenant: u16,
    /// The tenant's weight relative to other tenants.
    pub tenant_weight: f64,
    /// Status of the requests with respect to the tenant's quota.
    pub quota_status: QuotaStatus,
    /// Whether the requests are clients' retries.
    pub is_retry: bool,
    /// Priority weight of one request.
    pub priority_weight: f64,
    /// Work of one request, in seconds.
    pub work: f64,
    /// Requests per second.
    pub rate: f64,
}

impl Load {
    /// Whether work, rate and tenant weight are positive and all values are finite; other loads are not served.
    fn is_valid(&self) -> bool {
        let is_positive = |n: f64| n.is_finite() && n > 0.0;
        is_positive(self.work)
            && is_positive(self.rate)
            && is_positive(self.tenant_weight)
            && self.priority_weight.is_finite()
    }

    /// Requested work, in seconds per second.
    fn demand(&self) -> f64 {
        self.work * self.rate
    }
}

/// Compares the ranks of two loads; the higher rank is less.
fn compare_ranks(a: &Load, b: &Load) -> Ordering {
    let value = |load: &Load| load.priority_weight / load.work;
    let order = |load: &Load| (load.quota_status, load.is_retry);
    order(a).cmp(&order(b)).then(value(b).total_cmp(&value(a)))
}

/// Whether `a` has a higher rank than `b`: `a` is shed only when nothing of `b` is served.
pub fn has_precedence(a: &Load, b: &Load) -> bool {
    compare_ranks(a, b).is_lt()
}

/// The fraction of each load that is served, from 0 to 1. `capacities` are in seconds of work per second; a missing one counts as 0.
/// A load without work or rate is not served and uses no capacity.
pub fn served_fractions(loads: &[Load], capacities: &[f64]) -> Vec<f64> {
    let mut fractions = vec![0.0; loads.len()];
    let mut order: Vec<usize> = (0..loads.len())
        .filter(|at| loads[*at].is_valid())
        .collect();
    order.sort_by(|a, b| {
        let (a, b) = (&loads[*a], &loads[*b]);
        a.capacity
            .cmp(&b.capacity)
            .then_with(|| compare_ranks(a, b))
    });
    for loads_of_capacity in order.chunk_by(|a, b| loads[*a].capacity == loads[*b].capacity) {
        let capacity = loads_of_capacity
            .first()
            .and_then(|at| capacities.get(loads[*at].capacity))
            .copied()
            .filter(|capacity| capacity.is_finite())
            .unwrap_or(0.0);
        serve_ranks(loads, loads_of_capacity, capacity.max(0.0), &mut fractions);
    }
    fractions
}

/// Serves the loads of one capacity, rank by rank. Ranks below the first that is not served in full are not served, even if a small
/// load would fit: capacity that becomes free belongs to the higher rank.
fn serve_ranks(loads: &[Load], order: &[usize], capacity: f64, fractions: &mut [f64]) {
    let mut left = capacity;
    for rank in order.chunk_by(|a, b| compare_ranks(&loads[*a], &loads[*b]).is_eq()) {
        let demand: f64 = rank.iter().map(|at| loads[*at].demand()).sum();
        if demand > left {
            divide_among_tenants(loads, rank, left, fractions);
            return;
        }
        rank.iter().for_each(|at| fractions[*at] = 1.0);
        left -= demand;
    }
}

/// Demand of one tenant within a rank.
struct TenantDemand {
    tenant: u16,
    demand: f64,
    weight: f64,
}

fn tenant_demands(loads: &[Load], rank: &[usize]) -> Vec<TenantDemand> {
    let mut by_tenant: BTreeMap<u16, TenantDemand> = BTreeMap::new();
    for load in rank.iter().map(|at| &loads[*at]) {
        let known = by_tenant.entry(load.tenant).or_insert(TenantDemand {
            tenant: load.tenant,
            demand: 0.0,
            weight: 0.0,
        });
        known.demand += load.demand();
        known.weight = known.weight.max(load.tenant_weight);
    }
    by_tenant.into_values().collect()
}

/// Divides the capacity by progressive filling: a tenant that demands less than its share of the remaining capacity is served in
/// full, and the rest of its share goes to the other tenants.
fn divide_among_tenants(loads: &[Load], rank: &[usize], capacity: f64, fractions: &mut [f64]) {
    let mut tenants = tenant_demands(loads, rank);
    tenants.sort_by(|a, b| (a.demand / a.weight).total_cmp(&(b.demand / b.weight)));
    let mut left = capacity;
    let mut weights: f64 = tenants.iter().map(|tenant| tenant.weight).sum();
    for tenant in tenants {
        let part = (tenant.weight / weights).min(1.0);
        let served = tenant.demand.min(left * part);
        left = (left - served).max(0.0);
        weights -= tenant.weight;
        let fraction = (served / tenant.demand).clamp(0.0, 1.0);
        rank.iter()
            .filter(|at| loads[**at].tenant == tenant.tenant)
            .for_each(|at| fractions[*at] = fraction);
    }
}

/// The served fraction of the requested priority weight, 0 to 1; 1 if nothing is requested.
pub fn headroom(loads: &[Load], capacities: &[f64]) -> f64 {
    let weight = |load: &Load| {
        if load.is_valid() {
            load.priority_weight.max(0.0) * load.rate
        } else {
            0.0
        }
    };
    let requested: f64 = loads.iter().map(weight).sum();
    let served: f64 = loads
        .iter()
        .zip(served_fractions(loads, capacities))
        .map(|(load, fraction)| weight(load) * fraction)
        .sum();
    if requested > 0.0 {
        served / requested
    } else {
        1.0
    }
}
