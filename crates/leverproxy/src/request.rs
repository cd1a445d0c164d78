//! What passes between a protocol's front, the stages and the upstream side, in no protocol's words.

use crate::event_loop::slab::Key;
use routing::{AttemptNo, ClassId, GroupId, RequestId, ResponseMetadata, ServerId};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Where the answer to a request goes: which client's connection, and which of its requests in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ResponseSlot {
    pub client: Key,
    pub number: u64,
}

/// A request as a front has read it.
#[derive(Debug)]
pub struct Request {
    /// The client's name for it, new with every request.
    pub id: Box<str>,
    pub class: String,
    pub tenant: Option<String>,
    pub group: u32,
    pub session: Option<u64>,
    /// How long the client waits, from its send.
    pub wait: Duration,
    /// Unix time of the commit that a read must see.
    pub after: Option<Duration>,
    pub repeated: bool,
    pub command: Command,
    /// Where it came from; the front knows.
    pub client: IpAddr,
    pub read_at: Instant,
}

/// The command in the words of its protocol, in two parts with the time to wait between them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Command {
    pub before_wait: Vec<u8>,
    pub after_wait: Vec<u8>,
}

/// The final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// As the record server gave it.
    Served(Vec<u8>),
    /// Nothing ran that a repeat could double; the client may come back after so long.
    Refused(Option<Duration>),
    Failed,
    /// Its client has taken it back.
    Cancelled,
    /// The request makes no sense.
    Rejected(String),
}

impl Answer {
    pub fn kind(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Refused(_) => "refused",
            Answer::Failed => "failed",
            Answer::Cancelled => "cancelled",
            Answer::Rejected(_) => "rejected",
        }
    }
}

/// What an upstream exchange is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    Attempt(RequestId, AttemptNo),
    Probe,
}

/// What a record server is asked.
#[derive(Clone, Debug, PartialEq)]
pub enum Question {
    /// A client's command.
    Command(Arc<Command>),
    /// Its load report.
    Load,
}

/// How an exchange with a record server ended.
#[derive(Debug, PartialEq)]
pub enum Verdict {
    /// The answer to a command, in the words of its protocol.
    Served(Vec<u8>),
    /// The fields of a load report; none if it could not be read.
    Reported(Vec<(String, f64)>),
    Miss,
    Failed,
    /// Turned away unseen.
    Full,
    /// Its last byte was never written.
    ConnectFailed,
    /// What came back is no answer; the command has run all the same, or may have.
    Spoilt,
    /// The connection broke after that.
    Reset,
    TimedOut,
    /// Called off by the module.
    Cancelled,
    /// Dropped before it was written, since the server leaves or this machine lacks something for a connection.
    NeverSent,
}

/// A part of an answer that is too large to be kept: it goes to the client before the rest is there.
#[derive(Debug)]
pub struct Piece {
    pub id: RequestId,
    pub attempt: AttemptNo,
    /// Of the connection that it came on.
    pub from: Key,
    pub server: ServerId,
    pub elapsed: Duration,
    pub bytes: Vec<u8>,
}

#[derive(Debug)]
pub struct Done {
    pub purpose: Purpose,
    pub class: Option<ClassId>,
    /// Of a request's attempt; a probe has none.
    pub group: Option<GroupId>,
    pub server: ServerId,
    pub verdict: Verdict,
    pub elapsed: Duration,
    pub metadata: ResponseMetadata,
}

/// As much of a client's text as an error message or a line of the log should repeat.
pub fn shown(text: &str) -> &str {
    text.char_indices()
        .nth(40)
        .map_or(text, |(end, _)| &text[..end])
}
