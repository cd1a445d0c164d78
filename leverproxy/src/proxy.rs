//! The loop of the one thread: waits, lets the sides take what has come, and runs the chain over it.

use crate::config::Config;
use crate::discovery::Discovery;
use crate::front::Front;
use crate::reactor::{Interest, Reactor, Ready, Timers, Token};
use crate::signals::{Signal, Signals};
use crate::stages::{Chain, Sides, Timer};
use crate::upstream::Upstream;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// After SIGTERM new connections go on coming for up to 0.4 s; they are taken for as long, and a little more.
const LINGER: Duration = Duration::from_millis(500);

pub struct Proxy {
    sides: Sides,
    chain: Chain,
    signals: Signals,
    closing: bool,
    closed: bool,
}

impl Proxy {
    /// Listens, and begins with the list of record servers as it was last known.
    pub fn start(config: Config) -> io::Result<Proxy> {
        let now = Instant::now();
        let reactor = Reactor::new()?;
        let signals = Signals::register()?;
        reactor.add(&signals, Token::Signals, Interest::READ)?;
        let front = Front::listen(config.listen, config.limits.clients, &reactor)?;
        let upstream = Upstream::new(config.limits.upstream, config.dial_timeout, config.idle_limit);
        let discovery = Discovery::new(config.discovery);
        let platform = config.platform;
        let mut sides = Sides { reactor, timers: Timers::default(), front, upstream, discovery };
        let mut chain = Chain::new(
            platform.settings,
            platform.names,
            platform.max_open,
            config.seed,
            config.dial_timeout,
            now,
        );
        log::info!("{}: serving on {}", config.name, config.listen);
        chain.start(config.known, &mut sides, now);
        Ok(Proxy { sides, chain, signals, closing: false, closed: false })
    }

    pub fn local_address(&self) -> Option<SocketAddr> {
        self.sides.front.local_address()
    }

    /// Serves until told to stop and all that was taken is answered.
    pub fn run(&mut self) -> io::Result<()> {
        let mut ready = Vec::new();
        loop {
            self.chain.turn(&mut self.sides, Instant::now());
            if self.closed && self.sides.front.clients() == 0 && self.chain.settled() {
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
        let Sides { reactor, front, upstream, discovery, .. } = &mut self.sides;
        match ready.token {
            Token::Listener => front.accept(now, reactor),
            Token::Signals => self.on_signals(now),
            Token::Discovery(key) => discovery.ready(key, now, reactor),
            Token::Client(key) => front.ready(key, now, reactor),
            Token::Upstream(key) => upstream.ready(key, now, reactor),
        }
        // Each event is worked through at once: the next may be about what this one changed.
        self.chain.turn(&mut self.sides, now);
    }

    fn on_timer(&mut self, timer: Timer, now: Instant) {
        match timer {
            Timer::Module(token) => self.chain.on_module_timer(token, &mut self.sides, now),
            Timer::Upstream(due) => self.sides.upstream.on_due(due, now, &self.sides.reactor),
            Timer::Watch => {
                if let Some(again) = self.sides.discovery.check(now) {
                    self.sides.timers.set(again, Timer::Watch);
                }
            }
            Timer::Close => {
                self.sides.front.close(now, &self.sides.reactor);
                self.closed = true;
            }
        }
        self.chain.turn(&mut self.sides, now);
    }

    fn on_signals(&mut self, now: Instant) {
        for signal in self.signals.take() {
            match signal {
                Signal::Stop if !self.closing => {
                    log::info!("told to stop: answering what has come");
                    self.closing = true;
                    self.sides.timers.set(now + LINGER, Timer::Close);
                }
                Signal::Stop => {}
                Signal::Report => self.report(),
            }
        }
    }

    /// The counters, on standard error: whoever asks wants them at any log level.
    pub fn report(&self) {
        eprintln!("{}", self.chain.counters);
        eprintln!(
            "connections: clients {}; upstream {}; dials {}",
            self.sides.front.clients(),
            self.sides.upstream.connections(),
            self.sides.upstream.dials,
        );
    }
}
