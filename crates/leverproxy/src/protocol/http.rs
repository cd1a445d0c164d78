//! What a watch needs of HTTP/1.1: the head of an answer, a body in chunks or plain, and the JSON objects in it, taken in as
//! they come. Objects may be cut anywhere, indented, or several at once; white space between them says that nothing has
//! changed.

mod objects;

use objects::{Objects, OBJECT_LIMIT};
use thiserror::Error;

const HEAD_LIMIT: usize = 16 << 10;
const HEADERS: usize = 64;
const SIZE_LINE_LIMIT: usize = 256;

/// What is wrong with an answer, and where to look.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum Fault {
    #[error("this is no HTTP answer ({0}): is it discovery that listens there?")]
    NotHttp(httparse::Error),
    #[error("the head of the answer is longer than {HEAD_LIMIT} bytes or {HEADERS} lines")]
    HeadTooLong,
    #[error("status {0}: discovery turns the call away")]
    Status(u16),
    #[error("transfer encoding {0:?} is not known: chunked or none is read")]
    Encoding(String),
    #[error("{0:?} is no content length")]
    Length(String),
    #[error("the body is cut into chunks wrongly")]
    Chunk,
    #[error("an object of the list is longer than {OBJECT_LIMIT} bytes")]
    TooLong,
    #[error("the body is no JSON: {0}")]
    NotJson(String),
    #[error("the answer ends in the middle of an object")]
    Cut,
}

#[derive(Debug, Default)]
enum State {
    #[default]
    Head,
    Size,
    Chunk {
        left: u64,
    },
    ChunkEnd,
    /// A body that lasts until the connection ends or so many bytes have come.
    Plain {
        left: Option<u64>,
    },
    Done,
}

/// What a body says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// White space: whoever speaks is there, and has nothing to tell.
    Alive,
    /// The text of one object.
    Object(String),
}

/// Takes bytes as they come and yields the parts of the body.
#[derive(Debug, Default)]
pub struct Reader {
    state: State,
    objects: Objects,
}

impl Reader {
    /// Uses up what it can of `bytes` and says how much. What came whole before a fault is among the parts.
    pub fn take(&mut self, bytes: &[u8], parts: &mut Vec<Part>) -> Result<usize, Fault> {
        let mut at = 0;
        loop {
            let rest = &bytes[at..];
            match &mut self.state {
                State::Head => {
                    let Some((used, state)) = head(rest)? else {
                        return Ok(at);
                    };
                    self.state = state;
                    at += used;
                }
                State::Size => match httparse::parse_chunk_size(rest).map_err(|_| Fault::Chunk)? {
                    httparse::Status::Complete((used, left)) => {
                        self.state = if left == 0 {
                            State::Done
                        } else {
                            State::Chunk { left }
                        };
                        at += used;
                    }
                    httparse::Status::Partial if rest.len() > SIZE_LINE_LIMIT => {
                        return Err(Fault::Chunk)
                    }
                    httparse::Status::Partial => return Ok(at),
                },
                State::Chunk { left } => {
                    let n = rest.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
                    *left -= n as u64;
                    let whole = *left == 0;
                    self.objects.take(&rest[..n], parts)?;
                    at += n;
                    if !whole {
                        return Ok(at);
                    }
                    self.state = State::ChunkEnd;
                }
                State::ChunkEnd => match rest {
                    [b'\r', b'\n', ..] => {
                        self.state = State::Size;
                        at += 2;
                    }
                    [] | [b'\r'] => return Ok(at),
                    _ => return Err(Fault::Chunk),
                },
                State::Plain { left } => {
                    let most = left.map_or(usize::MAX, |left| {
                        usize::try_from(left).unwrap_or(usize::MAX)
                    });
                    let n = rest.len().min(most);
                    *left = left.map(|left| left - n as u64);
                    let done = *left == Some(0);
                    self.objects.take(&rest[..n], parts)?;
                    if done {
                        self.state = State::Done;
                    }
                    return Ok(at + n);
                }
                State::Done if self.objects.begun() => return Err(Fault::Cut),
                State::Done => return Ok(at),
            }
        }
    }

    /// The answer is whole: nothing more will come.
    pub fn done(&self) -> bool {
        matches!(self.state, State::Done)
    }
}

/// The head of an answer, if it is there whole: its length and how the body comes.
fn head(bytes: &[u8]) -> Result<Option<(usize, State)>, Fault> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut answer = httparse::Response::new(&mut headers);
    let used = match answer.parse(bytes) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) if bytes.len() > HEAD_LIMIT => {
            return Err(Fault::HeadTooLong)
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Fault::HeadTooLong),
        Err(e) => return Err(Fault::NotHttp(e)),
    };
    match answer.code {
        Some(200) => {}
        other => return Err(Fault::Status(other.unwrap_or_default())),
    }
    let text = |value: &[u8]| String::from_utf8_lossy(value).trim().to_owned();
    let value = |name: &str| {
        answer
            .headers
            .iter()
            .find(|h| h.name.eq_ignore_ascii_case(name))
            .map(|h| text(h.value))
    };
    let state = match (value("transfer-encoding"), value("content-length")) {
        (Some(encoding), _) if encoding.eq_ignore_ascii_case("chunked") => State::Size,
        (Some(encoding), _) => return Err(Fault::Encoding(encoding)),
        (None, Some(length)) => State::Plain {
            left: Some(length.parse().map_err(|_| Fault::Length(length))?),
        },
        (None, None) => State::Plain { left: None },
    };
    Ok(Some((used, state)))
}

/// A request for a stream of objects.
pub fn get(host: &str, target: &str) -> Vec<u8> {
    format!("GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
        .into_bytes()
}
