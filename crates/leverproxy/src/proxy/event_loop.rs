//! The event loop: waits for descriptors and timers, and dispatches each event to its handler.

use super::state::Proxy;
use crate::cluster::usage;
use crate::event_loop::reactor::Ready;
use crate::event_loop::slab::Key;
use crate::event_loop::token::Token;
use crate::persistence::hot_restart::handover::HandoverState;
use crate::pipeline::{Io, TimerKind};
use std::io;
use std::time::{Duration, Instant};

/// A listener that is paused for lack of capacity accepts again after this time, even if no client has left.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

impl Proxy {
    /// Serves until the proxy is stopped and every admitted request is answered.
    ///
    /// # Errors
    /// Waiting for events failed.
    pub fn run(&mut self) -> io::Result<()> {
        let mut ready = Vec::new();
        loop {
            self.pipeline.process_events(&mut self.io, Instant::now());
            self.pipeline.resume_held_back(&mut self.io, Instant::now());
            self.update_idle(Instant::now());
            self.flush_members();
            if self.terminated {
                self.leave_fleet();
                self.log_exit();
                return Ok(());
            }
            let until = self.io.timers.next();
            self.io.reactor.wait(until, &mut ready)?;
            self.dispatch(until, &mut ready);
        }
    }

    /// Handles one round of events and due timers. Its delay and its duration are recorded as load of the event loop.
    fn dispatch(&mut self, until: Option<Instant>, ready: &mut [Ready]) {
        let woken_at = Instant::now();
        let delay = until.map_or(Duration::ZERO, |at| woken_at.saturating_duration_since(at));
        self.pipeline.monitor.record_lag(delay);
        ready.sort_by_key(|event| event.priority());
        for &event in ready.iter() {
            self.on_ready(event);
        }
        let due_until = Instant::now();
        while let Some(timer) = self.io.timers.pop_due(due_until) {
            self.on_timer(timer, Instant::now());
        }
        self.pipeline.monitor.record_lag(woken_at.elapsed());
    }

    fn log_exit(&self) {
        let clients = self.io.downstream.client_count();
        let open = self.pipeline.open_request_count();
        log::info!("ended, with {clients} clients connected and {open} requests unanswered");
    }

    fn on_ready(&mut self, ready: Ready) {
        let now = Instant::now();
        let Io {
            reactor,
            downstream,
            upstream,
            discovery,
            ..
        } = &mut self.io;
        match ready.token {
            Token::Client(key) => downstream.ready(key, ready.ended, now, reactor),
            Token::Upstream(key) => upstream.ready(key, now, reactor),
            Token::Discovery(key) => discovery.ready(key, now, reactor),
            Token::Listener => self.on_listener_ready(now),
            Token::Datagrams => self.on_members_ready(now),
            Token::Commands => self.on_commands(now),
            Token::HealthListener(_) | Token::Health(_) => self.on_health_ready(ready.token, now),
            Token::ControlSocketListener | Token::ControlSocket(_) => {
                self.on_control_socket_ready(ready.token, now)
            }
            Token::AdminListener | Token::Admin(_) => self.on_admin_ready(ready.token, now),
            Token::HotRestartListener => self.on_handover_request(now),
            Token::HotRestart(key) => self.on_hot_restart_link_ready(key, now),
        }
        // Each event is processed completely before the next, which may depend on its changes.
        self.pipeline.process_events(&mut self.io, now);
    }

    fn on_listener_ready(&mut self, now: Instant) {
        let Io {
            reactor,
            timers,
            downstream,
            ..
        } = &mut self.io;
        downstream.accept(now, reactor);
        if downstream.is_accept_paused() {
            timers.set(now + ACCEPT_RETRY_INTERVAL, TimerKind::RetryAccept);
        }
    }

    fn on_members_ready(&mut self, now: Instant) {
        let Some(members) = &mut self.members else {
            return;
        };
        members.receive_datagrams(now);
        for fact in members.take_facts() {
            if usage::is_malformed(&fact) {
                members.count_malformed_rates();
            }
            self.pipeline.quota.receive(&fact, now);
        }
    }

    fn on_health_ready(&mut self, token: Token, now: Instant) {
        let status = self.pipeline.monitor.status();
        let (health, reactor) = (&mut self.io.health, &self.io.reactor);
        match token {
            Token::HealthListener(listener) => health.accept(listener, &status, now, reactor),
            Token::Health(key) => health.ready(key, &status, now, reactor),
            _ => {}
        }
    }

    fn on_control_socket_ready(&mut self, token: Token, now: Instant) {
        let Some(control_socket) = &mut self.io.control_socket else {
            return;
        };
        let Token::ControlSocket(key) = token else {
            return control_socket.accept(now, &self.io.reactor);
        };
        if let Some((key, command)) = control_socket.read_command(key, &self.io.reactor) {
            self.on_operator_command(key, command, now);
        }
    }

    fn on_admin_ready(&mut self, token: Token, now: Instant) {
        let Some(admin) = &mut self.io.admin else {
            return;
        };
        let Token::Admin(key) = token else {
            return admin.accept(now, &self.io.reactor);
        };
        if let Some(call) = admin.read_call(key, &self.io.reactor) {
            self.on_admin_call(key, call, now);
        }
    }

    /// A new process requests the handover.
    fn on_handover_request(&mut self, now: Instant) {
        let (list, exclusions) = self.pipeline.handover_state();
        let Io {
            reactor,
            downstream,
            upstream,
            hot_restart,
            ..
        } = &mut self.io;
        let (clients, connections) = (downstream.client_count(), upstream.connection_count());
        let state = || HandoverState::new(list.clone(), exclusions.clone(), clients, connections);
        if let Some(hot_restart) = hot_restart {
            hot_restart.accept(state, downstream.listener(), reactor);
        }
        self.update_handed_over(now);
        self.share_limits();
    }

    fn on_hot_restart_link_ready(&mut self, key: Key, now: Instant) {
        let Some(hot_restart) = &mut self.io.hot_restart else {
            return;
        };
        for message in hot_restart.ready(key, &self.io.reactor) {
            self.on_hot_restart_message(key, message, now);
        }
    }
}
