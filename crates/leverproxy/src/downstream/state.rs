//! The `Downstream` type, its settings and counters.

use super::cancel_keys::CancelKeys;
use super::client::Client;
use super::event::Event;
use crate::config::{ClientLimits, Limits};
use crate::event_loop::listener;
use crate::event_loop::memory::MemoryMeter;
use crate::event_loop::reactor::{Interest, Reactor};
use crate::event_loop::slab::{Key, Slab};
use crate::event_loop::token::Token;
use crate::observability::log_rate_limit::LogRateLimit;
use ipnet::IpNet;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::time::Instant;

/// All clients. Events that a call causes are queued for [`Downstream::next_event`].
pub struct Downstream {
    pub(super) listener: Option<OwnedFd>,
    /// Whether the listener is watched. It is not watched at the limit of clients, without descriptors, or once a new
    /// process accepts.
    pub(super) is_accepting: bool,
    pub(super) limits: Limits,
    pub(super) timeouts: ClientLimits,
    pub(super) clients: Slab<Client>,
    pub(super) events: VecDeque<Event>,
    pub(super) malformed_log: LogRateLimit,
    pub(super) descriptors_log: LogRateLimit,
    /// Number of connections that the proxy ended: malformed input, no request in time, above the limit of clients, or
    /// no memory.
    pub rejected_clients: u64,
    /// Number of statements that were answered with an error because they are not requests.
    pub malformed_statements: u64,
    /// The address to listen on, also to listen again after a drain.
    pub(super) address: SocketAddr,
    /// Whether other processes may listen on the address too.
    pub(super) is_address_shared: bool,
    /// Whether a new process accepts from the same backlog. This process keeps the listener in case the new process
    /// fails.
    pub(super) new_process_accepts: bool,
    /// Networks of balancers whose connections are health checks only.
    pub(super) balancer_networks: Vec<IpNet>,
    /// Networks whose connections begin with a PROXY protocol header.
    pub(super) proxy_header_networks: Vec<IpNet>,
    /// Number of connections that are balancers' health checks.
    pub(super) balancer_connections: usize,
    /// Whether the process drains: each client's connection is closed once no response is pending on it.
    pub(super) is_draining: bool,
    pub(super) cancel_keys: CancelKeys,
    /// The memory that requests and their answers occupy in the whole process.
    pub(super) memory: MemoryMeter,
    /// The memory that is reserved for large commands that have not arrived in full.
    pub(super) large_commands: MemoryMeter,
    /// The commands that wait for a response. Each counts in `memory` too, for as long as the pipeline holds it.
    pub(super) open_commands: MemoryMeter,
    /// The number of responses that clients wait for.
    pub(super) pending_responses: MemoryMeter,
    /// Clients that are not read for lack of memory, those that have waited longest first.
    pub(super) held_back: VecDeque<Key>,
}

impl Downstream {
    /// Listens with the old process's listener if it was inherited, otherwise on `address`. `shared`: other processes
    /// may listen on the address too.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub fn listen(
        address: SocketAddr,
        inherited: Option<OwnedFd>,
        shared: bool,
        limits: Limits,
        timeouts: ClientLimits,
        reactor: &Reactor,
    ) -> io::Result<Downstream> {
        let listener = match inherited {
            Some(listener) => listener,
            None => listener::listen_shared(address, shared)?,
        };
        reactor.register(&listener, Token::Listener, Interest::READ)?;
        let address = listener::local_address(&listener).unwrap_or(address);
        Ok(Downstream {
            listener: Some(listener),
            is_accepting: true,
            limits,
            timeouts,
            clients: Slab::default(),
            events: VecDeque::new(),
            malformed_log: LogRateLimit::default(),
            descriptors_log: LogRateLimit::default(),
            rejected_clients: 0,
            malformed_statements: 0,
            address,
            is_address_shared: shared,
            new_process_accepts: false,
            balancer_networks: Vec::new(),
            proxy_header_networks: Vec::new(),
            balancer_connections: 0,
            is_draining: false,
            cancel_keys: CancelKeys::default(),
            memory: MemoryMeter::default(),
            large_commands: MemoryMeter::default(),
            open_commands: MemoryMeter::default(),
            pending_responses: MemoryMeter::default(),
            held_back: VecDeque::new(),
        })
    }

    /// Listens again, after [`Downstream::start_draining`].
    ///
    /// # Errors
    /// The address can't be listened on. The error is logged here; the caller retries later.
    pub fn listen_again(&mut self, now: Instant, reactor: &Reactor) -> io::Result<()> {
        self.is_draining = false;
        if self.listener.is_some() {
            return Ok(());
        }
        let added =
            listener::listen_shared(self.address, self.is_address_shared).and_then(|listener| {
                reactor
                    .register(&listener, Token::Listener, Interest::READ)
                    .map(|()| listener)
            });
        if let Err(error) = &added {
            let address = self.address;
            self.descriptors_log.warn(now, || {
                format!("front: cannot listen for clients on {address}: {error}. Listening is retried; check which process uses the address.")
            });
        }
        (self.listener, self.is_accepting) = (Some(added?), true);
        Ok(())
    }

    /// The next event for the pipeline.
    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// The address that clients connect to; `None` while there is no listener.
    pub fn local_address(&self) -> Option<SocketAddr> {
        listener::local_address(self.listener.as_ref()?)
    }

    /// The listener; `None` while the process drains.
    pub fn listener(&self) -> Option<&OwnedFd> {
        self.listener.as_ref()
    }

    /// Whether the listener is missing although the process does not drain: [`Downstream::listen_again`] has failed.
    pub fn is_listener_missing(&self) -> bool {
        self.listener.is_none() && !self.is_draining
    }

    /// Number of connections, including balancers' health checks.
    pub fn client_count(&self) -> usize {
        self.clients.len()
    }

    /// Number of bytes of responses that the clients' sockets have not accepted.
    pub fn unsent_bytes(&self) -> usize {
        let clients = self.clients.iter();
        clients.map(|(_, client)| client.stream.unsent()).sum()
    }

    /// Sets the networks of balancers that make health checks only, and of balancers whose connections begin with a
    /// PROXY protocol header. Open connections are not affected.
    pub fn set_balancers(&mut self, checks: Vec<IpNet>, proxy_headers: Vec<IpNet>) {
        self.balancer_networks = checks;
        self.proxy_header_networks = proxy_headers;
    }

    /// Sets limits and timeouts. Clients above a lowered limit stay until they leave or are evicted.
    pub fn set_limits(&mut self, limits: Limits, timeouts: ClientLimits) {
        (self.limits, self.timeouts) = (limits, timeouts);
    }
}
