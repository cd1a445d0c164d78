//! A client: one connection to a proxy.

use crate::wire::{self, Reader};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// What a client got for one command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Served(Vec<u8>),
    /// 53300 or 57P03.
    Refused(String),
    Failed(String),
    Empty,
    /// The connection ended or fell silent, with this many bytes of an answer.
    Nothing(String),
}

impl Answer {
    pub fn text(&self) -> String {
        match self {
            Answer::Served(value) if value.len() <= 80 => {
                format!("served {:?}", String::from_utf8_lossy(value))
            }
            Answer::Served(value) => format!("served {} bytes", value.len()),
            Answer::Refused(code) => format!("refused {code}"),
            Answer::Failed(code) => format!("failed {code}"),
            Answer::Empty => "empty".into(),
            Answer::Nothing(why) => format!("nothing ({why})"),
        }
    }
}

pub struct Client {
    pub reader: Reader,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        stream.set_write_timeout(Some(Duration::from_secs(10)))?;
        stream.write_all(&wire::startup())?;
        let mut reader = Reader::new(stream);
        while reader.message()?.0 != b'Z' {}
        Ok(Client { reader })
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.reader.stream.write_all(&wire::query(text))
    }

    /// Reads the next answer, up to ReadyForQuery.
    pub fn answer(&mut self) -> Answer {
        let mut value = None;
        let mut answer = None;
        loop {
            let (tag, body) = match self.reader.message() {
                Ok(message) => message,
                Err(error) => {
                    // A fatal error needs no ReadyForQuery.
                    if let Some(answer @ (Answer::Refused(_) | Answer::Failed(_))) = answer {
                        return answer;
                    }
                    let partial = self.reader.partial();
                    return Answer::Nothing(format!("{error}, {partial} bytes of a message"));
                }
            };
            match tag {
                b'D' if body.len() >= 6 => value = Some(body[6..].to_vec()),
                b'C' => answer = value.take().map(Answer::Served),
                b'I' => answer = Some(Answer::Empty),
                b'E' => {
                    let code = wire::code(&body);
                    answer = Some(if code == "53300" || code == "57P03" {
                        Answer::Refused(code)
                    } else {
                        Answer::Failed(code)
                    });
                }
                b'Z' => return answer.unwrap_or(Answer::Nothing("no answer before Z".into())),
                _ => {}
            }
        }
    }

    pub fn ask(&mut self, text: &str) -> Answer {
        match self.send(text) {
            Ok(()) => self.answer(),
            Err(error) => Answer::Nothing(error.to_string()),
        }
    }
}

/// The statement of a read.
pub fn read(key: &str, id: &str, class: &str, tenant: &str, wait_ms: u64, group: u32) -> String {
    format!("SELECT doc FROM items WHERE id = '{key}' /* id={id},c={class},t={tenant},d={wait_ms},cluster={group} */")
}

/// The statement of a write; `value` in hexadecimal digits.
pub fn write(
    key: &str,
    value: &str,
    id: &str,
    class: &str,
    tenant: &str,
    wait_ms: u64,
    group: u32,
) -> String {
    format!("INSERT INTO items (id, doc) VALUES ('{key}', '\\x{value}') RETURNING doc /* id={id},c={class},t={tenant},d={wait_ms},cluster={group} */")
}
