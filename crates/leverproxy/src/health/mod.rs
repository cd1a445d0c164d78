//! Serves balancers' health checks on listeners apart from those of clients.
//!
//! Checks must be answered while the proxy is overloaded or out of descriptors, and must not slow down clients. Therefore the
//! event loop handles their connections first, a few descriptors are reserved for them, the connections of each listener are
//! bounded, and slow connections are closed.

pub mod monitor;

mod answer;
mod grpc;

use crate::event_loop::listener::{self, AcceptError};
use crate::event_loop::reactor::{Interest, Reactor};
use crate::event_loop::slab::{Key, Slab};
use crate::event_loop::stream::{ReadStatus, Stream};
use crate::event_loop::token::Token;
use crate::observability::log_rate_limit::LogRateLimit;
use answer::BalancerViews;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::time::{Duration, Instant};
use wire_health::http::{self, Statuses};
use wire_health::{agent, Status};

/// The protocol of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HAProxy's agent check.
    Agent {
        /// Whether the balancer sends a line first.
        expects_text: bool,
        /// Whether answers contain the maximum number of clients (`maxconn`).
        maxconn: bool,
    },
    /// HTTP, with these status codes.
    Http(Statuses),
    /// The gRPC health checking protocol, served by a separate thread.
    Grpc,
}

/// Settings of a listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenerSettings {
    /// Name of the listener in the operators' file.
    pub name: String,
    /// Address of the listener.
    pub address: SocketAddr,
    /// Protocol of the checks.
    pub protocol: Protocol,
    /// Maximum concurrent connections.
    pub connections: usize,
    /// Time within which a check must be complete and its answer read.
    pub check_timeout: Duration,
    /// Time after which a connection without checks is closed.
    pub idle_timeout: Duration,
}

/// Descriptors reserved for checks when no other is left.
const RESERVED_DESCRIPTORS: usize = 4;
/// Unsent bytes of answers at which the proxy stops reading from a connection.
const MAX_UNSENT_BYTES: usize = 16 << 10;

struct Listener {
    fd: OwnedFd,
    address: SocketAddr,
    settings: ListenerSettings,
    connections: usize,
    accepting: bool,
}

struct CheckConnection {
    stream: Stream,
    listener: u16,
    since: Instant,
    /// Whether further input is discarded; the connection is closed once the peer has read its answer.
    closing: bool,
    /// Whether the sending direction has been shut down.
    output_ended: bool,
    answered: u64,
}

/// Counts of checks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Answered checks.
    pub checks: u64,
    /// Times that connections had to wait because their listener had reached its limit.
    pub refused: u64,
    /// Connections closed because they were slow.
    pub slow: u64,
    /// Malformed checks.
    pub faulty: u64,
    /// Reserved descriptors that were released to accept a connection.
    pub reserve: u64,
}

/// Answers health checks.
pub struct Health {
    grpc: grpc::Servers,
    listeners: Vec<Listener>,
    checks: Slab<CheckConnection>,
    reserve: Vec<OwnedFd>,
    descriptors_log: LogRateLimit,
    views: BalancerViews,
    /// Counts so far.
    pub counts: Counts,
}

impl Health {
    /// Opens the listeners. Fails if an address can't be bound.
    pub fn new(listeners: &[ListenerSettings], reactor: &Reactor) -> io::Result<Health> {
        let mut health = Health {
            grpc: grpc::Servers::default(),
            listeners: Vec::new(),
            checks: Slab::default(),
            reserve: Vec::new(),
            descriptors_log: LogRateLimit::default(),
            views: BalancerViews::default(),
            counts: Counts::default(),
        };
        let (grpc, others): (Vec<&ListenerSettings>, Vec<&ListenerSettings>) = listeners
            .iter()
            .partition(|settings| settings.protocol == Protocol::Grpc);
        for settings in grpc {
            health.grpc.start(settings)?;
        }
        for (at, settings) in (0..).zip(others) {
            let fd = listener::listen(settings.address)?;
            reactor.register(&fd, Token::HealthListener(at), Interest::READ)?;
            let address = listener::local_address(&fd).unwrap_or(settings.address);
            log::info!("health {}: answering checks on {address}", settings.name);
            health.listeners.push(Listener {
                fd,
                address,
                settings: settings.clone(),
                connections: 0,
                accepting: true,
            });
        }
        health.fill_reserve();
        Ok(health)
    }

    /// Addresses of all listeners.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.listeners
            .iter()
            .map(|l| l.address)
            .chain(self.grpc.addresses())
            .collect()
    }

    /// Publishes a status to the gRPC servers.
    pub fn publish(&mut self, status: &Status) {
        self.grpc.publish(status);
    }

    /// Number of open connections, without those of gRPC.
    pub fn connections(&self) -> usize {
        self.checks.len()
    }

    /// Reserves descriptors by duplicating one that is open; closing a duplicate frees a descriptor.
    fn fill_reserve(&mut self) {
        let Some(first) = self.listeners.first() else {
            return;
        };
        while self.reserve.len() < RESERVED_DESCRIPTORS {
            match rustix::io::fcntl_dupfd_cloexec(first.fd.as_fd(), 0) {
                Ok(fd) => self.reserve.push(fd),
                Err(_) => return,
            }
        }
    }

    /// Accepts pending connections of a listener, up to the limit of one event.
    pub fn accept(&mut self, at: u16, status: &Status, now: Instant, reactor: &Reactor) {
        let index = usize::from(at);
        for _ in 0..listener::MAX_ACCEPTS_PER_EVENT {
            let Some(listener) = self.listeners.get(index) else {
                return;
            };
            if listener.connections >= listener.settings.connections
                && !self.close_longest_idle(at, reactor)
            {
                // All connections are in use; accepting resumes once one is closed.
                self.counts.refused += 1;
                return self.pause(index, true, reactor);
            }
            let Some(listener) = self.listeners.get(index) else {
                return;
            };
            let stream = match listener::accept(&listener.fd) {
                Ok((stream, _)) => stream,
                Err(AcceptError::Empty) => return,
                Err(AcceptError::RetryLater) => return self.pause(index, true, reactor),
                Err(AcceptError::NoDescriptors) => {
                    if self.reserve.pop().is_none() {
                        self.descriptors_log.warn(now, || {
                            "health: no descriptor left, including those reserved for checks".into()
                        });
                        return self.pause(index, true, reactor);
                    }
                    self.counts.reserve += 1;
                    continue;
                }
            };
            if let Some(listener) = self.listeners.get_mut(index) {
                listener.connections += 1;
            }
            let check = CheckConnection {
                stream,
                listener: at,
                since: now,
                closing: false,
                output_ended: false,
                answered: 0,
            };
            let key = self.checks.insert(check);
            self.ready(key, status, now, reactor);
        }
    }

    /// Stops (`pause`) or resumes accepting connections of a listener.
    fn pause(&mut self, index: usize, pause: bool, reactor: &Reactor) {
        let Some(listener) = self
            .listeners
            .get_mut(index)
            .filter(|l| l.accepting == pause)
        else {
            return;
        };
        let interest = Interest {
            read: !pause,
            write: false,
        };
        let token = Token::HealthListener(index as u16);
        if let Ok(watched) = reactor.update(&listener.fd, token, interest, true) {
            listener.accepting = watched && !pause;
        }
    }

    /// Closes the connection that has been idle between checks the longest. Returns whether there was one.
    fn close_longest_idle(&mut self, at: u16, reactor: &Reactor) -> bool {
        let idle = |c: &CheckConnection| {
            c.listener == at && (c.answered > 0 || c.closing) && c.stream.input.is_empty()
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

    /// Handles a connection that is readable or writable.
    pub fn ready(&mut self, key: Key, status: &Status, now: Instant, reactor: &Reactor) {
        let Some(check) = self.checks.get_mut(key) else {
            return;
        };
        let Some(settings) = self
            .listeners
            .get(usize::from(check.listener))
            .map(|l| &l.settings)
        else {
            return;
        };
        if check.closing {
            if check.stream.discard_input().0 == ReadStatus::Ended {
                return self.close(key, reactor);
            }
        } else {
            let limit = match settings.protocol {
                Protocol::Agent { .. } => agent::TEXT_LIMIT,
                Protocol::Http(_) | Protocol::Grpc => http::HEAD_LIMIT,
            };
            let filled = check.stream.fill(limit);
            match settings.protocol {
                Protocol::Agent {
                    expects_text,
                    maxconn,
                } => {
                    let room = status.max_clients.filter(|_| maxconn);
                    let status = Status {
                        max_clients: room,
                        ..status.clone()
                    };
                    answer::answer_agent(check, expects_text, &status, &mut self.counts);
                }
                Protocol::Http(statuses) => {
                    answer::answer_http(
                        check,
                        statuses,
                        status,
                        now,
                        &mut self.counts,
                        &mut self.views,
                    );
                }
                // gRPC is served by a separate thread.
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
        if written && check.closing && !check.output_ended {
            // The balancer takes the line as complete at the end of the stream. Closing the connection with unread input could
            // reset it before the balancer has read the line.
            check.output_ended = true;
            check.stream.end_output();
        }
        let interest = Interest {
            read: check.stream.unsent() < MAX_UNSENT_BYTES,
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
        let index = usize::from(check.listener);
        drop(check);
        if let Some(listener) = self.listeners.get_mut(index) {
            listener.connections = listener.connections.saturating_sub(1);
        }
        self.fill_reserve();
        self.pause(index, false, reactor);
    }

    /// Closes slow and idle connections, and resumes listeners that had paused for lack of descriptors or connections.
    pub fn close_slow(&mut self, now: Instant, reactor: &Reactor) {
        for key in self.checks.keys() {
            let Some(check) = self.checks.get(key) else {
                continue;
            };
            let Some(settings) = self
                .listeners
                .get(usize::from(check.listener))
                .map(|l| &l.settings)
            else {
                continue;
            };
            let is_idle =
                check.answered > 0 && check.stream.input.is_empty() && check.stream.unsent() == 0;
            let allowed = if is_idle && !check.closing {
                settings.idle_timeout
            } else {
                settings.check_timeout
            };
            if now.saturating_duration_since(check.since) >= allowed {
                self.counts.slow += u64::from(!is_idle);
                self.close(key, reactor);
            }
        }
        self.fill_reserve();
        for index in 0..self.listeners.len() {
            self.pause(index, false, reactor);
        }
    }

    /// The counts as text, for the report of counters.
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
        for (node, view) in self.views.iter() {
            out.push_str(&format!("\nhealth: {node} reports {view}"));
        }
        out
    }
}
