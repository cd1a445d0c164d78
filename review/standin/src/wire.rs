//! Messages of version 3 of PostgreSQL's wire protocol, as far as clients and record servers need them.

use std::io::{self, Read};
use std::net::TcpStream;

pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

pub fn startup() -> Vec<u8> {
    let mut body = (3u32 << 16).to_be_bytes().to_vec();
    body.extend(b"user\0app\0database\0shop\0\0");
    let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
    out.extend(body);
    out
}

pub fn query(text: &str) -> Vec<u8> {
    let mut body = text.as_bytes().to_vec();
    body.push(0);
    message(b'Q', &body)
}

pub fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

pub fn greeting() -> Vec<u8> {
    let mut out = message(b'R', &[0; 4]);
    out.extend(parameter("server_version", "16.0"));
    out.extend(message(b'K', &[0; 8]));
    out.extend(ready());
    out
}

pub fn error(code: &str, text: &str) -> Vec<u8> {
    message(
        b'E',
        format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes(),
    )
}

pub fn row_description() -> Vec<u8> {
    let mut body = vec![0, 1];
    body.extend(b"doc\0");
    body.extend([0; 4]); // table
    body.extend([0; 2]); // column
    body.extend(17u32.to_be_bytes()); // bytea
    body.extend((-1i16).to_be_bytes());
    body.extend((-1i32).to_be_bytes());
    body.extend(1i16.to_be_bytes()); // binary
    message(b'T', &body)
}

pub fn row(value: &[u8]) -> Vec<u8> {
    let mut body = vec![0, 1];
    body.extend((value.len() as u32).to_be_bytes());
    body.extend(value);
    message(b'D', &body)
}

pub fn complete(tag: &str) -> Vec<u8> {
    message(b'C', format!("{tag}\0").as_bytes())
}

/// Reads messages from a blocking connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Bytes of the incomplete message that have arrived.
    pub pending: usize,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader {
            stream,
            buffer: Vec::new(),
            pending: 0,
        }
    }

    fn more(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16 << 10];
        let n = self.stream.read(&mut chunk)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&chunk[..n]);
        self.pending = self.buffer.len();
        Ok(())
    }

    /// The next message with a tag.
    pub fn next(&mut self) -> io::Result<(u8, Vec<u8>)> {
        loop {
            if self.buffer.len() >= 5 {
                let length = u32::from_be_bytes(self.buffer[1..5].try_into().unwrap()) as usize;
                if self.buffer.len() > length {
                    let tag = self.buffer[0];
                    let body = self.buffer[5..=length].to_vec();
                    self.buffer.drain(..=length);
                    self.pending = self.buffer.len();
                    return Ok((tag, body));
                }
            }
            self.more()?;
        }
    }

    /// The first packet of a session, which has no tag.
    pub fn startup(&mut self) -> io::Result<Vec<u8>> {
        loop {
            if self.buffer.len() >= 4 {
                let length = u32::from_be_bytes(self.buffer[..4].try_into().unwrap()) as usize;
                if self.buffer.len() >= length {
                    return Ok(self.buffer.drain(..length).collect());
                }
            }
            self.more()?;
        }
    }
}

/// The value of `name=` in a statement's comment.
pub fn field<'a>(statement: &'a str, name: &str) -> Option<&'a str> {
    let comment = statement.rsplit_once("/*")?.1.split("*/").next()?;
    comment
        .split(',')
        .filter_map(|pair| pair.trim().split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
