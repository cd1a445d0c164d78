//! The loss of a whole site, free of I/O: what one proxy knows of each site ([`Sites`]), what is served of what is asked
//! once a site is gone ([`order::served`], from what [`Capacity`] has learned). [`Plan`] has it all, and tells of each request by
//! which part of its kind is to be refused. How fast a site that returns is given its load back is the decision module's, by its
//! bound of cold servers. Nothing here decides where a request goes. `docs/design/site-loss.md`.
#![forbid(unsafe_code)]

mod capacity;
mod demand;
pub mod order;
mod plan;
mod state;
mod steer;

pub use capacity::{Capacity, Room};
pub use demand::{Demand, Kind};
pub use plan::{Class, Loss, Plan};
pub use state::{Event, Guards, Listed, Report, Settings, Sites, Source, State};
pub use steer::Steer;

use std::time::Duration;

/// Time since an origin of the caller's, on a clock that does not go back. If it does, it stands.
pub type Time = Duration;

/// Sites, servers and groups that are told apart; what comes beyond counts for nothing here.
pub const SITES_LIMIT: usize = 64;
pub const SERVERS_LIMIT: usize = 4_096;
pub const GROUPS_LIMIT: usize = 1_024;
