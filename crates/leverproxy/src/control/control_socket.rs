//! The operators' control socket: a Unix socket that only its owner may use. A connection carries one command line and its
//! answer of one or more lines.

use crate::cluster::rollout::RolloutCommand;
use crate::event_loop::listener;
use crate::event_loop::reactor::{Interest, Reactor};
use crate::event_loop::slab::{Key, Slab};
use crate::event_loop::stream::{ReadStatus, Stream};
use crate::event_loop::token::Token;
use std::io;
use std::os::fd::OwnedFd;
use std::os::unix::fs::MetadataExt;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Maximum concurrent connections; further ones are answered with an error.
const MAX_CONNECTIONS: usize = 4;
/// Longest command, in bytes.
const LINE_LIMIT: usize = 128;
/// Age at which a connection is closed, whatever its state.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
const USAGE: &str = "error: the words are drain, undrain, status, sites (NAME) and rollout (propose HASH, resume HASH, halt, return, status)\n";

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Take this proxy out of service at its balancers.
    Drain,
    /// Bring this proxy back into service.
    Undrain,
    /// Print the proxy's state.
    Status,
    /// Print the table of all sites, or of the named site.
    Sites(Option<String>),
    /// A command for rollouts.
    Rollout(RolloutCommand),
}

/// The control socket's listener and connections. Dropping it removes the socket file.
pub struct ControlSocket {
    listener: OwnedFd,
    path: PathBuf,
    /// Inode of this process's socket, since another process may have replaced the file.
    inode: u64,
    connections: Slab<OperatorConnection>,
}

struct OperatorConnection {
    stream: Stream,
    accepted_at: Instant,
    is_answered: bool,
}

impl ControlSocket {
    /// Listens at `path`, and replaces a stale socket of a process that has ended. `new_process`: also replace the socket of
    /// the old process in a hot restart.
    ///
    /// # Errors
    /// Another proxy listens at `path`, or the path cannot be used.
    pub fn listen(path: &Path, new_process: bool, reactor: &Reactor) -> io::Result<ControlSocket> {
        if !new_process && UnixStream::connect(path).is_ok() {
            return Err(io::Error::new(
                io::ErrorKind::AddrInUse,
                "another proxy listens on the control socket",
            ));
        }
        let (listener, inode) = bind(path, reactor)?;
        Ok(ControlSocket {
            listener,
            path: path.to_owned(),
            inode,
            connections: Slab::default(),
        })
    }

    /// Listens again after a new process that had replaced the socket has ended.
    pub fn listen_again(&mut self, reactor: &Reactor) {
        if UnixStream::connect(&self.path).is_ok() {
            return;
        }
        match bind(&self.path, reactor) {
            Ok((listener, inode)) => (self.listener, self.inode) = (listener, inode),
            Err(error) => {
                let path = self.path.display();
                log::warn!(
                    "control: the control socket {path} cannot be opened again: {error}. Send SIGTERM to drain, or restart the proxy."
                );
            }
        }
    }

    /// Accepts pending connections, up to the limit of one event.
    pub fn accept(&mut self, now: Instant, reactor: &Reactor) {
        let token = Token::ControlSocketListener;
        for _ in 0..listener::MAX_ACCEPTS_PER_EVENT {
            let Ok((mut stream, _)) = listener::accept_or_pause(&self.listener, token, reactor)
            else {
                return;
            };
            if self.connections.len() >= MAX_CONNECTIONS {
                stream.push(b"error: too many at once\n");
                _ = stream.flush();
                continue;
            }
            self.add_connection(stream, now, reactor);
        }
        listener::continue_later(token, reactor);
    }

    fn add_connection(&mut self, stream: Stream, now: Instant, reactor: &Reactor) {
        let key = self.connections.insert(OperatorConnection {
            stream,
            accepted_at: now,
            is_answered: false,
        });
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let token = Token::ControlSocket(key);
        let watched = connection.stream.watch(reactor, token, Interest::READ);
        if watched.is_err() {
            self.connections.remove(key);
        }
    }

    /// Reads from a ready connection. Returns a complete command and the connection that waits for its answer. Unknown
    /// commands are answered here.
    pub fn read_command(&mut self, key: Key, reactor: &Reactor) -> Option<(Key, OperatorCommand)> {
        let connection = self.connections.get_mut(key)?;
        let filled = connection.stream.fill(LINE_LIMIT);
        let input = connection.stream.input.unused();
        let Some(line) = first_line(input) else {
            if filled == ReadStatus::Ended || input.len() >= LINE_LIMIT {
                self.connections.remove(key);
            } else {
                let token = Token::ControlSocket(key);
                // If watching fails, the connection is closed once its time limit has passed.
                _ = connection.stream.watch(reactor, token, Interest::READ);
            }
            return None;
        };
        let command = parse_command(line);
        if connection.is_answered {
            self.connections.remove(key);
            return None;
        }
        connection.is_answered = true;
        if command.is_none() {
            self.answer(key, USAGE);
        }
        command.map(|command| (key, command))
    }

    /// Writes the answer, and closes the connection once it is written. [`ControlSocket::close_expired`] writes the bytes
    /// that the socket does not accept at once.
    pub fn answer(&mut self, key: Key, text: &str) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.stream.push(text.as_bytes());
        if !matches!(connection.stream.flush(), Ok(false)) {
            self.connections.remove(key);
        }
    }

    /// Closes the connections whose answer is sent or whose time limit has passed.
    pub fn close_expired(&mut self, now: Instant) {
        for key in self.connections.keys() {
            let Some(connection) = self.connections.get_mut(key) else {
                continue;
            };
            let is_sent = connection.is_answered && !matches!(connection.stream.flush(), Ok(false));
            let age = now.saturating_duration_since(connection.accepted_at);
            if is_sent || age >= CONNECTION_TIMEOUT {
                self.connections.remove(key);
            }
        }
    }
}

impl Drop for ControlSocket {
    fn drop(&mut self) {
        let metadata = std::fs::symlink_metadata(&self.path);
        if metadata.is_ok_and(|metadata| metadata.ino() == self.inode) {
            _ = std::fs::remove_file(&self.path);
        }
    }
}

/// Opens the listener; returns it with the inode of its socket file.
fn bind(path: &Path, reactor: &Reactor) -> io::Result<(OwnedFd, u64)> {
    let listener = listener::listen_unix_replacing(path)?;
    reactor.register(&listener, Token::ControlSocketListener, Interest::READ)?;
    Ok((listener, std::fs::symlink_metadata(path)?.ino()))
}

fn first_line(input: &[u8]) -> Option<&str> {
    let end = input.iter().position(|byte| *byte == b'\n')?;
    std::str::from_utf8(&input[..end]).ok().map(str::trim)
}

fn parse_command(line: &str) -> Option<OperatorCommand> {
    match line {
        "drain" => Some(OperatorCommand::Drain),
        "undrain" => Some(OperatorCommand::Undrain),
        "status" => Some(OperatorCommand::Status),
        "sites" => Some(OperatorCommand::Sites(None)),
        _ => {
            if let Some(name) = line.strip_prefix("sites ") {
                return Some(OperatorCommand::Sites(Some(name.trim().to_owned())));
            }
            let command = RolloutCommand::parse(line.strip_prefix("rollout ")?)?;
            Some(OperatorCommand::Rollout(command))
        }
    }
}
