//! Loss of a whole site. No clock and no I/O. The reasons for the design stand in `docs/design/site-loss.md`.
//!
//! [`SiteDetector`] judges by evidence which site is lost. [`Capacity`] learns the work that each site has shown it can do, and
//! [`load_shedding`] computes from it which requests are served when there is not capacity for all. [`FailoverPlan`] combines
//! them: it tells for each request which fraction of its kind is to be shed ([`ShedController`]), and what the loss of a site would
//! come to. How fast a returning site gets its load back is the decision module's, by its slow start. Nothing here decides where
//! a request goes.
#![forbid(unsafe_code)]

mod capacity;
mod demand;
mod detector;
mod event;
pub mod load_shedding;
mod plan;
mod quota_status;
mod server;
mod settings;
mod shedding_level;
mod site;

pub use capacity::{Capacity, CapacityKey};
pub use demand::{Demand, RequestKind};
pub use detector::SiteDetector;
pub use event::{EndpointState, Event};
pub use plan::{Class, FailoverPlan, LossForecast, ShedKind};
pub use quota_status::QuotaStatus;
pub use settings::{Guards, Settings};
pub use shedding_level::ShedController;
pub use site::{Evidence, Report, SiteState};

use std::time::Duration;

/// Time since an origin of the caller's, on a monotonic clock. A step back is ignored.
pub type Time = Duration;

/// Most sites; further ones are ignored, as are further servers and groups.
pub const SITES_LIMIT: usize = 64;
/// Most servers.
pub const SERVERS_LIMIT: usize = 4_096;
/// Most groups.
pub const GROUPS_LIMIT: usize = 1_024;
