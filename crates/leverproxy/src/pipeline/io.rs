//! Everything that holds descriptors: the reactor, and each side that the process talks to.

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

/// The process's I/O. The event loop dispatches to it; the pipeline acts on it.
pub struct Io {
    /// The epoll instance.
    pub reactor: Reactor,
    /// Timers of all kinds.
    pub timers: Timers<TimerKind>,
    /// Clients.
    pub downstream: Downstream,
    /// Record servers.
    pub upstream: Upstream,
    /// The discovery service.
    pub discovery: DiscoveryClient,
    /// Balancers' health checks.
    pub health: Health,
    /// The operators' control socket.
    pub control_socket: Option<ControlSocket>,
    /// The admin API.
    pub admin: Option<Admin>,
    /// Links to the old and the new process of a hot restart.
    pub hot_restart: Option<HotRestart>,
}
