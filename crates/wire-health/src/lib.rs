//! Codecs of the health protocols of load balancers. They convert between bytes and messages, without sockets and
//! clocks; the health to report is passed in as a [`Status`].

pub mod agent;
pub mod http;
pub mod orca;
pub mod proxy;

pub use health_state::State;

use std::time::Duration;

/// The health to report, of the whole proxy or of one group of record servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// The health that is reported.
    pub state: State,
    /// The weight, 0 to 100.
    pub weight: u8,
    /// The fault that lowers the weight most; one line.
    pub reason: String,
    /// Maximum number of clients that the proxy takes at once; none: not reported.
    pub max_clients: Option<u32>,
    /// Time after which a rejected client may retry.
    pub retry_after: Duration,
    /// The proxy's own load.
    pub load: Load,
    /// The health of each group of record servers.
    pub groups: Vec<Group>,
    /// The name of each site of record servers, and the state of the link to it.
    pub links: Vec<(String, &'static str)>,
}

/// The health of one group of record servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// The group's number.
    pub group: u32,
    /// The group's condition, by its name in health reports.
    pub condition: &'static str,
    /// Whether the proxy takes requests for the group.
    pub serves: bool,
}

/// The proxy's load. Fields without another unit are fractions from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Processor time used.
    pub cpu: f64,
    /// Memory used.
    pub memory: f64,
    /// Utilization of the most used limit of the proxy.
    pub application: f64,
    /// Requests per second.
    pub requests_per_s: f64,
    /// Failed requests per second.
    pub errors_per_s: f64,
    /// Open requests, as a fraction of the limit.
    pub open: f64,
    /// File descriptors used, as a fraction of the limit.
    pub descriptors: f64,
}
