//! The state of one connection to a record server.

use super::exchange::Exchange;
use crate::event_loop::memory::Reservation;
use crate::event_loop::stream::Stream;
use crate::protocol::postgres::client::ResponseReader;
use crate::protocol::postgres::synchronization::SynchronizationReader;
use crate::protocol::postgres::Malformed;
use crate::request::{ExchangeOutcome, Purpose};
use routing::{AttemptNumber, RequestId, ServerId};
use std::net::SocketAddr;
use std::time::Instant;

/// A connection that is being dialled, idle or in use.
pub(super) struct Connection {
    pub(super) stream: Stream,
    pub(super) server: ServerId,
    pub(super) address: SocketAddr,
    pub(super) state: State,
    /// Time at which the current state times out.
    pub(super) deadline: Instant,
}

/// The state of a connection.
pub(super) enum State {
    Connecting,
    /// Established; the server's greeting is not complete.
    Handshake(ResponseReader),
    Idle,
    Busy(ActiveExchange),
    /// The response is complete. The connection becomes idle once the server has answered the empty query behind it.
    Synchronizing {
        reader: SynchronizationReader,
        since: Instant,
    },
}

/// An exchange on a connection.
pub(super) struct ActiveExchange {
    pub(super) exchange: Exchange,
    pub(super) reader: ResponseReader,
    /// The request is written to the socket in full: from then on the server may have executed it.
    pub(super) written: bool,
    /// Part of the response has arrived.
    pub(super) response_started: bool,
    pub(super) streaming: Streaming,
    /// The response has paused for longer than a response usually does, and this was reported.
    pub(super) is_stalled: bool,
    /// The memory that the buffers of the connection occupy.
    memory: Reservation,
}

/// Whether a response is forwarded to the client in chunks.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Streaming {
    No,
    Active,
    /// The client's buffer is full, so the response is not read.
    Paused,
}

impl ActiveExchange {
    pub(super) fn new(exchange: Exchange, memory: Reservation) -> ActiveExchange {
        ActiveExchange {
            exchange,
            reader: ResponseReader::default(),
            written: false,
            response_started: false,
            streaming: Streaming::No,
            is_stalled: false,
            memory,
        }
    }
}

impl Connection {
    pub(super) fn active(&self) -> Option<&ActiveExchange> {
        match &self.state {
            State::Busy(active) => Some(active),
            _ => None,
        }
    }

    pub(super) fn active_mut(&mut self) -> Option<&mut ActiveExchange> {
        match &mut self.state {
            State::Busy(active) => Some(active),
            _ => None,
        }
    }

    /// The attempt on the connection, if it has stalled.
    pub(super) fn stalled_attempt(&self) -> Option<(RequestId, AttemptNumber)> {
        let active = self.active().filter(|active| active.is_stalled)?;
        match active.exchange.purpose {
            Purpose::Attempt(id, attempt) => Some((id, attempt)),
            Purpose::Probe => None,
        }
    }

    /// Whether the connection has an exchange whose request is written in full.
    pub(super) fn is_written(&self) -> bool {
        self.active().is_some_and(|active| active.written)
    }

    /// Whether the connection has an exchange whose request is not written in full.
    pub(super) fn is_unwritten(&self) -> bool {
        self.active().is_some_and(|active| !active.written)
    }

    pub(super) fn is_idle(&self) -> bool {
        matches!(self.state, State::Idle)
    }

    pub(super) fn is_synchronizing(&self) -> bool {
        matches!(self.state, State::Synchronizing { .. })
    }

    pub(super) fn streaming(&self) -> Streaming {
        self.active()
            .map_or(Streaming::No, |active| active.streaming)
    }

    /// Updates the reservation of the memory that the buffers of an exchange occupy.
    pub(super) fn update_memory(&mut self) {
        let buffered = self.stream.input.len() + self.stream.unsent();
        if let State::Busy(active) = &mut self.state {
            active
                .memory
                .resize(buffered + active.reader.relayed_bytes());
        }
    }

    /// Parses the bytes that have arrived; returns the number of bytes used, and whether the response is complete.
    pub(super) fn parse(&mut self) -> Result<(usize, bool), Malformed> {
        let input = self.stream.input.unused();
        match &mut self.state {
            State::Connecting => Ok((0, false)),
            State::Idle if input.is_empty() => Ok((0, false)),
            State::Idle => Err(Malformed("unexpected bytes on an idle connection".into())),
            State::Handshake(reader) => reader.parse(input),
            State::Busy(active) => active.reader.parse(input),
            State::Synchronizing { reader, .. } => reader.parse(input),
        }
    }
}

/// The outcome of an error message that the server sends before a request is written in full. Whatever the error is,
/// the server has not executed the request.
pub(super) fn rejection_outcome(reader: &ResponseReader) -> ExchangeOutcome {
    if reader.is_rejected() {
        ExchangeOutcome::Rejected
    } else {
        ExchangeOutcome::ConnectFailed
    }
}
