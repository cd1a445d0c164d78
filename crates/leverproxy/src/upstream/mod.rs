//! Connections to the record servers: a pool for each server, dials, and the exchanges on the connections.
//!
//! An exchange takes the connection that was used last, or is queued for the first one that is established or becomes
//! free. Nothing is sent a second time from here: an exchange that cannot be completed is reported with its outcome, and
//! the decision module decides on a retry.
//!
//! | module | concern |
//! | --- | --- |
//! | `exchange` | one request and its response |
//! | `connection` | the state of one connection |
//! | `pool` | the connections and the queue of one server |
//! | `queue` | which connection an exchange gets, expiry, cancellation |
//! | `dial` | dials, their limits, and the pause after a failure of this machine |
//! | `transfer` | writing requests, reading responses, the end of a connection |
//! | `streaming` | large responses, which are passed on in chunks |
//! | `timers` | deadlines of connections and queues |
//! | `events` | timers to set, and what dials tell about a server's machine |

mod connection;
mod dial;
mod events;
mod exchange;
mod pool;
mod queue;
mod streaming;
mod timers;
mod transfer;

pub use events::{HealthSignal, UpstreamTimer};
pub use exchange::Exchange;

use crate::event_loop::slab::Slab;
use crate::observability::log_rate_limit::LogRateLimit;
use crate::request::{CompletedExchange, ResponseChunk};
use connection::Connection;
use pool::Pool;
use routing::ServerId;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// All connections to record servers, and what they have to report.
pub struct Upstream {
    connections: Slab<Connection>,
    pools: BTreeMap<ServerId, Pool>,
    completed: VecDeque<CompletedExchange>,
    chunks: VecDeque<ResponseChunk>,
    signals: VecDeque<HealthSignal>,
    /// Timers that the host has not set yet.
    timers: Vec<(Instant, UpstreamTimer)>,
    malformed_log: LogRateLimit,
    shortage_log: LogRateLimit,
    connection_limit: usize,
    dial_timeout: Duration,
    idle_timeout: Duration,
    /// Dials since the start.
    pub dials: u64,
    /// Attempts of requests that were written in full, since the start.
    pub attempts: u64,
}

impl Upstream {
    /// No servers yet. `connection_limit`: connections to all servers together.
    pub fn new(
        connection_limit: usize,
        dial_timeout: Duration,
        idle_timeout: Duration,
    ) -> Upstream {
        Upstream {
            connections: Slab::default(),
            pools: BTreeMap::new(),
            completed: VecDeque::new(),
            chunks: VecDeque::new(),
            signals: VecDeque::new(),
            timers: Vec::new(),
            malformed_log: LogRateLimit::default(),
            shortage_log: LogRateLimit::default(),
            connection_limit,
            dial_timeout,
            idle_timeout,
            dials: 0,
            attempts: 0,
        }
    }

    /// The next exchange that has ended.
    pub fn pop_completed(&mut self) -> Option<CompletedExchange> {
        self.completed.pop_front()
    }

    /// The next chunk of a large response. All chunks have to be taken before [`Upstream::pop_completed`], which reports
    /// the end of the response.
    pub fn pop_chunk(&mut self) -> Option<ResponseChunk> {
        self.chunks.pop_front()
    }

    /// The next health signal.
    pub fn pop_signal(&mut self) -> Option<HealthSignal> {
        self.signals.pop_front()
    }

    /// The timers that the host has to set; each goes to [`Upstream::handle_timer`] when it is due.
    pub fn take_timers(&mut self) -> Vec<(Instant, UpstreamTimer)> {
        std::mem::take(&mut self.timers)
    }

    /// The number of connections, dials under way included.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Sets the limit of connections. Connections above a lower limit stay until they end.
    pub fn set_connection_limit(&mut self, limit: usize) {
        self.connection_limit = limit;
    }

    /// Sets the timeouts of dials and idle connections from now on.
    pub fn set_timeouts(&mut self, dial_timeout: Duration, idle_timeout: Duration) {
        self.dial_timeout = dial_timeout;
        self.idle_timeout = idle_timeout;
    }
}
