//! Detection of the loss of a whole site, and load shedding while a site is lost. The crate has no clock and does no I/O. The
//! reasons for the design are in `docs/design/site-loss.md`.
//!
//! - [`SiteDetector`] decides from evidence about servers which sites are lost.
//! - [`Capacity`] learns the work that each site has been observed to do.
//! - [`load_shedding`] computes which requests are served when the capacity does not suffice for all.
//! - [`FailoverPlan`] combines these parts: it returns for each request the fraction of its kind to shed ([`ShedController`]), and
//!   forecasts the effect of the loss of a site.
//!
//! Nothing here decides where a request goes. The decision module limits by its slow start how fast a returning site gets its load
//! back.
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

/// Time since an origin that the caller chooses, on a monotonic clock. A step back is ignored.
pub type Time = Duration;

/// Maximum number of sites. Sites, servers and groups beyond their maximum are ignored.
pub const SITES_LIMIT: usize = 64;
/// Maximum number of servers.
pub const SERVERS_LIMIT: usize = 4_096;
/// Maximum number of groups.
pub const GROUPS_LIMIT: usize = 1_024;
