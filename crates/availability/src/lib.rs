//! The health that a proxy reports to the balancers in front of it: a state, and a weight from 0 to 100.
//!
//! The inputs of the model are the outcomes of attempts and requests, the proxy's own load, and its drain. It never decides where a
//! request goes. It distinguishes the proxy's **own faults** from **shared faults**: all proxies use the same record servers, and
//! if all proxies reported themselves dead for a fault of the record servers, the balancers would have no proxy left.
//!
//! # Weight
//!
//! While a proxy serves, its weight is 100 x own x shared, where
//! - `own` falls with signals that only this proxy can cause (the lag of its event loop), down to `own_floor`;
//! - `shared` falls with the part of its traffic that record servers do not serve, down to `floor`;
//! - a link to a site that is proven to be cut lowers `own` by the part of the attempts that went there, down to `cut_floor`
//!   (see [`LinkState`]);
//! - signals that slow record servers or load on all proxies can cause as well (open requests, descriptors, memory) lower `own`,
//!   less the part that slower answers explain, but never the weight below `floor`. They are noticed before the slowness itself, so
//!   that waiting for proof of a shared fault would take too long.
//!
//! Whatever record servers and clients do, a proxy whose event loop is in time (and has been for as long as its weight takes to
//! rise) reports at least 100 x `floor`, or 100 x `cut_floor` while it is proven that servers work which it can't reach. Only a
//! proxy that is draining, stopping or not yet started reports 0. Tests check these bounds over random events.
#![forbid(unsafe_code)]

mod event;
mod group;
mod latency;
mod link;
mod model;
mod report;
mod settings;
mod weight;

pub use event::{AttemptOutcome, Event, Load, RejectionCause};
pub use group::{Condition, GroupState};
pub use health_state::State;
pub use link::{LinkState, SERVERS_LIMIT, SITES_LIMIT};
pub use model::{Availability, GROUPS_LIMIT};
pub use report::{Reason, Report};
pub use settings::Settings;

use std::time::Duration;

/// Time since an origin that the caller chooses, on a monotonic clock. A step back is ignored.
pub type Time = Duration;
