//! Non-blocking TCP connections with bounded buffers on both sides.

use crate::event_loop::reactor::{Interest, Reactor, Token};
use crate::event_loop::system_calls::{self, classify, lacks_descriptors, Call, Failure};
use rustix::io::Errno;
use rustix::net::{self, sockopt, AddressFamily, SocketAddrUnix};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::os::fd::OwnedFd;
use std::path::Path;
use thiserror::Error;

const BACKLOG: i32 = 1_024;
/// Connections of one round that may fail while they are accepted: no more wait than the backlog holds.
const ACCEPT_FAILURES: usize = BACKLOG as usize;
const CHUNK: usize = 16 << 10;
/// A buffer that grew past this gives its memory back once it is empty.
const KEPT: usize = 16 << 10;

fn socket(address: &SocketAddr) -> Result<OwnedFd, Errno> {
    system_calls::socket(if address.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    })
}

/// `shared`: another process of the same owner may listen there as well.
pub fn listen_shared(address: SocketAddr, shared: bool) -> io::Result<OwnedFd> {
    let fd = socket(&address)?;
    if shared {
        sockopt::set_socket_reuseport(&fd, true)?;
    }
    // A restarted proxy takes its address again while connections of its former life linger. Where the option is
    // refused, bind tells whether it was needed.
    _ = sockopt::set_socket_reuseaddr(&fd, true);
    system_calls::bind(&fd, &address)?;
    system_calls::listen(&fd, BACKLOG)?;
    Ok(fd)
}

pub fn listen(address: SocketAddr) -> io::Result<OwnedFd> {
    listen_shared(address, false)
}

/// A socket of the machine that its owner alone may connect to, from before it listens.
pub fn listen_unix(path: &Path) -> io::Result<OwnedFd> {
    use std::os::unix::fs::PermissionsExt;
    let fd = system_calls::socket(AddressFamily::UNIX)?;
    system_calls::bind(&fd, &SocketAddrUnix::new(path)?)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
    system_calls::listen(&fd, BACKLOG)?;
    Ok(fd)
}

/// Listens at a place that may be another process's: in one step, so that whoever connects finds the one or the other.
pub fn take_unix(path: &Path) -> io::Result<OwnedFd> {
    let own = std::path::PathBuf::from(format!("{}.{}", path.display(), std::process::id()));
    // Of a former process with the same number.
    _ = std::fs::remove_file(&own);
    let listener = listen_unix(&own)?;
    std::fs::rename(&own, path)?;
    Ok(listener)
}

pub fn local_address(fd: &OwnedFd) -> Option<SocketAddr> {
    SocketAddr::try_from(net::getsockname(fd).ok()?).ok()
}

/// What an accept that yields no connection means.
#[derive(Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Nobody waits.
    Empty,
    /// No descriptor is left for it: it stays in the backlog.
    Exhausted,
    /// The machine lacks something else for it, or all fail: it is tried again after a pause.
    Later,
}

/// A connection and the address that it comes from.
pub fn accept(listener: &OwnedFd) -> Result<(Stream, IpAddr), Refusal> {
    for _ in 0..ACCEPT_FAILURES {
        let errno = match system_calls::accept(listener) {
            Ok((fd, peer)) => {
                // Small answers must not wait for the acknowledgement of the one before.
                _ = sockopt::set_tcp_nodelay(&fd, true);
                let peer = peer.and_then(|peer| SocketAddr::try_from(peer).ok());
                let peer = peer.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |peer| peer.ip());
                return Ok((Stream::new(fd), peer));
            }
            Err(errno) => errno,
        };
        match classify(Call::Accept, errno) {
            Failure::RetryNow => {}
            Failure::NotReady => return Err(Refusal::Empty),
            _ if lacks_descriptors(errno) => return Err(Refusal::Exhausted),
            _ => return Err(Refusal::Later),
        }
    }
    Err(Refusal::Later)
}

/// The same for a listener whose owner has no pause of its own: while nothing can be accepted it is not watched.
pub fn accept_or_rest(
    listener: &OwnedFd,
    token: Token,
    reactor: &Reactor,
) -> Result<(Stream, IpAddr), Refusal> {
    let accepted = accept(listener);
    match accepted {
        Ok(_) => {}
        Err(Refusal::Empty) => reactor.wake(listener, token),
        Err(Refusal::Exhausted | Refusal::Later) => reactor.rest(listener, token),
    }
    accepted
}

/// Why no connection was begun.
#[derive(Debug, Error)]
pub enum DialError {
    /// This machine lacks something for it; the other one is not to blame.
    #[error("this machine lacks descriptors, ports or memory: {0}")]
    Short(Errno),
    #[error("{0}")]
    Failed(Errno),
}

impl DialError {
    fn new(call: Call, errno: Errno) -> DialError {
        match classify(call, errno) {
            Failure::RetryLater => DialError::Short(errno),
            _ => DialError::Failed(errno),
        }
    }
}

/// Bytes with a mark up to which they have been used.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    used: usize,
}

impl Buffer {
    pub fn unused(&self) -> &[u8] {
        &self.bytes[self.used..]
    }

    pub fn len(&self) -> usize {
        self.bytes.len() - self.used
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn push(&mut self, bytes: &[u8]) {
        if self.used > 0 && self.bytes.len() + bytes.len() > self.bytes.capacity() {
            self.bytes.drain(..self.used);
            self.used = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    pub fn consume(&mut self, n: usize) {
        self.used += n;
        if self.used == self.bytes.len() {
            self.used = 0;
            self.bytes.clear();
            if self.bytes.capacity() > KEPT {
                self.bytes = Vec::new();
            }
        }
    }
}

/// What reading came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Filled {
    /// The peer may send more.
    Open,
    /// The peer has ended its side or the connection is broken; what came before is in the buffer.
    Ended,
}

#[derive(Debug)]
pub struct Stream {
    fd: OwnedFd,
    pub input: Buffer,
    output: Buffer,
    interest: Option<Interest>,
    /// A read or a send failed for want of memory; it is made again after a pause.
    short: bool,
    /// It may be called ready without being so.
    retried: bool,
}

impl Stream {
    pub fn new(fd: OwnedFd) -> Stream {
        let (input, output) = (Buffer::default(), Buffer::default());
        Stream {
            fd,
            input,
            output,
            interest: None,
            short: false,
            retried: false,
        }
    }

    pub fn fd(&self) -> &OwnedFd {
        &self.fd
    }

    /// Begins a connection; it is up once it turns writable and [`Stream::connected`] agrees.
    pub fn dial(address: SocketAddr) -> Result<Stream, DialError> {
        let fd = socket(&address).map_err(|errno| DialError::new(Call::Socket, errno))?;
        _ = sockopt::set_tcp_nodelay(&fd, true);
        match system_calls::connect(&fd, &address) {
            Err(errno) if classify(Call::Connect, errno) != Failure::NotReady => {
                Err(DialError::new(Call::Connect, errno))
            }
            _ => Ok(Stream::new(fd)),
        }
    }

    /// Whether a connection that was called ready is up; false: its connect goes on.
    pub fn connected(&self) -> Result<bool, DialError> {
        let result = system_calls::socket_error(&self.fd).and_then(|result| result);
        result.map_err(|errno| DialError::new(Call::SocketError, errno))?;
        Ok(!self.retried || system_calls::is_writable(&self.fd))
    }

    /// Reads what there is until `limit` bytes wait to be used.
    pub fn fill(&mut self, limit: usize) -> Filled {
        let mut chunk = [0; CHUNK];
        while self.input.len() < limit {
            match system_calls::read(&self.fd, &mut chunk) {
                Ok(0) => return Filled::Ended,
                Ok(n) => {
                    self.input.push(&chunk[..n]);
                    if n < chunk.len() {
                        // Level-triggered: what came meanwhile is told again.
                        break;
                    }
                }
                Err(errno) => match self.unread(errno) {
                    Some(Filled::Open) => break,
                    Some(Filled::Ended) => return Filled::Ended,
                    None => {}
                },
            }
        }
        Filled::Open
    }

    /// What a read that failed comes to; none: it is made again.
    fn unread(&mut self, errno: Errno) -> Option<Filled> {
        match classify(Call::Read, errno) {
            Failure::RetryNow => return None,
            Failure::NotReady => {}
            Failure::RetryLater => self.short = true,
            Failure::Broken | Failure::Fatal => return Some(Filled::Ended),
        }
        Some(Filled::Open)
    }

    /// Reads a piece of what there is and throws it away, with all that waited; how much it was.
    pub fn drain(&mut self) -> (Filled, usize) {
        self.input = Buffer::default();
        let mut chunk = [0; CHUNK];
        match system_calls::read(&self.fd, &mut chunk) {
            Ok(0) => (Filled::Ended, 0),
            Ok(n) => (Filled::Open, n),
            Err(errno) => (self.unread(errno).unwrap_or(Filled::Open), 0),
        }
    }

    /// Nothing more will be sent; the peer is told so.
    pub fn end_output(&self) {
        _ = system_calls::shutdown_output(&self.fd);
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.output.push(bytes);
    }

    /// Bytes that the peer has not taken yet.
    pub fn unsent(&self) -> usize {
        self.output.len()
    }

    /// Writes what the socket takes; true once all is written.
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
                    self.short = true;
                    return Ok(false);
                }
                Failure::Broken | Failure::Fatal => return Err(errno.into()),
            }
        }
        Ok(true)
    }

    /// Waits for nothing, not even the peer's end, until it is watched again.
    pub fn unwatch(&mut self, reactor: &Reactor) {
        if self.interest.take().is_some() {
            reactor.remove(&self.fd);
        }
    }

    /// Sets what the stream waits for, with a system call only where that changes. While the machine lacks memory for
    /// what was last asked of it, the stream is called ready after a pause instead.
    pub fn watch(&mut self, reactor: &Reactor, token: Token, interest: Interest) -> io::Result<()> {
        if std::mem::take(&mut self.short) {
            self.unwatch(reactor);
            self.retried = true;
            reactor.retry(token);
            return Ok(());
        }
        if self.interest == Some(interest) {
            return Ok(());
        }
        let watched = reactor.set(&self.fd, token, interest, self.interest.is_some())?;
        self.interest = watched.then_some(interest);
        self.retried |= !watched;
        Ok(())
    }
}
