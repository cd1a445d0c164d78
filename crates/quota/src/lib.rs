//! Determines which requests are over their tenant's quota, at one proxy of many.
//!
//! A quota is in requests per second over all proxies. A proxy does not know which share of the traffic it receives, so it
//! estimates that share from the tenants ([`QuotaMeter::traffic_share`]): for a tenant within its quota, the ratio of its local
//! rate to the quota is never above the share. One tenant can't move the median of these ratios, and a tenant far above the
//! median is over its quota. Where the ratios are not conclusive, the share is overestimated rather than underestimated: a request
//! within quota that is classified as over quota loses all its weight when capacity is short, while the opposite error costs
//! little.
//!
//! Proxies that reach each other exchange their local rates ([`QuotaMeter::rates`], [`QuotaMeter::set_other_proxies`]). Then the
//! share is known for each tenant, and the local quotas of all proxies add up to the quota, as of the last messages.
//!
//! A loan is repaid by withholding a part of the tenant's quota: [`QuotaMeter::withhold`].
//!
//! No clock and no I/O; time is an argument and never goes back.
#![forbid(unsafe_code)]

mod bucket;
mod meter;
mod tenant;
mod traffic_share;

pub use meter::{OtherProxies, QuotaMeter, RequestStatus, Settings};
pub use tenant::Counts;

use std::time::Duration;

/// Time since an origin that the caller chooses.
pub type Time = Duration;
