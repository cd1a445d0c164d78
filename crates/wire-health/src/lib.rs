//! Codecs of the health protocols that balancers speak: bytes in, messages out, and back. No sockets, no clocks, and
//! no opinion on how the proxy fares: that comes as a [`Status`].

pub mod agent;
pub mod http;
pub mod orca;
pub mod proxy;

pub use health_state::State;

use std::time::Duration;

/// What is to be told, of the whole proxy or of one group of record servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// The health that is reported.
    pub state: State,
    /// 0 to 100.
    pub weight: u8,
    /// What counts most against the weight; one line.
    pub reason: String,
    /// Most clients that the proxy takes at once; none: that is not reported.
    pub max_clients: Option<u32>,
    /// When whoever is turned away may come again.
    pub retry_after: Duration,
    /// The proxy's own load.
    pub load: Load,
    /// Each group of record servers.
    pub groups: Vec<Group>,
    /// Places of record servers, and how the link to each stands.
    pub links: Vec<(String, &'static str)>,
}

/// The health of one group of record servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// The group's number.
    pub group: u32,
    /// Its condition, in the words of the status page.
    pub condition: &'static str,
    /// Whether requests for it are taken.
    pub serves: bool,
}

/// The proxy's load, parts of 1 where nothing else is said.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Processor time used.
    pub cpu: f64,
    /// Memory used.
    pub memory: f64,
    /// Of whatever bounds the proxy most.
    pub application: f64,
    /// Requests a second.
    pub requests_per_s: f64,
    /// Failed requests a second.
    pub errors_per_s: f64,
    /// Open requests, of those that the proxy may hold.
    pub open: f64,
    /// File descriptors used.
    pub descriptors: f64,
}
