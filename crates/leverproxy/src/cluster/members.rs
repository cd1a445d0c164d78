//! The other proxies of the fleet: the socket that their datagrams come to, and what `membership` makes of them. Bytes are
//! `peers`', who is there and what may be done is `membership`'s; here is what carries the one to the other.
//!
//! Nothing of it waits: a datagram that can't be sent now is lost, as one on the wire may be.

use crate::event_loop::reactor::{Interest, Reactor};
use crate::event_loop::token::Token;
use configuration::model::Members as Stated;
use datagram_auth::{Keys, Opener, Sealer, DATAGRAM_LIMIT, MEMBERSHIP};
use membership::{
    Act, Action, Config, Core, Denied, Event, Fact, Member, Roster, RosterError, State, Status,
    View,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};
use thiserror::Error;
use wire_admin::Figures;

/// Datagrams taken in before the clients get their turn again.
const TURN: usize = 64;
/// A port that is held by another process is asked for again after this: in an upgrade the elder has it until it ends.
const BIND_AGAIN: Duration = Duration::from_millis(500);
/// Token of the timer for that; the core's own count up from 1.
const BIND: u64 = u64::MAX;
/// What a proxy says of itself, and for how long that holds; it is said again when half of it is over.
const ACCOUNT: u8 = 1;
const ACCOUNT_LASTS: Duration = Duration::from_secs(60);
/// Of what a fact of that kind looks like.
const ACCOUNT_VERSION: u8 = 1;

/// Facts that wait to be fetched.
const HEARD_MOST: usize = 1_024;

/// Why a fleet can't be joined.
#[derive(Debug, Error)]
pub enum Fault {
    #[error("members: {0}")]
    Roster(#[from] RosterError),
    #[error("members: a key file was read for no section: this is a fault of the program")]
    NoKeys,
}

impl Fault {
    pub fn advice(&self) -> &'static str {
        match self {
            Fault::Roster(error) => error.advice(),
            Fault::NoKeys => "Report it with the build. Without the section `members` the proxy starts, and serves as before.",
        }
    }
}

/// What each proxy tells the others of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Account {
    build: String,
    /// It serves; else it has been told to end.
    serving: bool,
}

pub struct Members {
    stated: Stated,
    name: String,
    /// Of this process, in Unix milliseconds, or later than that where others know its name by a later one.
    start: u64,
    socket: Option<UdpSocket>,
    core: Core,
    sealer: Sealer,
    opener: Opener,
    origin: Instant,
    serving: bool,
    told: Option<Instant>,
    timers: Vec<(Instant, u64)>,
    heard: Vec<Fact>,
    complained: bool,
    sent: u64,
    sent_bytes: u64,
    unsent: u64,
    /// Of these, those that could not be made.
    unsealed: u64,
    received: u64,
    accounts_unread: u64,
    rates_unread: u64,
    /// By reason; the first of each has a line in the log.
    refused: BTreeMap<&'static str, u64>,
    /// How often members became that.
    changes: BTreeMap<&'static str, u64>,
}

impl Members {
    /// `start`: Unix milliseconds of this process's start.
    pub fn join(
        stated: Stated,
        keys: Option<Keys>,
        name: &str,
        start: u64,
        seed: u64,
        now: Instant,
        reactor: &Reactor,
    ) -> Result<Members, Fault> {
        let keys = keys.ok_or(Fault::NoKeys)?;
        let mut config = Config::with_period(name, start, roster(&stated), stated.period);
        config.suspicion = stated.suspicion;
        let names = stated.roster.iter().map(|m| m.name.clone());
        let mut members = Members {
            core: Core::new(config, seed)?,
            sealer: Sealer::new(name, start, keys.clone()),
            opener: Opener::new(name, keys, names),
            stated,
            name: name.to_owned(),
            start,
            socket: None,
            origin: now,
            serving: true,
            told: None,
            timers: Vec::new(),
            heard: Vec::new(),
            complained: false,
            sent: 0,
            sent_bytes: 0,
            unsent: 0,
            unsealed: 0,
            received: 0,
            accounts_unread: 0,
            rates_unread: 0,
            refused: BTreeMap::new(),
            changes: BTreeMap::new(),
        };
        members.bind(now, reactor);
        Ok(members)
    }

    /// Without a place to hear others it is alone, and serves clients all the same.
    fn bind(&mut self, now: Instant, reactor: &Reactor) {
        match self.open(reactor) {
            Ok(address) => {
                log::info!("members: heard on {address}");
                self.handle(Event::Start, now);
                self.tell(now);
            }
            Err(error) => {
                if !self.complained {
                    self.complained = true;
                    let listen = self.stated.listen;
                    log::warn!("members: {listen} can't be listened on ({error}): asked for again every half second; \
                                in an upgrade the former process has it, else see who does");
                }
                self.timers.push((now + BIND_AGAIN, BIND));
            }
        }
    }

    fn open(&mut self, reactor: &Reactor) -> io::Result<SocketAddr> {
        let socket = UdpSocket::bind(self.stated.listen)?;
        socket.set_nonblocking(true)?;
        reactor.register(&socket, Token::Datagrams, Interest::READ)?;
        let address = socket.local_addr()?;
        self.socket = Some(socket);
        Ok(address)
    }

    /// Timers to be set, by their tokens.
    pub fn take_timers(&mut self) -> Vec<(Instant, u64)> {
        std::mem::take(&mut self.timers)
    }

    pub fn on_timer(&mut self, token: u64, now: Instant, reactor: &Reactor) {
        if token == BIND {
            return self.bind(now, reactor);
        }
        self.handle(Event::Timer(token), now);
        if self
            .told
            .is_some_and(|told| now.saturating_duration_since(told) > ACCOUNT_LASTS / 2)
        {
            self.tell(now);
        }
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    /// Of the roster.
    pub fn size(&self) -> usize {
        self.stated.roster.len()
    }

    pub fn start(&self) -> u64 {
        self.start
    }

    /// It can be heard: in an upgrade, once the elder has ended.
    pub fn is_heard(&self) -> bool {
        self.socket.is_some()
    }

    /// Datagrams have come.
    pub fn ready(&mut self, now: Instant) {
        // One byte more than the longest, so that a longer one is known for it.
        let mut bytes = [0; DATAGRAM_LIMIT + 1];
        for _ in 0..TURN {
            let Some(socket) = &self.socket else { return };
            let Ok((length, _)) = socket.recv_from(&mut bytes) else {
                return;
            };
            self.received += 1;
            let (from, start, payload) = match self.opener.open(&bytes[..length]) {
                // Of a kind that this build does not know, from a later one: of no use here.
                Ok(opened) if opened.kind != MEMBERSHIP => {
                    *self.refused.entry("other-kind").or_default() += 1;
                    continue;
                }
                Ok(opened) => (opened.from.to_owned(), opened.start, opened.payload),
                Err(refused) => {
                    let count = self.refused.entry(refused.kind()).or_default();
                    *count += 1;
                    if *count == 1 {
                        log::warn!("members: {refused}; further ones are only counted");
                    }
                    continue;
                }
            };
            let payload = payload.to_vec();
            self.handle(
                Event::Heard {
                    from: &from,
                    start,
                    bytes: &payload,
                },
                now,
            );
        }
    }

    fn handle(&mut self, event: Event<'_>, now: Instant) {
        let mut actions = Vec::new();
        self.core.handle(
            now.saturating_duration_since(self.origin),
            event,
            &mut actions,
        );
        for action in actions {
            match action {
                Action::Send { address, bytes, .. } => self.send(address, &bytes),
                Action::Timer { after, token } => self.timers.push((now + after, token)),
                Action::Changed(name, status) => {
                    *self.changes.entry(word(status)).or_default() += 1;
                    match status {
                        Status::Alive => log::info!("members: {name} is alive"),
                        status => log::warn!("members: {name} is {}", word(status)),
                    }
                }
                Action::State(state) => {
                    let heads = self
                        .core
                        .view(now.saturating_duration_since(self.origin))
                        .heads;
                    log::info!(
                        "members: {state}, {} of {} are heard",
                        heads.heard,
                        heads.of
                    );
                }
                // Whoever keeps it may be slow to fetch it; the newest matter.
                Action::Fact(fact) if fact.kind != ACCOUNT => {
                    self.heard.truncate(HEARD_MOST - 1);
                    self.heard.push(fact);
                }
                Action::Fact(fact) => {
                    self.accounts_unread += u64::from(account(&fact.body).is_none())
                }
                Action::Untold(error) => {
                    log::warn!("members: what this proxy says of itself is not told: {error}")
                }
                Action::BadRoster(error) => {
                    log::error!("members: {error}; the former roster stays")
                }
                Action::Renewed(start) => {
                    log::warn!(
                        "members: others know this name by start {} or later, and this process had {}: its clock was set back, \
                         and it goes on under {start}. If that comes again, two processes have this name",
                        start.saturating_sub(1),
                        self.start
                    );
                    self.start = start;
                    self.sealer.renew(start);
                }
            }
        }
    }

    fn send(&mut self, to: SocketAddr, payload: &[u8]) {
        let mut out = Vec::new();
        if let Err(error) = self
            .sealer
            .seal(MEMBERSHIP, self.stated.version, payload, &mut out)
        {
            self.unsent += 1;
            self.unsealed += 1;
            if self.unsealed == 1 {
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
            Err(_) => self.unsent += 1,
        }
    }

    /// Says how this proxy is.
    fn tell(&mut self, now: Instant) {
        let account = Account {
            build: env!("CARGO_PKG_VERSION").into(),
            serving: self.serving,
        };
        let Ok(body) = postcard::to_extend(&account, vec![ACCOUNT_VERSION]) else {
            return;
        };
        self.told = Some(now);
        self.handle(
            Event::Tell {
                kind: ACCOUNT,
                key: Vec::new(),
                body,
                lasts: ACCOUNT_LASTS,
            },
            now,
        );
    }

    /// What another room of this proxy has to say to the others: it replaces what that said before under that key.
    pub fn say(&mut self, kind: u8, key: Vec<u8>, body: Vec<u8>, lasts: Duration, now: Instant) {
        self.handle(
            Event::Tell {
                kind,
                key,
                body,
                lasts,
            },
            now,
        );
    }

    /// What others have newly said, of all kinds but this room's own.
    pub fn take_heard(&mut self) -> Vec<Fact> {
        std::mem::take(&mut self.heard)
    }

    /// Rates that another told of could not be read.
    pub fn rates_unread(&mut self) {
        self.rates_unread += 1;
    }

    /// What others have said of a kind and still holds.
    pub fn facts(&self, kind: u8, now: Instant) -> Vec<Fact> {
        self.core
            .facts(now.saturating_duration_since(self.origin), kind)
    }

    pub fn allowed(&self, act: Act, region: Option<&str>, now: Instant) -> Result<(), Denied> {
        self.core
            .allowed(now.saturating_duration_since(self.origin), act, region)
    }

    pub fn view(&self, now: Instant) -> View {
        self.core.view(now.saturating_duration_since(self.origin))
    }

    /// The roster: names with their regions.
    pub fn regions(&self) -> Vec<(String, String)> {
        self.stated
            .roster
            .iter()
            .map(|m| (m.name.clone(), m.region.clone()))
            .collect()
    }

    /// It has been told to end, or serves after all.
    pub fn serves(&mut self, serving: bool, now: Instant) {
        if self.serving != serving {
            self.serving = serving;
            self.tell(now);
        }
    }

    /// The last word: it goes of its own will, and is not missed.
    pub fn leave(&mut self, now: Instant) {
        self.handle(Event::Leave, now);
    }

    /// Takes over another roster and other keys; what waits for the next start.
    pub fn reload(&mut self, stated: &Stated, keys: Keys, now: Instant) -> Vec<&'static str> {
        self.opener
            .set_names(stated.roster.iter().map(|m| m.name.clone()));
        self.opener.set_keys(keys.clone());
        self.sealer.set_keys(keys);
        if (stated.version, &stated.roster) != (self.stated.version, &self.stated.roster) {
            self.handle(Event::Roster(roster(stated)), now);
        }
        let (version, list) = (stated.version, stated.roster.clone());
        let waits = [
            ("members listen", stated.listen == self.stated.listen),
            ("members period", stated.period == self.stated.period),
            (
                "members suspicion",
                stated.suspicion == self.stated.suspicion,
            ),
        ];
        self.stated = Stated {
            version,
            roster: list,
            ..self.stated.clone()
        };
        waits
            .into_iter()
            .filter(|(_, same)| !same)
            .map(|(key, _)| key)
            .collect()
    }

    fn accounts(&self, now: Instant) -> BTreeMap<String, Account> {
        let facts = self
            .core
            .facts(now.saturating_duration_since(self.origin), ACCOUNT);
        facts
            .into_iter()
            .filter_map(|fact| Some((fact.source, account(&fact.body)?)))
            .collect()
    }

    /// For an operator, a line a member.
    pub fn lines(&self, now: Instant) -> String {
        let since_origin = now.saturating_duration_since(self.origin);
        let view = self.core.view(since_origin);
        let doubting = if view.doubting {
            ", doubting itself"
        } else {
            ""
        };
        let mut text = format!(
            "members {}{doubting}: {} of {} heard, roster version {}, {} say another\n",
            view.state, view.heads.heard, view.heads.of, view.roster, view.roster_differs
        );
        for act in ACTS {
            // Writing to a string does not fail.
            if let Err(why) = self.core.allowed(since_origin, act, None) {
                _ = writeln!(text, "  may not {}: {why}", name(act));
            }
        }
        let accounts = self.accounts(now);
        for member in view.members {
            let age = since_origin.saturating_sub(member.since).as_secs();
            let how = if member.direct {
                "heard directly"
            } else {
                "not heard directly"
            };
            let account = accounts.get(&member.name).map_or(String::new(), |account| {
                let phase = if account.serving { "serving" } else { "ending" };
                format!(", {phase}, build {}", account.build)
            });
            let status = word(member.status);
            _ = writeln!(
                text,
                "  member {} {status} for {age} s, {how}{account}",
                member.name
            );
        }
        text
    }

    pub fn figures(&self, now: Instant, figures: &mut Figures) {
        let since_origin = now.saturating_duration_since(self.origin);
        let view = self.core.view(since_origin);
        let states = [State::Whole, State::Degraded, State::Minority, State::Alone]
            .map(|s| (s.to_string(), s));
        let state = states
            .iter()
            .map(|(name, s)| (vec![("state", name.as_str())], u64::from(*s == view.state)));
        figures.many(
            "lb_members_state",
            "How much of the roster is heard.",
            state,
        );
        let members = view.members.iter().flat_map(|member| {
            STATUSES.into_iter().map(|status| {
                let labels = vec![("member", member.name.as_str()), ("status", word(status))];
                (labels, u64::from(member.status == status))
            })
        });
        figures.many("lb_member", "What is known of each other member.", members);
        let direct = view
            .members
            .iter()
            .map(|m| (vec![("member", m.name.as_str())], u64::from(m.direct)));
        figures.many(
            "lb_member_direct",
            "Whether its last sign of life was its own datagram.",
            direct,
        );
        let accounts = self.accounts(now);
        let serving = accounts
            .iter()
            .map(|(name, a)| (vec![("member", name.as_str())], u64::from(a.serving)));
        figures.many(
            "lb_member_serving",
            "What it says of itself, while that has not lapsed.",
            serving,
        );
        let allowed = ACTS.into_iter().map(|act| {
            (
                vec![("act", name(act))],
                u64::from(self.core.allowed(since_origin, act, None).is_ok()),
            )
        });
        figures.many(
            "lb_members_allowed",
            "What may be done in this state.",
            allowed,
        );
        let changes = self
            .changes
            .iter()
            .map(|(status, n)| (vec![("status", *status)], *n));
        figures.many(
            "lb_members_changes_total",
            "How often a member became that.",
            changes,
        );
        let counts = view.counts;
        let refused = self
            .refused
            .iter()
            .map(|(reason, n)| (vec![("reason", *reason)], *n));
        let beyond = [
            ("stranger", counts.strangers),
            ("earlier", counts.earlier),
            ("imposter", counts.imposters),
            ("malformed-inside", counts.malformed),
        ];
        let beyond = beyond.map(|(reason, n)| (vec![("reason", reason)], n));
        figures.many(
            "lb_members_refused_total",
            "Datagrams not taken in, by reason.",
            refused.chain(beyond),
        );
        let unread = [
            ("account", self.accounts_unread),
            ("rates", self.rates_unread),
        ];
        let unread = unread.map(|(of, n)| (vec![("of", of)], n));
        figures.many(
            "lb_members_facts_unread_total",
            "Facts of another version, or torn.",
            unread,
        );
        for (name, help, value) in [
            (
                "lb_start_ms",
                "When this process started, in Unix milliseconds, or the later start that it goes on under.",
                self.start,
            ),
            (
                "lb_members_renewals_total",
                "Times that it went on under a later start, since others knew its name by one.",
                counts.renewals,
            ),
            (
                "lb_members_renewals_held_total",
                "Words of a later start that came too soon after the last renewal.",
                counts.renewals_held,
            ),
            (
                "lb_members_renewals_spent_total",
                "Words of a start beyond all clocks; they are not believed.",
                counts.renewals_spent,
            ),
            ("lb_members_heard", "Members heard, this one too.", view.heads.heard as u64),
            ("lb_members_roster_version", "Version of the roster.", view.roster),
            (
                "lb_members_roster_differs",
                "Members heard that say another version.",
                view.roster_differs as u64,
            ),
            (
                "lb_members_doubting",
                "Whether this process was late and doubts itself.",
                u64::from(view.doubting),
            ),
            ("lb_members_pauses_total", "Times that it was late enough for that.", counts.pauses),
            ("lb_members_facts", "Facts of others that are kept.", view.facts as u64),
            ("lb_members_facts_invented_total", "Facts told in this one's name by others.", counts.invented),
            (
                "lb_members_unsealed_total",
                "Datagrams that could not be made; the first has a line in the log.",
                self.unsealed,
            ),
            ("lb_members_sent_total", "Datagrams sent.", self.sent),
            ("lb_members_sent_bytes_total", "Bytes of these.", self.sent_bytes),
            ("lb_members_unsent_total", "Datagrams that could not be sent.", self.unsent),
            ("lb_members_received_total", "Datagrams that came.", self.received),
        ] {
            figures.one(name, help, value);
        }
    }
}

const ACTS: [Act; 4] = [Act::Lend, Act::Repay, Act::Promote, Act::Halt];
const STATUSES: [Status; 5] = [
    Status::NeverHeard,
    Status::Alive,
    Status::Suspect,
    Status::Down,
    Status::Left,
];

/// None: of another version, or torn.
fn account(body: &[u8]) -> Option<Account> {
    match body.split_first() {
        Some((&ACCOUNT_VERSION, rest)) => postcard::from_bytes(rest).ok(),
        _ => None,
    }
}

fn name(act: Act) -> &'static str {
    match act {
        Act::Lend => "lend",
        Act::SpendOwn => "spend-own",
        Act::Repay => "repay",
        Act::Promote => "promote",
        Act::Halt => "halt",
        Act::TrustRemoteFact => "trust-remote-fact",
    }
}

fn word(status: Status) -> &'static str {
    match status {
        Status::NeverHeard => "never-heard",
        Status::Alive => "alive",
        Status::Suspect => "suspect",
        Status::Down => "down",
        Status::Left => "left",
    }
}

fn roster(stated: &Stated) -> Roster {
    let member = |m: &configuration::model::Member| Member {
        name: m.name.clone(),
        address: m.address,
        region: m.region.clone(),
    };
    Roster {
        version: stated.version,
        members: stated.roster.iter().map(member).collect(),
    }
}

#[cfg(test)]
mod recorded;
#[cfg(test)]
mod unsealed;
