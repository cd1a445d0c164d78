//! Non-blocking connections with buffers for input and output.

use super::buffer::Buffer;
use super::reactor::{Interest, Reactor};
use super::system_calls;
use super::system_calls::errors::{classify, Call, Failure};
use super::token::Token;
use rustix::io::Errno;
use rustix::net::sockopt;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use thiserror::Error;

/// Maximum number of bytes read by one system call.
const CHUNK: usize = 16 << 10;

/// The reason why a connection is not established.
#[derive(Debug, Error)]
pub enum DialError {
    /// This machine lacks a resource. This is not a failure of the remote machine, and the dial can be retried after a
    /// pause.
    #[error("this machine lacks descriptors, ports or memory: {0}")]
    ResourceShortage(Errno),
    /// The remote machine refuses the connection or cannot be reached.
    #[error("{0}")]
    Failed(Errno),
}

impl DialError {
    fn new(call: Call, errno: Errno) -> DialError {
        match classify(call, errno) {
            Failure::RetryLater => DialError::ResourceShortage(errno),
            _ => DialError::Failed(errno),
        }
    }
}

/// Whether a connection can still be read from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadStatus {
    /// The peer may send more.
    Open,
    /// The peer has ended its side or the connection is broken; the bytes received before are in the buffer.
    Ended,
}

/// A non-blocking connection with buffers.
#[derive(Debug)]
pub struct Stream {
    fd: OwnedFd,
    /// The bytes that have arrived and are not used yet.
    pub input: Buffer,
    output: Buffer,
    interest: Option<Interest>,
    /// Whether a read or a send failed for lack of memory and has to be retried after a pause.
    needs_retry: bool,
    /// Whether the connection was scheduled for a retry, so that it may be reported as ready without being ready.
    retried: bool,
}

impl Stream {
    /// Creates a stream from the descriptor of a connection.
    pub fn new(fd: OwnedFd) -> Stream {
        Stream {
            fd,
            input: Buffer::default(),
            output: Buffer::default(),
            interest: None,
            needs_retry: false,
            retried: false,
        }
    }

    /// The connection's descriptor.
    pub fn fd(&self) -> &OwnedFd {
        &self.fd
    }

    /// Starts a connection. It is established once it is writable and [`Stream::connected`] returns true.
    pub fn dial(address: SocketAddr) -> Result<Stream, DialError> {
        let fd = system_calls::socket(system_calls::family(&address))
            .map_err(|errno| DialError::new(Call::Socket, errno))?;
        _ = sockopt::set_tcp_nodelay(&fd, true);
        match system_calls::connect(&fd, &address) {
            Err(errno) if classify(Call::Connect, errno) != Failure::NotReady => {
                Err(DialError::new(Call::Connect, errno))
            }
            _ => Ok(Stream::new(fd)),
        }
    }

    /// Whether a connection that was reported as ready is established; false while the connect is in progress.
    pub fn connected(&self) -> Result<bool, DialError> {
        let result = system_calls::socket_error(&self.fd).and_then(|result| result);
        result.map_err(|errno| DialError::new(Call::SocketError, errno))?;
        Ok(!self.retried || system_calls::is_writable(&self.fd))
    }

    /// Reads the bytes that have arrived, until `limit` bytes wait to be used.
    pub fn fill(&mut self, limit: usize) -> ReadStatus {
        let mut chunk = [0; CHUNK];
        while self.input.len() < limit {
            let wanted = CHUNK.min(limit - self.input.len());
            match system_calls::read(&self.fd, &mut chunk[..wanted]) {
                Ok(0) => return ReadStatus::Ended,
                Ok(n) => {
                    self.input.push(&chunk[..n]);
                    if n < wanted {
                        // epoll is level-triggered, so bytes that have arrived meanwhile are reported again.
                        break;
                    }
                }
                Err(errno) => match self.handle_read_error(errno) {
                    Some(ReadStatus::Open) => break,
                    Some(ReadStatus::Ended) => return ReadStatus::Ended,
                    None => {}
                },
            }
        }
        ReadStatus::Open
    }

    /// The status after a failed read; `None` if the read has to be repeated at once.
    fn handle_read_error(&mut self, errno: Errno) -> Option<ReadStatus> {
        match classify(Call::Read, errno) {
            Failure::RetryNow => return None,
            Failure::NotReady => {}
            Failure::RetryLater => self.needs_retry = true,
            Failure::Broken | Failure::Fatal => return Some(ReadStatus::Ended),
        }
        Some(ReadStatus::Open)
    }

    /// Reads a chunk and discards it together with the buffered input. Returns the number of bytes read.
    pub fn discard_input(&mut self) -> (ReadStatus, usize) {
        self.input = Buffer::default();
        let mut chunk = [0; CHUNK];
        match system_calls::read(&self.fd, &mut chunk) {
            Ok(0) => (ReadStatus::Ended, 0),
            Ok(n) => (ReadStatus::Open, n),
            Err(errno) => {
                let status = self.handle_read_error(errno);
                (status.unwrap_or(ReadStatus::Open), 0)
            }
        }
    }

    /// Ends the output: shuts down the sending side of the connection.
    pub fn end_output(&self) {
        _ = system_calls::shutdown_output(&self.fd);
    }

    /// Appends bytes to the output buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.output.push(bytes);
    }

    /// The number of bytes that the socket has not accepted yet.
    pub fn unsent(&self) -> usize {
        self.output.len()
    }

    /// Writes as many bytes as the socket accepts. Returns true once all bytes are written.
    pub fn flush(&mut self) -> io::Result<bool> {
        while !self.output.is_empty() {
            let errno = match system_calls::send(&self.fd, self.output.unused()) {
                Ok(n) => {
                    self.output.consume(n);
                    continue;
                }
                Err(errno) => errno,
            };
            match classify(Call::Send, errno) {
                Failure::RetryNow => {}
                Failure::NotReady => return Ok(false),
                Failure::RetryLater => {
                    self.needs_retry = true;
                    return Ok(false);
                }
                Failure::Broken | Failure::Fatal => return Err(errno.into()),
            }
        }
        Ok(true)
    }

    /// Stops watching the connection, even for the end of the peer's output, until it is watched again.
    pub fn unwatch(&mut self, reactor: &Reactor) {
        if self.interest.take().is_some() {
            reactor.deregister(&self.fd);
        }
    }

    /// Sets the events that the connection is watched for; a system call is made only if they change. If the machine
    /// lacked memory for the last transfer, the connection is reported as ready after a pause instead.
    pub fn watch(&mut self, reactor: &Reactor, token: Token, interest: Interest) -> io::Result<()> {
        if std::mem::take(&mut self.needs_retry) {
            self.unwatch(reactor);
            self.retried = true;
            reactor.retry_later(token);
            return Ok(());
        }
        if self.interest == Some(interest) {
            return Ok(());
        }
        let watched = reactor.update(&self.fd, token, interest, self.interest.is_some())?;
        self.interest = watched.then_some(interest);
        self.retried |= !watched;
        Ok(())
    }
}
