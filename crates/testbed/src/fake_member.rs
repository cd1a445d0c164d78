//! A fleet member controlled by the testbed: it takes part under a proxy's name with any incarnation and publishes any facts.
//! Tests use it to observe how the other members react to a wrong clock or to false reports.

use crate::members::KEY_FILE;
use crate::process::{lock, Fault, EVENT_TIMEOUT};
use crate::Testbed;
use datagram_auth::{Keys, Opener, Sealer, MAX_DATAGRAM_BYTES, MEMBERSHIP_KIND};
use membership::{Action, Config, Core, Event, Fact, Member, QuorumState, Roster};
use std::net::UdpSocket;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Protocol period, the same as in [`crate::members::Members::default`].
const PERIOD: Duration = Duration::from_millis(100);
/// Maximum wait for a datagram before the timers are checked.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(10);

/// A fact to publish, as a proxy's subsystems do.
#[derive(Clone, Debug)]
pub struct PublishedFact {
    /// The fact's kind, as `membership` numbers them.
    pub kind: u8,
    /// The encoded fact.
    pub body: Vec<u8>,
    /// How long receivers keep it.
    pub lasts: Duration,
}

/// State received from the other members.
#[derive(Debug, Default)]
struct ReceivedState {
    whole: bool,
    facts: Vec<Fact>,
}

type Shared = Arc<(Mutex<ReceivedState>, Condvar)>;

/// Handle of a fake member, which runs until this is dropped.
pub struct FakeMember {
    commands: Option<Sender<PublishedFact>>,
    known: Shared,
    thread: Option<JoinHandle<()>>,
}

impl FakeMember {
    /// Publishes a fact under the proxy's name.
    pub fn publish(&self, kind: u8, body: Vec<u8>, lasts: Duration) {
        if let Some(commands) = &self.commands {
            // The thread receives commands until this handle is dropped.
            _ = commands.send(PublishedFact { kind, body, lasts });
        }
    }

    /// Waits until all other members are reachable.
    pub fn wait_until_complete(&self) -> Result<(), Fault> {
        self.until("the fake member reaches all other members", |known| {
            known.whole.then_some(())
        })
    }

    /// Waits for a fact of this kind from another member that `wanted` accepts, and returns its result.
    pub fn wait_for_fact<T>(
        &self,
        kind: u8,
        mut wanted: impl FnMut(&Fact) -> Option<T>,
    ) -> Result<T, Fault> {
        self.until(&format!("a matching fact of kind {kind}"), |known| {
            known
                .facts
                .iter()
                .filter(|fact| fact.kind == kind)
                .find_map(&mut wanted)
        })
    }

    /// The latest facts of this kind from the other members.
    pub fn facts(&self, kind: u8) -> Vec<Fact> {
        lock(&self.known.0)
            .facts
            .iter()
            .filter(|fact| fact.kind == kind)
            .cloned()
            .collect()
    }

    fn until<T>(
        &self,
        what: &str,
        mut is: impl FnMut(&ReceivedState) -> Option<T>,
    ) -> Result<T, Fault> {
        let end = Instant::now() + EVENT_TIMEOUT;
        let (known, changed) = &*self.known;
        let mut known = lock(known);
        loop {
            if let Some(found) = is(&known) {
                return Ok(found);
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(Fault::new(format!(
                    "the fake member timed out waiting for: {what}"
                )));
            }
            known = changed
                .wait_timeout(known, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

impl Drop for FakeMember {
    fn drop(&mut self) {
        self.commands = None;
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
    }
}

impl Testbed {
    /// Starts a fake member in place of a proxy without a process; it receives the proxy's datagrams until the proxy is
    /// killed or started. `start`: incarnation, in Unix milliseconds.
    pub fn fake_member(&self, proxy: usize, start: u64) -> Result<FakeMember, Fault> {
        let fault = |what: &str, why: &dyn std::fmt::Display| {
            Fault::new(format!("fake member for proxy {proxy}: {what}: {why}"))
        };
        let stated = self
            .setup
            .members
            .as_ref()
            .ok_or_else(|| Fault::new("the testbed has no members; set Setup::members"))?;
        let mut members = Vec::new();
        for member in (0..self.setup.clients.proxies).filter(|member| stated.includes(*member)) {
            // A member sends no datagrams to its own address.
            let address = match member == proxy {
                true => ([127, 0, 0, 1], 9).into(),
                false => self.datagram_link(proxy, member)?.address,
            };
            members.push(Member {
                name: name(member),
                address,
                region: self.region(member),
            });
        }
        let key_file = self.folder(proxy).join(KEY_FILE);
        let text =
            std::fs::read_to_string(key_file).map_err(|e| fault("key file of the proxy", &e))?;
        let keys = Keys::parse(&text).map_err(|e| fault("key file of the proxy", &e))?;
        let socket =
            UdpSocket::bind("127.0.0.1:0").map_err(|e| fault("socket of the member", &e))?;
        socket
            .set_read_timeout(Some(RECEIVE_TIMEOUT))
            .map_err(|e| fault("socket of the member", &e))?;
        let address = socket
            .local_addr()
            .map_err(|e| fault("socket of the member", &e))?;
        let names: Vec<String> = members.iter().map(|member| member.name.clone()).collect();
        let roster = Roster {
            version: stated.version,
            members,
        };
        let config = Config::with_period(&name(proxy), start, roster, PERIOD);
        let core = Core::new(config, self.setup.seed ^ start)
            .map_err(|e| fault("roster of the fleet", &e))?;
        let known = Shared::default();
        let (commands, wanted) = channel();
        let life = Runner {
            core,
            version: stated.version,
            sealer: Sealer::new(name(proxy), start, keys.clone()),
            opener: Opener::new(name(proxy), keys, names),
            socket,
            origin: Instant::now(),
            due: None,
            known: Arc::clone(&known),
        };
        let thread = thread::Builder::new()
            .name(format!("fake-member-{proxy}"))
            .spawn(move || life.live(&wanted));
        let thread = thread.map_err(|e| fault("thread of the member", &e))?;
        self.set_datagram_target(proxy, Some(address));
        Ok(FakeMember {
            commands: Some(commands),
            known,
            thread: Some(thread),
        })
    }
}

fn name(proxy: usize) -> String {
    format!("n{proxy}")
}

struct Runner {
    core: Core,
    version: u64,
    sealer: Sealer,
    opener: Opener,
    socket: UdpSocket,
    origin: Instant,
    due: Option<(Instant, u64)>,
    known: Shared,
}

impl Runner {
    fn live(mut self, wanted: &Receiver<PublishedFact>) {
        self.handle(Event::Start);
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            loop {
                use std::sync::mpsc::TryRecvError::{Disconnected, Empty};
                match wanted.try_recv() {
                    Ok(PublishedFact { kind, body, lasts }) => {
                        self.handle(Event::Publish {
                            kind,
                            key: Vec::new(),
                            body,
                            ttl: lasts,
                        });
                    }
                    Err(Empty) => break,
                    Err(Disconnected) => return,
                }
            }
            if let Ok((length, _)) = self.socket.recv_from(&mut bytes) {
                if let Ok(opened) = self.opener.open(&bytes[..length]) {
                    let (from, start) = (opened.from.to_owned(), opened.incarnation);
                    let payload = opened.payload.to_vec();
                    self.handle(Event::Datagram {
                        from: &from,
                        incarnation: start,
                        bytes: &payload,
                    });
                }
            }
            if let Some((_, token)) = self.due.take_if(|(due, _)| *due <= Instant::now()) {
                self.handle(Event::Timer(token));
            }
        }
    }

    fn handle(&mut self, event: Event<'_>) {
        let now = Instant::now();
        let mut actions = Vec::new();
        self.core.handle(
            now.saturating_duration_since(self.origin),
            event,
            &mut actions,
        );
        for action in actions {
            match action {
                Action::Send { address, bytes, .. } => {
                    let mut out = Vec::new();
                    if self
                        .sealer
                        .seal(MEMBERSHIP_KIND, self.version, &bytes, &mut out)
                        .is_ok()
                    {
                        // A failed send counts as a lost datagram.
                        _ = self.socket.send_to(&out, address);
                    }
                }
                Action::Timer { after, token } => self.due = Some((now + after, token)),
                Action::IncarnationRenewed(start) => self.sealer.set_incarnation(start),
                Action::QuorumStateChanged(state) => {
                    self.update(|known| known.whole = state == QuorumState::Complete)
                }
                Action::FactReceived(fact) => self.update(|known| {
                    known.facts.retain(|f| {
                        (&f.source, f.kind, &f.key) != (&fact.source, fact.kind, &fact.key)
                    });
                    known.facts.push(fact);
                }),
                Action::MemberChanged(..)
                | Action::PublishRejected(_)
                | Action::RosterRejected(_) => {}
            }
        }
    }

    fn update(&self, change: impl FnOnce(&mut ReceivedState)) {
        change(&mut lock(&self.known.0));
        self.known.1.notify_all();
    }
}
