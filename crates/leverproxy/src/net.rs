//! Non-blocking TCP connections with bounded buffers on both sides.

use crate::reactor::{Interest, Reactor, Token};
use rustix::io::Errno;
use rustix::net::{self, sockopt, AddressFamily, SendFlags, SocketAddrUnix, SocketFlags, SocketType};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::os::fd::OwnedFd;
use std::path::Path;

const NON_BLOCKING: SocketFlags = SocketFlags::NONBLOCK.union(SocketFlags::CLOEXEC);
const BACKLOG: i32 = 1_024;
const CHUNK: usize = 16 << 10;
/// A buffer that grew past this gives its memory back once it is empty.
const KEPT: usize = 16 << 10;

fn socket(address: &SocketAddr) -> io::Result<OwnedFd> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    Ok(net::socket_with(family, SocketType::STREAM, NON_BLOCKING, None)?)
}

/// `shared`: another process of the same owner may listen there as well.
pub fn listen_shared(address: SocketAddr, shared: bool) -> io::Result<OwnedFd> {
    let fd = socket(&address)?;
    sockopt::set_socket_reuseport(&fd, shared)?;
    // A restarted proxy takes its address again while connections of its former life linger.
    sockopt::set_socket_reuseaddr(&fd, true)?;
    net::bind(&fd, &address)?;
    net::listen(&fd, BACKLOG)?;
    Ok(fd)
}

pub fn listen(address: SocketAddr) -> io::Result<OwnedFd> {
    listen_shared(address, false)
}

/// A socket of the machine that its owner alone may connect to, from before it listens.
pub fn listen_unix(path: &Path) -> io::Result<OwnedFd> {
    use std::os::unix::fs::PermissionsExt;
    let fd = net::socket_with(AddressFamily::UNIX, SocketType::STREAM, NON_BLOCKING, None)?;
    net::bind(&fd, &SocketAddrUnix::new(path)?)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
    net::listen(&fd, BACKLOG)?;
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
}

/// A connection and the address that it comes from.
pub fn accept(listener: &OwnedFd) -> Result<(Stream, IpAddr), Refusal> {
    loop {
        match net::acceptfrom_with(listener, NON_BLOCKING) {
            Ok((fd, peer)) => {
                // Small answers must not wait for the acknowledgement of the one before.
                _ = sockopt::set_tcp_nodelay(&fd, true);
                let peer = peer.and_then(|peer| SocketAddr::try_from(peer).ok());
                let peer = peer.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |peer| peer.ip());
                return Ok((Stream::new(fd), peer));
            }
            Err(Errno::INTR | Errno::CONNABORTED) => {}
            Err(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => {
                return Err(Refusal::Exhausted)
            }
            Err(_) => return Err(Refusal::Empty),
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
}

impl Stream {
    pub fn new(fd: OwnedFd) -> Stream {
        Stream { fd, input: Buffer::default(), output: Buffer::default(), interest: None }
    }

    pub fn fd(&self) -> &OwnedFd {
        &self.fd
    }

    /// Begins a connection; it is up once it turns writable and [`Stream::connected`] agrees.
    pub fn dial(address: SocketAddr) -> io::Result<Stream> {
        let fd = socket(&address)?;
        sockopt::set_tcp_nodelay(&fd, true)?;
        match net::connect(&fd, &address) {
            // An interrupted connect goes on in the background like any other.
            Ok(()) | Err(Errno::INPROGRESS | Errno::INTR) => Ok(Stream::new(fd)),
            Err(e) => Err(e.into()),
        }
    }

    pub fn connected(&self) -> io::Result<()> {
        Ok(sockopt::socket_error(&self.fd)??)
    }

    /// Reads what there is until `limit` bytes wait to be used.
    pub fn fill(&mut self, limit: usize) -> Filled {
        let mut chunk = [0; CHUNK];
        while self.input.len() < limit {
            match rustix::io::read(&self.fd, &mut chunk) {
                Ok(0) => return Filled::Ended,
                Ok(n) => {
                    self.input.push(&chunk[..n]);
                    if n < chunk.len() {
                        // Level-triggered: what came meanwhile is told again.
                        break;
                    }
                }
                Err(Errno::AGAIN) => break,
                Err(Errno::INTR) => {}
                Err(_) => return Filled::Ended,
            }
        }
        Filled::Open
    }

    /// Reads a piece of what there is and throws it away, with all that waited; how much it was.
    pub fn drain(&mut self) -> (Filled, usize) {
        self.input = Buffer::default();
        let mut chunk = [0; CHUNK];
        match rustix::io::read(&self.fd, &mut chunk) {
            Ok(0) => (Filled::Ended, 0),
            Ok(n) => (Filled::Open, n),
            Err(Errno::AGAIN | Errno::INTR) => (Filled::Open, 0),
            Err(_) => (Filled::Ended, 0),
        }
    }

    /// Nothing more will be sent; the peer is told so.
    pub fn end_output(&self) {
        _ = net::shutdown(&self.fd, net::Shutdown::Write);
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
            match net::send(&self.fd, self.output.unused(), SendFlags::NOSIGNAL) {
                Ok(n) => self.output.consume(n),
                Err(Errno::AGAIN) => return Ok(false),
                Err(Errno::INTR) => {}
                Err(e) => return Err(e.into()),
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

    /// Sets what the stream waits for, with a system call only where that changes.
    pub fn watch(&mut self, reactor: &Reactor, token: Token, interest: Interest) -> io::Result<()> {
        match self.interest {
            Some(now) if now == interest => return Ok(()),
            Some(_) => reactor.change(&self.fd, token, interest)?,
            None => reactor.add(&self.fd, token, interest)?,
        }
        self.interest = Some(interest);
        Ok(())
    }
}
