//! Dials: their limits, their completion or failure, and the backoff while this machine lacks a resource.

use super::connection::{Connection, State};
use super::events::{HealthSignal, UpstreamTimer};
use super::exchange::Exchange;
use super::synchronize::SYNCHRONIZATION_GRACE;
use super::Upstream;
use crate::event_loop::reactor::{Interest, Reactor};
use crate::event_loop::slab::Key;
use crate::event_loop::stream::{DialError, Stream};
use crate::event_loop::system_calls::errors::lacks_descriptors;
use crate::event_loop::system_calls::RETRY_PAUSE;
use crate::event_loop::token::Token;
use crate::protocol::postgres::client::{self, ResponseReader};
use crate::request::{ExchangeOutcome, Purpose};
use routing::ServerId;
use rustix::io::Errno;
use std::net::SocketAddr;
use std::time::Instant;

/// Maximum number of dials in progress to one server. Further exchanges wait for one of these dials or for a connection
/// that becomes free.
const MAX_PARALLEL_DIALS: usize = 32;

impl Upstream {
    /// Dials until each queued exchange has a dial in progress or a connection that is about to become idle, within the
    /// limits.
    pub(super) fn dial_for_queue(&mut self, server: ServerId, now: Instant, reactor: &Reactor) {
        while let Some(pool) = self.pools.get(&server) {
            let address = pool.address;
            let undialled = pool.queue.len().saturating_sub(pool.dialling);
            let enough = undialled == 0 || pool.dialling >= MAX_PARALLEL_DIALS;
            if enough || pool.dial_backoff_until.is_some_and(|until| now < until) {
                return;
            }
            if undialled <= self.soon_synchronized(server, now) {
                let retry = now + SYNCHRONIZATION_GRACE;
                self.timers.push((retry, UpstreamTimer::Queue(server)));
                return;
            }
            if self.connections.len() >= self.connection_limit && !self.evict_idle() {
                // Queued exchanges wait for the next connection that becomes free, or expire.
                return;
            }
            match self.dial(server, address, now, reactor) {
                Ok(()) => {}
                Err(DialError::Failed(_)) => {
                    self.fail_first_queued(server, ExchangeOutcome::ConnectFailed, now)
                }
                Err(DialError::ResourceShortage(errno)) => {
                    return self.back_off_dials(server, errno, now)
                }
            }
        }
    }

    /// Pauses the dials to a server while this machine lacks a resource for them. Exchanges stay queued, and the
    /// shortage does not count as a failure of the server.
    fn back_off_dials(&mut self, server: ServerId, errno: Errno, now: Instant) {
        let Some(pool) = self.pools.get_mut(&server) else {
            return;
        };
        let until = now + RETRY_PAUSE;
        pool.dial_backoff_until = Some(until);
        // The time limit of a probe begins with its dial, and no client waits for the probe. If the probe were reported
        // as failed, its server would be put into backoff.
        let is_probe = |exchange: &&mut Exchange| exchange.purpose == Purpose::Probe;
        for probe in pool.queue.iter_mut().filter(is_probe) {
            probe.restart(now);
        }
        self.timers.push((until, UpstreamTimer::Queue(server)));
        if lacks_descriptors(errno) {
            self.evict_idle();
        }
    }

    fn dial(
        &mut self,
        server: ServerId,
        address: SocketAddr,
        now: Instant,
        reactor: &Reactor,
    ) -> Result<(), DialError> {
        let deadline = now + self.dial_timeout;
        let stream = self.open_stream(address, now)?;
        self.end_dial_backoff(server, deadline);
        log::trace!("dial {server:?}, {} open", self.connections.len());
        self.signals.push_back(HealthSignal::DialStarted(server));
        let key = self.connections.insert(Connection {
            stream,
            server,
            address,
            state: State::Connecting,
            deadline,
        });
        self.timers.push((deadline, UpstreamTimer::Connection(key)));
        if let Some(pool) = self.pools.get_mut(&server) {
            pool.dialling += 1;
        }
        self.watch_dial(key, now, reactor);
        Ok(())
    }

    fn open_stream(&mut self, address: SocketAddr, now: Instant) -> Result<Stream, DialError> {
        self.dials += 1;
        let dialled = Stream::dial(address);
        match &dialled {
            Ok(_) => {}
            Err(error @ DialError::Failed(_)) => {
                log::debug!("upstream: cannot dial {address}: {error}")
            }
            Err(error @ DialError::ResourceShortage(_)) => {
                self.shortage_log.warn(now, || {
                    format!(
                        "upstream: cannot dial {address}: {error}. The dial is retried until the exchange's deadline."
                    )
                });
            }
        }
        dialled
    }

    /// Ends the backoff: this machine has the resources again. Probes that were restarted need a timer of their own.
    fn end_dial_backoff(&mut self, server: ServerId, deadline: Instant) {
        let pool = self.pools.get_mut(&server);
        if pool.is_some_and(|pool| pool.dial_backoff_until.take().is_some()) {
            self.timers.push((deadline, UpstreamTimer::Queue(server)));
        }
    }

    fn watch_dial(&mut self, key: Key, now: Instant, reactor: &Reactor) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let token = Token::Upstream(key);
        let watched = connection.stream.watch(reactor, token, Interest::WRITE);
        if watched.is_err() {
            self.close(key, ExchangeOutcome::ConnectFailed, now);
        }
    }

    /// Finishes the dial of a connection that epoll reports as ready, and begins the handshake. Returns false if the
    /// connection is not established.
    pub(super) fn finish_dial(&mut self, key: Key, now: Instant, reactor: &Reactor) -> bool {
        let Some(connection) = self.connections.get_mut(key) else {
            return false;
        };
        let server = connection.server;
        match connection.stream.connected() {
            Ok(true) => {
                self.signals.push_back(HealthSignal::Responded(server));
                connection.stream.push(&client::startup());
                connection.state = State::Handshake(ResponseReader::greeting());
                return true;
            }
            Ok(false) => self.watch_dial(key, now, reactor),
            Err(DialError::ResourceShortage(errno)) => {
                log::debug!("upstream: dial failed because this machine lacks a resource: {errno}");
                self.connections.remove(key);
                self.end_dial(server);
                self.back_off_dials(server, errno, now);
            }
            Err(error) => {
                if machine_responded(&error) {
                    self.signals.push_back(HealthSignal::Responded(server));
                }
                log::debug!("upstream: dial failed: {error}");
                self.close(key, ExchangeOutcome::ConnectFailed, now);
            }
        }
        false
    }

    /// Removes a dial from the server's number of dials in progress.
    pub(super) fn end_dial(&mut self, server: ServerId) {
        if let Some(pool) = self.pools.get_mut(&server) {
            pool.dialling = pool.dialling.saturating_sub(1);
        }
    }

    /// Whether a server may be dialled merely to test whether its machine is reachable.
    pub fn may_probe_reachability(&self, server: ServerId) -> bool {
        let pool = self.pools.get(&server);
        pool.is_some_and(|pool| pool.dialling == 0)
            && self.connections.len() < self.connection_limit
    }

    /// Dials a server to test whether its machine is reachable. The dial is skipped if this machine lacks a resource;
    /// the next probe tries again.
    pub fn probe_reachability(&mut self, server: ServerId, now: Instant, reactor: &Reactor) {
        if let Some(address) = self.pools.get(&server).map(|pool| pool.address) {
            _ = self.dial(server, address, now, reactor);
        }
    }
}

/// Whether the error of a dial was a response of the remote machine.
fn machine_responded(error: &DialError) -> bool {
    matches!(
        error,
        DialError::Failed(Errno::CONNREFUSED | Errno::CONNRESET)
    )
}
