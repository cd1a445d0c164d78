//! Connections to the record servers: a pool for each server, dials, and the exchanges on the connections.
//!
//! An exchange takes the most recently used idle connection, or is queued for the first connection that is established
//! or becomes free. This module does not retry: an exchange that cannot be completed is reported with its outcome, and
//! the decision module decides whether to retry the request.
//!
//! | module | concern |
//! | --- | --- |
//! | `exchange` | one request and its response |
//! | `connection` | the state of one connection |
//! | `pool` | the connections and the queue of one server |
//! | `queue` | assignment of exchanges to connections, expiry, cancellation |
//! | `dial` | dials, their limits, and the backoff while this machine lacks a resource |
//! | `transfer` | writing requests, reading responses, the end of a connection |
//! | `synchronize` | the way of a connection from a response back into its pool |
//! | `stalled` | responses that have begun and pause |
//! | `streaming` | large responses, which are forwarded in chunks |
//! | `timers` | deadlines of connections and queues |
//! | `events` | timers to set, and health signals about a server's machine |

mod connection;
mod dial;
mod events;
mod exchange;
mod pool;
mod queue;
mod stalled;
mod streaming;
mod synchronize;
mod timers;
mod transfer;

pub use events::{HealthSignal, UpstreamTimer};
pub use exchange::Exchange;
pub use stalled::StalledAttempt;

use crate::event_loop::memory::MemoryMeter;
use crate::event_loop::slab::{Key, Slab};
use crate::observability::log_rate_limit::LogRateLimit;
use crate::request::{Command, CompletedExchange, ResponseChunk};
use connection::Connection;
use pool::Pool;
use routing::{RequestId, ServerId};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// All connections to record servers, with their reports that the event loop has not taken yet.
pub struct Upstream {
    connections: Slab<Connection>,
    pools: BTreeMap<ServerId, Pool>,
    completed: VecDeque<CompletedExchange>,
    chunks: VecDeque<ResponseChunk>,
    signals: VecDeque<HealthSignal>,
    stalled_events: VecDeque<StalledAttempt>,
    /// Connections of the attempts that have stalled, by request.
    stalled: BTreeMap<RequestId, Vec<Key>>,
    /// Timers that the event loop has not set yet.
    timers: Vec<(Instant, UpstreamTimer)>,
    malformed_log: LogRateLimit,
    shortage_log: LogRateLimit,
    /// The memory that requests and their answers occupy in the whole process.
    memory: MemoryMeter,
    /// Takes the place of commands that are written in full, so that these occupy no memory for the rest of the exchange.
    written_command: Arc<Command>,
    connection_limit: usize,
    dial_timeout: Duration,
    idle_timeout: Duration,
    /// Number of dials since the start of the process.
    pub dials: u64,
    /// Number of attempts that were written in full since the start of the process.
    pub attempts: u64,
    /// Number of connections closed since the start of the process because their server sent bytes that no request had
    /// asked for.
    pub unrequested_responses: u64,
}

impl Upstream {
    /// Creates an instance without servers. `connection_limit`: maximum number of connections to all servers together.
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
            stalled_events: VecDeque::new(),
            stalled: BTreeMap::new(),
            timers: Vec::new(),
            malformed_log: LogRateLimit::default(),
            shortage_log: LogRateLimit::default(),
            memory: MemoryMeter::default(),
            written_command: Arc::default(),
            connection_limit,
            dial_timeout,
            idle_timeout,
            dials: 0,
            attempts: 0,
            unrequested_responses: 0,
        }
    }

    /// Sets the meter in which the buffers of connections in use count.
    pub fn set_memory_meter(&mut self, memory: MemoryMeter) {
        self.memory = memory;
    }

    /// The next completed exchange.
    pub fn pop_completed(&mut self) -> Option<CompletedExchange> {
        self.completed.pop_front()
    }

    /// The next chunk of a large response. All chunks have to be taken before [`Upstream::pop_completed`] is called,
    /// since it reports the end of the response.
    pub fn pop_chunk(&mut self) -> Option<ResponseChunk> {
        self.chunks.pop_front()
    }

    /// The next health signal.
    pub fn pop_signal(&mut self) -> Option<HealthSignal> {
        self.signals.pop_front()
    }

    /// The timers that the event loop has to set. Each is passed to [`Upstream::handle_timer`] when it is due.
    pub fn take_timers(&mut self) -> Vec<(Instant, UpstreamTimer)> {
        std::mem::take(&mut self.timers)
    }

    /// The number of connections, including dials in progress.
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
