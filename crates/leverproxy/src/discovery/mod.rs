//! Discovery: the record servers that exist, and whether they take requests.
//!
//! | module | concern |
//! | --- | --- |
//! | `watch` | the connection to discovery, a long poll |
//! | `directory` | names to ids and addresses, exclusions by operators |
//! | `wire` | discovery's JSON |
//!
//! Where the list is polled, the decision module orders the calls. When a call counts as lost, and when the next one is made
//! at the latest, is decided by [`discovery_schedule`].

pub mod directory;
mod watch;
pub mod wire;

pub use watch::{DiscoveryClient, WatchEvent};
