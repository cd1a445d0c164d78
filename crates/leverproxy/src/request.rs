//! Types of requests, answers and exchanges that the downstream side, the pipeline and the upstream side pass to each
//! other. They do not depend on a wire protocol: commands and answers are opaque bytes.

use crate::event_loop::slab::Key;
use routing::{AttemptNumber, ClassId, GroupId, RequestId, ResponseMetadata, ServerId};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum length of a client's text in error messages and log lines, in characters.
const DISPLAY_LIMIT: usize = 40;

/// Destination of the answer to a request: the client's connection, and the number of the command on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ResponseSlot {
    /// Connection of the client.
    pub client: Key,
    /// Number of the command on the connection, from 0.
    pub number: u64,
}

/// A request as read from a client.
#[derive(Debug)]
pub struct Request {
    /// Id that the client gave the request; it must be new for every request.
    pub id: Box<str>,
    /// Name of the request's class.
    pub class: String,
    /// Name of the request's tenant, if the client gave one.
    pub tenant: Option<String>,
    /// Number of the group of servers that holds the data of the request.
    pub group: u32,
    /// Session whose writes a read has to see.
    pub session: Option<u64>,
    /// Timeout of the client, counted from when it sent the request.
    pub timeout: Duration,
    /// Unix time of the commit that a read must see.
    pub min_commit_time: Option<Duration>,
    /// Whether the client has sent the request before.
    pub is_client_retry: bool,
    /// Command that is sent to servers.
    pub command: Command,
    /// Address of the client.
    pub client: IpAddr,
    /// Time at which the request was read.
    pub read_at: Instant,
}

/// A command in the bytes of its protocol, in two parts. The time left for it is inserted between them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Command {
    /// Bytes before the time left.
    pub before_time_left: Vec<u8>,
    /// Bytes after the time left.
    pub after_time_left: Vec<u8>,
}

impl Command {
    /// Number of bytes of the command, without the time left.
    pub fn byte_count(&self) -> usize {
        self.before_time_left.len() + self.after_time_left.len()
    }
}

/// The final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// The record server's answer, in the bytes of its protocol.
    Served(Vec<u8>),
    /// Rejected by a rule or to shed load. No part of the request ran, so a retry can't run it twice. The value is the
    /// time after which the client may retry, if any.
    Rejected(Option<Duration>),
    /// No server answered in time, or a part of the request may have run.
    Failed,
    /// The client has cancelled the request.
    Cancelled,
    /// The request is invalid, with the reason.
    Invalid(String),
}

impl Answer {
    /// The outcome's name in logs and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Rejected(_) => "refused",
            Answer::Failed => "failed",
            Answer::Cancelled => "cancelled",
            Answer::Invalid(_) => "rejected",
        }
    }
}

/// Purpose of an upstream exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// An attempt of a request.
    Attempt(RequestId, AttemptNumber),
    /// A probe of the server's load and position.
    Probe,
}

/// Query that is sent to a record server.
#[derive(Clone, Debug, PartialEq)]
pub enum UpstreamQuery {
    /// A command of a client.
    Command(Arc<Command>),
    /// A query for the server's load report.
    Load,
}

/// How an exchange with a record server ended.
#[derive(Debug, PartialEq)]
pub enum ExchangeOutcome {
    /// The answer to a command, in the bytes of its protocol.
    Served(Vec<u8>),
    /// The fields of a load report; empty if the report could not be read.
    Reported(Vec<(String, f64)>),
    /// The server can't run the command: it is not the primary, or its data is too stale.
    Misdirected,
    /// The server answered with an error.
    Failed,
    /// The server rejected the command without running it, because it is at its limit.
    Rejected,
    /// The command was not written completely, so it did not run.
    ConnectFailed,
    /// The server's answer was invalid. The command may have run.
    InvalidResponse,
    /// The connection broke after the command was written. The command may have run.
    Reset,
    /// The server did not answer in time. The command may have run.
    TimedOut,
    /// The decision module has cancelled the exchange.
    Cancelled,
    /// Dropped before it was written: the server is being removed, or this host lacks the resources for a connection.
    NotSent,
}

/// A part of an answer that is too large to be buffered. It is forwarded to the client before the rest arrives.
#[derive(Debug)]
pub struct ResponseChunk {
    /// Request that the chunk answers.
    pub id: RequestId,
    /// Attempt that the chunk answers.
    pub attempt: AttemptNumber,
    /// Upstream connection that the chunk was read from.
    pub connection: Key,
    /// Server that sent the chunk.
    pub server: ServerId,
    /// Time since the attempt was sent.
    pub elapsed: Duration,
    /// Bytes of the chunk in the server's protocol.
    pub bytes: Vec<u8>,
    /// Number of bytes of the row that follow this chunk.
    pub row_bytes_left: usize,
}

/// A completed exchange with a record server.
#[derive(Debug)]
pub struct CompletedExchange {
    /// Purpose of the exchange.
    pub purpose: Purpose,
    /// Class of the request; none for a probe.
    pub class: Option<ClassId>,
    /// Group of the request; none for a probe.
    pub group: Option<GroupId>,
    /// Server of the exchange.
    pub server: ServerId,
    /// Result of the exchange.
    pub outcome: ExchangeOutcome,
    /// Time from sending to the end of the exchange.
    pub elapsed: Duration,
    /// Metadata of the response: the server's position, load and role.
    pub metadata: ResponseMetadata,
}

/// Truncates a client's text for error messages and log lines.
pub fn truncate_for_display(text: &str) -> &str {
    text.char_indices()
        .nth(DISPLAY_LIMIT)
        .map_or(text, |(end, _)| &text[..end])
}
