//! The loop of the one thread: waits, lets the sides take what has come, and runs the chain over it.

use crate::config::{Config, ConfigError};
use crate::control::{self, Control, Wish};
use crate::discovery::Discovery;
use crate::front::Front;
use crate::reactor::{Interest, Reactor, Ready, Timers, Token};
use crate::reload::Reloads;
use crate::stages::{Chain, Sides, Timer};
use crate::upstream::Upstream;
use mountshift_settings::Decoded;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A listener that was full is looked at again after this, even if no client has left.
const ACCEPT_AGAIN: Duration = Duration::from_millis(100);

pub struct Proxy {
    sides: Sides,
    chain: Chain,
    wishes: control::Listener,
    /// After being told to stop: no new connections, and the end.
    linger: Duration,
    give_up: Duration,
    phase: Phase,
    reloads: Option<Reloads>,
    fixed: Fixed,
}

/// What only a new start changes.
#[derive(PartialEq)]
struct Fixed {
    name: String,
    listen: SocketAddr,
    platform: Decoded,
    watch_silence: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Serving,
    /// Told to stop; new connections may still come.
    Lingering,
    /// No more are taken.
    Closing,
    Over,
}

impl Proxy {
    /// Listens, and begins with the list of record servers as it was last known.
    pub fn start(config: Config) -> io::Result<(Proxy, Control)> {
        let now = Instant::now();
        let reactor = Reactor::new()?;
        let (control, wishes) = control::pair()?;
        reactor.add(&wishes, Token::Control, Interest::READ)?;
        crate::logging::set(&config.logging);
        let front = Front::listen(config.listen, config.limits, config.patience, &reactor)?;
        let upstream = Upstream::new(config.limits.upstream, config.dial_timeout, config.idle_limit);
        let discovery = Discovery::new(config.discovery, config.watch_silence);
        let platform = config.platform;
        let fixed = Fixed {
            name: config.name,
            listen: config.listen,
            platform: platform.clone(),
            watch_silence: config.watch_silence,
        };
        let mut sides = Sides { reactor, timers: Timers::default(), front, upstream, discovery };
        let mut chain = Chain::new(
            platform.settings,
            platform.names,
            config.rules,
            platform.max_open,
            config.seed,
            config.dial_timeout,
            now,
        );
        let address = sides.front.local_address().unwrap_or(config.listen);
        log::info!("{}: serving on {address}", fixed.name);
        sides.timers.set(now, Timer::LookOver);
        chain.start(config.known, &mut sides, now);
        let Config { linger, give_up, .. } = config;
        let phase = Phase::Serving;
        let reloads = None;
        Ok((Proxy { sides, chain, wishes, linger, give_up, phase, reloads, fixed }, control))
    }

    pub fn local_address(&self) -> Option<SocketAddr> {
        self.sides.front.local_address()
    }

    /// Serves until told to stop and all that was taken is answered.
    pub fn run(&mut self) -> io::Result<()> {
        let mut ready = Vec::new();
        loop {
            self.chain.turn(&mut self.sides, Instant::now());
            let settled = self.sides.front.clients() == 0 && self.chain.owed() == 0;
            if self.phase == Phase::Over || self.phase == Phase::Closing && settled {
                let (clients, owed) = (self.sides.front.clients(), self.chain.owed());
                log::info!("ended, with {clients} clients left and {owed} requests owed an answer");
                return Ok(());
            }
            let until = self.sides.timers.next();
            self.sides.reactor.wait(until, &mut ready)?;
            for &one in &ready {
                self.on_ready(one);
            }
            let now = Instant::now();
            while let Some(timer) = self.sides.timers.pop_due(now) {
                self.on_timer(timer, now);
            }
        }
    }

    fn on_ready(&mut self, ready: Ready) {
        let now = Instant::now();
        let Sides { reactor, timers, front, upstream, discovery } = &mut self.sides;
        match ready.token {
            Token::Listener => {
                front.accept(now, reactor);
                if front.paused() {
                    timers.set(now + ACCEPT_AGAIN, Timer::Accept);
                }
            }
            Token::Control => self.on_wishes(now),
            Token::Discovery(key) => discovery.ready(key, now, reactor),
            Token::Client(key) => front.ready(key, ready.ended, now, reactor),
            Token::Upstream(key) => upstream.ready(key, now, reactor),
        }
        // Each event is worked through at once: the next may be about what this one changed.
        self.chain.turn(&mut self.sides, now);
    }

    fn on_timer(&mut self, timer: Timer, now: Instant) {
        match timer {
            Timer::Module(token) => self.chain.on_module_timer(token, &mut self.sides, now),
            Timer::Upstream(due) => self.sides.upstream.on_due(due, now, &self.sides.reactor),
            Timer::Watch(key) => {
                if let Some(again) = self.sides.discovery.check(key, now) {
                    self.sides.timers.set(again, Timer::Watch(key));
                }
            }
            Timer::LookOver => {
                let again = self.sides.front.look_over(now, &self.sides.reactor);
                self.sides.timers.set(again, Timer::LookOver);
            }
            Timer::Accept => self.sides.front.resume(&self.sides.reactor),
            Timer::Close => {
                self.sides.front.close(now, &self.sides.reactor);
                self.phase = Phase::Closing;
            }
            Timer::End => {
                self.chain.fail_all(&mut self.sides, now);
                self.phase = Phase::Over;
            }
        }
        self.chain.turn(&mut self.sides, now);
    }

    fn on_wishes(&mut self, now: Instant) {
        for wish in self.wishes.take() {
            match wish {
                Wish::Stop if self.phase == Phase::Serving => {
                    log::info!("told to stop: answering what has come");
                    self.phase = Phase::Lingering;
                    self.sides.timers.set(now + self.linger, Timer::Close);
                    self.sides.timers.set(now + self.give_up, Timer::End);
                    self.chain.ends_at(now + self.give_up);
                }
                Wish::Stop => {}
                Wish::Report => self.report(),
                Wish::Reload => match &mut self.reloads {
                    Some(reloads) => reloads.begin(),
                    None => log::warn!("told to reread the configuration, which has no source here"),
                },
            }
        }
        while let Some(read) = self.reloads.as_mut().and_then(Reloads::ended) {
            self.reload(read, now);
        }
    }

    /// What is to be asked for the configuration when it has changed. It is asked on a thread of its own.
    pub fn reread_with(
        &mut self,
        reread: impl FnMut() -> Result<Config, ConfigError> + Send + 'static,
    ) -> io::Result<()> {
        self.reloads = Some(Reloads::new(Box::new(reread), self.wishes.waker()?));
        Ok(())
    }

    /// Takes over the configuration as it was read, while requests, connections and what the module knows stay. A
    /// faulty one changes nothing.
    fn reload(&mut self, read: Result<Config, ConfigError>, now: Instant) {
        let config = match read {
            Ok(config) => config,
            Err(error) => {
                for fault in &error.faults {
                    log::error!("configuration: {fault}");
                }
                return log::error!("{error}; the configuration stays as it was");
            }
        };
        let begun = Instant::now();
        let Sides { front, upstream, .. } = &mut self.sides;
        front.set_limits(config.limits, config.patience);
        upstream.set_limit(config.limits.upstream);
        crate::logging::set(&config.logging);
        let routes = config.rules.rulings.len();
        let former = self.chain.set_rules(config.rules);
        self.chain.discovery_at(config.discovery, &mut self.sides, now);
        let pause_us = begun.elapsed().as_micros() as u64;
        log::info!(pause_us, routes; "the configuration is reread: discovery at {}", config.discovery);
        if let Some(reloads) = &self.reloads {
            reloads.discard(former);
        }
        for (key, same) in [
            ("listen", config.listen == self.fixed.listen),
            ("name", config.name == self.fixed.name),
            ("settings", config.platform == self.fixed.platform),
            ("discovery watch-silence", config.watch_silence == self.fixed.watch_silence),
        ] {
            if !same {
                log::warn!(key; "configuration: {key}: a change of it counts from the next start");
            }
        }
    }

    /// The counters, on standard error: whoever asks wants them at any log level.
    pub fn report(&self) {
        let Sides { front, upstream, .. } = &self.sides;
        let (clients, turned_out) = (front.clients(), front.turned_out);
        let (connections, dials) = (upstream.connections(), upstream.dials);
        let steering = self.chain.steering();
        crate::logging::say(&format!(
            "{}\nconnections: clients {clients}, turned out {turned_out}; upstream {connections}; dials {dials}{steering}",
            self.chain.counters,
        ));
    }
}
