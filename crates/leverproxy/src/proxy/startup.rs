//! Start-up: takes over from an old process, opens the listeners, loads the saved state and joins the fleet.

use super::state::{Proxy, RestartSettings};
use crate::clock;
use crate::cluster::members::Members;
use crate::cluster::quota_lending::QuotaLending;
use crate::cluster::rollout::Rollout;
use crate::config::Config;
use crate::control::admin::Admin;
use crate::control::control_socket::ControlSocket;
use crate::control::{self, CommandReceiver, Control};
use crate::discovery::DiscoveryClient;
use crate::downstream::Downstream;
use crate::event_loop::listener::local_address;
use crate::event_loop::reactor::{Interest, Reactor};
use crate::event_loop::timers::Timers;
use crate::event_loop::token::Token;
use crate::health::monitor::Monitor;
use crate::health::Health;
use crate::observability::logging;
use crate::persistence::hot_restart::handover::{request_handover, HandoverState, OldProcess};
use crate::persistence::hot_restart::links::HotRestart;
use crate::persistence::saved_state::{InitialState, Persistence};
use crate::pipeline::{Io, Pipeline, TimerKind};
use crate::upstream::Upstream;
use ::drain::Drain;
use std::io;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

impl Proxy {
    /// Opens the listeners, and starts with the last known endpoint list.
    ///
    /// # Errors
    /// An address or a file that the configuration names can't be used.
    pub fn start(config: Config) -> io::Result<(Proxy, Control)> {
        let (control, commands) = control::channel()?;
        Ok((Proxy::start_with_commands(config, commands)?, control))
    }

    /// As [`Proxy::start`], with an existing command channel: commands sent before the event loop runs are queued.
    ///
    /// # Errors
    /// As [`Proxy::start`].
    pub fn start_with_commands(mut config: Config, commands: CommandReceiver) -> io::Result<Proxy> {
        let now = Instant::now();
        let reactor = Reactor::new()?;
        reactor.register(&commands, Token::Commands, Interest::READ)?;
        logging::configure(&config.logging);
        let mut handover = Handover::request(&config);
        let io = open_io(&config, &mut handover, reactor, now)?;
        let mut proxy = Proxy::assemble(&mut config, &handover, commands, io, now);
        proxy.log_addresses(&config);
        proxy.io.timers.set(now, TimerKind::CloseExpired);
        proxy.io.timers.set(now, TimerKind::MeasureLoad);
        let replaces_old_process = handover.state.is_some() || handover.old_process_unknown;
        let recovered = proxy.open_saved_state(&mut config, handover.state.is_some(), now)?;
        let last_incarnation = recovered.incarnation;
        proxy.load_endpoints(&config, handover.state, recovered, now);
        proxy.announce_to_old_process(handover.link, handover.in_place);
        let event = availability::Event::Started;
        proxy.pipeline.monitor.handle(now, event);
        proxy.incarnation = clock::unix_ms().max(last_incarnation.saturating_add(1));
        proxy.join_fleet(config, replaces_old_process, now)?;
        Ok(proxy)
    }

    /// Creates the proxy without any loaded state and outside the fleet.
    fn assemble(
        config: &mut Config,
        handover: &Handover,
        commands: CommandReceiver,
        io: Io,
        now: Instant,
    ) -> Proxy {
        let zones = config.platform.names.zones.clone();
        let monitor = Monitor::new(config.availability, config.sites, zones, now);
        let mut pipeline = Pipeline::new(
            config.platform.clone(),
            std::mem::take(&mut config.rules),
            monitor,
            config.seed,
            config.dial_timeout,
            config.wall_clock.clone(),
            now,
        );
        pipeline.set_memory_meter(io.downstream.memory().clone());
        Proxy {
            io,
            pipeline,
            commands,
            started_at: now,
            drain: Drain::new(config.drain_settings(), Duration::ZERO),
            is_idle: true,
            terminated: false,
            probes_reachability: !config.health.is_empty(),
            limits: config.limits,
            client_limits: config.client_limits,
            old_process_usage: handover.usage(),
            reloads: None,
            awaits_discovery: handover.old_process_unknown,
            platform: config.platform.clone(),
            restart_settings: RestartSettings::new(config),
            members: None,
            rollout: None,
            saved_state: None,
            incarnation: 0,
            seed: config.seed,
        }
    }

    fn log_addresses(&self, config: &Config) {
        let address = self.local_address().unwrap_or(config.listen);
        log::info!("{}: serving on {address}", config.name);
        if let Some(admin) = self.admin_address() {
            log::info!("admin: answering calls on {admin}");
        }
    }

    /// Opens the state file and recovers the state that an earlier process saved.
    fn open_saved_state(
        &mut self,
        config: &mut Config,
        handed_over: bool,
        now: Instant,
    ) -> io::Result<InitialState> {
        let Some(settings) = config.persistence.take() else {
            return Ok(InitialState::default());
        };
        let waker = self.commands.waker()?;
        let (name, known) = (&config.name, &config.known);
        let (saved_state, recovered) =
            Persistence::recover(settings, name, handed_over, known, waker, now);
        self.saved_state = Some(saved_state);
        self.io.timers.set(now, TimerKind::Persist);
        Ok(recovered)
    }

    /// Loads the endpoint list and the manual exclusions, from the first available source: the old process, the state
    /// file, the platform's file.
    fn load_endpoints(
        &mut self,
        config: &Config,
        state: Option<Box<HandoverState>>,
        recovered: InitialState,
        now: Instant,
    ) {
        let (list, exclusions) = match state {
            Some(state) => {
                let server_count = state.endpoint_list.endpoints.len();
                log::info!(
                    "takeover: {server_count} record servers are known from the old process"
                );
                (state.endpoint_list, state.exclusions)
            }
            None => {
                let list = recovered
                    .endpoint_list
                    .unwrap_or_else(|| config.known.clone());
                (list, recovered.exclusions)
            }
        };
        let pushed = !config.platform.settings.endpoints_are_polled;
        let (pipeline, io) = (&mut self.pipeline, &mut self.io);
        pipeline.load_endpoints(list, io, now);
        pipeline.restore_manual_exclusions(exclusions, io, now);
        pipeline.set_endpoint_push(pushed, io, now);
    }

    /// Notifies the old process that this process accepts clients.
    fn announce_to_old_process(&mut self, link: Option<UnixStream>, in_place: bool) {
        if let (Some(hot_restart), Some(link)) = (&mut self.io.hot_restart, link) {
            hot_restart.link_to_old_process(link, in_place, &self.io.reactor);
        }
    }

    /// Joins the fleet, and starts rollouts and quota lending, which need it.
    fn join_fleet(
        &mut self,
        config: Config,
        replaces_old_process: bool,
        now: Instant,
    ) -> io::Result<()> {
        if let Some(settings) = config.members {
            let name = &self.restart_settings.name;
            let keys = config.member_keys;
            let (incarnation, seed) = (self.incarnation, self.seed);
            let reactor = &self.io.reactor;
            let joined = Members::join(settings, keys, name, incarnation, seed, now, reactor);
            let invalid_input = |error| io::Error::new(io::ErrorKind::InvalidInput, error);
            self.members = Some(joined.map_err(invalid_input)?);
        }
        if self.members.is_none() {
            return Ok(());
        }
        if let Some(settings) = config.rollout {
            let name = &self.restart_settings.name;
            let operators = config.operators_file.as_deref();
            let started = (self.incarnation, replaces_old_process);
            let waker = self.commands.waker()?;
            let rollout = Rollout::new(settings, name, operators, started, waker, now);
            self.rollout = Some(rollout);
            self.io.timers.set(now, TimerKind::Rollout);
        }
        self.io.timers.set(now, TimerKind::Quota);
        if let Some(settings) = config.quota_lending {
            let waker = self.commands.waker()?;
            let lending = QuotaLending::new(settings, config.calendar_windows, waker, now);
            self.pipeline.quota.lending = Some(lending);
            self.pipeline.quota.update_lending_rules(now);
        }
        Ok(())
    }
}

/// State handed over by the old process of a hot restart; empty if there is no old process.
#[derive(Default)]
struct Handover {
    listener: Option<OwnedFd>,
    state: Option<Box<HandoverState>>,
    link: Option<UnixStream>,
    /// This process accepts clients from the listener of the old process.
    in_place: bool,
    /// An old process may be running, but its state could not be read. This process serves anyway, and takes over the
    /// control socket.
    old_process_unknown: bool,
}

impl Handover {
    /// Requests the handover from the old process, if there is one.
    fn request(config: &Config) -> Handover {
        let old_process = config
            .hot_restart_socket
            .as_deref()
            .map_or(OldProcess::None, request_handover);
        match old_process {
            OldProcess::None => Handover::default(),
            OldProcess::Failed(fault) => {
                log::warn!(
                    "takeover: the handover from the old process failed, starting without its state: {fault}"
                );
                Handover {
                    old_process_unknown: true,
                    ..Handover::default()
                }
            }
            OldProcess::HandedOver(state, listener, link) => {
                // A listener on another address does not reach this process's clients.
                let in_place =
                    config.listen.port() == 0 || local_address(&listener) == Some(config.listen);
                Handover {
                    listener: Some(listener).filter(|_| in_place),
                    state: Some(state),
                    link: Some(link),
                    in_place,
                    old_process_unknown: false,
                }
            }
        }
    }

    /// Number of clients and of upstream connections that the old process has.
    fn usage(&self) -> (usize, usize) {
        self.state.as_ref().map_or((0, 0), |state| {
            (state.client_connections, state.server_connections)
        })
    }
}

/// Opens the listeners on all configured addresses.
fn open_io(
    config: &Config,
    handover: &mut Handover,
    reactor: Reactor,
    now: Instant,
) -> io::Result<Io> {
    let replaces_old_process = handover.state.is_some() || handover.old_process_unknown;
    let mut limits = config.limits.remaining_after(handover.usage());
    if replaces_old_process {
        limits = limits.with_half_the_memory();
    }
    let mut downstream = Downstream::listen(
        config.listen,
        handover.listener.take(),
        config.hot_restart_socket.is_some(),
        limits,
        config.client_limits,
        &reactor,
    )?;
    downstream.set_balancers(
        config.check_networks.clone(),
        config.proxy_protocol_networks.clone(),
    );
    let pushed = !config.platform.settings.endpoints_are_polled;
    let mut upstream = Upstream::new(
        limits.upstream,
        config.dial_timeout,
        config.upstream_idle_timeout,
    );
    upstream.set_memory_meter(downstream.memory().clone());
    Ok(Io {
        downstream,
        upstream,
        discovery: DiscoveryClient::new(config.discovery, config.max_watch_silence, pushed, now),
        health: Health::new(&config.health, &reactor)?,
        control_socket: open_control_socket(config, replaces_old_process, &reactor)?,
        admin: open_admin(config, &reactor)?,
        hot_restart: open_hot_restart(config, &reactor),
        timers: Timers::default(),
        reactor,
    })
}

fn open_control_socket(
    config: &Config,
    replaces_old_process: bool,
    reactor: &Reactor,
) -> io::Result<Option<ControlSocket>> {
    let path = config.control_socket.as_deref();
    path.map(|path| ControlSocket::listen(path, replaces_old_process, reactor))
        .transpose()
}

fn open_admin(config: &Config, reactor: &Reactor) -> io::Result<Option<Admin>> {
    let admin = config.admin.map(|address| Admin::listen(address, reactor));
    admin
        .transpose()
        .map_err(|error| io::Error::new(error.kind(), format!("admin: {error}")))
}

/// Opens the socket on which the next process requests a handover. If that fails, this process serves, but can't be
/// replaced by a hot restart.
fn open_hot_restart(config: &Config, reactor: &Reactor) -> Option<HotRestart> {
    let path = config.hot_restart_socket.as_deref()?;
    HotRestart::listen(path, reactor)
        .inspect_err(|error| {
            log::warn!("takeover: can't listen for the next process's handover request: {error}")
        })
        .ok()
}
