//! The balancers' side: listeners for their checks, apart from those of clients.
//!
//! A check has to be answered while the proxy is overloaded or out of descriptors, and must not cost clients anything:
//! the loop looks at these connections first, a few descriptors are kept for them, each listener holds a bounded
//! number, and whoever is slow is put out.

pub mod monitor;

mod grpc;

use crate::event_loop::listener::{self, AcceptError};
use crate::event_loop::reactor::{Interest, Reactor};
use crate::event_loop::slab::{Key, Slab};
use crate::event_loop::stream::{ReadStatus, Stream};
use crate::event_loop::token::Token;
use crate::observability::log_rate_limit::LogRateLimit;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::time::{Duration, Instant};
use wire_health::http::{self, Statuses};
use wire_health::{agent, Status};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HAProxy's agent check; `expects_text`: the balancer sends a line first; `maxconn`: it is told how many clients
    /// the proxy takes.
    Agent {
        expects_text: bool,
        maxconn: bool,
    },
    Http(Statuses),
    /// gRPC's health checking, on a thread of its own.
    Grpc,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    pub name: String,
    pub address: SocketAddr,
    pub protocol: Protocol,
    /// Connections at once.
    pub connections: usize,
    /// A check has to come whole within this, and its answer to be taken.
    pub patience: Duration,
    /// A connection that is kept between checks ends after this.
    pub idle: Duration,
}

/// Descriptors kept for checks when no other is left.
const RESERVE: usize = 4;
/// Answers of one connection that its peer has not taken.
const UNSENT: usize = 16 << 10;

struct Listener {
    fd: OwnedFd,
    address: SocketAddr,
    set: Listen,
    open: usize,
    accepting: bool,
}

struct Check {
    stream: Stream,
    listener: u16,
    since: Instant,
    /// Nothing more is taken in; the connection ends once the peer has read its answer.
    ending: bool,
    /// Its output is ended.
    ended: bool,
    answered: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub checks: u64,
    pub refused: u64,
    pub slow: u64,
    pub faulty: u64,
    /// Checks that took a descriptor of the reserve.
    pub reserve: u64,
}

pub struct Health {
    grpc: grpc::Fronts,
    listeners: Vec<Listener>,
    checks: Slab<Check>,
    reserve: Vec<OwnedFd>,
    exhausted: LogRateLimit,
    /// What balancers last said of this server, by their names: a bounded number of them.
    views: BTreeMap<String, String>,
    pub counts: Counts,
}

/// Balancers whose views are kept.
const VIEWS: usize = 16;

impl Health {
    pub fn new(listeners: &[Listen], reactor: &Reactor) -> io::Result<Health> {
        let mut health = Health {
            grpc: grpc::Fronts::default(),
            listeners: Vec::new(),
            checks: Slab::default(),
            reserve: Vec::new(),
            exhausted: LogRateLimit::default(),
            views: BTreeMap::new(),
            counts: Counts::default(),
        };
        let (apart, here): (Vec<&Listen>, Vec<&Listen>) = listeners
            .iter()
            .partition(|set| set.protocol == Protocol::Grpc);
        for set in apart {
            health.grpc.start(set)?;
        }
        for (at, set) in (0..).zip(here) {
            let fd = listener::listen(set.address)?;
            reactor.register(&fd, Token::HealthListener(at), Interest::READ)?;
            let address = listener::local_address(&fd).unwrap_or(set.address);
            log::info!("health {}: answering checks on {address}", set.name);
            health.listeners.push(Listener {
                fd,
                address,
                set: set.clone(),
                open: 0,
                accepting: true,
            });
        }
        health.fill_reserve();
        Ok(health)
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.listeners
            .iter()
            .map(|l| l.address)
            .chain(self.grpc.addresses())
            .collect()
    }

    /// Tells those that watch, where anything has changed.
    pub fn publish(&mut self, status: &Status) {
        self.grpc.publish(status);
    }

    pub fn connections(&self) -> usize {
        self.checks.len()
    }

    /// Copies of a descriptor that is there anyway: what counts is that they can be closed.
    fn fill_reserve(&mut self) {
        let Some(first) = self.listeners.first() else {
            return;
        };
        while self.reserve.len() < RESERVE {
            match rustix::io::fcntl_dupfd_cloexec(first.fd.as_fd(), 0) {
                Ok(fd) => self.reserve.push(fd),
                Err(_) => return,
            }
        }
    }

    pub fn accept(&mut self, at: u16, status: &Status, now: Instant, reactor: &Reactor) {
        let place = usize::from(at);
        loop {
            let Some(listener) = self.listeners.get(place) else {
                return;
            };
            if listener.open >= listener.set.connections && !self.put_out_idlest(at, reactor) {
                // All are at a check; the next to end makes place.
                self.counts.refused += 1;
                return self.pause(place, true, reactor);
            }
            let Some(listener) = self.listeners.get(place) else {
                return;
            };
            let stream = match listener::accept(&listener.fd) {
                Ok((stream, _)) => stream,
                Err(AcceptError::Empty) => return,
                Err(AcceptError::RetryLater) => return self.pause(place, true, reactor),
                Err(AcceptError::NoDescriptors) => {
                    if self.reserve.pop().is_none() {
                        self.exhausted.warn(now, || {
                            "health: no descriptor left, nor one kept for checks".into()
                        });
                        return self.pause(place, true, reactor);
                    }
                    self.counts.reserve += 1;
                    continue;
                }
            };
            if let Some(listener) = self.listeners.get_mut(place) {
                listener.open += 1;
            }
            let check = Check {
                stream,
                listener: at,
                since: now,
                ending: false,
                ended: false,
                answered: 0,
            };
            let key = self.checks.insert(check);
            self.ready(key, status, now, reactor);
        }
    }

    fn pause(&mut self, place: usize, pause: bool, reactor: &Reactor) {
        let Some(listener) = self
            .listeners
            .get_mut(place)
            .filter(|l| l.accepting == pause)
        else {
            return;
        };
        let interest = Interest {
            read: !pause,
            write: false,
        };
        let token = Token::HealthListener(place as u16);
        if let Ok(watched) = reactor.update(&listener.fd, token, interest, true) {
            listener.accepting = watched && !pause;
        }
    }

    /// Of the connections that wait between checks, the one that does so the longest gives way.
    fn put_out_idlest(&mut self, at: u16, reactor: &Reactor) -> bool {
        let idle = |c: &Check| {
            c.listener == at && (c.answered > 0 || c.ending) && c.stream.input.is_empty()
        };
        let found = self
            .checks
            .iter()
            .filter(|(_, c)| idle(c))
            .min_by_key(|(_, c)| c.since)
            .map(|(key, _)| key);
        found.is_some_and(|key| {
            self.close(key, reactor);
            true
        })
    }

    pub fn ready(&mut self, key: Key, status: &Status, now: Instant, reactor: &Reactor) {
        let Some(check) = self.checks.get_mut(key) else {
            return;
        };
        let Some(set) = self
            .listeners
            .get(usize::from(check.listener))
            .map(|l| &l.set)
        else {
            return;
        };
        if check.ending {
            if check.stream.discard_input().0 == ReadStatus::Ended {
                return self.close(key, reactor);
            }
        } else {
            let limit = match set.protocol {
                Protocol::Agent { .. } => agent::TEXT_LIMIT,
                Protocol::Http(_) | Protocol::Grpc => http::HEAD_LIMIT,
            };
            let filled = check.stream.fill(limit);
            match set.protocol {
                Protocol::Agent {
                    expects_text,
                    maxconn,
                } => {
                    let room = status.room.filter(|_| maxconn);
                    let status = Status {
                        room,
                        ..status.clone()
                    };
                    answer_agent(check, expects_text, &status, &mut self.counts);
                }
                Protocol::Http(statuses) => {
                    answer_http(
                        check,
                        statuses,
                        status,
                        now,
                        &mut self.counts,
                        &mut self.views,
                    );
                }
                // Never among the loop's own listeners.
                Protocol::Grpc => {}
            }
            if filled == ReadStatus::Ended && check.stream.unsent() == 0 {
                return self.close(key, reactor);
            }
        }
        self.write(key, reactor);
    }

    fn write(&mut self, key: Key, reactor: &Reactor) {
        let Some(check) = self.checks.get_mut(key) else {
            return;
        };
        let Ok(written) = check.stream.flush() else {
            return self.close(key, reactor);
        };
        if written && check.ending && !check.ended {
            // The line is whole for the balancer once it sees the end; closed at once with bytes unread, it might
            // see a reset in place of the line.
            check.ended = true;
            check.stream.end_output();
        }
        let interest = Interest {
            read: check.stream.unsent() < UNSENT,
            write: !written,
        };
        if check
            .stream
            .watch(reactor, Token::Health(key), interest)
            .is_err()
        {
            self.close(key, reactor);
        }
    }

    fn close(&mut self, key: Key, reactor: &Reactor) {
        let Some(check) = self.checks.remove(key) else {
            return;
        };
        let place = usize::from(check.listener);
        drop(check);
        if let Some(listener) = self.listeners.get_mut(place) {
            listener.open = listener.open.saturating_sub(1);
        }
        self.fill_reserve();
        self.pause(place, false, reactor);
    }

    /// Puts out whoever is slow; listeners that found no descriptor are looked at again.
    pub fn look_over(&mut self, now: Instant, reactor: &Reactor) {
        for key in self.checks.keys() {
            let Some(check) = self.checks.get(key) else {
                continue;
            };
            let Some(set) = self
                .listeners
                .get(usize::from(check.listener))
                .map(|l| &l.set)
            else {
                continue;
            };
            let between =
                check.answered > 0 && check.stream.input.is_empty() && check.stream.unsent() == 0;
            let allowed = if between && !check.ending {
                set.idle
            } else {
                set.patience
            };
            if now.saturating_duration_since(check.since) >= allowed {
                self.counts.slow += u64::from(!between);
                self.close(key, reactor);
            }
        }
        self.fill_reserve();
        for place in 0..self.listeners.len() {
            self.pause(place, false, reactor);
        }
    }

    /// Lines of the report.
    pub fn lines(&self) -> String {
        if self.listeners.is_empty() {
            return String::new();
        }
        let Counts {
            checks,
            refused,
            slow,
            faulty,
            reserve,
        } = self.counts;
        let mut out = format!(
            "\nhealth: checks {checks}, connections {}; refused {refused}, slow {slow}, faulty {faulty}; of the reserve {reserve}",
            self.checks.len(),
        );
        for (node, view) in &self.views {
            out.push_str(&format!("\nhealth: {node} says {view}"));
        }
        out
    }
}

fn answer_agent(check: &mut Check, expects_text: bool, status: &Status, counts: &mut Counts) {
    let asked = agent::asked(check.stream.input.unused());
    // A balancer that never ends its line is answered all the same.
    let enough = !expects_text || asked.is_some() || check.stream.input.len() >= agent::TEXT_LIMIT;
    if check.ending || !enough {
        return;
    }
    counts.checks += 1;
    check.answered += 1;
    let line = match asked {
        Some(agent::Asked::Group(group)) => agent::line(&of_group(status, group)),
        _ => agent::line(status),
    };
    check.stream.push(line.as_bytes());
    check.ending = true;
}

/// The status of one group: of no weight where it does not answer, since the others' traffic goes elsewhere.
fn of_group(status: &Status, group: u32) -> Status {
    let dead = status
        .groups
        .iter()
        .find(|g| g.group == group)
        .is_some_and(|g| !g.serves);
    if dead && status.state.serves() {
        let weight = 1;
        let state = wire_health::State::Degraded(100);
        return Status {
            state,
            weight,
            reason: format!("group {group} does not answer"),
            ..status.clone()
        };
    }
    status.clone()
}

fn answer_http(
    check: &mut Check,
    statuses: Statuses,
    status: &Status,
    now: Instant,
    counts: &mut Counts,
    views: &mut BTreeMap<String, String>,
) {
    while !check.ending && check.stream.unsent() < UNSENT {
        match http::parse(check.stream.input.unused()) {
            Ok(None) => return,
            Ok(Some((asked, used))) => {
                check.stream.input.consume(used);
                counts.checks += 1;
                check.answered += 1;
                check.since = now;
                check.stream.push(&http::answer(&asked, status, statuses));
                check.ending = !asked.keep;
                if let Some(view) = asked.server_state {
                    let node = view.node.unwrap_or_else(|| "a balancer".into());
                    if views.len() < VIEWS || views.contains_key(&node) {
                        views.insert(node, view.state);
                    }
                }
            }
            Err(fault) => {
                counts.faulty += 1;
                check.stream.push(&http::fault(fault));
                check.ending = true;
            }
        }
    }
}
