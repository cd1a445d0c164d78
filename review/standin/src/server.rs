//! A record server: answers reads and writes of one group, as the protocol page describes.

use crate::record::{unix_ms, Record};
use crate::{sys, wire};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What the server does with a statement; decided by the case.
#[derive(Clone, Copy)]
pub struct Reply {
    /// Time of work before the answer.
    pub work: Duration,
    /// Length of the value in bytes.
    pub value: usize,
    /// Bytes written at once of a large value, and the pause between two such pieces.
    pub piece: (usize, Duration),
    pub fate: Fate,
}

impl Default for Reply {
    fn default() -> Reply {
        Reply {
            work: Duration::from_millis(50),
            value: 200,
            piece: (usize::MAX, Duration::ZERO),
            fate: Fate::Answer,
        }
    }
}

/// How an exchange ends.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Answer,
    /// The answer is written a second time, right behind itself.
    Copy,
}

/// Pause between an answer and its second copy.
const COPY_GAP: Duration = Duration::from_micros(100);

type Plan = dyn Fn(&str) -> Reply + Send + Sync;

pub struct Inner {
    pub name: String,
    pub address: SocketAddr,
    primary: bool,
    /// How far a replica is behind, in milliseconds.
    lag_ms: AtomicU64,
    /// The process runs.
    alive: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    listener: TcpListener,
    plan: Box<Plan>,
    record: Record,
    /// Identifiers of the statements received, in order, with the Unix time.
    pub received: Mutex<Vec<(u64, String)>>,
    /// Identifiers of the statements that have run.
    pub run: Mutex<Vec<String>>,
}

#[derive(Clone)]
pub struct Server(pub Arc<Inner>);

impl Server {
    pub fn start(
        name: &str,
        primary: bool,
        record: &Record,
        plan: impl Fn(&str) -> Reply + Send + Sync + 'static,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Server(Arc::new(Inner {
            name: name.into(),
            address: listener.local_addr()?,
            primary,
            lag_ms: AtomicU64::new(10),
            alive: AtomicBool::new(true),
            connections: Mutex::default(),
            listener: listener.try_clone()?,
            plan: Box::new(plan),
            record: record.clone(),
            received: Mutex::default(),
            run: Mutex::default(),
        }));
        let own = server.clone();
        thread::spawn(move || own.accept(listener));
        Ok(server)
    }

    /// Sets how far the replica is behind.
    pub fn set_lag(&self, ms: u64) {
        self.0.lag_ms.store(ms, Ordering::SeqCst);
    }

    /// The process dies: its connections are reset and new ones refused.
    pub fn die(&self) {
        self.0.alive.store(false, Ordering::SeqCst);
        sys::stop_listening(&self.0.listener);
        self.0.record.line(format!("server {} dies", self.0.name));
        for stream in self.0.connections.lock().unwrap().drain(..) {
            sys::reset(&stream);
            _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn alive(&self) -> bool {
        self.0.alive.load(Ordering::SeqCst)
    }

    fn accept(&self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept() {
            _ = stream.set_nodelay(true);
            if let Ok(copy) = stream.try_clone() {
                self.0.connections.lock().unwrap().push(copy);
            }
            let own = self.clone();
            thread::spawn(move || {
                _ = own.converse(stream);
            });
        }
    }

    fn is_primary(&self) -> bool {
        self.0.primary
    }

    fn position_ms(&self) -> u64 {
        if self.is_primary() {
            unix_ms()
        } else {
            unix_ms() - self.0.lag_ms.load(Ordering::SeqCst)
        }
    }

    fn converse(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut reader = wire::Reader::new(stream.try_clone()?);
        reader.startup()?;
        stream.write_all(&wire::greeting())?;
        loop {
            let (tag, body) = reader.next()?;
            if tag != b'Q' {
                return Ok(());
            }
            let text = String::from_utf8_lossy(&body[..body.len().saturating_sub(1)]).into_owned();
            if !self.alive() {
                return Ok(());
            }
            self.answer(&text, &mut stream)?;
        }
    }

    /// Writes the answer a second time, right behind the first, if nothing else is waiting on the connection.
    fn copy(&self, id: &str, out: &[u8], stream: &mut TcpStream) -> io::Result<()> {
        thread::sleep(COPY_GAP);
        stream.set_nonblocking(true)?;
        let waiting = stream.peek(&mut [0]);
        stream.set_nonblocking(false)?;
        if matches!(&waiting, Err(error) if error.kind() == io::ErrorKind::WouldBlock) {
            stream.write_all(out)?;
            let name = &self.0.name;
            self.0.record.line(format!(
                "server {name} has written the answer to id={id} a second time"
            ));
        }
        Ok(())
    }

    fn state(&self, position: u64) -> Vec<u8> {
        let role = if self.is_primary() {
            "primary"
        } else {
            "replica"
        };
        let mut out = wire::parameter("role", role);
        out.extend(wire::parameter("applied_ms", &position.to_string()));
        out
    }

    fn answer(&self, text: &str, stream: &mut TcpStream) -> io::Result<()> {
        if text.trim_start().starts_with("SHOW") {
            let role = u8::from(self.is_primary());
            let seconds = self.position_ms() as f64 / 1000.0;
            let report = format!("x0={seconds:.3},x1={role},backlog=0");
            return stream.write_all(&served(
                report.as_bytes(),
                "SHOW",
                self.state(self.position_ms()),
            ));
        }
        let Some(id) = wire::field(text, "id") else {
            return stream.write_all(&[wire::error("08P01", "no id"), wire::ready()].concat());
        };
        let class = wire::field(text, "c").unwrap_or("?");
        let record = &self.0.record;
        let name = &self.0.name;
        record.line(format!(
            "server {name} gets id={id} c={class} d={}",
            wire::field(text, "d").unwrap_or("?")
        ));
        self.0.received.lock().unwrap().push((unix_ms(), id.into()));
        let is_write = text.trim_start().starts_with("INSERT");
        if is_write && !self.is_primary() {
            let out = [
                wire::error("25006", "no primary"),
                self.state(self.position_ms()),
                wire::ready(),
            ];
            return stream.write_all(&out.concat());
        }
        let needed: u64 = wire::field(text, "after")
            .and_then(|a| a.parse().ok())
            .unwrap_or(0);
        if !is_write && needed > self.position_ms() {
            let out = [
                wire::error("72000", "too far behind"),
                self.state(self.position_ms()),
                wire::ready(),
            ];
            return stream.write_all(&out.concat());
        }
        let reply = (self.0.plan)(text);
        thread::sleep(reply.work);
        if !self.alive() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        self.0.run.lock().unwrap().push(id.into());
        record.line(format!("server {name} has run id={id}"));
        let value = value_for(id, reply.value);
        let tag = if is_write { "INSERT 0 1" } else { "SELECT 1" };
        let out = served(&value, tag, self.state(self.position_ms()));
        for piece in out.chunks(reply.piece.0.min(out.len()).max(1)) {
            if !self.alive() {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            stream.write_all(piece)?;
            if !reply.piece.1.is_zero() {
                thread::sleep(reply.piece.1);
            }
        }
        record.line(format!(
            "server {name} has answered id={id}, {} bytes",
            value.len()
        ));
        if reply.fate == Fate::Copy {
            self.copy(id, &out, stream)?;
        }
        Ok(())
    }
}

fn served(value: &[u8], tag: &str, state: Vec<u8>) -> Vec<u8> {
    [
        wire::row_description(),
        wire::row(value),
        wire::complete(tag),
        state,
        wire::ready(),
    ]
    .concat()
}

/// The value that a record server makes for a request: the request's id, repeated.
pub fn value_for(id: &str, length: usize) -> Vec<u8> {
    id.bytes().chain([b'.']).cycle().take(length).collect()
}
