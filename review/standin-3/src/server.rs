//! Record servers of one group: one primary, replicas that apply the log later, and reads that are answered from the
//! data that the server has.

use crate::record::{unix_ms, Record};
use crate::wire;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How far a replica has applied the log.
#[derive(Clone, Copy, Debug)]
pub enum Applies {
    /// All but the last so many milliseconds.
    Behind(u64),
    /// It stood at `stood` until `from`, and applies the log from then on, `rate` ms of log in each ms.
    CatchesUp { stood: u64, from: u64, rate: f64 },
}

#[derive(Clone, Copy)]
struct Member {
    applies: Applies,
    /// Takes requests and answers none.
    hangs: bool,
    /// Highest position told or used; positions never decrease.
    position: u64,
}

struct State {
    primary: usize,
    members: Vec<Member>,
    /// Commits by key: position and number.
    commits: BTreeMap<String, Vec<(u64, u64)>>,
    last_commit: u64,
    number: u64,
    /// Ids of the statements that have come whole.
    got: BTreeSet<String>,
    /// Reads that have run, by id.
    reads: BTreeMap<String, RanRead>,
    /// When servers told in an answer to a read that they are replicas.
    told_replica: Vec<(u64, usize)>,
}

/// A read that has run.
#[derive(Clone, Copy, Debug)]
pub struct RanRead {
    pub server: usize,
    pub position: u64,
}

/// Settings of all members.
#[derive(Clone, Copy)]
pub struct Kind {
    pub read_ms: u64,
    pub write_ms: u64,
    /// Length of the values of reads.
    pub value: usize,
    /// Answers other than to writes tell the position.
    pub tells_position: bool,
    /// A replica turns away reads that it is too far behind for.
    pub rejects: bool,
    /// Length of the values of reads whose key begins with "large", and the number of bytes after which the server's
    /// connection is reset.
    pub large: usize,
    pub reset_after: Option<usize>,
}

#[derive(Clone)]
pub struct Group {
    state: Arc<Mutex<State>>,
    pub record: Record,
    pub kind: Kind,
    pub addresses: Vec<SocketAddr>,
}

impl Group {
    pub fn start(members: usize, kind: Kind, record: Record) -> Group {
        let listeners: Vec<TcpListener> = (0..members)
            .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port"))
            .collect();
        let addresses = listeners.iter().map(|l| l.local_addr().unwrap()).collect();
        let member = Member {
            applies: Applies::Behind(8),
            hangs: false,
            position: 0,
        };
        let group = Group {
            state: Arc::new(Mutex::new(State {
                primary: 0,
                members: vec![member; members],
                commits: BTreeMap::new(),
                last_commit: 0,
                number: 0,
                got: BTreeSet::new(),
                reads: BTreeMap::new(),
                told_replica: Vec::new(),
            })),
            record,
            kind,
            addresses,
        };
        for (number, listener) in listeners.into_iter().enumerate() {
            let group = group.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let group = group.clone();
                    thread::spawn(move || group.serve(number, stream));
                }
            });
        }
        group
    }

    pub fn name(number: usize) -> String {
        format!("s-{number}")
    }

    pub fn set_hangs(&self, number: usize, hangs: bool) {
        self.state.lock().unwrap().members[number].hangs = hangs;
        self.record
            .note(format!("server {}: hangs: {hangs}", Group::name(number)));
    }

    pub fn set_applies(&self, number: usize, applies: Applies) {
        self.state.lock().unwrap().members[number].applies = applies;
        self.record
            .note(format!("server {}: {applies:?}", Group::name(number)));
    }

    /// The primary stops being it. It stands at its present position.
    pub fn promote(&self, number: usize) {
        let mut state = self.state.lock().unwrap();
        let old = state.primary;
        let stood = state.position(old);
        state.members[old].position = stood;
        state.primary = number;
        drop(state);
        let (old, new) = (Group::name(old), Group::name(number));
        self.record
            .note(format!("group: {new} is the primary in place of {old}"));
    }

    pub fn position(&self, number: usize) -> u64 {
        self.state.lock().unwrap().position(number)
    }

    /// Whether a record server has got the request with this id.
    pub fn has_got(&self, id: &str) -> bool {
        self.state.lock().unwrap().got.contains(id)
    }

    pub fn last_commit(&self, key: &str) -> Option<u64> {
        let state = self.state.lock().unwrap();
        state.commits.get(key)?.last().map(|(commit, _)| *commit)
    }

    pub fn ran_read(&self, id: &str) -> Option<RanRead> {
        self.state.lock().unwrap().reads.get(id).copied()
    }

    /// Whether a server had written an answer before `before` that told that it is a replica.
    pub fn told_replica(&self, server: usize, before: u64) -> bool {
        let state = self.state.lock().unwrap();
        let mut told = state.told_replica.iter();
        told.any(|(at, by)| *by == server && *at <= before)
    }

    fn hangs(&self, number: usize) -> bool {
        self.state.lock().unwrap().members[number].hangs
    }

    fn wait_while_hung(&self, number: usize) {
        while self.hangs(number) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn serve(&self, number: usize, stream: TcpStream) {
        _ = self.converse(number, stream);
    }

    fn converse(&self, number: usize, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        wire::read_startup(&mut stream)?;
        self.wait_while_hung(number);
        let mut greeting = wire::message(b'R', &[0; 4]);
        greeting.extend(wire::message(b'K', &[0; 8]));
        greeting.extend(wire::ready());
        stream.write_all(&greeting)?;
        loop {
            let (tag, body) = wire::read_message(&mut stream)?;
            if tag != b'Q' {
                return Ok(());
            }
            let text = String::from_utf8_lossy(&body[..body.len().saturating_sub(1)]).into_owned();
            self.wait_while_hung(number);
            if text.trim().is_empty() {
                let mut answer = wire::message(b'I', b"");
                answer.extend(wire::ready());
                stream.write_all(&answer)?;
            } else if text == "SHOW load" {
                stream.write_all(&self.load(number))?;
            } else {
                let (answer, reset_after) = self.run(number, &text);
                match reset_after {
                    Some(bytes) => {
                        stream.write_all(&answer[..bytes.min(answer.len())])?;
                        thread::sleep(Duration::from_millis(100));
                        self.record.note(format!(
                            "server {}: the connection breaks after {bytes} bytes of the answer to {}",
                            Group::name(number),
                            wire::field(&text, "id").unwrap_or("?")
                        ));
                        return Ok(());
                    }
                    None => stream.write_all(&answer)?,
                }
                let mut state = self.state.lock().unwrap();
                // Only reads of the proxy under test have such ids.
                let is_read = wire::field(&text, "id").is_some_and(|id| id.starts_with("read-"));
                if state.primary != number && is_read {
                    state.told_replica.push((unix_ms(), number));
                }
                drop(state);
                self.record.note(format!(
                    "server {}: answered {}",
                    Group::name(number),
                    wire::field(&text, "id").unwrap_or("?")
                ));
            }
        }
    }

    fn load(&self, number: usize) -> Vec<u8> {
        let mut state = self.state.lock().unwrap();
        let is_primary = u8::from(state.primary == number);
        let position = state.position(number);
        drop(state);
        let seconds = position as f64 / 1e3;
        let text = format!("x0={seconds:.3},x1={is_primary},backlog=0");
        self.record
            .note(format!("server {}: probed: {text}", Group::name(number)));
        let mut answer = wire::row(text.as_bytes(), "SHOW");
        answer.extend(wire::ready());
        answer
    }

    /// Runs a statement. Returns the answer, and after how many bytes the connection breaks, if it does.
    fn run(&self, number: usize, text: &str) -> (Vec<u8>, Option<usize>) {
        let id = wire::field(text, "id").unwrap_or("?").to_owned();
        let name = Group::name(number);
        let key = wire::key(text).to_owned();
        let is_write = text.starts_with("INSERT");
        self.record.note(format!(
            "server {name}: got {} {id} d={}",
            if is_write { "write" } else { "read" },
            wire::field(text, "d").unwrap_or("?")
        ));
        self.state.lock().unwrap().got.insert(id.clone());
        let work = if is_write {
            self.kind.write_ms
        } else {
            self.kind.read_ms
        };
        let is_primary = || self.state.lock().unwrap().primary == number;
        let role = |primary: bool| if primary { "primary" } else { "replica" };
        let end = |mut answer: Vec<u8>, primary: bool, position: u64| {
            answer.extend(wire::parameter("role", role(primary)));
            if is_write && primary || self.kind.tells_position {
                answer.extend(wire::parameter("applied_ms", &position.to_string()));
            }
            answer.extend(wire::ready());
            answer
        };
        if is_write && !is_primary() {
            self.record
                .note(format!("server {name}: turned {id} away: no primary"));
            let answer = wire::error("25006", "not the primary");
            return (end(answer, false, self.position(number)), None);
        }
        thread::sleep(Duration::from_millis(work));
        let mut state = self.state.lock().unwrap();
        let primary = state.primary == number;
        if is_write {
            let commit = unix_ms().max(state.last_commit + 1);
            state.last_commit = commit;
            state.number += 1;
            let version = state.number;
            state
                .commits
                .entry(key.clone())
                .or_default()
                .push((commit, version));
            drop(state);
            self.record.note(format!(
                "server {name}: ran write {id} of {key}: commit {commit}, version {version}"
            ));
            let value = format!("{key} version {version} commit {commit} by {name}");
            return (
                end(wire::row(value.as_bytes(), "INSERT 0 1"), primary, commit),
                None,
            );
        }
        let position = state.position(number);
        let after: u64 = wire::field(text, "after")
            .and_then(|a| a.parse().ok())
            .unwrap_or(0);
        if self.kind.rejects && !primary && position < after {
            drop(state);
            self.record
                .note(format!("server {name}: turned {id} away: too far behind"));
            return (
                end(wire::error("72000", "too far behind"), false, position),
                None,
            );
        }
        let version = state.commits.get(&key).and_then(|commits| {
            let seen = commits.iter().filter(|(commit, _)| *commit <= position);
            seen.map(|(_, version)| *version).max()
        });
        let ran = RanRead {
            server: number,
            position,
        };
        state.reads.insert(id.clone(), ran);
        drop(state);
        let is_large = key.starts_with("large");
        self.record.note(format!(
            "server {name}: ran read {id} of {key} as {}: position {position}, version {}",
            role(primary),
            version.unwrap_or(0)
        ));
        let mut value = format!("{key} version {} by {name} ", version.unwrap_or(0)).into_bytes();
        let length = if is_large {
            self.kind.large
        } else {
            self.kind.value
        };
        value.resize(length.max(value.len()), b'.');
        let answer = end(wire::row(&value, "SELECT 1"), primary, position);
        (answer, self.kind.reset_after.filter(|_| is_large))
    }
}

impl State {
    fn position(&mut self, number: usize) -> u64 {
        let now = unix_ms();
        let position = if self.primary == number {
            now
        } else {
            match self.members[number].applies {
                Applies::Behind(ms) => now.saturating_sub(ms),
                Applies::CatchesUp { stood, from, rate } => {
                    let applied = stood + (now.saturating_sub(from) as f64 * rate) as u64;
                    applied.min(now.saturating_sub(8))
                }
            }
        };
        let member = &mut self.members[number];
        member.position = member.position.max(position);
        member.position
    }
}
