//! The record servers' side: pools of connections, dials, and the exchanges on them.
//!
//! An exchange takes the connection that was used last, or waits for the first that is dialled or comes free.
//! Nothing is ever sent a second time from here: what can't be finished is reported, and the module decides.

use crate::event_loop::connection::{DialError, Filled, Stream};
use crate::event_loop::reactor::{later, Interest, Key, Reactor, Slots, Token};
use crate::event_loop::system_calls::{lacks_descriptors, RETRY_PAUSE};
use crate::observability::log_rate_limit::LogRateLimit;
use crate::protocol::postgres::client::{self, AnswerReader};
use crate::request::{CompletedExchange, ExchangeOutcome, Purpose, Question, ResponseChunk};
use routing::{ClassId, GroupId, RequestId, ResponseMetadata, ServerId};
use rustix::io::Errno;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Dials under way to one server; further exchanges wait for these or for a connection to come free.
const DIALS_AT_ONCE: usize = 32;

/// An answer that has begun goes on within this; half of one is none, however long it is waited for. Well under the
/// aims, so that another attempt can still meet them; record servers write an answer in one go.
const ANSWER_STALL: Duration = Duration::from_millis(40);

/// A statement that is longer than the socket takes at once is written within this. The time that it tells its server is
/// reckoned when the first byte is written.
const WRITE_STALL: Duration = Duration::from_millis(100);

/// An answer that passes on in pieces goes on within this. Its server may be slow, and what has begun can't be had
/// elsewhere; a machine that has fallen silent must not keep its client for good.
const PIECE_STALL: Duration = Duration::from_secs(5);
/// Bytes taken in at once of such an answer: other connections get their turn.
const PIECE: usize = 16 << 10;

/// One exchange: bytes out, one answer back.
#[derive(Debug)]
pub struct Exchange {
    pub purpose: Purpose,
    /// Of the request that it is for; a probe has none.
    pub class: Option<ClassId>,
    pub group: Option<GroupId>,
    pub question: Question,
    pub sent: Instant,
    /// Nobody waits for it after this.
    pub until: Instant,
    /// It is dropped unsent if its last byte is not written by then.
    pub begin_by: Instant,
}

impl Exchange {
    /// The latest that it waits for a connection.
    fn waits_until(&self, dial_timeout: Duration) -> Instant {
        self.until.min(self.begin_by).min(self.sent + dial_timeout)
    }
}

/// What to look after when a timer is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    Connection(Key),
    Queue(ServerId),
}

/// What dials tell of a server's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    Dials(ServerId),
    /// It has said something: a connection is up, or was refused.
    Word(ServerId),
}

pub struct Upstream {
    connections: Slots<Connection>,
    pools: BTreeMap<ServerId, Pool>,
    done: VecDeque<CompletedExchange>,
    pieces: VecDeque<ResponseChunk>,
    signs: VecDeque<Sign>,
    /// Timers asked for.
    due: Vec<(Instant, Due)>,
    misunderstood: LogRateLimit,
    shortages: LogRateLimit,
    limit: usize,
    dial_timeout: Duration,
    idle_limit: Duration,
    pub dials: u64,
    /// Of requests, whose last byte is written.
    pub attempts: u64,
}

struct Pool {
    address: SocketAddr,
    /// The most recently used last.
    idle: Vec<Key>,
    waiting: VecDeque<Exchange>,
    dialling: usize,
    /// This machine lacked something for the last dial: until then none is tried.
    short_until: Option<Instant>,
}

struct Connection {
    stream: Stream,
    server: ServerId,
    address: SocketAddr,
    state: State,
    /// When the present state has lasted too long.
    until: Instant,
}

enum State {
    Connecting,
    /// Up; the server's welcome has not come in full.
    Greeting(AnswerReader),
    Idle,
    Busy {
        exchange: Exchange,
        reader: AnswerReader,
        /// Its last byte is with the system: from here on it may have run.
        written: bool,
        /// Some of its answer has come.
        begun: bool,
        passing: Passing,
    },
}

/// Whether an answer passes on in pieces.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Passing {
    No,
    Flows,
    /// The client has enough; nothing is read.
    HeldBack,
}

impl Upstream {
    pub fn new(limit: usize, dial_timeout: Duration, idle_limit: Duration) -> Upstream {
        Upstream {
            connections: Slots::default(),
            pools: BTreeMap::new(),
            done: VecDeque::new(),
            pieces: VecDeque::new(),
            signs: VecDeque::new(),
            due: Vec::new(),
            misunderstood: LogRateLimit::default(),
            shortages: LogRateLimit::default(),
            limit,
            dial_timeout,
            idle_limit,
            dials: 0,
            attempts: 0,
        }
    }

    pub fn pop(&mut self) -> Option<CompletedExchange> {
        self.done.pop_front()
    }

    /// A part of an answer; [`Upstream::pop`] tells of its end when no more of these is there.
    pub fn piece(&mut self) -> Option<ResponseChunk> {
        self.pieces.pop_front()
    }

    pub fn sign(&mut self) -> Option<Sign> {
        self.signs.pop_front()
    }

    pub fn take_due(&mut self) -> Vec<(Instant, Due)> {
        std::mem::take(&mut self.due)
    }

    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Connections above a lower limit stay until they end.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Of dials and idle connections from now on.
    pub fn set_times(&mut self, dial_timeout: Duration, idle_limit: Duration) {
        (self.dial_timeout, self.idle_limit) = (dial_timeout, idle_limit);
    }

    /// The server is there and takes requests.
    pub fn serves(&mut self, server: ServerId, address: SocketAddr) {
        let pool = self.pools.entry(server).or_insert_with(|| Pool {
            address,
            idle: Vec::new(),
            waiting: VecDeque::new(),
            dialling: 0,
            short_until: None,
        });
        if pool.address != address {
            pool.address = address;
            for key in std::mem::take(&mut pool.idle) {
                self.connections.remove(key);
            }
        }
    }

    /// The server drains or is gone: nothing new may reach it, so what is not written yet is called off. What
    /// is written goes on.
    pub fn leaves(&mut self, server: ServerId, now: Instant) {
        let Some(mut pool) = self.pools.remove(&server) else {
            return;
        };
        for exchange in pool.waiting.drain(..) {
            self.finish(
                exchange,
                server,
                ExchangeOutcome::NotSent,
                ResponseMetadata::default(),
                now,
            );
        }
        for key in self.connections.keys() {
            let Some(connection) = self.connections.get(key).filter(|c| c.server == server) else {
                continue;
            };
            let written = matches!(connection.state, State::Busy { written: true, .. });
            if !written {
                self.close(key, ExchangeOutcome::NotSent, now);
            }
        }
    }

    pub fn start(&mut self, server: ServerId, exchange: Exchange, now: Instant, reactor: &Reactor) {
        let Some(pool) = self.pools.get_mut(&server) else {
            return self.finish(
                exchange,
                server,
                ExchangeOutcome::NotSent,
                ResponseMetadata::default(),
                now,
            );
        };
        let queue_until = exchange.waits_until(self.dial_timeout);
        pool.waiting.push_back(exchange);
        self.serve_queue(server, now, reactor);
        if self
            .pools
            .get(&server)
            .is_some_and(|pool| !pool.waiting.is_empty())
        {
            self.due.push((queue_until, Due::Queue(server)));
        }
    }

    /// Gives waiting exchanges the idle connections, and dials for the rest.
    fn serve_queue(&mut self, server: ServerId, now: Instant, reactor: &Reactor) {
        self.drop_late(server, now);
        while let Some(pool) = self
            .pools
            .get_mut(&server)
            .filter(|p| !p.waiting.is_empty())
        {
            let Some(key) = pool.idle.pop() else { break };
            // Its end may have come unnoticed: a request written then would count as one that may have run.
            let Some(connection) = self.connections.get_mut(key) else {
                continue;
            };
            if connection.stream.fill(1) == Filled::Ended || !connection.stream.input.is_empty() {
                self.connections.remove(key);
                continue;
            }
            let Some(exchange) = pool.waiting.pop_front() else {
                break;
            };
            self.give(key, exchange, now, reactor);
        }
        self.dial_for_queue(server, now, reactor);
    }

    /// Ends what has waited too long for a connection. A dial that comes up after that must not carry it.
    fn drop_late(&mut self, server: ServerId, now: Instant) {
        let Some(pool) = self.pools.get_mut(&server) else {
            return;
        };
        let (dial_timeout, short) = (self.dial_timeout, pool.short_until.is_some());
        let late = |exchange: &Exchange| exchange.waits_until(dial_timeout) <= now;
        let (late, left): (VecDeque<_>, VecDeque<_>) = pool.waiting.drain(..).partition(late);
        pool.waiting = left;
        for exchange in late {
            // A server that was never dialled, or had no time for it, is not taken for dead.
            let own_time = exchange.until.min(exchange.sent + dial_timeout);
            let verdict = if short || now < own_time {
                ExchangeOutcome::NotSent
            } else {
                ExchangeOutcome::ConnectFailed
            };
            self.finish(exchange, server, verdict, ResponseMetadata::default(), now);
        }
    }

    fn dial_for_queue(&mut self, server: ServerId, now: Instant, reactor: &Reactor) {
        while let Some(pool) = self.pools.get_mut(&server) {
            let enough = pool.waiting.len() <= pool.dialling || pool.dialling >= DIALS_AT_ONCE;
            if enough || pool.short_until.is_some_and(|until| now < until) {
                return;
            }
            let address = pool.address;
            if self.connections.len() >= self.limit && !self.evict() {
                // What waits gets the next connection that comes free, or runs out of time.
                return;
            }
            match self.dial(server, address, now, reactor) {
                Ok(()) => {}
                Err(DialError::Failed(_)) => {
                    self.fail_first_waiting(server, ExchangeOutcome::ConnectFailed, now)
                }
                Err(DialError::Short(errno)) => return self.dial_later(server, errno, now),
            }
        }
    }

    /// What waits stays where it is while this machine lacks something for a dial. The server is not to blame.
    fn dial_later(&mut self, server: ServerId, errno: Errno, now: Instant) {
        let Some(pool) = self.pools.get_mut(&server) else {
            return;
        };
        let until = now + RETRY_PAUSE;
        pool.short_until = Some(until);
        // A probe has no client whose time runs, and its time begins with the dial: told as failed it would have its
        // server rest.
        for probe in pool
            .waiting
            .iter_mut()
            .filter(|exchange| exchange.purpose == Purpose::Probe)
        {
            let allowed = probe.until.saturating_duration_since(probe.sent);
            (probe.sent, probe.until, probe.begin_by) = (now, now + allowed, now + allowed);
        }
        self.due.push((until, Due::Queue(server)));
        if lacks_descriptors(errno) {
            self.evict();
        }
    }

    fn begin_dial(&mut self, address: SocketAddr, now: Instant) -> Result<Stream, DialError> {
        self.dials += 1;
        let dialled = Stream::dial(address);
        match &dialled {
            Ok(_) => {}
            Err(error @ DialError::Failed(_)) => {
                log::debug!("upstream: cannot dial {address}: {error}")
            }
            Err(error @ DialError::Short(_)) => {
                self.shortages.warn(now, || {
                    format!(
                        "upstream: cannot dial {address}: {error}. It is tried again until its time is over."
                    )
                });
            }
        }
        dialled
    }

    fn dial(
        &mut self,
        server: ServerId,
        address: SocketAddr,
        now: Instant,
        reactor: &Reactor,
    ) -> Result<(), DialError> {
        let until = now + self.dial_timeout;
        let stream = self.begin_dial(address, now)?;
        if self
            .pools
            .get_mut(&server)
            .is_some_and(|pool| pool.short_until.take().is_some())
        {
            // A probe whose time began anew.
            self.due.push((until, Due::Queue(server)));
        }
        log::trace!("dial {server:?}, {} open", self.connections.len());
        self.signs.push_back(Sign::Dials(server));
        let connection = Connection {
            stream,
            server,
            address,
            state: State::Connecting,
            until,
        };
        let key = self.connections.insert(connection);
        self.due.push((until, Due::Connection(key)));
        if let Some(pool) = self.pools.get_mut(&server) {
            pool.dialling += 1;
        }
        self.watch_dial(key, now, reactor);
        Ok(())
    }

    fn watch_dial(&mut self, key: Key, now: Instant, reactor: &Reactor) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if connection
            .stream
            .watch(reactor, Token::Upstream(key), Interest::WRITE)
            .is_err()
        {
            self.close(key, ExchangeOutcome::ConnectFailed, now);
        }
    }

    /// Whether a server may be dialled for nothing but to see whether its machine is there.
    pub fn may_knock(&self, server: ServerId) -> bool {
        self.pools
            .get(&server)
            .is_some_and(|pool| pool.dialling == 0)
            && self.connections.len() < self.limit
    }

    pub fn knock(&mut self, server: ServerId, now: Instant, reactor: &Reactor) {
        if let Some(address) = self.pools.get(&server).map(|pool| pool.address) {
            // Another look is as good when this machine lacks something for it.
            _ = self.dial(server, address, now, reactor);
        }
    }

    /// Closes the idle connection whose turn to end comes first; false: there is none.
    fn evict(&mut self) -> bool {
        let idle = self
            .connections
            .iter()
            .filter(|(_, c)| matches!(c.state, State::Idle));
        let Some((key, server)) = idle
            .min_by_key(|(_, c)| c.until)
            .map(|(key, c)| (key, c.server))
        else {
            return false;
        };
        if let Some(pool) = self.pools.get_mut(&server) {
            pool.idle.retain(|&k| k != key);
        }
        self.connections.remove(key).is_some()
    }

    fn give(&mut self, key: Key, exchange: Exchange, now: Instant, reactor: &Reactor) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        // From now, not from when it was decided: a dial took its time, and the client has less left.
        let wait = exchange.until.saturating_duration_since(now);
        connection
            .stream
            .push(&client::question(&exchange.question, wait));
        connection.until = exchange.begin_by.min(later(now, WRITE_STALL));
        self.due.push((connection.until, Due::Connection(key)));
        connection.state = State::Busy {
            exchange,
            reader: AnswerReader::default(),
            written: false,
            begun: false,
            passing: Passing::No,
        };
        self.advance(key, now, reactor);
    }

    pub fn ready(&mut self, key: Key, now: Instant, reactor: &Reactor) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if let State::Connecting = connection.state {
            let (server, connected) = (connection.server, connection.stream.connected());
            if matches!(connected, Ok(false)) {
                return self.watch_dial(key, now, reactor);
            }
            let there = |e: &DialError| {
                matches!(e, DialError::Failed(Errno::CONNREFUSED | Errno::CONNRESET))
            };
            if connected.as_ref().err().is_none_or(there) {
                self.signs.push_back(Sign::Word(server));
            }
            match connected {
                Ok(_) => {}
                Err(DialError::Short(errno)) => {
                    log::debug!("upstream: dial failed for want of something here: {errno}");
                    self.connections.remove(key);
                    self.dial_over(server);
                    return self.dial_later(server, errno, now);
                }
                Err(error) => {
                    log::debug!("upstream: dial failed: {error}");
                    return self.close(key, ExchangeOutcome::ConnectFailed, now);
                }
            }
            let Some(connection) = self.connections.get_mut(key) else {
                return;
            };
            connection.stream.push(&client::startup());
            connection.state = State::Greeting(AnswerReader::greeting());
        }
        self.advance(key, now, reactor);
    }

    /// Writes and reads what there is, and acts on an answer that is whole or a connection that has ended.
    fn advance(&mut self, key: Key, now: Instant, reactor: &Reactor) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if matches!(connection.state, State::Busy { written: false, .. }) && connection.until <= now
        {
            return self.close(key, ExchangeOutcome::ConnectFailed, now);
        }
        let flushed = connection.stream.flush();
        if let (
            State::Busy {
                exchange,
                written: written @ false,
                ..
            },
            Ok(true),
        ) = (&mut connection.state, &flushed)
        {
            self.attempts += u64::from(exchange.purpose != Purpose::Probe);
            *written = true;
            connection.until = exchange.until;
            self.due.push((exchange.until, Due::Connection(key)));
        }
        let passing = match connection.state {
            State::Busy { passing, .. } => passing,
            _ => Passing::No,
        };
        let filled = match passing {
            Passing::No => connection.stream.fill(client::INPUT_LIMIT),
            Passing::Flows => connection.stream.fill(PIECE),
            Passing::HeldBack => return,
        };
        let taken = match &mut connection.state {
            State::Connecting => Ok((0, false)),
            State::Idle if connection.stream.input.is_empty() => Ok((0, false)),
            State::Idle => Err(crate::protocol::postgres::Malformed(
                "bytes that nobody asked for".into(),
            )),
            State::Greeting(reader) | State::Busy { reader, .. } => {
                reader.take(connection.stream.input.unused())
            }
        };
        let used = match taken {
            Ok((used, whole)) => {
                connection.stream.input.consume(used);
                self.pass_on(key, now);
                if whole {
                    return self.answered(key, filled == Filled::Ended, now, reactor);
                }
                used
            }
            Err(why) => {
                let address = connection.address;
                let text = || format!("upstream: {address} is not understood: {why}");
                self.misunderstood.warn(now, text);
                return self.spoilt(key, now);
            }
        };
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Ok(written) = flushed else {
            return self.broken(key, now);
        };
        if filled == Filled::Ended {
            return self.broken(key, now);
        }
        let came = !connection.stream.input.is_empty() || used > 0;
        if let State::Busy {
            exchange,
            begun,
            passing: Passing::No,
            ..
        } = &mut connection.state
        {
            if came {
                *begun = true;
                connection.until = exchange.until.min(now + ANSWER_STALL);
                self.due.push((connection.until, Due::Connection(key)));
            }
        }
        let interest = Interest {
            read: true,
            write: !written,
        };
        if connection
            .stream
            .watch(reactor, Token::Upstream(key), interest)
            .is_err()
        {
            self.broken(key, now);
        }
    }

    /// What has come of an answer that is too large to be kept.
    fn pass_on(&mut self, key: Key, now: Instant) {
        let Some(Connection {
            server,
            state,
            until,
            ..
        }) = self.connections.get_mut(key)
        else {
            return;
        };
        let State::Busy {
            exchange,
            reader,
            begun,
            passing,
            ..
        } = state
        else {
            return;
        };
        let (Purpose::Attempt(id, attempt), Some(bytes)) = (exchange.purpose, reader.piece())
        else {
            return;
        };
        if bytes.is_empty() {
            return;
        }
        *until = now + PIECE_STALL;
        if *passing == Passing::No {
            (*begun, *passing) = (true, Passing::Flows);
            self.due.push((*until, Due::Connection(key)));
        }
        let elapsed = now.saturating_duration_since(exchange.sent);
        self.pieces.push_back(ResponseChunk {
            id,
            attempt,
            connection: key,
            server: *server,
            elapsed,
            bytes,
        });
    }

    /// Nothing more is read of an answer until [`Upstream::resume`].
    pub fn hold_back(&mut self, key: Key, now: Instant, reactor: &Reactor) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if let State::Busy { passing, .. } = &mut connection.state {
            *passing = Passing::HeldBack;
            // The client's own patience counts now.
            connection.until = later(now, Duration::MAX);
            connection.stream.unwatch(reactor);
        }
    }

    pub fn resume(&mut self, key: Key, now: Instant, reactor: &Reactor) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if let State::Busy {
            passing: passing @ Passing::HeldBack,
            ..
        } = &mut connection.state
        {
            *passing = Passing::Flows;
            connection.until = now + PIECE_STALL;
            self.due.push((connection.until, Due::Connection(key)));
            // What has come is taken in its turn.
            if connection
                .stream
                .watch(reactor, Token::Upstream(key), Interest::READ)
                .is_err()
            {
                self.broken(key, now);
            }
        }
    }

    /// Nobody wants the rest of an answer.
    pub fn stop(&mut self, key: Key, now: Instant) {
        self.close(key, ExchangeOutcome::Cancelled, now);
    }

    /// ReadyForQuery has come: the connection is free again.
    fn answered(&mut self, key: Key, ended: bool, now: Instant, reactor: &Reactor) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let (server, address) = (connection.server, connection.address);
        let half_written = matches!(connection.state, State::Busy { written: false, .. });
        connection.until = now + self.idle_limit;
        match std::mem::replace(&mut connection.state, State::Idle) {
            State::Busy {
                exchange, reader, ..
            } => {
                let (verdict, metadata) = reader.verdict(&exchange.question);
                self.finish(exchange, server, verdict, metadata, now);
            }
            State::Greeting(reader) => {
                self.dial_over(server);
                if reader.conclusive() {
                    self.connections.remove(key);
                    return self.fail_first_waiting(server, not_welcome(&reader), now);
                }
            }
            State::Connecting | State::Idle => {}
        }
        let watched = self.connections.get_mut(key).is_some_and(|c| {
            c.stream.input.is_empty()
                && c.stream
                    .watch(reactor, Token::Upstream(key), Interest::READ)
                    .is_ok()
        });
        let usable = !ended && !half_written && watched;
        let Some(pool) = self
            .pools
            .get_mut(&server)
            .filter(|p| usable && p.address == address)
        else {
            // The server has left or moved, or the connection is of no more use.
            self.connections.remove(key);
            return self.serve_queue(server, now, reactor);
        };
        pool.idle.push(key);
        self.due.push((now + self.idle_limit, Due::Connection(key)));
        self.serve_queue(server, now, reactor);
    }

    /// The connection has ended or makes no sense.
    fn broken(&mut self, key: Key, now: Instant) {
        let verdict = match self.connections.get(key).map(|c| &c.state) {
            Some(State::Busy { written: true, .. }) => ExchangeOutcome::Reset,
            _ => ExchangeOutcome::ConnectFailed,
        };
        self.close(key, verdict, now);
    }

    /// What came makes no sense. Nothing that came before on the connection is believed either.
    fn spoilt(&mut self, key: Key, now: Instant) {
        match self.connections.get_mut(key).map(|c| &mut c.state) {
            Some(State::Busy {
                reader,
                written: true,
                ..
            }) => {
                *reader = AnswerReader::default();
                self.close(key, ExchangeOutcome::InvalidResponse, now);
            }
            _ => self.broken(key, now),
        }
    }

    /// Ends a connection; what it was for ends with `verdict`, unless an error that came says better.
    fn close(&mut self, key: Key, verdict: ExchangeOutcome, now: Instant) {
        let Some(connection) = self.connections.remove(key) else {
            return;
        };
        let server = connection.server;
        match connection.state {
            State::Busy {
                exchange,
                reader,
                written,
                ..
            } => {
                let (verdict, metadata) = match reader.conclusive() {
                    true if written => reader.verdict(&exchange.question),
                    true => (not_welcome(&reader), ResponseMetadata::default()),
                    false => (verdict, ResponseMetadata::default()),
                };
                self.finish(exchange, server, verdict, metadata, now);
            }
            State::Idle => {
                if let Some(pool) = self.pools.get_mut(&server) {
                    pool.idle.retain(|&k| k != key);
                }
            }
            State::Connecting => {
                self.dial_over(server);
                self.fail_first_waiting(server, verdict, now);
            }
            State::Greeting(reader) => {
                self.dial_over(server);
                let verdict = if reader.conclusive() {
                    not_welcome(&reader)
                } else {
                    verdict
                };
                self.fail_first_waiting(server, verdict, now);
            }
        }
    }

    fn dial_over(&mut self, server: ServerId) {
        if let Some(pool) = self.pools.get_mut(&server) {
            pool.dialling = pool.dialling.saturating_sub(1);
        }
    }

    /// A dial that failed takes one exchange with it: the one that has waited longest.
    fn fail_first_waiting(&mut self, server: ServerId, verdict: ExchangeOutcome, now: Instant) {
        let Some(pool) = self.pools.get_mut(&server) else {
            return;
        };
        let exchange = pool.waiting.pop_front();
        // Guards against waiting for nothing: those over the cap on dials get the ones that are free now.
        if pool.waiting.len() > pool.dialling {
            self.due.push((now, Due::Queue(server)));
        }
        if let Some(exchange) = exchange {
            self.finish(exchange, server, verdict, ResponseMetadata::default(), now);
        }
    }

    fn finish(
        &mut self,
        exchange: Exchange,
        server: ServerId,
        verdict: ExchangeOutcome,
        metadata: ResponseMetadata,
        now: Instant,
    ) {
        let elapsed = now.saturating_duration_since(exchange.sent);
        let Exchange {
            purpose,
            class,
            group,
            ..
        } = exchange;
        self.done.push_back(CompletedExchange {
            purpose,
            class,
            group,
            server,
            outcome: verdict,
            elapsed,
            metadata,
        });
    }

    /// Calls off an attempt; its connection ends with it if it is on one.
    pub fn cancel(&mut self, purpose: Purpose, now: Instant) {
        let on = |c: &Connection| matches!(&c.state, State::Busy { exchange, .. } if exchange.purpose == purpose);
        let found = self
            .connections
            .iter()
            .find(|(_, c)| on(c))
            .map(|(key, _)| key);
        if let Some(key) = found {
            return self.close(key, ExchangeOutcome::Cancelled, now);
        }
        let mut called_off = Vec::new();
        for (&server, pool) in &mut self.pools {
            if let Some(at) = pool.waiting.iter().position(|e| e.purpose == purpose) {
                called_off.extend(pool.waiting.remove(at).map(|e| (server, e)));
            }
        }
        for (server, exchange) in called_off {
            self.finish(
                exchange,
                server,
                ExchangeOutcome::Cancelled,
                ResponseMetadata::default(),
                now,
            );
        }
    }

    /// The request is over: what is not written of it yet never will be. What is written goes on.
    pub fn call_off(&mut self, id: RequestId, now: Instant) {
        let of_request = |e: &Exchange| matches!(e.purpose, Purpose::Attempt(of, _) if of == id);
        let mut called_off = Vec::new();
        for (&server, pool) in &mut self.pools {
            if let Some(at) = pool.waiting.iter().position(of_request) {
                called_off.extend(pool.waiting.remove(at).map(|exchange| (server, exchange)));
            }
        }
        for (server, exchange) in called_off {
            self.finish(
                exchange,
                server,
                ExchangeOutcome::NotSent,
                ResponseMetadata::default(),
                now,
            );
        }
        let unwritten = |connection: &Connection| match &connection.state {
            State::Busy {
                exchange,
                written: false,
                ..
            } => of_request(exchange),
            _ => false,
        };
        let found = self
            .connections
            .iter()
            .find(|(_, c)| unwritten(c))
            .map(|(key, _)| key);
        if let Some(key) = found {
            self.close(key, ExchangeOutcome::NotSent, now);
        }
    }

    pub fn on_due(&mut self, due: Due, now: Instant, reactor: &Reactor) {
        match due {
            Due::Connection(key) => {
                let Some(connection) = self.connections.get(key) else {
                    return;
                };
                if connection.until > now {
                    // More of its answer has come meanwhile.
                    if matches!(
                        connection.state,
                        State::Busy {
                            passing: Passing::Flows,
                            ..
                        }
                    ) {
                        self.due.push((connection.until, Due::Connection(key)));
                    }
                    return;
                }
                let server = connection.server;
                match connection.state {
                    State::Busy {
                        written: true,
                        begun: true,
                        ..
                    } => self.spoilt(key, now),
                    State::Busy { written: true, .. } => {
                        self.close(key, ExchangeOutcome::TimedOut, now)
                    }
                    State::Busy { .. } | State::Idle => {
                        self.close(key, ExchangeOutcome::ConnectFailed, now)
                    }
                    State::Connecting | State::Greeting(_) => {
                        // What waits has a time of its own: a slow dial takes nothing with it.
                        self.connections.remove(key);
                        self.dial_over(server);
                        self.dial_for_queue(server, now, reactor);
                    }
                }
            }
            Due::Queue(server) => {
                self.drop_late(server, now);
                self.dial_for_queue(server, now, reactor);
            }
        }
    }
}

/// An error to a connection that no request has been written to in full: none of them has run, whatever the
/// error is.
fn not_welcome(reader: &AnswerReader) -> ExchangeOutcome {
    if reader.turned_away() {
        ExchangeOutcome::Rejected
    } else {
        ExchangeOutcome::ConnectFailed
    }
}
