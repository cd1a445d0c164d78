//! State of a running proxy, and its public accessors.

use crate::cluster::members::Members;
use crate::cluster::rollout::Rollout;
use crate::config::reload::Reloader;
use crate::config::{ClientLimits, Config, ConfigError, Limits};
use crate::control::admin::Admin;
use crate::control::CommandReceiver;
use crate::health::monitor::Usage;
use crate::persistence::saved_state::Persistence;
use crate::pipeline::{Io, Pipeline};
use ::drain::Drain;
use platform_settings::PlatformSettings;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// A proxy. [`Proxy::start`] opens the listeners, [`Proxy::run`] serves until the proxy is stopped.
pub struct Proxy {
    pub(super) io: Io,
    pub(super) pipeline: Pipeline,
    pub(super) commands: CommandReceiver,
    /// Time zero of the drain state machine.
    pub(super) started_at: Instant,
    pub(super) drain: Drain,
    /// Idle state last sent to the drain state machine: no client is connected and no request is open.
    pub(super) is_idle: bool,
    /// The drain state machine has finished: the event loop returns.
    pub(super) terminated: bool,
    /// Health checks of balancers are configured, so unresponsive servers are dialled to test their links.
    pub(super) probes_reachability: bool,
    pub(super) limits: Limits,
    pub(super) client_limits: ClientLimits,
    /// Number of clients and of upstream connections that the old process has during a hot restart.
    pub(super) old_process_usage: (usize, usize),
    pub(super) reloads: Option<Reloader>,
    /// An old process with unknown state may be running: this process is not ready before discovery has sent a list.
    pub(super) awaits_discovery: bool,
    /// Current platform settings, with classes in the order of the counters.
    pub(super) platform: PlatformSettings,
    pub(super) restart_settings: RestartSettings,
    /// Membership of the fleet; none if the operators' file has no section `members`.
    pub(super) members: Option<Members>,
    pub(super) rollout: Option<Rollout>,
    pub(super) saved_state: Option<Persistence>,
    /// Incarnation of this process, higher than that of any earlier process with its name.
    pub(super) incarnation: u64,
    pub(super) seed: u64,
}

/// Settings that a reload can't change: a new value takes effect at the next start.
#[derive(PartialEq)]
pub(super) struct RestartSettings {
    pub(super) name: String,
    pub(super) listen: SocketAddr,
    pub(super) admin: Option<SocketAddr>,
    pub(super) watch_silence: Duration,
    pub(super) sites: Option<site_failover::Settings>,
}

impl RestartSettings {
    pub(super) fn new(config: &Config) -> RestartSettings {
        RestartSettings {
            name: config.name.clone(),
            listen: config.listen,
            admin: config.admin,
            watch_silence: config.max_watch_silence,
            sites: config.sites,
        }
    }
}

impl Proxy {
    /// The address that clients connect to; none while the listener is closed.
    pub fn local_address(&self) -> Option<SocketAddr> {
        self.io.downstream.local_address()
    }

    /// The address of the admin API; none if it is not configured.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.io.admin.as_ref().map(Admin::address)
    }

    /// The addresses on which balancers' health checks are answered.
    pub fn health_addresses(&self) -> Vec<SocketAddr> {
        self.io.health.addresses()
    }

    /// Sets the source of the configuration for reloads. It is called on a separate thread. A given path replaces that
    /// of the operators' file.
    ///
    /// # Errors
    /// The descriptor that wakes the event loop can't be duplicated.
    pub fn set_configuration_source(
        &mut self,
        read_configuration: impl FnMut(Option<&Path>) -> Result<Config, ConfigError> + Send + 'static,
    ) -> io::Result<()> {
        self.reloads = Some(Reloader::new(
            Box::new(read_configuration),
            self.commands.waker()?,
        ));
        Ok(())
    }

    /// Prints the counters on standard error, at any log level.
    pub fn report(&self) {
        let Io {
            downstream,
            upstream,
            ..
        } = &self.io;
        let (clients, rejected, malformed) = (
            downstream.client_count(),
            downstream.rejected_clients,
            downstream.malformed_statements,
        );
        let (connections, dials) = (upstream.connection_count(), upstream.dials);
        let (route_rules, health) = (self.pipeline.route_rules(), self.io.health.lines());
        let quota = &self.pipeline.quota;
        crate::observability::logging::print(&format!(
            "{}\nstatements not understood {malformed}\nconnections: clients {clients}, clients rejected {rejected}; upstream {connections}; dials {dials}{route_rules}{quota}{health}",
            self.pipeline.counters,
        ));
    }

    /// Resources that the process uses, and their limits.
    pub(super) fn usage(&self) -> Usage {
        let Io {
            downstream,
            upstream,
            ..
        } = &self.io;
        Usage {
            clients: downstream.client_count(),
            clients_limit: self.limits.clients,
            upstream: upstream.connection_count(),
            upstream_limit: self.limits.upstream,
            open: self.pipeline.open_request_count(),
            memory_limit: self.limits.memory,
        }
    }
}
