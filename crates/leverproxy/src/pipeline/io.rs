//! Everything that holds file descriptors: the reactor, and the endpoints of all peers of the process.

use super::timer_kind::TimerKind;
use crate::control::admin::Admin;
use crate::control::control_socket::ControlSocket;
use crate::discovery::DiscoveryClient;
use crate::downstream::Downstream;
use crate::event_loop::reactor::Reactor;
use crate::event_loop::timers::Timers;
use crate::health::Health;
use crate::persistence::hot_restart::links::HotRestart;
use crate::upstream::Upstream;

/// I/O of the process. The event loop dispatches events to it; the pipeline sends through it.
pub struct Io {
    /// The epoll instance.
    pub reactor: Reactor,
    /// Timers of all kinds.
    pub timers: Timers<TimerKind>,
    /// Connections of clients.
    pub downstream: Downstream,
    /// Connections to record servers.
    pub upstream: Upstream,
    /// Client of the discovery service.
    pub discovery: DiscoveryClient,
    /// Server for balancers' health checks.
    pub health: Health,
    /// Control socket for operators.
    pub control_socket: Option<ControlSocket>,
    /// The admin API.
    pub admin: Option<Admin>,
    /// Links to the old and the new process of a hot restart.
    pub hot_restart: Option<HotRestart>,
}
