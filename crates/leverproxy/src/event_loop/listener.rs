//! Listening sockets, and the connections accepted from them.

use super::reactor::Reactor;
use super::stream::Stream;
use super::system_calls;
use super::system_calls::errors::{classify, lacks_descriptors, Call, Failure};
use super::token::Token;
use rustix::net::{self, sockopt, SocketAddrUnix};
use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::os::fd::OwnedFd;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

const BACKLOG: i32 = 1_024;
/// Connections that may fail while one is accepted: the backlog holds no more.
const MAX_FAILED_ACCEPTS: usize = BACKLOG as usize;
/// The permissions of a Unix socket: its owner alone may connect.
const OWNER_ONLY: u32 = 0o600;

/// Listens on a TCP address; `shared`: another process of the same owner may listen there as well.
pub fn listen_shared(address: SocketAddr, shared: bool) -> io::Result<OwnedFd> {
    let fd = system_calls::socket(system_calls::family(&address))?;
    if shared {
        sockopt::set_socket_reuseport(&fd, true)?;
    }
    // A restarted proxy takes its address again while connections of the process before linger. If the option is
    // refused, bind shows whether it was needed.
    _ = sockopt::set_socket_reuseaddr(&fd, true);
    system_calls::bind(&fd, &address)?;
    system_calls::listen(&fd, BACKLOG)?;
    Ok(fd)
}

/// Listens on a TCP address of this process alone.
pub fn listen(address: SocketAddr) -> io::Result<OwnedFd> {
    listen_shared(address, false)
}

/// Listens on a Unix socket that its owner alone may connect to.
pub fn listen_unix(path: &Path) -> io::Result<OwnedFd> {
    let fd = system_calls::socket(net::AddressFamily::UNIX)?;
    system_calls::bind(&fd, &SocketAddrUnix::new(path)?)?;
    fs::set_permissions(path, fs::Permissions::from_mode(OWNER_ONLY))?;
    system_calls::listen(&fd, BACKLOG)?;
    Ok(fd)
}

/// Listens on a Unix socket in place of another process. It is replaced in one step, so that whoever connects reaches one
/// of the two.
pub fn listen_unix_replacing(path: &Path) -> io::Result<OwnedFd> {
    let own = PathBuf::from(format!("{}.{}", path.display(), std::process::id()));
    // A former process with the same id may have left it.
    _ = fs::remove_file(&own);
    let listener = listen_unix(&own)?;
    fs::rename(&own, path)?;
    Ok(listener)
}

/// The address of a socket.
pub fn local_address(fd: &OwnedFd) -> Option<SocketAddr> {
    SocketAddr::try_from(net::getsockname(fd).ok()?).ok()
}

/// Why no connection is accepted.
#[derive(Debug, PartialEq, Eq)]
pub enum AcceptError {
    /// The backlog is empty.
    Empty,
    /// No descriptor is left: the connection stays in the backlog. Closing a descriptor helps.
    NoDescriptors,
    /// The machine lacks something else, or every connection fails: to be retried after a pause.
    RetryLater,
}

/// Accepts a connection; returns it with the address that it comes from.
pub fn accept(listener: &OwnedFd) -> Result<(Stream, IpAddr), AcceptError> {
    for _ in 0..MAX_FAILED_ACCEPTS {
        let errno = match system_calls::accept(listener) {
            Ok((fd, peer)) => {
                // Small responses must not wait for the acknowledgement of the one before.
                _ = sockopt::set_tcp_nodelay(&fd, true);
                let peer = peer.and_then(|peer| SocketAddr::try_from(peer).ok());
                let peer = peer.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |peer| peer.ip());
                return Ok((Stream::new(fd), peer));
            }
            Err(errno) => errno,
        };
        match classify(Call::Accept, errno) {
            Failure::RetryNow => {}
            Failure::NotReady => return Err(AcceptError::Empty),
            _ if lacks_descriptors(errno) => return Err(AcceptError::NoDescriptors),
            _ => return Err(AcceptError::RetryLater),
        }
    }
    Err(AcceptError::RetryLater)
}

/// The same for a listener whose owner has no pause of its own: while nothing can be accepted it is not watched.
pub fn accept_or_pause(
    listener: &OwnedFd,
    token: Token,
    reactor: &Reactor,
) -> Result<(Stream, IpAddr), AcceptError> {
    let accepted = accept(listener);
    match accepted {
        Ok(_) => {}
        Err(AcceptError::Empty) => reactor.resume(listener, token),
        Err(AcceptError::NoDescriptors | AcceptError::RetryLater) => reactor.pause(listener, token),
    }
    accepted
}
