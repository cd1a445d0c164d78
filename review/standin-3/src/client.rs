//! A client: one connection, with queries sent one at a time or many at once.

use crate::wire;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The final answer to a query, or the end of the connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    /// Code of the ErrorResponse.
    Error(String),
    Empty,
    /// The connection ended without a whole answer.
    Ended(String),
    /// Nothing came in the time given.
    Nothing,
}

impl Answer {
    pub fn brief(&self) -> String {
        match self {
            Answer::Served(value) => {
                let head = String::from_utf8_lossy(&value[..value.len().min(48)]).into_owned();
                format!(
                    "served {} bytes [{}]",
                    value.len(),
                    head.trim_end_matches('.')
                )
            }
            Answer::Error(code) => format!("error {code}"),
            Answer::Empty => "empty".into(),
            Answer::Ended(how) => format!("connection ended with no whole answer ({how})"),
            Answer::Nothing => "no answer".into(),
        }
    }
}

pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub fn connect(to: SocketAddr) -> io::Result<Client> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        stream.write_all(&wire::startup())?;
        loop {
            let (tag, _) = wire::read_message(&mut stream)?;
            match tag {
                b'Z' => return Ok(Client { stream }),
                b'E' => return Err(io::Error::other("turned away")),
                _ => {}
            }
        }
    }

    pub fn send(&mut self, statement: &str) -> io::Result<()> {
        self.stream.write_all(&wire::query(statement))
    }

    /// The next answer, waited for at most `patience`.
    pub fn answer(&mut self, patience: Duration) -> Answer {
        _ = self.stream.set_read_timeout(Some(patience));
        let mut value = None;
        let mut error = None;
        let mut empty = false;
        loop {
            match wire::read_message(&mut self.stream) {
                Ok((b'D', body)) => value = Some(body.get(6..).unwrap_or_default().to_vec()),
                Ok((b'E', body)) => error = Some(code(&body)),
                Ok((b'I', _)) => empty = true,
                Ok((b'Z', _)) => {
                    return match (error, value) {
                        (Some(code), _) => Answer::Error(code),
                        (None, Some(value)) => Answer::Served(value),
                        (None, None) if empty => Answer::Empty,
                        (None, None) => Answer::Ended("answer without a row".into()),
                    }
                }
                Ok(_) => {}
                Err(fault) => {
                    if let Some(code) = error {
                        return Answer::Error(code);
                    }
                    return match fault.kind() {
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Answer::Nothing,
                        kind => Answer::Ended(kind.to_string()),
                    };
                }
            }
        }
    }

    pub fn ask(&mut self, statement: &str, patience: Duration) -> Answer {
        match self.send(statement) {
            Ok(()) => self.answer(patience),
            Err(fault) => Answer::Ended(fault.to_string()),
        }
    }
}

fn code(body: &[u8]) -> String {
    body.split(|byte| *byte == 0)
        .find(|field| field.first() == Some(&b'C'))
        .map(|field| String::from_utf8_lossy(&field[1..]).into_owned())
        .unwrap_or_default()
}

/// A statement in the form of the protocol page. `more`: further fields of the comment.
pub fn read(key: &str, id: &str, class: &str, d: u64, more: &str) -> String {
    format!("SELECT doc FROM items WHERE id = '{key}' /* id={id},c={class},t=t1,d={d},cluster=0{more} */")
}

pub fn write(key: &str, id: &str, class: &str, d: u64) -> String {
    format!("INSERT INTO items (id, doc) VALUES ('{key}', '\\x9f03') RETURNING doc /* id={id},c={class},t=t1,d={d},cluster=0 */")
}
