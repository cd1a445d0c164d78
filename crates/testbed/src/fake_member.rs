//! A member of the fleet that the testbed plays itself: it is heard under a proxy's name, by any start, and says what no proxy
//! would. So what a clock that is wrong, or a proxy that lies well, comes to is seen at the others.

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

/// As the members' own in [`crate::members::Members::default`].
const PERIOD: Duration = Duration::from_millis(100);
/// The longest that it waits for a datagram before it looks at its timers.
const LOOK: Duration = Duration::from_millis(10);

/// What it is to say, as a proxy's room would.
#[derive(Clone, Debug)]
pub struct PublishedFact {
    /// The fact's kind, as `membership` numbers them.
    pub kind: u8,
    /// The encoded fact.
    pub body: Vec<u8>,
    /// How long receivers keep it.
    pub lasts: Duration,
}

/// What it knows of the others.
#[derive(Debug, Default)]
struct Known {
    whole: bool,
    facts: Vec<Fact>,
}

type Shared = Arc<(Mutex<Known>, Condvar)>;

/// It is heard for as long as this lives.
pub struct FakeMember {
    commands: Option<Sender<PublishedFact>>,
    known: Shared,
    thread: Option<JoinHandle<()>>,
}

impl FakeMember {
    /// Publishes a fact under the proxy's name.
    pub fn say(&self, kind: u8, body: Vec<u8>, lasts: Duration) {
        if let Some(commands) = &self.commands {
            // It hears commands until it is let go.
            _ = commands.send(PublishedFact { kind, body, lasts });
        }
    }

    /// Until all others are heard, and so have answered it.
    pub fn wait_until_complete(&self) -> Result<(), Fault> {
        self.until("the fake member hears all", |known| {
            known.whole.then_some(())
        })
    }

    /// Until another has said something of that kind that is wanted; what that is.
    pub fn wait_for_fact<T>(
        &self,
        kind: u8,
        mut wanted: impl FnMut(&Fact) -> Option<T>,
    ) -> Result<T, Fault> {
        self.until(&format!("something of kind {kind}"), |known| {
            known
                .facts
                .iter()
                .filter(|fact| fact.kind == kind)
                .find_map(&mut wanted)
        })
    }

    /// What others have said last of that kind.
    pub fn facts(&self, kind: u8) -> Vec<Fact> {
        lock(&self.known.0)
            .facts
            .iter()
            .filter(|fact| fact.kind == kind)
            .cloned()
            .collect()
    }

    fn until<T>(&self, what: &str, mut is: impl FnMut(&Known) -> Option<T>) -> Result<T, Fault> {
        let end = Instant::now() + EVENT_TIMEOUT;
        let (known, changed) = &*self.known;
        let mut known = lock(known);
        loop {
            if let Some(found) = is(&known) {
                return Ok(found);
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(Fault::new(format!("not seen: {what}")));
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
    /// In the place of a proxy that has no process; what is for that goes to the fake member from now on, until the proxy is
    /// killed or started. `start`: in Unix milliseconds.
    pub fn fake_member(&self, proxy: usize, start: u64) -> Result<FakeMember, Fault> {
        let fault = |what: &str, why: &dyn std::fmt::Display| {
            Fault::new(format!("a fake member of {proxy}: {what}: {why}"))
        };
        let stated = self
            .setup
            .members
            .as_ref()
            .ok_or_else(|| Fault::new("the testbed has no members"))?;
        let mut members = Vec::new();
        for member in (0..self.setup.clients.proxies).filter(|member| stated.lists(*member)) {
            // Nothing is sent to its own place.
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
        let text = std::fs::read_to_string(key_file).map_err(|e| fault("its key file", &e))?;
        let keys = Keys::parse(&text).map_err(|e| fault("its key file", &e))?;
        let socket = UdpSocket::bind("127.0.0.1:0").map_err(|e| fault("its port", &e))?;
        socket
            .set_read_timeout(Some(LOOK))
            .map_err(|e| fault("its port", &e))?;
        let address = socket.local_addr().map_err(|e| fault("its port", &e))?;
        let names: Vec<String> = members.iter().map(|member| member.name.clone()).collect();
        let roster = Roster {
            version: stated.version,
            members,
        };
        let config = Config::with_period(&name(proxy), start, roster, PERIOD);
        let core =
            Core::new(config, self.setup.seed ^ start).map_err(|e| fault("its roster", &e))?;
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
        let thread = thread.map_err(|e| fault("its thread", &e))?;
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
                        // What can't be sent is lost, as on any wire.
                        _ = self.socket.send_to(&out, address);
                    }
                }
                Action::Timer { after, token } => self.due = Some((now + after, token)),
                Action::IncarnationRenewed(start) => self.sealer.set_incarnation(start),
                Action::QuorumStateChanged(state) => {
                    self.tell(|known| known.whole = state == QuorumState::Complete)
                }
                Action::FactReceived(fact) => self.tell(|known| {
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

    fn tell(&self, change: impl FnOnce(&mut Known)) {
        change(&mut lock(&self.known.0));
        self.known.1.notify_all();
    }
}
