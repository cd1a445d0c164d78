//! The state of one connection to a record server.

use super::exchange::Exchange;
use crate::event_loop::stream::Stream;
use crate::protocol::postgres::client::ResponseReader;
use crate::protocol::postgres::Malformed;
use crate::request::ExchangeOutcome;
use routing::ServerId;
use std::net::SocketAddr;
use std::time::Instant;

/// A connection that is dialled, idle or in use.
pub(super) struct Connection {
    pub(super) stream: Stream,
    pub(super) server: ServerId,
    pub(super) address: SocketAddr,
    pub(super) state: State,
    /// When the present state has lasted too long.
    pub(super) deadline: Instant,
}

/// What a connection is used for.
pub(super) enum State {
    Connecting,
    /// Established; the server's greeting is not complete.
    Handshake(ResponseReader),
    Idle,
    Busy(ActiveExchange),
}

/// An exchange on a connection.
pub(super) struct ActiveExchange {
    pub(super) exchange: Exchange,
    pub(super) reader: ResponseReader,
    /// The socket has taken its last byte: from now on the request may have run.
    pub(super) written: bool,
    /// Some of the response has arrived.
    pub(super) response_started: bool,
    pub(super) streaming: Streaming,
}

/// Whether a response is passed on in chunks.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Streaming {
    No,
    Active,
    /// The client's buffer is full; nothing is read.
    Paused,
}

impl ActiveExchange {
    pub(super) fn new(exchange: Exchange) -> ActiveExchange {
        ActiveExchange {
            exchange,
            reader: ResponseReader::default(),
            written: false,
            response_started: false,
            streaming: Streaming::No,
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

    /// Whether it has an exchange whose request is written in full.
    pub(super) fn is_written(&self) -> bool {
        self.active().is_some_and(|active| active.written)
    }

    /// Whether it has an exchange whose request is not written in full.
    pub(super) fn is_unwritten(&self) -> bool {
        self.active().is_some_and(|active| !active.written)
    }

    pub(super) fn is_idle(&self) -> bool {
        matches!(self.state, State::Idle)
    }

    pub(super) fn streaming(&self) -> Streaming {
        self.active()
            .map_or(Streaming::No, |active| active.streaming)
    }

    /// Parses the bytes that have arrived; returns how many are used, and whether the response is complete.
    pub(super) fn parse(&mut self) -> Result<(usize, bool), Malformed> {
        let input = self.stream.input.unused();
        match &mut self.state {
            State::Connecting => Ok((0, false)),
            State::Idle if input.is_empty() => Ok((0, false)),
            State::Idle => Err(Malformed("bytes that nobody asked for".into())),
            State::Handshake(reader) => reader.parse(input),
            State::Busy(active) => active.reader.parse(input),
        }
    }
}

/// The outcome of an error that the server sends before a request is written in full: no request has run on the
/// connection, whatever the error is.
pub(super) fn rejection_outcome(reader: &ResponseReader) -> ExchangeOutcome {
    if reader.is_rejected() {
        ExchangeOutcome::Rejected
    } else {
        ExchangeOutcome::ConnectFailed
    }
}
