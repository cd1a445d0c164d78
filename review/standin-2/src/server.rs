//! Record servers: a group of one primary and its replicas.
//!
//! A replica has applied every commit that is older than its lag. It answers a read from what it has.

use crate::platform::SHORT_WINDOW_MS;
use crate::record::{unix_ms, Record};
use crate::wire::{self, Reader};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A commit of the group's log.
#[derive(Clone)]
pub struct Commit {
    pub at_ms: u64,
    pub key: String,
    /// The idempotency key, if the write carried one.
    pub repeat_key: Option<String>,
    pub value: Vec<u8>,
    /// When the primary wrote the answer.
    pub answered_ms: Option<u64>,
}

pub type Log = Arc<Mutex<Vec<Commit>>>;

/// Ids of requests whose answer the proxy has cut off.
pub type CutOff = Arc<Mutex<Vec<String>>>;

/// How a server answers a request.
pub enum Reply {
    /// After its work, with the usual answer.
    Usual(Duration),
    /// The given pieces, each after a pause.
    Pieces(Vec<(Duration, Vec<u8>)>),
    /// After its work as usual, but the connection ends after the pause, in place of the answer.
    EndAfterCommit(Duration, Duration),
}

pub struct Request {
    pub is_write: bool,
    pub id: String,
    pub key: String,
    pub text: String,
}

pub type Behaviour = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

pub struct Server {
    pub name: &'static str,
    pub is_primary: bool,
    pub lag_ms: u64,
    pub log: Log,
    pub record: Record,
    pub behaviour: Behaviour,
    pub cut_off: CutOff,
}

impl Server {
    /// Listens on a free port of loopback and serves on threads.
    pub fn start(self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let server = Arc::new(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(address)
    }

    fn position(&self) -> u64 {
        let now = unix_ms();
        if self.is_primary {
            now
        } else {
            now - self.lag_ms
        }
    }

    fn role(&self) -> Vec<u8> {
        let role = if self.is_primary {
            "primary"
        } else {
            "replica"
        };
        wire::parameter("role", role)
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream.try_clone()?);
        reader.packet()?;
        let mut greeting = wire::message(b'R', &[0; 4]);
        greeting.extend(wire::ready());
        stream.write_all(&greeting)?;
        loop {
            let (tag, body) = reader.message()?;
            if tag != b'Q' {
                return Ok(());
            }
            let text = String::from_utf8_lossy(&body)
                .trim_end_matches('\0')
                .to_owned();
            if !self.handle(&text, &mut stream)? {
                return Ok(());
            }
        }
    }

    fn handle(&self, text: &str, stream: &mut TcpStream) -> io::Result<bool> {
        let mut out = Vec::new();
        if text.trim().is_empty() {
            out.extend(wire::message(b'I', &[]));
            out.extend(wire::ready());
            stream.write_all(&out)?;
            return Ok(true);
        }
        if text == "SELECT 1" || text == "SHOW load" {
            let report = format!(
                "x0={}.{:03},x1={},queue=0",
                self.position() / 1000,
                self.position() % 1000,
                u8::from(self.is_primary)
            );
            self.record
                .line(format!("{} probe {text:?} -> {report}", self.name));
            out.extend(wire::description());
            out.extend(wire::row(report.as_bytes()));
            out.extend(wire::complete("SELECT 1"));
            out.extend(wire::ready());
            stream.write_all(&out)?;
            return Ok(true);
        }
        let request = Request {
            is_write: text.starts_with("INSERT"),
            id: wire::field(text, "id").unwrap_or_default().to_owned(),
            key: wire::key(text).to_owned(),
            text: text.to_owned(),
        };
        let told = wire::field(text, "d").unwrap_or_default();
        let kind = if request.is_write { "write" } else { "read" };
        self.record
            .line(format!("{} gets {kind} {} d={told}", self.name, request.id));
        if request.is_write && !self.is_primary {
            out.extend(wire::error("25006", "no primary"));
            out.extend(self.role());
            out.extend(wire::ready());
            stream.write_all(&out)?;
            return Ok(true);
        }
        match (self.behaviour)(&request) {
            Reply::Usual(work) => {
                thread::sleep(work);
                let answer = self.usual_answer(&request);
                stream.write_all(&answer)?;
                if request.is_write {
                    self.note_answered(&request.key);
                }
                self.record
                    .line(format!("{} has answered {}", self.name, request.id));
                Ok(true)
            }
            Reply::Pieces(pieces) => self.write_pieces(&request, pieces, stream),
            Reply::EndAfterCommit(work, pause) => {
                thread::sleep(work);
                _ = self.usual_answer(&request);
                thread::sleep(pause);
                self.record.line(format!(
                    "{} ends the connection of {}",
                    self.name, request.id
                ));
                _ = stream.shutdown(Shutdown::Both);
                Ok(false)
            }
        }
    }

    fn write_pieces(
        &self,
        request: &Request,
        pieces: Vec<(Duration, Vec<u8>)>,
        stream: &mut TcpStream,
    ) -> io::Result<bool> {
        let (count, mut written) = (pieces.len(), 0);
        for (number, (pause, piece)) in pieces.into_iter().enumerate() {
            thread::sleep(pause);
            if let Err(error) = self
                .still_open(stream)
                .and_then(|()| stream.write_all(&piece))
            {
                self.record.line(format!(
                    "{} CUT OFF after {written} bytes, piece {number} of {count}, of the answer to {}: {error}",
                    self.name, request.id
                ));
                let mut cut_off = self.cut_off.lock().unwrap_or_else(|e| e.into_inner());
                cut_off.push(request.id.clone());
                return Err(error);
            }
            written += piece.len();
        }
        self.record.line(format!(
            "{} has answered {} with {written} bytes",
            self.name, request.id
        ));
        Ok(true)
    }

    /// An error if the peer has closed the connection.
    fn still_open(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nonblocking(true)?;
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false)?;
        match peeked {
            Ok(0) => Err(io::Error::other("the proxy has closed the connection")),
            Err(error) if error.kind() != io::ErrorKind::WouldBlock => Err(error),
            _ => Ok(()),
        }
    }

    /// The latest value of the key that this server has, or `none`.
    fn value(&self, key: &str) -> Vec<u8> {
        let position = self.position();
        let log = self.log.lock().unwrap_or_else(|e| e.into_inner());
        let known = log
            .iter()
            .rev()
            .find(|c| c.key == key && c.at_ms <= position);
        known.map_or(b"none".to_vec(), |commit| commit.value.clone())
    }

    fn note_answered(&self, key: &str) {
        let mut log = self.log.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(commit) = log.iter_mut().rev().find(|c| c.key == key) {
            commit.answered_ms = Some(unix_ms());
        }
    }

    fn usual_answer(&self, request: &Request) -> Vec<u8> {
        let mut out = wire::description();
        if request.is_write {
            let digits = request
                .text
                .split("'\\x")
                .nth(1)
                .and_then(|t| t.split('\'').next());
            let value = digits.unwrap_or_default().as_bytes().to_vec();
            let commit_ms = unix_ms() + 1;
            let repeat_key = wire::field(&request.text, "k").map(str::to_owned);
            let mut log = self.log.lock().unwrap_or_else(|e| e.into_inner());
            let is_repeat = repeat_key.is_some()
                && log.iter().any(|commit| {
                    commit.repeat_key == repeat_key && commit_ms < commit.at_ms + SHORT_WINDOW_MS
                });
            if !is_repeat {
                log.push(Commit {
                    at_ms: commit_ms,
                    key: request.key.clone(),
                    repeat_key,
                    value: value.clone(),
                    answered_ms: None,
                });
            }
            drop(log);
            let what = if is_repeat {
                "dropped the repeat"
            } else {
                "committed"
            };
            self.record
                .line(format!("{} has {what} {}", self.name, request.id));
            out.extend(wire::row(&value));
            out.extend(wire::complete("INSERT 0 1"));
            out.extend(self.role());
            out.extend(wire::parameter("applied_ms", &commit_ms.to_string()));
        } else {
            out.extend(wire::row(&self.value(&request.key)));
            out.extend(wire::complete("SELECT 1"));
            out.extend(self.role());
            out.extend(wire::parameter("applied_ms", &self.position().to_string()));
        }
        out.extend(wire::ready());
        out
    }
}
