//! Configuration: the only place where it is read, checked and given defaults.
//!
//! Two files make one [`Config`]: the platform's JSON (`LB_CONFIG`, `platform_file`) and the operators' file
//! (`LB_OPERATORS`, [`operators_file`] and [`operator_config`]), if there is one. The operators' file sets what operators
//! choose and may tighten what the platform states, never loosen it. Variables of the environment override
//! both, but for `LB_DISCOVERY` on a reload: there the platform's file counts.

mod effective;
mod error;
mod json_position;
mod key_file;
mod limits;
mod load;
pub mod operator_config;
pub mod operators_file;
mod platform_file;
pub mod reload;
pub mod reload_request;

pub use effective::effective;
pub use error::ConfigError;
pub use limits::{Limits, MAX_BALANCER_CONNECTIONS};
pub use load::{from_env, parse, platform, reread};
pub use platform_file::RequiredKeys;

use crate::clock::WallClock;
use crate::discovery::wire::EndpointList;
use crate::health::ListenerSettings;
use crate::pipeline::route_rules::Rules;
use configuration::calendar::Window;
use configuration::model::{Lending, Logging, Members, Persistence, Rollout};
use ipnet::IpNet;
use platform_settings::PlatformSettings;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Everything that a proxy needs to start, checked.
#[derive(Debug)]
pub struct Config {
    /// The proxy's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call; none: nothing listens.
    pub admin: Option<SocketAddr>,
    /// The socket on which the next process finds this one; none without an admin address or a folder for it.
    pub hot_restart_socket: Option<PathBuf>,
    /// Where the list of record servers is served.
    pub discovery: SocketAddr,
    /// Of all random numbers, new with each start.
    pub seed: u64,
    /// How descriptors and memory are divided.
    pub limits: Limits,
    /// What one client may use, in time and otherwise.
    pub client_limits: ClientLimits,
    /// The operators' routes, classes and pools.
    pub rules: Rules,
    /// Where balancers' health checks are answered.
    pub health: Vec<ListenerSettings>,
    /// When the proxy calls itself degraded or down.
    pub availability: availability::Settings,
    /// The operators' control socket.
    pub control_socket: Option<PathBuf>,
    /// The balancers that have to notice a drain.
    pub balancers: Vec<drain::Balancer>,
    /// The fleet that this proxy is a member of; none without the section `members`.
    pub members: Option<Members>,
    /// The keys of the fleet's key file.
    pub member_keys: Option<datagram_auth::Keys>,
    /// How new versions of the operators' file reach the fleet.
    pub rollout: Option<Rollout>,
    /// Where state is kept that outlives a kill or a power loss; none: nothing does.
    pub persistence: Option<Persistence>,
    /// What tenants may borrow beyond their quota; none: nothing is lent.
    pub quota_lending: Option<Lending>,
    /// When a site counts as lost and as back; none: sites are not watched.
    pub sites: Option<site_failover::Settings>,
    /// Time windows of the operators' file, in which a credit may be closed.
    pub calendar_windows: Vec<Window>,
    /// The path of the operators' file that was read.
    pub operators_file: Option<PathBuf>,
    /// The end of the process is announced to the balancers first.
    pub announce_end: bool,
    /// Networks of balancers that connect to the clients' listener only to check it.
    pub check_networks: Vec<IpNet>,
    /// Networks of balancers that name their clients first, by the PROXY protocol.
    pub proxy_protocol_networks: Vec<IpNet>,
    /// Level and format of the log.
    pub logging: Logging,
    /// The list of record servers as this proxy last had it; it may be old.
    pub known: EndpointList,
    /// The platform's settings, tightened by the operators' file.
    pub platform: PlatformSettings,
    /// Where wall time is read.
    pub wall_clock: WallClock,
    /// What a later version of the platform's file has to state.
    pub required_keys: RequiredKeys,
    /// A connection to a record server that is not made by then has failed.
    pub dial_timeout: Duration,
    /// Idle connections to record servers are closed after this, before the servers do it.
    pub upstream_idle_timeout: Duration,
    /// A watch on discovery that sends nothing for this long is replaced.
    pub max_watch_silence: Duration,
    /// For this long after SIGTERM new connections are still accepted, unless the end is announced to balancers first.
    pub accept_after_stop: Duration,
    /// Requests that are still open fail this long after SIGTERM, or after the end of its announcement.
    pub shutdown_timeout: Duration,
}

impl Config {
    /// What the drain of this process goes by.
    pub fn drain_settings(&self) -> drain::Settings {
        drain::Settings {
            balancers: self.balancers.clone(),
            announce_termination: self.announce_end,
            accept_after_stop: self.accept_after_stop,
            drain_timeout: self.shutdown_timeout,
        }
    }
}

/// Timeouts of a client's connection, and bounds on what one client may have open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// A connection has to send its first valid request within this, and every command completely.
    pub first_request: Duration,
    /// While there are many clients, a connection is kept between requests for this long; while most of the places are
    /// taken, for no time. Stops clients that send one request and stay: they would take the places of those who come to
    /// send requests.
    pub idle: Duration,
    /// A client that takes nothing of its answers for this long is disconnected.
    pub unread_response: Duration,
    /// A client whose connection ends has this long to read the reason.
    pub linger: Duration,
    /// Most commands of one connection without an answer; further ones wait in its socket.
    pub max_pipelined: usize,
    /// Unsent bytes of answers from which on nothing more is read from a client.
    pub max_unsent_bytes: usize,
}
