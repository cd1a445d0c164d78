//! The part of HTTP/1.1 that a watch needs: the head of an answer and a chunked body, taken in as they come.

use std::fmt;

const HEAD_LIMIT: usize = 16 << 10;
const SIZE_LINE_LIMIT: usize = 256;
/// Largest line of a body.
const LINE_LIMIT: usize = 4 << 20;

#[derive(Debug, PartialEq, Eq)]
pub struct BadHttp(pub String);

impl fmt::Display for BadHttp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

fn bad(problem: impl Into<String>) -> BadHttp {
    BadHttp(problem.into())
}

#[derive(Debug, Default)]
enum State {
    #[default]
    Head,
    Size,
    Chunk {
        left: usize,
    },
    ChunkEnd,
    /// A body that lasts until the connection ends or so many bytes have come.
    Plain {
        left: Option<usize>,
    },
    Done,
}

/// Takes bytes as they come and yields the lines of the body.
#[derive(Debug, Default)]
pub struct LineReader {
    state: State,
    line: Vec<u8>,
}

impl LineReader {
    /// Uses up what it can of `bytes` and says how much; whole lines go to `lines`, empty ones too.
    pub fn take(&mut self, bytes: &[u8], lines: &mut Vec<Vec<u8>>) -> Result<usize, BadHttp> {
        let mut at = 0;
        loop {
            let rest = &bytes[at..];
            match &mut self.state {
                State::Head => match rest.windows(4).position(|w| w == b"\r\n\r\n") {
                    Some(end) => {
                        self.state = head(&rest[..end])?;
                        at += end + 4;
                    }
                    None if rest.len() > HEAD_LIMIT => return Err(bad("the head is too long")),
                    None => return Ok(at),
                },
                State::Size => match rest.windows(2).position(|w| w == b"\r\n") {
                    Some(end) => {
                        let left = chunk_size(&rest[..end])?;
                        self.state = if left == 0 { State::Done } else { State::Chunk { left } };
                        at += end + 2;
                    }
                    None if rest.len() > SIZE_LINE_LIMIT => {
                        return Err(bad("a chunk's size line is too long"))
                    }
                    None => return Ok(at),
                },
                State::Chunk { left } => {
                    let n = rest.len().min(*left);
                    *left -= n;
                    if *left == 0 {
                        self.state = State::ChunkEnd;
                    } else if n == 0 {
                        return Ok(at);
                    }
                    self.body(&rest[..n], lines)?;
                    at += n;
                }
                State::ChunkEnd => match rest {
                    [b'\r', b'\n', ..] => {
                        self.state = State::Size;
                        at += 2;
                    }
                    [] | [b'\r'] => return Ok(at),
                    _ => return Err(bad("a chunk does not end where its size says")),
                },
                State::Plain { left } => {
                    let n = rest.len().min(left.unwrap_or(usize::MAX));
                    *left = left.map(|l| l - n);
                    let done = *left == Some(0);
                    self.body(&rest[..n], lines)?;
                    if done {
                        self.state = State::Done;
                    }
                    return Ok(at + n);
                }
                State::Done => return Ok(at),
            }
        }
    }

    /// The answer is whole: nothing more will come.
    pub fn done(&self) -> bool {
        matches!(self.state, State::Done)
    }

    fn body(&mut self, bytes: &[u8], lines: &mut Vec<Vec<u8>>) -> Result<(), BadHttp> {
        let mut parts = bytes.split(|&b| b == b'\n');
        self.line.extend_from_slice(parts.next().unwrap_or_default());
        for part in parts {
            lines.push(std::mem::replace(&mut self.line, part.to_vec()));
        }
        if self.line.len() > LINE_LIMIT {
            return Err(bad(format!("a line is longer than {LINE_LIMIT} bytes")));
        }
        Ok(())
    }
}

fn head(bytes: &[u8]) -> Result<State, BadHttp> {
    let text = std::str::from_utf8(bytes).map_err(|_| bad("the head is not text"))?;
    let mut lines = text.split("\r\n");
    let status_line = lines.next().unwrap_or_default();
    let mut words = status_line.split_ascii_whitespace();
    if !words.next().is_some_and(|w| w.starts_with("HTTP/1.")) {
        return Err(bad(format!("{status_line:?} is no status line")));
    }
    match words.next() {
        Some("200") => {}
        other => return Err(bad(format!("status {}", other.unwrap_or("absent")))),
    }
    let mut state = State::Plain { left: None };
    for line in lines {
        let Some((name, value)) = line.split_once(':') else {
            return Err(bad(format!("{line:?} is no header")));
        };
        let value = value.trim();
        if name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") {
                return Err(bad(format!("transfer encoding {value:?} is not known")));
            }
            return Ok(State::Size);
        }
        if name.eq_ignore_ascii_case("content-length") {
            let left = value.parse().map_err(|_| bad(format!("{value:?} is no length")))?;
            state = State::Plain { left: Some(left) };
        }
    }
    Ok(state)
}

fn chunk_size(line: &[u8]) -> Result<usize, BadHttp> {
    let text = std::str::from_utf8(line).unwrap_or_default();
    let digits = text.split(';').next().unwrap_or_default().trim();
    usize::from_str_radix(digits, 16).map_err(|_| bad(format!("{digits:?} is no chunk size")))
}

/// A request for a stream of lines.
pub fn get(host: &str, target: &str) -> Vec<u8> {
    format!("GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").into_bytes()
}
