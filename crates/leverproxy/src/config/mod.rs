//! Reads and checks the configuration and applies defaults; no other module does.
//!
//! A [`Config`] is built from three sources:
//!
//! - the platform's JSON file (`LB_CONFIG`, `platform_file`);
//! - the operators' file (`LB_OPERATORS`, [`operators_file`] and [`operator_config`]), which is optional. It sets what
//!   operators choose, and may tighten the platform's settings but never loosen them;
//! - environment variables, which override both files, except that on a reload the platform's file takes precedence over
//!   `LB_DISCOVERY`.

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

/// The checked configuration of a proxy.
#[derive(Debug)]
pub struct Config {
    /// The proxy's name, which stays the same across restarts.
    pub name: String,
    /// Address of the clients' listener.
    pub listen: SocketAddr,
    /// Address of the admin API; none disables it.
    pub admin: Option<SocketAddr>,
    /// Socket on which the next process requests a hot restart; none without an admin address or a folder for it.
    pub hot_restart_socket: Option<PathBuf>,
    /// Address of discovery, which serves the list of record servers.
    pub discovery: SocketAddr,
    /// Seed of all random numbers, new with each start.
    pub seed: u64,
    /// Division of descriptors and memory among the proxy's parts.
    pub limits: Limits,
    /// Timeouts and bounds of one client's connection.
    pub client_limits: ClientLimits,
    /// The operators' routes, classes and pools.
    pub rules: Rules,
    /// Listeners for balancers' health checks.
    pub health: Vec<ListenerSettings>,
    /// Thresholds at which the proxy reports itself degraded or down.
    pub availability: availability::Settings,
    /// Path of the operators' control socket; none disables it.
    pub control_socket: Option<PathBuf>,
    /// The balancers whose health checks a drain waits for.
    pub balancers: Vec<drain::Balancer>,
    /// The fleet to which this proxy belongs; none without the section `members`.
    pub members: Option<Members>,
    /// The keys of the fleet's key file.
    pub member_keys: Option<datagram_auth::Keys>,
    /// Settings of staged rollouts of the operators' file to the fleet.
    pub rollout: Option<Rollout>,
    /// Settings of the state saved across a kill or a power loss; none: no state is saved.
    pub persistence: Option<Persistence>,
    /// Settings for lending unused quota to tenants; none disables lending.
    pub quota_lending: Option<Lending>,
    /// When a site counts as lost and as recovered; none: sites are not monitored.
    pub sites: Option<site_failover::Settings>,
    /// Time windows of the operators' file; a credit of quota lending may be disabled during one.
    pub calendar_windows: Vec<Window>,
    /// The path of the operators' file that was read.
    pub operators_file: Option<PathBuf>,
    /// Whether the end of the process is announced to the balancers before the proxy stops accepting connections.
    pub announce_end: bool,
    /// Networks from which balancers connect to the clients' listener for health checks only.
    pub check_networks: Vec<IpNet>,
    /// Networks of balancers that send the client's address first, in the PROXY protocol.
    pub proxy_protocol_networks: Vec<IpNet>,
    /// Level and format of the log.
    pub logging: Logging,
    /// The list of record servers from the platform's file, which may be out of date.
    pub known: EndpointList,
    /// The platform's settings, tightened by the operators' file.
    pub platform: PlatformSettings,
    /// Source of wall-clock time.
    pub wall_clock: WallClock,
    /// Keys that later versions of the platform's file must have.
    pub required_keys: RequiredKeys,
    /// Time limit for connecting to a record server.
    pub dial_timeout: Duration,
    /// Idle time after which a connection to a record server is closed; shorter than the servers' own idle timeout.
    pub upstream_idle_timeout: Duration,
    /// A watch on discovery that receives nothing for this long is replaced.
    pub max_watch_silence: Duration,
    /// Time after SIGTERM for which new connections are still accepted, unless the end is announced to balancers first.
    pub accept_after_stop: Duration,
    /// Time after SIGTERM, or after the end of the announcement, at which the requests that are still open fail.
    pub shutdown_timeout: Duration,
}

impl Config {
    /// Settings for draining this process.
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
    /// Time limit for a connection's first valid request, and for the complete arrival of each command.
    pub first_request: Duration,
    /// Idle time between requests after which a connection is closed while there are many clients
    /// ([`Limits::crowded`]). Above [`Limits::packed`] they are closed after two seconds at the latest. Otherwise clients that
    /// send one request and stay connected would take the places of clients that have requests to send.
    pub idle: Duration,
    /// A client that reads none of its pending answers for this long is disconnected.
    pub unread_response: Duration,
    /// Time for which a connection that the proxy ends stays open so that the client can read the reason.
    pub linger: Duration,
    /// Maximum unanswered commands of one connection; further commands wait in its socket.
    pub max_pipelined: usize,
    /// Unsent bytes of answers at which the proxy stops reading from a client.
    pub max_unsent_bytes: usize,
}
