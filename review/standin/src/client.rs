//! A client: sends commands on one connection and reads their answers in order.

use crate::wire;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    Served(Vec<u8>),
    /// 53300 or 57P03.
    Refused(String),
    Failed(String),
    /// An empty query was answered.
    Empty,
}

pub struct Client {
    pub stream: TcpStream,
    reader: wire::Reader,
}

impl Client {
    pub fn connect(to: SocketAddr) -> io::Result<Client> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        stream.write_all(&wire::startup())?;
        let mut reader = wire::Reader::new(stream.try_clone()?);
        while reader.next()?.0 != b'Z' {}
        Ok(Client { stream, reader })
    }

    pub fn empty_query(&mut self) -> io::Result<()> {
        self.send("")?;
        match self.answer(Duration::from_secs(2))? {
            Answer::Empty => Ok(()),
            other => Err(io::Error::other(format!("{other:?}"))),
        }
    }

    pub fn send(&mut self, statement: &str) -> io::Result<()> {
        self.stream.write_all(&wire::query(statement))
    }

    /// Sends several commands at once.
    pub fn send_all(&mut self, statements: &[String]) -> io::Result<()> {
        let bytes: Vec<u8> = statements
            .iter()
            .flat_map(|text| wire::query(text))
            .collect();
        self.stream.write_all(&bytes)
    }

    /// Bytes of an answer that has begun to arrive.
    pub fn pending(&self) -> usize {
        self.reader.pending
    }

    /// The next answer, up to ReadyForQuery.
    pub fn answer(&mut self, within: Duration) -> io::Result<Answer> {
        let until = Instant::now() + within;
        let (mut value, mut answer) = (None, None);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(left))?;
            let (tag, body) = self.reader.next()?;
            match tag {
                b'D' => value = Some(body.get(6..).unwrap_or_default().to_vec()),
                b'C' => answer = value.take().map(Answer::Served),
                b'I' => answer = Some(Answer::Empty),
                b'E' => answer = Some(refusal_or_failure(&body)),
                b'Z' => return answer.ok_or_else(|| io::Error::other("an answer without content")),
                _ => {}
            }
        }
    }
}

fn refusal_or_failure(body: &[u8]) -> Answer {
    let text = String::from_utf8_lossy(body).into_owned();
    let code = text
        .split('\0')
        .find_map(|field| field.strip_prefix('C'))
        .unwrap_or_default()
        .to_owned();
    if matches!(code.as_str(), "53300" | "57P03") {
        Answer::Refused(code)
    } else {
        Answer::Failed(code)
    }
}
