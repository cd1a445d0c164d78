//! Requests, answers and exchanges: what passes between the clients' side, the pipeline and the upstream side. Nothing
//! here depends on a wire protocol, except commands and answers as opaque bytes.

use crate::event_loop::slab::Key;
use routing::{AttemptNumber, ClassId, GroupId, RequestId, ResponseMetadata, ServerId};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest part of a client's text that an error message or a line of the log repeats, in characters.
const DISPLAY_LIMIT: usize = 40;

/// Where the answer to a request goes: the client's connection, and the number of the command on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ResponseSlot {
    /// The client's connection.
    pub client: Key,
    /// The command's number on that connection, from 0.
    pub number: u64,
}

/// A request as it was read from a client.
#[derive(Debug)]
pub struct Request {
    /// The client's name for it, new with every request.
    pub id: Box<str>,
    /// Name of its class.
    pub class: String,
    /// Name of its tenant.
    pub tenant: Option<String>,
    /// Number of the group of servers that holds its data.
    pub group: u32,
    /// The session whose writes it has to see.
    pub session: Option<u64>,
    /// How long the client waits, from its send.
    pub timeout: Duration,
    /// Unix time of the commit that a read must see.
    pub min_commit_time: Option<Duration>,
    /// The client has sent it before.
    pub is_client_retry: bool,
    /// What is sent to servers.
    pub command: Command,
    /// The client's address.
    pub client: IpAddr,
    /// When it was read.
    pub read_at: Instant,
}

/// A command in the bytes of its protocol, in two parts. The time that is left for it goes between them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Command {
    /// Everything before the time that is left.
    pub before_time_left: Vec<u8>,
    /// Everything after it.
    pub after_time_left: Vec<u8>,
}

/// The final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// The record server's answer, in the bytes of its protocol.
    Served(Vec<u8>),
    /// Rejected by a rule or to shed load: nothing ran that a repetition could double. The client may retry after this time,
    /// if there is one.
    Rejected(Option<Duration>),
    /// No server gave an answer in time, or part of the request may have run.
    Failed,
    /// The client has cancelled the request.
    Cancelled,
    /// The request is malformed; why.
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

/// What an upstream exchange is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// An attempt of a request.
    Attempt(RequestId, AttemptNumber),
    /// A probe of the server's load and position.
    Probe,
}

/// What a record server is asked.
#[derive(Clone, Debug, PartialEq)]
pub enum UpstreamQuery {
    /// A client's command.
    Command(Arc<Command>),
    /// Its load report.
    Load,
}

/// How an exchange with a record server ended.
#[derive(Debug, PartialEq)]
pub enum ExchangeOutcome {
    /// The answer to a command, in the bytes of its protocol.
    Served(Vec<u8>),
    /// The fields of a load report; empty if it could not be read.
    Reported(Vec<(String, f64)>),
    /// The server can't take the command: it is not the primary, or its data is not fresh enough.
    Misdirected,
    /// The server answered with an error.
    Failed,
    /// The server rejected the command without running it: it is at its limit.
    Rejected,
    /// The command was not written completely: it did not run.
    ConnectFailed,
    /// What came back is no valid answer. The command may have run.
    InvalidResponse,
    /// The connection broke after the command was written. The command may have run.
    Reset,
    /// No answer came in time. The command may have run.
    TimedOut,
    /// The decision module has cancelled it.
    Cancelled,
    /// Dropped before it was written: the server is being removed, or this host lacks what a connection needs.
    NotSent,
}

/// A part of an answer that is too large to be buffered. It goes to the client before the rest has come.
#[derive(Debug)]
pub struct ResponseChunk {
    /// The request.
    pub id: RequestId,
    /// The attempt that it answers.
    pub attempt: AttemptNumber,
    /// The upstream connection that it came on.
    pub connection: Key,
    /// The server.
    pub server: ServerId,
    /// Time since the attempt was sent.
    pub elapsed: Duration,
    /// The bytes, in the server's protocol.
    pub bytes: Vec<u8>,
}

/// An exchange with a record server that has ended.
#[derive(Debug)]
pub struct CompletedExchange {
    /// What it was for.
    pub purpose: Purpose,
    /// The request's class; a probe has none.
    pub class: Option<ClassId>,
    /// The request's group; a probe has none.
    pub group: Option<GroupId>,
    /// The server.
    pub server: ServerId,
    /// How it ended.
    pub outcome: ExchangeOutcome,
    /// Time since it was sent.
    pub elapsed: Duration,
    /// What the server reported beside the answer: its position, load and role.
    pub metadata: ResponseMetadata,
}

/// As much of a client's text as an error message or a line of the log repeats.
pub fn truncate_for_display(text: &str) -> &str {
    text.char_indices()
        .nth(DISPLAY_LIMIT)
        .map_or(text, |(end, _)| &text[..end])
}
