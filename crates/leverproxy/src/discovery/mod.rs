//! Discovery: the list of record servers, and whether each server takes requests.
//!
//! | module | concern |
//! | --- | --- |
//! | `watch` | the connection to discovery, a long poll |
//! | `directory` | mapping of names to ids and addresses, exclusions by operators |
//! | `wire` | JSON format of the endpoint list |
//!
//! If the list is polled, the decision module requests the calls. [`discovery_schedule`] decides when a call counts as
//! lost and by when the next call has to be made.

pub mod directory;
mod watch;
pub mod wire;

pub use watch::{DiscoveryClient, WatchEvent};
