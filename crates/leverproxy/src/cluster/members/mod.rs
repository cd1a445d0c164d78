//! Membership of the fleet: owns the socket for datagrams of the other proxies, authenticates them (`datagram-auth`), and
//! performs the actions of the membership core (`membership`).
//!
//! Nothing here blocks: a datagram that can't be sent immediately is dropped, as the network may also do.

mod error;
mod metrics;
mod names;
#[cfg(test)]
mod recorded;
mod self_report;
mod status_text;
#[cfg(test)]
mod unsealed;

use crate::event_loop::reactor::{Interest, Reactor};
use crate::event_loop::token::Token;
use configuration::model::Members as MembersSettings;
use datagram_auth::{Keys, Opener, Sealer, MAX_DATAGRAM_BYTES, MEMBERSHIP_KIND};
pub use error::MembersError;
use membership::{
    Action, Config, Core, Event, Fact, GuardedOperation, Member, OperationDenied, Roster, Status,
    View,
};
use names::status_name;
use self_report::{
    decode_self_report, encode_self_report, SelfReport, SELF_REPORT_KIND, SELF_REPORT_TTL,
};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

/// Maximum number of datagrams received before other events are handled.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
/// Interval of retries while another process has the port: in a hot restart the old process has it until it ends.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Token of the timer for these retries; tokens of the core count up from 1.
const BIND_TIMER_TOKEN: u64 = u64::MAX;
/// Maximum number of facts of other members that wait for [`Members::take_facts`].
const MAX_PENDING_FACTS: usize = 1_024;

/// This proxy as a member of its fleet.
pub struct Members {
    settings: MembersSettings,
    name: String,
    /// Incarnation: the start of this process in Unix milliseconds, or later if other members had a later incarnation for
    /// this name.
    incarnation: u64,
    socket: Option<UdpSocket>,
    core: Core,
    sealer: Sealer,
    opener: Opener,
    origin: Instant,
    serving: bool,
    self_report_published_at: Option<Instant>,
    timers: Vec<(Instant, u64)>,
    pending_facts: Vec<Fact>,
    bind_failure_logged: bool,
    sent: u64,
    sent_bytes: u64,
    send_failures: u64,
    /// Datagrams in `send_failures` that could not be sealed.
    seal_failures: u64,
    received: u64,
    malformed_self_reports: u64,
    malformed_rates: u64,
    /// Number of rejected datagrams by reason; the first one for each reason is logged.
    rejected: BTreeMap<&'static str, u64>,
    /// Number of changes of members to each status.
    status_changes: BTreeMap<&'static str, u64>,
}

impl Members {
    /// Joins the fleet. `start` is the start time of this process in Unix milliseconds, its first incarnation.
    pub fn join(
        settings: MembersSettings,
        keys: Option<Keys>,
        name: &str,
        start: u64,
        seed: u64,
        now: Instant,
        reactor: &Reactor,
    ) -> Result<Members, MembersError> {
        let keys = keys.ok_or(MembersError::NoKeys)?;
        let mut config = Config::with_period(name, start, roster_of(&settings), settings.period);
        config.suspicion_timeout = settings.suspicion;
        let names = settings.roster.iter().map(|m| m.name.clone());
        let mut members = Members {
            core: Core::new(config, seed)?,
            sealer: Sealer::new(name, start, keys.clone()),
            opener: Opener::new(name, keys, names),
            settings,
            name: name.to_owned(),
            incarnation: start,
            socket: None,
            origin: now,
            serving: true,
            self_report_published_at: None,
            timers: Vec::new(),
            pending_facts: Vec::new(),
            bind_failure_logged: false,
            sent: 0,
            sent_bytes: 0,
            send_failures: 0,
            seal_failures: 0,
            received: 0,
            malformed_self_reports: 0,
            malformed_rates: 0,
            rejected: BTreeMap::new(),
            status_changes: BTreeMap::new(),
        };
        members.bind(now, reactor);
        Ok(members)
    }

    /// Opens the port for members, and retries later if that fails. Meanwhile the proxy serves clients without the fleet.
    fn bind(&mut self, now: Instant, reactor: &Reactor) {
        match self.open(reactor) {
            Ok(address) => {
                log::info!("members: heard on {address}");
                self.handle(Event::Start, now);
                self.publish_self_report(now);
            }
            Err(error) => {
                if !self.bind_failure_logged {
                    self.bind_failure_logged = true;
                    let listen = self.settings.listen;
                    log::warn!("members: can't listen on {listen} ({error}): retrying every half second; \
                                in an upgrade the old process has the port, else check which process does");
                }
                self.timers
                    .push((now + BIND_RETRY_INTERVAL, BIND_TIMER_TOKEN));
            }
        }
    }

    fn open(&mut self, reactor: &Reactor) -> io::Result<SocketAddr> {
        let socket = UdpSocket::bind(self.settings.listen)?;
        socket.set_nonblocking(true)?;
        reactor.register(&socket, Token::Datagrams, Interest::READ)?;
        let address = socket.local_addr()?;
        self.socket = Some(socket);
        Ok(address)
    }

    /// Sets whether another process of this proxy takes over in a hot restart: a later incarnation of this name is then
    /// that of the new process.
    pub fn set_handed_over(&mut self, handed_over: bool, now: Instant) {
        self.handle(Event::HandedOver(handed_over), now);
    }

    /// Timers to set, with their tokens.
    pub fn take_timers(&mut self) -> Vec<(Instant, u64)> {
        std::mem::take(&mut self.timers)
    }

    /// Handles a due timer from `take_timers`.
    pub fn on_timer(&mut self, token: u64, now: Instant, reactor: &Reactor) {
        if token == BIND_TIMER_TOKEN {
            return self.bind(now, reactor);
        }
        self.handle(Event::Timer(token), now);
        if self
            .self_report_published_at
            .is_some_and(|at| now.saturating_duration_since(at) > SELF_REPORT_TTL / 2)
        {
            self.publish_self_report(now);
        }
    }

    /// The name of this proxy.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Number of members in the roster.
    pub fn roster_size(&self) -> usize {
        self.settings.roster.len()
    }

    /// The current incarnation of this process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether this process has its port: in a hot restart, once the old process has ended.
    pub fn is_listening(&self) -> bool {
        self.socket.is_some()
    }

    /// Receives datagrams after the socket has become readable.
    pub fn receive_datagrams(&mut self, now: Instant) {
        // One byte more than the limit, so that a longer datagram is detected.
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            let Some(socket) = &self.socket else { return };
            let Ok((length, _)) = socket.recv_from(&mut bytes) else {
                return;
            };
            self.received += 1;
            self.receive(&bytes[..length], now);
        }
    }

    fn receive(&mut self, bytes: &[u8], now: Instant) {
        let (from, incarnation, payload) = match self.opener.open(bytes) {
            // A datagram kind of a later build.
            Ok(opened) if opened.kind != MEMBERSHIP_KIND => {
                *self.rejected.entry("other-kind").or_default() += 1;
                return;
            }
            Ok(opened) => (opened.from, opened.incarnation, opened.payload),
            Err(error) => {
                let count = self.rejected.entry(error.label()).or_default();
                *count += 1;
                if *count == 1 {
                    log::warn!("members: {error}; further ones are only counted");
                }
                return;
            }
        };
        let event = Event::Datagram {
            from,
            incarnation,
            bytes: payload,
        };
        self.handle(event, now);
    }

    /// Time since this proxy joined, which is the time of the core.
    fn since_origin(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.origin)
    }

    fn handle(&mut self, event: Event<'_>, now: Instant) {
        let mut actions = Vec::new();
        self.core
            .handle(self.since_origin(now), event, &mut actions);
        for action in actions {
            match action {
                Action::Send { address, bytes, .. } => self.send(address, &bytes),
                Action::Timer { after, token } => self.timers.push((now + after, token)),
                Action::MemberChanged(name, status) => self.member_status_changed(&name, status),
                Action::QuorumStateChanged(state) => {
                    let counts = self.view(now).member_counts;
                    log::info!(
                        "members: {state}, {} of {} are reachable",
                        counts.alive,
                        counts.total
                    );
                }
                Action::FactReceived(fact) => self.fact_received(fact),
                Action::PublishRejected(error) => {
                    log::warn!("members: a fact of this proxy can't be published: {error}")
                }
                Action::RosterRejected(error) => {
                    log::error!("members: {error}; the previous roster is kept")
                }
                Action::IncarnationRenewed(incarnation) => self.incarnation_renewed(incarnation),
            }
        }
    }

    fn member_status_changed(&mut self, name: &str, status: Status) {
        *self.status_changes.entry(status_name(status)).or_default() += 1;
        match status {
            Status::Alive => log::info!("members: {name} is alive"),
            status => log::warn!("members: {name} is {}", status_name(status)),
        }
    }

    fn fact_received(&mut self, fact: Fact) {
        if fact.kind == SELF_REPORT_KIND {
            self.malformed_self_reports += u64::from(decode_self_report(&fact.body).is_none());
        } else {
            // Bounds the queue in case its consumer is slow: a new fact then replaces the latest one in the queue.
            self.pending_facts.truncate(MAX_PENDING_FACTS - 1);
            self.pending_facts.push(fact);
        }
    }

    fn incarnation_renewed(&mut self, incarnation: u64) {
        log::warn!(
            "members: other members have incarnation {} or later for this name, but this process had {}: its clock was set \
             back, and it continues with incarnation {incarnation}. If this occurs again, two processes have this name",
            incarnation.saturating_sub(1),
            self.incarnation
        );
        self.incarnation = incarnation;
        self.sealer.set_incarnation(incarnation);
    }

    fn send(&mut self, to: SocketAddr, payload: &[u8]) {
        let mut out = Vec::new();
        if let Err(error) =
            self.sealer
                .seal(MEMBERSHIP_KIND, self.settings.version, payload, &mut out)
        {
            self.send_failures += 1;
            self.seal_failures += 1;
            if self.seal_failures == 1 {
                log::error!(
                    "members: {error}. {} Further ones are only counted",
                    error.advice()
                );
            }
            return;
        }
        let Some(socket) = &self.socket else { return };
        match socket.send_to(&out, to) {
            Ok(_) => {
                self.sent += 1;
                self.sent_bytes += out.len() as u64;
            }
            Err(_) => self.send_failures += 1,
        }
    }

    fn publish_self_report(&mut self, now: Instant) {
        let self_report = SelfReport {
            build: env!("CARGO_PKG_VERSION").into(),
            serving: self.serving,
        };
        let Some(body) = encode_self_report(&self_report) else {
            return;
        };
        self.self_report_published_at = Some(now);
        self.handle(
            Event::Publish {
                kind: SELF_REPORT_KIND,
                key: Vec::new(),
                body,
                ttl: SELF_REPORT_TTL,
            },
            now,
        );
    }

    /// The last self-report of each other member, by name.
    fn self_reports(&self, now: Instant) -> BTreeMap<String, SelfReport> {
        self.facts(SELF_REPORT_KIND, now)
            .into_iter()
            .filter_map(|fact| Some((fact.source, decode_self_report(&fact.body)?)))
            .collect()
    }

    /// Publishes a fact for another module of the proxy. It replaces an earlier fact of the same kind and key.
    pub fn publish(&mut self, kind: u8, key: Vec<u8>, body: Vec<u8>, ttl: Duration, now: Instant) {
        self.handle(
            Event::Publish {
                kind,
                key,
                body,
                ttl,
            },
            now,
        );
    }

    /// Takes the new facts of other members, except self-reports.
    pub fn take_facts(&mut self) -> Vec<Fact> {
        std::mem::take(&mut self.pending_facts)
    }

    /// Counts a fact with usage rates that could not be decoded.
    pub fn count_malformed_rates(&mut self) {
        self.malformed_rates += 1;
    }

    /// Facts of one kind from other members that have not expired.
    pub fn facts(&self, kind: u8, now: Instant) -> Vec<Fact> {
        self.core.facts(self.since_origin(now), kind)
    }

    /// Checks whether an operation is allowed now, in the whole fleet or in one region.
    pub fn check_operation(
        &self,
        operation: GuardedOperation,
        region: Option<&str>,
        now: Instant,
    ) -> Result<(), OperationDenied> {
        self.core
            .check_operation(self.since_origin(now), operation, region)
    }

    /// Current view of the fleet.
    pub fn view(&self, now: Instant) -> View {
        self.core.view(self.since_origin(now))
    }

    /// Names and regions of the members in the roster.
    pub fn regions(&self) -> Vec<(String, String)> {
        self.settings
            .roster
            .iter()
            .map(|m| (m.name.clone(), m.region.clone()))
            .collect()
    }

    /// Sets whether this proxy serves or is ending; published in its self-report.
    pub fn set_serving(&mut self, serving: bool, now: Instant) {
        if self.serving != serving {
            self.serving = serving;
            self.publish_self_report(now);
        }
    }

    /// Notifies the other members that this proxy leaves, so that they do not take it for failed.
    pub fn leave(&mut self, now: Instant) {
        self.handle(Event::Leave, now);
    }

    /// Applies a new roster and new keys. Returns the keys of changed settings that take effect at the next start.
    pub fn reload(
        &mut self,
        settings: &MembersSettings,
        keys: Keys,
        now: Instant,
    ) -> Vec<&'static str> {
        self.opener
            .set_members(settings.roster.iter().map(|m| m.name.clone()));
        self.opener.set_keys(keys.clone());
        self.sealer.set_keys(keys);
        if (settings.version, &settings.roster) != (self.settings.version, &self.settings.roster) {
            self.handle(Event::Roster(roster_of(settings)), now);
        }
        let (version, roster) = (settings.version, settings.roster.clone());
        let unchanged = [
            ("members listen", settings.listen == self.settings.listen),
            ("members period", settings.period == self.settings.period),
            (
                "members suspicion",
                settings.suspicion == self.settings.suspicion,
            ),
        ];
        self.settings = MembersSettings {
            version,
            roster,
            ..self.settings.clone()
        };
        unchanged
            .into_iter()
            .filter(|(_, is_unchanged)| !is_unchanged)
            .map(|(key, _)| key)
            .collect()
    }
}

fn roster_of(settings: &MembersSettings) -> Roster {
    let member = |m: &configuration::model::Member| Member {
        name: m.name.clone(),
        address: m.address,
        region: m.region.clone(),
    };
    Roster {
        version: settings.version,
        members: settings.roster.iter().map(member).collect(),
    }
}
