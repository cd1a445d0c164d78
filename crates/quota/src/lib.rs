//! Which requests are over their tenant's quota, as far as one of many proxies can tell.
//!
//! A quota is in requests a second over all proxies. A proxy does not know which share of the traffic it sees, so it estimates
//! that share from the tenants ([`QuotaMeter::traffic_share`]): the rate of a tenant that keeps to its quota, over that quota, is
//! never above the share. One tenant can't move the median of these ratios, and a tenant far above it is over its quota. Where
//! the ratios tell nothing the share is taken as larger rather than smaller: a request within quota that is taken for one over
//! it loses all its weight when capacity is short, while the opposite error costs little.
//!
//! Proxies that reach each other exchange the traffic that each sees ([`QuotaMeter::rates`], [`QuotaMeter::set_other_proxies`]).
//! Then the share is known for each tenant, and all shares together are the quota, as of the last messages.
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

/// Time since an origin of the caller's.
pub type Time = Duration;
