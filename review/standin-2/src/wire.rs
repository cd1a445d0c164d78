//! Version 3 of PostgreSQL's wire protocol, as far as the protocol page uses it.

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

pub fn error(code: &str, text: &str) -> Vec<u8> {
    message(
        b'E',
        format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes(),
    )
}

/// RowDescription of one binary column.
pub fn description() -> Vec<u8> {
    let mut body = vec![0, 1];
    body.extend(b"doc\0");
    body.extend([
        0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 255, 255, 255, 255, 255, 255, 0, 1,
    ]);
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

/// Reads messages from a connection.
pub struct Reader {
    pub stream: TcpStream,
    bytes: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader {
            stream,
            bytes: Vec::new(),
        }
    }

    fn fill(&mut self, wanted: usize) -> io::Result<()> {
        let mut chunk = [0; 64 << 10];
        while self.bytes.len() < wanted {
            let n = self.stream.read(&mut chunk)?;
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.bytes.extend_from_slice(&chunk[..n]);
        }
        Ok(())
    }

    /// The number of bytes that have arrived of a message that is not whole.
    pub fn partial(&self) -> usize {
        self.bytes.len()
    }

    /// A packet without a tag.
    pub fn packet(&mut self) -> io::Result<Vec<u8>> {
        self.fill(4)?;
        let length =
            u32::from_be_bytes([self.bytes[0], self.bytes[1], self.bytes[2], self.bytes[3]])
                as usize;
        self.fill(length)?;
        Ok(self.bytes.drain(..length).collect())
    }

    pub fn message(&mut self) -> io::Result<(u8, Vec<u8>)> {
        self.fill(5)?;
        let length =
            u32::from_be_bytes([self.bytes[1], self.bytes[2], self.bytes[3], self.bytes[4]])
                as usize;
        self.fill(1 + length)?;
        let raw: Vec<u8> = self.bytes.drain(..1 + length).collect();
        Ok((raw[0], raw[5..].to_vec()))
    }
}

/// The field `name` in a statement's comment.
pub fn field<'a>(statement: &'a str, name: &str) -> Option<&'a str> {
    let comment = statement.rsplit_once("/*")?.1.split_once("*/")?.0;
    comment
        .split(',')
        .find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))
}

/// The first quoted text of a statement: its key.
pub fn key(statement: &str) -> &str {
    statement.split('\'').nth(1).unwrap_or_default()
}

/// The SQLSTATE of an ErrorResponse's body.
pub fn code(body: &[u8]) -> String {
    let field = body
        .split(|b| *b == 0)
        .find(|field| field.first() == Some(&b'C'));
    field.map_or_else(String::new, |field| {
        String::from_utf8_lossy(&field[1..]).into_owned()
    })
}
