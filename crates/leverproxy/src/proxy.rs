//! The loop of the one thread: waits, lets the sides take what has come, and runs the chain over it.

use crate::clock;
use crate::cluster::members::Members;
use crate::cluster::quota_lending::QuotaLending;
use crate::cluster::rollout::Rollout;
use crate::cluster::usage;
use crate::config::reload::{Ask, Reloads};
use crate::config::{Config, ConfigError, Limits, Patience};
use crate::control::admin::Admin;
use crate::control::control_socket::{Operate, Word};
use crate::control::{self, Control, Wish};
use crate::discovery::Discovery;
use crate::downstream::Downstream;
use crate::event_loop::reactor::{Interest, Key, Reactor, Ready, Timers, Token};
use crate::health::monitor::{self, Monitor, Usage};
use crate::health::Health;
use crate::persistence::hot_restart::{self, Elder, Estate, Said, Takeover};
use crate::persistence::saved_state::{self, Memory};
use crate::pipeline::quota;
use crate::pipeline::route_rules::Rules;
use crate::pipeline::{IoEndpoints, Pipeline, Timer};
use crate::request::shown;
use crate::upstream::Upstream;
use configuration::calendar::Window;
use drain::{Action, Drain};
use maintenance::Unknown;
use platform_settings::Decoded;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::Path;
use std::time::{Duration, Instant};
use wire_admin::{Answer, Call, Figures, Status};

/// A listener that was full is looked at again after this, even if no client has left.
const ACCEPT_AGAIN: Duration = Duration::from_millis(100);

/// An address that could not be listened on again is tried again after this.
const LISTEN_AGAIN: Duration = Duration::from_secs(1);

/// What came of an operator's call.
enum Called {
    Answer(Answer),
    /// A word that the proxy goes by from now on, and has to remember.
    Done(&'static str),
}

impl Called {
    fn answer(self) -> Answer {
        match self {
            Called::Answer(answer) => answer,
            Called::Done(word) => Answer::line(Status::Ok, word),
        }
    }
}

pub struct Proxy {
    sides: IoEndpoints,
    chain: Pipeline,
    wishes: control::Listener,
    start: Instant,
    drain: Drain,
    /// It has been told that nothing is owed.
    settled: bool,
    over: bool,
    /// Balancers ask what links are worth: silent servers are dialled to tell.
    knocks: bool,
    limits: Limits,
    patience: Patience,
    /// Clients and connections to record servers that the process before this one holds.
    elder_holds: (usize, usize),
    reloads: Option<Reloads>,
    /// There was a process before this one of which nothing is known: discovery has to speak first.
    unheard: bool,
    /// The settings in force, with classes at their places.
    platform: Decoded,
    fixed: Fixed,
    /// The other proxies of the fleet, where the operators' file names them.
    members: Option<Members>,
    /// How new versions of the operators' file reach it.
    rollout: Option<Rollout>,
    /// What outlives it.
    memory: Option<Memory>,
    /// As the others know it, if it is of a fleet.
    born: u64,
    seed: u64,
}

/// What only a new start changes.
#[derive(PartialEq)]
struct Fixed {
    name: String,
    listen: SocketAddr,
    admin: Option<SocketAddr>,
    watch_silence: Duration,
    sites: Option<site_failover::Settings>,
}

impl Proxy {
    /// Listens, and begins with the list of record servers as it was last known.
    pub fn start(config: Config) -> io::Result<(Proxy, Control)> {
        let (control, wishes) = control::pair()?;
        Ok((Proxy::start_heeding(config, wishes)?, control))
    }

    /// The same, for whom words may have been said already: they are heeded once it runs.
    pub fn start_heeding(config: Config, wishes: control::Listener) -> io::Result<Proxy> {
        let now = Instant::now();
        let reactor = Reactor::new()?;
        reactor.add(&wishes, Token::Control, Interest::READ)?;
        crate::observability::logging::set(&config.logging);
        let drain = Drain::new(config.drain_settings(), Duration::ZERO);
        let elder = config
            .takeover
            .as_deref()
            .map_or(Elder::Nobody, hot_restart::ask);
        let (inherited, estate, link, unheard): (Option<OwnedFd>, _, _, _) = match elder {
            Elder::Nobody => (None, None, None, false),
            Elder::Unheard(why) => {
                log::warn!("takeover: nothing sound comes from the process before this one: {why}");
                (None, None, None, true)
            }
            // Of another address, it would be no use to the clients of this one.
            Elder::Left(estate, listener, link) => {
                let there = crate::event_loop::connection::local_address(&listener);
                let ours = config.listen.port() == 0 || there == Some(config.listen);
                (
                    Some(listener).filter(|_| ours),
                    Some(estate),
                    Some(link),
                    false,
                )
            }
        };
        // One that can't be understood serves all the same, and holds the control socket.
        let heir = estate.is_some() || unheard;
        let elder_holds = estate
            .as_ref()
            .map_or((0, 0), |estate| (estate.clients, estate.upstream));
        let limits = config.limits.beside(elder_holds);
        let shared = config.takeover.is_some();
        let in_place = inherited.is_some();
        let mut front = Downstream::listen(
            config.listen,
            inherited,
            shared,
            limits,
            config.patience,
            &reactor,
        )?;
        front.set_balancers(config.checks.clone(), config.proxy_from.clone());
        let upstream = Upstream::new(limits.upstream, config.dial_timeout, config.idle_limit);
        let pushed = !config.platform.settings.endpoints_are_polled;
        let discovery = Discovery::new(config.discovery, config.watch_silence, pushed, now);
        let fixed = Fixed {
            name: config.name,
            listen: config.listen,
            admin: config.admin,
            watch_silence: config.watch_silence,
            sites: config.sites,
        };
        let health = Health::new(&config.health, &reactor)?;
        let operate = config
            .control
            .as_deref()
            .map(|path| Operate::listen(path, heir, &reactor))
            .transpose()?;
        let timers = Timers::default();
        let admin = config
            .admin
            .map(|address| Admin::listen(address, &reactor))
            .transpose();
        let admin = admin.map_err(|e| io::Error::new(e.kind(), format!("admin: {e}")))?;
        let takeover = config
            .takeover
            .as_deref()
            .map(|path| Takeover::listen(path, &reactor));
        let takeover = takeover.and_then(|listening| {
            let note =
                |e: &io::Error| log::warn!("takeover: the next process can't be listened for: {e}");
            listening.inspect_err(note).ok()
        });
        let mut sides = IoEndpoints {
            reactor,
            timers,
            front,
            upstream,
            discovery,
            health,
            operate,
            admin,
            takeover,
        };
        let zones = config.platform.names.zones.clone();
        let knocks = !config.health.is_empty();
        let platform = config.platform.clone();
        let mut chain = Pipeline::new(
            config.platform,
            config.rules,
            Monitor::new(config.availability, config.sites, zones, now),
            config.seed,
            config.dial_timeout,
            config.wall_clock,
            now,
        );
        let address = sides.front.local_address().unwrap_or(config.listen);
        log::info!("{}: serving on {address}", fixed.name);
        if let Some(admin) = &sides.admin {
            log::info!("admin: answering calls on {}", admin.address());
        }
        sides.timers.set(now, Timer::LookOver);
        sides.timers.set(now, Timer::Load);
        let heir_of = estate.is_some();
        let begun = config.memory.map(|stated| {
            let (name, waker) = (&fixed.name, wishes.waker()?);
            Ok::<_, io::Error>(Memory::begin(
                stated,
                name,
                heir_of,
                &config.known,
                waker,
                now,
            ))
        });
        let (memory, recalled) = begun
            .transpose()?
            .map_or_else(Default::default, |(m, r)| (Some(m), r));
        if memory.is_some() {
            sides.timers.set(now, Timer::Memory);
        }
        match estate {
            Some(estate) => {
                log::info!(
                    "takeover: {} record servers are known from before",
                    estate.listing.endpoints.len()
                );
                chain.start(estate.listing, &mut sides, now);
                chain.take_over(estate.hands, &mut sides, now);
            }
            None => {
                chain.start(recalled.listing.unwrap_or(config.known), &mut sides, now);
                chain.take_over(recalled.hands, &mut sides, now);
            }
        }
        chain.set_pushed(pushed, &mut sides, now);
        if let (Some(takeover), Some(link)) = (&mut sides.takeover, link) {
            takeover.join(link, in_place, &sides.reactor);
        }
        chain.monitor.handle(now, availability::Event::Started);
        let start = clock::unix_ms().max(recalled.start.saturating_add(1));
        let members = config.members.map(|stated| {
            Members::join(
                stated,
                config.member_keys,
                &fixed.name,
                start,
                config.seed,
                now,
                &sides.reactor,
            )
        });
        let members = members
            .transpose()
            .map_err(|e| io::Error::new(io::ErrorKind::InvalidInput, e))?;
        let rollout = config.rollout.filter(|_| members.is_some());
        let rollout = rollout.map(|stated| {
            let (name, operators) = (&fixed.name, config.operators.as_deref());
            Ok::<_, io::Error>(Rollout::begin(
                stated,
                name,
                operators,
                (start, heir),
                wishes.waker()?,
                now,
            ))
        });
        let rollout = rollout.transpose()?;
        if rollout.is_some() {
            sides.timers.set(now, Timer::Rollout);
        }
        if members.is_some() {
            sides.timers.set(now, Timer::Quota);
        }
        if let Some(stated) = config.lending.filter(|_| members.is_some()) {
            chain.quota.lending = Some(QuotaLending::new(
                stated,
                config.windows,
                wishes.waker()?,
                now,
            ));
            chain.quota.update_lending_rules(now);
        }
        Ok(Proxy {
            rollout,
            memory,
            born: start,
            sides,
            members,
            seed: config.seed,
            chain,
            wishes,
            start: now,
            drain,
            settled: true,
            over: false,
            knocks,
            limits: config.limits,
            patience: config.patience,
            elder_holds,
            reloads: None,
            unheard,
            platform,
            fixed,
        })
    }

    pub fn local_address(&self) -> Option<SocketAddr> {
        self.sides.front.local_address()
    }

    /// Serves until told to stop and all that was taken is answered.
    pub fn run(&mut self) -> io::Result<()> {
        let mut ready = Vec::new();
        loop {
            self.chain.turn(&mut self.sides, Instant::now());
            self.settle(Instant::now());
            self.settle_members();
            if self.over {
                self.leave_fleet();
                let (clients, owed) = (self.sides.front.clients(), self.chain.owed());
                log::info!("ended, with {clients} clients left and {owed} requests owed an answer");
                return Ok(());
            }
            let until = self.sides.timers.next();
            self.sides.reactor.wait(until, &mut ready)?;
            let woken = Instant::now();
            // How late it was for what it should have done before.
            self.chain
                .monitor
                .record_lag(until.map_or(Duration::ZERO, |at| woken.saturating_duration_since(at)));
            ready.sort_by_key(|one| one.turn());
            for &one in &ready {
                self.on_ready(one);
            }
            let now = Instant::now();
            while let Some(timer) = self.sides.timers.pop_due(now) {
                self.on_timer(timer, now);
            }
            self.chain.monitor.record_lag(woken.elapsed());
        }
    }

    /// Tells the drain whether anything is owed, where that has changed.
    fn settle(&mut self, now: Instant) {
        let settled = self.sides.front.clients() == 0 && self.chain.owed() == 0;
        if settled != self.settled {
            self.settled = settled;
            self.drain(drain::Event::Settled(settled), now);
        }
    }

    /// Listens again after a drain, if it does not, and tries until it does.
    fn listen(&mut self, now: Instant) {
        let IoEndpoints {
            reactor,
            timers,
            front,
            ..
        } = &mut self.sides;
        if front.open(now, reactor).is_err() {
            timers.set(now + LISTEN_AGAIN, Timer::Accept);
        }
    }

    fn drain(&mut self, event: drain::Event, now: Instant) {
        let mut actions = Vec::new();
        self.drain.handle(
            now.saturating_duration_since(self.start),
            event,
            &mut actions,
        );
        for action in actions {
            match action {
                Action::Announce if self.drain.ending() => {
                    self.chain.monitor.handle(now, availability::Event::Stop);
                }
                Action::Announce => self.chain.monitor.handle(now, availability::Event::Drain),
                Action::Retract => self.chain.monitor.handle(now, availability::Event::Undrain),
                Action::EndsAt(end) => {
                    self.chain.monitor.handle(now, availability::Event::Stop);
                    self.chain.ends_at(self.start + end);
                }
                Action::StopListening => {
                    self.sides.front.close(now, &self.sides.reactor);
                    // Whoever waited at the listener is there now.
                    self.settled = false;
                }
                Action::Listen => self.listen(now),
                Action::GiveUp => self.chain.fail_all(&mut self.sides, now),
                Action::End => self.over = true,
            }
        }
        if let Some(members) = &mut self.members {
            members.serves(self.drain.phase() == drain::Phase::Serving, now);
        }
        self.sides.health.publish(&self.chain.monitor.status());
        if let Some(due) = self.drain.due() {
            self.sides.timers.set(self.start + due, Timer::Drain);
        }
    }

    fn on_ready(&mut self, ready: Ready) {
        let now = Instant::now();
        let IoEndpoints {
            reactor,
            timers,
            front,
            upstream,
            discovery,
            health,
            operate,
            admin,
            takeover,
        } = &mut self.sides;
        match ready.token {
            Token::HealthListener(at) => {
                health.accept(at, &self.chain.monitor.status(), now, reactor)
            }
            Token::Health(key) => health.ready(key, &self.chain.monitor.status(), now, reactor),
            Token::OperateListener => {
                if let Some(operate) = operate {
                    operate.accept(now, reactor);
                }
            }
            Token::Operate(key) => {
                if let Some((key, word)) = operate.as_mut().and_then(|o| o.ready(key, reactor)) {
                    self.operate(key, word, now);
                }
            }
            Token::AdminListener => {
                if let Some(admin) = admin {
                    admin.accept(now, reactor);
                }
            }
            Token::Admin(key) => {
                if let Some(call) = admin.as_mut().and_then(|a| a.ready(key, reactor)) {
                    match (self.call(call, now), &mut self.memory) {
                        // It waits for the disk.
                        (Called::Done(word), Some(memory)) => {
                            memory.promise(key, word, now);
                            self.remember(now);
                        }
                        (called, _) => {
                            if let Some(admin) = &mut self.sides.admin {
                                admin.answer(key, &called.answer(), &self.sides.reactor);
                            }
                        }
                    }
                }
            }
            Token::TakeoverListener => {
                let (listing, hands) = self.chain.known();
                let (clients, connections) = (front.clients(), upstream.connections());
                let estate = || Estate::new(listing.clone(), hands.clone(), clients, connections);
                if let Some(takeover) = takeover {
                    takeover.accept(estate, front.listener(), reactor);
                }
            }
            Token::Takeover(key) => {
                for word in takeover
                    .as_mut()
                    .map(|t| t.ready(key, reactor))
                    .unwrap_or_default()
                {
                    self.linked(key, word, now);
                }
            }
            Token::Listener => {
                front.accept(now, reactor);
                if front.paused() {
                    timers.set(now + ACCEPT_AGAIN, Timer::Accept);
                }
            }
            Token::Control => self.on_wishes(now),
            Token::Discovery(key) => discovery.ready(key, now, reactor),
            Token::Members => {
                if let Some(members) = &mut self.members {
                    members.ready(now);
                    for fact in members.take_heard() {
                        if usage::is_malformed(&fact) {
                            members.rates_unread();
                        }
                        self.chain.quota.receive(&fact, now);
                    }
                }
            }
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
            Timer::Watch => self.chain.on_watch_timer(&mut self.sides, now),
            Timer::LookOver => {
                let again = self.sides.front.look_over(now, &self.sides.reactor);
                self.sides.health.close_slow(now, &self.sides.reactor);
                if let Some(operate) = &mut self.sides.operate {
                    operate.look_over(now);
                }
                if let Some(admin) = &mut self.sides.admin {
                    admin.look_over(now);
                }
                self.sides.timers.set(again, Timer::LookOver);
            }
            Timer::Accept if self.sides.front.lacks_listener() => self.listen(now),
            Timer::Accept => self.sides.front.resume(&self.sides.reactor),
            Timer::Load => {
                self.chain.monitor.sample_load(self.usage(), now);
                self.sides.health.publish(&self.chain.monitor.status());
                if self.knocks {
                    self.chain.knock(&mut self.sides, now);
                }
                self.sides
                    .timers
                    .set(now + monitor::SAMPLE_INTERVAL, Timer::Load);
            }
            Timer::Rollout => self.look_at_rollout(now),
            Timer::Memory => {
                self.remember(now);
                self.sides
                    .timers
                    .set(now + saved_state::LOOK, Timer::Memory);
            }
            Timer::Quota => {
                if let Some(members) = &mut self.members {
                    self.chain.quota.poll(members, now);
                    self.sides
                        .timers
                        .set(now + quota::POLL_INTERVAL, Timer::Quota);
                }
            }
            Timer::Drain => self.drain(drain::Event::Tick, now),
            Timer::Members(token) => {
                if let Some(members) = &mut self.members {
                    members.on_timer(token, now, &self.sides.reactor);
                }
            }
        }
        self.chain.turn(&mut self.sides, now);
    }

    fn on_wishes(&mut self, now: Instant) {
        for wish in self.wishes.take() {
            match wish {
                Wish::Stop if !self.drain.ending() => {
                    log::info!("told to stop: answering what has come");
                    // Whether anything is owed is told first: it may have changed since the last round.
                    self.settle(now);
                    // Whoever comes from now on is the heir's; waiting for them here would take them from it.
                    if self
                        .sides
                        .takeover
                        .as_ref()
                        .is_some_and(Takeover::heir_accepts)
                    {
                        self.sides.front.close(now, &self.sides.reactor);
                    }
                    if let (Some(rollout), Some(members)) = (&mut self.rollout, &mut self.members) {
                        rollout.leave(members, now);
                    }
                    self.drain(drain::Event::Terminate, now);
                }
                Wish::Stop => {}
                Wish::Report => self.report(),
                Wish::Reload => match &mut self.reloads {
                    Some(reloads) => reloads.begin(),
                    None => {
                        log::warn!("told to reread the configuration, which has no source here")
                    }
                },
            }
        }
        if let (Some(rollout), Some(members)) = (&mut self.rollout, &mut self.members) {
            let asks = rollout.kept(members, now);
            self.ask(asks);
        }
        self.remember(now);
        while let Some((ask, read)) = self.reloads.as_mut().and_then(Reloads::ended) {
            let result = match ask {
                Ask::Again => {
                    _ = self.reload(read, now);
                    continue;
                }
                Ask::Check(hash, _) => (
                    hash,
                    read.map_err(|e| e.to_string())
                        .and_then(|config| self.fits(&config)),
                ),
                Ask::Run(hash, _) => (hash, self.reload(read, now)),
            };
            if let (Some(rollout), Some(members)) = (&mut self.rollout, &mut self.members) {
                let asks = rollout.read(result.0, result.1, members, &self.chain.counters, now);
                self.ask(asks);
            }
        }
    }

    /// Whether a file could take the place of the one that runs: it must not take this proxy out of the fleet.
    fn fits(&self, config: &Config) -> Result<(), String> {
        let missing = |what: &str| {
            Err(format!(
                "it has no section {what}: include the host's own file"
            ))
        };
        match (&config.members, &config.rollout) {
            (None, _) => missing("members"),
            (_, None) => missing("rollout"),
            _ => platform_settings::succeed(&self.platform, config.platform.clone())
                .map(|_| ())
                .map_err(|error| format!("settings.{error}")),
        }
    }

    fn ask(&mut self, asks: Vec<Ask>) {
        for ask in asks {
            match &mut self.reloads {
                Some(reloads) => _ = reloads.ask(ask),
                None => log::warn!("rollout: the configuration has no source here"),
            }
        }
    }

    /// What is new goes to the disk, and the answers that waited for it go out.
    fn remember(&mut self, now: Instant) {
        let Some(memory) = &mut self.memory else {
            return;
        };
        let (chain, start) = (
            &self.chain,
            self.members.as_ref().map_or(self.born, Members::start),
        );
        let listing = || chain.known().0;
        let list = chain
            .list_index()
            .map(|index| (index, &listing as &dyn Fn() -> _));
        memory.settle(now);
        memory.look(start, chain.hands(), list, now);
        for (key, answer) in memory.answers(now) {
            if let Some(admin) = &mut self.sides.admin {
                admin.answer(key, &answer, &self.sides.reactor);
            }
        }
    }

    fn look_at_rollout(&mut self, now: Instant) {
        let (Some(rollout), Some(members)) = (&mut self.rollout, &mut self.members) else {
            return;
        };
        let asks = rollout.look(members, &self.chain.counters, now);
        self.sides
            .timers
            .set(now + rollout.period(), Timer::Rollout);
        self.ask(asks);
    }

    fn usage(&self) -> Usage {
        let IoEndpoints {
            front, upstream, ..
        } = &self.sides;
        Usage {
            clients: front.clients(),
            clients_limit: self.limits.clients,
            upstream: upstream.connections(),
            upstream_limit: self.limits.upstream,
            open: self.chain.owed(),
            memory_limit: self.limits.memory,
        }
    }

    fn operate(&mut self, key: crate::event_loop::reactor::Key, word: Word, now: Instant) {
        if let Word::Rollout(said) = word {
            let text = match (&mut self.rollout, &mut self.members) {
                (Some(rollout), Some(members)) => {
                    let (text, asks) = rollout.told(said, members, &self.chain.counters, now);
                    self.ask(asks);
                    text
                }
                _ => "error: the operators' file has no section rollout\n".to_owned(),
            };
            if let Some(operate) = &mut self.sides.operate {
                operate.answer(key, &text);
            }
            return;
        }
        if let Word::Sites(named) = &word {
            let text = self.chain.sites(named.as_deref(), now);
            if let Some(operate) = &mut self.sides.operate {
                operate.answer(key, &text);
            }
            return;
        }
        let event = match word {
            Word::Drain => Some(drain::Event::Drain),
            Word::Undrain => Some(drain::Event::Undrain),
            Word::Status | Word::Sites(_) | Word::Rollout(_) => None,
        };
        if let Some(event) = event {
            log::info!(word:? = word; "told by an operator");
            self.drain(event, now);
        }
        let phase = match self.drain.phase() {
            drain::Phase::Serving => "serving".to_owned(),
            drain::Phase::Announced { until, .. } => {
                let left = (self.start + until)
                    .saturating_duration_since(now)
                    .as_millis();
                format!("announced, listening for {left} ms more")
            }
            drain::Phase::Drained => "drained".into(),
            drain::Phase::Lingering { .. } | drain::Phase::Closing | drain::Phase::Over => {
                "ending".into()
            }
        };
        let members = self
            .members
            .as_ref()
            .map_or(String::new(), |members| members.lines(now));
        let loans = self
            .chain
            .quota
            .lending
            .as_ref()
            .map_or(String::new(), |loans| loans.lines(now));
        let (monitor, sites) = (
            self.chain.monitor.lines(),
            self.chain.monitor.site_lines(now),
        );
        let text = format!("phase {phase}\n{monitor}{sites}{members}{loans}");
        if let Some(operate) = &mut self.sides.operate {
            operate.answer(key, &text);
        }
    }

    /// What an operator's call does, and its answer.
    fn call(&mut self, call: Call, now: Instant) -> Called {
        let (name, out) = match call {
            Call::Ready if self.drain.ending() => {
                return Called::Answer(Answer::line(Status::Unavailable, "ending: told to stop"));
            }
            Call::Ready if self.unheard && self.chain.counters.lists == 0 => {
                let text = "starting: discovery has not spoken yet";
                return Called::Answer(Answer::line(Status::Unavailable, text));
            }
            Call::Ready => return Called::Answer(Answer::line(Status::Ok, "ready")),
            Call::Telemetry => return Called::Answer(self.figures(now)),
            Call::Exclude(name) => (name, true),
            Call::Include(name) => (name, false),
        };
        match self.chain.hand(&name, out, &mut self.sides, now) {
            Ok(()) => {
                let said = if out { Said::Out } else { Said::In };
                if let Some(takeover) = &mut self.sides.takeover {
                    takeover.say(&said(name.clone()), None, &self.sides.reactor);
                }
                let word = if out { "out" } else { "in" };
                log::info!("admin: {} is {word} by an operator's word", shown(&name));
                Called::Done(word)
            }
            Err(Unknown) => Called::Answer(Answer::line(
                Status::NotFound,
                "no record server of that name",
            )),
        }
    }

    /// What another process of this proxy has to tell.
    fn linked(&mut self, from: Key, word: hot_restart::Word, now: Instant) {
        let IoEndpoints {
            reactor,
            front,
            takeover,
            operate,
            ..
        } = &mut self.sides;
        let Some(takeover) = takeover else { return };
        let said = match word {
            hot_restart::Word::Said(said @ (Said::Serving | Said::ServingElsewhere)) => {
                log::info!(said:? = said; "takeover: the next process serves");
                front.leave_to_heir(takeover.heir_accepts(), reactor);
                if let Some(rollout) = &mut self.rollout {
                    rollout.hand_over(true);
                }
                return self.share_limits();
            }
            hot_restart::Word::Gone => {
                log::info!("takeover: the other process is gone");
                front.leave_to_heir(takeover.heir_accepts(), reactor);
                if let Some(rollout) = &mut self.rollout {
                    rollout.hand_over(takeover.has_heir());
                }
                if front.listener().is_some() {
                    takeover.listen_again(reactor);
                    if let Some(operate) = operate.as_mut().filter(|_| !takeover.has_heir()) {
                        operate.listen_again(reactor);
                    }
                }
                if !takeover.has_elder() {
                    self.elder_holds = (0, 0);
                }
                return self.share_limits();
            }
            hot_restart::Word::Said(said) => said,
        };
        takeover.say(&said, Some(from), reactor);
        let out = matches!(said, Said::Out(_));
        if let Said::Out(name) | Said::In(name) = said {
            // One that this process has not heard of yet: its list is as late as discovery.
            _ = self.chain.hand(&name, out, &mut self.sides, now);
            self.remember(now);
        }
    }

    /// The limits that are left to this process: an heir has what its elder does not hold, which holds no more than it did.
    fn share_limits(&mut self) {
        let limits = self.limits.beside(self.elder_holds);
        let IoEndpoints {
            front,
            upstream,
            takeover,
            ..
        } = &mut self.sides;
        front.set_limits(limits, self.patience);
        let has_heir = takeover.as_ref().is_some_and(Takeover::has_heir);
        let held = upstream.connections().max(1);
        upstream.set_limit(if has_heir {
            held.min(limits.upstream)
        } else {
            limits.upstream
        });
    }

    fn figures(&self, now: Instant) -> Answer {
        let counters = &self.chain.counters;
        let (known, excluded) = self.chain.record_servers(now);
        let mut figures = Figures::default();
        let requests = counters.requests().flat_map(|(class, outcomes)| {
            let labelled = move |(kind, n)| (vec![("class", class), ("outcome", kind)], n);
            outcomes.into_iter().map(labelled)
        });
        figures.many(
            "lb_requests_total",
            "Requests answered, by class and outcome.",
            requests,
        );
        for (name, help, value) in [
            (
                "lb_attempts_total",
                "Attempts written whole to record servers.",
                self.sides.upstream.attempts,
            ),
            (
                "lb_in_flight",
                "Requests taken and not yet ended.",
                self.chain.owed() as u64,
            ),
            (
                "lb_record_servers_known",
                "Record servers in the list.",
                known as u64,
            ),
            (
                "lb_record_servers_excluded",
                "Of these, avoided at present by hand or by choice.",
                excluded as u64,
            ),
            (
                "lb_reloads_ok_total",
                "Configurations taken over at SIGHUP.",
                counters.reloads,
            ),
            (
                "lb_reloads_failed_total",
                "Configurations turned down at SIGHUP.",
                counters.reloads_failed,
            ),
        ] {
            figures.one(name, help, value);
        }
        if let Some(members) = &self.members {
            members.figures(now, &mut figures);
        }
        if let Some(loans) = &self.chain.quota.lending {
            loans.figures(now, &mut figures);
        }
        self.chain.monitor.site_figures(now, &mut figures);
        if let Some(rollout) = &self.rollout {
            rollout.figures(&mut figures);
        }
        if let Some(memory) = &self.memory {
            memory.figures(&mut figures);
        }
        figures.answer()
    }

    /// Where operators call.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.sides.admin.as_ref().map(Admin::address)
    }

    /// Where the balancers' checks are answered.
    pub fn health_addresses(&self) -> Vec<SocketAddr> {
        self.sides.health.addresses()
    }

    /// What is to be asked for the configuration when it has changed. It is asked on a thread of its own.
    pub fn reread_with(
        &mut self,
        reread: impl FnMut(Option<&Path>) -> Result<Config, ConfigError> + Send + 'static,
    ) -> io::Result<()> {
        self.reloads = Some(Reloads::new(Box::new(reread), self.wishes.waker()?));
        Ok(())
    }

    /// Takes over the configuration as it was read, while requests, connections and what the module knows stay. A
    /// faulty one changes nothing.
    fn reload(&mut self, read: Result<Config, ConfigError>, now: Instant) -> Result<(), String> {
        let config = match read {
            Ok(config) => config,
            Err(error) => {
                self.chain.counters.reloads_failed += 1;
                for fault in &error.faults {
                    log::error!("configuration: {fault}");
                }
                log::error!("{error}; the configuration stays as it was");
                return Err(error.to_string());
            }
        };
        let begun = Instant::now();
        let drain_settings = config.drain_settings();
        let succession = match platform_settings::succeed(&self.platform, config.platform) {
            Ok(succession) => succession,
            Err(error) => {
                self.chain.counters.reloads_failed += 1;
                log::error!("configuration: settings.{error}; the configuration stays as it was");
                return Err(format!("settings.{error}"));
            }
        };
        self.chain.counters.reloads += 1;
        self.platform = succession.next.clone();
        let rules = Rules {
            places: succession.places.clone(),
            ..config.rules
        };
        self.chain.configure(succession, config.dial_timeout, now);
        self.sides
            .upstream
            .set_times(config.dial_timeout, config.idle_limit);
        self.sides
            .front
            .set_balancers(config.checks.clone(), config.proxy_from.clone());
        (self.limits, self.patience) = (config.limits, config.patience);
        self.share_limits();
        self.drain.configure(drain_settings);
        crate::observability::logging::set(&config.logging);
        let routes = rules.rulings.len();
        let former = self.chain.set_rules(rules);
        self.chain
            .discovery_at(config.discovery, &mut self.sides, now);
        self.chain.set_pushed(
            !self.platform.settings.endpoints_are_polled,
            &mut self.sides,
            now,
        );
        let mut waits = self.reload_members(config.members, config.member_keys, now);
        waits.extend(self.reload_lending(config.lending, config.windows, now));
        let pause_us = begun.elapsed().as_micros() as u64;
        log::info!(pause_us, routes; "the configuration is reread: discovery at {}", config.discovery);
        if let Some(reloads) = &self.reloads {
            reloads.discard(former);
        }
        for (key, same) in [
            ("listen", config.listen == self.fixed.listen),
            ("admin", config.admin == self.fixed.admin),
            ("name", config.name == self.fixed.name),
            (
                "rollout",
                config.rollout.as_ref() == self.rollout.as_ref().map(Rollout::stated),
            ),
            (
                "memory",
                config.memory.as_ref() == self.memory.as_ref().map(Memory::stated),
            ),
            ("sites", config.sites == self.fixed.sites),
            (
                "discovery watch-silence",
                config.watch_silence == self.fixed.watch_silence,
            ),
        ]
        .into_iter()
        .chain(waits.into_iter().map(|key| (key, false)))
        {
            if !same {
                log::warn!(key; "configuration: {key}: a change of it counts from the next start");
            }
        }
        Ok(())
    }

    /// The fleet as the file now states it: joined, left, or with another roster. What waits for the next start.
    fn reload_members(
        &mut self,
        stated: Option<configuration::model::Members>,
        keys: Option<datagram_auth::Keys>,
        now: Instant,
    ) -> Vec<&'static str> {
        match (&mut self.members, stated, keys) {
            (Some(members), Some(stated), Some(keys)) => return members.reload(&stated, keys, now),
            (None, Some(stated), keys) => {
                let (name, reactor) = (&self.fixed.name, &self.sides.reactor);
                match Members::join(
                    stated,
                    keys,
                    name,
                    clock::unix_ms(),
                    self.seed,
                    now,
                    reactor,
                ) {
                    Ok(members) => {
                        self.members = Some(members);
                        self.sides.timers.set(now, Timer::Quota);
                    }
                    Err(error) => log::error!("configuration: {error}; this proxy stays by itself"),
                }
            }
            (Some(members), ..) => {
                log::info!("members: the file names none any more; the fleet is left");
                members.leave(now);
                self.members = None;
                self.chain.quota.leave_fleet();
            }
            (None, None, _) => {}
        }
        Vec::new()
    }

    /// Loans as the file now states them. Without its section nothing more is lent; what is owed is known until the end.
    fn reload_lending(
        &mut self,
        stated: Option<configuration::model::Lending>,
        windows: Vec<Window>,
        now: Instant,
    ) -> Vec<&'static str> {
        let lending = &mut self.chain.quota.lending;
        let waits = match (lending.as_mut(), stated) {
            (Some(lending), Some(stated)) => lending.reload(stated, windows),
            (Some(lending), None) => {
                lending.stop_lending();
                Vec::new()
            }
            (None, Some(stated)) if self.members.is_some() => {
                match self.wishes.waker() {
                    Ok(waker) => *lending = Some(QuotaLending::new(stated, windows, waker, now)),
                    Err(error) => log::error!("loans: {error}; nothing is lent here"),
                }
                Vec::new()
            }
            (None, _) => Vec::new(),
        };
        self.chain.quota.update_lending_rules(now);
        waits
    }

    /// What the other rooms have to say goes out, and the members' timers are set.
    fn settle_members(&mut self) {
        if let Some(members) = &mut self.members {
            self.chain.quota.flush(members, Instant::now());
        }
        for (at, token) in self
            .members
            .as_mut()
            .map(Members::take_timers)
            .unwrap_or_default()
        {
            self.sides.timers.set(at, Timer::Members(token));
        }
    }

    /// An heir goes on under this name, and nobody is to miss it.
    fn leave_fleet(&mut self) {
        let has_heir = self.sides.takeover.as_ref().is_some_and(Takeover::has_heir);
        if let Some(members) = self.members.as_mut().filter(|_| !has_heir) {
            members.leave(Instant::now());
        }
    }

    /// The counters, on standard error: whoever asks wants them at any log level.
    pub fn report(&self) {
        let IoEndpoints {
            front, upstream, ..
        } = &self.sides;
        let (clients, turned_out, not_understood) =
            (front.clients(), front.turned_out, front.not_understood);
        let (connections, dials) = (upstream.connections(), upstream.dials);
        let (steering, health) = (self.chain.steering(), self.sides.health.lines());
        let quota = &self.chain.quota;
        crate::observability::logging::say(&format!(
            "{}\nstatements not understood {not_understood}\nconnections: clients {clients}, turned out {turned_out}; upstream {connections}; dials {dials}{steering}{quota}{health}",
            self.chain.counters,
        ));
    }
}
