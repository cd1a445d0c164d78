//! The subset of HTTP/1.1 that a watch on discovery needs: the head of a response, a chunked or plain body, and the
//! JSON objects in the body, parsed as they arrive. An object may be split at any byte and be indented, and several
//! objects may arrive at once. White space between objects means that nothing has changed.

mod error;
mod objects;

pub use error::{HttpError, NotJson};

use error::{HEAD_LIMIT, MAX_HEADERS};
use objects::ObjectSplitter;

/// Maximum length of the line with the size of a chunk, in bytes.
const SIZE_LINE_LIMIT: usize = 256;

#[derive(Debug, Default)]
enum State {
    #[default]
    Head,
    ChunkSize,
    Chunk {
        left: u64,
    },
    ChunkEnd,
    /// A body without chunks: `left` is the number of bytes to come; without it the body lasts until the connection
    /// ends.
    Plain {
        left: Option<u64>,
    },
    Done,
}

/// The result of a parsing step, with the number of bytes that it used.
enum Step {
    /// More of the bytes may be parsed.
    Continue(usize),
    /// More bytes have to arrive.
    Wait(usize),
}

/// A part of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// White space: discovery is alive and has no changes to report.
    Keepalive,
    /// The text of one object.
    Object(String),
}

/// Parses one response as its bytes arrive.
#[derive(Debug, Default)]
pub struct ResponseParser {
    state: State,
    objects: ObjectSplitter,
}

impl ResponseParser {
    /// Parses `bytes` as far as possible, appends the parts of the body, and returns the number of bytes used. Parts
    /// that were complete before an error are appended too.
    pub fn parse(&mut self, bytes: &[u8], parts: &mut Vec<Part>) -> Result<usize, HttpError> {
        let mut at = 0;
        loop {
            match self.step(&bytes[at..], parts)? {
                Step::Continue(used) => at += used,
                Step::Wait(used) => return Ok(at + used),
            }
        }
    }

    fn step(&mut self, rest: &[u8], parts: &mut Vec<Part>) -> Result<Step, HttpError> {
        match self.state {
            State::Head => self.parse_head(rest),
            State::ChunkSize => self.parse_chunk_size(rest),
            State::Chunk { left } => self.parse_chunk(rest, left, parts),
            State::ChunkEnd => self.parse_chunk_end(rest),
            State::Plain { left } => self.parse_plain(rest, left, parts),
            State::Done if self.objects.has_incomplete() => Err(HttpError::Truncated),
            State::Done => Ok(Step::Wait(0)),
        }
    }

    fn parse_head(&mut self, rest: &[u8]) -> Result<Step, HttpError> {
        let Some((used, body)) = parse_head(rest)? else {
            return Ok(Step::Wait(0));
        };
        self.state = body;
        Ok(Step::Continue(used))
    }

    fn parse_chunk_size(&mut self, rest: &[u8]) -> Result<Step, HttpError> {
        match httparse::parse_chunk_size(rest).map_err(|_| HttpError::Chunk)? {
            httparse::Status::Complete((used, left)) => {
                self.state = if left == 0 {
                    State::Done
                } else {
                    State::Chunk { left }
                };
                Ok(Step::Continue(used))
            }
            httparse::Status::Partial if rest.len() > SIZE_LINE_LIMIT => Err(HttpError::Chunk),
            httparse::Status::Partial => Ok(Step::Wait(0)),
        }
    }

    fn parse_chunk(
        &mut self,
        rest: &[u8],
        left: u64,
        parts: &mut Vec<Part>,
    ) -> Result<Step, HttpError> {
        let used = available(rest, left);
        let left = left - used as u64;
        self.state = if left == 0 {
            State::ChunkEnd
        } else {
            State::Chunk { left }
        };
        self.objects.split(&rest[..used], parts)?;
        Ok(if left == 0 {
            Step::Continue(used)
        } else {
            Step::Wait(used)
        })
    }

    fn parse_chunk_end(&mut self, rest: &[u8]) -> Result<Step, HttpError> {
        match rest {
            [b'\r', b'\n', ..] => {
                self.state = State::ChunkSize;
                Ok(Step::Continue(2))
            }
            [] | [b'\r'] => Ok(Step::Wait(0)),
            _ => Err(HttpError::Chunk),
        }
    }

    fn parse_plain(
        &mut self,
        rest: &[u8],
        left: Option<u64>,
        parts: &mut Vec<Part>,
    ) -> Result<Step, HttpError> {
        let used = left.map_or(rest.len(), |left| available(rest, left));
        let left = left.map(|left| left - used as u64);
        self.state = State::Plain { left };
        self.objects.split(&rest[..used], parts)?;
        if left == Some(0) {
            self.state = State::Done;
        }
        Ok(Step::Wait(used))
    }

    /// Whether the response is complete.
    pub fn is_done(&self) -> bool {
        matches!(self.state, State::Done)
    }
}

/// The number of `bytes` that belong to a part of which `left` bytes are still to come.
fn available(bytes: &[u8], left: u64) -> usize {
    bytes.len().min(usize::try_from(left).unwrap_or(usize::MAX))
}

/// Parses the head of a response. Returns its length and the state in which the body is parsed, or `None` if the head
/// is incomplete.
fn parse_head(bytes: &[u8]) -> Result<Option<(usize, State)>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let used = match response.parse(bytes) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) if bytes.len() > HEAD_LIMIT => {
            return Err(HttpError::HeadTooLong)
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLong),
        Err(error) => return Err(HttpError::NotHttp(error)),
    };
    match response.code {
        Some(200) => Ok(Some((used, body_state(response.headers)?))),
        other => Err(HttpError::Status(other.unwrap_or_default())),
    }
}

/// The state in which the body is parsed, according to the headers.
fn body_state(headers: &[httparse::Header<'_>]) -> Result<State, HttpError> {
    let value = |name: &str| {
        let header = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        header.map(|h| String::from_utf8_lossy(h.value).trim().to_owned())
    };
    match (value("transfer-encoding"), value("content-length")) {
        (Some(encoding), _) if encoding.eq_ignore_ascii_case("chunked") => Ok(State::ChunkSize),
        (Some(encoding), _) => Err(HttpError::Encoding(encoding)),
        (None, Some(length)) => match length.parse() {
            Ok(left) => Ok(State::Plain { left: Some(left) }),
            Err(_) => Err(HttpError::Length(length)),
        },
        (None, None) => Ok(State::Plain { left: None }),
    }
}

/// The bytes of a request for a stream of objects.
pub fn get(host: &str, target: &str) -> Vec<u8> {
    format!("GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
        .into_bytes()
}
